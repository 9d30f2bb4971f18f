//! Suspects outlast a restart of all boxes: they are noted in the store and read by boxes that start.

mod harness;

use harness::{BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, route};
use wingbridge_gateway::OverloadControl;
use wingbridge_gateway::routes::RouteKind;

const TARGETS: usize = 3;
/// Number of boxes that start without peers, so that each knows nothing but what is in the store.
const STARTED_BOXES: usize = 6;
/// Requests to each box that has just started. Without the notes, half of the first ones fail.
const REQUESTS: usize = 3;

struct RestartCase {
    name: &'static str,
    overload: OverloadControl,
    /// Whether the suspects are noted and restored.
    noted: bool,
}

const CASES: &[RestartCase] = &[
    RestartCase { name: "on", overload: OverloadControl::On, noted: true },
    RestartCase { name: "auto", overload: OverloadControl::Auto, noted: false },
    RestartCase { name: "off", overload: OverloadControl::Off, noted: false },
];

struct World {
    failing: Vec<TargetStandin>,
    healthy: Vec<TargetStandin>,
    store: StoreStandin,
}

impl World {
    fn new() -> World {
        let start = |name: &str, script: Script| -> Vec<TargetStandin> {
            let ids = (0..TARGETS).map(|number| format!("{name}{number}"));
            ids.map(|id| TargetStandin::start(&id, "service", script)).collect()
        };
        let world = World {
            failing: start("failing", Script::Fails),
            healthy: start("healthy", Script::Good),
            store: StoreStandin::default(),
        };
        world.store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
        let all = world.failing.iter().chain(&world.healthy);
        world.store.put_targets(all.map(|target| target.entry.clone()).collect());
        world
    }

    fn start_box(&self, overload: OverloadControl) -> BoxUnderTest {
        let gateway = BoxUnderTest::start_with(self.store.port(true), &[], |settings| {
            settings.overload = overload;
        });
        gateway.wait_ready();
        gateway
    }

    fn failed_requests(&self) -> usize {
        self.failing.iter().map(|target| target.requests().len()).sum()
    }
}

/// After a power failure of all boxes, their first orders went to targets that had been known to fail.
#[test]
fn first_requests_after_a_restart_avoid_targets_that_were_suspects() {
    for case in CASES {
        let world = World::new();
        let before = world.start_box(case.overload);
        eventually("failing targets have failed", || {
            before.request("GET", "/r/x");
            let failed = world.failing.iter().filter(|target| !target.requests().is_empty());
            failed.count() >= if case.noted { TARGETS } else { 1 }
        });
        if case.noted {
            eventually("the suspects are noted", || world.store.noted_suspects() == TARGETS);
        }
        let _ = before.wait_end();
        let failed = world.failed_requests();
        let after: Vec<BoxUnderTest> =
            (0..STARTED_BOXES).map(|_| world.start_box(case.overload)).collect();
        for gateway in &after {
            (0..REQUESTS).for_each(|_| drop(gateway.request("GET", "/r/x")));
        }
        let failed = world.failed_requests() - failed;
        if case.noted {
            assert_eq!(failed, 0, "{}", case.name);
        } else {
            assert_eq!(world.store.noted_suspects(), 0, "{}", case.name);
        }
    }
}
