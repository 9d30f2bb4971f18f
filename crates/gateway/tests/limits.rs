//! Targets that announce a limit: the number of requests a second that they accept from all boxes together.
//!
//! The failure that these tests guard against: two targets of forty boxes announced limits of 1 and 1.1, which no box
//! read, and no box knew what the others had sent. Both targets remained as eligible as any other, and received 32 and
//! 19 requests in 4 s, 41 within nine seconds from eight boxes. None of these was a trial, and one a second attempt.
//! One box alone sent ten in 4 s. A limit that each box keeps by itself does not suffice: forty boxes that send one request
//! each in 4 s send forty together.
//!
//! Each request to such a target now needs a permit from the one box that coordinates the target's permits.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, CallerReply, Script, StoreStandin, TargetStandin, config, eventually, header,
    max_within, own_host, request_while, route,
};
use wingbridge_gateway::routes::RouteKind;

/// Time within which all boxes must have learned of a limit, a requirement of the users.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted, a requirement of the users.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which requests are sent once a limit is known.
const REQUEST_TIME: Duration = Duration::from_secs(9);
/// Time between two requests to one box.
const PAUSE: Duration = Duration::from_millis(25);

/// A disturbance of the boxes, the store or the limit while requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// Two boxes are stopped and restarted, one after the other.
    Restarts,
    /// The targets are listed with other slots, then without the limited one, then all again. After that the store is
    /// unavailable.
    Listings,
    /// The limit is lowered from 8 requests a second.
    Lowered,
}

struct LimitCase {
    name: &'static str,
    boxes: usize,
    /// Header lines of the target's answers.
    headers: &'static str,
    /// Limit in requests a second.
    per_second: f64,
    script: Script,
    kind: RouteKind,
    disturbance: Disturbance,
    /// Whether every other box is in another data centre than the targets.
    two_centres: bool,
}

const BASE_CASE: LimitCase = LimitCase {
    name: "one box",
    boxes: 1,
    headers: "X-Limit: 1\r\n",
    per_second: 1.0,
    script: Script::Good,
    kind: RouteKind::AtMostOnce,
    disturbance: Disturbance::None,
    two_centres: false,
};

const ONE_BOX_CASES: &[LimitCase] = &[
    BASE_CASE,
    LimitCase { name: "one and a half", headers: "X-Limit: 1.5\r\n", per_second: 1.5, ..BASE_CASE },
    LimitCase { name: "with second attempts", kind: RouteKind::Repeatable, ..BASE_CASE },
    LimitCase { name: "a limit of zero", headers: "X-Limit: 0\r\n", per_second: 0.0, ..BASE_CASE },
    LimitCase {
        name: "one request in 100 s",
        headers: "X-Limit: 0.01\r\n",
        per_second: 0.01,
        ..BASE_CASE
    },
    LimitCase { name: "two limits", headers: "X-Limit: 50\r\nX-Limit: 1\r\n", ..BASE_CASE },
    LimitCase { name: "one invalid limit", headers: "X-Limit: inf\r\nX-Limit: 1\r\n", ..BASE_CASE },
];

const ANSWER_CASES: &[LimitCase] = &[
    LimitCase { name: "failures", script: Script::Fails, ..BASE_CASE },
    LimitCase { name: "refusals", script: Script::Sheds, ..BASE_CASE },
    LimitCase { name: "too many requests", script: Script::TooMany, ..BASE_CASE },
    LimitCase { name: "chunks", script: Script::Chunked, ..BASE_CASE },
    LimitCase { name: "long answers", script: Script::Long, ..BASE_CASE },
    LimitCase { name: "answers cut short", script: Script::Truncated, ..BASE_CASE },
];

const SIX_BOX_CASES: &[LimitCase] = &[
    LimitCase { name: "six boxes", boxes: 6, ..BASE_CASE },
    LimitCase { name: "six boxes of two data centres", boxes: 6, two_centres: true, ..BASE_CASE },
    LimitCase {
        name: "six boxes, a half",
        boxes: 6,
        headers: "X-Limit: 0.5\r\n",
        per_second: 0.5,
        ..BASE_CASE
    },
];

const DISTURBANCE_CASES: &[LimitCase] = &[
    LimitCase {
        name: "two of six restarted",
        boxes: 6,
        disturbance: Disturbance::Restarts,
        ..BASE_CASE
    },
    LimitCase {
        name: "new listings, no store",
        boxes: 6,
        disturbance: Disturbance::Listings,
        ..BASE_CASE
    },
    LimitCase { name: "lowered from 8", boxes: 4, disturbance: Disturbance::Lowered, ..BASE_CASE },
];

