//! What a caller gets for what targets do, and how often targets run it.

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
    /// Scripts of the service's targets.
    scripts: &'static [Script],
    status: u16,
    body: Option<&'static str>,
    /// Requests that targets got, at least and at most.
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
        name: "an order's failure goes to the caller",
        kind: ONCE,
        scripts: &[Script::Fails, Script::Fails],
        status: 500,
        body: Some("bad"),
        sends: (1, 1),
    },
    AnswerCase {
        name: "a repeatable failure is tried twice",
        kind: REPEATABLE,
        scripts: &[Script::Fails, Script::Fails],
        status: 500,
        body: Some("bad"),
        sends: (2, 2),
    },
    AnswerCase {
        name: "a repeatable failure, then good",
        kind: REPEATABLE,
        scripts: &[Script::Fails, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "an order that was shed goes elsewhere",
        kind: ONCE,
        scripts: &[Script::Sheds, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "all shed: not run",
        kind: ONCE,
        scripts: &[Script::Sheds, Script::Sheds],
        status: 503,
        body: None,
        sends: (2, 2),
    },
    AnswerCase {
        name: "the refusal of another request says nothing of an order",
        kind: ONCE,
        scripts: &[Script::WrongIdSheds, Script::WrongIdSheds],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "another instance at the address: not run",
        kind: ONCE,
        scripts: &[Script::OtherInstance],
        status: 503,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "another instance, then the right one",
        kind: ONCE,
        scripts: &[Script::OtherInstance, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "an order cut short is unknown and not repeated",
        kind: ONCE,
        scripts: &[Script::Truncated, Script::Truncated],
        status: 502,
        body: None,
        sends: (1, 1),
    },
    AnswerCase {
        name: "a lookup cut short is repeated",
        kind: REPEATABLE,
        scripts: &[Script::Truncated, Script::Good],
        status: 200,
        body: Some("hello"),
        sends: (1, 2),
    },
    AnswerCase {
        name: "an order without an answer is unknown and not repeated",
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
        name: "another request's answer",
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
fn callers_get_whole_answers_or_a_true_word() {
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

/// A box before one target, with a route of each kind to it.
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
fn what_a_target_gets_is_the_caller_s_request() {
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
    let left: u64 = header(head, "x-left").expect("told").parse().expect("a number");
    assert!(left < 4000, "less than the caller has: {left}");
}

#[test]
fn chunks_with_trailers_are_passed_on_with_a_length() {
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
fn a_second_answer_never_reaches_a_caller() {
    let (_store, _target, gateway) = one_target(Script::AnswersTwice);
    let mut caller = gateway.connect();
    for _ in 0..3 {
        assert_eq!(caller.request("GET", "/get/x", "").body, "hello");
    }
}

#[test]
fn an_answer_that_comes_before_the_body_is_read_is_taken() {
    let (_store, _target, gateway) = one_target(Script::AnswersBeforeBody);
    let mut caller = gateway.connect();
    caller.send("POST", "/order/x", "", &"b".repeat(4 << 20));
    assert_eq!(caller.read().expect("an answer").body, "hello");
}

#[test]
fn a_caller_that_hangs_up_cancels_the_work() {
    let (_store, target, gateway) = one_target(Script::Hangs);
    let mut caller = gateway.connect();
    caller.send("GET", "/get/x", "", "");
    eventually("the target works", || target.requests().len() == 1);
    drop(caller);
    eventually("its connection is closed", || target.hang_ups() == 1);
}

/// While a long answer was passed on the caller's side was not watched: the target worked on for
/// 10 s for a caller that had left.
#[test]
fn a_caller_that_leaves_within_a_long_answer_cancels_the_work() {
    const LEFT: &str = "wingbridge_hang_ups_in_answers";
    start_metrics();
    let (_store, target, gateway) = one_target(Script::LongHangs);
    let mut caller = gateway.connect();
    caller.send("GET", "/get/x", "", "");
    caller.read_beginning(BEGUN_ANSWER_BYTES);
    drop(caller);
    eventually("its connection is closed", || target.hang_ups() == 1);
    eventually("the box saw that it left", || counter_value(LEFT) == 1);
}

/// A request of that kind that hangs at the only target, with a good one that joins then.
fn hang_beside_a_good_target(kind: RouteKind) -> (CallerStandin, [TargetStandin; 2], BoxUnderTest) {
    let store = StoreStandin::default();
    let hangs = TargetStandin::start("hangs", "service", Script::Hangs);
    let good = TargetStandin::start("good", "service", Script::Good);
    store.put_config(config(1, vec![route("r", "service", kind)]));
    store.put_targets(vec![hangs.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("POST", "/r/x", "", "body");
    eventually("it hangs", || hangs.requests().len() == 1);
    store.put_targets(vec![hangs.entry.clone(), good.entry.clone()]);
    (caller, [hangs, good], gateway)
}

/// Requests that hung ended with 504 after one attempt, though half of them could have been
/// sent again.
#[test]
fn a_repeatable_request_that_hangs_is_answered_by_another_target() {
    let (mut caller, [hangs, good], _gateway) = hang_beside_a_good_target(REPEATABLE);
    let reply = caller.read().expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"), "{reply:?}");
    assert_eq!((hangs.requests().len(), good.requests().len()), (1, 1));
    eventually("what lost the race is cancelled", || hangs.hang_ups() == 1);
}

/// An order that hangs may be running.
#[test]
fn an_order_that_hangs_is_sent_to_nobody_else() {
    let (_caller, [hangs, good], gateway) = hang_beside_a_good_target(ONCE);
    // Another request finds the good target, so this box knows of it.
    let mut others = Vec::new();
    while good.requests().is_empty() {
        let mut other = gateway.connect();
        let sends = hangs.requests().len();
        other.send("POST", "/r/other", "", "");
        others.push(other);
        eventually("it arrives", || hangs.requests().len() > sends || !good.requests().is_empty());
    }
    // Five times the time after which one that may be repeated is sent again.
    std::thread::sleep(std::time::Duration::from_millis(1500));
    let sends = hangs.requests().len() + good.requests().len();
    assert_eq!(sends, 1 + others.len(), "each order went to one target");
}

#[test]
fn at_the_end_of_its_time_a_request_that_was_sent_is_unknown() {
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
fn a_target_that_can_t_be_reached_costs_an_order_nothing() {
    let store = StoreStandin::default();
    let good = TargetStandin::start("good", "service", Script::Good);
    let dead = harness::entry("dead", "service", &format!("{}:9", harness::own_host()));
    store.put_config(config(1, vec![route("order", "service", ONCE)]));
    store.put_targets(vec![good.entry.clone(), dead]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    for _ in 0..10 {
        assert_eq!(gateway.request("POST", "/order/x").status, 200);
    }
}

#[test]
fn a_long_answer_passes_whole_or_breaks_off_visibly() {
    let (_store, target, gateway) = one_target(Script::Long);
    let reply = gateway.request("GET", "/get/x");
    assert!(reply.complete && reply.body.len() == LONG_ANSWER_BYTES);
    target.set_script(Script::LongTruncated);
    let reply = gateway.request("GET", "/get/x");
    assert_eq!(reply.status, 200);
    assert!(!reply.complete, "the connection closes short of the announced length");
}

#[test]
fn what_no_route_takes_is_not_found() {
    let (_store, target, gateway) = one_target(Script::Good);
    assert_eq!(gateway.request("GET", "/unknown/x").status, 404);
    assert_eq!(gateway.request("GET", "/get").status, 404);
    assert_eq!(target.requests().len(), 0);
}

#[test]
fn a_request_that_says_two_things_is_refused_and_goes_nowhere() {
    let (_store, target, gateway) = one_target(Script::Good);
    let mut caller = gateway.connect();
    caller.send_raw("POST /order/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    assert_eq!(caller.read().expect("an answer").status, 400);
    assert!(caller.read().is_none(), "the connection is closed");
    assert_eq!(target.requests().len(), 0);
}
