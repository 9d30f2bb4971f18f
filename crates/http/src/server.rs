//! A server for operators' end points and stand-ins: small whole answers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use futures::io::{AsyncReadExt, AsyncWriteExt, copy};
use http_types::{Method, Response, StatusCode};

use crate::error::{ErrorKind, HttpError};
use crate::head::MessageLimits;
use crate::reader::{IncomingRequest, MessageReader};

/// Answers up to this length go out in one write.
const ONE_WRITE: usize = 64 * 1024;
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a server treats its connections.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Bounds on messages.
    pub limits: MessageLimits,
    /// Time that a peer has for one request, from its first byte.
    pub request_time: Duration,
    /// Time that a connection may be idle between two requests.
    pub idle_time: Duration,
    /// Connections at once; one more is told so and closed.
    pub connections: usize,
    /// Closes when no new work is to be taken. What is in flight is finished.
    pub drain: Option<Receiver<Infallible>>,
}

impl Default for ServerSettings {
    fn default() -> ServerSettings {
        ServerSettings {
            limits: MessageLimits::default(),
            request_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            connections: 4096,
            drain: None,
        }
    }
}

/// A request with the address of the peer that sent it.
#[derive(Debug)]
pub struct PeerRequest {
    /// The request.
    pub incoming: IncomingRequest,
    /// Who sent it.
    pub peer: SocketAddr,
}

/// Serves `listener` with `answer` until the drain signal, if there is one, and then
/// until all connections have ended.
pub async fn serve<F, Fut>(listener: TcpListener, settings: ServerSettings, answer: F)
where
    F: Fn(PeerRequest) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let answer = Arc::new(answer);
    let settings = Arc::new(settings);
    // Each connection holds a sender; the last one that goes tells that all have ended.
    let (open, all_ended) = async_channel::bounded::<Infallible>(1);
    while let Some(accepted) = accept(&listener, &settings).await {
        let Ok((stream, peer)) = accepted else {
            // Out of file descriptors, usually: wait rather than spin.
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let held = open.clone();
        if open.sender_count() > settings.connections + 1 {
            task::spawn(refuse_connection(stream));
            continue;
        }
        let answer = Arc::clone(&answer);
        let settings = Arc::clone(&settings);
        task::spawn(async move {
            // A peer that breaks the protocol has been told so; nothing is left to do.
            let _ = serve_stream(stream, peer, &settings, &*answer).await;
            drop(held);
        });
    }
    drop(listener);
    drop(open);
    let _ = all_ended.recv().await;
}

/// Writes `response` to a request with `method`.
pub async fn write_response(
    stream: &mut TcpStream,
    response: Response,
    method: Method,
) -> std::io::Result<()> {
    let bodiless = matches!(response.status() as u16, 204 | 304);
    let small = response.len().is_some_and(|length| length <= ONE_WRITE);
    let mut encoder = async_h1::server::Encoder::new(response, method);
    if !small {
        copy(encoder, &mut *stream).await?;
        return stream.flush().await;
    }
    // Head and body in one packet.
    let mut bytes = Vec::with_capacity(1024);
    encoder.read_to_end(&mut bytes).await?;
    if bodiless {
        strip_empty_length(&mut bytes);
    }
    stream.write_all(&bytes).await
}

/// A response with one line of text.
pub fn text_response(status: u16, text: &str) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(code);
    response.set_body(format!("{text}\n"));
    response
}

/// A response with a JSON body.
pub fn json_response(status: u16, json: String) -> Response {
    let mut response = text_response(status, "");
    response.set_body(json);
    response.insert_header("content-type", "application/json");
    response
}

async fn accept(
    listener: &TcpListener,
    settings: &ServerSettings,
) -> Option<std::io::Result<(TcpStream, SocketAddr)>> {
    let Some(drain) = &settings.drain else {
        return Some(listener.accept().await);
    };
    let accepted = std::pin::pin!(listener.accept());
    let drained = std::pin::pin!(drain.recv());
    match select(accepted, drained).await {
        Either::Left((accepted, _)) => Some(accepted),
        Either::Right(_) => None,
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    let mut response = text_response(503, "too many connections");
    response.insert_header("connection", "close");
    response.insert_header("retry-after", "2");
    // Best effort: the caller is turned away either way.
    let _ = write_response(&mut stream, response, Method::Get).await;
}

async fn serve_stream<F, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    settings: &ServerSettings,
    answer: &F,
) -> Result<(), HttpError>
where
    F: Fn(PeerRequest) -> Fut,
    Fut: Future<Output = Response>,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.clone();
    let mut reader = MessageReader::new(stream);
    while wait_for_request(&mut reader, settings).await? {
        let Some(incoming) = read_request(&mut reader, &mut writer, settings).await? else {
            return Ok(());
        };
        let method = incoming.request.method();
        let keep_alive = incoming.keep_alive;
        // A peer that hangs up has no use for the answer: dropping the work cancels it.
        let mut response = {
            let work = std::pin::pin!(answer(PeerRequest { incoming, peer }));
            let closed = std::pin::pin!(reader.wait_closed());
            match select(work, closed).await {
                Either::Left((response, _)) => response,
                Either::Right(((), _)) => return Ok(()),
            }
        };
        let last = !keep_alive || is_draining(settings);
        if last {
            response.insert_header("connection", "close");
        }
        write_response(&mut writer, response, method).await?;
        if last {
            return Ok(());
        }
    }
    Ok(())
}

/// Waits for the next request; false if none comes, or none is to be taken.
async fn wait_for_request(
    reader: &mut MessageReader,
    settings: &ServerSettings,
) -> Result<bool, HttpError> {
    let first = async_std::future::timeout(settings.idle_time, reader.wait_first());
    let Some(drain) = &settings.drain else {
        return first.await.unwrap_or(Ok(false));
    };
    let first = std::pin::pin!(first);
    let drained = std::pin::pin!(drain.recv());
    match select(first, drained).await {
        Either::Left((first, _)) => first.unwrap_or(Ok(false)),
        Either::Right(_) => Ok(false),
    }
}

/// Reads a request, or tells the peer what is wrong with it.
async fn read_request(
    reader: &mut MessageReader,
    writer: &mut TcpStream,
    settings: &ServerSettings,
) -> Result<Option<IncomingRequest>, HttpError> {
    let mut interim = writer.clone();
    let read = reader.read_request(&settings.limits, async move || {
        interim.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    });
    let slow = || HttpError::new(ErrorKind::TimedOut, "the request took too long to arrive");
    let read = async_std::future::timeout(settings.request_time, read).await;
    let error = match read.unwrap_or_else(|_| Err(slow())) {
        Ok(incoming) => return Ok(incoming),
        Err(error) => error,
    };
    let mut response = text_response(error.status(), &error.to_string());
    response.insert_header("connection", "close");
    write_response(writer, response, Method::Get).await?;
    Err(error)
}

fn is_draining(settings: &ServerSettings) -> bool {
    settings.drain.as_ref().is_some_and(Receiver::is_closed)
}

/// The library gives an answer without a body a length of 0, which 204 must not
/// have and which for 304 would speak of the wrong thing.
fn strip_empty_length(head: &mut Vec<u8>) {
    const LINE: &[u8] = b"content-length: 0\r\n";
    if let Some(at) = head.windows(LINE.len()).position(|window| window == LINE) {
        head.drain(at..at + LINE.len());
    }
}
