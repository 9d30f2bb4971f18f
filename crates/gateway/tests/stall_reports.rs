//! What a box tells its peers of attempts that come to no contact.

mod harness;

use std::time::Duration;

use harness::{
    BoxUnderTest, PathMode, PeerStandin, Script, StoreStandin, TargetPaths, TargetStandin, config,
    own_host, route,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::DatagramBody;

const TARGETS: usize = 4;
/// Number of requests from which on the usual time of the route is known.
const USUAL_REQUESTS: usize = 60;

struct World {
    targets: Vec<TargetStandin>,
    paths: TargetPaths,
    gateway: BoxUnderTest,
    _store: StoreStandin,
}

impl World {
    fn start() -> World {
        let start = |number| TargetStandin::start(&format!("t-{number}"), "service", Script::Good);
        let targets: Vec<TargetStandin> = (0..TARGETS).map(start).collect();
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let paths = TargetPaths::default();
        let host = own_host();
        let gateway = BoxUnderTest::start_at(host, store.port_with_paths(&paths), &[host], |_| {});
        gateway.wait_ready();
        let world = World { targets, paths, gateway, _store: store };
        (0..USUAL_REQUESTS).for_each(|_| assert_eq!(world.request(), 200));
        world
    }

    /// Sends an order whose caller waits for half a second; returns the status of its answer.
    fn request(&self) -> u16 {
        self.gateway.connect().request("POST", "/r/order", "X-Left: 500\r\n").status
    }
}

/// Returns the failures of targets in a datagram.
fn told_failures(body: DatagramBody) -> Option<u32> {
    let DatagramBody::PassiveSamples(samples) = body else { return None };
    let failures = samples.targets.iter().map(|sample| sample.bad + sample.overdue).sum();
    Some(failures).filter(|failures| *failures > 0)
}

struct FailureCase {
    name: &'static str,
    mode: PathMode,
}

const FAILURE_CASES: &[FailureCase] = &[
    FailureCase { name: "nothing is answered", mode: PathMode::Unread },
    FailureCase { name: "connections hang", mode: PathMode::Hangs },
];

/// A box that had lost its paths told its peers that the targets stalled, and these avoided healthy targets.
#[test]
fn stalls_are_not_told_before_a_target_has_answered() {
    for case in FAILURE_CASES {
        let world = World::start();
        let peer = PeerStandin::known_to(&world.gateway);
        world.paths.set_mode(case.mode);
        let status = world.request();
        assert!([503, 504].contains(&status), "{}: {status}", case.name);
        let told = peer.receive_for(Duration::from_millis(300), told_failures);
        assert_eq!(told, [0_u32; 0], "{}: told while the paths are lost", case.name);
    }
}

/// A stall that was held back for good would leave the peers at a target that stalls.
#[test]
fn stall_of_a_target_is_told_once_another_one_has_answered() {
    let world = World::start();
    let peer = PeerStandin::known_to(&world.gateway);
    world.targets.iter().for_each(|target| target.set_script(Script::WaitsForRelease));
    assert_eq!(world.request(), 504);
    world.targets.iter().for_each(|target| target.set_script(Script::Good));
    assert_eq!(world.request(), 200);
    assert!(peer.receive(told_failures) > 0);
}
