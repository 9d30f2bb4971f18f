//! Stand-in for a target, with a limited number of slots, random processing times and a log of what
//! it executed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use futures::future::pending;
use futures::stream::{self, TryStreamExt};
use http_types::{Body, Method, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Serialize;
use wingbridge_http::IncomingRequest;
use wingbridge_http::server::{ServerSettings, json_response, serve, text_response};

use crate::target_faults::TargetFaults;

/// Number of requests in the target, per slot, beyond which it sheds further requests.
const MAX_QUEUED_PER_SLOT: usize = 20;
const CHUNK_BYTES: usize = 32 * 1024;

/// Settings of a target without faults.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Name of the target in its answers.
    pub name: String,
    /// Number of requests that it processes concurrently.
    pub slots: usize,
    /// Median processing time.
    pub work: Duration,
    /// Standard deviation of the logarithm of the processing time.
    pub spread: f64,
    /// Length of the body of `/download`, in bytes.
    pub download_bytes: u64,
    /// Seed of the random source for processing times and failures.
    pub seed: u64,
}

/// Handle of a target, to set its faults and to read its log. Clones share the same target.
#[derive(Debug, Clone)]
pub struct TargetHandle {
    shared: Arc<TargetShared>,
}

#[derive(Debug)]
struct TargetShared {
    settings: TargetSettings,
    incarnation: u64,
    state: Mutex<TargetState>,
    slots: (Sender<()>, Receiver<()>),
    in_flight: AtomicUsize,
}

#[derive(Debug)]
struct TargetState {
    faults: TargetFaults,
    random: SmallRng,
    log: ExecutionLog,
}

/// Counts of what the target executed.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ExecutionLog {
    /// Number of requests received.
    pub received: u64,
    /// Number of requests that were processed to the end.
    pub done: u64,
    /// Number of requests whose caller hung up before the end.
    pub cancelled: u64,
    /// Number of times that the processing of each order (header `x-order`) began.
    pub orders: BTreeMap<String, u32>,
}

impl TargetHandle {
    /// Creates a target without faults.
    pub fn new(settings: TargetSettings) -> TargetHandle {
        let slots = async_channel::bounded(settings.slots.max(1));
        for _ in 0..settings.slots {
            let _ = slots.0.try_send(());
        }
        let random = SmallRng::seed_from_u64(settings.seed);
        let state =
            TargetState { faults: TargetFaults::default(), random, log: ExecutionLog::default() };
        let incarnation = rand::random::<u32>().into();
        let shared = TargetShared {
            settings,
            incarnation,
            state: Mutex::new(state),
            slots,
            in_flight: AtomicUsize::new(0),
        };
        TargetHandle { shared: Arc::new(shared) }
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state().faults = faults;
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> ExecutionLog {
        self.state().log.clone()
    }

    fn state(&self) -> MutexGuard<'_, TargetState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Determines how one request is handled, from the faults and the random source.
    fn sample_behavior(&self, box_id: &str) -> RequestBehavior {
        let mut state = self.state();
        state.log.received += 1;
        let faults = state.faults.clone();
        let settings = &self.shared.settings;
        let log_median = settings.work.as_secs_f64().ln();
        let work_time = LogNormal::new(log_median, settings.spread)
            .map_or(settings.work.as_secs_f64(), |distribution| {
                distribution.sample(&mut state.random)
            });
        let work_time = Duration::from_secs_f64(work_time * faults.slow.max(1.0));
        let fails = state.random.random::<f64>() < faults.error_share;
        let loses = faults.lose_answers > 0;
        state.faults.lose_answers = faults.lose_answers.saturating_sub(u32::from(loses));
        let stalls = faults.stall || faults.cut_from.iter().any(|cut| cut == box_id);
        RequestBehavior { work_time, fails, stalls, loses, draining: faults.draining }
    }
}

/// How one request is handled.
struct RequestBehavior {
    work_time: Duration,
    fails: bool,
    stalls: bool,
    loses: bool,
    draining: bool,
}

/// Counts a request as in flight until it is dropped, and as cancelled if that is before its end.
struct InFlightGuard {
    handle: TargetHandle,
    ended: bool,
}

impl InFlightGuard {
    fn enter(handle: &TargetHandle) -> InFlightGuard {
        handle.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { handle: handle.clone(), ended: false }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.handle.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.handle.state().log.cancelled += 1;
        }
    }
}

/// Releases a slot when dropped.
struct SlotGuard {
    handle: TargetHandle,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let _ = self.handle.shared.slots.0.try_send(());
    }
}

/// Serves requests to a target until the task is dropped.
pub async fn serve_target(listener: TcpListener, handle: TargetHandle) {
    serve(listener, ServerSettings::default(), move |request| {
        let handle = handle.clone();
        async move {
            let mut response = answer(&handle, &request.incoming).await;
            add_status_headers(&handle, &mut response);
            response
        }
    })
    .await;
}

