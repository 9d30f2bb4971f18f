//! The experiment of the demonstration: load, then a stalled target, a cut network path and a
//! planned stop of a box.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use eyre::eyre;
use hdrhistogram::Histogram;
use http_types::Method;
use serde::Serialize;
use wingbridge_standin::TargetFaults;
use wingbridge_trace::TraceEvent;

use crate::caller::{CallerRequest, LoadCaller};
use crate::ledger::CallerLedger;
use crate::system::SmallSystem;

/// Timeout of each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of callers that make repeatable requests.
const BROWSING_CALLERS: usize = 24;
/// Number of callers that place orders.
const ORDERING_CALLERS: usize = 6;
/// Number of callers that download.
const DOWNLOADING_CALLERS: usize = 2;
/// Pause of a caller between two requests.
const THINK_TIME: Duration = Duration::from_millis(40);
/// Interval at which the log of the stalled target is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a request after which a stalled target counts as detected.
const QUIET_TIME: Duration = Duration::from_millis(700);

/// Results of the experiment.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentReport {
    /// Number of requests made.
    pub requests: u64,
    /// Number of complete answers of targets.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Number of requests with the outcome that they have not run.
    pub not_run: u64,
    /// Number of requests with the outcome that they may have run.
    pub unknown: u64,
    /// Number of orders that ran more than once.
    pub doubled: u64,
    /// Number of connections that broke without a complete answer.
    pub cut: u64,
    /// Number of answers that belonged to another request or were incomplete.
    pub wrong_answer: u64,
    /// Time from the stall until the last request that the target received before the stall counted
    /// as detected, in milliseconds; `None` if it was not detected.
    pub detection_ms: Option<u64>,
    /// Number of ejections of targets without faults.
    pub false_ejections: u64,
    /// Difference of the median latencies through the proxy and directly to a target, in
    /// milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles of the latencies through the proxy and directly to a
    /// target, in milliseconds.
    pub added_p99_ms: f64,
    /// Invariants that did not hold.
    pub broken: Vec<String>,
}

/// Runs the experiment for `seconds`.
///
/// # Errors
/// Returns an error if a component of the system failed or an agent did not answer.
pub fn run_experiment(system: &mut SmallSystem, seconds: u64) -> eyre::Result<ExperimentReport> {
    let ledger = CallerLedger::default();
    let balancer = Arc::new(BalancerView::new(system));
    let latency = Arc::new(LatencyPair::new());
    let callers = start_callers(system, &balancer, &ledger, &latency);
    let quarter = Duration::from_secs(seconds) / 4;
    let faulty = choose_fault_targets(system);
    task::block_on(task::sleep(quarter));
    latency.closed.store(true, Ordering::Release);
    let stalled = system.targets[faulty.stalled].handle.clone();
    stalled.set_faults(TargetFaults { stall: true, ..TargetFaults::default() });
    let detection = task::block_on(measure_detection(&stalled, quarter));
    let cut_from = vec![system.boxes[1].box_id.clone()];
    let cut = system.targets[faulty.cut].handle.clone();
    cut.set_faults(TargetFaults { cut_from, ..TargetFaults::default() });
    task::block_on(task::sleep(quarter));
    cut.set_faults(TargetFaults::default());
    let events_before = events_of(system)?;
    balancer.remove(system.boxes[1].proxy.callers);
    system.stop_box(1)?;
    task::block_on(task::sleep(quarter));
    balancer.stop();
    for caller in callers {
        task::block_on(caller);
    }
    let mut events = events_before;
    events.extend(events_of(system)?);
    Ok(report(system, &ledger, &latency, &faulty, detection, &events))
}

/// Indices of the targets that get faults.
struct FaultTargets {
    stalled: usize,
    cut: usize,
}

fn choose_fault_targets(system: &SmallSystem) -> FaultTargets {
    let service = system.setup.services[0].name;
    let of_service = |index: &usize| system.targets[*index].service == service;
    let mut indices = (0..system.targets.len()).filter(of_service);
    let stalled = indices.next().unwrap_or(0);
    FaultTargets { stalled, cut: indices.next().unwrap_or(stalled) }
}

/// Stand-in for the platform's balancer: assigns callers to the boxes in service, in turn.
struct BalancerView {
    boxes: Mutex<Vec<SocketAddr>>,
    stopped: AtomicBool,
    next: AtomicU64,
}

