//! What the proxy adds to a request: through it and straight to the target, in turn.

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

/// Connections of each row.
pub const CONNECTIONS: [usize; 3] = [1, 50, 500];
const CALL_TIME: Duration = Duration::from_secs(10);
const POLICY: &str = "fn plan(request) { route(\"path\").repeatable().attempts(2) }";

/// One row.
#[derive(Debug, Clone, Serialize)]
pub struct PathRow {
    /// Connections.
    pub connections: usize,
    /// Straight to the target, for 99 in 100.
    pub direct_p99_ms: f64,
    /// Through the proxy, for 99 in 100.
    pub proxy_p99_ms: f64,
    /// What the proxy adds at the median.
    pub added_p50_ms: f64,
    /// What it adds for 99 in 100.
    pub added_p99_ms: f64,
    /// What it adds for 999 in 1000.
    pub added_p999_ms: f64,
    /// Requests a second through the proxy.
    pub requests_s: f64,
    /// Processor time of the whole process for each request, callers and target counted in.
    pub cpu_us_per_request: f64,
    /// Requests that brought no whole answer.
    pub failed: u64,
}

/// Measures all rows. `rate` is requests a second over all connections; 0 is as many as go.
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
    let measured = |connections| measure_row(connections, seconds, rate, proxy, &targets);
    Ok(CONNECTIONS.into_iter().map(measured).collect())
}

/// Latencies of both ways, in microseconds.
struct PathBooks {
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
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
    let books = PathBooks { proxied: histogram(), direct: histogram(), failed: 0 };
    let books = Arc::new(Mutex::new(books));
    let pause = match rate {
        0 => Duration::ZERO,
        // Each turn makes two requests, one either way; the rate is the proxy's.
        _ => Duration::from_secs_f64(connections as f64 / rate as f64),
    };
    let started = processor_time();
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers: Vec<_> = (0..connections)
        .map(|number| {
            let target = targets[number % targets.len()];
            let first = pause.mul_f64(number as f64 / connections as f64);
            task::spawn(call_in_turn(proxy, target, first, pause, end, Arc::clone(&books)))
        })
        .collect();
    for caller in callers {
        task::block_on(caller);
    }
    let spent = processor_time().saturating_sub(started);
    let books = books.lock().unwrap_or_else(PoisonError::into_inner);
    let at =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    let added = |quantile| at(&books.proxied, quantile) - at(&books.direct, quantile);
    PathRow {
        connections,
        direct_p99_ms: at(&books.direct, 0.99),
        proxy_p99_ms: at(&books.proxied, 0.99),
        added_p50_ms: added(0.5),
        added_p99_ms: added(0.99),
        added_p999_ms: added(0.999),
        requests_s: books.proxied.len() as f64 / seconds as f64,
        cpu_us_per_request: spent.as_micros() as f64 / books.proxied.len().max(1) as f64,
        failed: books.failed,
    }
}

async fn call_in_turn(
    proxy: SocketAddr,
    target: SocketAddr,
    first: Duration,
    pause: Duration,
    end: Instant,
    books: Arc<Mutex<PathBooks>>,
) {
    task::sleep(first).await;
    let mut proxied = LoadCaller::new(proxy);
    let mut direct = LoadCaller::new(target);
    let request = CallerRequest::get("/path/x").with_header("x-token", "t");
    while Instant::now() < end {
        let turn = Instant::now();
        let through = timed(&mut proxied, &request).await;
        let straight = timed(&mut direct, &request).await;
        {
            let mut books = books.lock().unwrap_or_else(PoisonError::into_inner);
            match (through, straight) {
                (Some(through), Some(straight)) => {
                    books.proxied.saturating_record(through);
                    books.direct.saturating_record(straight);
                }
                _ => books.failed += 1,
            }
        }
        task::sleep(pause.saturating_sub(turn.elapsed())).await;
    }
}

/// Microseconds for a whole answer.
async fn timed(caller: &mut LoadCaller, request: &CallerRequest) -> Option<u64> {
    let started = Instant::now();
    let answer = caller.call(request, CALL_TIME).await.ok()?;
    (answer.status == 200).then(|| started.elapsed().as_micros() as u64)
}
