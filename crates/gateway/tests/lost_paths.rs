//! Boxes that have lost their paths to the targets, while callers, the store and the other boxes still reach them.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, CallerReply, PathMode, Script, StoreStandin, TargetPaths, TargetStandin, config,
    eventually, own_host, request_while, route,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::{GatewaySettings, OverloadControl};

const SERVICES: [(&str, RouteKind); 2] =
    [("reads", RouteKind::Repeatable), ("orders", RouteKind::AtMostOnce)];
const TARGETS_PER_SERVICE: usize = 4;
/// Pause between two requests at a box.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of requests of each service that a box must have served one after the other.
const SERVED_IN_A_ROW: usize = 10;

/// Boxes in two data centres, the box with number N in the data centre N modulo 2, and their targets.
struct World {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
    boxes: Vec<BoxUnderTest>,
    paths: Vec<TargetPaths>,
}

impl World {
    fn start(boxes: usize) -> World {
        World::start_with(boxes, |number, settings| {
            settings.data_centre = format!("centre-{}", number % 2);
        })
    }

    fn start_with(boxes: usize, change: impl Fn(usize, &mut GatewaySettings)) -> World {
        let targets: Vec<TargetStandin> = SERVICES
            .iter()
            .flat_map(|(service, _)| {
                let start = move |number| {
                    let id = format!("{service}-{number}");
                    TargetStandin::start(&id, service, Script::Good)
                };
                (0..TARGETS_PER_SERVICE).map(start)
            })
            .collect();
        let store = StoreStandin::default();
        let routes = SERVICES.iter().map(|(service, kind)| route(service, service, *kind));
        store.put_config(config(1, routes.collect()));
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let paths: Vec<TargetPaths> = (0..boxes).map(|_| TargetPaths::default()).collect();
        let hosts: Vec<IpAddr> = (0..boxes).map(|_| own_host()).collect();
        let start = |(number, paths): (usize, &TargetPaths)| {
            let port = store.port_with_paths(paths);
            BoxUnderTest::start_at(hosts[number], port, &hosts, |settings| change(number, settings))
        };
        let boxes: Vec<BoxUnderTest> = paths.iter().enumerate().map(start).collect();
        for gateway in &boxes {
            gateway.wait_ready();
        }
        World { store, targets, boxes, paths }
    }

    fn set_paths(&self, cut: &[usize], mode: PathMode) {
        cut.iter().for_each(|number| self.paths[*number].set_mode(mode));
    }

    /// Performs `work` while callers send requests to all boxes.
    fn with_load<T>(&self, work: impl FnOnce() -> T) -> T {
        let request_all = |gateway: &BoxUnderTest| {
            for (service, _) in SERVICES {
                drop(request(gateway, &format!("/{service}/load")));
            }
        };
        request_while(&self.boxes, request_all, PAUSE, work)
    }
}

/// Sends a request of a caller that waits for two seconds.
fn request(gateway: &BoxUnderTest, path: &str) -> CallerReply {
    gateway.connect().request("GET", path, "X-Left: 2000\r\n")
}

/// Waits until the box serves some requests of each service, one after the other. Each check ends at the first request
/// that is not served.
fn wait_until_served(gateway: &BoxUnderTest, when: &str) {
    /// Pause between two checks. All pauses together last for the 3 s within which a box must have noticed.
    const CHECK_PAUSE: Duration = Duration::from_millis(100);
    const MAX_CHECKS: usize = 30;
    let is_served = (0..MAX_CHECKS).any(|_| {
        thread::sleep(CHECK_PAUSE);
        serves(gateway)
    });
    assert!(is_served, "{when}: the box at {} does not serve", gateway.host());
}

/// Returns whether the box serves some requests of each service, one after the other.
fn serves(gateway: &BoxUnderTest) -> bool {
    (0..SERVED_IN_A_ROW).all(|number| {
        SERVICES.iter().all(|(service, _)| {
            request(gateway, &format!("/{service}/probe-{number}")).status == 200
        })
    })
}

struct CutCase {
    name: &'static str,
    /// Numbers of the boxes without paths.
    cut: &'static [usize],
    mode: PathMode,
}

const CUT_CASES: &[CutCase] = &[
    CutCase { name: "one box, connections hang", cut: &[0], mode: PathMode::Hangs },
    CutCase { name: "one box, connections are reset", cut: &[0], mode: PathMode::Reset },
    CutCase { name: "one box, connections are refused", cut: &[3], mode: PathMode::Refused },
    CutCase { name: "one box, connections are left unread", cut: &[2], mode: PathMode::Unread },
    CutCase { name: "a whole data centre, connections hang", cut: &[0, 2], mode: PathMode::Hangs },
    CutCase { name: "a whole data centre, reset", cut: &[1, 3], mode: PathMode::Reset },
    CutCase { name: "all but one, refused", cut: &[0, 1, 2], mode: PathMode::Refused },
];

