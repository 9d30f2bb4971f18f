//! What all boxes sent to a target that had named a limit, by their logs alone.
//!
//! A target that had named one request a second got 32 in 4 s from eight boxes. No line told of a limit, so
//! that only the targets' own counts showed it.

use wingctl::explain::{LogReport, explain_lines};

/// Seconds after the first line, as they stand in a log.
fn time(millis: u32) -> String {
    format!("2026-01-01T00:00:{:02}.{:03}+00:00", millis / 1000, millis % 1000)
}

fn line(event: &str, box_name: &str, millis: u32, more: &str) -> String {
    let time = time(millis);
    format!(
        "{{\"event\":\"{event}\",\"box\":\"{box_name}\",\"target\":\"t\",\"time\":\"{time}\"{more}}}\n"
    )
}

fn named(box_name: &str, millis: u32, per_second: &str) -> String {
    line("target-limited", box_name, millis, &format!(",\"per_second\":\"{per_second}\""))
}

fn sent(millis: u32) -> String {
    line("limited-send", if millis.is_multiple_of(2) { "one" } else { "two" }, millis, "")
}

fn explain(text: String) -> LogReport {
    let reader = std::io::Cursor::new(text.into_bytes());
    explain_lines(vec![("log".into(), Box::new(reader))]).expect("it can be read")
}

struct LimitCase {
    name: &'static str,
    lines: fn() -> String,
    most: usize,
    allowed: f64,
}

fn every(step: usize, from: u32, until: u32) -> String {
    (from..until).step_by(step).map(sent).collect()
}

const CASES: &[LimitCase] = &[
    LimitCase {
        name: "sends of two boxes are counted together",
        lines: || {
            [named("one", 0, "1"), named("two", 100, "1"), every(125, 8_000, 12_000)].concat()
        },
        most: 32,
        allowed: 11.0,
    },
    LimitCase {
        name: "what came while boxes were still to hear of it is not counted",
        lines: || {
            [named("one", 0, "0.5"), every(125, 500, 5_500), every(1_000, 9_000, 14_000)].concat()
        },
        most: 4,
        allowed: 8.0,
    },
    LimitCase {
        name: "a limit that was higher until a moment ago allows more",
        lines: || {
            [named("one", 0, "4"), every(250, 8_000, 14_000), named("two", 13_000, "1")].concat()
        },
        most: 16,
        allowed: 29.0,
    },
    LimitCase {
        name: "a limit that has ended allows all",
        lines: || {
            let ended = line("target-unlimited", "two", 8_000, "");
            [named("one", 0, "1"), ended, every(50, 8_500, 14_000)].concat()
        },
        most: 0,
        allowed: 0.0,
    },
];

#[test]
fn what_a_limited_target_got_is_held_against_its_limit() {
    for case in CASES {
        let report = explain((case.lines)());
        let [row] = report.limited.as_slice() else {
            panic!("{}: one target has a row", case.name);
        };
        assert_eq!((row.most, row.allowed), (case.most, case.allowed), "{}", case.name);
    }
}

#[test]
fn a_limited_target_s_row_tells_who_knew_and_since_when() {
    let report = explain([named("one", 500, "2"), named("two", 700, "1.5"), sent(9_000)].concat());
    let row = &report.limited[0];
    assert_eq!((row.target.as_str(), row.boxes, row.sends), ("t", 2, 1));
    assert_eq!((row.per_second, row.least_per_second), (2.0, 1.5));
    assert_eq!(row.since_ms % 60_000, 500);
    assert!(report.as_text().contains("targets that named a limit"));
}
