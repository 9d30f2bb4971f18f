//! What a box that is being stopped does with the requests of peers, and what it knows of them at the end.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, RelayCaller, Script, StoreStandin, TargetStandin, config, eventually, route,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::relay::{RelayOutcome, RelayRequest};

const ORDER: &str =
    "POST /orders/x HTTP/1.1\r\nHost: host.example\r\nX-Id: id-1\r\nContent-Length: 2\r\n\r\nhi";
/// Time for an answer that is there already.
const SOON: Duration = Duration::from_secs(5);

fn start(target: &TargetStandin, stop_time: Duration) -> BoxUnderTest {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("orders", "orders", RouteKind::AtMostOnce)]));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.stop_time = stop_time;
    });
    gateway.wait_ready();
    gateway
}

fn order(time: Duration) -> RelayRequest {
    RelayRequest {
        box_id: "first".into(),
        host: "host.example".into(),
        path: "/orders/x".into(),
        service: "orders".into(),
        remaining_ms: time.as_millis() as u64,
        max_attempts: 1,
        ..RelayRequest::default()
    }
}

struct StopCase {
    name: &'static str,
    /// Time from the beginning of the stop to the offer.
    after: Duration,
    /// Time that the order has.
    time: Duration,
    taken: bool,
}

/// So long that a busy machine does not carry an offer into the next part of the stop.
const STOP_TIME: Duration = Duration::from_secs(9);
/// A time within the part of the stop in which requests are refused that could outlast it.
const LATE: Duration = Duration::from_millis(3200);

const STOP_CASES: &[StopCase] = &[
    StopCase {
        name: "an order that ends long before the stop",
        after: Duration::ZERO,
        time: Duration::from_secs(4),
        taken: true,
    },
    StopCase {
        name: "a late one that ends before it",
        after: LATE,
        time: Duration::from_secs(1),
        taken: true,
    },
    StopCase {
        name: "a late one that could outlast it",
        after: LATE,
        time: Duration::from_secs(60),
        taken: false,
    },
    StopCase {
        name: "one after the last that are read",
        after: Duration::from_millis(8250),
        time: Duration::from_millis(50),
        taken: false,
    },
];

/// Boxes that were being stopped refused the orders of peers without paths at once, and served those of their callers.
#[test]
fn stopping_box_handles_for_peers_what_it_accepts_from_callers() {
    thread::scope(|scope| {
        for case in STOP_CASES {
            scope.spawn(|| check_stop(case));
        }
    });
}

fn check_stop(case: &StopCase) {
    let target = TargetStandin::start("t", "orders", Script::Hangs);
    let gateway = start(&target, STOP_TIME);
    // It keeps the box from ending before its time.
    let mut open = gateway.connect();
    open.send("GET", "/orders/open", "", "");
    eventually("the target has the request", || target.requests().len() == 1);
    target.set_script(Script::Good);
    gateway.begin_stop();
    let begun = Instant::now();
    eventually("the stop begins", || !gateway.is_ready());
    thread::sleep(case.after.saturating_sub(begun.elapsed()));
    let outcome = RelayCaller::offer(gateway.host(), &order(case.time)).map(|mut relay| {
        relay.send(ORDER);
        relay.reply(SOON).map(|reply| reply.result.outcome())
    });
    if case.taken {
        assert_eq!(outcome, Ok(Some(RelayOutcome::Answered)), "{}", case.name);
    } else {
        assert!(outcome.is_err(), "{}: {outcome:?}", case.name);
        assert_eq!(target.requests().len(), 1, "{}", case.name);
    }
}
