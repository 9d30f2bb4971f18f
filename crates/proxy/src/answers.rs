//! What callers are told.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use wingbridge_decide::{Conclusion, RefuseReason};
use wingbridge_http::ResponseBody;
use wingbridge_http::server::text_response;

use crate::attempt::TargetAnswer;
use crate::headers::{self, OUTCOME, REQUEST};

/// The three outcomes towards a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// A target's whole answer.
    Answered,
    /// No target ran any of it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

impl CallerOutcome {
    /// The outcome's name in headers, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallerOutcome::Answered => "answered",
            CallerOutcome::NotRun => "not-run",
            CallerOutcome::Unknown => "unknown",
        }
    }
}

/// An answer for the caller with its outcome, for the log.
pub(crate) struct CallerAnswer {
    pub(crate) response: Response,
    pub(crate) outcome: CallerOutcome,
    pub(crate) why: String,
}

impl CallerAnswer {
    /// Puts the outcome and the request's id into the headers.
    pub(crate) fn with_headers(mut self, request: &str) -> CallerAnswer {
        self.response.insert_header(OUTCOME, self.outcome.as_str());
        self.response.insert_header(REQUEST, request);
        self
    }
}

/// A refusal of something that was not run.
pub(crate) fn not_run(status: u16, why: &str, retry_after: Option<Duration>) -> CallerAnswer {
    refusal(status, CallerOutcome::NotRun, why, retry_after)
}

/// The answer for a request that no target answered.
pub(crate) fn failed(conclusion: Conclusion) -> CallerAnswer {
    match conclusion {
        Conclusion::NotRun { reason, retry_after } => {
            let status = if reason == RefuseReason::CallerLimit { 429 } else { 503 };
            not_run(status, reason.as_str(), Some(retry_after))
        }
        Conclusion::Unknown { retry_after } => {
            let why = "a target may have run it, and gave no whole answer";
            refusal(504, CallerOutcome::Unknown, why, Some(retry_after))
        }
        Conclusion::Answered => refusal(502, CallerOutcome::Unknown, "the answer was lost", None),
    }
}

/// A target's answer, as it goes to the caller, with `body` where it is passed on.
pub(crate) fn answered(answer: TargetAnswer, streamed: Option<Body>) -> CallerAnswer {
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
    // The library makes up a type for bodies that have none.
    response.remove_header("content-type");
    for (name, value) in headers::returned(&answer.response) {
        response.append_header(name.as_str(), value.as_str());
    }
    let why = format!("from {}", answer.target);
    CallerAnswer { response, outcome: CallerOutcome::Answered, why }
}

fn refusal(
    status: u16,
    outcome: CallerOutcome,
    why: &str,
    retry_after: Option<Duration>,
) -> CallerAnswer {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::ServiceUnavailable);
    let mut response = text_response(status as u16, why);
    if let Some(after) = retry_after {
        // The header counts whole seconds: rounded up, so that nobody comes too early.
        let seconds = after.as_millis().div_ceil(1000);
        response.insert_header("retry-after", seconds.to_string());
    }
    CallerAnswer { response, outcome, why: why.to_string() }
}
