//! Reads raw messages off a connection.

use std::io;

use futures::io::{AsyncRead, AsyncReadExt};

use crate::error::{ErrorKind, HttpError};
use crate::raw::body::BodyDecoder;
use crate::raw::head::{AnswerStart, RequestStart};

/// Bytes asked of the connection at once: most heads and small bodies fit.
const READ_BYTES: usize = 8 * 1024;

/// The reading side of a connection, with what was read ahead.
#[derive(Debug)]
pub struct RawReader<S> {
    stream: S,
    buffer: Vec<u8>,
}

impl<S: AsyncRead + Unpin> RawReader<S> {
    /// Reads from `stream`.
    pub fn new(stream: S) -> RawReader<S> {
        RawReader { stream, buffer: Vec::new() }
    }

    /// Whether bytes of a next message have arrived.
    pub fn has_ahead(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of a message; false if the peer closed instead.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn wait_first(&mut self) -> io::Result<bool> {
        Ok(self.has_ahead() || self.fill().await? > 0)
    }

    /// Reads the head of a request; `None` if the peer closed before it.
    ///
    /// # Errors
    /// The head is malformed, longer than `limit` bytes or cut short.
    pub async fn request_start(&mut self, limit: usize) -> Result<Option<RequestStart>, HttpError> {
        self.start(limit, RequestStart::parse).await
    }

    /// Reads the head of the final answer to `method`. Interim answers are dropped.
    ///
    /// # Errors
    /// The head is malformed, longer than `limit` bytes, cut short or missing.
    pub async fn answer_start(
        &mut self,
        method: &str,
        limit: usize,
    ) -> Result<AnswerStart, HttpError> {
        loop {
            let start = self.start(limit, |bytes| AnswerStart::parse(bytes, method)).await?;
            let Some(start) = start else {
                return Err(HttpError::new(ErrorKind::CutShort, "closed before an answer"));
            };
            match start.status {
                101 => {
                    let reason = "the peer changes the protocol, which nobody asked for";
                    return Err(HttpError::new(ErrorKind::Malformed, reason));
                }
                100..200 => {}
                _ => return Ok(start),
            }
        }
    }

    /// Reads some of a body to the end of `body`; returns whether all of it is there.
    ///
    /// # Errors
    /// The body is malformed or cut short, or the connection failed.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        body: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        let held = body.len();
        decoder.feed(&mut self.buffer, body)?;
        if decoder.is_done() || body.len() > held {
            // What came with the head goes on at once, however late the rest is.
            return Ok(decoder.is_done());
        }
        if self.fill().await? == 0 {
            decoder.end_of_input()?;
        } else {
            decoder.feed(&mut self.buffer, body)?;
        }
        Ok(decoder.is_done())
    }

    /// Waits until the peer closes or the connection fails. What it sends meanwhile is
    /// kept; at `limit` bytes no more is read, and the wait does not end.
    pub async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending::<()>().await
    }

    /// Waits for the head of a next request that `accepts` takes; `None` if the peer closes or the
    /// connection fails instead. Whatever else it sends is kept; at `limit` bytes no more is read, and the wait
    /// does not end. It can be dropped while it waits.
    pub async fn request_ahead(
        &mut self,
        limit: usize,
        accepts: impl Fn(&RequestStart) -> bool,
    ) -> Option<RequestStart> {
        loop {
            if !self.buffer.is_empty()
                && let Ok(Some((start, end))) = RequestStart::parse(&self.buffer)
                && accepts(&start)
            {
                self.buffer.drain(..end);
                return Some(start);
            }
            if self.buffer.len() >= limit {
                futures::future::pending::<()>().await;
            }
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return None;
            }
        }
    }

    async fn start<T>(
        &mut self,
        limit: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HttpError>,
    ) -> Result<Option<T>, HttpError> {
        loop {
            if !self.buffer.is_empty()
                && let Some((start, end)) = parse(&self.buffer)?
            {
                refuse_long(end, limit)?;
                self.buffer.drain(..end);
                return Ok(Some(start));
            }
            refuse_long(self.buffer.len(), limit)?;
            if self.fill().await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(HttpError::new(ErrorKind::CutShort, "closed within a head"));
            }
        }
    }

    /// Reads more. It can be dropped while it waits: what is read is either all in the
    /// buffer or still in the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn refuse_long(length: usize, limit: usize) -> Result<(), HttpError> {
    if length > limit {
        let reason = format!("the head is longer than {limit} bytes");
        return Err(HttpError::new(ErrorKind::HeadTooLarge, reason));
    }
    Ok(())
}
