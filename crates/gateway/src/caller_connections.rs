//! Connections of callers: requests read, answers written, hang-ups seen.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{BoxFuture, Either, select};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use futures::stream::{FuturesOrdered, StreamExt};
use wingbridge_http::raw::{BodyDecoder, BodyLength, RawReader, RawRequestHead};
use wingbridge_http::{ErrorKind, HttpError};

use crate::answers::{AnswerBody, CallerAnswer, CallerOutcome, LAST_CHUNK, WaitingBody, as_chunk};
use crate::context::BoxContext;
use crate::routes::CallerLimits;
use crate::routing::{CallerRequest, answer_request};
use crate::streamed_body::{BodyPump, PumpEnd, STREAM_BYTES, body_stream};

/// Wait after a failed accept, and while all connections are taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that a caller may send ahead while its request is answered.
const AHEAD_BYTES: usize = 64 * 1024;
/// Requests of one connection that are worked on beside each other at most.
const ANSWERED_BESIDE: usize = 8;
/// Time that a caller has to take a piece of its answer before it counts as gone.
const WRITE_TIME: Duration = Duration::from_secs(10);
/// Bytes of an answer that are written at once.
const PIECE_BYTES: usize = 64 * 1024;
/// Longest part of a request's body that is held, in bytes. A request that is held whole can go to
/// another target after the first one has refused it; the rest of a longer one is passed on as it comes.
const HELD_BYTES: usize = 1 << 20;
/// Time between two looks for room while too many bodies are held.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for room: others of its kind are through by then, or this box can't serve it.
const ROOM_TIME: Duration = Duration::from_secs(1);
/// How long a caller may go on sending a body that nobody wants any more, after its answer: closed
/// before it has read that, the connection would be reset under it.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Takes callers' connections, until the task is dropped.
pub(crate) async fn accept_callers(listener: TcpListener, context: Arc<BoxContext>) {
    loop {
        if context.stopping.open_connections() >= context.settings.max_connections {
            // They wait in the listener's queue: an accepted one would count as taken.
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, peer)) => {
                let context = Arc::clone(&context);
                let held = context.stopping.count_connection();
                task::spawn(async move {
                    serve_caller(stream, peer.ip().to_string(), &context).await;
                    drop(held);
                });
            }
            Err(error) => {
                log::warn!(reason:% = error; "accept-failed");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(stream: TcpStream, caller: String, context: &Arc<BoxContext>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason:% = error; "caller-gone");
        return;
    }
    let mut connection =
        CallerConnection { reader: RawReader::new(stream.clone()), stream, caller };
    while connection.wait_request(context).await {
        let busy = context.stopping.count_request();
        let goes_on = connection.serve_one(context).await;
        drop(busy);
        if !goes_on {
            return;
        }
    }
}

struct CallerConnection {
    reader: RawReader<TcpStream>,
    stream: TcpStream,
    /// The peer's address, by which policies may tell callers apart.
    caller: String,
}

impl CallerConnection {
    /// Waits for a request's first byte; false if none comes or none is to be read.
    async fn wait_request(&mut self, context: &BoxContext) -> bool {
        if context.stopping.is_closing() {
            return false;
        }
        if self.reader.has_buffered() {
            return true;
        }
        let idle_timeout = limits(context).idle_timeout;
        let first =
            std::pin::pin!(async_std::future::timeout(idle_timeout, self.reader.wait_for_data()));
        let closing = std::pin::pin!(context.stopping.wait_closing());
        match select(first, closing).await {
            Either::Left((first, _)) => matches!(first, Ok(Ok(true))),
            Either::Right(_) => false,
        }
    }

