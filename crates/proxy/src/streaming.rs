//! Streams answers that are too large to buffer, and resumes them after a broken connection.
//!
//! An answer is resumed only if the rest certainly belongs to it: the request was a `GET`, the
//! target sent a strong validator, and another target answers a range request under that validator
//! with exactly the missing bytes. Otherwise the connection to the caller is closed before the
//! announced length, so that no client mistakes the answer for a complete one.

use std::io;
use std::sync::Arc;

use async_channel::Sender;
use async_std::task;
use futures::AsyncReadExt;
use futures::io::{AsyncRead, Cursor};
use futures::stream::TryStreamExt;
use http_types::{Body, Method, Response};
use wingbridge_decide::{BoxEvent, Name, RequestPlan, TargetKey, TimePoint};
use wingbridge_http::ResponseBody;

use crate::attempt::{OutgoingRequest, TargetAnswer};
use crate::context::ProxyContext;
use crate::headers::text;
use crate::inputs::DecisionInput;
use crate::requests::{RequestResult, run_request};

const CHUNK_BYTES: usize = 32 * 1024;
/// Maximum number of chunks that are queued for the caller.
const MAX_QUEUED_CHUNKS: usize = 8;
/// Maximum number of times that one answer is resumed.
const MAX_RESUMES: u32 = 5;

/// The data with which the rest of an answer is requested.
pub(crate) struct StreamContext {
    pub(crate) context: Arc<ProxyContext>,
    pub(crate) outgoing: Arc<OutgoingRequest>,
    pub(crate) plan: RequestPlan,
    /// Time until the head of each further answer must have been received.
    pub(crate) head_timeout: std::time::Duration,
}

/// Starts to stream the unread body of `answer`; returns `None` if the body has been read.
pub(crate) fn stream_body(stream: StreamContext, answer: &mut TargetAnswer) -> Option<Body> {
    let ResponseBody::Unread(length) = answer.body else {
        return None;
    };
    let connection = answer.connection.take()?;
    let (chunks, received) = async_channel::bounded::<io::Result<Vec<u8>>>(MAX_QUEUED_CHUNKS);
    let mut transfer = BodyTransfer {
        validator: strong_validator(&answer.response, &stream.outgoing),
        stream,
        target: answer.target.clone(),
        length,
        position: 0,
    };
    let reader: BodyReader = Box::new(connection.reader.into_body(length));
    task::spawn(async move { transfer.run(reader, &chunks).await });
    let body = Box::pin(received).into_async_read();
    Some(Body::from_reader(body, Some(length as usize)))
}

/// The rest of a body, in a connection or in memory.
type BodyReader = Box<dyn AsyncRead + Send + Unpin>;

struct BodyTransfer {
    stream: StreamContext,
    validator: Option<String>,
    target: Name,
    length: u64,
    position: u64,
}

impl BodyTransfer {
    /// Forwards the body until its end, or until the caller's side is closed.
    async fn run(&mut self, mut reader: BodyReader, chunks: &Sender<io::Result<Vec<u8>>>) {
        for _ in 0..=MAX_RESUMES {
            match self.forward(&mut reader, chunks).await {
                Ok(()) => return,
                Err(error) => self.report_broken(&error).await,
            }
            if chunks.is_closed() {
                return;
            }
            match self.resume().await {
                Some(next) => reader = next,
                None => break,
            }
        }
        let _ = chunks.send(Err(io::ErrorKind::UnexpectedEof.into())).await;
    }

    async fn forward(
        &mut self,
        reader: &mut BodyReader,
        chunks: &Sender<io::Result<Vec<u8>>>,
    ) -> io::Result<()> {
        let stall = self.stream.context.settings.stall_time;
        while self.position < self.length {
            let mut chunk = vec![0; CHUNK_BYTES];
            let read = async_std::future::timeout(stall, reader.read(&mut chunk)).await;
            let count = read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            chunk.truncate(count);
            self.position += count as u64;
            if chunks.send(Ok(chunk)).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn report_broken(&self, error: &io::Error) {
        let context = &self.stream.context;
        let position = self.position.to_string();
        let fields = [("target", &*self.target), ("at", position.as_str())];
        context.trace.record("request-answer-broken", &fields);
        log::warn!(target:% = self.target, at = self.position, reason:% = error; "answer-broken");
        let event = BoxEvent::AnswerBroken {
            service: self.stream.plan.service.clone(),
            target: TargetKey::of(&self.target),
        };
        let _ = context.decisions.send(DecisionInput::Event(event)).await;
    }

    /// Requests the rest of the answer from another target.
    async fn resume(&mut self) -> Option<BodyReader> {
        let validator = self.validator.clone()?;
        let context = Arc::clone(&self.stream.context);
        let request = context.next_request_id();
        let mut outgoing = (*self.stream.outgoing).clone();
        outgoing.headers.push(("range".into(), format!("bytes={}-", self.position)));
        outgoing.headers.push(("if-range".into(), validator.clone()));
        outgoing.name = context.request_name(request);
        let mut plan = self.stream.plan.clone();
        plan.deadline = TimePoint::from_micros(context.clock.micros()) + self.stream.head_timeout;
        let end = run_request(&context, request, Arc::new(outgoing), plan).await;
        let RequestResult::Answered(answer) = end else {
            return None;
        };
        if !self.is_continuation(&answer.response, &validator) {
            return None;
        }
        let rest = self.length - self.position;
        let TargetAnswer { target, connection, body, .. } = *answer;
        let reader: BodyReader = match (body, connection) {
            (ResponseBody::Unread(length), Some(connection)) if length == rest => {
                Box::new(connection.reader.into_body(rest))
            }
            (ResponseBody::Complete(bytes), _) if bytes.len() as u64 == rest => {
                Box::new(Cursor::new(bytes))
            }
            _ => return None,
        };
        context.trace.record("request-answer-resumed", &[("target", &*target)]);
        self.target = target;
        Some(reader)
    }

    /// Returns whether `response` is exactly the rest of the same answer.
    fn is_continuation(&self, response: &Response, validator: &str) -> bool {
        let expected = format!("bytes {}-{}/{}", self.position, self.length - 1, self.length);
        response.status() as u16 == 206
            && text(response.header("etag")) == validator
            && text(response.header("content-range")) == expected
    }
}

/// Returns the validator with which the rest of this answer can be requested, or `None` if it can't
/// be resumed.
fn strong_validator(response: &Response, outgoing: &OutgoingRequest) -> Option<String> {
    let complete = response.status() as u16 == 200;
    let is_range = outgoing.headers.iter().any(|(name, _)| name == "range");
    let validator = text(response.header("etag"));
    let strong = validator.starts_with('"');
    let resumable = complete && strong && !is_range && outgoing.method == Method::Get;
    (resumable && outgoing.repeatable).then(|| validator.to_string())
}
