//! A target: some slots, work that takes time, a log of what it ran.

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

/// Requests that wait for a slot, for each slot, before the target sheds.
const QUEUE_PER_SLOT: usize = 20;
const CHUNK: usize = 32 * 1024;

/// How a target behaves when nothing is wrong with it.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Its name in answers.
    pub name: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Median time of the work.
    pub work: Duration,
    /// Spread of that time: the sigma of its logarithm.
    pub spread: f64,
    /// Length of the body under `/download`, in bytes.
    pub download_bytes: u64,
    /// Seeds its random source.
    pub seed: u64,
}

/// A running target, for who switches its faults and reads its log.
#[derive(Debug, Clone)]
pub struct TargetHandle {
    shared: Arc<TargetShared>,
}

#[derive(Debug)]
struct TargetShared {
    settings: TargetSettings,
    incarnation: u64,
    state: Mutex<TargetWork>,
    slots: (Sender<()>, Receiver<()>),
    present: AtomicUsize,
}

#[derive(Debug)]
struct TargetWork {
    faults: TargetFaults,
    random: SmallRng,
    log: ExecutionLog,
}

/// What the target ran.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ExecutionLog {
    /// Requests that reached it.
    pub received: u64,
    /// Requests whose work was done.
    pub done: u64,
    /// Requests whose caller went away meanwhile.
    pub cancelled: u64,
    /// How often the work of each order (header `x-order`) was begun.
    pub orders: BTreeMap<String, u32>,
}

impl TargetHandle {
    /// A target with nothing wrong.
    pub fn new(settings: TargetSettings) -> TargetHandle {
        let slots = async_channel::bounded(settings.slots.max(1));
        for _ in 0..settings.slots {
            let _ = slots.0.try_send(());
        }
        let random = SmallRng::seed_from_u64(settings.seed);
        let work =
            TargetWork { faults: TargetFaults::default(), random, log: ExecutionLog::default() };
        let incarnation = rand::random::<u32>().into();
        let shared = TargetShared {
            settings,
            incarnation,
            state: Mutex::new(work),
            slots,
            present: AtomicUsize::new(0),
        };
        TargetHandle { shared: Arc::new(shared) }
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.work().faults = faults;
    }

    /// What it ran.
    pub fn log(&self) -> ExecutionLog {
        self.work().log.clone()
    }

    fn work(&self) -> MutexGuard<'_, TargetWork> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chance and faults for one request.
    fn draw(&self, box_id: &str) -> RequestFate {
        let mut work = self.work();
        work.log.received += 1;
        let faults = work.faults.clone();
        let settings = &self.shared.settings;
        let micros = settings.work.as_secs_f64().ln();
        let span = LogNormal::new(micros, settings.spread)
            .map_or(settings.work.as_secs_f64(), |law| law.sample(&mut work.random));
        let span = Duration::from_secs_f64(span * faults.slow.max(1.0));
        let fails = work.random.random::<f64>() < faults.error_share;
        let loses = faults.lose_answers > 0;
        work.faults.lose_answers = faults.lose_answers.saturating_sub(u32::from(loses));
        let stalls = faults.stall || faults.cut_from.iter().any(|cut| cut == box_id);
        RequestFate { span, fails, stalls, loses, draining: faults.draining }
    }
}

struct RequestFate {
    span: Duration,
    fails: bool,
    stalls: bool,
    loses: bool,
    draining: bool,
}

/// Counts a request as present, and as cancelled if it is dropped before its end.
struct PresentGuard {
    handle: TargetHandle,
    ended: bool,
}

impl PresentGuard {
    fn enter(handle: &TargetHandle) -> PresentGuard {
        handle.shared.present.fetch_add(1, Ordering::AcqRel);
        PresentGuard { handle: handle.clone(), ended: false }
    }
}

impl Drop for PresentGuard {
    fn drop(&mut self) {
        self.handle.shared.present.fetch_sub(1, Ordering::AcqRel);
        if !self.ended {
            self.handle.work().log.cancelled += 1;
        }
    }
}

/// Gives a slot back when dropped.
struct SlotGuard {
    handle: TargetHandle,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let _ = self.handle.shared.slots.0.try_send(());
    }
}

/// Serves a target until the task is dropped.
pub async fn serve_target(listener: TcpListener, handle: TargetHandle) {
    serve(listener, ServerSettings::default(), move |request| {
        let handle = handle.clone();
        async move {
            let mut response = answer(&handle, &request.incoming).await;
            mark(&handle, &mut response);
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
    let mut guard = PresentGuard::enter(handle);
    let fate = handle.draw(header(incoming, "x-wingbridge-box"));
    let full = handle.shared.present.load(Ordering::Acquire)
        > handle.shared.settings.slots * QUEUE_PER_SLOT;
    if fate.draining || full {
        guard.ended = true;
        let mut response = text_response(503, "not run");
        response.insert_header("x-not-run", "1");
        return response;
    }
    if fate.stalls {
        pending::<()>().await;
    }
    let _slot = take_slot(handle).await;
    let order = header(incoming, "x-order");
    if !order.is_empty() {
        *handle.work().log.orders.entry(order.to_string()).or_default() += 1;
    }
    task::sleep(fate.span).await;
    guard.ended = true;
    handle.work().log.done += 1;
    if fate.loses {
        return broken_answer();
    }
    if fate.fails {
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

async fn take_slot(handle: &TargetHandle) -> SlotGuard {
    // The channel of slots is never closed while the handle lives.
    let _ = handle.shared.slots.1.recv().await;
    SlotGuard { handle: handle.clone() }
}

/// Headers by which a target reports on itself.
fn mark(handle: &TargetHandle, response: &mut Response) {
    let faults = handle.work().faults.clone();
    let present = handle.shared.present.load(Ordering::Acquire) as f32;
    let load = faults.reported_load.unwrap_or(present / handle.shared.settings.slots as f32);
    let state = match (faults.draining, faults.cold) {
        (true, _) => "draining",
        (false, true) => "cold",
        (false, false) => "ready",
    };
    response.insert_header("x-target-load", format!("{load:.2}"));
    response.insert_header("x-target-state", state);
    response.insert_header("x-target-incarnation", handle.shared.incarnation.to_string());
}

/// Byte `position` of the download: any part can be checked on its own.
pub fn download_byte(position: u64) -> u8 {
    (position.wrapping_mul(2_654_435_761) >> 7) as u8
}

fn download(handle: &TargetHandle, incoming: &IncomingRequest) -> Response {
    let length = handle.shared.settings.download_bytes;
    let from = range_start(incoming).filter(|from| *from < length);
    let start = from.unwrap_or(0);
    let cut = handle.work().faults.cut_answers_after;
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

/// The bytes from `start` to `length`, broken off after `cut` of them if that is not 0.
fn body_reader(
    start: u64,
    length: u64,
    cut: u64,
) -> impl futures::io::AsyncBufRead + Send + Sync + Unpin {
    let chunks = stream::try_unfold(start, move |position| {
        let sent = position - start;
        std::future::ready(if cut > 0 && sent >= cut && position < length {
            Err(std::io::Error::other("broken off"))
        } else if position >= length {
            Ok(None)
        } else {
            let most = if cut > 0 { (start + cut).min(length) } else { length };
            let end = (position + CHUNK as u64).min(most);
            let bytes: Vec<u8> = (position..end).map(download_byte).collect();
            Ok(Some((bytes, end)))
        })
    });
    chunks.into_async_read()
}

/// A body that is announced and fails at once: the connection closes before it is whole.
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