impl BalancerView {
    fn new(system: &SmallSystem) -> BalancerView {
        let boxes = Mutex::new(system.caller_addresses());
        BalancerView { boxes, stopped: AtomicBool::new(false), next: AtomicU64::new(0) }
    }

    fn remove(&self, address: SocketAddr) {
        self.lock().retain(|existing| *existing != address);
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn pick(&self) -> SocketAddr {
        let boxes = self.lock();
        let position = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        boxes[position % boxes.len()]
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.boxes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Latencies through the proxy and directly to a target, measured before the first fault.
struct LatencyPair {
    proxied: Mutex<Histogram<u64>>,
    direct: Mutex<Histogram<u64>>,
    closed: AtomicBool,
}

impl LatencyPair {
    fn new() -> LatencyPair {
        let histogram = || {
            Mutex::new(
                Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds"),
            )
        };
        LatencyPair { proxied: histogram(), direct: histogram(), closed: AtomicBool::new(false) }
    }

    fn record(&self, direct: bool, elapsed: Duration) {
        if self.closed.load(Ordering::Acquire) {
            return;
        }
        let histogram = if direct { &self.direct } else { &self.proxied };
        let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(elapsed.as_micros() as u64);
    }

    /// Returns the latency through the proxy minus the direct latency at `quantile`, in
    /// milliseconds.
    fn added(&self, quantile: f64) -> f64 {
        let quantile_ms = |histogram: &Mutex<Histogram<u64>>| {
            let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.value_at_quantile(quantile) as f64 / 1000.0
        };
        quantile_ms(&self.proxied) - quantile_ms(&self.direct)
    }
}

fn start_callers(
    system: &SmallSystem,
    balancer: &Arc<BalancerView>,
    ledger: &CallerLedger,
    latency: &Arc<LatencyPair>,
) -> Vec<JoinHandle<()>> {
    let routes: Vec<&'static str> = system.setup.services.iter().map(|plan| plan.route).collect();
    let first = system.setup.services[0].name;
    let direct: Vec<SocketAddr> =
        system.targets_of(first).iter().skip(2).map(|target| target.address).collect();
    let mut callers = Vec::new();
    for number in 0..BROWSING_CALLERS {
        let direct = direct[number % direct.len()];
        let state = BrowsingCaller {
            balancer: Arc::clone(balancer),
            ledger: ledger.clone(),
            latency: Arc::clone(latency),
            direct,
            route: routes[0],
            number,
        };
        callers.push(task::spawn(browse(state)));
    }
    for number in 0..ORDERING_CALLERS {
        callers.push(task::spawn(order(Arc::clone(balancer), ledger.clone(), routes[1], number)));
    }
    let length = system.setup.services[2].download_bytes;
    for _ in 0..DOWNLOADING_CALLERS {
        callers.push(task::spawn(download(
            Arc::clone(balancer),
            ledger.clone(),
            routes[2],
            length,
        )));
    }
    callers
}

struct BrowsingCaller {
    balancer: Arc<BalancerView>,
    ledger: CallerLedger,
    latency: Arc<LatencyPair>,
    direct: SocketAddr,
    route: &'static str,
    number: usize,
}

async fn browse(state: BrowsingCaller) {
    let mut proxied = LoadCaller::new(state.balancer.pick());
    let mut direct = LoadCaller::new(state.direct);
    let mut count = 0u64;
    while !state.balancer.is_stopped() {
        count += 1;
        let token = format!("browse-{}-{count}", state.number);
        let request =
            CallerRequest::get(&format!("{}/{count}", state.route)).with_header("x-token", &token);
        proxied.set_address(state.balancer.pick());
        let started = Instant::now();
        match proxied.call(&request, CALL_TIMEOUT).await {
            Ok(answer) => {
                state.latency.record(false, started.elapsed());
                state.ledger.record_answer(&token, &answer);
            }
            Err(_) => state.ledger.record_cut(),
        }
        task::sleep(THINK_TIME).await;
        if count.is_multiple_of(4) && !state.latency.closed.load(Ordering::Acquire) {
            // Direct requests use a new connection each time, as proxied ones do when they change
            // boxes.
            direct = LoadCaller::new(state.direct);
            let started = Instant::now();
            if direct.call(&request, CALL_TIMEOUT).await.is_ok() {
                state.latency.record(true, started.elapsed());
            }
        }
    }
    drop(direct);
}

async fn order(
    balancer: Arc<BalancerView>,
    ledger: CallerLedger,
    route: &'static str,
    number: usize,
) {
    let mut caller = LoadCaller::new(balancer.pick());
    let mut count = 0u64;
    while !balancer.is_stopped() {
        count += 1;
        let name = format!("order-{number}-{count}");
        let request = CallerRequest {
            method: Method::Post,
            path: route.to_string(),
            headers: vec![("x-order", name.clone()), ("x-token", name.clone())],
            body: b"one bunk".to_vec(),
        };
        caller.set_address(balancer.pick());
        match caller.call(&request, CALL_TIMEOUT).await {
            Ok(answer) => ledger.record_order(&name, &answer),
            Err(_) => ledger.record_cut(),
        }
        task::sleep(THINK_TIME).await;
    }
}

async fn download(
    balancer: Arc<BalancerView>,
    ledger: CallerLedger,
    route: &'static str,
    length: u64,
) {
    let mut caller = LoadCaller::new(balancer.pick());
    while !balancer.is_stopped() {
        caller.set_address(balancer.pick());
        match caller.call(&CallerRequest::get(route), CALL_TIMEOUT).await {
            Ok(answer) => ledger.record_download(length, &answer),
            Err(_) => ledger.record_cut(),
        }
        task::sleep(THINK_TIME * 4).await;
    }
}

/// Watches a stalled target for `max_time`. Returns the time of the last request before the first
/// interval of [`QUIET_TIME`] without one, or `None` if there was no such interval.
async fn measure_detection(
    target: &wingbridge_standin::TargetHandle,
    max_time: Duration,
) -> Option<Duration> {
    let started = Instant::now();
    let mut received = target.log().received;
    let mut last = Duration::ZERO;
    let mut found = None;
    while started.elapsed() < max_time {
        task::sleep(POLL_INTERVAL).await;
        let now = target.log().received;
        if now != received {
            received = now;
            last = started.elapsed();
        }
        if found.is_none() && started.elapsed() - last > QUIET_TIME {
            found = Some(last);
        }
    }
    found
}

fn events_of(system: &SmallSystem) -> eyre::Result<Vec<TraceEvent>> {
    let (events, unresponsive) =
        task::block_on(wingctl::event_trace::collect_events(&system.fleet()))?;
    if unresponsive {
        return Err(eyre!("an agent did not answer"));
    }
    Ok(events)
}

fn report(
    system: &SmallSystem,
    ledger: &CallerLedger,
    latency: &LatencyPair,
    faulty: &FaultTargets,
    detection: Option<Duration>,
    events: &[TraceEvent],
) -> ExperimentReport {
    let counts = ledger.counts();
    let audit = ledger.audit(&system.targets);
    let faulty_addresses =
        [faulty.stalled, faulty.cut].map(|index| system.targets[index].address.to_string());
    let ejections = events.iter().filter(|event| event.kind == "target-ejected");
    let mut false_ejections: Vec<(u64, String)> = ejections
        .map(|event| (event.stamp, event.fields.get("target").cloned().unwrap_or_default()))
        .filter(|(_, target)| !faulty_addresses.contains(target))
        .collect();
    false_ejections.sort();
    false_ejections.dedup();
    let mut broken = Vec::new();
    let mut check = |holds: bool, invariant: &str| {
        if !holds {
            broken.push(invariant.to_string());
        }
    };
    check(audit.doubled == 0, "an order ran twice");
    check(audit.not_run_ran == 0, "an order ran that was said not to have run");
    check(audit.answered_not_ran == 0, "an order was answered that did not run");
    check(counts.cut == 0, "a request was cut");
    check(counts.wrong_answer == 0, "an answer was wrong or in part");
    check(detection.is_some(), "the stalled target was not found");
    check(false_ejections.is_empty(), "a healthy target was ejected");
    check(counts.complete > 0, "nothing was answered");
    ExperimentReport {
        requests: counts.requests,
        complete: counts.complete,
        not_run: counts.not_run,
        unknown: counts.unknown,
        doubled: audit.doubled,
        cut: counts.cut,
        wrong_answer: counts.wrong_answer,
        detection_ms: detection.map(|time| time.as_millis() as u64),
        false_ejections: false_ejections.len() as u64,
        added_p50_ms: latency.added(0.5),
        added_p99_ms: latency.added(0.99),
        broken,
    }
}
