//! Answers for callers: a target's as it came, or the box's own.

use std::time::Duration;

use async_std::net::TcpStream;
use rand::Rng;
use wingbridge_http::raw::head::write_field;
use wingbridge_http::raw::{BodyDecoder, BodyLength, HeaderList, RawReader};

/// A refused caller is told to stay away for this long at least.
const RETRY_AFTER_LEAST: Duration = Duration::from_millis(300);
/// Over how much longer the return of refused callers is spread.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(700);

/// The return of callers that are beyond their quota is spread over this part of the time.
const QUOTA_SPREAD: f64 = 0.5;
/// The same for callers of a service whose targets rest: less, since each moment longer is one in
/// which the first target would serve them.
const REST_SPREAD: f64 = 0.25;

/// What a caller learns from the status, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// A target's whole answer.
    Answered,
    /// No target ran any of it, and none will.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// The request itself can't be taken.
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
    /// All of it.
    Held(Vec<u8>),
    /// Its beginning; the rest waits in the target's connection.
    Waiting(Box<WaitingBody>),
    /// None, though headers may announce this length (`HEAD`).
    Absent(Option<u64>),
}

/// A body that is too large to hold.
#[derive(Debug)]
pub(crate) struct WaitingBody {
    pub(crate) reader: RawReader<TcpStream>,
    pub(crate) decoder: BodyDecoder,
    pub(crate) beginning: Vec<u8>,
    pub(crate) length: BodyLength,
}

/// An answer for a caller.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) headers: HeaderList,
    pub(crate) body: AnswerBody,
    pub(crate) outcome: CallerOutcome,
    /// What decided it, for the log.
    pub(crate) why: &'static str,
}

impl CallerAnswer {
    /// An answer of the box's own.
    pub(crate) fn own(status: u16, outcome: CallerOutcome, why: &'static str) -> CallerAnswer {
        let mut headers = HeaderList::default();
        headers.push("Content-Type", "text/plain");
        CallerAnswer {
            status,
            reason: reason_phrase(status).to_string(),
            headers,
            body: AnswerBody::Held(format!("{why}\n").into_bytes()),
            outcome,
            why,
        }
    }

    /// A refusal of something that no target ran or will run.
    pub(crate) fn not_run(retry_after: &str, why: &'static str) -> CallerAnswer {
        let mut answer = CallerAnswer::own(503, CallerOutcome::NotRun, why);
        let wait = RETRY_AFTER_LEAST + RETRY_AFTER_SPREAD.mul_f64(rand::rng().random());
        answer.headers.push(retry_after, format!("{:.2}", wait.as_secs_f64()));
        answer
    }

    /// A refusal of something that is taken again after `wait`. Nothing ran.
    pub(crate) fn not_before(retry_after: &str, wait: Duration, why: &'static str) -> CallerAnswer {
        let mut answer = CallerAnswer::own(503, CallerOutcome::NotRun, why);
        answer.headers.push(retry_after, format!("{}", wait.as_secs() + 1));
        answer
    }

    /// A refusal of something that no target takes for `wait` yet. Nothing ran.
    pub(crate) fn not_run_before(
        retry_after: &str,
        wait: Duration,
        why: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::own(503, CallerOutcome::NotRun, why);
        let wait = spread(wait.max(RETRY_AFTER_LEAST), REST_SPREAD);
        answer.headers.push(retry_after, format!("{:.2}", wait.as_secs_f64()));
        answer
    }

    /// A refusal of something that its customer's quota has no room for, `wait` before there may
    /// be some. Nothing ran. A caller that is gone by then is told no time.
    pub(crate) fn beyond_quota(
        retry_after: &str,
        wait: Duration,
        left: Duration,
        why: &'static str,
    ) -> CallerAnswer {
        let mut answer = CallerAnswer::own(429, CallerOutcome::NotRun, why);
        let wait = spread(wait, QUOTA_SPREAD);
        if wait < left {
            answer.headers.push(retry_after, format!("{:.2}", wait.as_secs_f64()));
        }
        answer
    }

    /// A refusal of a request that may not ask here: it carries no customer's key.
    pub(crate) fn no_entrance(why: &'static str) -> CallerAnswer {
        let mut answer = CallerAnswer::own(401, CallerOutcome::Rejected, why);
        answer.headers.push("WWW-Authenticate", "Key");
        answer
    }

    /// Head and, if it is held, body. `closes` is whether the connection ends with it.
    pub(crate) fn encode(&self, closes: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write(&mut bytes);
        match &self.body {
            AnswerBody::Held(body) => write_length(&mut bytes, body.len() as u64),
            AnswerBody::Absent(Some(length)) => write_length(&mut bytes, *length),
            AnswerBody::Absent(None) => {}
            AnswerBody::Waiting(waiting) => match waiting.length {
                BodyLength::Known(length) => write_length(&mut bytes, length),
                _ => write_field(&mut bytes, "Transfer-Encoding", b"chunked"),
            },
        }
        if closes {
            write_field(&mut bytes, "Connection", b"close");
        }
        bytes.extend_from_slice(b"\r\n");
        if let AnswerBody::Held(body) = &self.body {
            bytes.extend_from_slice(body);
        }
        bytes
    }
}

/// `wait` and up to that `part` of it more, so that callers don't all come back at once.
fn spread(wait: Duration, part: f64) -> Duration {
    wait.mul_f64(1.0 + part * rand::rng().random::<f64>())
}

/// The end of a body in chunks.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A part of a body as a chunk; nothing of an empty one, which would end the body.
pub(crate) fn as_chunk(piece: &[u8]) -> Vec<u8> {
    if piece.is_empty() {
        return Vec::new();
    }
    let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Writes the header that tells the length of a body.
pub(crate) fn write_length(bytes: &mut Vec<u8>, length: u64) {
    write_field(bytes, "Content-Length", length.to_string().as_bytes());
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
