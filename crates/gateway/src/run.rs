//! Starts a box's duties, and ends them without cutting a request.

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
use crate::config_duty::{ConfigDuty, ConfigReader};
use crate::context::{BoxContext, DutyHandles, millis};
use crate::gossip::{Gossip, fetch_listings};
use crate::passive_samples::SampleBuffer;
use crate::permit_manager::PermitManager;
use crate::policies::PolicySet;
use crate::ports::EnvironmentPort;
use crate::quota_manager::QuotaManager;
use crate::settings::GatewaySettings;
use crate::stopping::StopState;
use crate::store_sync::StoreSync;
use crate::view_exchange::serve_peers;

/// The balancer needs this long after "not ready" to send no more callers: two questions,
/// a second apart, and some.
const BALANCER_TIME: Duration = Duration::from_millis(3000);
/// Connections that rest are closed this long before the end of a planned stop.
const IDLE_CLOSE_BEFORE: Duration = Duration::from_millis(900);
/// The process ends this long before the environment would kill it.
const END_BEFORE: Duration = Duration::from_millis(150);
/// Time between two looks at what is still open during a planned stop.
const STOP_STEP: Duration = Duration::from_millis(50);
const METRICS_PATH: &str = "/metrics";

/// Runs a box until `stop`, then until what is in flight has ended or the time is over.
///
/// # Errors
/// An address can't be listened on, or a shipped policy is faulty.
pub fn run(
    settings: GatewaySettings,
    port: Arc<dyn EnvironmentPort>,
    stop: &StopSignal,
    reloads: Receiver<()>,
) -> eyre::Result<Outcome> {
    task::block_on(run_duties(settings, port, stop, reloads))
}

async fn run_duties(
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
    let (view_changed, notices) = async_channel::bounded(1);
    let (config_changed, heard) = async_channel::bounded(1);
    let (quotas, quota_requests) = QuotaManager::new(settings.quota_slack);
    let (permits, permit_requests) = PermitManager::new();
    let (fetching, named) = async_channel::bounded(1);
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
    let duty_handles =
        DutyHandles { quotas, permits, passive_samples, view_changed, config_changed };
    let context = BoxContext::new(settings, port, policies, stopping, duty_handles, seed);
    let gossip = Gossip::new(Arc::clone(&context), socket, seed, fetching);
    let reader = ConfigReader::new(Arc::clone(&context), Arc::clone(&gossip));
    let store =
        StoreSync::new(Arc::clone(&context), Arc::clone(&gossip), Arc::clone(&reader), seed);
    let config = ConfigDuty::new(Arc::clone(&context), Arc::clone(&gossip), reader, seed);
    let duties = [
        task::spawn(serve_readiness(readiness, Arc::clone(&context))),
        task::spawn(serve_peers(exchange, Arc::clone(&context))),
        task::spawn(Arc::clone(&gossip).receive()),
        task::spawn(Arc::clone(&gossip).run_heartbeats()),
        task::spawn(Arc::clone(&gossip).run_reports(sample_requests)),
        task::spawn(fetch_listings(Arc::clone(&context), named)),
        task::spawn(QuotaManager::run(Arc::clone(&context), Arc::clone(&gossip), quota_requests)),
        task::spawn(PermitManager::run(Arc::clone(&gossip), permit_requests)),
        task::spawn(store.run(notices)),
        task::spawn(config.run(heard)),
        task::spawn(note_reloads(reloads)),
        task::spawn(accept_callers(callers, Arc::clone(&context))),
    ];
    stop.wait().await;
    let whole = wind_down(&context).await;
    gossip.broadcast_stopping().await;
    log::info!(whole, open = context.stopping.open_connections(); "stopped");
    for duty in duties {
        duty.cancel().await;
    }
    Ok(if whole { Outcome::Done } else { Outcome::CheckFailed })
}

/// Serves what is open and what still comes, and returns when nothing is left or the
/// time is over; true if nothing is cut.
async fn wind_down(context: &BoxContext) -> bool {
    let began = Instant::now();
    let stopping = &context.stopping;
    let stop_time = context.settings.stop_time;
    let idle_close = stop_time.saturating_sub(IDLE_CLOSE_BEFORE);
    let end = stop_time.saturating_sub(END_BEFORE);
    stopping.begin(began + stop_time / 2, began + end);
    log::info!(open = stopping.open_connections(), busy = stopping.busy_requests(); "stopping");
    while began.elapsed() < end {
        if began.elapsed() >= BALANCER_TIME && stopping.open_connections() == 0 {
            break;
        }
        if began.elapsed() >= idle_close && !stopping.is_closing() {
            log::info!(open = stopping.open_connections(), after_ms = millis(began.elapsed()); "closing-idle");
            stopping.close_idle();
        }
        task::sleep(STOP_STEP).await;
    }
    stopping.busy_requests() == 0
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

/// Settings are read at the start alone; a reload is noted and changes nothing.
async fn note_reloads(reloads: Receiver<()>) {
    while reloads.recv().await.is_ok() {
        log::info!(outcome = "settings are read at the start; nothing changes"; "reload");
    }
}