/// Boxes that know each other, and three targets of one service.
struct World {
    store: StoreStandin,
    /// Target that announces a limit.
    limited: TargetStandin,
    others: [TargetStandin; 2],
    boxes: Vec<BoxUnderTest>,
}

impl World {
    fn start(boxes: usize, script: Script, kind: RouteKind) -> World {
        World::start_in(boxes, script, kind, false)
    }

    /// Starts a world in which, if `two_centres` is set, every other box is in a data centre without targets.
    fn start_in(boxes: usize, script: Script, kind: RouteKind, two_centres: bool) -> World {
        let limited = TargetStandin::start("limited", "service", script);
        let others = ["one", "two"].map(|id| TargetStandin::start(id, "service", Script::Good));
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", kind)]));
        let mut world = World { store, limited, others, boxes: Vec::new() };
        world.list(true, 3);
        let hosts: Vec<_> = (0..boxes).map(|_| own_host()).collect();
        for (number, host) in hosts.iter().enumerate() {
            let is_elsewhere = two_centres && number % 2 == 1;
            let port = world.store.port(true);
            world.boxes.push(BoxUnderTest::start_at(*host, port, &hosts, |settings| {
                if is_elsewhere {
                    settings.data_centre = "elsewhere".into();
                }
            }));
        }
        for started in &world.boxes {
            started.wait_ready();
        }
        // Within this time the boxes learn of each other.
        thread::sleep(PROPAGATION_TIME);
        world
    }

    fn list(&self, with_limited: bool, slots: u32) {
        let mut entries: Vec<_> = self.others.iter().map(|target| target.entry.clone()).collect();
        if with_limited {
            entries.push(self.limited.entry.clone());
        }
        entries.iter_mut().for_each(|entry| entry.slots = slots);
        self.store.put_targets(entries);
    }

    /// Restarts a box. Afterwards it knows only the other boxes.
    fn restart(&mut self, index: usize) {
        let hosts: Vec<_> = self.boxes.iter().map(BoxUnderTest::host).collect();
        let stopped = self.boxes.remove(index);
        let host = stopped.host();
        stopped.wait_end();
        let started = BoxUnderTest::start_at(host, self.store.port(true), &hosts, |_| {});
        self.boxes.insert(index, started);
    }

    /// Sends requests to each box in a loop while `meanwhile` runs.
    fn request_all_while<T>(&mut self, meanwhile: impl FnOnce(&mut World) -> T) -> T {
        let hosts: Vec<_> = self.boxes.iter().map(BoxUnderTest::host).collect();
        let ask = |host: &IpAddr| {
            // A box that is starting refuses connections.
            if let Some(mut caller) = BoxUnderTest::try_connect(*host) {
                caller.send("GET", "/r/x", "", "");
                caller.read();
            }
        };
        request_while(&hosts, ask, PAUSE, || meanwhile(self))
    }
}

/// Returns the number of requests that a limit allows within a window: one and a half times the limit, plus 5.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

fn check(case: &LimitCase) {
    let mut world = World::start_in(case.boxes, case.script, case.kind, case.two_centres);
    let from = world.request_all_while(|world| {
        if case.disturbance == Disturbance::Lowered {
            world.limited.set_answer_headers("X-Limit: 8\r\n");
            thread::sleep(PROPAGATION_TIME);
        }
        world.limited.set_answer_headers(case.headers);
        let before = world.limited.requests().len();
        eventually("the limit is announced", || world.limited.requests().len() > before);
        let from = Instant::now() + PROPAGATION_TIME;
        match case.disturbance {
            Disturbance::None | Disturbance::Lowered => thread::sleep(REQUEST_TIME),
            Disturbance::Restarts => {
                thread::sleep(PROPAGATION_TIME);
                [0, 3].into_iter().for_each(|index| world.restart(index));
            }
            Disturbance::Listings => {
                thread::sleep(PROPAGATION_TIME);
                world.list(true, 9);
                thread::sleep(WINDOW / 4);
                world.list(false, 3);
                thread::sleep(WINDOW / 4);
                world.list(true, 3);
                thread::sleep(WINDOW / 4);
                world.store.set_unreachable(true);
                thread::sleep(WINDOW / 2);
            }
        }
        from
    });
    let max_sent = max_within(&world.limited.arrivals(), from, WINDOW);
    let max_allowed = allowed(case.per_second);
    assert!(max_sent <= max_allowed, "{}: {max_sent} in 4 s, allowed {max_allowed}", case.name);
}

fn check_all(cases: &[LimitCase]) {
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(move || check(case));
        }
    });
}

#[test]
fn one_box_keeps_a_limit() {
    check_all(ONE_BOX_CASES);
}

#[test]
fn any_answer_may_announce_a_limit() {
    check_all(ANSWER_CASES);
}

#[test]
fn six_boxes_keep_a_limit_together() {
    check_all(SIX_BOX_CASES);
}