async fn answer(handle: &TargetHandle, incoming: &IncomingRequest) -> Response {
    let request = &incoming.request;
    match request.url().path() {
        "/health" => return text_response(200, "well"),
        "/v1/log" => return to_json(&handle.log()),
        "/v1/faults" => {
            return match serde_json::from_slice(&incoming.body) {
                Ok(faults) => {
                    handle.set_faults(faults);
                    text_response(200, "set")
                }
                Err(error) => text_response(400, &error.to_string()),
            };
        }
        _ => {}
    }
    let mut guard = InFlightGuard::enter(handle);
    let behavior = handle.sample_behavior(header(incoming, "x-wingbridge-box"));
    let full = handle.shared.in_flight.load(Ordering::Acquire)
        > handle.shared.settings.slots * MAX_QUEUED_PER_SLOT;
    if behavior.draining || full {
        guard.ended = true;
        let mut response = text_response(503, "not run");
        response.insert_header("x-not-run", "1");
        return response;
    }
    if behavior.stalls {
        pending::<()>().await;
    }
    let _slot = acquire_slot(handle).await;
    let order = header(incoming, "x-order");
    if !order.is_empty() {
        *handle.state().log.orders.entry(order.to_string()).or_default() += 1;
    }
    task::sleep(behavior.work_time).await;
    guard.ended = true;
    handle.state().log.done += 1;
    if behavior.loses {
        return broken_answer();
    }
    if behavior.fails {
        return text_response(500, "it failed");
    }
    if request.url().path().starts_with("/download") {
        return download(handle, incoming);
    }
    to_json(&TargetAnswer {
        target: &handle.shared.settings.name,
        path: request.url().path(),
        token: header(incoming, "x-token"),
        body: String::from_utf8_lossy(&incoming.body).as_ref(),
    })
}

#[derive(Serialize)]
struct TargetAnswer<'a> {
    target: &'a str,
    path: &'a str,
    token: &'a str,
    body: &'a str,
}

async fn acquire_slot(handle: &TargetHandle) -> SlotGuard {
    // The handle keeps the channel open, so this does not fail.
    let _ = handle.shared.slots.1.recv().await;
    SlotGuard { handle: handle.clone() }
}

/// Adds the headers in which a target reports its load, its state and its incarnation.
fn add_status_headers(handle: &TargetHandle, response: &mut Response) {
    let faults = handle.state().faults.clone();
    let in_flight = handle.shared.in_flight.load(Ordering::Acquire) as f32;
    let load = faults.reported_load.unwrap_or(in_flight / handle.shared.settings.slots as f32);
    let state = match (faults.draining, faults.cold) {
        (true, _) => "draining",
        (false, true) => "cold",
        (false, false) => "ready",
    };
    response.insert_header("x-target-load", format!("{load:.2}"));
    response.insert_header("x-target-state", state);
    response.insert_header("x-target-incarnation", handle.shared.incarnation.to_string());
}

/// Returns the byte at `position` of the download. It depends on the position only, so that any
/// part can be verified separately.
pub fn download_byte(position: u64) -> u8 {
    (position.wrapping_mul(2_654_435_761) >> 7) as u8
}

fn download(handle: &TargetHandle, incoming: &IncomingRequest) -> Response {
    let length = handle.shared.settings.download_bytes;
    let from = range_start(incoming).filter(|from| *from < length);
    let start = from.unwrap_or(0);
    let cut = handle.state().faults.cut_answers_after;
    let mut response = text_response(if from.is_some() { 206 } else { 200 }, "");
    if incoming.request.method() != Method::Head {
        response.set_body(Body::from_reader(
            body_reader(start, length, cut),
            Some((length - start) as usize),
        ));
    }
    response.insert_header("etag", format!("\"{length}\""));
    if from.is_some() {
        response.insert_header("content-range", format!("bytes {start}-{}/{length}", length - 1));
    }
    response
}

/// Returns a reader of the bytes from `start` to `length`. If `cut` is not 0, it fails after `cut`
/// bytes.
fn body_reader(
    start: u64,
    length: u64,
    cut: u64,
) -> impl futures::io::AsyncBufRead + Send + Sync + Unpin {
    let chunks = stream::try_unfold(start, move |position| {
        let sent = position - start;
        std::future::ready(if cut > 0 && sent >= cut && position < length {
            Err(std::io::Error::other("download cut by a fault"))
        } else if position >= length {
            Ok(None)
        } else {
            let end_limit = if cut > 0 { (start + cut).min(length) } else { length };
            let end = (position + CHUNK_BYTES as u64).min(end_limit);
            let bytes: Vec<u8> = (position..end).map(download_byte).collect();
            Ok(Some((bytes, end)))
        })
    });
    chunks.into_async_read()
}

/// Returns an answer whose body fails at once, so that the connection closes before it is complete.
fn broken_answer() -> Response {
    let mut response = text_response(200, "");
    let failing = stream::iter([Err::<Vec<u8>, _>(std::io::Error::other("lost"))]);
    response.set_body(Body::from_reader(failing.into_async_read(), Some(64)));
    response
}

fn range_start(incoming: &IncomingRequest) -> Option<u64> {
    let range = header(incoming, "range").strip_prefix("bytes=")?;
    range.strip_suffix('-')?.parse().ok()
}

fn header<'a>(incoming: &'a IncomingRequest, name: &str) -> &'a str {
    incoming.request.header(name).map_or("", |values| values.last().as_str())
}

fn to_json(value: &impl Serialize) -> Response {
    json_response(200, serde_json::to_string(value).unwrap_or_default())
}
