//! One attempt of a request at one target, over a connection of its own.
//!
//! Connections to targets are not kept. Of the requests that a box gets, a given target
//! sees one in some ten seconds, which is when targets close idle connections: a pool
//! would save little, and a request on a connection that closes under it is lost for
//! good where it may not be repeated. So nothing that a target sends too much or too
//! late can ever be taken for another request's answer.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures::future::{Either, select};
use futures::io::AsyncWriteExt;
use wingbridge_decide::Fingerprint;
use wingbridge_decide::steer::LoadReport;
use wingbridge_http::HttpError;
use wingbridge_http::raw::head::write_field;
use wingbridge_http::raw::{BodyDecoder, BodyLength, HeaderList, RawReader, RawResponseHead};

use crate::answers::{AnswerBody, LAST_CHUNK, WaitingBody, as_chunk, write_length};
use crate::notices::{AttemptNotices, UnreadHead};
use crate::ports::HeaderNames;
use crate::streamed_body::{BodyPiece, BodyRest};

/// Time to connect. Between data centres a round trip takes some 3 ms; a connection that
/// takes longer than this meets a cut path or a target that takes no more.
const CONNECT_TIME: Duration = Duration::from_millis(120);
/// Why nothing was sent to a target whose address takes no connections.
pub(crate) const CONNECTION_REFUSED: &str = "the connection was refused";
/// Why an answer can't be used that has another id than the request, or none.
const OTHERS_ANSWER: &str = "the answer belongs to another request";
/// Time to find out whether a target that closed a connection still listens: one that ended
/// refuses within a round trip, some 3 ms between data centres.
const LISTENS_TIME: Duration = Duration::from_millis(50);
/// Longest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Longest answer that is held whole, in bytes. Held answers can be asked for again
/// elsewhere if they break off; longer ones are passed on as they come.
const HELD_BYTES: usize = 1 << 20;

/// A request as it goes to targets. It is sent again as it stands, as long as all of it is held.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderList,
    /// Its body, or the beginning of a long one.
    pub(crate) body: Vec<u8>,
    /// What is still to come of a long one.
    pub(crate) rest: Option<BodyRest>,
    /// How long its caller said that the body is.
    pub(crate) announced: BodyLength,
    /// The caller's id of it, which a target's answer must repeat.
    pub(crate) request_id: Option<String>,
    /// By which it is known when it comes again.
    pub(crate) fingerprint: Fingerprint,
}

impl OutgoingRequest {
    /// Whether an attempt has taken a part of it that is not held.
    pub(crate) fn is_spent(&self) -> bool {
        self.rest.as_ref().is_some_and(BodyRest::is_begun)
    }
}

/// A target's whole or waiting answer.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) start: RawResponseHead,
    pub(crate) body: AnswerBody,
    pub(crate) bytes: usize,
}

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// An answer that can go to the caller.
    Answered(Box<TargetAnswer>, Option<LoadReport>),
    /// The target ran nothing of it, and says so.
    Refused(Option<LoadReport>),
    /// Another instance listens there, and ran nothing of it.
    WrongTarget,
    /// No byte of it was sent: the target has said meanwhile that it wants nothing.
    Withheld,
    /// No byte of it was sent.
    NotConnected(&'static str),
    /// Bytes were sent and no answer that can be used came back.
    Broken(String),
    /// Bytes were sent, the connection closed without an answer, and the target takes no more.
    TargetEnded(String),
    /// A part of it was sent, and its caller left before the rest.
    CallerLeft,
}

/// Where an attempt goes.
pub(crate) struct AttemptPlan<'a> {
    pub(crate) address: &'a str,
    /// The instance that is meant.
    pub(crate) instance: &'a str,
    /// The customer whose request it is.
    pub(crate) customer: Option<&'a str>,
    /// When the request must be answered.
    pub(crate) until: Instant,
    pub(crate) names: &'a HeaderNames,
    /// What the target has said of itself, and says by this.
    pub(crate) notices: AttemptNotices<'a>,
}

