//! A configuration so large that its transfer takes most of the time allowed for a change.
//!
//! Requests were handled according to a configuration that had been replaced 3.2 s before, of
//! 2.5 s allowed, and others reached targets 3.0 s after these had started draining.
//!
//! The configuration had grown to 735 KB, 0.98 MB as the store sends it. That takes 0.8 s at
//! 10 Mbit/s, but each call had a time limit of 0.6 s. The boxes then requested it from their
//! peers, which closed after 0.5 s, and all boxes started over at once and kept their links full.
//! The cause was that each transfer had the same time limit whatever its size and was discarded
//! at its end, and that changes of targets waited for the configuration.
//!
//! Of 748 reads of 701 KB, 9 completed, each in a box with 200 Mbit/s; the others failed after
//! 600 ms, while 468 KB took 548 ms at the median and succeeded. Two of three requests were
//! handled on a view older than 2 s.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, route};
use wingbridge_gateway::routes::RouteKind;

/// Length in bytes of a configuration that counts as large.
const LARGE_BYTES: usize = 700_000;

/// Creates a store whose configuration is large from the start, so that it is read separately from
/// the targets.
fn store_with(targets: &[&TargetStandin]) -> StoreStandin {
    let store = StoreStandin::default();
    store.set_padding(LARGE_BYTES);
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    store
}

/// The box that reads for its data centre dropped its listing when it could not read the
/// configuration, and its peers fetched no listing while they waited for the configuration.
#[test]
fn draining_takes_effect_before_a_large_configuration_arrives() {
    let [drains, joins] =
        ["leaves", "joins"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store_with(&[&drains]);
    let first = BoxUnderTest::start(store.stalling_port(), &[]);
    first.wait_ready();
    let second = BoxUnderTest::start(store.stalling_port(), &[first.host()]);
    second.wait_ready();
    store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
    let mut draining = drains.entry.clone();
    draining.draining = true;
    store.put_targets(vec![draining, joins.entry.clone()]);
    for gateway in [&first, &second] {
        let before = joins.requests().len();
        eventually("the joined target receives a request", || {
            gateway.request("GET", "/r/x");
            joins.requests().len() > before
        });
        let before = drains.requests().len();
        for _ in 0..10 {
            assert_eq!(gateway.request("GET", "/r/x").status, 200);
        }
        assert_eq!(drains.requests().len(), before, "a draining target gets no new requests");
    }
}

/// A box requested the configuration from a peer only after its own read had failed, and did
/// nothing else until then.
#[test]
fn box_with_stalled_link_fetches_large_configuration_from_peer() {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = store_with(&[&target]);
    let reads = BoxUnderTest::start(store.port(true), &[]);
    reads.wait_ready();
    let stalls = BoxUnderTest::start(store.stalling_port(), &[reads.host()]);
    stalls.wait_ready();
    store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
    for (name, gateway) in
        [("the box that reads the store", &reads), ("the box with the stalled link", &stalls)]
    {
        eventually(name, || gateway.request("GET", "/later/x").status == 200);
    }
}

/// Sending a configuration of 400 KB from one box to all others of its data centre took longer than
/// a change may take, with links of 10 Mbit/s. Boxes now pass on deltas: here only the first box
/// can read from the store, since the link of the second one stalls and the third one can't reach it.
#[test]
fn boxes_pass_on_deltas_of_large_configurations() {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = store_with(&[&target]);
    let reader = BoxUnderTest::start(store.port(true), &[]);
    reader.wait_ready();
    let others: Vec<BoxUnderTest> = [store.stalling_port(), store.port(false)]
        .into_iter()
        .map(|port| BoxUnderTest::start(port, &[reader.host()]))
        .collect();
    for other in &others {
        other.wait_ready();
    }
    for version in 2..=4 {
        let name = format!("later-{version}");
        store.put_config(config(version, vec![route(&name, "service", RouteKind::Repeatable)]));
        for gateway in others.iter().chain([&reader]) {
            let path = format!("/{name}/x");
            eventually(&path, || gateway.request("GET", &path).status == 200);
        }
    }
}

/// A box that could read the store used an old configuration for 10 s and more. Its configuration
/// had arrived with the targets, from a read of its own; the box that then read for it could list
/// targets but could not read the next configuration. The task that reads large configurations
/// was waiting, because there had been none, and only reports of peers woke it. The log of the box
/// has no read after the change. This failed in 8 of 24 runs, those in which the hash of its name
/// gave the other box the higher read priority.
#[test]
fn box_reads_configuration_itself_if_the_reading_peer_cannot() {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = store_with(&[&target]);
    let reads = BoxUnderTest::start(store.port(true), &[]);
    reads.wait_ready();
    let stalls = BoxUnderTest::start_with(store.stalling_port(), &[reads.host()], |settings| {
        // The higher bandwidth makes it the box that reads for both.
        settings.link_mbps = 200;
    });
    stalls.wait_ready();
    store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
    for (name, gateway) in
        [("the box that can read the store", &reads), ("the box with the stalled link", &stalls)]
    {
        eventually(name, || gateway.request("GET", "/later/x").status == 200);
    }
}
