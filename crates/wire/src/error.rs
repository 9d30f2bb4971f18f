//! The error type of this crate.

use std::{fmt, io};

/// The kind of a [`WireError`], on which callers can decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection failed or was closed.
    Io,
    /// The peer did not prove that it has the fleet key.
    Unauthenticated,
    /// A frame does not decode to a message, or exceeds the maximum length.
    Malformed,
}

/// An error in the communication between two processes, with a reason of one line.
#[derive(Debug)]
pub struct WireError {
    kind: ErrorKind,
    reason: String,
}

impl WireError {
    /// Creates an error of `kind` with `reason` as its message.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> WireError {
        WireError { kind, reason: reason.into() }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> WireError {
        WireError::new(ErrorKind::Io, error.to_string())
    }
}
