//! Measures the latency that the proxy adds: each connection alternates between requests through
//! the proxy and requests directly to a target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use hdrhistogram::Histogram;
use serde::Serialize;
use wingbridge_demo::caller::CallerRequest;
use wingbridge_demo::system::ServicePlan;
use wingbridge_demo::{LoadCaller, SmallSystem, SystemSetup};

use crate::memory::processor_time;

/// Number of connections of each row.
pub const CONNECTIONS: [usize; 3] = [1, 50, 500];
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const POLICY: &str = "fn plan(request) { route(\"path\").repeatable().attempts(2) }";

/// Results for one number of connections.
#[derive(Debug, Clone, Serialize)]
pub struct PathRow {
    /// Number of connections.
    pub connections: usize,
    /// 99th percentile of the latency directly to the target, in milliseconds.
    pub direct_p99_ms: f64,
    /// 99th percentile of the latency through the proxy, in milliseconds.
    pub proxy_p99_ms: f64,
    /// Difference of the medians with and without the proxy, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles with and without the proxy, in milliseconds.
    pub added_p99_ms: f64,
    /// Difference of the 99.9th percentiles with and without the proxy, in milliseconds.
    pub added_p999_ms: f64,
    /// Requests per second through the proxy.
    pub requests_s: f64,
    /// Processor time of the whole process, callers and targets included, for each request through
    /// the proxy, in microseconds.
    pub cpu_us_per_request: f64,
    /// Number of request pairs of which at least one had no complete answer with status 200.
    pub failed: u64,
}

/// Measures all rows for `seconds` each. `rate` is the requests per second through the proxy over
/// all connections; with 0 each connection sends its next request as soon as it has an answer.
///
/// # Errors
/// The system did not start.
pub fn measure_path(seconds: u64, rate: u64) -> eyre::Result<Vec<PathRow>> {
    let service = ServicePlan {
        name: "path",
        route: "/path",
        policy: POLICY.into(),
        targets: 8,
        slots: 512,
        work: Duration::from_micros(500),
        bias: "careful",
        floor: 0.6,
        download_bytes: 1,
    };
    let setup = SystemSetup {
        boxes: 1,
        data_centres: 1,
        services: vec![service],
        leave_time: Duration::ZERO,
    };
    let system = SmallSystem::start(setup)?;
    let proxy = system.boxes[0].proxy.callers;
    let targets: Vec<SocketAddr> = system.targets.iter().map(|target| target.address).collect();
    let measure = |connections| measure_row(connections, seconds, rate, proxy, &targets);
    Ok(CONNECTIONS.into_iter().map(measure).collect())
}

/// Latencies with and without the proxy, in microseconds.
struct PathLatencies {
    proxied: Histogram<u64>,
    direct: Histogram<u64>,
    failed: u64,
}

fn measure_row(
    connections: usize,
    seconds: u64,
    rate: u64,
    proxy: SocketAddr,
    targets: &[SocketAddr],
) -> PathRow {
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let latencies = PathLatencies { proxied: histogram(), direct: histogram(), failed: 0 };
    let latencies = Arc::new(Mutex::new(latencies));
    let pause = match rate {
        0 => Duration::ZERO,
        // Each round makes two requests, one through the proxy and one directly; the rate counts
        // the former.
        _ => Duration::from_secs_f64(connections as f64 / rate as f64),
    };
    let started = processor_time();
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers: Vec<_> = (0..connections)
        .map(|number| {
            let target = targets[number % targets.len()];
            let start_delay = pause.mul_f64(number as f64 / connections as f64);
            task::spawn(call_alternately(
                proxy,
                target,
                start_delay,
                pause,
                end,
                Arc::clone(&latencies),
            ))
        })
        .collect();
    for caller in callers {
        task::block_on(caller);
    }
    let spent = processor_time().saturating_sub(started);
    let latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    let at =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    let added = |quantile| at(&latencies.proxied, quantile) - at(&latencies.direct, quantile);
    PathRow {
        connections,
        direct_p99_ms: at(&latencies.direct, 0.99),
        proxy_p99_ms: at(&latencies.proxied, 0.99),
        added_p50_ms: added(0.5),
        added_p99_ms: added(0.99),
        added_p999_ms: added(0.999),
        requests_s: latencies.proxied.len() as f64 / seconds as f64,
        cpu_us_per_request: spent.as_micros() as f64 / latencies.proxied.len().max(1) as f64,
        failed: latencies.failed,
    }
}

async fn call_alternately(
    proxy: SocketAddr,
    target: SocketAddr,
    start_delay: Duration,
    pause: Duration,
    end: Instant,
    latencies: Arc<Mutex<PathLatencies>>,
) {
    task::sleep(start_delay).await;
    let mut proxied = LoadCaller::new(proxy);
    let mut direct = LoadCaller::new(target);
    let request = CallerRequest::get("/path/x").with_header("x-token", "t");
    while Instant::now() < end {
        let round_start = Instant::now();
        let through_proxy = call_timed(&mut proxied, &request).await;
        let without_proxy = call_timed(&mut direct, &request).await;
        {
            let mut latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
            match (through_proxy, without_proxy) {
                (Some(through_proxy), Some(without_proxy)) => {
                    latencies.proxied.saturating_record(through_proxy);
                    latencies.direct.saturating_record(without_proxy);
                }
                _ => latencies.failed += 1,
            }
        }
        task::sleep(pause.saturating_sub(round_start.elapsed())).await;
    }
}

/// Returns the microseconds until the complete answer, or `None` if the request failed.
async fn call_timed(caller: &mut LoadCaller, request: &CallerRequest) -> Option<u64> {
    let started = Instant::now();
    let answer = caller.call(request, CALL_TIMEOUT).await.ok()?;
    (answer.status == 200).then(|| started.elapsed().as_micros() as u64)
}
