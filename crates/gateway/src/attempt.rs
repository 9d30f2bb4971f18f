//! One attempt of a request at one target, over a connection of its own.
//!
//! Connections to targets are not reused. One box sends a given target a request about every ten seconds, and
//! targets close idle connections after about that time. A pool would therefore save little, and a request that
//! may not be repeated is lost if its connection closes while it is open. Without reuse, superfluous or late
//! bytes of a target can't be mistaken for the answer to another request.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures::future::{Either, select};
use futures::io::AsyncWriteExt;
use wingbridge_decide::Fingerprint;
use wingbridge_decide::steer::LoadReport;
use wingbridge_http::HttpError;
use wingbridge_http::raw::head::{write_field, write_request_line};
use wingbridge_http::raw::reader::WriteFailure;
use wingbridge_http::raw::{BodyDecoder, BodyLength, HeaderList, RawReader, RawResponseHead};

use crate::answers::{AnswerBody, AnswerStream, LAST_CHUNK, encode_chunk, write_content_length};
use crate::notices::{AttemptNotices, UnreadHead};
use crate::ports::{EnvironmentPort, HeaderNames};
use crate::streamed_body::{BodyChunk, BodyStream};

/// Timeout for connecting. A round trip between data centres takes about 3 ms; a connection that takes
/// longer than this is on a broken path or to a target that accepts no more connections.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Reason of an attempt that failed as no process listens at the target's address.
pub(crate) const CONNECTION_REFUSED: &str = "the connection was refused";
/// Reason of an attempt whose answer has another request id, or none.
const REQUEST_ID_MISMATCH: &str = "the answer belongs to another request";
/// Reason of an attempt that was not made, as no head can carry the request or the names of its target and customer.
const NO_HEAD: &str = "no head can carry the request";
/// Timeout of the check whether a target that closed a connection still listens. The host of an ended target
/// refuses the connection within a round trip, which takes about 3 ms between data centres.
const LISTENING_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum length of an answer's head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum length of an answer's body that is buffered, in bytes. If a buffered answer is cut short, the request
/// can be sent to another target; longer answers are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// A request as it is sent to targets. It can be sent again unchanged while its complete body is buffered.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderList,
    /// The body, or the buffered beginning of a long one.
    pub(crate) body: Vec<u8>,
    /// The remainder of a long body, which is streamed.
    pub(crate) body_stream: Option<BodyStream>,
    /// Length of the body as its caller declared it.
    pub(crate) declared_length: BodyLength,
    /// Request id of the caller, which a target's answer must repeat.
    pub(crate) request_id: Option<String>,
    /// Fingerprint by which a retry is recognized.
    pub(crate) fingerprint: Fingerprint,
}

impl OutgoingRequest {
    /// Returns whether an attempt has read from the body stream. The request can't be sent again then.
    pub(crate) fn is_body_consumed(&self) -> bool {
        self.body_stream.as_ref().is_some_and(BodyStream::is_started)
    }
}

/// An answer of a target, complete or with the remainder of its body still to be read.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) head: RawResponseHead,
    pub(crate) body: AnswerBody,
    /// Number of bytes of the body that were read so far.
    pub(crate) bytes: usize,
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The target gave an answer that can be forwarded to the caller.
    Answered(Box<TargetAnswer>, Option<LoadReport>),
    /// The target reported that it has run no part of the request.
    Refused(Option<LoadReport>),
    /// Another instance listens at the address; it has run no part of the request.
    WrongTarget,
    /// No byte was sent, as the target has become ineligible by its own notice since it was chosen.
    Withheld,
    /// No byte was sent, for this reason.
    NotConnected(&'static str),
    /// Bytes were sent and no valid answer was received, for this reason.
    NoValidAnswer(String),
    /// Bytes were sent, the connection closed without a complete answer, and nothing listens at the target's
    /// address any more.
    TargetEnded(String),
    /// A part was sent, and the caller disconnected before the remainder of the body arrived.
    CallerDisconnected,
}

