//! An HTTP server for operators' end points and test stand-ins, with small complete responses.

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

/// Maximum length of a response body that is sent in one write with its head.
const MAX_SINGLE_WRITE_BYTES: usize = 64 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server and its connections.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Bounds on the size of a request.
    pub limits: MessageLimits,
    /// Maximum time for one request to arrive, from its first byte.
    pub request_timeout: Duration,
    /// Maximum time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent connections; further ones get a 503 response and are closed.
    pub max_connections: usize,
    /// A channel whose closing starts the drain: no new requests are accepted, those in
    /// progress are completed.
    pub drain: Option<Receiver<Infallible>>,
}

impl Default for ServerSettings {
    fn default() -> ServerSettings {
        ServerSettings {
            limits: MessageLimits::default(),
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_connections: 4096,
            drain: None,
        }
    }
}

/// A request with the address of the peer that sent it.
#[derive(Debug)]
pub struct PeerRequest {
    /// The complete request.
    pub incoming: IncomingRequest,
    /// The address of the peer.
    pub peer: SocketAddr,
}

/// Serves connections of `listener` with `handler` until the drain signal, if there is one, and
/// returns once all connections have ended.
pub async fn serve<F, Fut>(listener: TcpListener, settings: ServerSettings, handler: F)
where
    F: Fn(PeerRequest) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let settings = Arc::new(settings);
    // Each connection holds a sender; the channel closes when the last one is dropped.
    let (open, all_ended) = async_channel::bounded::<Infallible>(1);
    while let Some(accepted) = accept(&listener, &settings).await {
        let Ok((stream, peer)) = accepted else {
            // Usually the process is out of file descriptors: wait rather than spin.
            task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let open_guard = open.clone();
        if open.sender_count() > settings.max_connections + 1 {
            task::spawn(reject_connection(stream));
            continue;
        }
        let handler = Arc::clone(&handler);
        let settings = Arc::clone(&settings);
        task::spawn(async move {
            // A peer that violated the protocol has already been sent an error response.
            let _ = serve_stream(stream, peer, &settings, &*handler).await;
            drop(open_guard);
        });
    }
    drop(listener);
    drop(open);
    let _ = all_ended.recv().await;
}

/// Writes `response` to `stream`, without its body if `method` is HEAD.
///
/// # Errors
/// The connection failed.
pub async fn write_response(
    stream: &mut TcpStream,
    response: Response,
    method: Method,
) -> std::io::Result<()> {
    let bodiless = matches!(response.status() as u16, 204 | 304);
    let small = response.len().is_some_and(|length| length <= MAX_SINGLE_WRITE_BYTES);
    let mut encoder = async_h1::server::Encoder::new(response, method);
    if !small {
        copy(encoder, &mut *stream).await?;
        return stream.flush().await;
    }
    // Head and body go into one write, so that small responses fit one packet.
    let mut bytes = Vec::with_capacity(1024);
    encoder.read_to_end(&mut bytes).await?;
    if bodiless {
        strip_empty_length(&mut bytes);
    }
    stream.write_all(&bytes).await
}

/// Returns a response with one line of text.
pub fn text_response(status: u16, text: &str) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(code);
    response.set_body(format!("{text}\n"));
    response
}

/// Returns a response with a JSON body.
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

async fn reject_connection(mut stream: TcpStream) {
    let mut response = text_response(503, "too many connections");
    response.insert_header("connection", "close");
    response.insert_header("retry-after", "2");
    // Best effort: the connection is closed either way.
    let _ = write_response(&mut stream, response, Method::Get).await;
}

async fn serve_stream<F, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    settings: &ServerSettings,
    handler: &F,
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
        // Once the peer has disconnected, the response has no recipient: dropping the work cancels it.
        let mut response = {
            let work = std::pin::pin!(handler(PeerRequest { incoming, peer }));
            let closed = std::pin::pin!(reader.wait_for_close());
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

/// Waits for the next request; returns false if the peer closes, the idle timeout passes or
/// the server drains.
async fn wait_for_request(
    reader: &mut MessageReader,
    settings: &ServerSettings,
) -> Result<bool, HttpError> {
    let first = async_std::future::timeout(settings.idle_timeout, reader.wait_for_data());
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

/// Reads a request, or sends the peer an error response with the reason for the rejection.
async fn read_request(
    reader: &mut MessageReader,
    writer: &mut TcpStream,
    settings: &ServerSettings,
) -> Result<Option<IncomingRequest>, HttpError> {
    let mut interim = writer.clone();
    let read = reader.read_request(&settings.limits, async move || {
        interim.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    });
    let timed_out = || HttpError::new(ErrorKind::TimedOut, "the request took too long to arrive");
    let read = async_std::future::timeout(settings.request_timeout, read).await;
    let error = match read.unwrap_or_else(|_| Err(timed_out())) {
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

/// Removes the `content-length: 0` that `async-h1` writes for a response without a body: a 204
/// response must not have one, and in a 304 response it would state the length of the
/// representation that was not sent.
fn strip_empty_length(head: &mut Vec<u8>) {
    const LINE: &[u8] = b"content-length: 0\r\n";
    if let Some(at) = head.windows(LINE.len()).position(|window| window == LINE) {
        head.drain(at..at + LINE.len());
    }
}
