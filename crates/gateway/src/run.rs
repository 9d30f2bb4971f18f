//! Starts the tasks of a box, and shuts the box down without interrupting requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use wingbridge_http::server::{ServerSettings, serve, text_response};
use wingbridge_process::metrics::render_metrics;
use wingbridge_process::{Outcome, StopSignal};

use crate::caller_connections::accept_callers;
use crate::config_sync::{ConfigReader, ConfigSync};
use crate::context::{BoxContext, TaskHandles, millis};
use crate::gossip::{Gossip, fetch_listings};
use crate::passive_samples::SampleBuffer;
use crate::paths::{PathTracker, watch_paths};
use crate::permit_manager::PermitManager;
use crate::policies::PolicySet;
use crate::ports::EnvironmentPort;
use crate::quota_manager::QuotaManager;
use crate::settings::GatewaySettings;
use crate::steering::credits::{CreditExchange, request_credits};
use crate::stop_schedule::{BALANCER_DRAIN_TIME, LAST_ANSWER_TIME, StopSchedule};
use crate::stopping::StopState;
use crate::store_sync::StoreSync;
use crate::view_exchange::serve_peers;

/// Time between two checks for open connections during a planned stop.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two such checks while the last answers are written.
const LAST_ANSWER_CHECK_PERIOD: Duration = Duration::from_millis(10);
const METRICS_PATH: &str = "/metrics";

/// Runs a box until `stop` is signalled, and then until the requests in progress have ended or the
/// stop time is over.
///
/// # Errors
/// Fails if an address can't be bound, or if one of the built-in policies is faulty.
pub fn run(
    settings: GatewaySettings,
    port: Arc<dyn EnvironmentPort>,
    stop: &StopSignal,
    reloads: Receiver<()>,
) -> eyre::Result<Outcome> {
    task::block_on(run_tasks(settings, port, stop, reloads))
}

async fn run_tasks(
    settings: GatewaySettings,
    port: Arc<dyn EnvironmentPort>,
    stop: &StopSignal,
    reloads: Receiver<()>,
) -> eyre::Result<Outcome> {
    let seed: u64 = rand::random();
    let callers = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let exchange = TcpListener::bind(settings.exchange).await?;
    let socket = UdpSocket::bind(SocketAddr::new(settings.host(), settings.gossip_port)).await?;
    let (passive_samples, sample_requests) = SampleBuffer::new();
    let (view_changed, view_notifications) = async_channel::bounded(1);
    let (config_changed, config_notifications) = async_channel::bounded(1);
    let (quotas, quota_requests) = QuotaManager::new(settings.quota_slack);
    let (permits, permit_requests) = PermitManager::new();
    let (paths, path_wakeups) = PathTracker::new();
    let (credits, credit_wakeups) = CreditExchange::new();
    let (listing_fetches, pending_fetches) = async_channel::bounded(1);
    let stopping = StopState::new();
    log::info!(
        box_id = settings.box_id.as_str(), data_centre = settings.data_centre.as_str(),
        callers:% = settings.callers, seed, version = env!("CARGO_PKG_VERSION");
        "started"
    );
    if !settings.mechanisms.is_complete() {
        log::warn!(without:% = settings.mechanisms; "parts-of-the-pick-off");
    }
    let policies = PolicySet::compile()?;
    let handles = TaskHandles {
        quotas,
        permits,
        paths,
        passive_samples,
        credits,
        view_changed,
        config_changed,
    };
    let context = BoxContext::new(settings, port, policies, stopping, handles, seed);
    let gossip = Gossip::new(Arc::clone(&context), socket, seed, listing_fetches);
    let reader = ConfigReader::new(Arc::clone(&context), Arc::clone(&gossip));
    let store =
        StoreSync::new(Arc::clone(&context), Arc::clone(&gossip), Arc::clone(&reader), seed);
    let config = ConfigSync::new(Arc::clone(&context), Arc::clone(&gossip), reader, seed);
    let tasks = [
        task::spawn(serve_readiness(readiness, Arc::clone(&context))),
        task::spawn(serve_peers(exchange, Arc::clone(&context))),
        task::spawn(Arc::clone(&gossip).receive()),
        task::spawn(Arc::clone(&gossip).run_heartbeats()),
        task::spawn(Arc::clone(&gossip).run_reports(sample_requests)),
        task::spawn(request_credits(Arc::clone(&context), Arc::clone(&gossip), credit_wakeups)),
        task::spawn(watch_paths(Arc::clone(&context), Arc::clone(&gossip), path_wakeups)),
        task::spawn(fetch_listings(Arc::clone(&context), pending_fetches)),
        task::spawn(QuotaManager::run(Arc::clone(&context), Arc::clone(&gossip), quota_requests)),
        task::spawn(PermitManager::run(Arc::clone(&gossip), permit_requests)),
        task::spawn(store.run(view_notifications)),
        task::spawn(config.run(config_notifications)),
        task::spawn(log_reloads(reloads)),
        task::spawn(Arc::clone(&context.waiting).run_guard()),
        task::spawn(accept_callers(callers, Arc::clone(&context))),
    ];
    stop.wait().await;
    let complete = drain_connections(&context).await;
    gossip.broadcast_stopping().await;
    log::info!(whole = complete, open = context.stopping.open_connections(); "stopped");
    for task in tasks {
        task.cancel().await;
    }
    Ok(if complete { Outcome::Done } else { Outcome::CheckFailed })
}