/// Target and circumstances of an attempt.
pub(crate) struct AttemptPlan<'a> {
    pub(crate) port: &'a dyn EnvironmentPort,
    pub(crate) address: &'a str,
    /// Id of the instance that was chosen; another instance at the address must refuse the request.
    pub(crate) instance: &'a str,
    /// Name of the customer whose request it is.
    pub(crate) customer: Option<&'a str>,
    /// Time by which the request must be answered.
    pub(crate) deadline: Instant,
    pub(crate) header_names: &'a HeaderNames,
    /// Access to the notices of the target, which the answer may update.
    pub(crate) notices: AttemptNotices<'a>,
}

/// Makes the attempt. Dropping the future closes the connection, which cancels the work at the target.
pub(crate) async fn attempt(request: &OutgoingRequest, plan: &AttemptPlan<'_>) -> AttemptResult {
    let connect = plan.port.connect_target(plan.address);
    let mut stream = match async_std::future::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            let is_target = reaches_other_target(plan).await;
            return AttemptResult::NotConnected(if is_target {
                CONNECTION_REFUSED
            } else {
                "the connection was refused, and so are those to other targets"
            });
        }
        Ok(Err(_)) => return AttemptResult::NotConnected("the connection was reset"),
        Err(_) => return AttemptResult::NotConnected("the connection did not come up"),
    };
    if stream.set_nodelay(true).is_err() {
        return AttemptResult::NotConnected("the connection was closed");
    }
    let remaining = plan.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return AttemptResult::NotConnected("no time was left");
    }
    // This is checked as late as possible: connecting may take 120 ms, and on a busy box this task may be
    // scheduled even later.
    if !plan.notices.may_send() {
        return AttemptResult::Withheld;
    }
    let Ok(bytes) = encode(request, plan, remaining) else {
        return AttemptResult::NotConnected(NO_HEAD);
    };
    let _unread =
        UnreadHead { stream: stream.clone(), method: &request.method, notices: &plan.notices };
    let mut reader = RawReader::new(stream.clone());
    let write_failure = reader.write_failure();
    let read = read_answer(&mut reader, request, &plan.notices);
    let sent = send_and_read(&mut stream, &bytes, request, &write_failure, read).await;
    let Some(answer) = sent else {
        return AttemptResult::CallerDisconnected;
    };
    match answer {
        Ok((head, partial)) => classify_answer(request, plan, reader, head, partial),
        Err(error) if has_ended(plan).await => AttemptResult::TargetEnded(error.to_string()),
        Err(error) => AttemptResult::NoValidAnswer(error.to_string()),
    }
}

/// Writes a request, with `beginning` before the streamed part of its body, while `read` reads the answer on the same
/// connection. Returns `None` if the caller disconnected before its request had arrived completely.
pub(crate) async fn send_and_read<T>(
    stream: &mut TcpStream,
    beginning: &[u8],
    request: &OutgoingRequest,
    write_failure: &WriteFailure,
    read: impl Future<Output = T>,
) -> Option<T> {
    let write = std::pin::pin!(send_request(stream, beginning, request));
    match select(write, std::pin::pin!(read)).await {
        Either::Left((SendResult::CallerDisconnected, _)) => None,
        Either::Left((SendResult::Complete, read)) => Some(read.await),
        // The other side may answer before it has read the request completely, and then stop reading.
        Either::Left((SendResult::ConnectionFailed, read)) => {
            write_failure.record();
            Some(read.await)
        }
        Either::Right((answer, _)) => Some(answer),
    }
}

/// How far a request was sent.
#[derive(Debug)]
enum SendResult {
    /// The request was written completely.
    Complete,
    /// Writing to the target's connection failed.
    ConnectionFailed,
    /// The caller disconnected before its request had arrived completely.
    CallerDisconnected,
}

