//! A store that comes back from an older copy: what is written afterwards is followed, and what was
//! acknowledged before is not taken back.
//!
//! The store loses its last changes, begins a new era and gives out revisions again. Boxes ordered all that
//! they read by the number of the revision alone, so that they ignored the store until its numbers had passed
//! theirs: targets that had left got requests, and changes of the configuration were not in force.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, fetch_targets, route,
    unpacked, unused_targets,
};
use wingbridge_gateway::routes::{RouteConfig, RouteKind};
use wingbridge_gateway::view::TargetEntry;

/// Number of requests after which a target that is in use has got one almost certainly.
const REQUESTS: usize = 40;
/// Size in bytes of a configuration that is read separately from the listing.
const LARGE_CONFIG_BYTES: usize = 100 << 10;
/// Number of boxes in one data centre whose readings are counted.
const COST_BOXES: usize = 12;
/// More targets than are listed in full each time.
const LONG_LISTING: usize = 600;

/// The boxes of [`World`] in their order, by the way on which they get the store's changes.
const BOX_ROLES: [&str; 3] = ["reader", "fed by a peer", "of another data centre"];
/// Minimum time of a request whose first connection hung: boxes give up a connection after 120 ms.
const HUNG_CONNECTION: Duration = Duration::from_millis(100);

/// Boxes that get the store's changes on different ways, and targets of three services.
struct World {
    store: StoreStandin,
    /// Service of the route before the change.
    before: TargetStandin,
    /// Service of the route after the change.
    after: TargetStandin,
    /// Targets of the service whose route does not change.
    stays: TargetStandin,
    leaves: TargetStandin,
    joins: TargetStandin,
    /// Further listed targets, which no route leads to.
    others: Vec<TargetEntry>,
    boxes: Vec<BoxUnderTest>,
}

struct ReturnCase {
    name: &'static str,
    /// Number of changes that the store has lost when it comes back.
    lost: u64,
    /// Time for which the store does not answer before it comes back.
    away: Duration,
    /// Number of times that the store comes back.
    returns: usize,
    /// Size of the configuration in bytes.
    config_bytes: usize,
    /// Number of targets that are listed besides those of the test.
    other_targets: usize,
}

const BASE: ReturnCase = ReturnCase {
    name: "many changes are lost",
    lost: 400,
    away: Duration::ZERO,
    returns: 1,
    config_bytes: 0,
    other_targets: 0,
};

const RETURNS: &[ReturnCase] = &[
    BASE,
    ReturnCase { name: "the change gets the very revision that is held", lost: 1, ..BASE },
    ReturnCase { name: "nothing is lost", lost: 0, ..BASE },
    ReturnCase { name: "away for longer than an outage", away: Duration::from_secs(3), ..BASE },
    ReturnCase { name: "twice in a row", away: Duration::from_millis(200), returns: 2, ..BASE },
    ReturnCase { name: "a large configuration", config_bytes: LARGE_CONFIG_BYTES, ..BASE },
    ReturnCase { name: "a long listing", other_targets: LONG_LISTING, ..BASE },
    ReturnCase {
        name: "a large configuration and a long listing",
        config_bytes: LARGE_CONFIG_BYTES,
        other_targets: LONG_LISTING,
        ..BASE
    },
];

/// Returns the configuration in which the route "moving" leads to `service`.
fn config_to(version: u64, service: &str) -> RouteConfig {
    let moving = route("moving", service, RouteKind::AtMostOnce);
    config(version, vec![moving, route("stable", "service", RouteKind::AtMostOnce)])
}

impl World {
    fn start(case: &ReturnCase) -> World {
        let start = |id, service| TargetStandin::start(id, service, Script::Good);
        let mut world = World {
            store: StoreStandin::default(),
            before: start("before", "old"),
            after: start("after", "new"),
            stays: start("stays", "service"),
            leaves: start("leaves", "service"),
            joins: start("joins", "service"),
            others: unused_targets("other", case.other_targets),
            boxes: Vec::new(),
        };
        world.store.set_padding(case.config_bytes);
        world.store.put_config(config_to(1, "old"));
        world.put_targets(&[&world.stays.entry, &world.leaves.entry]);
        let reader = world.start_box(true, "centre", &[]);
        let seeds = [reader.host()];
        let fed_by_peer = world.start_box(false, "centre", &seeds);
        let remote = world.start_box(false, "elsewhere", &seeds);
        world.boxes = vec![reader, fed_by_peer, remote];
        world
    }

