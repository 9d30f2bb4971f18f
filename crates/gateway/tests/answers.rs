//! The answers that callers get for different behaviours of targets, and how often a request is sent to targets.

mod harness;

use harness::{
    BEGUN_ANSWER_BYTES, BoxUnderTest, CallerStandin, LONG_ANSWER_BYTES, Script, StoreStandin,
    TargetStandin, config, counter_value, eventually, header, route,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_process::metrics::start_metrics;

const REPEATABLE: RouteKind = RouteKind::Repeatable;
const ONCE: RouteKind = RouteKind::AtMostOnce;

struct AnswerCase {
    name: &'static str,
    kind: RouteKind,
    /// Scripts of the targets of the service, one target each.
    scripts: &'static [Script],
    status: u16,
    body: Option<&'static str>,
    /// Minimum and maximum number of requests that targets receive.
    sends: (usize, usize),
}

const CASES: &[AnswerCase] = &[
    AnswerCase {
        name: "good",
        kind: ONCE,
        scripts: &[Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 1),
    },
    AnswerCase {
        name: "chunked",
        kind: ONCE,
        scripts: &[Script::Chunked],
        status: 200,
        body: Some("hello"),
        sends: (1, 1),
    },
    AnswerCase {
        name: "no length",
        kind: ONCE,
        scripts: &[Script::UntilClose],
        status: 200,
        body: Some("hello"),
        sends: (1, 1),
    },
    AnswerCase {
        name: "the failure of a non-repeatable request is forwarded to the caller",
        kind: ONCE,
        scripts: &[Script::Fails, Script::Fails],
        status: 500,
        body: Some("bad"),
        sends: (1, 1),
    },
    AnswerCase {
        name: "a repeatable request that fails is sent twice",
        kind: REPEATABLE,
        scripts: &[Script::Fails, Script::Fails],
        status: 500,
        body: Some("bad"),
        sends: (2, 2),
    },
    AnswerCase {
        name: "a repeatable request fails at one target and succeeds at the other",
        kind: REPEATABLE,
        scripts: &[Script::Fails, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "a non-repeatable request that was shed is sent to another target",
        kind: ONCE,
        scripts: &[Script::Sheds, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "all targets shed: not run",
        kind: ONCE,
        scripts: &[Script::Sheds, Script::Sheds],
        status: 503,
        body: None,
        sends: (2, 2),
    },
    AnswerCase {
        name: "the refusal of another request does not show that this one did not run",
        kind: ONCE,
        scripts: &[Script::WrongIdSheds, Script::WrongIdSheds],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "another instance listens at the address: not run",
        kind: ONCE,
        scripts: &[Script::OtherInstance],
        status: 503,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "another instance listens at one address; the other target answers",
        kind: ONCE,
        scripts: &[Script::OtherInstance, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "an answer cut short to a non-repeatable request: outcome unknown, no retry",
        kind: ONCE,
        scripts: &[Script::Truncated, Script::Truncated],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "an answer cut short to a repeatable request: retry",
        kind: REPEATABLE,
        scripts: &[Script::Truncated, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "no answer to a non-repeatable request: outcome unknown, no retry",
        kind: ONCE,
        scripts: &[Script::ClosesUnanswered, Script::ClosesUnanswered],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "no proof",
        kind: ONCE,
        scripts: &[Script::NoProof],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "the answer to another request",
        kind: ONCE,
        scripts: &[Script::WrongId],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "encoded",
        kind: ONCE,
        scripts: &[Script::Encoded],
        status: 502,
        body: None,
        sends: (1, 1),
    },
];

#[test]
fn callers_get_complete_answers_or_the_correct_failure_status() {
    for case in CASES {
        let store = StoreStandin::default();
        let ids = (0..case.scripts.len()).map(|number| format!("t{number}"));
        let targets: Vec<TargetStandin> = ids
            .zip(case.scripts)
            .map(|(id, script)| TargetStandin::start(&id, "service", *script))
            .collect();
        store.put_config(config(1, vec![route("r", "service", case.kind)]));
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        let reply = gateway.wait_ready().request("POST", "/r/x");
        assert_eq!(reply.status, case.status, "{}: {reply:?}", case.name);
        assert!(reply.complete, "{}", case.name);
        if let Some(body) = case.body {
            assert_eq!(reply.body, body, "{}", case.name);
            assert_eq!(header(&reply.head, "x-proof"), Some("p"), "{}", case.name);
        }
        assert_eq!(
            case.status == 503,
            header(&reply.head, "retry-after").is_some(),
            "{}",
            case.name
        );
        let sends: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert!(case.sends.0 <= sends && sends <= case.sends.1, "{}: {sends} sends", case.name);
    }
}

/// Starts a box with one target, which has a repeatable and a non-repeatable route.
fn one_target(script: Script) -> (StoreStandin, TargetStandin, BoxUnderTest) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", script);
    store.put_config(config(
        1,
        vec![route("get", "service", REPEATABLE), route("order", "service", ONCE)],
    ));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    (store, target, gateway)
}

#[test]
fn requests_are_forwarded_with_rewritten_headers() {
    let (_store, target, gateway) = one_target(Script::Good);
    let mut caller = gateway.connect();
    let headers =
        "X-Left: 4000\r\nX-Other: o\r\nConnection: X-Hop\r\nX-Hop: h\r\nX-Wanted: forged\r\n";
    caller.send("POST", "/order/a?b=c", headers, "body");
    assert_eq!(caller.read().expect("an answer").status, 200);
    let seen = target.requests();
    let (head, body) = seen[0].split_once("\r\n\r\n").expect("a message");
    assert!(head.starts_with("POST /order/a?b=c HTTP/1.1\r\n"), "{head}");
    assert_eq!(body, "body");
    assert_eq!(header(head, "x-id"), Some("id-1"));
    assert_eq!(header(head, "x-other"), Some("o"));
    assert_eq!(header(head, "x-hop"), None);
    assert_eq!(head.matches("X-Wanted").count(), 1);
    assert_eq!(header(head, "x-wanted"), Some("t"));
    let remaining: u64 =
        header(head, "x-left").expect("a remaining time").parse().expect("a number");
    assert!(
        remaining < 4000,
        "remaining time {remaining} ms is not less than the caller's 4000 ms"
    );
}

#[test]
fn a_short_chunked_body_with_trailers_is_forwarded_with_a_content_length() {
    let (_store, target, gateway) = one_target(Script::Good);
    let mut caller = gateway.connect();
    caller.send_raw(
        "POST /order/x HTTP/1.1\nHost: HOST.example:80\nX-Id: id-1\nTransfer-Encoding: chunked\n\n\
         3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
    );
    assert_eq!(caller.read().expect("an answer").status, 200);
    let seen = target.requests();
    assert!(seen[0].ends_with("\r\n\r\nabc"), "{}", seen[0]);
    assert!(seen[0].contains("Content-Length: 3\r\n"), "{}", seen[0]);
}

#[test]
fn surplus_answers_of_a_target_are_not_forwarded() {
    let (_store, _target, gateway) = one_target(Script::AnswersTwice);
    let mut caller = gateway.connect();
    for _ in 0..3 {
        assert_eq!(caller.request("GET", "/get/x", "").body, "hello");
    }
}

#[test]
fn an_answer_before_the_target_has_read_the_body_is_forwarded() {
    let (_store, _target, gateway) = one_target(Script::AnswersBeforeBody);
    let mut caller = gateway.connect();
    caller.send("POST", "/order/x", "", &"b".repeat(4 << 20));
    assert_eq!(caller.read().expect("an answer").body, "hello");
}

#[test]
fn a_caller_that_disconnects_cancels_the_work() {
    let (_store, target, gateway) = one_target(Script::Hangs);
    let mut caller = gateway.connect();
    caller.send("GET", "/get/x", "", "");
    eventually("the target has received the request", || target.requests().len() == 1);
    drop(caller);
    eventually("the target's connection is closed", || target.hang_ups() == 1);
}

/// The caller's connection was not watched while a long answer was forwarded, so the target worked on for 10 s after
/// the caller had disconnected.
#[test]
fn a_caller_that_disconnects_during_a_long_answer_cancels_the_work() {
    const HANG_UPS: &str = "wingbridge_hang_ups_in_answers";
    start_metrics();
    let (_store, target, gateway) = one_target(Script::LongHangs);
    let mut caller = gateway.connect();
    caller.send("GET", "/get/x", "", "");
    caller.read_beginning(BEGUN_ANSWER_BYTES);
    drop(caller);
    eventually("the target's connection is closed", || target.hang_ups() == 1);
    eventually("the box counted the disconnection", || counter_value(HANG_UPS) == 1);
}

/// Sends a request of the given kind that hangs at the only target, then adds a target that answers.
fn request_hanging_at_one_target(
    kind: RouteKind,
) -> (CallerStandin, [TargetStandin; 2], BoxUnderTest) {
    let store = StoreStandin::default();
    let hangs = TargetStandin::start("hangs", "service", Script::Hangs);
    let good = TargetStandin::start("good", "service", Script::Good);
    store.put_config(config(1, vec![route("r", "service", kind)]));
    store.put_targets(vec![hangs.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("POST", "/r/x", "", "body");
    eventually("the first target has received the request", || hangs.requests().len() == 1);
    store.put_targets(vec![hangs.entry.clone(), good.entry.clone()]);
    (caller, [hangs, good], gateway)
}

/// Without hedges, requests that hung were answered with 504 after one attempt, though half of them were repeatable.
#[test]
fn a_repeatable_request_that_hangs_is_answered_by_another_target() {
    let (mut caller, [hangs, good], _gateway) = request_hanging_at_one_target(REPEATABLE);
    let reply = caller.read().expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"), "{reply:?}");
    assert_eq!((hangs.requests().len(), good.requests().len()), (1, 1));
    eventually("the slower attempt is cancelled", || hangs.hang_ups() == 1);
}

/// A non-repeatable request that hangs may be running.
#[test]
fn a_non_repeatable_request_that_hangs_is_not_sent_to_another_target() {
    let (_caller, [hangs, good], gateway) = request_hanging_at_one_target(ONCE);
    // When another request reaches the second target, the box has added it.
    let mut others = Vec::new();
    while good.requests().is_empty() {
        let mut other = gateway.connect();
        let sends = hangs.requests().len();
        other.send("POST", "/r/other", "", "");
        others.push(other);
        eventually("the request reaches a target", || {
            hangs.requests().len() > sends || !good.requests().is_empty()
        });
    }
    // Five times the time after which a repeatable request is hedged.
    std::thread::sleep(std::time::Duration::from_millis(1500));
    let sends = hangs.requests().len() + good.requests().len();
    assert_eq!(sends, 1 + others.len(), "each request was sent to one target only");
}

#[test]
fn a_request_that_was_sent_has_an_unknown_outcome_at_its_deadline() {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Hangs);
    let mut short = route("order", "service", ONCE);
    short.timeout = std::time::Duration::from_millis(200);
    store.put_config(config(1, vec![short]));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    let reply = gateway.wait_ready().request("POST", "/order/x");
    assert_eq!(reply.status, 504, "{reply:?}");
    assert_eq!(header(&reply.head, "retry-after"), None, "it may have run");
    eventually("the work is cancelled", || target.hang_ups() == 1);
}

#[test]
fn non_repeatable_requests_succeed_beside_an_unreachable_target() {
    let store = StoreStandin::default();
    let good = TargetStandin::start("good", "service", Script::Good);
    let unreachable = harness::entry("dead", "service", &format!("{}:9", harness::own_host()));
    store.put_config(config(1, vec![route("order", "service", ONCE)]));
    store.put_targets(vec![good.entry.clone(), unreachable]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    for _ in 0..10 {
        assert_eq!(gateway.request("POST", "/order/x").status, 200);
    }
}

#[test]
fn a_long_answer_is_forwarded_completely_or_visibly_truncated() {
    let (_store, target, gateway) = one_target(Script::Long);
    let reply = gateway.request("GET", "/get/x");
    assert!(reply.complete && reply.body.len() == LONG_ANSWER_BYTES);
    target.set_script(Script::LongTruncated);
    let reply = gateway.request("GET", "/get/x");
    assert_eq!(reply.status, 200);
    assert!(!reply.complete, "the connection is closed before the declared length");
}

#[test]
fn requests_without_a_route_get_404() {
    let (_store, target, gateway) = one_target(Script::Good);
    assert_eq!(gateway.request("GET", "/unknown/x").status, 404);
    assert_eq!(gateway.request("GET", "/get").status, 404);
    assert_eq!(target.requests().len(), 0);
}

#[test]
fn a_request_with_conflicting_lengths_is_rejected_and_not_forwarded() {
    let (_store, target, gateway) = one_target(Script::Good);
    let mut caller = gateway.connect();
    caller.send_raw("POST /order/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    assert_eq!(caller.read().expect("an answer").status, 400);
    assert!(caller.read().is_none(), "the connection is closed");
    assert_eq!(target.requests().len(), 0);
}
