//! Heads of requests and answers, with their headers as they were written.

use crate::error::{ErrorKind, HttpError};
use crate::head::agreed_length;
use crate::raw::body::BodyLength;

/// Header lines that a message may have.
const MAX_HEADERS: usize = 256;

/// Headers that concern one connection and are not passed on (RFC 9110, 7.6.1).
pub const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// One header line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// Its name, spelled as the sender did.
    pub name: String,
    /// Its value, without white space around it.
    pub value: Vec<u8>,
}

/// The header lines of a message, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    fn read(parsed: &[httparse::Header<'_>]) -> HeaderList {
        let field = |header: &httparse::Header<'_>| HeaderField {
            name: header.name.to_string(),
            value: header.value.to_vec(),
        };
        HeaderList { fields: parsed.iter().map(field).collect() }
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// The first value of `name`, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// All values of `name` that are text, in their order.
    pub fn texts<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        lines.filter_map(|field| std::str::from_utf8(&field.value).ok()).map(str::trim)
    }

    /// Whether there is a line named `name`.
    pub fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// Takes out all lines named `name`, in their order.
    pub fn take(&mut self, name: &str) -> Vec<HeaderField> {
        let named = |field: &mut HeaderField| field.name.eq_ignore_ascii_case(name);
        self.fields.extract_if(.., named).collect()
    }

    /// Adds a line.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push(HeaderField { name: name.to_string(), value: value.into() });
    }

    /// Writes all lines to `bytes`.
    pub fn write(&self, bytes: &mut Vec<u8>) {
        for field in &self.fields {
            write_field(bytes, &field.name, &field.value);
        }
    }

    /// The lines that go on to the next hop: neither those of one connection, nor the
    /// length, which is written anew, nor those named in `also`.
    pub fn passed_on(&self, also: &[&str]) -> HeaderList {
        let named: Vec<&str> = self.tokens("connection").collect();
        let dropped = |name: &str| {
            HOP_BY_HOP.iter().any(|known| known.eq_ignore_ascii_case(name))
                || name.eq_ignore_ascii_case("content-length")
                || also.iter().any(|known| known.eq_ignore_ascii_case(name))
                || named.iter().any(|known| known.eq_ignore_ascii_case(name))
        };
        let kept = self.fields.iter().filter(|field| !dropped(&field.name));
        HeaderList { fields: kept.cloned().collect() }
    }

    fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.texts(name)
            .flat_map(|text| text.split(','))
            .map(str::trim)
            .filter(|token| !token.is_empty())
    }

    /// Whether the sender closes the connection after this message.
    fn closes(&self, minor_version: u8) -> bool {
        let says =
            |word: &str| self.tokens("connection").any(|token| token.eq_ignore_ascii_case(word));
        says("close") || (minor_version == 0 && !says("keep-alive"))
    }

    /// The length of the body as far as headers say it; `None` if they are silent.
    fn framing(&self) -> Result<Option<BodyLength>, HttpError> {
        let mut codings = self.tokens("transfer-encoding");
        let coding = codings.next();
        if codings.next().is_some() {
            return Err(malformed("more than one transfer coding"));
        }
        let length = self.content_length()?;
        match (coding, length) {
            (None, None) => Ok(None),
            (None, Some(length)) => Ok(Some(BodyLength::Known(length))),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(BodyLength::Chunked))
            }
            (Some(_), None) => Err(malformed("the only transfer coding taken is 'chunked'")),
            (Some(_), Some(_)) => Err(malformed("two ways to tell the length stand together")),
        }
    }

    fn content_length(&self) -> Result<Option<u64>, HttpError> {
        let mut known = None;
        for field in &self.fields {
            if !field.name.eq_ignore_ascii_case("content-length") {
                continue;
            }
            known = Some(agreed_length(known, &field.value)?);
        }
        Ok(known)
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestStart {
    /// The method.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// The header lines.
    pub headers: HeaderList,
    /// How long the body is.
    pub length: BodyLength,
    /// Whether the caller closes the connection afterwards.
    pub closes: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestStart {
    /// Reads a head from the start of `bytes`, with its length; `None` while it is not whole.
    ///
    /// # Errors
    /// The bytes are no head of a request, or it says two things at once.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestStart, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(end) = request.parse(bytes).map_err(refused)? else {
            return Ok(None);
        };
        let minor = request.version.unwrap_or(1);
        let headers = HeaderList::read(request.headers);
        let target = request.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(malformed("the request target must be a path that starts with '/'"));
        }
        let hosts = headers.iter().filter(|field| field.name.eq_ignore_ascii_case("host"));
        if hosts.count() > 1 {
            return Err(malformed("more than one Host header"));
        }
        let start = RequestStart {
            method: request.method.unwrap_or_default().to_string(),
            target: target.to_string(),
            length: headers.framing()?.unwrap_or(BodyLength::None),
            closes: headers.closes(minor),
            expects_continue: headers
                .text("expect")
                .is_some_and(|value| value.eq_ignore_ascii_case("100-continue")),
            headers,
        };
        Ok(Some((start, end)))
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The host, in lower case and without a port.
    pub fn host(&self) -> String {
        let host = self.headers.text("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default().to_ascii_lowercase()
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerStart {
    /// The status code.
    pub status: u16,
    /// The text behind it.
    pub reason: String,
    /// The header lines.
    pub headers: HeaderList,
    /// How long the body is.
    pub length: BodyLength,
    /// The length that headers announce, also where no body follows (`HEAD`, 304).
    pub announced: Option<u64>,
}

impl AnswerStart {
    /// Reads the head of an answer to `method` from the start of `bytes`, with its
    /// length; `None` while it is not whole.
    ///
    /// # Errors
    /// The bytes are no head of an answer, or it says two things at once.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(AnswerStart, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(end) = answer.parse(bytes).map_err(refused)? else {
            return Ok(None);
        };
        let headers = HeaderList::read(answer.headers);
        let status = answer.code.unwrap_or_default();
        let framing = headers.framing()?;
        let bodiless =
            method == "HEAD" || (100..200).contains(&status) || matches!(status, 204 | 304);
        let announced = match framing {
            Some(BodyLength::Known(length)) => Some(length),
            _ => None,
        };
        let length = match framing {
            _ if bodiless => BodyLength::None,
            Some(length) => length,
            None => BodyLength::UntilClose,
        };
        let reason = answer.reason.unwrap_or_default().to_string();
        Ok(Some((AnswerStart { status, reason, headers, length, announced }, end)))
    }
}

/// Writes one header line to `bytes`.
pub fn write_field(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

fn refused(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => {
            HttpError::new(ErrorKind::HeadTooLarge, format!("more than {MAX_HEADERS} headers"))
        }
        httparse::Error::Version => {
            HttpError::new(ErrorKind::Version, "only HTTP/1 is spoken here")
        }
        error => malformed(format!("the head is malformed: {error}")),
    }
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
