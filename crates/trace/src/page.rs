//! The event trace as text and as a self-contained HTML page.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::clock::stamp_millis;
use crate::event::TraceEvent;

const LANE_HEIGHT: usize = 34;
const CHART_WIDTH: usize = 1100;
const LABEL_WIDTH: usize = 170;
const MARKER_RADIUS: usize = 6;

/// Returns one line per event, with times relative to the first event.
pub fn render_text(events: &[TraceEvent]) -> String {
    let start = events.first().map_or(0, |event| stamp_millis(event.stamp));
    let mut text = String::new();
    for event in events {
        let seconds = (stamp_millis(event.stamp) - start) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "{seconds:>10.3} s  {:<12} {:<6} {:<18} {}",
            event.box_id,
            event.process,
            event.kind,
            format_fields(event)
        );
    }
    text
}

/// Returns an HTML page with a lane per process, a mark per event, and a table of all events.
pub fn render_html(events: &[TraceEvent]) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>wingbridge time line</title>\
         <style>body{font:14px/1.5 system-ui,sans-serif;margin:2rem;color:#1d2733;background:#fbfcfd}\
         h1{font-size:1.3rem}svg{background:#fff;border:1px solid #d8dfe6;border-radius:8px}\
         table{border-collapse:collapse;margin-top:1.5rem}td,th{padding:.2rem .8rem;text-align:left;\
         border-bottom:1px solid #e6ebf0}td:first-child{font-variant-numeric:tabular-nums;text-align:right}\
         tr:target{background:#fff3c4}</style><h1>wingbridge time line</h1>",
    );
    if events.is_empty() {
        page.push_str("<p>No events.</p></html>");
        return page;
    }
    page.push_str(&render_svg(events));
    page.push_str("<table><tr><th>seconds<th>box<th>process<th>event<th>particulars</tr>");
    let start = stamp_millis(events[0].stamp);
    for (number, event) in events.iter().enumerate() {
        let seconds = (stamp_millis(event.stamp) - start) as f64 / 1000.0;
        let _ = write!(
            page,
            "<tr id=\"e{number}\"><td>{seconds:.3}<td>{}<td>{}<td style=\"color:{}\">{}<td>{}</tr>",
            escape(&event.box_id),
            escape(&event.process),
            colour(&event.kind),
            escape(&event.kind),
            escape(&format_fields(event))
        );
    }
    page.push_str("</table></html>");
    page
}

fn render_svg(events: &[TraceEvent]) -> String {
    let mut lanes: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for event in events {
        lanes.insert((&event.box_id, &event.process), 0);
    }
    for (number, lane) in lanes.values_mut().enumerate() {
        *lane = number;
    }
    let height = lanes.len() * LANE_HEIGHT + 40;
    let width = LABEL_WIDTH + CHART_WIDTH + 30;
    let start = stamp_millis(events[0].stamp);
    let end = events.last().map_or(start, |event| stamp_millis(event.stamp));
    let span = (end - start).max(1);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {width} {height}\" width=\"100%\" role=\"img\" aria-label=\"events by process\">"
    );
    for ((box_id, process), lane) in &lanes {
        let y = lane * LANE_HEIGHT + 24;
        let _ = write!(
            svg,
            "<text x=\"10\" y=\"{}\" font-size=\"12\" fill=\"#445\">{} {}</text>\
             <line x1=\"{LABEL_WIDTH}\" y1=\"{y}\" x2=\"{}\" y2=\"{y}\" stroke=\"#dde4ea\"/>",
            y + 4,
            escape(box_id),
            escape(process),
            LABEL_WIDTH + CHART_WIDTH
        );
    }
    for (number, event) in events.iter().enumerate() {
        let lane = lanes[&(event.box_id.as_str(), event.process.as_str())];
        let offset = stamp_millis(event.stamp) - start;
        let x = LABEL_WIDTH as u64 + offset * CHART_WIDTH as u64 / span;
        let _ = write!(
            svg,
            "<a href=\"#e{number}\"><circle cx=\"{x}\" cy=\"{}\" r=\"{MARKER_RADIUS}\" fill=\"{}\" \
             fill-opacity=\".75\"><title>{:.3} s {}: {}</title></circle></a>",
            lane * LANE_HEIGHT + 24,
            colour(&event.kind),
            offset as f64 / 1000.0,
            escape(&event.kind),
            escape(&format_fields(event))
        );
    }
    let base = height - 8;
    let _ = write!(
        svg,
        "<text x=\"{LABEL_WIDTH}\" y=\"{base}\" font-size=\"11\" fill=\"#667\">0 s</text>\
         <text x=\"{}\" y=\"{base}\" font-size=\"11\" fill=\"#667\" text-anchor=\"end\">{:.1} s</text></svg>",
        LABEL_WIDTH + CHART_WIDTH,
        span as f64 / 1000.0
    );
    svg
}

fn format_fields(event: &TraceEvent) -> String {
    let pairs = event.fields.iter().map(|(name, value)| format!("{name}={value}"));
    pairs.collect::<Vec<_>>().join(" ")
}

fn colour(kind: &str) -> &'static str {
    match kind.split('-').next().unwrap_or_default() {
        "target" => "#c0392b",
        "config" => "#2471a3",
        "box" => "#7d3c98",
        "peer" | "store" => "#b9770e",
        "request" => "#1e8449",
        _ => "#566573",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
