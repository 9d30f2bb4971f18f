//! Tests of the counts of `wingctl explain`, and of its handling of lines that it can't decode.

use std::io::{BufRead, Cursor};

use wingctl::explain::{LogReport, explain_lines};

/// The log line of a request.
struct LineCase {
    /// Time at which the answer was ready, in milliseconds of the minute.
    ended_ms: u32,
    /// Time that the request took, in milliseconds.
    taken_ms: u32,
    status: u16,
    outcome: &'static str,
    target: &'static str,
    risk: &'static str,
    attempts: u32,
    hedged_ms: &'static str,
}

const SERVED: LineCase = LineCase {
    ended_ms: 1_000,
    taken_ms: 100,
    status: 200,
    outcome: "answered",
    target: "t1",
    risk: "0.020",
    attempts: 1,
    hedged_ms: "",
};
const STALLED: LineCase = LineCase { status: 504, outcome: "unknown", taken_ms: 1_000, ..SERVED };

impl LineCase {
    fn text(&self) -> String {
        format!(
            "{{\"event\":\"request\",\"time\":\"2026-01-01T00:00:{:02}.{:03}+00:00\",\
             \"service\":\"orders\",\"status\":\"{}\",\"outcome\":\"{}\",\"attempts\":\"{}\",\
             \"hedged_ms\":\"{}\",\"target\":\"{}\",\"target_centre\":\"far\",\"risk\":\"{}\",\
             \"taken_ms\":\"{}\"}}",
            self.ended_ms / 1000,
            self.ended_ms % 1000,
            self.status,
            self.outcome,
            self.attempts,
            self.hedged_ms,
            self.target,
            self.risk,
            self.taken_ms,
        )
    }
}

fn explain(text: String) -> eyre::Result<LogReport> {
    let reader: Box<dyn BufRead> = Box::new(Cursor::new(text));
    explain_lines(vec![("box-1.log".to_string(), reader)])
}

fn report(cases: &[LineCase]) -> LogReport {
    let lines: Vec<String> = cases.iter().map(LineCase::text).collect();
    explain(lines.join("\n")).expect("valid lines")
}