    /// Serves one request; returns whether the connection goes on.
    async fn serve_one(&mut self, context: &Arc<BoxContext>) -> bool {
        let since = Instant::now();
        let read = match self.read_request(context, since).await {
            Ok(Some(read)) => read,
            Ok(None) => return false,
            Err(error) => {
                self.reject(context, &error).await;
                return false;
            }
        };
        let ReadRequest { request, mut pump, room } = read;
        let closes = request.start.closes;
        if may_go_beside(context, &request.start) {
            return self.answer_in_order(context, request).await;
        }
        let outcome = {
            let work = std::pin::pin!(answer_request(context, request));
            let gone = std::pin::pin!(wait_gone(&mut self.reader, pump.as_mut()));
            match select(work, gone).await {
                Either::Left((answer, _)) => Ok(answer),
                Either::Right((gone, _)) => Err(gone),
            }
        };
        let answer = match outcome {
            Ok(answer) => answer,
            Err(CallerGone::Left) => {
                let taken_ms = crate::context::millis(since.elapsed());
                log::info!(taken_ms; "caller-hung-up");
                metrics::counter!("wingbridge_hang_ups").increment(1);
                return false;
            }
            Err(CallerGone::BadBody(error)) => {
                self.reject(context, &error).await;
                return false;
            }
        };
        drop(room);
        let unread = pump.is_some_and(|pump| !pump.is_done());
        let closes = closes || unread || context.stopping.is_stopping();
        let written = self.write_answer(answer, closes).await;
        if written && unread {
            self.linger().await;
        }
        written && !closes
    }

    /// Answers a request that may run again, and those like it that its caller sends before it has the answer:
    /// all are worked on beside each other, and answered in their order. Returns whether the connection goes on.
    ///
    /// Nothing that is worked on stands behind an answer that closes the connection: its caller would take it
    /// for unread.
    async fn answer_in_order(&mut self, context: &Arc<BoxContext>, first: CallerRequest) -> bool {
        let mut answers = FuturesOrdered::new();
        answers.push_back(started(context, first));
        loop {
            let has_room = answers.len() < ANSWERED_BESIDE;
            let event = {
                let next = std::pin::pin!(answers.next());
                let accepts = |start: &RawRequestHead| {
                    has_room && !context.stopping.is_stopping() && may_go_beside(context, start)
                };
                let ahead =
                    std::pin::pin!(self.reader.read_pipelined_request(AHEAD_BYTES, accepts));
                match select(next, ahead).await {
                    Either::Left((answer, _)) => OrderedEvent::Answer(answer),
                    Either::Right((start, _)) => OrderedEvent::Ahead(start),
                }
            };
            match event {
                OrderedEvent::Answer(None) => return true,
                OrderedEvent::Answer(Some(answer)) => {
                    let is_last = answers.is_empty();
                    let closes = is_last && context.stopping.is_stopping();
                    if !self.write_answer(answer, closes).await || closes {
                        return false;
                    }
                    if is_last {
                        return true;
                    }
                }
                OrderedEvent::Ahead(Some(start)) => {
                    metrics::counter!("wingbridge_requests_ahead").increment(1);
                    let (since, caller) = (Instant::now(), self.caller.clone());
                    let request =
                        CallerRequest { start, body: Vec::new(), rest: None, since, caller };
                    answers.push_back(started(context, request));
                }
                OrderedEvent::Ahead(None) => {
                    log::info!(open = answers.len(); "caller-hung-up");
                    metrics::counter!("wingbridge_hang_ups").increment(1);
                    return false;
                }
            }
        }
    }

    /// Reads on, and drops what it reads, until the caller has seen its answer and closes.
    async fn linger(&mut self) {
        // A connection that can't be closed on this side is gone already.
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut dropped = [0; 8 * 1024];
        let drain = async {
            while matches!(self.stream.read(&mut dropped).await, Ok(count) if count > 0) {}
        };
        if async_std::future::timeout(LINGER_TIME, drain).await.is_err() {
            log::debug!("caller-sends-on");
        }
    }

