//! Poison requests: requests under which targets end and which callers send again.
//!
//! The failure that these tests guard against: callers sent a lookup that ended each target that began to execute it to
//! 16 boxes within nine seconds. Each box treated it as a new request: it sent it to a target, saw "closed before an
//! answer" and, if the budget had a retry, sent it to the next target. The boxes neither recorded nor reported anything
//! about the request itself, and only suspected the targets. 18 targets ended, each of them as soon as it was available
//! again (`i-2f0786b210: closed before an answer` 1.2 s after its start), and less than a fifth of the lookups were
//! served for five seconds.

mod harness;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_std::task;
use harness::{
    BoxUnderTest, POISON_PATH_PART, Script, StoreStandin, TargetStandin, config, eventually,
    header, route, unused_targets,
};
use wingbridge_gateway::routes::RouteKind;

/// Time within which boxes must have notified each other.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of poison requests that may reach targets after that time.
const MAX_LATE_SENDS: usize = 3;

/// Number of targets above which boxes poll the store for changes, with a margin.
const LONG_LISTING: usize = 700;

/// Targets of two data centres and boxes in both.
struct World {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
    boxes: Vec<BoxUnderTest>,
}

impl World {
    fn start(boxes: usize, targets: usize, script: Script) -> World {
        let names = (0..targets).map(|number| format!("t{number}"));
        let start = |name: String| TargetStandin::start(&name, "service", script);
        let mut targets: Vec<TargetStandin> = names.map(start).collect();
        for target in targets.iter_mut().step_by(2) {
            target.entry.data_centre = "other".into();
        }
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let mut world = World { store, targets, boxes: Vec::new() };
        for number in 0..boxes {
            world.add_box(if number % 2 == 0 { "centre" } else { "other" });
        }
        world
    }

    fn add_box(&mut self, data_centre: &str) {
        let seeds: Vec<_> = self.boxes.iter().map(BoxUnderTest::host).collect();
        let gateway = BoxUnderTest::start_with(self.store.port(true), &seeds, |settings| {
            settings.data_centre = data_centre.into();
        });
        gateway.wait_ready();
        self.boxes.push(gateway);
    }

    /// Returns the number of poison requests that reached targets. Each ended one target.
    fn poison_sends(&self) -> usize {
        let requests = self.targets.iter().flat_map(TargetStandin::requests);
        requests
            .filter(|request| {
                request.lines().next().is_some_and(|line| line.contains(POISON_PATH_PART))
            })
            .count()
    }

    /// Returns the number of targets that accept connections.
    fn running(&self) -> usize {
        self.targets.iter().filter(|target| listens(target)).count()
    }

    /// Makes the store list only the targets that accept connections.
    fn list_running(&self) {
        let running = self.targets.iter().filter(|target| listens(target));
        self.store.put_targets(running.map(|target| target.entry.clone()).collect());
    }

    /// Sends the poison request to the first box until three targets have ended.
    fn end_three_targets(&self) {
        while self.poison_sends() < 3 {
            self.boxes[0].request("GET", "/r/deadly");
        }
    }

    /// Sends the poison request twice to each box. Returns how many of these requests reached targets.
    fn sends_by_all(&self) -> usize {
        let before = self.poison_sends();
        for gateway in self.boxes.iter().chain(&self.boxes) {
            gateway.request("GET", "/r/deadly");
        }
        self.poison_sends() - before
    }
}

fn listens(target: &TargetStandin) -> bool {
    TcpStream::connect(&*target.entry.address).is_ok()
}

#[test]
fn request_under_which_three_targets_ended_is_refused_by_all_boxes() {
    let world = World::start(4, 24, Script::CrashesOnPoison);
    world.end_three_targets();
    thread::sleep(PROPAGATION_TIME);
    let sends = world.sends_by_all();
    assert!(sends <= MAX_LATE_SENDS, "{sends} more sends");
    for gateway in &world.boxes {
        let reply = gateway.request("GET", "/r/deadly");
        assert_eq!(reply.status, 503, "it is refused as not executed");
        assert!(header(&reply.head, "retry-after").is_some());
        assert_eq!(gateway.request("GET", "/r/sound").status, 200, "other requests are served");
    }
}

