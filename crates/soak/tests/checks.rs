//! Each check of the soak reports its violation and nothing else, and a run without faults has
//! none.

use std::time::{Duration, Instant};

use wingbridge_platform_standins::{AnswerCheck, Arrival, NoticeRecord, TargetNotice};
use wingbridge_soak::callers::{CallerEnd, CallerRecord};
use wingbridge_soak::checks::{ProbeRecord, SoakEvidence, check_all};
use wingbridge_soak::environment::{CUSTOMER, ConfigHistory};
use wingbridge_soak::spans::{SpanLog, SpanScope};

const SERVED: CallerEnd = CallerEnd::Answered(200, AnswerCheck::Whole);

/// Evidence of a run with one order and one repeatable request, both served.
fn faultless_run(start: Instant) -> SoakEvidence {
    SoakEvidence {
        records: vec![
            record("0-1", "/order/1", start, 100, SERVED),
            record("0-2", "/read/2", start, 100, SERVED),
        ],
        arrivals: vec![
            arrival("0-1", "/order/1", "orders", start, 10),
            arrival("0-2", "/read/2", "reads", start, 10),
        ],
        handlers: Default::default(),
        notices: Vec::new(),
        probes: Vec::new(),
        departures: Vec::new(),
        config_history: ConfigHistory::default(),
        spans: SpanLog::default(),
        margin: Duration::from_millis(500),
        process_faults: Vec::new(),
        recovered: true,
    }
}

fn record(id: &str, path: &str, start: Instant, millis: u64, end: CallerEnd) -> CallerRecord {
    CallerRecord {
        id: id.into(),
        index: 0,
        path: path.into(),
        sent: start,
        ended: start + Duration::from_millis(millis),
        end,
    }
}

fn arrival(id: &str, path: &str, service: &str, start: Instant, millis: u64) -> Arrival {
    Arrival {
        request: id.into(),
        service: service.into(),
        target: "t-1".into(),
        line: format!("GET {path}"),
        at: start + Duration::from_millis(millis),
        ran: true,
        is_for_other: false,
        customer: Some(CUSTOMER.into()),
        has_key: false,
    }
}

fn probe(start: Instant, millis: u64, version: u32, status: u16) -> ProbeRecord {
    let sent = start + Duration::from_millis(millis);
    ProbeRecord {
        id: format!("p0-{millis}"),
        index: 0,
        incarnation: 1,
        version,
        sent,
        ended: sent,
        status,
    }
}

/// A notice in the target's answer to the first repeatable request.
fn notice(start: Instant, notice: TargetNotice) -> NoticeRecord {
    let at = start + Duration::from_millis(20);
    NoticeRecord { request: "0-2".into(), target: "t-1".into(), notice, at }
}

/// Adds `count` requests of the same box to that target, one per second from ten seconds later on.
fn send_later(run: &mut SoakEvidence, start: Instant, count: u64) {
    for number in 0..count {
        let (id, sent) = (format!("0-l{number}"), start + Duration::from_secs(10 + number));
        run.records.push(record(&id, "/read/l", sent, 50, SERVED));
        run.arrivals.push(arrival(&id, "/read/l", "reads", sent, 10));
    }
}

struct CheckCase {
    promise: &'static str,
    break_promise: fn(&mut SoakEvidence, Instant),
}