    fn start_box(&self, reachable: bool, data_centre: &str, seeds: &[IpAddr]) -> BoxUnderTest {
        let port = self.store.port(reachable);
        let gateway = BoxUnderTest::start_with(port, seeds, |settings| {
            settings.data_centre = data_centre.into();
        });
        gateway.wait_ready();
        gateway
    }

    fn put_targets(&self, targets: &[&TargetEntry]) {
        let own =
            [&self.before.entry, &self.after.entry].into_iter().chain(targets.iter().copied());
        let mut entries: Vec<TargetEntry> = own.chain(&self.others).cloned().collect();
        entries.sort_by(|one, other| one.id.cmp(&other.id));
        self.store.put_targets(entries);
    }

    /// Makes the store come back from a copy, after all boxes have what it loses.
    fn come_back(&self, case: &ReturnCase) {
        self.store.copy();
        self.store.skip_revisions(case.lost);
        let newest = self.store.revision().number;
        for gateway in &self.boxes {
            eventually("all boxes have what is lost", || {
                let version = fetch_targets(gateway.host(), 0).version;
                version.is_some_and(|version| version.revision >= newest)
            });
        }
        for _ in 0..case.returns {
            self.store.set_unreachable(true);
            thread::sleep(case.away);
            self.store.come_back();
            self.store.set_unreachable(false);
        }
    }
}

fn wait_reached(gateway: &BoxUnderTest, path: &str, target: &TargetStandin, what: &str) {
    let before = target.requests().len();
    eventually(what, || {
        gateway.request("POST", path);
        target.requests().len() > before
    });
}

/// Waits until none of [`REQUESTS`] requests to the box reaches `target`.
fn wait_unused(gateway: &BoxUnderTest, path: &str, target: &TargetStandin, what: &str) {
    eventually(what, || {
        let before = target.requests().len();
        for _ in 0..REQUESTS {
            gateway.request("POST", path);
        }
        target.requests().len() == before
    });
}

/// The configuration that was acknowledged after the return was in force seconds too late.
#[test]
fn configuration_written_after_a_return_from_a_copy_is_in_force() {
    for case in RETURNS {
        let world = World::start(case);
        world.come_back(case);
        world.store.put_config(config_to(2, "new"));
        for gateway in &world.boxes {
            wait_reached(gateway, "/moving/x", &world.after, case.name);
            wait_unused(gateway, "/moving/x", &world.before, case.name);
        }
    }
}

/// A target that said after the return that it leaves got requests.
#[test]
fn target_that_leaves_after_a_return_from_a_copy_is_not_used() {
    for case in RETURNS {
        let world = World::start(case);
        world.come_back(case);
        let leaving = TargetEntry { draining: true, ..world.leaves.entry.clone() };
        world.put_targets(&[&world.stays.entry, &leaving]);
        for gateway in &world.boxes {
            wait_unused(gateway, "/stable/x", &world.leaves, case.name);
        }
    }
}

/// A target that was added after the return got no request.
#[test]
fn target_that_joins_after_a_return_from_a_copy_is_used() {
    for case in RETURNS {
        check_joining_target(case, None);
    }
}

/// The check of a joining target failed if one of its connections came up late: the box that had tried it avoided
/// it for 2 s to more than 10 s, since requests that may run only once go to no suspect while there are others.
#[test]
fn target_that_joins_after_a_return_is_used_though_a_connection_hangs() {
    for number in 0..BOX_ROLES.len() {
        check_joining_target(&BASE, Some(number));
    }
}

/// Adds a target after the return, and checks that each box lists it beside the others and sends requests to it
/// once they have left. The first connection of the box `late_at` to the target hangs.
///
/// While the others are listed, a box may avoid the target for as long as it suspects it. So the others leave
/// after each box has listed it, which leaves the box no other choice.
fn check_joining_target(case: &ReturnCase, late_at: Option<usize>) {
    let world = World::start(case);
    world.come_back(case);
    let World { stays, leaves, joins, .. } = &world;
    world.put_targets(&[&stays.entry, &leaves.entry, &joins.entry]);
    for (gateway, role) in world.boxes.iter().zip(BOX_ROLES) {
        eventually(&format!("{}: {role} lists the target", case.name), || {
            let listed = unpacked(&fetch_targets(gateway.host(), 0));
            listed.iter().any(|target| *target.id == *joins.entry.id)
        });
    }
    if let Some(gateway) = late_at.map(|number| &world.boxes[number]) {
        joins.while_connections_hang(|| {
            eventually("the box has tried the target", || {
                let started = Instant::now();
                gateway.request("POST", "/stable/x");
                started.elapsed() >= HUNG_CONNECTION
            });
        });
    }
    world.put_targets(&[&joins.entry]);
    for (gateway, role) in world.boxes.iter().zip(BOX_ROLES) {
        wait_reached(gateway, "/stable/x", joins, &format!("{}: {role} uses it", case.name));
    }
}

