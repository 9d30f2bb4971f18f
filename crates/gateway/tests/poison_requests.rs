//! Targets end under a request, and the request comes again.
//!
//! A lookup that ended each target that began to run it was asked for at 16 boxes within nine seconds. Each box took it for
//! a new one: it sent it to a target, saw "closed before an answer" and, where the budget had a retry, sent it to the next
//! one. Nothing that was seen of the request itself was kept or told, only that the target was suspect. 18 targets ended,
//! each of them as soon as it was back (`i-2f0786b210: closed before an answer` 1.2 s after its start), and lookups were served to
//! less than a fifth for five seconds.

mod harness;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, POISON_PATH_PART, Script, StoreStandin, TargetStandin, config, eventually,
    header, route,
};
use wingbridge_gateway::routes::RouteKind;

/// Time that boxes have to tell each other.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// Sends that may reach targets after that.
const SENDS_AFTER: usize = 3;

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

    /// Sends of deadly requests that reached targets; each ended one.
    fn deadly_sends(&self) -> usize {
        let seen = self.targets.iter().flat_map(TargetStandin::requests);
        seen.filter(|request| {
            request.lines().next().is_some_and(|line| line.contains(POISON_PATH_PART))
        })
        .count()
    }

    /// Targets that take connections.
    fn live(&self) -> usize {
        self.targets.iter().filter(|target| listens(target)).count()
    }

    /// Has the store list those alone.
    fn list_live(&self) {
        let live = self.targets.iter().filter(|target| listens(target));
        self.store.put_targets(live.map(|target| target.entry.clone()).collect());
    }

    /// Asks the first box for the deadly request until three targets have ended.
    fn end_three(&self) {
        while self.deadly_sends() < 3 {
            self.boxes[0].request("GET", "/r/deadly");
        }
    }

    /// Asks every box for it twice, and returns what reached targets by that.
    fn sends_by_all(&self) -> usize {
        let before = self.deadly_sends();
        for gateway in self.boxes.iter().chain(&self.boxes) {
            gateway.request("GET", "/r/deadly");
        }
        self.deadly_sends() - before
    }
}

fn listens(target: &TargetStandin) -> bool {
    TcpStream::connect(&*target.entry.address).is_ok()
}

#[test]
fn a_request_under_which_three_targets_ended_goes_to_no_more_from_any_box() {
    let world = World::start(4, 24, Script::CrashesOnPoison);
    world.end_three();
    thread::sleep(NEWS_TIME);
    let sends = world.sends_by_all();
    assert!(sends <= SENDS_AFTER, "{sends} more sends");
    for gateway in &world.boxes {
        let reply = gateway.request("GET", "/r/deadly");
        assert_eq!(reply.status, 503, "it is refused as not run");
        assert!(header(&reply.head, "retry-after").is_some());
        assert_eq!(gateway.request("GET", "/r/sound").status, 200, "others are served");
    }
}

#[test]
fn a_box_that_starts_later_knows_which_request_ended_targets() {
    let mut world = World::start(2, 24, Script::CrashesOnPoison);
    world.end_three();
    world.add_box("centre");
    world.add_box("other");
    thread::sleep(NEWS_TIME);
    let sends = world.sends_by_all();
    assert!(sends <= SENDS_AFTER, "{sends} more sends");
}

/// A caller that leaves at once hid from the box how its request ended.
#[test]
fn a_request_whose_callers_hang_up_is_found_by_the_targets_that_end() {
    let world = World::start(1, 8, Script::CrashesOnPoisonAfterClose);
    let gateway = &world.boxes[0];
    while world.deadly_sends() < 3 {
        let before = world.deadly_sends();
        let mut caller = gateway.connect();
        caller.send("GET", "/r/deadly", "", "");
        eventually("a target has it", || world.deadly_sends() > before);
        drop(caller);
        eventually("it ends", || world.live() == 8 - world.deadly_sends());
        world.list_live();
    }
    thread::sleep(NEWS_TIME);
    let before = world.deadly_sends();
    assert_eq!(gateway.request("GET", "/r/deadly").status, 503);
    assert_eq!(world.deadly_sends(), before, "it reaches no target any more");
    assert_eq!(gateway.request("GET", "/r/sound").status, 200, "others are served");
}

/// All boxes lost power at once, and what they had told each other was gone with them.
#[test]
fn boxes_that_all_start_anew_know_which_request_ended_targets() {
    let mut world = World::start(2, 24, Script::CrashesOnPoison);
    world.end_three();
    thread::sleep(NEWS_TIME);
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

/// What waits was judged when it came, and not again when its turn did.
#[test]
fn a_request_that_waits_is_refused_when_its_turn_comes() {
    let mut world = World::start(0, 12, Script::CrashesOnPoison);
    let full = TargetStandin::start("full", "service", Script::WaitsThenSheds);
    world.store.put_targets(vec![full.entry.clone()]);
    world.add_box("centre");
    let mut waiting = world.boxes[0].connect();
    waiting.send("GET", "/r/deadly", "", "");
    eventually("it waits for the full target", || full.requests().len() == 1);
    world.list_live();
    world.add_box("centre");
    while world.deadly_sends() < 3 {
        world.boxes[1].request("GET", "/r/deadly");
    }
    thread::sleep(NEWS_TIME);
    let before = world.deadly_sends();
    full.release();
    assert_eq!(waiting.read().expect("an answer").status, 503, "it has not run");
    assert_eq!(world.deadly_sends(), before, "it reaches no target any more");
}
