//! Validation of message heads before `async-h1` decodes them.
//!
//! The checks reject input that `async-h1` 2.3.4 handles incorrectly: it reports a body shorter
//! than its `Content-Length` as complete; of two different `Content-Length` headers it uses the
//! last; an unknown transfer coding gives an empty body and leaves the body's bytes to be read as
//! the next request; a response that is delimited by the close of the connection comes back empty;
//! an interim response is mistaken for the final one.

use crate::error::{ErrorKind, HttpError};

/// Maximum number of header lines in a message; the bound of `async-h1` is 128.
const MAX_HEADERS: usize = 100;
/// Status codes that HTTP defines (RFC 9110, section 15); others are no answer in the protocol.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;
/// Maximum number of interim responses before a final one. Without it, a peer could send them without end.
pub(crate) const MAX_INTERIM_RESPONSES: usize = 16;

/// Bounds on the size of a message.
#[derive(Debug, Clone)]
pub struct MessageLimits {
    /// Maximum length of the request line, in bytes.
    pub max_request_line_bytes: usize,
    /// Maximum length of the head, in bytes. `async-h1` rejects 8 KiB and more.
    pub max_head_bytes: usize,
    /// Maximum length of a body of known length that is buffered completely, in bytes.
    pub max_body_bytes: usize,
    /// Maximum length of a chunked body, in bytes. It is always buffered completely: without
    /// a declared length, the reader of a partial body could not detect that it is partial.
    pub max_chunked_body_bytes: usize,
}

impl Default for MessageLimits {
    fn default() -> MessageLimits {
        MessageLimits {
            max_request_line_bytes: 4096,
            max_head_bytes: 8000,
            max_body_bytes: 1 << 20,
            max_chunked_body_bytes: 1 << 20,
        }
    }
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has the given number of bytes.
    Length(u64),
    /// The body is chunked and ends with an empty chunk.
    Chunked,
}

/// The properties of a request that its head determines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// How the length of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The properties of a response that its head determines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How the length of the body is determined.
    pub framing: BodyFraming,
    /// The value of `Content-Length`, also where no body follows (`HEAD`, 304).
    pub declared_length: Option<u64>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Validates the head of a request.
///
/// # Errors
/// The head is malformed or ambiguous, has more than `MAX_HEADERS` header lines, or its
/// version is not HTTP/1.1.
pub fn check_request(head: &[u8]) -> Result<RequestHead, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    check_complete(request.parse(head))?;
    if request.version != Some(1) {
        return Err(HttpError::new(ErrorKind::UnsupportedVersion, "only HTTP/1.1 is spoken here"));
    }
    let path = request.path.unwrap_or_default();
    if !path.starts_with('/') {
        return Err(malformed("the request target must be a path that starts with '/'"));
    }
    let fields = HeaderFields::read(request.headers)?;
    if fields.host_count != 1 {
        return Err(malformed("exactly one Host header is needed"));
    }
    let framing = fields.framing()?.unwrap_or(BodyFraming::None);
    Ok(RequestHead {
        framing,
        keep_alive: !fields.close,
        expects_continue: fields.expects_continue,
    })
}

/// Validates the head of a response to a request with `method`.
///
/// # Errors
/// The head is malformed or ambiguous, has more than `MAX_HEADERS` header lines, its
/// version is not HTTP/1.1, or it has a body of unknown length.
pub fn check_response(head: &[u8], method: &str) -> Result<ResponseHead, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    check_complete(response.parse(head))?;
    if response.version != Some(1) {
        return Err(HttpError::new(
            ErrorKind::UnsupportedVersion,
            "the target does not speak HTTP/1.1",
        ));
    }
    let status = checked_status(response.code)?;
    let fields = HeaderFields::read(response.headers)?;
    let declared_length = fields.length;
    let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
    let framing = match (bodiless, fields.framing()?) {
        (true, _) => BodyFraming::None,
        (false, Some(framing)) => framing,
        (false, None) => {
            let reason = "the answer gives no length, so it can't be proved whole";
            return Err(HttpError::new(ErrorKind::UnknownLength, reason));
        }
    };
    Ok(ResponseHead { status, framing, declared_length, keep_alive: !fields.close })
}

/// Returns the status code of a response.
///
/// # Errors
/// HTTP does not define it.
pub(crate) fn checked_status(code: Option<u16>) -> Result<u16, HttpError> {
    let status = code.unwrap_or_default();
    if STATUS_CODES.contains(&status) {
        return Ok(status);
    }
    Err(HttpError::new(ErrorKind::Malformed, format!("{status:03} is no status code")))
}

/// Returns the error of a response that more than [`MAX_INTERIM_RESPONSES`] precede.
pub(crate) fn too_many_interim_responses() -> HttpError {
    let reason = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
    HttpError::new(ErrorKind::Malformed, reason)
}

/// The header fields that determine the body's length and the connection's persistence.
#[derive(Default)]
struct HeaderFields {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    expects_continue: bool,
    host_count: usize,
}

impl HeaderFields {
    fn read(headers: &[httparse::Header<'_>]) -> Result<HeaderFields, HttpError> {
        let mut fields = HeaderFields::default();
        for header in headers {
            let Ok(value) = std::str::from_utf8(header.value) else {
                return Err(malformed(format!("the value of header {} is not UTF-8", header.name)));
            };
            fields.apply(header.name, value.trim())?;
        }
        Ok(fields)
    }

    fn apply(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        match name.to_ascii_lowercase().as_str() {
            "content-length" => self.apply_length(value),
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
                self.host_count += 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn apply_length(&mut self, value: &str) -> Result<(), HttpError> {
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

/// Returns the length in the value of a `Content-Length` header, which must equal `known`,
/// the value of an earlier one.
pub(crate) fn agreed_length(known: Option<u64>, value: &[u8]) -> Result<u64, HttpError> {
    // `u64::from_str` accepts a leading '+', which HTTP does not.
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

fn check_complete(result: httparse::Result<usize>) -> Result<(), HttpError> {
    match result {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => Err(malformed("the head is not whole")),
        Err(httparse::Error::TooManyHeaders) => {
            let reason = format!("more than {MAX_HEADERS} headers");
            Err(HttpError::new(ErrorKind::HeadTooLarge, reason))
        }
        Err(httparse::Error::Version) => {
            Err(HttpError::new(ErrorKind::UnsupportedVersion, "only HTTP/1.1 is spoken here"))
        }
        Err(error) => Err(malformed(format!("the head is malformed: {error}"))),
    }
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
