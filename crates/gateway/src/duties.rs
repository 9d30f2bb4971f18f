//! Background tasks that a box can't do without, started again if they end by a panic.
//!
//! What a duty reads comes from outside. If it ended for good, the box would serve on by what it knew last, and no
//! reader of the store would take its place, since each one meets the same data.

use std::any::Any;
use std::net::IpAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use futures::FutureExt;
use wingbridge_http::server::{ServerSettings, serve, text_response};
use wingbridge_process::metrics::render_metrics;
use wingbridge_wire::limits::PermitMessage;

use crate::caller_connections::accept_callers;
use crate::config_sync::{ConfigReader, ConfigSync};
use crate::context::BoxContext;
use crate::gossip::{Gossip, fetch_listings};
use crate::listeners::Listeners;
use crate::passive_samples::Urgency;
use crate::paths::watch_paths;
use crate::permit_manager::PermitManager;
use crate::quota_manager::QuotaManager;
use crate::steering::credits::request_credits;
use crate::store_sync::StoreSync;
use crate::view_exchange::serve_peers;

const METRICS_PATH: &str = "/metrics";
/// Pause before a duty that has panicked starts again: long enough that one which panics each time costs little.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// The channels that wake the duties of a box.
pub(crate) struct DutyWakeups {
    pub(crate) views: Receiver<()>,
    pub(crate) configs: Receiver<()>,
    pub(crate) samples: Receiver<Urgency>,
    pub(crate) quotas: Receiver<()>,
    pub(crate) permits: Receiver<(IpAddr, PermitMessage)>,
    pub(crate) paths: Receiver<()>,
    pub(crate) credits: Receiver<()>,
    pub(crate) listings: Receiver<IpAddr>,
    pub(crate) reloads: Receiver<()>,
}

/// Starts the background tasks of a box.
pub(crate) fn start_duties(
    context: &Arc<BoxContext>,
    gossip: &Arc<Gossip>,
    reader: &Arc<ConfigReader>,
    listeners: Listeners,
    wakeups: DutyWakeups,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    /// Returns a closure that makes a duty of clones of what it needs, as often as it starts.
    macro_rules! duty {
        ([$($part:ident),+] $work:expr) => {{
            $(let $part = $part.clone();)+
            move || {
                $(let $part = $part.clone();)+
                $work
            }
        }};
    }
    let DutyWakeups { views, configs, samples, quotas, permits, paths, credits, listings, reloads } =
        wakeups;
    let callers = Arc::new(listeners.callers);
    let exchange = Arc::new(listeners.exchange);
    vec![
        task::spawn(serve_readiness(listeners.readiness, Arc::clone(context))),
        task::spawn(log_reloads(reloads)),
        spawn_duty("peers", duty!([exchange, context] serve_peers(exchange, context))),
        spawn_duty("datagrams", duty!([gossip] gossip.receive())),
        spawn_duty("heartbeats", duty!([gossip] gossip.run_heartbeats())),
        spawn_duty("reports", duty!([gossip, samples] gossip.run_reports(samples))),
        spawn_duty(
            "credits",
            duty!([context, gossip, credits] request_credits(context, gossip, credits)),
        ),
        spawn_duty("paths", duty!([context, gossip, paths] watch_paths(context, gossip, paths))),
        spawn_duty("listings", duty!([context, listings] fetch_listings(context, listings))),
        spawn_duty(
            "quotas",
            duty!([context, gossip, quotas] QuotaManager::run(context, gossip, quotas)),
        ),
        spawn_duty("permits", duty!([gossip, permits] PermitManager::run(gossip, permits))),
        spawn_duty(
            "store",
            duty!([context, gossip, reader, views] {
                StoreSync::new(context, gossip, reader, seed).run(views)
            }),
        ),
        spawn_duty(
            "configuration",
            duty!([context, gossip, reader, configs] {
                ConfigSync::new(context, gossip, reader, seed).run(configs)
            }),
        ),
        spawn_duty("queues", duty!([context] Arc::clone(&context.waiting).run_guard())),
        spawn_duty("callers", duty!([callers, context] accept_callers(callers, context))),
    ]
}

/// Runs the duty that `start` creates, and another one each time that it panics. What it shares is locked by
/// [`crate::context::lock`], which goes on after a panic; what it owns begins anew.
fn spawn_duty<F>(duty: &'static str, start: impl Fn() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    task::spawn(async move {
        while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
            log::error!(duty, reason = panic_text(&*panic); "duty-failed");
            metrics::counter!("wingbridge_duty_failures", "duty" => duty).increment(1);
            task::sleep(RESTART_PAUSE).await;
        }
    })
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
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
