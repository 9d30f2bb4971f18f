//! Listings of thousands of targets: the store is polled for their changes, and peers are sent deltas, or
//! all targets in parts.
//!
//! With 987 boxes and 10,001 targets, each reading took 51 calls to the store, and a box that was notified
//! too late by its peers read the store itself: 1,070 calls a second. Boxes of 160 MB grew to 430 MB, and
//! 29 of them ended. The work and memory of a reading, of the held listing and of a reply to a peer were
//! proportional to the number of targets instead of the number of changes.

mod harness;

use std::net::IpAddr;

use async_std::net::TcpStream;
use async_std::task;
use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, connect_exchange, entry, eventually,
    fetch_targets, route, unpacked,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::view::TargetEntry;
use wingbridge_wire::gossip::{ExchangeQuestion, ExchangeRequest, TargetsRequest};
use wingbridge_wire::send_message;

/// More targets than are listed in full each time, and more than fit into two parts.
const TARGETS: usize = 1_200;
/// Requests that show whether a box uses the target.
const REQUESTS: usize = 20;

/// Returns targets of a service that gets no requests.
fn unused_targets() -> Vec<TargetEntry> {
    let address = |number: usize| format!("10.0.{}.{}:80", number / 200, number % 200 + 1);
    (0..TARGETS).map(|number| entry(&format!("n{number:05}"), "other", &address(number))).collect()
}

fn start_store_and_target() -> (StoreStandin, TargetStandin) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Good);
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    let mut targets = unused_targets();
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
    store.put_targets(unused_targets());
    eventually("the removed target gets no more requests", || count_served(&gateway) == 0);
    let mut targets = unused_targets();
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
    store.put_targets(unused_targets());
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
