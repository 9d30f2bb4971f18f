//! Which headers pass, and what is read from them.

use std::time::Duration;

use http_types::headers::{HeaderName, HeaderValues};
use http_types::{Request, Response};
use wingbridge_decide::{ReportedState, TargetReport};
use wingbridge_http::raw::head::HOP_BY_HOP;

/// Header with the outcome towards the caller.
pub(crate) const OUTCOME: &str = "x-wingbridge-outcome";
/// Header with the request's id, towards caller and target.
pub(crate) const REQUEST: &str = "x-wingbridge-request";
/// Header with the box's name, towards the target.
pub(crate) const BOX: &str = "x-wingbridge-box";
/// Header with the time left, in milliseconds, from the caller and towards the target.
pub(crate) const DEADLINE: &str = "x-deadline-ms";
const NOT_RUN: &str = "x-not-run";
const LOAD: &str = "x-target-load";
const STATE: &str = "x-target-state";
const INCARNATION: &str = "x-target-incarnation";

/// Headers that only wingbridge sets.
const RESERVED: [&str; 6] = [OUTCOME, REQUEST, BOX, LOAD, STATE, INCARNATION];

/// The value of a header, or an empty text.
pub(crate) fn text(values: Option<&HeaderValues>) -> &str {
    values.map_or("", |values| values.last().as_str())
}

/// Headers of a request that go on to the target.
pub(crate) fn forwarded(request: &Request) -> Vec<(String, String)> {
    let named = text(request.header("connection")).to_ascii_lowercase();
    pass(request.iter(), &named, &["content-length", DEADLINE])
}

/// Headers of an answer that go back to the caller.
pub(crate) fn returned(response: &Response) -> Vec<(String, String)> {
    let named = text(response.header("connection")).to_ascii_lowercase();
    let mut headers = pass(response.iter(), &named, &["content-length"]);
    // The library makes up a date where the target gave none, and a malformed one.
    headers.retain(|(name, value)| name != "date" || !value.starts_with("date:"));
    headers
}

/// What a target says of itself in an answer.
pub(crate) fn target_report(response: &Response) -> TargetReport {
    let load: Option<f32> = text(response.header(LOAD)).parse().ok();
    let state = match text(response.header(STATE)) {
        "draining" => ReportedState::Draining,
        "cold" => ReportedState::Cold,
        _ => ReportedState::Ready,
    };
    TargetReport {
        load: load.filter(|load| load.is_finite()).map(|load| load.clamp(0.0, 100.0)),
        state,
        incarnation: text(response.header(INCARNATION)).parse().ok(),
    }
}

/// Whether the target says that it ran nothing of the request.
pub(crate) fn says_not_run(response: &Response) -> bool {
    response.status() as u16 == 503 && text(response.header(NOT_RUN)) == "1"
}

/// The time that the caller gives, if it gives one.
pub(crate) fn caller_deadline(request: &Request) -> Option<Duration> {
    let millis: u64 = text(request.header(DEADLINE)).parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn pass<'a>(
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValues)>,
    named: &str,
    also: &[&str],
) -> Vec<(String, String)> {
    let mut passed = Vec::new();
    for (name, values) in headers {
        let name = name.as_str();
        let dropped = HOP_BY_HOP.contains(&name)
            || RESERVED.contains(&name)
            || also.contains(&name)
            || named.split(',').any(|token| token.trim() == name);
        if !dropped {
            let values = values.iter();
            passed.extend(values.map(|value| (name.to_string(), value.as_str().to_string())));
        }
    }
    passed
}
