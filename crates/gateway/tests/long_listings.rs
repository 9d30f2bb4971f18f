//! Listings of thousands of targets: read as news, handed on whole in parts and else as differences.
//!
//! At 987 boxes before 10,001 targets each reading took 51 calls to the store, and a box that heard too late of
//! its peers read for itself: 1,070 calls a second, boxes of 160 MB with 430 MB, 29 of them ended. The
//! cause: what a box read, held and told grew with the targets, and not with what had changed.

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

/// More than are listed whole each time, and than go into two parts.
const TARGETS: usize = 1_200;
/// Requests that show where a box sends.
const ASKED: usize = 20;

/// Targets of a service that nobody asks for.
fn many() -> Vec<TargetEntry> {
    let address = |number: usize| format!("10.0.{}.{}:80", number / 200, number % 200 + 1);
    (0..TARGETS).map(|number| entry(&format!("n{number:05}"), "other", &address(number))).collect()
}

fn world() -> (StoreStandin, TargetStandin) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Good);
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    let mut targets = many();
    targets.push(target.entry.clone());
    store.put_targets(targets);
    (store, target)
}

fn served(gateway: &BoxUnderTest) -> usize {
    (0..ASKED).filter(|_| gateway.request("POST", "/r/x").status == 200).count()
}

#[test]
fn changes_of_a_long_listing_are_read_as_news() {
    let (store, target) = world();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    assert_eq!(served(&gateway), ASKED);
    eventually("news is asked for", || store.change_requests() > 0);
    store.put_targets(many());
    eventually("the target gets nothing more", || served(&gateway) == 0);
    let mut targets = many();
    targets.push(target.entry.clone());
    store.put_targets(targets.clone());
    eventually("it is used again", || served(&gateway) == ASKED);
    // A store that forgets sends it back to a listing.
    store.set_history_lost(true);
    targets.pop();
    store.put_targets(targets);
    eventually("the listing is read", || served(&gateway) == 0);
}

#[test]
fn a_box_that_can_t_reach_the_store_has_a_long_listing_from_its_peers() {
    let (store, target) = world();
    let reader = BoxUnderTest::start(store.port(true), &[]);
    reader.wait_ready();
    let cut_off = BoxUnderTest::start(store.port(false), &[reader.host()]);
    cut_off.wait_ready();
    eventually("it serves", || served(&cut_off) == ASKED);
    store.put_targets(many());
    eventually("it hears of the change", || served(&cut_off) == 0);
    assert!(target.requests().len() >= 2);
}

/// A connection on which all targets were asked for.
fn question(host: IpAddr) -> TcpStream {
    let stream = connect_exchange(host);
    let question = ExchangeQuestion::Targets(TargetsRequest { digest: 0 });
    let request = ExchangeRequest { question: Some(question) };
    task::block_on(send_message(&stream, &request)).expect("it reads");
    stream
}

#[test]
fn a_long_listing_goes_in_parts_of_a_few_bytes_a_target() {
    let (store, _target) = world();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let reply = fetch_targets(gateway.host(), 0);
    assert_eq!((reply.parts.len(), unpacked(&reply).len()), (TARGETS / 500 + 1, TARGETS + 1));
    let bytes: usize = reply.parts.iter().map(Vec::len).sum();
    assert!(bytes < TARGETS * 40, "{bytes}");
}

/// Two hundred boxes that all fetch the same long change at once had it from a few, one after the other, in time.
#[test]
fn a_long_reply_goes_to_a_few_at_a_time_and_the_others_are_told_so() {
    let (store, _target) = world();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    // Callers that ask and don't read hold the places.
    let holds: Vec<TcpStream> = (0..40).map(|_| question(gateway.host())).collect();
    let reply = fetch_targets(gateway.host(), 0);
    let is_whole = unpacked(&reply).len() == TARGETS + 1;
    assert!(reply.busy != is_whole, "it is either told to come back or has all of it");
    drop(holds);
    eventually("there is room again", || !fetch_targets(gateway.host(), 0).busy);
}
