//! The report on boxes without paths to the targets, and on requests that other boxes handled for them.

use wingctl::explain::explain_lines;

fn request(box_name: &str, more: &str) -> String {
    format!(
        "{{\"event\":\"request\",\"box\":\"{box_name}\",\"request\":\"7a3e\",\"service\":\"s\",\"status\":\"200\",\"outcome\":\"answered\",\"attempts\":\"1\",\"taken_ms\":\"5\",\"time\":\"2026-01-01T00:00:02.000+00:00\"{more}}}\n"
    )
}

fn event(name: &str, box_name: &str) -> String {
    format!(
        "{{\"event\":\"{name}\",\"box\":\"{box_name}\",\"service\":\"\",\"failures\":\"8\",\"time\":\"2026-01-01T00:00:01.000+00:00\"}}\n"
    )
}

/// A request that another box handled has a line of each box, and counted twice.
#[test]
fn relayed_requests_count_once_and_show_both_boxes() {
    let lines = [
        event("paths-failing", "cut"),
        event("paths-lost", "cut"),
        request("cut", ",\"relayed_to\":\"10.0.0.2\""),
        request("peer", ",\"relayed_from\":\"cut\""),
        request("peer", ""),
        event("paths-restored", "cut"),
        event("paths-failing", "other"),
        event("paths-restored", "other"),
    ];
    let reader = std::io::Cursor::new(lines.concat().into_bytes());
    let report =
        explain_lines(vec![("log".into(), Box::new(reader))]).expect("the log can be read");
    assert_eq!((report.requests, report.unread), (2, 0));
    let rows = report.lost_paths.iter();
    let rows: Vec<_> = rows
        .map(|row| (&*row.box_name, row.losses, row.restored, row.relayed, row.handled))
        .collect();
    assert_eq!(rows, [("cut", 1, 1, 1, 0), ("other", 0, 0, 0, 0), ("peer", 0, 0, 0, 1)]);
}
