//! Reads messages off a connection, one after the other, never past the end of one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncReadExt};
use http_types::{Request, Response};

use crate::error::{ErrorKind, HttpError};
use crate::head::{self, AnswerHead, BodyFraming, MessageLimits};
use crate::memory::MemoryStream;

const READ_SIZE: usize = 8 * 1024;
/// Longest line that announces a chunk, with its extensions.
const CHUNK_LINE: usize = 256;
/// What a pipelining caller may send ahead while its request is answered.
const PIPELINE_LIMIT: usize = 64 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A whole request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The head, as the library decoded it.
    pub request: Request,
    /// The whole body, with any chunking undone.
    pub body: Vec<u8>,
    /// Whether the caller wants the connection kept.
    pub keep_alive: bool,
}

/// An answer whose head is read, and the body with it if it is small.
#[derive(Debug)]
pub struct IncomingAnswer {
    /// The head, as the library decoded it.
    pub response: Response,
    /// The body.
    pub body: AnswerBody,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// The body of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerBody {
    /// All of it.
    Whole(Vec<u8>),
    /// None, though `HEAD` announced this length.
    Absent(Option<u64>),
    /// Too large to hold: this many bytes wait in the connection.
    Waiting(u64),
}

/// The reading side of a connection with what was read ahead.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Where reads go first; on the heap, since futures are moved about.
    chunk: Box<[u8]>,
    /// How long the peer may send nothing; `None` where the caller bounds the time.
    silence: Option<Duration>,
}

impl MessageReader {
    /// Reads from `stream`, which stays open for writing elsewhere.
    pub fn new(stream: TcpStream) -> MessageReader {
        let chunk = vec![0; READ_SIZE].into();
        MessageReader { stream, buffer: Vec::new(), chunk, silence: None }
    }

    /// The same reader, which fails once the peer has sent nothing for `silence`.
    pub fn with_silence(self, silence: Duration) -> MessageReader {
        MessageReader { silence: Some(silence), ..self }
    }

    /// Waits for the first byte of the next message; false if the peer closed.
    pub async fn wait_first(&mut self) -> Result<bool, HttpError> {
        Ok(!self.buffer.is_empty() || self.fill().await? > 0)
    }

    /// Reads the next request, or `None` if the caller closed between two.
    /// `send_continue` is called when the caller waits for leave to send the body.
    pub async fn read_request(
        &mut self,
        limits: &MessageLimits,
        send_continue: impl AsyncFnOnce() -> io::Result<()>,
    ) -> Result<Option<IncomingRequest>, HttpError> {
        let Some(head_end) = self.read_head(limits).await? else {
            return Ok(None);
        };
        let head = head::check_request(&self.buffer[..head_end])?;
        refuse_large(head.framing, limits)?;
        if head.expects_continue {
            send_continue().await?;
        }
        let end = self.read_body(head_end, head.framing, limits.chunked).await?;
        let stream = MemoryStream::new(self.buffer.drain(..end).collect());
        let Some((mut request, _)) = async_h1::server::decode(stream).await? else {
            return Err(HttpError::new(ErrorKind::Malformed, "the head is not whole"));
        };
        let body = request.take_body().into_bytes().await?;
        Ok(Some(IncomingRequest { request, body, keep_alive: head.keep_alive }))
    }

    /// Reads the final answer to a request with `method`; interim ones are dropped.
    pub async fn read_answer(
        &mut self,
        method: &str,
        limits: &MessageLimits,
    ) -> Result<IncomingAnswer, HttpError> {
        let (head, head_end) = self.final_head(method, limits).await?;
        if let BodyFraming::Length(length) = head.framing
            && length > limits.body as u64
        {
            return self.large_answer(&head, head_end, length).await;
        }
        let end = self.read_body(head_end, head.framing, limits.chunked).await?;
        let message: Vec<u8> = self.buffer.drain(..end).collect();
        if head.framing == BodyFraming::None {
            let response = async_h1::client::decode(MemoryStream::new(message)).await?;
            let body = AnswerBody::Absent(head.announced);
            return Ok(IncomingAnswer { response, body, keep_alive: head.keep_alive });
        }
        let mut response = async_h1::client::decode(MemoryStream::new(message)).await?;
        let body = AnswerBody::Whole(response.take_body().into_bytes().await?);
        Ok(IncomingAnswer { response, body, keep_alive: head.keep_alive })
    }