    async fn read_request<'a>(
        &mut self,
        context: &'a BoxContext,
        since: Instant,
    ) -> Result<Option<ReadRequest<'a>>, HttpError> {
        let limits = limits(context);
        let read = self.reader.read_request_head(limits.max_head_bytes);
        let Ok(start) = async_std::future::timeout(limits.head_timeout, read).await else {
            return Err(HttpError::new(ErrorKind::TimedOut, "the head took too long to arrive"));
        };
        let Some(start) = start? else {
            return Ok(None);
        };
        if let BodyLength::Known(length) = start.length
            && length > limits.max_body_bytes as u64
        {
            return Err(too_long(&limits));
        }
        if start.expects_continue {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut room = BodyRoom::new(context);
        let mut decoder = BodyDecoder::new(start.length);
        let mut body = Vec::new();
        while !decoder.is_done() && body.len() <= HELD_BYTES {
            room.wait_for(body.len(), Instant::now() + ROOM_TIME).await?;
            let read = self.reader.read_body(&mut decoder, &mut body);
            let Ok(read) = async_std::future::timeout(limits.idle_timeout, read).await else {
                return Err(HttpError::new(
                    ErrorKind::TimedOut,
                    "the body took too long to arrive",
                ));
            };
            read?;
            if body.len() > limits.max_body_bytes {
                return Err(too_long(&limits));
            }
        }
        let (pump, rest) = if decoder.is_done() {
            room.take(body.len());
            (None, None)
        } else {
            room.wait_for(body.len() + STREAM_BYTES, Instant::now() + ROOM_TIME).await?;
            let left = limits.max_body_bytes - body.len();
            let (pump, rest) = body_stream(decoder, left, limits.idle_timeout);
            (Some(pump), Some(rest))
        };
        let request = CallerRequest { start, body, rest, since, caller: self.caller.clone() };
        Ok(Some(ReadRequest { request, pump, room }))
    }

    async fn reject(&mut self, context: &BoxContext, error: &HttpError) {
        let gone = matches!(error.kind(), ErrorKind::Io | ErrorKind::Truncated);
        log::info!(reason:% = error, gone; "request-rejected");
        if gone {
            return;
        }
        let answer = if error.kind() == ErrorKind::TimedOut {
            let mut answer = CallerAnswer::not_run(
                &context.headers.retry_after,
                "the request took too long to arrive",
            );
            answer.status = 408;
            answer
        } else {
            CallerAnswer::own(error.status(), CallerOutcome::Rejected, "the request can't be taken")
        };
        self.write_answer(answer, true).await;
    }

    /// Writes an answer; returns whether all of it went out.
    async fn write_answer(&mut self, answer: CallerAnswer, closes: bool) -> bool {
        let head = answer.encode(closes);
        if !self.write(&head).await {
            return false;
        }
        match answer.body {
            AnswerBody::Waiting(waiting) => self.pass_on(*waiting).await,
            AnswerBody::Held(_) | AnswerBody::Absent(_) => true,
        }
    }

    /// Passes a long body on. Where it breaks off, the caller's connection is closed short
    /// of the announced end, which no client can take for the whole.
    async fn pass_on(&mut self, mut waiting: WaitingBody) -> bool {
        let chunked = !matches!(waiting.length, BodyLength::Known(_));
        let mut piece = std::mem::take(&mut waiting.beginning);
        loop {
            let bytes = if chunked { as_chunk(&piece) } else { std::mem::take(&mut piece) };
            if !self.write(&bytes).await {
                return false;
            }
            piece.clear();
            if waiting.decoder.is_done() {
                return !chunked || self.write(LAST_CHUNK).await;
            }
            if !self.read_piece(&mut waiting, &mut piece).await {
                return false;
            }
        }
    }

    /// Reads more of a long answer; false if it ends there, or if the caller has left. Between
    /// two writes nothing else would show that: the target worked on for up to
    /// [`WRITE_TIME`] for nobody.
    async fn read_piece(&mut self, waiting: &mut WaitingBody, piece: &mut Vec<u8>) -> bool {
        let read = waiting.reader.read_body(&mut waiting.decoder, piece);
        let read = std::pin::pin!(async_std::future::timeout(WRITE_TIME, read));
        let closed = std::pin::pin!(self.reader.wait_for_close(AHEAD_BYTES));
        let reason = match select(read, closed).await {
            Either::Left((Ok(Ok(_)), _)) => return true,
            Either::Left((Ok(Err(error)), _)) => error.to_string(),
            Either::Left((Err(_), _)) => "it stood still".to_string(),
            Either::Right(_) => {
                log::info!(within_answer = true; "caller-hung-up");
                metrics::counter!("wingbridge_hang_ups_in_answers").increment(1);
                return false;
            }
        };
        log::warn!(reason; "answer-broke-off");
        false
    }

    async fn write(&mut self, bytes: &[u8]) -> bool {
        for piece in bytes.chunks(PIECE_BYTES) {
            let written =
                async_std::future::timeout(WRITE_TIME, self.stream.write_all(piece)).await;
            if !matches!(written, Ok(Ok(()))) {
                log::info!(reason = "its connection failed or stood still"; "caller-gone");
                return false;
            }
        }
        true
    }
}

