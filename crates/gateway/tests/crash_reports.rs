//! Crash reports between boxes, as a peer receives them.

mod harness;

use harness::{BoxUnderTest, PeerStandin, Script, StoreStandin, TargetStandin, config, route};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{CrashRecord, DatagramBody, Heartbeat, PassiveSamples};

fn start() -> (TargetStandin, StoreStandin, BoxUnderTest) {
    let target = TargetStandin::start("t", "service", Script::CrashesOnPoison);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    (target, store, gateway)
}

fn samples_with_crashes(body: DatagramBody) -> Option<PassiveSamples> {
    match body {
        DatagramBody::PassiveSamples(samples) if !samples.crashes.is_empty() => Some(samples),
        _ => None,
    }
}

/// If only heartbeats reported it, peers would receive it a second later. With twenty attempts a second that is after
/// twenty further attempts.
#[test]
fn crash_is_reported_with_its_request_at_once() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    assert_eq!(gateway.request("POST", "/r/deadly").status, 502);
    let samples = peer.receive(samples_with_crashes);
    assert_eq!(samples.crashes[0].targets.len(), 1);
    let bad = samples
        .targets
        .iter()
        .find(|sample| sample.bad > 0)
        .expect("the datagram has the failure, too");
    assert_eq!(samples.crashes[0].targets[0], bad.target);
}

/// Datagrams may be lost, and boxes unreachable for seconds.
#[test]
fn crash_report_is_repeated_in_heartbeats() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    assert_eq!(gateway.request("POST", "/r/deadly").status, 502);
    let crashes = peer.receive(|body| match body {
        DatagramBody::Heartbeat(heartbeat) if !heartbeat.crashes.is_empty() => {
            Some(heartbeat.crashes)
        }
        _ => None,
    });
    assert_eq!(crashes[0].targets.len(), 1);
}

/// Malformed records of a peer must not make a box refuse requests.
#[test]
fn malformed_records_of_a_peer_have_no_effect() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    let malformed = [
        CrashRecord { fingerprint: 1, targets: vec![1, 2, 3], ..CrashRecord::default() },
        CrashRecord { ages_ms: vec![1; 400], ..CrashRecord::default() },
        CrashRecord {
            fingerprint: 2,
            targets: vec![1, 1, 1, 1],
            ages_ms: vec![u64::MAX; 4],
            succeeded_plus_one: u64::MAX,
        },
    ];
    for crash in malformed {
        let crashes = vec![crash];
        peer.send(
            &gateway,
            DatagramBody::PassiveSamples(PassiveSamples { crashes, ..PassiveSamples::default() }),
        );
    }
    // The box still replies to the next datagram, and serves requests.
    peer.send(
        &gateway,
        DatagramBody::Heartbeat(Heartbeat { wants_reply: true, ..Heartbeat::default() }),
    );
    peer.receive(|body| matches!(body, DatagramBody::Heartbeat(_)).then_some(()));
    assert_eq!(gateway.request("POST", "/r/sound").status, 200);
}