/// Boxes that had lost their paths to the targets refused all requests, while the others served theirs.
#[test]
fn boxes_without_paths_to_targets_have_requests_served_by_peers() {
    for case in CUT_CASES {
        let world = World::start(4);
        world.with_load(|| {
            let wait = |numbers: &[usize], when: &str| {
                for number in numbers {
                    wait_until_served(&world.boxes[*number], &format!("{}: {when}", case.name));
                }
            };
            wait(&[0, 1, 2, 3], "before the cut");
            world.set_paths(case.cut, case.mode);
            wait(case.cut, "during the cut");
            world.set_paths(case.cut, PathMode::Open);
            wait(&[0, 1, 2, 3], "after the cut");
        });
    }
}

/// Boxes whose connections were reset and whose new ones were refused took the targets for ended, and the same lookup at
/// three of them for a request that ends targets: every box refused it for ten minutes.
#[test]
fn requests_that_were_open_when_paths_were_lost_do_not_count_as_poison() {
    const PATH: &str = "/reads/popular";
    let world = World::start(4);
    let reads = || world.targets.iter().filter(|target| &*target.entry.service == "reads");
    reads().for_each(|target| target.set_script(Script::WaitsForRelease));
    let cut = [0, 1, 2];
    cut.iter().for_each(|number| world.paths[*number].keep_established());
    thread::scope(|scope| {
        let is_held = || reads().filter(|target| !target.requests().is_empty()).count() >= 3;
        eventually("three targets hold the lookup", || {
            for number in cut {
                scope.spawn({
                    let gateway = &world.boxes[number];
                    move || drop(request(gateway, PATH))
                });
            }
            thread::sleep(PAUSE);
            is_held()
        });
        world.set_paths(&cut, PathMode::Refused);
        cut.iter().for_each(|number| world.paths[*number].close_established());
    });
    reads().for_each(TargetStandin::release);
    for gateway in &world.boxes[3..] {
        assert_eq!(request(gateway, PATH).status, 200, "the lookup is served");
    }
    world.set_paths(&cut, PathMode::Open);
    for gateway in &world.boxes {
        wait_until_served(gateway, "after the cut");
        assert_eq!(request(gateway, PATH).status, 200, "the lookup is served after the cut");
    }
}

/// A box that reached no target noted all of them as suspects in the store, for every box that starts.
#[test]
fn targets_behind_lost_paths_are_not_noted_as_suspects() {
    /// Time of a cut, in which each of the two boxes that may write the note has found targets to be suspects.
    const CUT_TIME: Duration = Duration::from_secs(4);
    let world = World::start_with(4, |_, settings| settings.overload = OverloadControl::On);
    world.targets.iter().for_each(|target| target.set_script(Script::GoodInUsualTime));
    // Attempts count as stalled only once the usual time of their route is known.
    let all: Vec<usize> = (0..world.boxes.len()).collect();
    world.with_load(|| {
        for number in &all {
            wait_until_served(&world.boxes[*number], "before the cut");
        }
        for cut in [[0, 2], [1, 3]] {
            // Targets that were slow before the cut are suspects by right.
            eventually("no target is noted", || world.store.noted_suspects() == 0);
            world.set_paths(&cut, PathMode::Unread);
            let until = Instant::now() + CUT_TIME;
            while Instant::now() < until {
                assert_eq!(world.store.noted_suspects(), 0, "noted by the boxes {cut:?}");
                thread::sleep(PAUSE);
            }
            world.set_paths(&cut, PathMode::Open);
            for number in cut {
                wait_until_served(&world.boxes[number], "after the cut");
            }
        }
    });
}

/// A box that reads the store and has lost its paths noted the targets that it suspected by that.
#[test]
fn box_that_reaches_no_target_notes_none_as_suspects() {
    /// Time of the cut. A note that differs in its suspects is written each three seconds at most.
    const CUT_TIME: Duration = Duration::from_secs(4);
    let world = World::start_with(1, |_, settings| settings.overload = OverloadControl::On);
    world.with_load(|| {
        wait_until_served(&world.boxes[0], "before the cut");
        world.set_paths(&[0], PathMode::Unread);
        let until = Instant::now() + CUT_TIME;
        while Instant::now() < until {
            assert_eq!(world.store.noted_suspects(), 0);
            thread::sleep(PAUSE);
        }
    });
}
