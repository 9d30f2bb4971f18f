//! The one error of this crate.

use std::{fmt, io};

/// What went wrong between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection failed or closed.
    Io,
    /// The peer does not know the fleet key.
    Unauthenticated,
    /// A frame is not a message, or is over the bound.
    Malformed,
}

/// An error with its kind and one line that says why.
#[derive(Debug)]
pub struct WireError {
    kind: ErrorKind,
    reason: String,
}

impl WireError {
    /// Makes an error of `kind`.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> WireError {
        WireError { kind, reason: reason.into() }
    }

    /// The kind, to decide on.
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
