//! Pipelined requests: those that a caller sends before it has received the answer to the previous one.
//!
//! They were handled one after the other, so that the last of four took four times as long as a single one.

mod harness;

use std::io::Read;
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, CallerStandin, Script, StoreStandin, TargetStandin, config, eventually, header,
    route,
};
use wingbridge_gateway::routes::RouteKind;

struct World {
    _store: StoreStandin,
    targets: Vec<TargetStandin>,
    gateway: BoxUnderTest,
}

fn world(script: Script, kind: RouteKind) -> World {
    let store = StoreStandin::default();
    let targets: Vec<TargetStandin> =
        (0..4).map(|n| TargetStandin::start(&format!("t{n}"), "service", script)).collect();
    let other = route("other", "service", RouteKind::AtMostOnce);
    store.put_config(config(1, vec![route("r", "service", kind), other]));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    World { _store: store, targets, gateway }
}

impl World {
    fn requests(&self) -> usize {
        self.targets.iter().map(|target| target.requests().len()).sum()
    }
}

fn head(id: usize, route: &str, more: &str) -> String {
    format!("GET /{route}/x HTTP/1.1\r\nHost: host.example\r\nX-Id: id-{id}\r\n{more}\r\n")
}

/// Reads the answers on one connection, of which several may arrive at once.
struct Answers {
    caller: CallerStandin,
    bytes: Vec<u8>,
}

impl Answers {
    fn new(caller: CallerStandin) -> Answers {
        Answers { caller, bytes: Vec::new() }
    }

    /// Returns the head of the next answer; `None` if the connection closes before it is complete.
    fn next_head(&mut self) -> Option<String> {
        loop {
            let text = String::from_utf8_lossy(&self.bytes).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length: usize = header(head, "content-length")?.parse().ok()?;
                if rest.len() >= length {
                    self.bytes = rest.as_bytes()[length..].to_vec();
                    return Some(head.to_string());
                }
            }
            let mut chunk = [0; 4096];
            match self.caller.stream().read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.bytes.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

fn is_served(head: &str) -> bool {
    head.starts_with("HTTP/1.1 200")
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let world = world(Script::WaitsForRelease, RouteKind::Repeatable);
    let mut caller = world.gateway.connect();
    let heads: String = (0..4).map(|id| head(id, "r", "")).collect();
    caller.send_raw(&heads);
    eventually("all four have reached targets", || world.requests() >= 4);
    world.targets.iter().for_each(TargetStandin::release);
    let mut answers = Answers::new(caller);
    for id in 0..4 {
        let head = answers.next_head().expect("an answer");
        assert!(is_served(&head) && head.contains(&format!("id-{id}")), "{id}: {head}");
    }
}

#[test]
fn a_non_repeatable_request_waits_for_the_answers_before_it() {
    let world = world(Script::WaitsForRelease, RouteKind::Repeatable);
    let mut caller = world.gateway.connect();
    caller.send_raw(&format!("{}{}{}", head(0, "r", ""), head(1, "other", ""), head(2, "r", "")));
    eventually("the first has reached a target", || world.requests() >= 1);
    thread::sleep(Duration::from_millis(200));
    let once =
        |target: &TargetStandin| target.requests().iter().any(|seen| seen.contains("/other/"));
    assert!(!world.targets.iter().any(once), "an earlier answer could still close the connection");
    world.targets.iter().for_each(TargetStandin::release);
    let mut answers = Answers::new(caller);
    for id in 0..3 {
        let head = answers.next_head().expect("an answer");
        assert!(head.contains(&format!("id-{id}")), "{id}: {head}");
    }
}

#[test]
fn no_request_runs_after_one_that_closes_its_connection() {
    let world = world(Script::Good, RouteKind::Repeatable);
    let mut caller = world.gateway.connect();
    caller.send_raw(&format!("{}{}", head(0, "r", "Connection: close\r\n"), head(1, "r", "")));
    let mut answers = Answers::new(caller);
    assert!(is_served(&answers.next_head().expect("an answer")));
    assert!(answers.next_head().is_none(), "the second request is not read");
    assert_eq!(world.requests(), 1);
}

#[test]
fn a_planned_stop_loses_no_open_pipelined_request() {
    let world = world(Script::WaitsForRelease, RouteKind::Repeatable);
    let mut caller = world.gateway.connect();
    let heads: String = (0..3).map(|id| head(id, "r", "")).collect();
    caller.send_raw(&heads);
    eventually("all three have reached targets", || world.requests() >= 3);
    world.gateway.begin_stop();
    eventually("the box is stopping", || !world.gateway.is_ready());
    caller.send_raw(&head(3, "r", ""));
    thread::sleep(Duration::from_millis(100));
    world.targets.iter().for_each(TargetStandin::release);
    let mut answers = Answers::new(caller);
    let heads: Vec<String> = std::iter::from_fn(|| answers.next_head()).collect();
    assert_eq!(heads.iter().filter(|head| is_served(head)).count(), 3);
    assert!(heads[2].to_lowercase().contains("connection: close"), "{}", heads[2]);
}

#[test]
fn a_caller_that_disconnects_cancels_all_pipelined_requests() {
    let world = world(Script::Hangs, RouteKind::Repeatable);
    let mut caller = world.gateway.connect();
    let heads: String = (0..3).map(|id| head(id, "r", "")).collect();
    caller.send_raw(&heads);
    eventually("all three have reached targets", || world.requests() >= 3);
    drop(caller);
    let hang_ups = || world.targets.iter().map(TargetStandin::hang_ups).sum::<usize>();
    eventually("all three attempts are cancelled", || hang_ups() >= 3);
}

struct LongCase {
    name: &'static str,
    kind: RouteKind,
    /// Number of lookups that may get no answer, as nothing told before that the answers are long.
    lost: usize,
}

const LONG_CASES: &[LongCase] = &[
    LongCase { name: "a download", kind: RouteKind::Download, lost: 0 },
    LongCase { name: "a lookup with a long answer", kind: RouteKind::Repeatable, lost: 1 },
];

/// A lookup that was sent behind a long answer was passed on, and got no answer when the long one broke off.
#[test]
fn no_request_runs_behind_a_long_answer_that_may_break_off() {
    const ROUNDS: usize = 4;
    for case in LONG_CASES {
        let store = StoreStandin::default();
        let long = TargetStandin::start("long", "long", Script::LongTruncated);
        let short = TargetStandin::start("short", "short", Script::Good);
        let routes =
            vec![route("l", "long", case.kind), route("s", "short", RouteKind::Repeatable)];
        store.put_config(config(1, routes));
        store.put_targets(vec![long.entry.clone(), short.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        for round in 1..=ROUNDS {
            let mut caller = gateway.connect();
            caller.send_raw(&format!("{}{}", head(1, "l", ""), head(2, "s", "")));
            let reply = caller.read().expect("the beginning of the long answer");
            assert!(!reply.complete, "{}: it breaks off", case.name);
            assert!(long.requests().len() >= round);
        }
        let lost = short.requests().len();
        assert!(lost <= case.lost, "{}: {lost} lookups ran without an answer", case.name);
    }
}
