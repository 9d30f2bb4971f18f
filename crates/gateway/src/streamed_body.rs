//! Streaming of request bodies that are too long to buffer: they are forwarded to the target as they
//! arrive from the caller.
//!
//! The task of the caller's connection reads the body, and the attempt writes it to the target. A bounded
//! channel of a few chunks connects them, so that a slow target slows down the caller and vice versa, and
//! memory stays bounded. Chunks that were sent to one target can't be sent to another.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use wingbridge_http::raw::{BodyDecoder, RawReader};
use wingbridge_http::{ErrorKind, HttpError};

/// Capacity of the channel between caller and target, in chunks.
const CHANNEL_CHUNKS: usize = 2;
/// Maximum length of a chunk, in bytes: the result of one read of the connection, including bytes that
/// were already in the read buffer.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Memory that a body uses while it is streamed, in addition to its buffered beginning: the chunks in the
/// channel and one chunk at each end.
pub(crate) const STREAM_BYTES: usize = (CHANNEL_CHUNKS + 2) * MAX_CHUNK_BYTES;

/// A chunk of a body, or its end.
#[derive(Debug)]
pub(crate) enum BodyChunk {
    Bytes(Vec<u8>),
    End,
}

/// Receiving end of a streamed body, for the attempt that sends the body to a target.
#[derive(Debug)]
pub(crate) struct BodyStream {
    chunks: Receiver<BodyChunk>,
    is_started: AtomicBool,
}

/// Sending end of a streamed body, for the task that reads the body from the caller.
#[derive(Debug)]
pub(crate) struct BodyPump {
    decoder: BodyDecoder,
    chunks: Sender<BodyChunk>,
    /// Number of bytes that may still arrive before the body exceeds its limit.
    remaining_bytes: usize,
    /// Time without a byte after which the caller counts as disconnected.
    idle_timeout: Duration,
}

/// How reading a body from the caller ended.
#[derive(Debug)]
pub(crate) enum PumpEnd {
    /// The body was read and handed over completely.
    Complete,
    /// The attempt that received the body is over; the rest was not read.
    Unwanted,
}

/// Returns both ends of a stream for the remainder of a body, of at most `max_bytes` bytes.
pub(crate) fn body_stream(
    decoder: BodyDecoder,
    max_bytes: usize,
    idle_timeout: Duration,
) -> (BodyPump, BodyStream) {
    let (sender, receiver) = async_channel::bounded(CHANNEL_CHUNKS);
    let stream = BodyStream { chunks: receiver, is_started: AtomicBool::new(false) };
    (BodyPump { decoder, chunks: sender, remaining_bytes: max_bytes, idle_timeout }, stream)
}

impl BodyStream {
    /// Waits for the next chunk; returns `None` if the caller disconnected before the end or sent an
    /// invalid body.
    pub(crate) async fn next(&self) -> Option<BodyChunk> {
        self.is_started.store(true, Ordering::Release);
        self.chunks.recv().await.ok()
    }

    /// Returns whether an attempt has started to read the stream. If so, no other attempt can send the
    /// complete body.
    pub(crate) fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Acquire)
    }
}

impl BodyPump {
    /// Reads the body and hands it over, until its end or until the receiving attempt is over.
    ///
    /// # Errors
    /// Returns an error if the caller disconnects, sends nothing for the idle timeout, or sends an invalid
    /// body or more than the limit.
    pub(crate) async fn run(
        &mut self,
        reader: &mut RawReader<TcpStream>,
    ) -> Result<PumpEnd, HttpError> {
        while !self.decoder.is_done() {
            let mut chunk = Vec::new();
            let read = reader.read_body(&mut self.decoder, &mut chunk);
            let Ok(read) = async_std::future::timeout(self.idle_timeout, read).await else {
                return Err(HttpError::new(
                    ErrorKind::Truncated,
                    "no byte of the body arrived within the idle timeout",
                ));
            };
            read?;
            let Some(remaining) = self.remaining_bytes.checked_sub(chunk.len()) else {
                return Err(HttpError::new(
                    ErrorKind::BodyTooLarge,
                    "the body is longer than the configured limit",
                ));
            };
            self.remaining_bytes = remaining;
            if !chunk.is_empty() && self.chunks.send(BodyChunk::Bytes(chunk)).await.is_err() {
                return Ok(PumpEnd::Unwanted);
            }
        }
        let is_received = self.chunks.send(BodyChunk::End).await.is_ok();
        Ok(if is_received { PumpEnd::Complete } else { PumpEnd::Unwanted })
    }

    /// Returns whether the body was read to its end, so that another request may follow on the connection.
    pub(crate) fn is_done(&self) -> bool {
        self.decoder.is_done()
    }
}