#[test]
fn limit_is_kept_through_restarts_new_listings_and_lowering() {
    check_all(DISTURBANCE_CASES);
}

struct InvalidLimitCase {
    name: &'static str,
    script: Script,
    headers: &'static str,
}

const INVALID_LIMITS: &[InvalidLimitCase] = &[
    InvalidLimitCase { name: "negative", script: Script::Good, headers: "X-Limit: -1\r\n" },
    InvalidLimitCase { name: "empty", script: Script::Good, headers: "X-Limit:\r\n" },
    InvalidLimitCase { name: "not a number", script: Script::Good, headers: "X-Limit: few\r\n" },
    InvalidLimitCase { name: "endless", script: Script::Good, headers: "X-Limit: inf\r\n" },
    InvalidLimitCase { name: "an exponent", script: Script::Good, headers: "X-Limit: 1e400\r\n" },
    InvalidLimitCase {
        name: "two decimal points",
        script: Script::Good,
        headers: "X-Limit: 0.0.1\r\n",
    },
    InvalidLimitCase {
        name: "very large",
        script: Script::Good,
        headers: "X-Limit: 99999999999\r\n",
    },
    InvalidLimitCase {
        name: "the id of another request",
        script: Script::WrongId,
        headers: "X-Limit: 0\r\n",
    },
    InvalidLimitCase { name: "no proof", script: Script::NoProof, headers: "X-Limit: 0\r\n" },
];

/// Number of requests that a target without a limit must receive. On a busy machine a connection may be late, and its
/// target is avoided for seconds then. With a limit of one request a second it would not receive half of them.
const MIN_RECEIVED: usize = 100;
/// Maximum number of requests sent until the target has received these.
const MAX_SENT: usize = 3_000;

fn check_invalid_limit(case: &InvalidLimitCase) {
    let world = World::start(1, case.script, RouteKind::AtMostOnce);
    world.limited.set_answer_headers(case.headers);
    // Unusable answers make the target suspected. It then receives only an occasional request.
    let min_received = if case.script == Script::Good { MIN_RECEIVED } else { 4 };
    for _ in 0..MAX_SENT {
        world.boxes[0].request("GET", "/r/x");
        if world.limited.requests().len() >= min_received {
            return;
        }
        thread::sleep(PAUSE / 3);
    }
    panic!("{}: {} requests", case.name, world.limited.requests().len());
}

#[test]
fn invalid_or_foreign_limits_have_no_effect() {
    thread::scope(|scope| {
        for case in INVALID_LIMITS {
            scope.spawn(move || check_invalid_limit(case));
        }
    });
}

/// Requests beyond the limits of all targets are refused at once, with a time after which to retry.
#[test]
fn requests_beyond_all_limits_are_refused_with_retry_after() {
    let world = World::start(1, Script::Good, RouteKind::AtMostOnce);
    for target in [&world.limited, &world.others[0], &world.others[1]] {
        target.set_answer_headers("X-Limit: 1\r\n");
    }
    let ask = || world.boxes[0].request("GET", "/r/x");
    eventually("a request is refused", || ask().status == 503);
    let replies: Vec<CallerReply> = (0..20).map(|_| ask()).collect();
    let refused: Vec<&CallerReply> = replies.iter().filter(|reply| reply.status == 503).collect();
    assert!(!refused.is_empty(), "three of 20 in a burst are within the limits");
    for reply in refused {
        let wait = header(&reply.head, "retry-after").and_then(|text| text.parse::<f64>().ok());
        // Within the next second the targets accept requests again.
        assert!(wait.is_some_and(|wait| wait > 0.0 && wait <= 2.5), "{}", reply.head);
    }
    eventually("a request is served again", || ask().status == 200);
}

/// A limit above zero does not exclude a target.
#[test]
fn limited_target_is_still_used() {
    let world = World::start(1, Script::Good, RouteKind::AtMostOnce);
    world.limited.set_answer_headers("X-Limit: 4\r\n");
    eventually("the target receives more requests after it announced its limit", || {
        world.boxes[0].request("GET", "/r/x");
        world.limited.requests().len() >= 12
    });
}

#[test]
fn limit_ends_with_the_first_answer_without_it() {
    let world = World::start(2, Script::Good, RouteKind::AtMostOnce);
    world.limited.set_answer_headers("X-Limit: 1\r\n");
    let ask = || world.boxes.iter().for_each(|asked| drop(asked.request("GET", "/r/x")));
    eventually("the limit is announced", || {
        ask();
        !world.limited.requests().is_empty()
    });
    world.limited.set_answer_headers("");
    let before = world.limited.requests().len();
    eventually("the target receives as many requests as before", || {
        ask();
        world.limited.requests().len() >= before + 40
    });
}