/// Serves the open connections and new ones, and returns when no connection is left or the stop
/// time is over. Returns whether all requests were completed.
async fn drain_connections(context: &BoxContext) -> bool {
    let stopping = &context.stopping;
    let schedule = StopSchedule::new(context.settings.stop_time);
    stopping.begin(schedule, context.clock_sample());
    context.waiting.close();
    log::info!(
        open = stopping.open_connections(), busy = stopping.busy_requests(),
        refuses_from_ms = millis(schedule.refuse_from), ends_requests_ms = millis(schedule.answer_by),
        ends_ms = millis(schedule.end);
        "stopping"
    );
    if !wait_drained(context, schedule.idle_close).await {
        log::info!(open = stopping.open_connections(), after_ms = stop_millis(context); "closing-idle");
        stopping.close_idle();
        if !wait_drained(context, schedule.answer_by).await {
            end_requests(context).await;
        }
    }
    stopping.busy_requests() == 0
}

/// Waits until no connection is left or the stop has lasted for `until`. Returns whether none is left.
async fn wait_drained(context: &BoxContext, until: Duration) -> bool {
    loop {
        let elapsed = context.stop_elapsed().unwrap_or_default();
        if elapsed >= BALANCER_DRAIN_TIME && context.stopping.open_connections() == 0 {
            return true;
        }
        if elapsed >= until {
            return false;
        }
        task::sleep(STOP_CHECK_PERIOD.min(until - elapsed)).await;
    }
}

/// Has all open requests answered, and gives the answers time to reach their callers. They get this time however late
/// the task wakes up: without it their connections would close with no answer.
async fn end_requests(context: &BoxContext) {
    let stopping = &context.stopping;
    log::info!(busy = stopping.busy_requests(), after_ms = stop_millis(context); "ending-requests");
    stopping.end_requests();
    let ended_at = Instant::now();
    while stopping.open_connections() > 0 && ended_at.elapsed() < LAST_ANSWER_TIME {
        task::sleep(LAST_ANSWER_CHECK_PERIOD).await;
    }
}

fn stop_millis(context: &BoxContext) -> u64 {
    context.stop_elapsed().map_or(0, millis)
}

async fn serve_readiness(listener: TcpListener, context: Arc<BoxContext>) {
    serve(listener, ServerSettings::default(), move |request| {
        let context = Arc::clone(&context);
        async move {
            let path = request.incoming.request.url().path().to_string();
            if path == METRICS_PATH {
                return text_response(200, &render_metrics());
            }
            if path != context.settings.readiness_path {
                return text_response(404, "no such end point");
            }
            if context.is_ready() {
                text_response(200, "ready")
            } else {
                text_response(503, "not ready")
            }
        }
    })
    .await;
}

/// Logs reload signals, which have no effect: settings are only read at start-up.
async fn log_reloads(reloads: Receiver<()>) {
    while reloads.recv().await.is_ok() {
        log::info!(outcome = "settings are only read at start-up; reload ignored"; "reload");
    }
}
