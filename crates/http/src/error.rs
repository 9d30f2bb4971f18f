//! The error type of this crate.

use std::{fmt, io};

/// The category of a failure of a message or its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The message violates the protocol or is ambiguous (400).
    Malformed,
    /// The request line is longer than the limit (414).
    TargetTooLong,
    /// The header section is longer than the limit (431).
    HeadTooLarge,
    /// The body is longer than the limit (413).
    BodyTooLarge,
    /// The HTTP version is not supported (505).
    UnsupportedVersion,
    /// The peer closed the connection before the message was complete (400).
    Truncated,
    /// The response has no known length, so its completeness can't be verified (400).
    UnknownLength,
    /// The peer did not send or respond in time (408).
    TimedOut,
    /// The connection failed (502).
    Io,
}

/// An error with its kind and a one-line reason.
#[derive(Debug, Clone)]
pub struct HttpError {
    kind: ErrorKind,
    reason: String,
}

impl HttpError {
    /// Creates an error of `kind` with `reason`, which may be sent to the peer.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> HttpError {
        HttpError { kind, reason: reason.into() }
    }

    /// Returns the category of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the status code that a caller gets for this error.
    pub fn status(&self) -> u16 {
        match self.kind {
            ErrorKind::Malformed | ErrorKind::Truncated | ErrorKind::UnknownLength => 400,
            ErrorKind::TargetTooLong => 414,
            ErrorKind::HeadTooLarge => 431,
            ErrorKind::BodyTooLarge => 413,
            ErrorKind::UnsupportedVersion => 505,
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
            io::ErrorKind::UnexpectedEof => ErrorKind::Truncated,
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
