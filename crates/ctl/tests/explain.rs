//! `wingctl explain`: what it counts, and what it says of lines that it can't read.

use std::io::{BufRead, Cursor};

use wingctl::explain::{LogReport, explain_lines};

/// One request line of a box's log.
struct LineCase {
    /// When its answer was ready, in milliseconds of a minute, and how long it took.
    ended_ms: u32,
    taken_ms: u32,
    status: u16,
    outcome: &'static str,
    target: &'static str,
    risk: &'static str,
    attempts: u32,
    hedged_ms: &'static str,
}

const FINE: LineCase = LineCase {
    ended_ms: 1_000,
    taken_ms: 100,
    status: 200,
    outcome: "answered",
    target: "t1",
    risk: "0.020",
    attempts: 1,
    hedged_ms: "",
};
const STALLED: LineCase = LineCase { status: 504, outcome: "unknown", taken_ms: 1_000, ..FINE };

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
    explain(lines.join("\n")).expect("sound lines")
}

#[test]
fn merged_logs_are_told_apart_by_the_boxes_that_their_lines_name() {
    let started = |name: &str, centre: &str| {
        format!(r#"{{"event":"started","box":"{name}","data_centre":"{centre}"}}"#)
    };
    let request = |name: &str| FINE.text().replacen('{', &format!(r#"{{"box":"{name}","#), 1);
    let merged =
        [started("b1", "near"), started("b2", "far"), request("b1"), request("b2"), request("b2")];
    let report = explain(merged.join("\n")).expect("sound lines");
    assert_eq!(report.services[0].crossed, 1, "all targets are far, and one box is near");
}

#[test]
fn requests_are_counted_by_how_they_ended() {
    let report = report(&[
        FINE,
        LineCase { status: 404, ..FINE },
        LineCase { status: 500, ..FINE },
        LineCase { status: 503, outcome: "not-run", ..FINE },
        LineCase { risk: "0.400 trial", ..STALLED },
        LineCase { attempts: 2, hedged_ms: "300", ..FINE },
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
fn losses_are_told_apart_by_what_could_be_known() {
    let report = report(&[
        // Known at 2 s.
        LineCase { ended_ms: 2_000, ..STALLED },
        LineCase { ended_ms: 2_500, ..STALLED },
        LineCase { ended_ms: 3_100, ..STALLED },
        LineCase { ended_ms: 4_000, risk: "0.300 trial", ..STALLED },
        // Another episode, and another target.
        LineCase { ended_ms: 9_000, ..STALLED },
        LineCase { ended_ms: 9_100, target: "t2", ..STALLED },
    ]);
    let episodes = &report.spells;
    assert_eq!((episodes.spells, episodes.first, episodes.on_the_way), (3, 3, 1));
    assert_eq!((episodes.later, episodes.trials), (1, 1));
}

#[test]
fn beliefs_are_held_against_what_came() {
    let mut cases: Vec<LineCase> = (0..9).map(|_| LineCase { risk: "0.110", ..FINE }).collect();
    cases.push(LineCase { risk: "0.110", ..STALLED });
    let report = report(&cases);
    let [row] = report.calibration.as_slice() else { panic!("{:?}", report.calibration) };
    assert_eq!((row.requests, row.failed), (10, 0.1));
    assert!((row.believed - 0.11).abs() < 1e-9);
}

#[test]
fn what_left_the_data_centre_is_known_by_the_box_s_start() {
    let started = "{\"event\":\"started\",\"data_centre\":\"near\"}";
    let text = format!("1.0 box-1 {started}\n2.0 box-1 {}\n3.0 box-2 {}", FINE.text(), FINE.text());
    let report = explain(text).expect("sound lines");
    assert_eq!(report.services[0].crossed, 1, "the start of the second is not in the log");
}

struct BadLine {
    name: &'static str,
    line: &'static str,
    says: &'static str,
}

const BAD_LINES: &[BadLine] = &[
    BadLine { name: "cut short", line: "{\"event\":\"request\"", says: "no JSON object" },
    BadLine { name: "no number", line: "{\"event\":\"request\",\"status\":\"x\"}", says: "status" },
    BadLine {
        name: "no time",
        line: "{\"event\":\"request\",\"status\":\"200\",\"time\":\"noon\"}",
        says: "noon",
    },
];

/// One line that a collector had cut short ended the whole report.
#[test]
fn a_line_that_can_t_be_read_is_named_and_passed_over() {
    for case in BAD_LINES {
        let text = format!("no JSON\n{}\n{}\n{}", FINE.text(), case.line, FINE.text());
        let report = explain(text).expect(case.name);
        let [unread] = report.unread_lines.as_slice() else { panic!("{}: {report:?}", case.name) };
        assert_eq!(unread.place, "box-1.log, line 3", "{}", case.name);
        assert!(unread.reason.contains(case.says), "{}: {}", case.name, unread.reason);
        assert_eq!((report.requests, report.unread), (2, 1), "{}", case.name);
        assert!(report.as_text().contains("line 3"), "{}", case.name);
    }
    let report = explain("no JSON\n".to_string()).expect("passed over");
    assert_eq!((report.requests, report.other_lines), (0, 1));
}

/// One line of a box's log that says that a version came into force there.
fn in_force(box_name: &str, version: u64, at_ms: u32, heard_ms: u32, source: &str) -> String {
    format!(
        "{box_name} {{\"event\":\"configuration-in-force\",\"time\":\"2026-01-01T00:00:{:02}.{:03}+00:00\",\
         \"version\":\"{version}\",\"heard_ms\":\"{heard_ms}\",\"source\":\"{source}\"}}",
        at_ms / 1000,
        at_ms % 1000,
    )
}

fn left(box_name: &str, target: &str, at_ms: u32) -> String {
    format!(
        "{box_name} {{\"event\":\"target-left\",\"time\":\"2026-01-01T00:00:{:02}.{:03}+00:00\",\
         \"target\":\"{target}\"}}",
        at_ms / 1000,
        at_ms % 1000,
    )
}

#[test]
fn a_version_is_followed_through_the_boxes() {
    let lines = [
        in_force("b1", 7, 1_000, 0, "store"),
        in_force("b2", 7, 1_200, 150, "peer"),
        in_force("b3", 7, 3_900, 40, "peer"),
        in_force("b1", 9, 5_000, 0, "store"),
        left("b1", "t1", 2_000),
        left("b2", "t1", 2_300),
        left("b1", "t2", 6_000),
    ];
    let report = explain(lines.join("\n")).expect("sound lines");
    let row = &report.versions[0];
    assert_eq!((row.version, row.boxes, row.from_store), (7, 3, 1));
    assert_eq!((row.median_ms, row.last_ms, row.longest_known_ms), (200, 2_900, 150));
    assert_eq!(row.last_box, "b3");
    assert_eq!((report.versions[1].boxes, report.versions[1].last_ms), (1, 0));
    assert_eq!((report.leaving.targets, report.leaving.slowest_ms), (2, 300));
    assert_eq!(report.leaving.slowest, "t1");
    assert!(report.as_text().contains("b3"));
    let report = explain(in_force("b1", 7, 0, 0, "store").replace("2026", "soon"));
    assert!(report.expect("passed over").unread_lines[0].place.contains("line 1"));
}

struct JoinedCase {
    name: &'static str,
    /// Between two whole objects of one line.
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
fn two_objects_in_one_line_are_both_read() {
    for case in JOINED {
        let started = "{\"event\":\"started\",\"data_centre\":\"near {a}\"}";
        let text = format!("1.0 box-1 {started}{}{}", case.between, FINE.text());
        let report = explain(text).expect(case.name);
        assert_eq!((report.requests, report.unread), (1, case.unread), "{}", case.name);
    }
}

#[test]
fn seconds_tell_what_was_tried_and_where() {
    let report = report(&[
        LineCase { ended_ms: 5_100, ..FINE },
        LineCase { ended_ms: 5_200, target: "t2", risk: "0.120 trial", ..FINE },
        LineCase { ended_ms: 6_300, risk: "0.120 trial", ..STALLED },
        LineCase { ended_ms: 8_000, ..FINE },
    ]);
    let counts = report
        .moments
        .iter()
        .map(|row| (row.second, row.requests, row.lost, row.trials, row.lost_trials, row.targets));
    assert_eq!(counts.collect::<Vec<_>>(), [(0, 3, 1, 2, 1, 2), (2, 1, 0, 0, 0, 1)]);
    assert!(report.as_text().contains("lost trials"));
}

/// A try of the request known as `fingerprint`, and a target's end under it.
fn try_of(fingerprint: &str, name: &str, targets_ended: u32) -> String {
    let fields = format!(
        r#"{{"box":"{name}","fingerprint":"{fingerprint}","path":"/orders/{fingerprint}","targets_ended":"{targets_ended}","tried":"t: closed, and the target has ended; ","#
    );
    FINE.text().replacen('{', &fields, 1)
}

fn end_under(fingerprint: &str, target: &str) -> String {
    format!(r#"{{"event":"target-ended","fingerprint":"{fingerprint}","target":"{target}"}}"#)
}

#[test]
fn requests_under_which_targets_end_are_named() {
    let lines = [
        try_of("f1", "b1", 0),
        end_under("f1", "t1"),
        end_under("f1", "t2"),
        try_of("f1", "b2", 0),
        // Told again by another line of the same target.
        end_under("f1", "t2"),
        end_under("f1", "t3"),
        try_of("f1", "b3", 3),
        // One that was open at a target which ended for that one.
        try_of("f2", "b1", 0),
        end_under("f2", "t1"),
        FINE.text(),
    ];
    let report = explain(lines.join("\n")).expect("sound lines");
    assert_eq!(report.deadly.len(), 1);
    let row = &report.deadly[0];
    assert_eq!((row.fingerprint.as_str(), row.path.as_str()), ("f1", "/orders/f1"));
    assert_eq!((row.targets, row.tries, row.refused, row.boxes), (3, 3, 1, 3));
    assert!(report.as_text().contains("/orders/f1"));
}

/// A line of a box on a target that is left alone.
struct AloneCase {
    box_name: &'static str,
    event: &'static str,
    target: &'static str,
    second: u32,
}

impl AloneCase {
    fn text(&self) -> String {
        format!(
            "{{\"box\":\"{}\",\"event\":\"{}\",\"target\":\"{}\",\"rest_ms\":\"3000\",\
             \"time\":\"2026-01-01T00:00:{:02}.000+00:00\"}}",
            self.box_name, self.event, self.target, self.second,
        )
    }
}

const ALONE: &[AloneCase] = &[
    AloneCase { box_name: "b1", event: "target-leaves", target: "t2", second: 5 },
    AloneCase { box_name: "b2", event: "target-leaves", target: "t2", second: 4 },
    AloneCase { box_name: "b2", event: "target-leaves", target: "t2", second: 4 },
    AloneCase { box_name: "b1", event: "target-rests", target: "t3", second: 6 },
    AloneCase { box_name: "b1", event: "target-rests", target: "t3", second: 9 },
    AloneCase { box_name: "b1", event: "send-withheld", target: "t3", second: 9 },
    AloneCase { box_name: "b1", event: "target-left", target: "t4", second: 9 },
    AloneCase { box_name: "b1", event: "target-replaced", target: "t5", second: 9 },
];

#[test]
fn a_target_that_got_nothing_is_named_with_what_kept_it_out() {
    let mut lines: Vec<String> = ALONE.iter().map(AloneCase::text).collect();
    lines.push(FINE.text());
    lines.push(LineCase { target: "t2", ..FINE }.text());
    let report = explain(lines.join("\n")).expect("sound lines");
    let rows = &report.left_alone;
    let names: Vec<&str> = rows.iter().map(|row| row.target.as_str()).collect();
    assert_eq!(names[..2], ["t3", "t2"], "the longest rest, then those that leave");
    assert_eq!(names.len(), 4, "t1 is not left alone");
    let (resting, leaving) = (&rows[0], &rows[1]);
    assert_eq!((leaving.requests, leaving.leaves_at, leaving.withheld), (1, 2, 0));
    assert_eq!(leaving.leaves_ms % 60_000, 4_000, "the first box");
    assert_eq!((resting.rests, resting.rests_at, resting.rest_ms), (2, 1, 6_000));
    assert_eq!(resting.withheld, 1);
    assert!(report.as_text().contains("left alone"));
}