/// Writes `beginning`, then the remainder of a streamed body as it arrives.
async fn send_request(
    stream: &mut TcpStream,
    beginning: &[u8],
    request: &OutgoingRequest,
) -> SendResult {
    if stream.write_all(beginning).await.is_err() {
        return SendResult::ConnectionFailed;
    }
    let Some(body_stream) = &request.body_stream else {
        return SendResult::Complete;
    };
    let is_chunked = is_chunked(request);
    loop {
        let Some(chunk) = body_stream.next().await else {
            return SendResult::CallerDisconnected;
        };
        let is_last = matches!(chunk, BodyChunk::End);
        let bytes = match chunk {
            BodyChunk::Bytes(chunk) if is_chunked => encode_chunk(&chunk),
            BodyChunk::Bytes(chunk) => chunk,
            BodyChunk::End if is_chunked => LAST_CHUNK.to_vec(),
            BodyChunk::End => Vec::new(),
        };
        if stream.write_all(&bytes).await.is_err() {
            return SendResult::ConnectionFailed;
        }
        if is_last {
            return SendResult::Complete;
        }
    }
}

/// Returns whether a request is sent with chunked encoding: its body is streamed, and its length unknown.
fn is_chunked(request: &OutgoingRequest) -> bool {
    request.body_stream.is_some() && !matches!(request.declared_length, BodyLength::Known(_))
}

