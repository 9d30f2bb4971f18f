//! What comes late in a planned stop is held for all of its time, or refused at once.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, CallerReply, CallerStandin, RelayPeer, RelayScript, Script, StoreStandin,
    TargetStandin, config, eventually, own_host, route,
};
use wingbridge_gateway::routes::RouteKind;

const STOP_TIME: Duration = Duration::from_secs(4);
/// Time that each request has, by its route or its caller.
const REQUEST_TIME: Duration = Duration::from_secs(1);
/// Longer than the stop.
const LONG_TIME: Duration = Duration::from_secs(60);

#[derive(Clone, Copy)]
struct LateCase {
    name: &'static str,
    route_time: Duration,
    headers: &'static str,
    kind: RouteKind,
}

const LATE_CASES: &[LateCase] = &[
    LateCase {
        name: "lookups with the time of their route",
        route_time: REQUEST_TIME,
        headers: "",
        kind: RouteKind::Repeatable,
    },
    LateCase {
        name: "orders with the time of their route",
        route_time: REQUEST_TIME,
        headers: "",
        kind: RouteKind::AtMostOnce,
    },
    LateCase {
        name: "orders with the time of their caller",
        route_time: LONG_TIME,
        headers: "X-Left: 1000\r\n",
        kind: RouteKind::AtMostOnce,
    },
];

fn store_with(target: &TargetStandin, case: &LateCase) -> StoreStandin {
    let store = StoreStandin::default();
    let mut route = route("r", "service", case.kind);
    route.timeout = case.route_time;
    route.max_attempts = 1;
    store.put_config(config(1, vec![route]));
    store.put_targets(vec![target.entry.clone()]);
    store
}

/// Sends a request on each of `connections`, `gap` after the other, and returns the answers.
fn send_in_turn(
    connections: Vec<CallerStandin>,
    gap: Duration,
    headers: &'static str,
) -> Vec<Option<CallerReply>> {
    let readers: Vec<_> = connections
        .into_iter()
        .map(|mut caller| {
            thread::sleep(gap);
            caller.send("GET", "/r/x", headers, "");
            thread::spawn(move || caller.read())
        })
        .collect();
    readers.into_iter().map(|reader| reader.join().expect("a caller does not panic")).collect()
}

/// Requests whose time ended just before the process were accepted, and ended by the stop with time left.
#[test]
fn requests_accepted_late_in_a_stop_have_all_of_their_time() {
    const REQUESTS: u32 = 40;
    const GAP: Duration = Duration::from_millis(10);
    for case in LATE_CASES {
        let mut target = TargetStandin::start("t", "service", Script::Hangs);
        // A request that found the target full would be refused for that reason.
        target.entry.slots = 2 * REQUESTS;
        let store = store_with(&target, case);
        let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
            settings.stop_time = STOP_TIME;
        });
        gateway.wait_ready();
        let connections = (0..REQUESTS).map(|_| gateway.connect()).collect();
        gateway.begin_stop();
        let begun = Instant::now();
        // The last requests have as much time as the process, or somewhat more.
        let first = STOP_TIME - REQUEST_TIME - GAP * REQUESTS;
        thread::sleep(first.saturating_sub(begun.elapsed()));
        let replies = send_in_turn(connections, GAP, case.headers);
        let statuses: Vec<u16> = replies.iter().flatten().map(|reply| reply.status).collect();
        let accepted = statuses.iter().filter(|status| **status != 503).count();
        assert_eq!(target.requests().len(), accepted, "{}: {statuses:?}", case.name);
        // 504: the time of the request was over; 502: something else ended it.
        let had_their_time = statuses.iter().filter(|status| **status == 504).count();
        assert_eq!(had_their_time, accepted, "{}: {statuses:?}", case.name);
    }
}

