//! Answers to callers: forwarded answers of targets, and answers of the box itself.

use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use rand::Rng;
use wingbridge_http::HttpError;
use wingbridge_http::raw::head::{write_field, write_status_line};
use wingbridge_http::raw::{BodyDecoder, BodyLength, HeaderList, RawReader};

/// Minimum retry time in the answer to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum random time that is added to the retry time of a refusal, so that callers don't all return at the
/// same time.
const MAX_RETRY_JITTER: Duration = Duration::from_millis(700);

/// Jitter of the retry time for callers beyond their quota, as a fraction of that time.
const QUOTA_JITTER: f64 = 0.5;
/// Jitter of the retry time while all targets of a service back off, as a fraction of that time. It is
/// smaller than [`QUOTA_JITTER`], as the first target is available again at the end of that time and
/// any further wait is lost.
const BACKOFF_JITTER: f64 = 0.25;

/// Outcome of a request as the caller sees it, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// A target answered.
    Answered,
    /// No target has run any part of the request, and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// The request is invalid or not allowed.
    Rejected,
}

impl CallerOutcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallerOutcome::Answered => "answered",
            CallerOutcome::NotRun => "not-run",
            CallerOutcome::Unknown => "unknown",
            CallerOutcome::Rejected => "rejected",
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The complete body.
    Buffered(Vec<u8>),
    /// A body of which only the beginning was read; the rest is read from the target's connection.
    Streamed(Box<AnswerStream>),
    /// No body. For `HEAD` requests, the length in the headers.
    Absent(Option<u64>),
}

/// The body of an answer that is too large to buffer.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    pub(crate) reader: RawReader<TcpStream>,
    pub(crate) decoder: BodyDecoder,
    /// The part of the body that was read already.
    pub(crate) beginning: Vec<u8>,
    pub(crate) length: BodyLength,
    /// Time by which the request must be answered.
    pub(crate) deadline: Instant,
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) reason_phrase: String,
    pub(crate) headers: HeaderList,
    pub(crate) body: AnswerBody,
    pub(crate) outcome: CallerOutcome,
    /// Reason for the answer, for the log.
    pub(crate) reason: &'static str,
}

impl CallerAnswer {
    /// Creates an answer of the box itself, with `reason` as its body.
    pub(crate) fn from_box(
        status: u16,
        outcome: CallerOutcome,
        reason: &'static str,
    ) -> CallerAnswer {
        let mut headers = HeaderList::default();
        headers.push("Content-Type", "text/plain");
        CallerAnswer {
            status,
            reason_phrase: reason_phrase(status).to_string(),
            headers,
            body: AnswerBody::Buffered(format!("{reason}\n").into_bytes()),
            outcome,
            reason,
        }
    }

    /// Refuses a request that no target has run or will run. The retry time is random.
    pub(crate) fn not_run(header_name: &str, reason: &'static str) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(503, CallerOutcome::NotRun, reason);
        let wait = MIN_RETRY_AFTER + MAX_RETRY_JITTER.mul_f64(rand::rng().random());
        answer.headers.push(header_name, format!("{:.2}", wait.as_secs_f64()));
        answer
    }

    /// Refuses a request that no target has run or will run, and that may return after `wait`.
    pub(crate) fn not_run_until(
        header_name: &str,
        wait: Duration,
        reason: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(503, CallerOutcome::NotRun, reason);
        // The time is rounded down: callers don't wait for longer than the planned time.
        let value = format!("{}.{:03}", wait.as_secs(), wait.subsec_millis());
        answer.headers.push(header_name, value);
        answer
    }

    /// Refuses a poison request that has not run; it is accepted again after `wait`.
    pub(crate) fn poison_request(
        header_name: &str,
        wait: Duration,
        reason: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(503, CallerOutcome::NotRun, reason);
        answer.headers.push(header_name, format!("{}", wait.as_secs() + 1));
        answer
    }

    /// Refuses a request that has not run, while all targets back off for at least `wait`.
    pub(crate) fn targets_backing_off(
        header_name: &str,
        wait: Duration,
        reason: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(503, CallerOutcome::NotRun, reason);
        let wait = with_jitter(wait.max(MIN_RETRY_AFTER), BACKOFF_JITTER);
        answer.headers.push(header_name, format!("{:.2}", wait.as_secs_f64()));
        answer
    }

    /// Refuses a request that has not run and is beyond its customer's quota, which allows requests again
    /// after `wait`. The answer has no retry time if the caller's deadline, `remaining` from now, is
    /// earlier.
    pub(crate) fn beyond_quota(
        header_name: &str,
        wait: Duration,
        remaining: Duration,
        reason: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(429, CallerOutcome::NotRun, reason);
        let wait = with_jitter(wait, QUOTA_JITTER);
        if wait < remaining {
            answer.headers.push(header_name, format!("{:.2}", wait.as_secs_f64()));
        }
        answer
    }

    /// Rejects a request that lacks a valid key of a customer.
    pub(crate) fn unauthorized(reason: &'static str) -> CallerAnswer {
        let mut answer = CallerAnswer::from_box(401, CallerOutcome::Rejected, reason);
        answer.headers.push("WWW-Authenticate", "Key");
        answer
    }

    /// Encodes the head and, if it is buffered, the body. `closes` adds the header that announces the end of
    /// the connection after the answer.
    ///
    /// # Errors
    /// A head can't carry one of the lines.
    pub(crate) fn encode(&self, closes: bool) -> Result<Vec<u8>, HttpError> {
        let mut bytes = Vec::with_capacity(512);
        write_status_line(&mut bytes, self.status, &self.reason_phrase)?;
        self.headers.write(&mut bytes)?;
        match &self.body {
            AnswerBody::Buffered(body) => write_content_length(&mut bytes, body.len() as u64)?,
            AnswerBody::Absent(Some(length)) => write_content_length(&mut bytes, *length)?,
            AnswerBody::Absent(None) => {}
            AnswerBody::Streamed(stream) => match stream.length {
                BodyLength::Known(length) => write_content_length(&mut bytes, length)?,
                _ => write_field(&mut bytes, "Transfer-Encoding", b"chunked")?,
            },
        }
        if closes {
            write_field(&mut bytes, "Connection", b"close")?;
        }
        bytes.extend_from_slice(b"\r\n");
        if let AnswerBody::Buffered(body) = &self.body {
            bytes.extend_from_slice(body);
        }
        Ok(bytes)
    }
}

/// Adds a random time of up to `fraction` of `wait`, so that callers don't all return at the same time.
fn with_jitter(wait: Duration, fraction: f64) -> Duration {
    wait.mul_f64(1.0 + fraction * rand::rng().random::<f64>())
}

/// Last chunk of a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes a part of a body as a chunk. The result for an empty part is empty, as an empty chunk would end
/// the body.
pub(crate) fn encode_chunk(part: &[u8]) -> Vec<u8> {
    if part.is_empty() {
        return Vec::new();
    }
    let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(part);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Writes the `Content-Length` header.
pub(crate) fn write_content_length(bytes: &mut Vec<u8>, length: u64) -> Result<(), HttpError> {
    write_field(bytes, "Content-Length", length.to_string().as_bytes())
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        414 => "URI Too Long",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    }
}
