//! Tests of the counts of requests that all boxes sent to a target with a limit, according to their logs.
//!
//! Guards against a fault in which a target with a limit of one request per second received 32 requests in 4 s
//! from eight boxes. The logs had no lines about limits, so only the targets' own counters showed it.

use wingctl::explain::{LogReport, explain_lines};

/// Returns the time stamp of a log line that is written this long after the start of the minute.
fn time(millis: u32) -> String {
    format!("2026-01-01T00:00:{:02}.{:03}+00:00", millis / 1000, millis % 1000)
}

fn line(event: &str, box_name: &str, millis: u32, more: &str) -> String {
    let time = time(millis);
    format!(
        "{{\"event\":\"{event}\",\"box\":\"{box_name}\",\"target\":\"t\",\"time\":\"{time}\"{more}}}\n"
    )
}

fn announced(box_name: &str, millis: u32, per_second: &str) -> String {
    line("target-limited", box_name, millis, &format!(",\"per_second\":\"{per_second}\""))
}

fn sent(millis: u32) -> String {
    line("limited-send", if millis.is_multiple_of(2) { "one" } else { "two" }, millis, "")
}

fn explain(text: String) -> LogReport {
    let reader = std::io::Cursor::new(text.into_bytes());
    explain_lines(vec![("log".into(), Box::new(reader))]).expect("the log can be read")
}

struct LimitCase {
    name: &'static str,
    lines: fn() -> String,
    max_sends: usize,
    allowed: f64,
}

fn every(step: usize, from: u32, until: u32) -> String {
    (from..until).step_by(step).map(sent).collect()
}

const CASES: &[LimitCase] = &[
    LimitCase {
        name: "requests of two boxes are added up",
        lines: || {
            [announced("one", 0, "1"), announced("two", 100, "1"), every(125, 8_000, 12_000)]
                .concat()
        },
        max_sends: 32,
        allowed: 11.0,
    },
    LimitCase {
        name: "requests are not counted until the limit has had time to reach all boxes",
        lines: || {
            [announced("one", 0, "0.5"), every(125, 500, 5_500), every(1_000, 9_000, 14_000)]
                .concat()
        },
        max_sends: 4,
        allowed: 8.0,
    },
    LimitCase {
        name: "the higher limit applies until its reduction has had time to reach all boxes",
        lines: || {
            [announced("one", 0, "4"), every(250, 8_000, 14_000), announced("two", 13_000, "1")]
                .concat()
        },
        max_sends: 16,
        allowed: 29.0,
    },
    LimitCase {
        name: "requests after the end of the limit are not counted",
        lines: || {
            let ended = line("target-unlimited", "two", 8_000, "");
            [announced("one", 0, "1"), ended, every(50, 8_500, 14_000)].concat()
        },
        max_sends: 0,
        allowed: 0.0,
    },
];

#[test]
fn requests_to_a_limited_target_are_compared_with_the_allowed_number() {
    for case in CASES {
        let report = explain((case.lines)());
        let [row] = report.limited_targets.as_slice() else {
            panic!("{}: expected exactly one row", case.name);
        };
        assert_eq!((row.max_sends, row.allowed), (case.max_sends, case.allowed), "{}", case.name);
    }
}

#[test]
fn rows_of_limited_targets_have_the_informed_boxes_and_the_first_time() {
    let report =
        explain([announced("one", 500, "2"), announced("two", 700, "1.5"), sent(9_000)].concat());
    let row = &report.limited_targets[0];
    assert_eq!((row.target.as_str(), row.boxes, row.sends), ("t", 2, 1));
    assert_eq!((row.per_second, row.min_per_second), (2.0, 1.5));
    assert_eq!(row.since_ms % 60_000, 500);
    assert!(report.as_text().contains("targets that named a limit"));
}
