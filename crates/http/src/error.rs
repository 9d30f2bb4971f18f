//! The one error of this crate.

use std::{fmt, io};

/// What was wrong with a message or its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The message breaks the protocol or says two things at once (400).
    Malformed,
    /// The request line is longer than the limit (414).
    TargetTooLong,
    /// The header section is longer than the limit (431).
    HeadTooLarge,
    /// The body is longer than the limit (413).
    BodyTooLarge,
    /// The version is not HTTP/1.1 (505).
    Version,
    /// The peer closed before the message was whole.
    CutShort,
    /// The length of an answer can't be known, so it can't be proved whole.
    UnknownLength,
    /// The peer was too slow (408).
    TimedOut,
    /// The connection failed.
    Io,
}

/// An error with its kind and one line that says why.
#[derive(Debug, Clone)]
pub struct HttpError {
    kind: ErrorKind,
    reason: String,
}

impl HttpError {
    /// Makes an error of `kind`.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> HttpError {
        HttpError { kind, reason: reason.into() }
    }

    /// The kind, to decide on.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The status code that a caller is told for this error.
    pub fn status(&self) -> u16 {
        match self.kind {
            ErrorKind::Malformed | ErrorKind::CutShort | ErrorKind::UnknownLength => 400,
            ErrorKind::TargetTooLong => 414,
            ErrorKind::HeadTooLarge => 431,
            ErrorKind::BodyTooLarge => 413,
            ErrorKind::Version => 505,
            ErrorKind::TimedOut => 408,
            ErrorKind::Io => 502,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> HttpError {
        let kind = match error.kind() {
            io::ErrorKind::UnexpectedEof => ErrorKind::CutShort,
            io::ErrorKind::TimedOut => ErrorKind::TimedOut,
            _ => ErrorKind::Io,
        };
        HttpError::new(kind, error.to_string())
    }
}

impl From<http_types::Error> for HttpError {
    fn from(error: http_types::Error) -> HttpError {
        HttpError::new(ErrorKind::Malformed, error.to_string())
    }
}
