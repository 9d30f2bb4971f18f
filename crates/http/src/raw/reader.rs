//! A reader of raw messages from a connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::io::{AsyncRead, AsyncReadExt};

use crate::error::{ErrorKind, HttpError};
use crate::head::{MAX_INTERIM_RESPONSES, too_many_interim_responses};
use crate::raw::body::BodyDecoder;
use crate::raw::head::{RawRequestHead, RawResponseHead};

/// Bytes requested from the connection at once; most heads and small bodies fit.
const READ_BYTES: usize = 8 * 1024;

/// The read half of a connection, with a buffer of bytes that were read ahead.
#[derive(Debug)]
pub struct RawReader<S> {
    stream: S,
    buffer: Vec<u8>,
    write_failure: WriteFailure,
}

/// Records that a write to the connection of a reader has failed. The system reports a reset once: if a write has met it,
/// the next read gets what looks like a clean end.
#[derive(Debug, Clone, Default)]
pub struct WriteFailure(Arc<AtomicBool>);

impl WriteFailure {
    /// Records the failure: the end of the connection is a failure for the reader, too, from now on.
    pub fn record(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_recorded(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl<S: AsyncRead + Unpin> RawReader<S> {
    /// Creates a reader of `stream` with an empty buffer.
    pub fn new(stream: S) -> RawReader<S> {
        RawReader { stream, buffer: Vec::new(), write_failure: WriteFailure::default() }
    }

    /// Returns the record for the writer of the same connection.
    pub fn write_failure(&self) -> WriteFailure {
        self.write_failure.clone()
    }

    /// Returns whether the buffer holds bytes of the next message.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of a message; returns false if the peer closed instead.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(self.has_buffered() || self.fill().await? > 0)
    }

    /// Reads the head of a request; returns `None` if the peer closed before it.
    ///
    /// # Errors
    /// The head is malformed, longer than `limit` bytes or truncated.
    pub async fn read_request_head(
        &mut self,
        limit: usize,
    ) -> Result<Option<RawRequestHead>, HttpError> {
        self.read_head(limit, RawRequestHead::parse).await
    }

    /// Reads the head of the final response to `method` and discards interim responses.
    ///
    /// # Errors
    /// The head is malformed, longer than `limit` bytes, truncated or missing, or there are too many interim responses.
    pub async fn read_response_head(
        &mut self,
        method: &str,
        limit: usize,
    ) -> Result<RawResponseHead, HttpError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head(limit, |bytes| RawResponseHead::parse(bytes, method)).await?;
            let Some(head) = head else {
                return Err(HttpError::new(ErrorKind::Truncated, "closed before an answer"));
            };
            match head.status {
                101 => {
                    let reason = "the peer changes the protocol, which nobody asked for";
                    return Err(HttpError::new(ErrorKind::Malformed, reason));
                }
                100..200 => {}
                _ => return Ok(head),
            }
        }
        Err(too_many_interim_responses())
    }

    /// Reads part of a body and appends it to `body`; returns whether the body is complete.
    ///
    /// # Errors
    /// The body is malformed or truncated, or the connection failed.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        body: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        let previous_len = body.len();
        decoder.feed(&mut self.buffer, body)?;
        if decoder.is_done() || body.len() > previous_len {
            // Bytes that arrived with the head are passed on at once, however late the rest is.
            return Ok(decoder.is_done());
        }
        if self.fill().await? == 0 {
            decoder.end_of_input()?;
        } else {
            decoder.feed(&mut self.buffer, body)?;
        }
        Ok(decoder.is_done())
    }

    /// Waits until the peer closes or the connection fails. Bytes that arrive meanwhile are
    /// buffered; once the buffer holds `limit` bytes, nothing more is read and the wait does
    /// not end.
    pub async fn wait_for_close(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending::<()>().await
    }

    /// Waits for the head of a pipelined request that `accept` takes, and returns it with the result of `accept`; returns
    /// `None` if the peer closes or the connection fails instead. Other bytes are buffered; once the buffer holds
    /// `limit` bytes, nothing more is read and the wait does not end. The future is cancel-safe.
    pub async fn read_pipelined_request<T>(
        &mut self,
        limit: usize,
        accept: impl Fn(&RawRequestHead) -> Option<T>,
    ) -> Option<(RawRequestHead, T)> {
        loop {
            if !self.buffer.is_empty()
                && let Ok(Some((head, end))) = RawRequestHead::parse(&self.buffer)
                && let Some(accepted) = accept(&head)
            {
                self.buffer.drain(..end);
                return Some((head, accepted));
            }
            if self.buffer.len() >= limit {
                futures::future::pending::<()>().await;
            }
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return None;
            }
        }
    }

    async fn read_head<T>(
        &mut self,
        limit: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HttpError>,
    ) -> Result<Option<T>, HttpError> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, end)) = parse(&self.buffer)?
            {
                check_head_length(end, limit)?;
                self.buffer.drain(..end);
                return Ok(Some(head));
            }
            check_head_length(self.buffer.len(), limit)?;
            if self.fill().await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(HttpError::new(ErrorKind::Truncated, "closed within a head"));
            }
        }
    }

    /// Reads into the buffer and returns the number of bytes, 0 at a clean end of the stream. The
    /// future is cancel-safe: bytes are either in the buffer or still in the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        if count == 0 && self.write_failure.is_recorded() {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "a write had failed before",
            ));
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn check_head_length(length: usize, limit: usize) -> Result<(), HttpError> {
    if length > limit {
        let reason = format!("the head is longer than {limit} bytes");
        return Err(HttpError::new(ErrorKind::HeadTooLarge, reason));
    }
    Ok(())
}