#[test]
fn box_that_starts_later_learns_of_poison_requests() {
    let mut world = World::start(2, 24, Script::CrashesOnPoison);
    world.end_three_targets();
    world.add_box("centre");
    world.add_box("other");
    thread::sleep(PROPAGATION_TIME);
    let sends = world.sends_by_all();
    assert!(sends <= MAX_LATE_SENDS, "{sends} more sends");
}

/// When the caller disconnected at once, the box did not observe how its request ended.
#[test]
fn poison_request_is_detected_if_its_callers_disconnect() {
    let world = World::start(1, 8, Script::CrashesOnPoisonAfterClose);
    let gateway = &world.boxes[0];
    while world.poison_sends() < 3 {
        let before = world.poison_sends();
        let mut caller = gateway.connect();
        caller.send("GET", "/r/deadly", "", "");
        eventually("a target receives it", || world.poison_sends() > before);
        drop(caller);
        eventually("the target ends", || world.running() == 8 - world.poison_sends());
        world.list_running();
    }
    thread::sleep(PROPAGATION_TIME);
    let before = world.poison_sends();
    assert_eq!(gateway.request("GET", "/r/deadly").status, 503);
    assert_eq!(world.poison_sends(), before, "it no longer reaches a target");
    assert_eq!(gateway.request("GET", "/r/sound").status, 200, "other requests are served");
}

/// When all boxes lost power at once, the records that they had exchanged were lost.
#[test]
fn crash_records_outlast_a_restart_of_all_boxes() {
    let mut world = World::start(2, 24, Script::CrashesOnPoison);
    world.end_three_targets();
    thread::sleep(PROPAGATION_TIME);
    for gateway in &world.boxes {
        gateway.begin_stop();
    }
    for gateway in world.boxes.drain(..) {
        gateway.wait_end();
    }
    world.add_box("centre");
    world.add_box("other");
    assert_eq!(world.sends_by_all(), 0, "more sends");
}

/// A box that polls the store for changes got no notes about poison requests: only full reads brought them.
#[test]
fn boxes_that_poll_the_store_learn_of_poison_requests() {
    let elsewhere = World::start(1, 8, Script::CrashesOnPoison);
    elsewhere.end_three_targets();
    eventually("the poison request is noted", || elsewhere.store.crash_notes() > 0);
    let world = World::start(0, 8, Script::CrashesOnPoison);
    let targets = world.targets.iter().map(|target| target.entry.clone());
    world.store.put_targets(targets.chain(unused_targets("unused", LONG_LISTING)).collect());
    let gateway = BoxUnderTest::start(world.store.port(true), &[]);
    gateway.wait_ready();
    eventually("the store is polled", || world.store.change_polls() > 0);
    for note in elsewhere.store.notes() {
        let port = world.store.port(true);
        task::block_on(port.write_crash_note("elsewhere", &note)).expect("the store is there");
    }
    let polls = world.store.change_polls();
    eventually("the note is read", || world.store.change_polls() > polls + 1);
    assert_eq!(gateway.request("GET", "/r/deadly").status, 503);
    assert_eq!(world.poison_sends(), 0, "it reaches no target");
}

/// A waiting request was checked when it arrived, but not again before it was sent.
#[test]
fn waiting_request_is_checked_again_before_it_is_sent() {
    let mut world = World::start(0, 12, Script::CrashesOnPoison);
    let full = TargetStandin::start("full", "service", Script::WaitsThenSheds);
    world.store.put_targets(vec![full.entry.clone()]);
    world.add_box("centre");
    let mut waiting = world.boxes[0].connect();
    waiting.send("GET", "/r/deadly", "", "");
    eventually("it waits for the saturated target", || full.requests().len() == 1);
    world.list_running();
    world.add_box("centre");
    while world.poison_sends() < 3 {
        world.boxes[1].request("GET", "/r/deadly");
    }
    thread::sleep(PROPAGATION_TIME);
    let before = world.poison_sends();
    full.release();
    assert_eq!(waiting.read().expect("an answer").status, 503, "it was not executed");
    assert_eq!(world.poison_sends(), before, "it no longer reaches a target");
}