/// Notes for boxes that start later, and for starts of all boxes, were lost with the store's last changes.
#[test]
fn notes_of_boxes_are_written_again_after_a_return_from_a_copy() {
    let poisoned: Vec<TargetStandin> = (0..6)
        .map(|number| {
            TargetStandin::start(&format!("p{number}"), "service", Script::CrashesOnPoison)
        })
        .collect();
    let store = StoreStandin::default();
    store.put_config(config_to(1, "old"));
    store.put_targets(poisoned.iter().map(|target| target.entry.clone()).collect());
    store.copy();
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    eventually("a poison request is refused", || {
        let sends = poisoned.iter().map(|target| target.requests().len()).sum::<usize>();
        sends >= 3 || gateway.request("GET", "/stable/deadly").status == 0
    });
    let has_notes = || store.crash_notes() > 0 && store.bootstrap_addresses() > 0;
    eventually("the notes are written", has_notes);
    store.come_back();
    assert!(!has_notes(), "the store has lost the notes");
    eventually("the notes are written again", has_notes);
}

/// Boxes whose readings did not renew their view read again at once, 2,400 times a second together.
#[test]
fn a_reading_that_does_not_renew_the_view_is_not_repeated_without_a_pause() {
    let store = StoreStandin::default();
    store.put_config(config_to(1, "old"));
    store.skip_revisions(10);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    store.rewind(5);
    let reads = store.reads();
    eventually("the box reads the older state", || store.reads() > reads + 1);
    // A box reads each 0.7 s, and after failures each 0.2 s at the most often.
    let pauses = (0..4).any(|_| {
        let before = store.reads();
        thread::sleep(Duration::from_millis(500));
        store.reads() - before <= 4
    });
    assert!(pauses, "{} readings in two seconds", store.reads() - reads);
}

struct CostCase {
    name: &'static str,
    away: Duration,
    /// Maximum number of readings for each box until all boxes have the change, failed ones included.
    readings: usize,
}

const COSTS: &[CostCase] = &[
    // The first box reads for all of its data centre, as at other times.
    CostCase { name: "at once", away: Duration::ZERO, readings: 1 },
    // Each box reads for itself once it has had no news for a while, with a growing pause between failures.
    CostCase { name: "away for three seconds", away: Duration::from_secs(3), readings: 10 },
];

/// Each box read the store without a pause from its return on.
#[test]
fn a_return_from_a_copy_costs_a_few_readings_a_box() {
    for case in COSTS {
        let store = StoreStandin::default();
        store.put_config(config_to(1, "old"));
        let reader = BoxUnderTest::start(store.port(true), &[]);
        let seeds = [reader.host()];
        let start = |_| BoxUnderTest::start(store.port(true), &seeds);
        let mut boxes: Vec<BoxUnderTest> = (1..COST_BOXES).map(start).collect();
        boxes.push(reader);
        for gateway in &boxes {
            gateway.wait_ready();
        }
        eventually("one box reads for all", || {
            let before = store.reads();
            thread::sleep(Duration::from_millis(2000));
            store.reads() - before <= 4
        });
        store.copy();
        store.skip_revisions(400);
        let before = store.reads();
        store.set_unreachable(true);
        thread::sleep(case.away);
        store.come_back();
        store.set_unreachable(false);
        store.put_config(config_to(2, "new"));
        for gateway in &boxes {
            eventually("the box has the change", || {
                let version = fetch_targets(gateway.host(), 0).version;
                version.is_some_and(|version| version.config_version == 2)
            });
        }
        let reads = store.reads() - before;
        println!("{}: {reads} readings of {COST_BOXES} boxes", case.name);
        assert!(reads <= case.readings * COST_BOXES, "{}: {reads} readings", case.name);
    }
}
