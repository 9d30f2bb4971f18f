//! The report on the window in which all boxes together made the most retries.

use wingctl::explain::explain_lines;

/// A line of a box, `at_ms` after the first one.
fn line(event: &str, box_name: &str, at_ms: u32, fields: &str) -> String {
    let (seconds, millis) = (at_ms / 1000, at_ms % 1000);
    format!(
        "{{\"event\":\"{event}\",\"box\":\"{box_name}\",\"service\":\"orders\",{fields},\"time\":\"2026-01-01T00:00:{seconds:02}.{millis:03}+00:00\"}}\n"
    )
}

fn started(box_name: &str, data_centre: &str) -> String {
    line("started", box_name, 0, &format!("\"data_centre\":\"{data_centre}\""))
}

fn request(box_name: &str, at_ms: u32, deliveries: u32) -> String {
    let fields = format!(
        "\"status\":\"200\",\"outcome\":\"answered\",\"attempts\":\"4\",\"deliveries\":\"{deliveries}\",\"taken_ms\":\"5\""
    );
    line("request", box_name, at_ms, &fields)
}

fn budget(box_name: &str, at_ms: u32, allowed: u32) -> String {
    line("retry-budget", box_name, at_ms, &format!("\"allowed\":\"{allowed}\""))
}

/// Boxes whose callers had moved spent a budget twice, and no line of a single box showed it.
#[test]
fn window_with_the_most_retries_is_shown_by_data_centre() {
    let lines = [
        started("a", "near"),
        started("b", "far"),
        request("a", 1_000, 1),
        request("a", 2_000, 0),
        request("a", 14_000, 4),
        budget("a", 14_500, 3),
        request("b", 20_000, 3),
        request("b", 23_900, 1),
        budget("b", 20_500, 2),
        request("b", 24_100, 3),
    ];
    let reader = std::io::Cursor::new(lines.concat().into_bytes());
    let report =
        explain_lines(vec![("log".into(), Box::new(reader))]).expect("the log can be read");
    assert_eq!(report.unread, 0, "{:?}", report.unread_lines);
    let [window] = report.retry_windows.as_slice() else { panic!("{:?}", report.retry_windows) };
    assert_eq!((&*window.service, window.further_sends, window.allowed), ("orders", 5, 5));
    assert_eq!(window.since_ms % 60_000, 14_000);
    let centres = window.centres.iter();
    let centres: Vec<_> = centres
        .map(|one| (&*one.data_centre, one.requests, one.requests_before, one.further_sends))
        .collect();
    assert_eq!(centres, [("far", 2, 0, 2), ("near", 1, 0, 3)]);
    assert!(report.as_text().contains("further sends"));
}
