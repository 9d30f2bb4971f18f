//! A reader of consecutive messages from a connection, which decodes each with `async-h1`.
//!
//! The end of a message is determined here, so that `async-h1` gets the bytes of exactly one
//! message; bytes of the next one stay in the buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::io::{AsyncRead, AsyncReadExt};
use http_types::{Request, Response};

use crate::error::{ErrorKind, HttpError};
use crate::head::{
    self, BodyFraming, MAX_INTERIM_RESPONSES, MessageLimits, ResponseHead,
    too_many_interim_responses,
};
use crate::memory::MemoryStream;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Maximum length of a chunk-size line with its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of bytes buffered from a pipelining caller while its request is in progress.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The head, as decoded by `async-h1`.
    pub request: Request,
    /// The complete body, without chunked coding.
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// A response whose head has been read, and also the body if it is small.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The head, as decoded by `async-h1`.
    pub response: Response,
    /// The body, as far as it has been read.
    pub body: ResponseBody,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// The body of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseBody {
    /// The complete body.
    Complete(Vec<u8>),
    /// No body, with the value of `Content-Length` if there is one (`HEAD`, 304).
    Absent(Option<u64>),
    /// The length of a body that is longer than `max_body_bytes` and is still to be read from the
    /// connection.
    Unread(u64),
}

/// The read half of a connection, with a buffer of bytes that were read ahead.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Scratch buffer of reads; on the heap, since inline it would be copied with each move of
    /// a future that holds the reader.
    chunk: Box<[u8]>,
    /// Maximum time between two reads; `None` where the caller of the reader bounds the time.
    idle_timeout: Option<Duration>,
}

impl MessageReader {
    /// Creates a reader of `stream`; another clone of the stream may be used for writing.
    pub fn new(stream: TcpStream) -> MessageReader {
        let chunk = vec![0; READ_BYTES].into();
        MessageReader { stream, buffer: Vec::new(), chunk, idle_timeout: None }
    }

    /// Returns the reader with an idle timeout: a read fails once the peer has sent nothing for
    /// `idle_timeout`.
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> MessageReader {
        MessageReader { idle_timeout: Some(idle_timeout), ..self }
    }

    /// Waits for the first byte of the next message; returns false if the peer closed instead.
    pub async fn wait_for_data(&mut self) -> Result<bool, HttpError> {
        Ok(!self.buffer.is_empty() || self.fill().await? > 0)
    }