const CASES: &[CheckCase] = &[
    CheckCase {
        promise: "targets are told the customer and no key",
        break_promise: |evidence, _| evidence.arrivals[0].has_key = true,
    },
    CheckCase {
        promise: "targets are told the customer and no key",
        break_promise: |evidence, _| evidence.arrivals[0].customer = Some("another".into()),
    },
    CheckCase {
        promise: "an order runs once at most",
        break_promise: |run, start| {
            run.arrivals.push(arrival("0-1", "/order/1", "orders", start, 50))
        },
    },
    CheckCase {
        promise: "what is refused has not run",
        break_promise: |run, _| run.records[0].end = CallerEnd::Answered(503, AnswerCheck::Whole),
    },
    CheckCase {
        promise: "a success is the target's whole answer",
        break_promise: |run, _| run.records[1].end = CallerEnd::Answered(200, AnswerCheck::Wrong),
    },
    CheckCase {
        promise: "targets get what callers sent, at the right service",
        break_promise: |run, start| {
            run.arrivals.push(arrival("0-9", "/read/9", "reads", start, 50))
        },
    },
    CheckCase {
        promise: "targets get what callers sent, at the right service",
        break_promise: |run, _| run.arrivals[0].service = "reads".into(),
    },
    CheckCase {
        promise: "a request under which targets end reaches few more",
        break_promise: |run, start| {
            for number in 0..7 {
                let (id, sent) = (format!("0-d{number}"), start + Duration::from_secs(10 * number));
                let path = "/read/deadly-1";
                let end = CallerEnd::Answered(502, AnswerCheck::Whole);
                run.records.push(record(&id, path, sent, 50, end));
                run.arrivals.push(arrival(&id, path, "reads", sent, 10));
            }
        },
    },
    CheckCase {
        promise: "a target that says that it leaves is left alone",
        break_promise: |run, start| {
            run.notices.push(notice(start, TargetNotice::Draining));
            send_later(run, start, 1);
        },
    },
    CheckCase {
        promise: "a target that asks for rest gets it",
        break_promise: |run, start| {
            run.notices.push(notice(start, TargetNotice::Backoff(Duration::from_secs(30))));
            send_later(run, start, 3);
        },
    },
    CheckCase {
        // The box that handled the request and the later ones for box 0 was told.
        promise: "a target that asks for rest gets it",
        break_promise: |run, start| {
            run.notices.push(notice(start, TargetNotice::Backoff(Duration::from_secs(30))));
            send_later(run, start, 3);
            let ids = run.arrivals.iter().map(|arrival| arrival.request.clone());
            run.handlers = ids.map(|id| (id, 1)).collect();
        },
    },
    CheckCase {
        promise: "boxes without paths have requests served",
        break_promise: |run, start| {
            run.spans.begin(SpanScope::Paths(0));
            for number in 0..20 {
                let sent = start + Duration::from_secs(10);
                let id = format!("0-c{number}");
                let refused = CallerEnd::Answered(503, AnswerCheck::Whole);
                run.records.push(record(&id, "/read/c", sent, 10, refused));
                let other = record(&format!("1-c{number}"), "/read/c", sent, 10, SERVED);
                run.records.push(CallerRecord { index: 1, ..other });
                run.arrivals.push(arrival(&format!("1-c{number}"), "/read/c", "reads", sent, 5));
            }
        },
    },
    CheckCase {
        promise: "a target that names a limit gets no more",
        break_promise: |run, start| {
            let first = notice(start, TargetNotice::Limit(1_000_000));
            let last = NoticeRecord { at: start + Duration::from_secs(30), ..first.clone() };
            run.notices.extend([first, last]);
            for number in 0..15 {
                let (id, sent) = (format!("0-n{number}"), start + Duration::from_secs(10));
                run.records.push(record(&id, "/read/n", sent, 50, SERVED));
                run.arrivals.push(arrival(&id, "/read/n", "reads", sent, 100 * number));
            }
        },
    },
    CheckCase {
        promise: "a planned stop cuts nothing",
        break_promise: |run, _| {
            run.spans.begin(SpanScope::PlannedStop(0));
            run.records[0].end = CallerEnd::Closed;
        },
    },
    CheckCase {
        promise: "a request is answered in its time",
        break_promise: |run, start| run.records[1].ended = start + Duration::from_millis(4200),
    },
    CheckCase {
        promise: "a leaving target gets no new work",
        break_promise: |run, start| {
            run.departures.push(("t-1".into(), start));
            run.records.push(record("0-3", "/read/3", start, 2700, SERVED));
            run.arrivals.push(arrival("0-3", "/read/3", "reads", start, 2600));
        },
    },
    CheckCase {
        promise: "a configuration never reverts",
        break_promise: |run, start| {
            run.probes = vec![probe(start, 0, 2, 200), probe(start, 900, 2, 404)]
        },
    },
    CheckCase {
        promise: "a hang-up cancels",
        break_promise: |run, start| {
            for number in 10..14 {
                let (id, path) = (format!("0-{number}"), format!("/read/{number}"));
                run.records.push(record(&id, &path, start, 20, CallerEnd::GivenUp));
                run.arrivals.push(arrival(&id, &path, "reads", start, 1100));
            }
        },
    },
    CheckCase {
        promise: "retries stay within the budget",
        break_promise: |run, start| {
            for millis in 20..60 {
                run.arrivals.push(arrival("0-2", "/read/2", "reads", start, millis));
            }
        },
    },
    CheckCase {
        promise: "processes run until they are stopped",
        break_promise: |run, _| run.process_faults.push("box 0 ended by itself".into()),
    },
    CheckCase {
        promise: "service returns after faults",
        break_promise: |run, _| run.recovered = false,
    },
];

#[test]
fn each_check_reports_its_violation_only() {
    let start = Instant::now();
    assert_eq!(check_all(&faultless_run(start)), []);
    for case in CASES {
        let mut run = faultless_run(start);
        (case.break_promise)(&mut run, start);
        let found = check_all(&run);
        let promises: Vec<&str> = found.iter().map(|violation| violation.promise).collect();
        assert_eq!(promises, [case.promise]);
    }
}

#[test]
fn time_bounds_do_not_apply_to_disturbed_boxes() {
    let start = Instant::now();
    let mut run = faultless_run(start);
    run.spans.begin(SpanScope::Box(0));
    run.records[0].end = CallerEnd::Closed;
    run.records[1].ended = start + Duration::from_millis(4200);
    run.departures.push(("t-1".into(), start));
    run.arrivals.push(arrival("0-1", "/order/1", "orders", start, 10));
    let found = check_all(&run);
    // Promises without a time bound apply to disturbed boxes as well.
    let promises: Vec<&str> = found.iter().map(|violation| violation.promise).collect();
    assert_eq!(promises, ["an order runs once at most"]);
}

/// A box whose request named the instance that had the address before was blamed for the one that turned it away.
#[test]
fn requests_for_another_instance_are_not_sent_to_the_one_that_leaves() {
    let start = Instant::now();
    let mut run = faultless_run(start);
    run.notices.push(notice(start, TargetNotice::Draining));
    send_later(&mut run, start, 1);
    let misdirected = run.arrivals.last_mut().expect("an arrival was added");
    (misdirected.ran, misdirected.is_for_other) = (false, true);
    assert!(check_all(&run).is_empty(), "{:?}", check_all(&run));
}

/// A rest that a target named to the box that handled a request was held against the box that had received it.
#[test]
fn a_rest_binds_the_box_that_handled_the_request() {
    let start = Instant::now();
    let mut run = faultless_run(start);
    run.notices.push(notice(start, TargetNotice::Backoff(Duration::from_secs(30))));
    let told = run.notices[0].request.clone();
    send_later(&mut run, start, 3);
    run.handlers.insert(told, 1);
    assert!(check_all(&run).is_empty(), "{:?}", check_all(&run));
}
