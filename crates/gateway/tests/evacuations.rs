//! Evacuated data centres: operators want no requests sent to the targets in them.
//!
//! The evacuations were written to the store, but boxes did not read them: an evacuated data centre went on
//! getting its share of all requests, thousands of them after the time by which it had to be empty.

mod harness;

use std::net::IpAddr;

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, own_host, route,
};
use wingbridge_gateway::routes::RouteKind;

/// Number of requests after which a target that is in use has got one almost certainly.
const REQUESTS: usize = 40;
/// Size in bytes of a configuration that is read separately from the listing.
const LARGE_CONFIG_BYTES: usize = 100 << 10;

struct World {
    store: StoreStandin,
    /// The target in the data centre of the boxes.
    local: TargetStandin,
    /// The target in another data centre.
    remote: TargetStandin,
}

impl World {
    fn new(padding: usize) -> World {
        let store = StoreStandin::default();
        let local = TargetStandin::start("near", "service", Script::Good);
        let mut remote = TargetStandin::start("far", "service", Script::Good);
        remote.entry.data_centre = "elsewhere".into();
        store.set_padding(padding);
        store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        store.put_targets(vec![remote.entry.clone(), local.entry.clone()]);
        World { store, local, remote }
    }

    fn start(&self, reachable: bool, seeds: &[IpAddr]) -> BoxUnderTest {
        let gateway = BoxUnderTest::start(self.store.port(reachable), seeds);
        gateway.wait_ready();
        gateway
    }
}

/// Waits until none of [`REQUESTS`] requests to the box reaches `target`.
fn wait_unused(gateway: &BoxUnderTest, target: &TargetStandin) {
    eventually("no more requests are sent to the target", || {
        let before = target.requests().len();
        (0..REQUESTS).all(|_| gateway.request("POST", "/r/x").status == 200)
            && target.requests().len() == before
    });
}

fn wait_used(gateway: &BoxUnderTest, target: &TargetStandin) {
    let before = target.requests().len();
    eventually("the target gets requests", || {
        gateway.request("POST", "/r/x");
        target.requests().len() > before
    });
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_until_it_is_restored() {
    for padding in [0, LARGE_CONFIG_BYTES] {
        let world = World::new(padding);
        let gateway = world.start(true, &[]);
        wait_used(&gateway, &world.local);
        world.store.put_evacuated(&["centre"]);
        wait_unused(&gateway, &world.local);
        world.store.put_evacuated(&[]);
        wait_used(&gateway, &world.local);
    }
}

#[test]
fn an_evacuation_persists_over_listings_restarts_and_store_outages() {
    let world = World::new(0);
    world.store.put_evacuated(&["centre"]);
    let gateway = world.start(true, &[]);
    wait_unused(&gateway, &world.local);
    world.store.put_targets(vec![world.remote.entry.clone(), world.local.entry.clone()]);
    world.store.set_history_lost(true);
    wait_unused(&gateway, &world.local);
    let second = world.start(true, &[gateway.host()]);
    world.store.set_unreachable(true);
    wait_unused(&gateway, &world.local);
    wait_unused(&second, &world.local);
    assert!(
        world.local.requests().is_empty(),
        "a starting box has the evacuation before its first request"
    );
}

#[test]
fn a_box_without_the_store_gets_evacuations_from_peers() {
    let world = World::new(0);
    let reader = world.start(true, &[own_host()]);
    let cut_off = world.start(false, &[reader.host()]);
    wait_used(&cut_off, &world.local);
    world.store.put_evacuated(&["centre"]);
    wait_unused(&cut_off, &world.local);
    world.store.put_evacuated(&[]);
    wait_used(&cut_off, &world.local);
}

#[test]
fn requests_are_refused_at_once_if_all_data_centres_are_evacuated() {
    let world = World::new(0);
    let gateway = world.start(true, &[]);
    world.store.put_evacuated(&["centre", "elsewhere", "nowhere"]);
    eventually("requests are refused", || gateway.request("POST", "/r/x").status == 503);
    let before = (world.local.requests().len(), world.remote.requests().len());
    assert!((0..REQUESTS).all(|_| gateway.request("POST", "/r/x").status == 503));
    assert_eq!((world.local.requests().len(), world.remote.requests().len()), before);
}