/// Makes the attempt. Dropping the future closes the connection, which cancels the work.
pub(crate) async fn attempt(request: &OutgoingRequest, plan: &AttemptPlan<'_>) -> AttemptEnd {
    let connecting = TcpStream::connect(plan.address);
    let mut stream = match async_std::future::timeout(CONNECT_TIME, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return AttemptEnd::NotConnected(CONNECTION_REFUSED);
        }
        Ok(Err(_)) => return AttemptEnd::NotConnected("the connection was reset"),
        Err(_) => return AttemptEnd::NotConnected("the connection did not come up"),
    };
    if stream.set_nodelay(true).is_err() {
        return AttemptEnd::NotConnected("the connection was closed");
    }
    let left = plan.until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return AttemptEnd::NotConnected("no time was left");
    }
    // The last step before a target has it: a connection may take 120 ms to come up, and a busy box
    // longer to go on.
    if !plan.notices.may_send() {
        return AttemptEnd::Withheld;
    }
    let bytes = encode(request, plan, left);
    let _unread =
        UnreadHead { stream: stream.clone(), method: &request.method, link: &plan.notices };
    let mut reader = RawReader::new(stream.clone());
    let answer = {
        let write = std::pin::pin!(send(&mut stream, &bytes, request));
        let read = std::pin::pin!(read_answer(&mut reader, request, &plan.notices));
        match select(write, read).await {
            Either::Left((SentRequest::BrokenOff, _)) => return AttemptEnd::CallerLeft,
            // Where it was not taken whole the target may have answered before it stopped reading.
            Either::Left((SentRequest::Whole | SentRequest::NotTaken, read)) => read.await,
            Either::Right((answer, _)) => answer,
        }
    };
    match answer {
        Ok((start, held)) => sort_answer(request, plan.names, reader, start, held),
        Err(error) if has_ended(plan).await => AttemptEnd::TargetEnded(error.to_string()),
        Err(error) => AttemptEnd::Broken(error.to_string()),
    }
}

/// How far a request came on its way to a target.
enum SentRequest {
    /// All of it was written.
    Whole,
    /// The target took no more.
    NotTaken,
    /// Its caller left before all of it had come.
    BrokenOff,
}

/// Writes `beginning`, and what is still to come of the body as it comes.
async fn send(stream: &mut TcpStream, beginning: &[u8], request: &OutgoingRequest) -> SentRequest {
    if stream.write_all(beginning).await.is_err() {
        return SentRequest::NotTaken;
    }
    let Some(rest) = &request.rest else {
        return SentRequest::Whole;
    };
    let is_chunked = is_chunked(request);
    loop {
        let Some(piece) = rest.next().await else {
            return SentRequest::BrokenOff;
        };
        let is_last = matches!(piece, BodyPiece::End);
        let bytes = match piece {
            BodyPiece::Bytes(piece) if is_chunked => as_chunk(&piece),
            BodyPiece::Bytes(piece) => piece,
            BodyPiece::End if is_chunked => LAST_CHUNK.to_vec(),
            BodyPiece::End => Vec::new(),
        };
        if stream.write_all(&bytes).await.is_err() {
            return SentRequest::NotTaken;
        }
        if is_last {
            return SentRequest::Whole;
        }
    }
}

/// Whether a request goes in chunks: its caller sends a long body so, and its length is not known.
fn is_chunked(request: &OutgoingRequest) -> bool {
    request.rest.is_some() && !matches!(request.announced, BodyLength::Known(_))
}