    /// Waits until the peer closes. What it sends meanwhile is kept, up to a bound.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < PIPELINE_LIMIT {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending::<()>().await
    }

    /// Turns the connection into the `length` bytes of body that wait in it.
    pub fn into_body(self, length: u64) -> BodyReader {
        BodyReader { reader: self, remaining: length }
    }

    async fn final_head(
        &mut self,
        method: &str,
        limits: &MessageLimits,
    ) -> Result<(AnswerHead, usize), HttpError> {
        loop {
            let Some(head_end) = self.read_head(limits).await? else {
                return Err(HttpError::new(ErrorKind::CutShort, "closed before an answer"));
            };
            let head = head::check_answer(&self.buffer[..head_end], method)?;
            match head.status {
                101 => {
                    return Err(HttpError::new(ErrorKind::Malformed, "upgrade was not asked for"));
                }
                100..200 => drop(self.buffer.drain(..head_end)),
                _ => return Ok((head, head_end)),
            }
        }
    }

    async fn large_answer(
        &mut self,
        head: &AnswerHead,
        head_end: usize,
        length: u64,
    ) -> Result<IncomingAnswer, HttpError> {
        let message = self.buffer.drain(..head_end).collect();
        let mut response = async_h1::client::decode(MemoryStream::new(message)).await?;
        drop(response.take_body());
        let body = AnswerBody::Waiting(length);
        Ok(IncomingAnswer { response, body, keep_alive: head.keep_alive })
    }

    /// Reads a head and returns where it ends, or `None` if the peer closed before it.
    async fn read_head(&mut self, limits: &MessageLimits) -> Result<Option<usize>, HttpError> {
        let mut searched = 0;
        loop {
            let from = searched_from(searched);
            if let Some(found) = find(&self.buffer[from..], HEAD_END) {
                let end = from + found + HEAD_END.len();
                refuse_long_head(&self.buffer[..end], limits)?;
                return Ok(Some(end));
            }
            refuse_long_head(&self.buffer, limits)?;
            searched = self.buffer.len();
            if self.fill().await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(HttpError::new(ErrorKind::CutShort, "closed within a head"));
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

    /// Reads chunks up to the empty one and returns where the message ends.
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
                Ok(httparse::Status::Partial) if self.buffer.len() - position < CHUNK_LINE => {}
                _ => {
                    return Err(HttpError::new(ErrorKind::Malformed, "a chunk size is malformed"));
                }
            }
            if self.fill().await? == 0 {
                return Err(HttpError::new(ErrorKind::CutShort, "closed within a body"));
            }
        }
    }

    /// Takes the extension out of a chunk's line, since the library refuses it and nobody
    /// on this path has a use for it. Returns what is left of the line's length.
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
                return Err(HttpError::new(ErrorKind::CutShort, "closed within a body"));
            }
        }
        Ok(())
    }

    /// Reads more. It can be dropped while it waits: what is read is either all in the
    /// buffer or still in the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let reading = self.stream.read(&mut self.chunk);
        let count = match self.silence {
            Some(silence) => match async_std::future::timeout(silence, reading).await {
                Ok(count) => count?,
                Err(_) => {
                    let reason = format!("nothing came for {silence:?}");
                    return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
                }
            },
            None => reading.await?,
        };
        self.buffer.extend_from_slice(&self.chunk[..count]);
        Ok(count)
    }
}

/// A body too large to hold, which fails if the connection ends before it does.
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
        let ahead = self.reader.buffer.len().min(wanted);
        if ahead > 0 {
            buffer[..ahead].copy_from_slice(&self.reader.buffer[..ahead]);
            self.reader.buffer.drain(..ahead);
            self.remaining -= ahead as u64;
            return Poll::Ready(Ok(ahead));
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

fn refuse_large(framing: BodyFraming, limits: &MessageLimits) -> Result<(), HttpError> {
    if matches!(framing, BodyFraming::Length(length) if length > limits.body as u64) {
        let reason = format!("the body is longer than {} bytes", limits.body);
        return Err(HttpError::new(ErrorKind::BodyTooLarge, reason));
    }
    Ok(())
}

fn refuse_long_head(head: &[u8], limits: &MessageLimits) -> Result<(), HttpError> {
    let line = find(head, b"\r\n").unwrap_or(head.len());
    if line > limits.request_line {
        let reason = format!("the first line is longer than {} bytes", limits.request_line);
        return Err(HttpError::new(ErrorKind::TargetTooLong, reason));
    }
    if head.len() > limits.head && find(head, HEAD_END).is_none_or(|end| end > limits.head) {
        let reason = format!("the headers are longer than {} bytes", limits.head);
        return Err(HttpError::new(ErrorKind::HeadTooLarge, reason));
    }
    Ok(())
}

/// Where to search on from, so that an end split over two reads is found.
fn searched_from(searched: usize) -> usize {
    searched.saturating_sub(HEAD_END.len() - 1)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
