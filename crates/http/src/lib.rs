//! HTTP/1.1 messages: reading, validation, and a small client and server.
//!
//! `async-h1` decodes and encodes messages, but it accepts some that are truncated or
//! ambiguous (see [`head`]). [`MessageReader`] therefore reads the raw bytes, determines the
//! length of the message, rejects ambiguous ones, and passes exactly the bytes of one message
//! to `async-h1`. Messages that a proxy forwards unchanged are read by [`raw`], without
//! `async-h1`.

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
pub use reader::{IncomingRequest, IncomingResponse, MessageReader, ResponseBody};
