//! Configurations where the listing of targets is long, so that the store is polled for changes: a poll confirms
//! the configuration that is held only if it covers the time since that was last known to be the newest.

mod harness;

use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, PeerStandin, Script, StoreStandin, TargetStandin, config, eventually,
    fetch_targets, route, unused_targets,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{DatagramBody, Heartbeat, ViewVersion};

/// Time between two heartbeats of a peer.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Heartbeats for which the store is away: 3 s, after which a poll begins at a revision from after the change.
const HEARTBEATS: usize = 15;
/// Readings of the store within which a box must have the configuration that the store has.
const MAX_READINGS: usize = 6;

struct BehindCase {
    name: &'static str,
    targets: usize,
    /// Bytes that are added to each configuration.
    padding: usize,
}

const BEHIND: &[BehindCase] = &[
    BehindCase { name: "short listing, small configuration", targets: 20, padding: 0 },
    BehindCase { name: "long listing, small configuration", targets: 700, padding: 0 },
    BehindCase { name: "long listing, 40 KB", targets: 700, padding: 40_000 },
    BehindCase { name: "long listing, 700 KB", targets: 700, padding: 700_000 },
];

/// A peer kept the listing fresh while a configuration was not handed over. The polls began at a revision behind the
/// change, brought nothing, and confirmed the configuration before it: for 8 s with a small one, for good with a large one.
#[test]
fn a_poll_does_not_confirm_a_configuration_that_was_replaced_before_it() {
    let mut failed = Vec::new();
    for case in BEHIND {
        let (store, _target) = store_with(case.targets, case.padding);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        let peer = PeerStandin::known_to(&gateway);
        store.set_unreachable(true);
        store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
        let newest = ViewVersion { config_version: 2, ..version_of(&gateway, &store) };
        for _ in 0..HEARTBEATS {
            send_version(&peer, &gateway, newest);
            thread::sleep(HEARTBEAT_PERIOD);
        }
        store.set_unreachable(false);
        let readings = || store.reads() + store.change_polls();
        let before = readings();
        let is_served = || gateway.request("GET", "/later/x").status == 200;
        eventually(case.name, || is_served() || readings() > before + MAX_READINGS);
        if !is_served() {
            failed.push(case.name);
        }
    }
    assert!(failed.is_empty(), "not in force after {MAX_READINGS} readings: {failed:?}");
}

/// A peer that took an outdated configuration for the newest kept a box from asking anybody for the newer one that a
/// box of another data centre had reported.
#[test]
fn a_peer_that_confirms_an_outdated_configuration_does_not_keep_a_box_from_the_newer_one() {
    let (store, _target) = store_with(700, 0);
    let ahead = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.data_centre = "other".into();
    });
    ahead.wait_ready();
    let behind = BoxUnderTest::start(store.port(false), &[ahead.host()]);
    behind.wait_ready();
    let peer = PeerStandin::known_to(&behind);
    let outdated = version_of(&behind, &store);
    let outdated = ViewVersion { config_version: 1, config_revision: 1, ..outdated };
    store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
    eventually("the newer configuration is in force", || {
        send_version(&peer, &behind, outdated);
        version_of(&behind, &store).config_version == 2
    });
}

/// Returns a store with this number of targets that get no requests, and one that does.
fn store_with(targets: usize, padding: usize) -> (StoreStandin, TargetStandin) {
    let store = StoreStandin::default();
    store.set_padding(padding);
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    let target = TargetStandin::start("t", "service", Script::Good);
    let mut entries = unused_targets("other", targets);
    entries.push(target.entry.clone());
    store.put_targets(entries);
    (store, target)
}

/// Returns what a peer tells of its view that holds the listing of `gateway` and all of the store, just read.
fn version_of(gateway: &BoxUnderTest, store: &StoreStandin) -> ViewVersion {
    let held = fetch_targets(gateway.host(), 0).version.expect("the box has a listing");
    let revision = store.revision().number;
    ViewVersion { revision, config_revision: revision, age_ms: 0, config_age_ms: 0, ..held }
}

fn send_version(peer: &PeerStandin, gateway: &BoxUnderTest, version: ViewVersion) {
    let heartbeat = Heartbeat { view_version: Some(version), ..Heartbeat::default() };
    peer.send(gateway, DatagramBody::Heartbeat(heartbeat));
}
