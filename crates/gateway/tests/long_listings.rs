//! Listings of thousands of targets: the store is polled for their changes, and peers are sent deltas, or
//! all targets in parts.
//!
//! With 987 boxes and 10,001 targets, each reading took 51 calls to the store, and a box that was notified
//! too late by its peers read the store itself: 1,070 calls a second. Boxes of 160 MB grew to 430 MB, and
//! 29 of them ended. The work and memory of a reading, of the held listing and of a reply to a peer were
//! proportional to the number of targets instead of the number of changes.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, connect_exchange, eventually,
    fetch_targets, route, unpacked, unused_targets,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_gateway::listing_schedule::{FULL_LISTING_PERIOD, ListingSchedule};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{ExchangeQuestion, ExchangeRequest, TargetsRequest};
use wingbridge_wire::send_message;

/// More targets than are listed in full each time, and more than fit into two parts.
const TARGETS: usize = 1_200;
/// Time that is longer than the store is polled for, less than a full listing comes in any case.
const LONG_ABSENCE: Duration = Duration::from_secs(7);
/// Requests that show whether a box uses the target.
const REQUESTS: usize = 20;

fn start_store_and_target() -> (StoreStandin, TargetStandin) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Good);
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    let mut targets = unused_targets("other", TARGETS);
    targets.push(target.entry.clone());
    store.put_targets(targets);
    (store, target)
}

fn count_served(gateway: &BoxUnderTest) -> usize {
    (0..REQUESTS).filter(|_| gateway.request("POST", "/r/x").status == 200).count()
}

#[test]
fn a_long_listing_is_polled_for_changes() {
    let (store, target) = start_store_and_target();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    assert_eq!(count_served(&gateway), REQUESTS);
    eventually("the store is polled for changes", || store.change_polls() > 0);
    store.put_targets(unused_targets("other", TARGETS));
    eventually("the removed target gets no more requests", || count_served(&gateway) == 0);
    let mut targets = unused_targets("other", TARGETS);
    targets.push(target.entry.clone());
    store.put_targets(targets.clone());
    eventually("the target is used again", || count_served(&gateway) == REQUESTS);
    // A store that has discarded its history makes the box list the targets again.
    store.set_history_lost(true);
    targets.pop();
    store.put_targets(targets);
    eventually("the full listing is read", || count_served(&gateway) == 0);
}

#[test]
fn a_box_without_the_store_gets_a_long_listing_from_peers() {
    let (store, target) = start_store_and_target();
    let reader = BoxUnderTest::start(store.port(true), &[]);
    reader.wait_ready();
    let cut_off = BoxUnderTest::start(store.port(false), &[reader.host()]);
    cut_off.wait_ready();
    eventually("the box serves requests", || count_served(&cut_off) == REQUESTS);
    store.put_targets(unused_targets("other", TARGETS));
    eventually("the change arrives from the peer", || count_served(&cut_off) == 0);
    assert!(target.requests().len() >= 2);
}

/// Opens a connection and sends a request for all targets on it.
fn request_all_targets(host: IpAddr) -> TcpStream {
    let stream = connect_exchange(host);
    let question = ExchangeQuestion::Targets(TargetsRequest { digest: 0 });
    let request = ExchangeRequest { question: Some(question) };
    task::block_on(send_message(&stream, &request)).expect("the box reads requests");
    stream
}

#[test]
fn a_long_listing_is_sent_in_compressed_parts() {
    let (store, _target) = start_store_and_target();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let reply = fetch_targets(gateway.host(), 0);
    assert_eq!((reply.parts.len(), unpacked(&reply).len()), (TARGETS / 500 + 1, TARGETS + 1));
    let bytes: usize = reply.parts.iter().map(Vec::len).sum();
    assert!(bytes < TARGETS * 40, "{bytes} bytes for {TARGETS} targets");
}

/// If two hundred boxes fetch the same long change at once, all replies in parallel exceed the capacity of the
/// link. Sent by each box to a few peers at a time, the change reaches all of them in time.
#[test]
fn a_long_reply_is_sent_to_a_few_peers_at_a_time_and_others_get_busy() {
    let (store, _target) = start_store_and_target();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    // Peers that send a request and don't read the reply occupy the transfer slots.
    let unread: Vec<TcpStream> = (0..40).map(|_| request_all_targets(gateway.host())).collect();
    let reply = fetch_targets(gateway.host(), 0);
    let is_complete = unpacked(&reply).len() == TARGETS + 1;
    assert!(reply.busy != is_complete, "the reply is either busy or has all targets");
    drop(unread);
    eventually("a transfer slot is free again", || !fetch_targets(gateway.host(), 0).busy);
}

/// A box that read the store for some seconds now and then never read a full listing: its period began anew each time
/// that it took over.
#[test]
fn full_listings_come_in_time_however_often_the_reader_changes() {
    const SERIES: u32 = 300;
    const READS: u32 = 4;
    let mut random = SmallRng::seed_from_u64(11);
    let mut schedule = ListingSchedule::default();
    let mut now = Instant::now();
    assert!(schedule.begin_read(now, 0.0), "the first read is a full one");
    schedule.record_listing(now);
    let mut full = 0;
    for _ in 0..SERIES {
        now += Duration::from_secs(10);
        for _ in 0..READS {
            if schedule.begin_read(now, random.random()) {
                schedule.record_listing(now);
                full += 1;
            }
            now += Duration::from_secs(1);
        }
    }
    // Each series lasts 3 s from its first read to the last.
    let due = Duration::from_secs(3) * SERIES;
    let due = due.as_secs_f64() / FULL_LISTING_PERIOD.as_secs_f64();
    assert!((0.5 * due..1.5 * due).contains(&f64::from(full)), "{full}, {due} are due");
}

/// What a box missed was polled for whatever its length, so that a poll that failed for its length was longer each time.
#[test]
fn a_long_listing_is_read_in_full_after_a_long_absence_of_the_store() {
    let (store, _target) = start_store_and_target();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    eventually("the store is polled for changes", || store.change_polls() > 0);
    store.set_unreachable(true);
    thread::sleep(LONG_ABSENCE);
    let polls = store.change_polls();
    let failed = store.reads();
    store.set_unreachable(false);
    eventually("the store is read again", || store.change_polls() > polls + 1);
    assert!(store.reads() > failed, "the first reading is a full one");
}
