//! Attempts of requests at targets, and probes of targets.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::AsyncReadExt;
use futures::io::AsyncWriteExt;
use http_types::{Method, Request, Response, Url};
use wingbridge_decide::{AttemptOutcome, BoxEvent, Name, TargetKey};
use wingbridge_http::{ErrorKind, HttpError, IncomingResponse, MessageLimits, ResponseBody};

use crate::context::ProxyContext;
use crate::headers::{self, BOX_ID_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER};
use crate::inputs::DecisionInput;
use crate::pool::TargetConnection;

/// Maximum length of a chunked answer, which is buffered completely, in bytes.
const MAX_CHUNKED_RESPONSE_BYTES: usize = 8 << 20;
/// Time for a probe of a target.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as it is sent to targets. Each attempt sends the same request.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) url: Url,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) name: String,
    pub(crate) repeatable: bool,
}

/// An answer of a target, with its connection if the body has not been read yet.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) target: Name,
    pub(crate) response: Response,
    pub(crate) body: ResponseBody,
    pub(crate) connection: Option<TargetConnection>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) answer: Option<TargetAnswer>,
}

impl AttemptResult {
    fn without_answer(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, answer: None }
    }
}

/// Sends `request` to `target` and reads the answer. Dropping the future closes the connection,
/// which cancels the work at the target.
pub(crate) async fn attempt_target(
    context: Arc<ProxyContext>,
    request: Arc<OutgoingRequest>,
    target: Name,
    remaining: Duration,
    fresh_connection: bool,
) -> AttemptResult {
    let pooled = if fresh_connection { None } else { context.pool.take(&target) };
    if let Some(connection) = pooled {
        match exchange(&context, &request, &target, connection, remaining).await {
            Ok(result) => return result,
            // The target closed the idle connection while the request was sent. This is not a
            // failure of the target. Only requests that may be repeated use pooled connections, so
            // this one is sent again over a new connection.
            Err(error) if error.kind() == ErrorKind::Truncated || error.kind() == ErrorKind::Io => {
            }
            Err(_) => return AttemptResult::without_answer(AttemptOutcome::Broken),
        }
    }
    let Ok(connection) = connect(&context, &target).await else {
        return AttemptResult::without_answer(AttemptOutcome::NotSent);
    };
    let result = exchange(&context, &request, &target, connection, remaining).await;
    result.unwrap_or_else(|error| {
        log::debug!(target:% = target, request = request.name.as_str(), reason:% = error; "attempt-broken");
        AttemptResult::without_answer(AttemptOutcome::Broken)
    })
}

/// Queries the health endpoint of a target for whether it accepts requests again after draining.
/// Only the reported state is used, since a target's report on its own health is not trusted.
pub(crate) async fn probe_target(context: Arc<ProxyContext>, service: Name, target: Name) {
    let probe = async {
        let connection = connect(&context, &target).await.ok()?;
        let url = Url::parse(&format!("http://{target}/health")).ok()?;
        let request = OutgoingRequest {
            method: Method::Get,
            url,
            headers: Vec::new(),
            body: Vec::new(),
            name: format!("{}-probe", context.box_id),
            repeatable: true,
        };
        let result = exchange(&context, &request, &target, connection, PROBE_TIMEOUT).await.ok()?;
        result.answer.map(|answer| headers::target_report(&answer.response).state)
    };
    let state = async_std::future::timeout(PROBE_TIMEOUT, probe).await.ok().flatten();
    let event = BoxEvent::ProbeEnded { service, target: TargetKey::of(&target), state };
    let _ = context.decisions.send(DecisionInput::Event(event)).await;
}

async fn connect(context: &ProxyContext, target: &Name) -> std::io::Result<TargetConnection> {
    let connecting = TcpStream::connect(&**target);
    let stream = async_std::future::timeout(context.settings.connect_time, connecting).await;
    let stream = stream.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(TargetConnection::new(stream))
}

async fn exchange(
    context: &ProxyContext,
    request: &OutgoingRequest,
    target: &Name,
    mut connection: TargetConnection,
    remaining: Duration,
) -> Result<AttemptResult, HttpError> {
    let bytes = encode(context, request, remaining).await?;
    connection.writer.write_all(&bytes).await?;
    let limits = MessageLimits {
        max_body_bytes: context.settings.max_buffered_response_bytes,
        max_chunked_body_bytes: MAX_CHUNKED_RESPONSE_BYTES,
        max_request_line_bytes: 8000,
        ..MessageLimits::default()
    };
    let answer = connection.reader.read_response(request.method.as_ref(), &limits).await?;
    Ok(classify_response(context, target, connection, answer))
}

async fn encode(
    context: &ProxyContext,
    request: &OutgoingRequest,
    remaining: Duration,
) -> Result<Vec<u8>, HttpError> {
    let mut outgoing = Request::new(request.method, request.url.clone());
    for (name, value) in &request.headers {
        outgoing.append_header(name.as_str(), value.as_str());
    }
    outgoing.insert_header(REQUEST_ID_HEADER, request.name.as_str());
    outgoing.insert_header(BOX_ID_HEADER, &*context.box_id);
    outgoing.insert_header(DEADLINE_HEADER, remaining.as_millis().to_string());
    let had_type = outgoing.header("content-type").is_some();
    outgoing.set_body(request.body.clone());
    if !had_type {
        // The library sets a default type for bodies without one.
        outgoing.remove_header("content-type");
    }
    let mut bytes = Vec::with_capacity(1024 + request.body.len());
    async_h1_encode(outgoing, &mut bytes).await?;
    Ok(bytes)
}

async fn async_h1_encode(request: Request, bytes: &mut Vec<u8>) -> Result<(), HttpError> {
    let mut encoder = wingbridge_http::client::encoder(request);
    encoder.read_to_end(bytes).await?;
    Ok(())
}

fn classify_response(
    context: &ProxyContext,
    target: &Name,
    connection: TargetConnection,
    answer: IncomingResponse,
) -> AttemptResult {
    let IncomingResponse { response, body, keep_alive } = answer;
    let report = headers::target_report(&response);
    let outcome = match response.status() as u16 {
        _ if headers::is_not_run(&response) => AttemptOutcome::Shed(report),
        500..=599 => AttemptOutcome::AnsweredError(report),
        _ => AttemptOutcome::Answered(report),
    };
    let mut unread = None;
    if matches!(body, ResponseBody::Unread(_)) {
        unread = Some(connection);
    } else if keep_alive {
        context.pool.put(target, connection);
    }
    let answer = TargetAnswer { target: target.clone(), response, body, connection: unread };
    AttemptResult { outcome, answer: Some(answer) }
}