/// A box whose machine was suspended within its stop went on with requests until it was killed.
#[test]
fn stop_of_a_suspended_machine_ends_in_time() {
    let stop_time = Duration::from_secs(600);
    let target = TargetStandin::start("t", "service", Script::Hangs);
    let case = LateCase { route_time: LONG_TIME, ..LATE_CASES[1] };
    let store = store_with(&target, &case);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.stop_time = stop_time;
    });
    gateway.wait_ready();
    let (mut open, mut late) = (gateway.connect(), gateway.connect());
    open.send("GET", "/r/open", "", "");
    eventually("the target has the request", || target.requests().len() == 1);
    gateway.begin_stop();
    eventually("the box is not ready", || !gateway.is_ready());
    store.set_suspended(stop_time - LONG_TIME);
    assert_eq!(late.request("GET", "/r/late", "").status, 503, "it could outlast the stop");
    store.set_suspended(stop_time);
    let reply = gateway.answer_before_end(open).expect("an answer before the process ends");
    assert!([502, 504].contains(&reply.status), "{reply:?}");
}

/// Length of the body of a request that is begun.
const BODY_BYTES: usize = 100;

/// Sends the head of a request, and waits until the box has read it and asks for the body.
fn begin_request(gateway: &BoxUnderTest) -> CallerStandin {
    let mut caller = gateway.connect();
    caller.send_raw(&format!(
        "POST /r/x HTTP/1.1\r\nHost: host.example\r\nX-Id: id-1\r\nContent-Length: {BODY_BYTES}\r\nExpect: 100-continue\r\n\r\n"
    ));
    caller.read_beginning("HTTP/1.1 100 Continue\r\n\r\n".len());
    caller
}

/// A request that waited for the box's first configuration got a closed connection when the box was stopped.
#[test]
fn request_that_waits_for_a_configuration_is_answered_at_the_end_of_a_stop() {
    let store = StoreStandin::default();
    store.set_unreachable(true);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        // Shorter than the wait.
        settings.stop_time = Duration::from_millis(400);
    });
    eventually("the box reads the store", || store.reads() > 0);
    let mut caller = begin_request(&gateway);
    caller.send_raw(&"x".repeat(BODY_BYTES));
    gateway.begin_stop();
    let reply = gateway.answer_before_end(caller).expect("an answer before the process ends");
    assert_eq!(reply.status, 503, "{reply:?}");
}

/// A request whose body was still arriving got a closed connection when the process ended, which tells nothing.
#[test]
fn request_that_is_still_arriving_is_refused_at_the_end_of_a_stop() {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = store_with(&target, &LateCase { route_time: LONG_TIME, ..LATE_CASES[1] });
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.stop_time = Duration::from_secs(2);
    });
    gateway.wait_ready();
    let mut caller = begin_request(&gateway);
    caller.send_raw("the beginning");
    gateway.begin_stop();
    let reply = gateway.answer_before_end(caller).expect("an answer before the process ends");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(target.requests().is_empty(), "the refused request was sent to the target");
}

/// A target's failure that had come was replaced by an answer of the box if a stop ended the wait for a retry.
#[test]
fn answer_that_has_come_is_delivered_at_the_end_of_a_stop() {
    const ROUNDS: usize = 4;
    /// Peers that do not reply to the box, so that its retry waits for credit.
    const SILENT_PEERS: usize = 4;
    let failures = (0..ROUNDS).filter_map(|_| {
        let targets = ["one", "two"].map(|id| TargetStandin::start(id, "service", Script::Fails));
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
        store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
        let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
            settings.stop_time = Duration::from_millis(300);
            settings.retry_share = 0.0;
            settings.retry_slack = 30.0;
        });
        gateway.wait_ready();
        let start_peer = |_| RelayPeer::start(own_host(), gateway.host(), RelayScript::Silent);
        let peers: Vec<RelayPeer> = (0..SILENT_PEERS).map(start_peer).collect();
        eventually("the peers hear the box", || peers.iter().all(|peer| peer.datagrams() > 0));
        let mut caller = gateway.connect();
        caller.send("GET", "/r/x", "", "");
        eventually("a target has the request", || {
            targets.iter().any(|target| !target.requests().is_empty())
        });
        gateway.begin_stop();
        let reply = gateway.answer_before_end(caller).expect("an answer before the process ends");
        (reply.status != 500).then_some(reply)
    });
    let failures: Vec<CallerReply> = failures.collect();
    assert!(failures.is_empty(), "{failures:?}");
}