/// Whether the target that closed a connection has ended: then its address refuses others.
async fn has_ended(plan: &AttemptPlan<'_>) -> bool {
    let left = plan.until.saturating_duration_since(Instant::now());
    let connecting = TcpStream::connect(plan.address);
    let connected = async_std::future::timeout(LISTENS_TIME.min(left), connecting).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Body as far as it was read, and the decoder where the rest waits.
type HeldBody = (Vec<u8>, BodyDecoder);

async fn read_answer(
    reader: &mut RawReader<TcpStream>,
    request: &OutgoingRequest,
    notices: &AttemptNotices<'_>,
) -> Result<(RawResponseHead, HeldBody), HttpError> {
    let start = reader.read_response_head(&request.method, HEAD_BYTES).await?;
    notices.apply_head(&start);
    let mut decoder = BodyDecoder::new(start.length);
    let mut body = Vec::new();
    let too_long = matches!(start.length, BodyLength::Known(length) if length > HELD_BYTES as u64);
    while !too_long && !decoder.is_done() && body.len() <= HELD_BYTES {
        reader.read_body(&mut decoder, &mut body).await?;
    }
    Ok((start, (body, decoder)))
}

/// Whether an answer names another request than the one with the id `asked`. Some refusals name
/// none.
pub(crate) fn is_for_other_request(
    start: &RawResponseHead,
    names: &HeaderNames,
    asked: Option<&str>,
) -> bool {
    let returned = start.headers.text(&names.request_id);
    asked.is_some() && returned.is_some() && returned != asked
}

fn sort_answer(
    request: &OutgoingRequest,
    names: &HeaderNames,
    reader: RawReader<TcpStream>,
    start: RawResponseHead,
    held: HeldBody,
) -> AttemptEnd {
    let load = start.headers.text(&names.load).and_then(parse_load);
    let asked = request.request_id.as_deref();
    // Before all else: that another request did not run says nothing of this one, which would be
    // run twice.
    if is_for_other_request(&start, names, asked) {
        return AttemptEnd::Broken(OTHERS_ANSWER.into());
    }
    // Such an answer says "not run" too, but the target that was meant is gone for good.
    if start.status == 421 {
        return AttemptEnd::WrongTarget;
    }
    if start.headers.contains(&names.not_run) {
        return AttemptEnd::Refused(load);
    }
    if asked.is_some() && start.headers.text(&names.request_id) != asked {
        return AttemptEnd::Broken(OTHERS_ANSWER.into());
    }
    let good = (200..300).contains(&start.status);
    if good && !start.headers.contains(&names.proof) {
        return AttemptEnd::Broken("the answer has no proof of its target".into());
    }
    let coding = start.headers.text("content-encoding");
    if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return AttemptEnd::Broken("the body is encoded, which nobody asked for".into());
    }
    let (body, decoder) = held;
    let bytes = body.len();
    let body = if start.length == BodyLength::None {
        AnswerBody::Absent(start.declared_length)
    } else if decoder.is_done() {
        AnswerBody::Held(body)
    } else {
        let length = start.length;
        AnswerBody::Waiting(Box::new(WaitingBody { reader, decoder, beginning: body, length }))
    };
    AttemptEnd::Answered(Box::new(TargetAnswer { start, body, bytes }), load)
}

fn encode(request: &OutgoingRequest, plan: &AttemptPlan<'_>, left: Duration) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    bytes.extend_from_slice(
        format!("{} {} HTTP/1.1\r\n", request.method, request.target).as_bytes(),
    );
    request.headers.write(&mut bytes);
    write_field(&mut bytes, &plan.names.remaining_time, left.as_millis().to_string().as_bytes());
    write_field(&mut bytes, &plan.names.expected_instance, plan.instance.as_bytes());
    if let Some(customer) = plan.customer {
        write_field(&mut bytes, &plan.names.customer, customer.as_bytes());
    }
    match request.announced {
        BodyLength::None => {}
        _ if is_chunked(request) => write_field(&mut bytes, "Transfer-Encoding", b"chunked"),
        BodyLength::Known(length) if request.rest.is_some() => write_length(&mut bytes, length),
        _ => write_length(&mut bytes, request.body.len() as u64),
    }
    write_field(&mut bytes, "Connection", b"close");
    bytes.extend_from_slice(b"\r\n");
    if is_chunked(request) {
        bytes.extend_from_slice(&as_chunk(&request.body));
    } else {
        bytes.extend_from_slice(&request.body);
    }
    bytes
}

/// Running, waiting and slots, with commas between.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    Some(LoadReport { held: running.saturating_add(waiting), slots })
}
