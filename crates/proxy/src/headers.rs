//! Headers that are forwarded, and values that are read from headers.

use std::time::Duration;

use http_types::headers::{HeaderName, HeaderValues};
use http_types::{Request, Response};
use wingbridge_decide::{ReportedState, TargetReport};
use wingbridge_http::raw::head::HOP_BY_HOP;

/// Response header with the outcome of the request.
pub(crate) const OUTCOME_HEADER: &str = "x-wingbridge-outcome";
/// Header with the id of the request, for caller and target.
pub(crate) const REQUEST_ID_HEADER: &str = "x-wingbridge-request";
/// Header with the id of the box, for the target.
pub(crate) const BOX_ID_HEADER: &str = "x-wingbridge-box";
/// Header with the remaining time in milliseconds, from the caller and for the target.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
const NOT_RUN_HEADER: &str = "x-not-run";
const LOAD_HEADER: &str = "x-target-load";
const STATE_HEADER: &str = "x-target-state";
const INCARNATION_HEADER: &str = "x-target-incarnation";

/// Headers that only wingbridge itself sets.
const RESERVED_HEADERS: [&str; 6] = [
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    BOX_ID_HEADER,
    LOAD_HEADER,
    STATE_HEADER,
    INCARNATION_HEADER,
];

/// Returns the last value of a header, or an empty text if the header is missing.
pub(crate) fn text(values: Option<&HeaderValues>) -> &str {
    values.map_or("", |values| values.last().as_str())
}

/// Returns the headers of a request that are forwarded to the target.
pub(crate) fn forwarded(request: &Request) -> Vec<(String, String)> {
    let connection_options = text(request.header("connection")).to_ascii_lowercase();
    end_to_end(request.iter(), &connection_options, &["content-length", DEADLINE_HEADER])
}

/// Returns the headers of an answer that are returned to the caller.
pub(crate) fn returned(response: &Response) -> Vec<(String, String)> {
    let connection_options = text(response.header("connection")).to_ascii_lowercase();
    let mut headers = end_to_end(response.iter(), &connection_options, &["content-length"]);
    // If the target sends no date, the library inserts one, which is malformed.
    headers.retain(|(name, value)| name != "date" || !value.starts_with("date:"));
    headers
}

/// Returns the report of a target on itself in an answer.
pub(crate) fn target_report(response: &Response) -> TargetReport {
    let load: Option<f32> = text(response.header(LOAD_HEADER)).parse().ok();
    let state = match text(response.header(STATE_HEADER)) {
        "draining" => ReportedState::Draining,
        "cold" => ReportedState::Cold,
        _ => ReportedState::Ready,
    };
    TargetReport {
        load: load.filter(|load| load.is_finite()).map(|load| load.clamp(0.0, 100.0)),
        state,
        incarnation: text(response.header(INCARNATION_HEADER)).parse().ok(),
    }
}

/// Returns whether the target reports that it has not run any part of the request.
pub(crate) fn is_not_run(response: &Response) -> bool {
    response.status() as u16 == 503 && text(response.header(NOT_RUN_HEADER)) == "1"
}

/// Returns the time that the caller allows for the request, if it sets one.
pub(crate) fn caller_deadline(request: &Request) -> Option<Duration> {
    let millis: u64 = text(request.header(DEADLINE_HEADER)).parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn end_to_end<'a>(
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValues)>,
    connection_options: &str,
    excluded: &[&str],
) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, values) in headers {
        let name = name.as_str();
        let dropped = HOP_BY_HOP.contains(&name)
            || RESERVED_HEADERS.contains(&name)
            || excluded.contains(&name)
            || connection_options.split(',').any(|token| token.trim() == name);
        if !dropped {
            let values = values.iter();
            forwarded.extend(values.map(|value| (name.to_string(), value.as_str().to_string())));
        }
    }
    forwarded
}