/// Returns whether the target that closed a connection has ended. In that case its address refuses new connections,
/// while other targets accept them.
async fn has_ended(plan: &AttemptPlan<'_>) -> bool {
    let result = check_listening(plan, plan.address).await;
    matches!(result, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
        && reaches_other_target(plan).await
}

/// Returns whether a connection comes up to another target that is believed to be up, or there is none. Otherwise a
/// refused connection is no sign that its target has ended: this box may have lost its paths to all of them.
async fn reaches_other_target(plan: &AttemptPlan<'_>) -> bool {
    let Some(address) = plan.notices.address_of_sound_target() else {
        return true;
    };
    matches!(check_listening(plan, &address).await, Some(Ok(_)))
}

/// Connects to `address` without a request. Returns `None` if nothing answers in time.
async fn check_listening(plan: &AttemptPlan<'_>, address: &str) -> Option<io::Result<TcpStream>> {
    let remaining = plan.deadline.saturating_duration_since(Instant::now());
    let connect = plan.port.connect_target(address);
    async_std::future::timeout(LISTENING_CHECK_TIMEOUT.min(remaining), connect).await.ok()
}

/// The part of a body that was read, and the decoder for the remainder.
pub(crate) type PartialBody = (Vec<u8>, BodyDecoder);

/// Reads the head of an answer and its body, the latter up to [`MAX_BUFFERED_BYTES`].
async fn read_answer(
    reader: &mut RawReader<TcpStream>,
    request: &OutgoingRequest,
    notices: &AttemptNotices<'_>,
) -> Result<(RawResponseHead, PartialBody), HttpError> {
    let head = reader.read_response_head(&request.method, MAX_HEAD_BYTES).await?;
    notices.apply_head(&head);
    let partial = read_answer_body(reader, &head).await?;
    Ok((head, partial))
}

/// Reads the body of an answer, up to [`MAX_BUFFERED_BYTES`].
pub(crate) async fn read_answer_body(
    reader: &mut RawReader<TcpStream>,
    head: &RawResponseHead,
) -> Result<PartialBody, HttpError> {
    let mut decoder = BodyDecoder::new(head.length);
    let mut body = Vec::new();
    let too_long =
        matches!(head.length, BodyLength::Known(length) if length > MAX_BUFFERED_BYTES as u64);
    while !too_long && !decoder.is_done() && body.len() <= MAX_BUFFERED_BYTES {
        reader.read_body(&mut decoder, &mut body).await?;
    }
    Ok((body, decoder))
}

/// Returns the answer of which the head and a part of the body were read, and whose end must come by `deadline`.
pub(crate) fn answer_of(
    reader: RawReader<TcpStream>,
    head: RawResponseHead,
    (body, decoder): PartialBody,
    deadline: Instant,
) -> TargetAnswer {
    let bytes = body.len();
    let body = if head.length == BodyLength::None {
        AnswerBody::Absent(head.declared_length)
    } else if decoder.is_done() {
        AnswerBody::Buffered(body)
    } else {
        let length = head.length;
        let stream = AnswerStream { reader, decoder, beginning: body, length, deadline };
        AnswerBody::Streamed(Box::new(stream))
    };
    TargetAnswer { head, body, bytes }
}

/// Returns whether the answer has the id of a request other than `expected_id`. It is false for an answer
/// without an id, as some refusals have none.
pub(crate) fn is_for_other_request(
    head: &RawResponseHead,
    names: &HeaderNames,
    expected_id: Option<&str>,
) -> bool {
    let returned = head.headers.text(&names.request_id);
    expected_id.is_some() && returned.is_some() && returned != expected_id
}

/// Checks an answer and converts it to the result of the attempt.
fn classify_answer(
    request: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    reader: RawReader<TcpStream>,
    head: RawResponseHead,
    partial: PartialBody,
) -> AttemptResult {
    let names = plan.header_names;
    let load = head.headers.text(&names.load).and_then(parse_load);
    let expected_id = request.request_id.as_deref();
    // This check comes first: "not run" for another request says nothing about this one, which would be run
    // twice if it were sent again.
    if is_for_other_request(&head, names, expected_id) {
        return AttemptResult::NoValidAnswer(REQUEST_ID_MISMATCH.into());
    }
    // An answer with status 421 has the "not run" header, too, but its meaning is different: the chosen target
    // no longer exists.
    if head.status == 421 {
        return AttemptResult::WrongTarget;
    }
    if head.headers.contains(&names.not_run) {
        return AttemptResult::Refused(load);
    }
    if expected_id.is_some() && head.headers.text(&names.request_id) != expected_id {
        return AttemptResult::NoValidAnswer(REQUEST_ID_MISMATCH.into());
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !head.headers.contains(&names.proof) {
        return AttemptResult::NoValidAnswer("the answer has no proof of its target".into());
    }
    let coding = head.headers.text("content-encoding");
    if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return AttemptResult::NoValidAnswer("the body is encoded, which nobody asked for".into());
    }
    AttemptResult::Answered(Box::new(answer_of(reader, head, partial, plan.deadline)), load)
}

/// Encodes the head of a request to a target and the buffered part of its body.
fn encode(
    request: &OutgoingRequest,
    plan: &AttemptPlan<'_>,
    remaining: Duration,
) -> Result<Vec<u8>, HttpError> {
    let names = plan.header_names;
    encode_request(request, |bytes| {
        let remaining = remaining.as_millis().to_string();
        write_field(bytes, &names.remaining_time, remaining.as_bytes())?;
        write_field(bytes, &names.expected_instance, plan.instance.as_bytes())?;
        match plan.customer {
            Some(customer) => write_field(bytes, &names.customer, customer.as_bytes()),
            None => Ok(()),
        }
    })
}

/// Encodes the head of a request, with the headers that `write_more` adds, and the buffered part of its body.
///
/// # Errors
/// A head can't carry one of the lines.
pub(crate) fn encode_request(
    request: &OutgoingRequest,
    write_more: impl FnOnce(&mut Vec<u8>) -> Result<(), HttpError>,
) -> Result<Vec<u8>, HttpError> {
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    write_request_line(&mut bytes, &request.method, &request.target)?;
    request.headers.write(&mut bytes)?;
    write_more(&mut bytes)?;
    match request.declared_length {
        BodyLength::None => {}
        _ if is_chunked(request) => write_field(&mut bytes, "Transfer-Encoding", b"chunked")?,
        BodyLength::Known(length) if request.body_stream.is_some() => {
            write_content_length(&mut bytes, length)?;
        }
        _ => write_content_length(&mut bytes, request.body.len() as u64)?,
    }
    write_field(&mut bytes, "Connection", b"close")?;
    bytes.extend_from_slice(b"\r\n");
    if is_chunked(request) {
        bytes.extend_from_slice(&encode_chunk(&request.body));
    } else {
        bytes.extend_from_slice(&request.body);
    }
    Ok(bytes)
}

/// Parses a load report of the form `running,waiting,slots`.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    Some(LoadReport { held: running.saturating_add(waiting), slots })
}