#[test]
fn lines_of_a_merged_log_are_attributed_to_the_box_they_name() {
    let started = |name: &str, centre: &str| {
        format!(r#"{{"event":"started","box":"{name}","data_centre":"{centre}"}}"#)
    };
    let request = |name: &str| SERVED.text().replacen('{', &format!(r#"{{"box":"{name}","#), 1);
    let merged =
        [started("b1", "near"), started("b2", "far"), request("b1"), request("b2"), request("b2")];
    let report = explain(merged.join("\n")).expect("valid lines");
    assert_eq!(
        report.services[0].crossed, 1,
        "all targets are in 'far', and one of the boxes is in 'near'"
    );
}

#[test]
fn requests_are_counted_by_outcome() {
    let report = report(&[
        SERVED,
        LineCase { status: 404, ..SERVED },
        LineCase { status: 500, ..SERVED },
        LineCase { status: 503, outcome: "not-run", ..SERVED },
        LineCase { risk: "0.400 trial", ..STALLED },
        LineCase { attempts: 2, hedged_ms: "300", ..SERVED },
        LineCase { attempts: 2, hedged_ms: "300", ..STALLED },
        LineCase { hedged_ms: "no retry was left", ..STALLED },
    ]);
    let orders = &report.services[0];
    assert_eq!((orders.requests, orders.refused, orders.failed), (8, 1, 4));
    assert_eq!((orders.trials, orders.failed_trials), (1, 1));
    assert_eq!((orders.hedged, orders.hedged_served), (2, 1));
    assert_eq!(report.losses.iter().map(|row| row.requests).sum::<usize>(), 5);
    assert!(report.as_text().contains("second attempt"));
}

#[test]
fn losses_are_counted_by_position_in_the_failure_episode() {
    let report = report(&[
        // The box knows of the first loss from 2 s on.
        LineCase { ended_ms: 2_000, ..STALLED },
        LineCase { ended_ms: 2_500, ..STALLED },
        LineCase { ended_ms: 3_100, ..STALLED },
        LineCase { ended_ms: 4_000, risk: "0.300 trial", ..STALLED },
        // A second episode of the same target, and one of another target.
        LineCase { ended_ms: 9_000, ..STALLED },
        LineCase { ended_ms: 9_100, target: "t2", ..STALLED },
    ]);
    let episodes = &report.episodes;
    assert_eq!((episodes.episodes, episodes.first, episodes.in_flight), (3, 3, 1));
    assert_eq!((episodes.later, episodes.trials), (1, 1));
}

#[test]
fn predicted_failure_probabilities_are_compared_with_the_failed_share() {
    let mut cases: Vec<LineCase> = (0..9).map(|_| LineCase { risk: "0.110", ..SERVED }).collect();
    cases.push(LineCase { risk: "0.110", ..STALLED });
    let report = report(&cases);
    let [row] = report.calibration.as_slice() else { panic!("{:?}", report.calibration) };
    assert_eq!((row.requests, row.failed), (10, 0.1));
    assert!((row.predicted - 0.11).abs() < 1e-9);
}

#[test]
fn requests_to_other_data_centres_are_counted_by_the_data_centre_of_the_box_start() {
    let started = "{\"event\":\"started\",\"data_centre\":\"near\"}";
    let text =
        format!("1.0 box-1 {started}\n2.0 box-1 {}\n3.0 box-2 {}", SERVED.text(), SERVED.text());
    let report = explain(text).expect("valid lines");
    assert_eq!(
        report.services[0].crossed, 1,
        "the log has no start of the second box, so its data centre is unknown"
    );
}

struct BadLine {
    name: &'static str,
    line: &'static str,
    expected: &'static str,
}

const BAD_LINES: &[BadLine] = &[
    BadLine { name: "cut short", line: "{\"event\":\"request\"", expected: "no JSON object" },
    BadLine {
        name: "no number",
        line: "{\"event\":\"request\",\"status\":\"x\"}",
        expected: "status",
    },
    BadLine {
        name: "no time",
        line: "{\"event\":\"request\",\"status\":\"200\",\"time\":\"noon\"}",
        expected: "noon",
    },
];

/// Guards against a fault in which a single truncated line in a collected log made the whole report fail.
#[test]
fn undecodable_lines_are_listed_and_skipped() {
    for case in BAD_LINES {
        let text = format!("no JSON\n{}\n{}\n{}", SERVED.text(), case.line, SERVED.text());
        let report = explain(text).expect(case.name);
        let [unread] = report.unread_lines.as_slice() else { panic!("{}: {report:?}", case.name) };
        assert_eq!(unread.place, "box-1.log, line 3", "{}", case.name);
        assert!(unread.reason.contains(case.expected), "{}: {}", case.name, unread.reason);
        assert_eq!((report.requests, report.unread), (2, 1), "{}", case.name);
        assert!(report.as_text().contains("line 3"), "{}", case.name);
    }
    let report = explain("no JSON\n".to_string()).expect("the line is skipped");
    assert_eq!((report.requests, report.other_lines), (0, 1));
}

/// Returns the log line of a version that came into force in a box.
fn in_force(box_name: &str, version: u64, at_ms: u32, pending_ms: u32, source: &str) -> String {
    format!(
        "{box_name} {{\"event\":\"configuration-in-force\",\"time\":\"2026-01-01T00:00:{:02}.{:03}+00:00\",\
         \"version\":\"{version}\",\"heard_ms\":\"{pending_ms}\",\"source\":\"{source}\"}}",
        at_ms / 1000,
        at_ms % 1000,
    )
}

fn unlisted(box_name: &str, target: &str, at_ms: u32) -> String {
    format!(
        "{box_name} {{\"event\":\"target-left\",\"time\":\"2026-01-01T00:00:{:02}.{:03}+00:00\",\
         \"target\":\"{target}\"}}",
        at_ms / 1000,
        at_ms % 1000,
    )
}

#[test]
fn propagation_of_versions_and_removals_is_measured_across_boxes() {
    let lines = [
        in_force("b1", 7, 1_000, 0, "store"),
        in_force("b2", 7, 1_200, 150, "peer"),
        in_force("b3", 7, 3_900, 40, "peer"),
        in_force("b1", 9, 5_000, 0, "store"),
        unlisted("b1", "t1", 2_000),
        unlisted("b2", "t1", 2_300),
        unlisted("b1", "t2", 6_000),
    ];
    let report = explain(lines.join("\n")).expect("valid lines");
    let row = &report.versions[0];
    assert_eq!((row.version, row.boxes, row.from_store), (7, 3, 1));
    assert_eq!((row.median_ms, row.last_ms, row.max_pending_ms), (200, 2_900, 150));
    assert_eq!(row.last_box, "b3");
    assert_eq!((report.versions[1].boxes, report.versions[1].last_ms), (1, 0));
    assert_eq!((report.unlisted.targets, report.unlisted.slowest_ms), (2, 300));
    assert_eq!(report.unlisted.slowest, "t1");
    assert!(report.as_text().contains("b3"));
    let report = explain(in_force("b1", 7, 0, 0, "store").replace("2026", "soon"));
    assert!(report.expect("the line is skipped").unread_lines[0].place.contains("line 1"));
}

struct JoinedCase {
    name: &'static str,
    /// Text between two complete objects of one line.
    between: &'static str,
    unread: usize,
}

const JOINED: &[JoinedCase] = &[
    JoinedCase { name: "nothing", between: "", unread: 0 },
    JoinedCase { name: "a box's name", between: " 2.0 box-2 ", unread: 0 },
    JoinedCase { name: "one cut short", between: "{\"event\":\"requ", unread: 1 },
    JoinedCase {
        name: "one cut short, named",
        between: "1.9 box-3 {\"event\": 2.0 box-2 ",
        unread: 1,
    },
];

#[test]
fn both_objects_of_a_joined_line_are_decoded() {
    for case in JOINED {
        let started = "{\"event\":\"started\",\"data_centre\":\"near {a}\"}";
        let text = format!("1.0 box-1 {started}{}{}", case.between, SERVED.text());
        let report = explain(text).expect(case.name);
        assert_eq!((report.requests, report.unread), (1, case.unread), "{}", case.name);
    }
}

#[test]
fn requests_are_counted_by_second_and_target() {
    let report = report(&[
        LineCase { ended_ms: 5_100, ..SERVED },
        LineCase { ended_ms: 5_200, target: "t2", risk: "0.120 trial", ..SERVED },
        LineCase { ended_ms: 6_300, risk: "0.120 trial", ..STALLED },
        LineCase { ended_ms: 8_000, ..SERVED },
    ]);
    let counts = report
        .seconds
        .iter()
        .map(|row| (row.second, row.requests, row.lost, row.trials, row.lost_trials, row.targets));
    assert_eq!(counts.collect::<Vec<_>>(), [(0, 3, 1, 2, 1, 2), (2, 1, 0, 0, 0, 1)]);
    assert!(report.as_text().contains("lost trials"));
}

/// Returns the log line of a request with the given fingerprint, during which a target ended.
fn submission(fingerprint: &str, name: &str, targets_ended: u32) -> String {
    let fields = format!(
        r#"{{"box":"{name}","fingerprint":"{fingerprint}","path":"/orders/{fingerprint}","targets_ended":"{targets_ended}","tried":"t: closed, and the target has ended; ","#
    );
    SERVED.text().replacen('{', &fields, 1)
}

/// Returns the log line of a target that ended under the request with the given fingerprint.
fn target_ended(fingerprint: &str, target: &str) -> String {
    format!(r#"{{"event":"target-ended","fingerprint":"{fingerprint}","target":"{target}"}}"#)
}

#[test]
fn requests_under_which_several_targets_ended_are_listed() {
    let lines = [
        submission("f1", "b1", 0),
        target_ended("f1", "t1"),
        target_ended("f1", "t2"),
        submission("f1", "b2", 0),
        // A second line about the same target.
        target_ended("f1", "t2"),
        target_ended("f1", "t3"),
        submission("f1", "b3", 3),
        // Another request that was open at a target which ended under the first one.
        submission("f2", "b1", 0),
        target_ended("f2", "t1"),
        SERVED.text(),
    ];
    let report = explain(lines.join("\n")).expect("valid lines");
    assert_eq!(report.poison_requests.len(), 1);
    let row = &report.poison_requests[0];
    assert_eq!((row.fingerprint.as_str(), row.path.as_str()), ("f1", "/orders/f1"));
    assert_eq!((row.targets, row.tries, row.refused, row.boxes), (3, 3, 1, 3));
    assert!(report.as_text().contains("/orders/f1"));
}

/// The log line of a box about a target that is excluded.
struct ExclusionCase {
    box_name: &'static str,
    event: &'static str,
    target: &'static str,
    second: u32,
}

impl ExclusionCase {
    fn text(&self) -> String {
        format!(
            "{{\"box\":\"{}\",\"event\":\"{}\",\"target\":\"{}\",\"rest_ms\":\"3000\",\
             \"time\":\"2026-01-01T00:00:{:02}.000+00:00\"}}",
            self.box_name, self.event, self.target, self.second,
        )
    }
}

const EXCLUSIONS: &[ExclusionCase] = &[
    ExclusionCase { box_name: "b1", event: "target-leaves", target: "t2", second: 5 },
    ExclusionCase { box_name: "b2", event: "target-leaves", target: "t2", second: 4 },
    ExclusionCase { box_name: "b2", event: "target-leaves", target: "t2", second: 4 },
    ExclusionCase { box_name: "b1", event: "target-rests", target: "t3", second: 6 },
    ExclusionCase { box_name: "b1", event: "target-rests", target: "t3", second: 9 },
    ExclusionCase { box_name: "b1", event: "send-withheld", target: "t3", second: 9 },
    ExclusionCase { box_name: "b1", event: "target-left", target: "t4", second: 9 },
    ExclusionCase { box_name: "b1", event: "target-replaced", target: "t5", second: 9 },
];

#[test]
fn excluded_targets_are_listed_with_the_causes() {
    let mut lines: Vec<String> = EXCLUSIONS.iter().map(ExclusionCase::text).collect();
    lines.push(SERVED.text());
    lines.push(LineCase { target: "t2", ..SERVED }.text());
    let report = explain(lines.join("\n")).expect("valid lines");
    let rows = &report.excluded_targets;
    let names: Vec<&str> = rows.iter().map(|row| row.target.as_str()).collect();
    assert_eq!(names[..2], ["t3", "t2"], "ordered by total back-off, then by draining notices");
    assert_eq!(names.len(), 4, "t1 is not excluded");
    let (backing_off, draining) = (&rows[0], &rows[1]);
    assert_eq!((draining.requests, draining.draining_boxes, draining.withheld), (1, 2, 0));
    assert_eq!(draining.draining_since_ms % 60_000, 4_000, "the time of the first box");
    assert_eq!(
        (backing_off.backoffs, backing_off.backoff_boxes, backing_off.backoff_ms),
        (2, 1, 6_000)
    );
    assert_eq!(backing_off.withheld, 1);
    assert!(report.as_text().contains("left alone"));
}
