//! HTTP/1.1 messages, checked here before the library reads them.
//!
//! `async-h1` decodes and encodes every message of wingbridge, but it accepts
//! some that are cut short or say two things at once (see [`head`]). So one
//! place reads the raw bytes, decides how long the message is, refuses what is
//! ambiguous, and hands the library exactly the bytes of one message. Callers,
//! targets, the store and the operators' end points all go through it.

pub mod client;
pub mod error;
pub mod head;
mod memory;
pub mod raw;
pub mod reader;
pub mod server;

pub use client::{CallLimits, HttpClient, HttpReply};
pub use error::{ErrorKind, HttpError};
pub use head::{BodyFraming, MessageLimits};
pub use http_types::Method;
pub use reader::{AnswerBody, IncomingAnswer, IncomingRequest, MessageReader};
