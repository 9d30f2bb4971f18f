//! Data centres to whose targets operators want nothing sent.
//!
//! Their word stands in the store, and nothing read it: an evacuated data centre went on getting its part of
//! all requests, thousands of them after the time by which it had to be empty.

mod harness;

use std::net::IpAddr;

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, own_host, route,
};
use wingbridge_gateway::routes::RouteKind;

/// More requests than would miss a target by chance.
const ASKED: usize = 40;
/// Bytes of a configuration that is not read with each listing.
const LARGE: usize = 100 << 10;

struct World {
    store: StoreStandin,
    /// One in the boxes' own data centre, one elsewhere.
    near: TargetStandin,
    far: TargetStandin,
}

impl World {
    fn new(padding: usize) -> World {
        let store = StoreStandin::default();
        let near = TargetStandin::start("near", "service", Script::Good);
        let mut far = TargetStandin::start("far", "service", Script::Good);
        far.entry.data_centre = "elsewhere".into();
        store.set_padding(padding);
        store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        store.put_targets(vec![far.entry.clone(), near.entry.clone()]);
        World { store, near, far }
    }

    fn start(&self, reachable: bool, seeds: &[IpAddr]) -> BoxUnderTest {
        let gateway = BoxUnderTest::start(self.store.port(reachable), seeds);
        gateway.wait_ready();
        gateway
    }
}

/// Waits until the box sends nothing to `target`, and asks it often enough to be sure.
fn sends_nothing(gateway: &BoxUnderTest, target: &TargetStandin) {
    eventually("nothing more is sent there", || {
        let before = target.requests().len();
        (0..ASKED).all(|_| gateway.request("POST", "/r/x").status == 200)
            && target.requests().len() == before
    });
}

fn sends_again(gateway: &BoxUnderTest, target: &TargetStandin) {
    let before = target.requests().len();
    eventually("it gets requests again", || {
        gateway.request("POST", "/r/x");
        target.requests().len() > before
    });
}

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    for padding in [0, LARGE] {
        let world = World::new(padding);
        let gateway = world.start(true, &[]);
        sends_again(&gateway, &world.near);
        world.store.put_evacuated(&["centre"]);
        sends_nothing(&gateway, &world.near);
        world.store.put_evacuated(&[]);
        sends_again(&gateway, &world.near);
    }
}

#[test]
fn an_evacuation_outlasts_listings_restarts_and_an_absent_store() {
    let world = World::new(0);
    world.store.put_evacuated(&["centre"]);
    let gateway = world.start(true, &[]);
    sends_nothing(&gateway, &world.near);
    world.store.put_targets(vec![world.far.entry.clone(), world.near.entry.clone()]);
    world.store.set_history_lost(true);
    sends_nothing(&gateway, &world.near);
    let second = world.start(true, &[gateway.host()]);
    world.store.set_unreachable(true);
    sends_nothing(&gateway, &world.near);
    sends_nothing(&second, &world.near);
    assert!(
        world.near.requests().is_empty(),
        "a box that starts knows it before its first request"
    );
}

#[test]
fn a_box_that_can_t_reach_the_store_hears_of_it_by_its_peers() {
    let world = World::new(0);
    let reader = world.start(true, &[own_host()]);
    let cut_off = world.start(false, &[reader.host()]);
    sends_again(&cut_off, &world.near);
    world.store.put_evacuated(&["centre"]);
    sends_nothing(&cut_off, &world.near);
    world.store.put_evacuated(&[]);
    sends_again(&cut_off, &world.near);
}

#[test]
fn with_all_data_centres_evacuated_requests_are_refused_at_once() {
    let world = World::new(0);
    let gateway = world.start(true, &[]);
    world.store.put_evacuated(&["centre", "elsewhere", "nowhere"]);
    eventually("requests are refused", || gateway.request("POST", "/r/x").status == 503);
    let before = (world.near.requests().len(), world.far.requests().len());
    assert!((0..ASKED).all(|_| gateway.request("POST", "/r/x").status == 503));
    assert_eq!((world.near.requests().len(), world.far.requests().len()), before);
}