    /// Returns whether the connection is open and nothing has arrived that was not read as part of a message.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.peek(&mut [0]).now_or_never().is_none()
    }

    /// Reads the next request; returns `None` if the caller closed between two requests.
    /// `send_continue` is called if the caller waits for `100 Continue` before it sends the body.
    ///
    /// # Errors
    /// The request is malformed, ambiguous, truncated or over one of the `limits`, or the
    /// connection failed.
    pub async fn read_request(
        &mut self,
        limits: &MessageLimits,
        send_continue: impl AsyncFnOnce() -> io::Result<()>,
    ) -> Result<Option<IncomingRequest>, HttpError> {
        let Some(head_end) = self.read_head(limits).await? else {
            return Ok(None);
        };
        let head = head::check_request(&self.buffer[..head_end])?;
        check_body_length(head.framing, limits)?;
        if head.expects_continue {
            send_continue().await?;
        }
        let end = self.read_body(head_end, head.framing, limits.max_chunked_body_bytes).await?;
        let stream = MemoryStream::new(self.buffer.drain(..end).collect());
        let Some((mut request, _)) = async_h1::server::decode(stream).await? else {
            return Err(HttpError::new(ErrorKind::Malformed, "the head is not whole"));
        };
        let body = request.take_body().into_bytes().await?;
        Ok(Some(IncomingRequest { request, body, keep_alive: head.keep_alive }))
    }

    /// Reads the final response to a request with `method` and discards interim responses.
    ///
    /// # Errors
    /// The response is malformed, ambiguous, truncated, of unknown length or over one of the
    /// `limits`, or the connection failed.
    pub async fn read_response(
        &mut self,
        method: &str,
        limits: &MessageLimits,
    ) -> Result<IncomingResponse, HttpError> {
        let (head, head_end) = self.final_head(method, limits).await?;
        if let BodyFraming::Length(length) = head.framing
            && length > limits.max_body_bytes as u64
        {
            return self.unread_response(&head, head_end, length).await;
        }
        let end = self.read_body(head_end, head.framing, limits.max_chunked_body_bytes).await?;
        let message: Vec<u8> = self.buffer.drain(..end).collect();
        if head.framing == BodyFraming::None {
            let response = async_h1::client::decode(MemoryStream::new(message)).await?;
            let body = ResponseBody::Absent(head.declared_length);
            return Ok(IncomingResponse { response, body, keep_alive: head.keep_alive });
        }
        let mut response = async_h1::client::decode(MemoryStream::new(message)).await?;
        let body = ResponseBody::Complete(response.take_body().into_bytes().await?);
        Ok(IncomingResponse { response, body, keep_alive: head.keep_alive })
    }

    /// Waits until the peer closes or the connection fails. Bytes that arrive meanwhile are
    /// buffered; once the buffer holds `MAX_PIPELINED_BYTES`, the wait does not end.
    pub async fn wait_for_close(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending::<()>().await
    }

    /// Converts the reader into a stream of the `length` bytes of a [`ResponseBody::Unread`] body.
    pub fn into_body(self, length: u64) -> BodyReader {
        BodyReader { reader: self, remaining: length }
    }

    async fn final_head(
        &mut self,
        method: &str,
        limits: &MessageLimits,
    ) -> Result<(ResponseHead, usize), HttpError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let Some(head_end) = self.read_head(limits).await? else {
                return Err(HttpError::new(ErrorKind::Truncated, "closed before an answer"));
            };
            let head = head::check_response(&self.buffer[..head_end], method)?;
            match head.status {
                101 => {
                    return Err(HttpError::new(ErrorKind::Malformed, "upgrade was not asked for"));
                }
                100..200 => drop(self.buffer.drain(..head_end)),
                _ => return Ok((head, head_end)),
            }
        }
        Err(too_many_interim_responses())
    }

    async fn unread_response(
        &mut self,
        head: &ResponseHead,
        head_end: usize,
        length: u64,
    ) -> Result<IncomingResponse, HttpError> {
        let message = self.buffer.drain(..head_end).collect();
        let mut response = async_h1::client::decode(MemoryStream::new(message)).await?;
        drop(response.take_body());
        let body = ResponseBody::Unread(length);
        Ok(IncomingResponse { response, body, keep_alive: head.keep_alive })
    }

    /// Reads a head into the buffer and returns where it ends; `None` if the peer closed before it.
    async fn read_head(&mut self, limits: &MessageLimits) -> Result<Option<usize>, HttpError> {
        let mut searched = 0;
        loop {
            let from = search_start(searched);
            if let Some(found) = find(&self.buffer[from..], HEAD_END) {
                let end = from + found + HEAD_END.len();
                check_head_length(&self.buffer[..end], limits)?;
                return Ok(Some(end));
            }
            check_head_length(&self.buffer, limits)?;
            searched = self.buffer.len();
            if self.fill().await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(HttpError::new(ErrorKind::Truncated, "closed within a head"));
            }
        }
    }

    async fn read_body(
        &mut self,
        start: usize,
        framing: BodyFraming,
        limit: usize,
    ) -> Result<usize, HttpError> {
        match framing {
            BodyFraming::None => Ok(start),
            BodyFraming::Length(length) => {
                let end = start + length as usize;
                self.read_until(end).await?;
                Ok(end)
            }
            BodyFraming::Chunked => self.read_chunks(start, limit).await,
        }
    }

    /// Reads chunks into the buffer up to the empty one and returns where the message ends.
    async fn read_chunks(&mut self, start: usize, limit: usize) -> Result<usize, HttpError> {
        let mut position = start;
        let mut total = 0;
        loop {
            let (line, size) = self.read_chunk_line(position).await?;
            position += line;
            total += size;
            if total > limit as u64 {
                let reason = format!("the body is longer than {limit} bytes");
                return Err(HttpError::new(ErrorKind::BodyTooLarge, reason));
            }
            let end = position + size as usize + 2;
            self.read_until(end).await?;
            if &self.buffer[end - 2..end] != b"\r\n" {
                let reason =
                    if size == 0 { "trailers are not taken" } else { "a chunk has no end" };
                return Err(HttpError::new(ErrorKind::Malformed, reason));
            }
            position = end;
            if size == 0 {
                return Ok(position);
            }
        }
    }

    async fn read_chunk_line(&mut self, position: usize) -> Result<(usize, u64), HttpError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer[position..]) {
                Ok(httparse::Status::Complete((line, size))) => {
                    return Ok((self.drop_extension(position, line), size));
                }
                Ok(httparse::Status::Partial)
                    if self.buffer.len() - position < MAX_CHUNK_LINE_BYTES => {}
                _ => {
                    return Err(HttpError::new(ErrorKind::Malformed, "a chunk size is malformed"));
                }
            }
            if self.fill().await? == 0 {
                return Err(HttpError::new(ErrorKind::Truncated, "closed within a body"));
            }
        }
    }

    /// Removes the extension from a chunk-size line, since `async-h1` rejects extensions and
    /// nothing on this path uses them. Returns the remaining length of the line.
    fn drop_extension(&mut self, position: usize, line: usize) -> usize {
        let text = &self.buffer[position..position + line];
        let Some(start) = text.iter().position(|byte| *byte == b';') else {
            return line;
        };
        self.buffer.drain(position + start..position + line - 2);
        start + 2
    }

    async fn read_until(&mut self, end: usize) -> Result<(), HttpError> {
        while self.buffer.len() < end {
            if self.fill().await? == 0 {
                return Err(HttpError::new(ErrorKind::Truncated, "closed within a body"));
            }
        }
        Ok(())
    }

    /// Reads into the buffer and returns the number of bytes, 0 at the end of the stream. The
    /// future is cancel-safe: bytes are either in the buffer or still in the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let reading = self.stream.read(&mut self.chunk);
        let count = match self.idle_timeout {
            Some(idle_timeout) => match async_std::future::timeout(idle_timeout, reading).await {
                Ok(count) => count?,
                Err(_) => {
                    let reason = format!("no bytes received for {idle_timeout:?}");
                    return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                }
            },
            None => reading.await?,
        };
        self.buffer.extend_from_slice(&self.chunk[..count]);
        Ok(count)
    }
}

