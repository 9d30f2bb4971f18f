//! The head of a message and what it says about the body's length.
//!
//! Faults of `async-h1` 2.3.4 that the checks here keep away from it: a body
//! shorter than its `Content-Length` comes back as whole; of two different
//! `Content-Length`s the last wins; an unknown transfer coding empties the body
//! and leaves its bytes to be read as the next request; an answer that ends by
//! closing comes back empty; an interim answer is taken for the final one.

use crate::error::{ErrorKind, HttpError};

/// Header lines that a message may have; the library's own bound is 128.
const MAX_HEADERS: usize = 100;

/// Bounds on what a peer may send.
#[derive(Debug, Clone)]
pub struct MessageLimits {
    /// Longest request line, in bytes.
    pub request_line: usize,
    /// Longest head, in bytes. The library refuses 8 KiB and more.
    pub head: usize,
    /// Longest body of known length that is held whole, in bytes.
    pub body: usize,
    /// Longest chunked body, in bytes: it is always held whole, having no length
    /// by which a part could be told from it.
    pub chunked: usize,
}

impl Default for MessageLimits {
    fn default() -> MessageLimits {
        MessageLimits { request_line: 4096, head: 8000, body: 1 << 20, chunked: 1 << 20 }
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks and ends with an empty one.
    Chunked,
}

/// What a request's head says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// How long the body is.
    pub framing: BodyFraming,
    /// Whether the caller wants the connection kept.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue`.
    pub expects_continue: bool,
}

/// What an answer's head says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// How long the body is.
    pub framing: BodyFraming,
    /// The length that was announced, which for `HEAD` has no body behind it.
    pub announced: Option<u64>,
    /// Whether the target keeps the connection.
    pub keep_alive: bool,
}

/// Checks the head of a request.
pub fn check_request(head: &[u8]) -> Result<RequestHead, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    parsed(request.parse(head))?;
    if request.version != Some(1) {
        return Err(HttpError::new(ErrorKind::Version, "only HTTP/1.1 is spoken here"));
    }
    let path = request.path.unwrap_or_default();
    if !path.starts_with('/') {
        return Err(malformed("the request target must be a path that starts with '/'"));
    }
    let fields = HeaderFields::read(request.headers)?;
    if fields.hosts != 1 {
        return Err(malformed("exactly one Host header is needed"));
    }
    let framing = fields.framing()?.unwrap_or(BodyFraming::None);
    Ok(RequestHead {
        framing,
        keep_alive: !fields.close,
        expects_continue: fields.expects_continue,
    })
}

/// Checks the head of an answer to a request with `method`.
pub fn check_answer(head: &[u8], method: &str) -> Result<AnswerHead, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut lines);
    parsed(answer.parse(head))?;
    if answer.version != Some(1) {
        return Err(HttpError::new(ErrorKind::Version, "the target does not speak HTTP/1.1"));
    }
    let status = answer.code.unwrap_or_default();
    let fields = HeaderFields::read(answer.headers)?;
    let announced = fields.length;
    let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let framing = match (bodiless, fields.framing()?) {
        (true, _) => BodyFraming::None,
        (false, Some(framing)) => framing,
        (false, None) => {
            let reason = "the answer gives no length, so it can't be proved whole";
            return Err(HttpError::new(ErrorKind::UnknownLength, reason));
        }
    };
    Ok(AnswerHead { status, framing, announced, keep_alive: !fields.close })
}

/// The header fields that decide on length and connection.
#[derive(Default)]
struct HeaderFields {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    expects_continue: bool,
    hosts: usize,
}

impl HeaderFields {
    fn read(headers: &[httparse::Header<'_>]) -> Result<HeaderFields, HttpError> {
        let mut fields = HeaderFields::default();
        for header in headers {
            let Ok(value) = std::str::from_utf8(header.value) else {
                return Err(malformed(format!("the value of header {} is not UTF-8", header.name)));
            };
            fields.take(header.name, value.trim())?;
        }
        Ok(fields)
    }

    fn take(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        match name.to_ascii_lowercase().as_str() {
            "content-length" => self.take_length(value),
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") && !self.chunked => {
                self.chunked = true;
                Ok(())
            }
            "transfer-encoding" => {
                Err(malformed("the only transfer coding taken is one 'chunked'"))
            }
            "connection" => {
                let mut tokens = value.split(',');
                self.close |= tokens.any(|token| token.trim().eq_ignore_ascii_case("close"));
                Ok(())
            }
            "expect" if value.eq_ignore_ascii_case("100-continue") => {
                self.expects_continue = true;
                Ok(())
            }
            "host" => {
                self.hosts += 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn take_length(&mut self, value: &str) -> Result<(), HttpError> {
        self.length = Some(agreed_length(self.length, value.as_bytes())?);
        Ok(())
    }

    fn framing(&self) -> Result<Option<BodyFraming>, HttpError> {
        match (self.chunked, self.length) {
            (true, Some(_)) => {
                Err(malformed("Content-Length and Transfer-Encoding stand together"))
            }
            (true, None) => Ok(Some(BodyFraming::Chunked)),
            (false, Some(length)) => Ok(Some(BodyFraming::Length(length))),
            (false, None) => Ok(None),
        }
    }
}

/// The length that a `Content-Length` header says, which must be the one `known` before.
pub(crate) fn agreed_length(known: Option<u64>, value: &[u8]) -> Result<u64, HttpError> {
    // `u64::from_str` takes a leading '+', which HTTP does not.
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    let Some(length) = text.and_then(|text| text.parse::<u64>().ok()) else {
        return Err(malformed("Content-Length is not a number"));
    };
    if known.is_some_and(|earlier| earlier != length) {
        return Err(malformed("two Content-Length headers disagree"));
    }
    Ok(length)
}

fn parsed(result: httparse::Result<usize>) -> Result<(), HttpError> {
    match result {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => Err(malformed("the head is not whole")),
        Err(httparse::Error::TooManyHeaders) => {
            let reason = format!("more than {MAX_HEADERS} headers");
            Err(HttpError::new(ErrorKind::HeadTooLarge, reason))
        }
        Err(httparse::Error::Version) => {
            Err(HttpError::new(ErrorKind::Version, "only HTTP/1.1 is spoken here"))
        }
        Err(error) => Err(malformed(format!("the head is malformed: {error}"))),
    }
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
