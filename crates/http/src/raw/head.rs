//! Heads of requests and responses, with their headers as the sender wrote them.

use crate::error::{ErrorKind, HttpError};
use crate::head::{agreed_length, checked_status};
use crate::raw::body::BodyLength;

/// Maximum number of header lines in a message.
const MAX_HEADERS: usize = 256;

/// The control character behind the printable ones.
const DEL: u8 = 0x7f;

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
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
    /// The name, in the sender's spelling.
    pub name: String,
    /// The value, without surrounding white space.
    pub value: Vec<u8>,
}

/// The header lines of a message, in their original order.
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

    /// Iterates over all lines, in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Returns the first value of `name`, trimmed, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// Iterates over the values of `name` that are valid UTF-8, trimmed, in order.
    pub fn texts<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        lines.filter_map(|field| std::str::from_utf8(&field.value).ok()).map(str::trim)
    }

    /// Returns whether there is a line named `name`, ignoring case.
    pub fn contains(&self, name: &str) -> bool {
        self.fields.iter().any(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// Removes all lines named `name` and returns them, in order.
    pub fn remove(&mut self, name: &str) -> Vec<HeaderField> {
        let named = |field: &mut HeaderField| field.name.eq_ignore_ascii_case(name);
        self.fields.extract_if(.., named).collect()
    }

    /// Appends a line.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push(HeaderField { name: name.to_string(), value: value.into() });
    }

    /// Appends all lines to `bytes`, each with its line end.
    ///
    /// # Errors
    /// A head can't carry a line (see [`write_field`]). The lines before it are appended.
    pub fn write(&self, bytes: &mut Vec<u8>) -> Result<(), HttpError> {
        self.fields.iter().try_for_each(|field| write_field(bytes, &field.name, &field.value))
    }

    /// Returns the lines to forward to the next hop: all except hop-by-hop headers, those that
    /// `Connection` lists, `Content-Length`, which the forwarder writes itself, and the headers
    /// named in `also`.
    pub fn forwarded(&self, also: &[&str]) -> HeaderList {
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

    /// Returns whether the sender closes the connection after this message.
    fn closes(&self, minor_version: u8) -> bool {
        let has_option = |option: &str| {
            self.tokens("connection").any(|token| token.eq_ignore_ascii_case(option))
        };
        has_option("close") || (minor_version == 0 && !has_option("keep-alive"))
    }

    /// Returns how the headers determine the body's length; `None` if they don't.
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
pub struct RawRequestHead {
    /// The method.
    pub method: String,
    /// The request target (path and query), as sent.
    pub target: String,
    /// The header lines.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub length: BodyLength,
    /// Whether the caller closes the connection after the request.
    pub closes: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RawRequestHead {
    /// Parses a head at the start of `bytes` and returns it with its length; `None` while it
    /// is incomplete.
    ///
    /// # Errors
    /// The bytes are not a request head, or the head is ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Option<(RawRequestHead, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(end) = request.parse(bytes).map_err(parse_error)? else {
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
        let head = RawRequestHead {
            method: request.method.unwrap_or_default().to_string(),
            target: target.to_string(),
            length: headers.framing()?.unwrap_or(BodyLength::None),
            closes: headers.closes(minor),
            expects_continue: headers
                .text("expect")
                .is_some_and(|value| value.eq_ignore_ascii_case("100-continue")),
            headers,
        };
        Ok(Some((head, end)))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of `Host`, in lower case and without a port; empty if there is none.
    pub fn host(&self) -> String {
        let host = self.headers.text("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default().to_ascii_lowercase()
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct RawResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The header lines.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub length: BodyLength,
    /// The value of `Content-Length`, also where no body follows (`HEAD`, 304).
    pub declared_length: Option<u64>,
}

impl RawResponseHead {
    /// Parses the head of a response to `method` at the start of `bytes` and returns it with
    /// its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// The bytes are not a response head, or the head is ambiguous.
    pub fn parse(
        bytes: &[u8],
        method: &str,
    ) -> Result<Option<(RawResponseHead, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(end) = response.parse(bytes).map_err(parse_error)? else {
            return Ok(None);
        };
        let headers = HeaderList::read(response.headers);
        let status = checked_status(response.code)?;
        let framing = headers.framing()?;
        let bodiless =
            method == "HEAD" || (100..200).contains(&status) || matches!(status, 204 | 304);
        let declared_length = match framing {
            Some(BodyLength::Known(length)) => Some(length),
            _ => None,
        };
        let length = match framing {
            _ if bodiless => BodyLength::None,
            Some(length) => length,
            None => BodyLength::UntilClose,
        };
        let reason = response.reason.unwrap_or_default().to_string();
        Ok(Some((RawResponseHead { status, reason, headers, length, declared_length }, end)))
    }
}

/// Appends the first line of a request to `bytes`, with its line end.
///
/// # Errors
/// The method is not a token, or the target is empty or contains a blank or a control character. Nothing is appended.
pub fn write_request_line(
    bytes: &mut Vec<u8>,
    method: &str,
    target: &str,
) -> Result<(), HttpError> {
    let is_target = !target.is_empty() && target.bytes().all(|byte| byte > b' ' && byte != DEL);
    if !is_token(method) || !is_target {
        return Err(malformed("no request line can carry the method and the target"));
    }
    bytes.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    Ok(())
}

/// Appends the first line of a response to `bytes`, with its line end.
///
/// # Errors
/// The reason phrase contains a control character other than a tab. Nothing is appended.
pub fn write_status_line(bytes: &mut Vec<u8>, status: u16, reason: &str) -> Result<(), HttpError> {
    if !is_field_value(reason.as_bytes()) {
        return Err(malformed("no status line can carry the reason phrase"));
    }
    bytes.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    Ok(())
}

/// Appends one header line to `bytes`, with its line end. Names and values may come from others, and one with a line
/// end would add a line, or end the head, so that the rest would read as another message.
///
/// # Errors
/// The name is not a token, or the value contains a control character other than a tab. Nothing is appended.
pub fn write_field(bytes: &mut Vec<u8>, name: &str, value: &[u8]) -> Result<(), HttpError> {
    if !is_token(name) || !is_field_value(value) {
        return Err(malformed("no header line can carry the name and the value"));
    }
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    Ok(())
}

/// Returns whether a text is a token (RFC 9110, section 5.6.2), as methods and names of headers are.
fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// Returns whether a header line can carry the bytes as its value (RFC 9110, section 5.5).
fn is_field_value(value: &[u8]) -> bool {
    value.iter().all(|byte| !byte.is_ascii_control() || *byte == b'\t')
}

fn parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => {
            HttpError::new(ErrorKind::HeadTooLarge, format!("more than {MAX_HEADERS} headers"))
        }
        httparse::Error::Version => {
            HttpError::new(ErrorKind::UnsupportedVersion, "only HTTP/1 is spoken here")
        }
        error => malformed(format!("the head is malformed: {error}")),
    }
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::new(ErrorKind::Malformed, reason)
}