/// A stream of a body that is too large to buffer. It fails with `UnexpectedEof` if the
/// connection ends before the body does.
#[derive(Debug)]
pub struct BodyReader {
    reader: MessageReader,
    remaining: u64,
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let wanted = buffer.len().min(usize::try_from(self.remaining).unwrap_or(usize::MAX));
        if wanted == 0 {
            return Poll::Ready(Ok(0));
        }
        let buffered = self.reader.buffer.len().min(wanted);
        if buffered > 0 {
            buffer[..buffered].copy_from_slice(&self.reader.buffer[..buffered]);
            self.reader.buffer.drain(..buffered);
            self.remaining -= buffered as u64;
            return Poll::Ready(Ok(buffered));
        }
        let stream = Pin::new(&mut self.reader.stream);
        match futures::ready!(stream.poll_read(context, &mut buffer[..wanted]))? {
            0 => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            count => {
                self.remaining -= count as u64;
                Poll::Ready(Ok(count))
            }
        }
    }
}

fn check_body_length(framing: BodyFraming, limits: &MessageLimits) -> Result<(), HttpError> {
    if matches!(framing, BodyFraming::Length(length) if length > limits.max_body_bytes as u64) {
        let reason = format!("the body is longer than {} bytes", limits.max_body_bytes);
        return Err(HttpError::new(ErrorKind::BodyTooLarge, reason));
    }
    Ok(())
}

fn check_head_length(head: &[u8], limits: &MessageLimits) -> Result<(), HttpError> {
    let line = find(head, b"\r\n").unwrap_or(head.len());
    if line > limits.max_request_line_bytes {
        let reason =
            format!("the first line is longer than {} bytes", limits.max_request_line_bytes);
        return Err(HttpError::new(ErrorKind::TargetTooLong, reason));
    }
    if head.len() > limits.max_head_bytes
        && find(head, HEAD_END).is_none_or(|end| end > limits.max_head_bytes)
    {
        let reason = format!("the headers are longer than {} bytes", limits.max_head_bytes);
        return Err(HttpError::new(ErrorKind::HeadTooLarge, reason));
    }
    Ok(())
}

/// Returns where to continue the search for the end of a head, so that an end that is split
/// over two reads is found.
fn search_start(searched: usize) -> usize {
    searched.saturating_sub(HEAD_END.len() - 1)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
