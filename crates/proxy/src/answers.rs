//! Answers for callers.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use wingbridge_decide::{Conclusion, RefuseReason};
use wingbridge_http::ResponseBody;
use wingbridge_http::server::text_response;

use crate::attempt::TargetAnswer;
use crate::headers::{self, OUTCOME_HEADER, REQUEST_ID_HEADER};

/// The outcome of a request for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// A target's answer.
    Answered,
    /// No target has run any part of the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl CallerOutcome {
    /// Returns the name of the outcome in headers, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallerOutcome::Answered => "answered",
            CallerOutcome::NotRun => "not-run",
            CallerOutcome::Unknown => "unknown",
        }
    }
}

/// An answer for the caller, with its outcome and reason for the log.
pub(crate) struct CallerAnswer {
    pub(crate) response: Response,
    pub(crate) outcome: CallerOutcome,
    pub(crate) reason: String,
}

impl CallerAnswer {
    /// Adds the outcome and the request's id to the headers.
    pub(crate) fn with_headers(mut self, request: &str) -> CallerAnswer {
        self.response.insert_header(OUTCOME_HEADER, self.outcome.as_str());
        self.response.insert_header(REQUEST_ID_HEADER, request);
        self
    }
}

/// Returns the refusal of a request that no target has run.
pub(crate) fn not_run(status: u16, reason: &str, retry_after: Option<Duration>) -> CallerAnswer {
    refusal(status, CallerOutcome::NotRun, reason, retry_after)
}

/// Returns the answer for a request that no target has answered.
pub(crate) fn failure_answer(conclusion: Conclusion) -> CallerAnswer {
    match conclusion {
        Conclusion::NotRun { reason, retry_after } => {
            let status = if reason == RefuseReason::CallerLimit { 429 } else { 503 };
            not_run(status, reason.as_str(), Some(retry_after))
        }
        Conclusion::Unknown { retry_after } => {
            let reason = "a target may have run it, and gave no whole answer";
            refusal(504, CallerOutcome::Unknown, reason, Some(retry_after))
        }
        Conclusion::Answered => refusal(502, CallerOutcome::Unknown, "the answer was lost", None),
    }
}

/// Converts a target's answer into the answer for the caller. `streamed` becomes the body if the
/// body of the target's answer has not been read yet.
pub(crate) fn caller_answer(answer: TargetAnswer, streamed: Option<Body>) -> CallerAnswer {
    let mut response = Response::new(answer.response.status());
    match (answer.body, streamed) {
        (ResponseBody::Complete(bytes), _) => response.set_body(bytes),
        (ResponseBody::Absent(Some(length)), _) => {
            let empty = futures::io::BufReader::new(futures::io::empty());
            response.set_body(Body::from_reader(empty, Some(length as usize)));
        }
        (ResponseBody::Absent(None), _) => response.set_body(Body::empty()),
        (ResponseBody::Unread(_), body) => response.set_body(body.unwrap_or_else(Body::empty)),
    }
    // The library sets a default type for bodies without one.
    response.remove_header("content-type");
    for (name, value) in headers::returned(&answer.response) {
        response.append_header(name.as_str(), value.as_str());
    }
    let reason = format!("from {}", answer.target);
    CallerAnswer { response, outcome: CallerOutcome::Answered, reason }
}

fn refusal(
    status: u16,
    outcome: CallerOutcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> CallerAnswer {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::ServiceUnavailable);
    let mut response = text_response(status as u16, reason);
    if let Some(after) = retry_after {
        // The header is in seconds, rounded up so that no caller returns too early.
        let seconds = after.as_millis().div_ceil(1000);
        response.insert_header("retry-after", seconds.to_string());
    }
    CallerAnswer { response, outcome, reason: reason.to_string() }
}