/// What comes next while requests of one connection are worked on.
enum OrderedEvent {
    /// The answer to the first of them; `None` if there is none left.
    Answer(Option<CallerAnswer>),
    /// Another request; `None` if the caller has gone.
    Ahead(Option<RawRequestHead>),
}

/// The answer to a request, which counts as busy until it is there.
fn started(context: &Arc<BoxContext>, request: CallerRequest) -> BoxFuture<'static, CallerAnswer> {
    let context = Arc::clone(context);
    Box::pin(async move {
        let _busy = context.stopping.count_request();
        answer_request(&context, request).await
    })
}

/// Whether a request may be worked on beside others of its connection: it has no body, may run again, and
/// does not end the connection.
fn may_go_beside(context: &BoxContext, start: &RawRequestHead) -> bool {
    let Some(config) = context.config() else {
        return false;
    };
    let route = config.find(&start.host(), start.path());
    start.length == BodyLength::None
        && !start.closes
        && route.is_some_and(|route| route.kind.is_repeatable())
}

/// Why a request is not worth its work any more.
enum CallerGone {
    /// Its caller closed the connection.
    Left,
    /// What its caller sends is no body, or too long.
    BadBody(HttpError),
}

/// Passes on what is still to come of a request's body, and waits until its caller has gone.
async fn wait_gone(reader: &mut RawReader<TcpStream>, pump: Option<&mut BodyPump>) -> CallerGone {
    if let Some(pump) = pump {
        match pump.run(reader).await {
            Ok(PumpEnd::Whole) => {}
            // The answer is about to come.
            Ok(PumpEnd::Unwanted) => return futures::future::pending().await,
            Err(error) if matches!(error.kind(), ErrorKind::Io | ErrorKind::Truncated) => {
                return CallerGone::Left;
            }
            Err(error) => return CallerGone::BadBody(error),
        }
    }
    reader.wait_for_close(AHEAD_BYTES).await;
    CallerGone::Left
}

/// A request as it was read from its caller.
struct ReadRequest<'a> {
    request: CallerRequest,
    /// What passes the rest of a long body on.
    pump: Option<BodyPump>,
    room: BodyRoom<'a>,
}

fn limits(context: &BoxContext) -> CallerLimits {
    context.config().map(|config| config.limits.clone()).unwrap_or_default()
}

fn too_long(limits: &CallerLimits) -> HttpError {
    let reason = format!("the body is longer than {} bytes", limits.max_body_bytes);
    HttpError::new(ErrorKind::BodyTooLarge, reason)
}

/// The part of the room for request bodies that one request holds.
struct BodyRoom<'a> {
    context: &'a BoxContext,
    held: usize,
}

impl<'a> BodyRoom<'a> {
    fn new(context: &'a BoxContext) -> BodyRoom<'a> {
        BodyRoom { context, held: 0 }
    }

    fn take(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.held);
        self.context.held_bodies.fetch_add(more, Ordering::AcqRel);
        self.held += more;
    }

    /// Takes `bytes` and waits while all requests together hold too much. One alone may
    /// always go on, so that a body at the limit is read however small the room is.
    async fn wait_for(&mut self, bytes: usize, until: Instant) -> Result<(), HttpError> {
        self.take(bytes);
        let most = self.context.settings.max_held_body_bytes;
        loop {
            let all = self.context.held_bodies.load(Ordering::Acquire);
            if all <= most || all == self.held {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(HttpError::new(ErrorKind::TimedOut, "there was no room for the body"));
            }
            task::sleep(ROOM_PAUSE).await;
        }
    }
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.context.held_bodies.fetch_sub(self.held, Ordering::AcqRel);
    }
}
