//! Starts the tasks of the proxy, and stops them without interrupting requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use futures::future::{Either, select};
use wingbridge_decide::{BoxCore, BoxEvent, EvidenceSource, HealthChart};
use wingbridge_http::MessageLimits;
use wingbridge_http::server::{ServerSettings, serve};
use wingbridge_process::stop::stop_channel;
use wingbridge_process::{Outcome, ProcessClock, StopSignal, TimerService};
use wingbridge_trace::EventTrace;

use crate::admin::serve_admin;
use crate::agent_link::{AGENT_QUEUE_LENGTH, AgentLink};
use crate::context::ProxyContext;
use crate::decision::DecisionLoop;
use crate::inputs::DecisionInput;
use crate::lifecycle::{Lifecycle, ReadyFlag};
use crate::serve::answer_caller;
use crate::settings::ProxySettings;

/// Maximum number of inputs that are queued for the decision thread.
const DECISION_QUEUE_LENGTH: usize = 8192;
/// Period of the core's timer, which is the accuracy of deadlines.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// Time between two reports of the proxy's state to the agent.
const STATE_PERIOD: Duration = Duration::from_secs(1);
/// Time between two removals of idle connections from the pool.
const POOL_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of trace events that a proxy keeps.
const MAX_TRACE_EVENTS: usize = 2000;

/// Addresses on which a started proxy listens; the operating system may have chosen the ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProxyAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer.
    pub admin: SocketAddr,
}

/// Runs a proxy until `stop` is signalled, and then until the requests in progress have ended;
/// calls `started` with its addresses once it listens.
///
/// # Errors
/// Fails if an address can't be bound, the health chart is faulty, a thread can't be started, or a
/// thread has panicked.
pub fn run(
    settings: &ProxySettings,
    stop: &StopSignal,
    started: impl FnOnce(ProxyAddresses),
) -> eyre::Result<Outcome> {
    task::block_on(run_tasks(settings, stop, started))
}

async fn run_tasks(
    settings: &ProxySettings,
    stop: &StopSignal,
    started: impl FnOnce(ProxyAddresses),
) -> eyre::Result<Outcome> {
    let chart = HealthChart::load()?;
    let callers = TcpListener::bind(settings.listen).await?;
    let admin = TcpListener::bind(settings.admin_listen).await?;
    let addresses = ProxyAddresses { callers: callers.local_addr()?, admin: admin.local_addr()? };
    let clock = ProcessClock::start();
    let trace = EventTrace::new(&settings.box_id, "proxy", MAX_TRACE_EVENTS);
    let ready = ReadyFlag::default();
    let (decisions, inputs) = async_channel::bounded(DECISION_QUEUE_LENGTH);
    let (to_agent, outgoing) = async_channel::bounded(AGENT_QUEUE_LENGTH);
    let context =
        ProxyContext::new(settings.clone(), clock, trace.clone(), decisions.clone(), ready.clone());
    let core = BoxCore::new(evidence_source(settings), chart, clock.micros());
    let decision_loop = DecisionLoop::new(Arc::clone(&context), core, to_agent.clone());
    let decision = thread::Builder::new()
        .name("decisions".into())
        .spawn(move || decision_loop.run(&inputs))?;
    let (caught_up, complete) = async_channel::bounded::<()>(1);
    let (link_handle, link_stop) = stop_channel();
    let link = AgentLink {
        context: Arc::clone(&context),
        outgoing,
        to_agent: to_agent.clone(),
        caught_up,
        stop: link_stop,
    };
    let link = thread::Builder::new()
        .name("agent link".into())
        .spawn(move || task::block_on(link.run()))?;
    let timer = TimerService::start()?;
    timer.subscribe(TICK_PERIOD, decisions.clone(), DecisionInput::Event(BoxEvent::TimerFired));
    timer.subscribe(STATE_PERIOD, decisions.clone(), DecisionInput::StateDue);
    let (pool_ticks, pool_due) = async_channel::bounded(1);
    timer.subscribe(POOL_PERIOD, pool_ticks, ());
    let background_tasks = [
        task::spawn(serve_admin(admin, Arc::clone(&context))),
        task::spawn(close_idle(Arc::clone(&context), pool_due)),
    ];
    let (drain_handle, drained) = async_channel::bounded(1);
    let serving = {
        let context = Arc::clone(&context);
        let server = server_settings(settings, drained);
        task::spawn(serve(callers, server, move |request| {
            answer_caller(Arc::clone(&context), request)
        }))
    };
    started(addresses);
    log::info!(callers:% = addresses.callers, admin:% = addresses.admin; "proxy-started");
    let lifecycle = Lifecycle::new(ready, trace);
    wait_for_either(complete.recv(), stop.wait()).await;
    let lifecycle = if stop.is_stopped() {
        lifecycle.abort_start()
    } else {
        let lifecycle = lifecycle.start_serving();
        stop.wait().await;
        let lifecycle = lifecycle.start_draining();
        task::sleep(settings.leave_time).await;
        lifecycle
    };
    drain_handle.close();
    let drained = async_std::future::timeout(settings.drain_time, serving).await;
    lifecycle.finish(drained.is_ok());
    log::info!(whole = drained.is_ok(); "proxy-drained");
    for task in background_tasks {
        task.cancel().await;
    }
    flush_reports(&to_agent).await;
    link_handle.stop();
    decisions.close();
    let panicked = [decision.join().is_err(), link.join().is_err()];
    eyre::ensure!(!panicked.contains(&true), "a thread of the proxy panicked");
    Ok(if drained.is_ok() { Outcome::Done } else { Outcome::CheckFailed })
}

fn evidence_source(settings: &ProxySettings) -> EvidenceSource {
    EvidenceSource {
        box_id: settings.box_id.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
    }
}

fn server_settings(
    settings: &ProxySettings,
    drained: async_channel::Receiver<std::convert::Infallible>,
) -> ServerSettings {
    ServerSettings {
        limits: MessageLimits {
            max_body_bytes: settings.max_request_bytes,
            max_chunked_body_bytes: settings.max_request_bytes,
            ..MessageLimits::default()
        },
        request_timeout: settings.request_time,
        max_connections: settings.max_connections,
        drain: Some(drained),
        ..ServerSettings::default()
    }
}

async fn close_idle(context: Arc<ProxyContext>, due: async_channel::Receiver<()>) {
    while due.recv().await.is_ok() {
        context.pool.close_idle();
    }
}

/// Waits a short time for the last reports and events to reach the agent.
async fn flush_reports(to_agent: &async_channel::Sender<wingbridge_wire::FrameBody>) {
    const FLUSH_CHECK_PERIOD: Duration = Duration::from_millis(10);
    const MAX_FLUSH_CHECKS: usize = 20;
    for _ in 0..MAX_FLUSH_CHECKS {
        if to_agent.is_empty() {
            break;
        }
        task::sleep(FLUSH_CHECK_PERIOD).await;
    }
}

async fn wait_for_either<A, B>(one: impl Future<Output = A>, other: impl Future<Output = B>) {
    match select(std::pin::pin!(one), std::pin::pin!(other)).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}
