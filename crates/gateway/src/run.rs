//! Starts a box, and shuts the box down without interrupting requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::task;
use wingbridge_process::{Outcome, StopSignal};

use crate::config_sync::ConfigReader;
use crate::context::{BoxContext, TaskHandles, millis};
use crate::duties::{DutyWakeups, start_duties};
use crate::gossip::Gossip;
use crate::listeners::OpenAddresses;
use crate::passive_samples::SampleBuffer;
use crate::paths::PathTracker;
use crate::permit_manager::PermitManager;
use crate::policies::PolicySet;
use crate::ports::EnvironmentPort;
use crate::quota_manager::QuotaManager;
use crate::settings::GatewaySettings;
use crate::steering::credits::CreditExchange;
use crate::stop_schedule::{BALANCER_DRAIN_TIME, LAST_ANSWER_TIME, StopSchedule};
use crate::stopping::StopState;

/// Time between two checks for open connections during a planned stop.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two such checks while the last answers are written.
const LAST_ANSWER_CHECK_PERIOD: Duration = Duration::from_millis(10);

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
    let Some(OpenAddresses { listeners, gossip: socket }) =
        OpenAddresses::open(&settings, stop).await?
    else {
        return Ok(Outcome::Done);
    };
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
    let tasks = start_duties(
        &context,
        &gossip,
        &reader,
        listeners,
        DutyWakeups {
            views: view_notifications,
            configs: config_notifications,
            samples: sample_requests,
            quotas: quota_requests,
            permits: permit_requests,
            paths: path_wakeups,
            credits: credit_wakeups,
            listings: pending_fetches,
            reloads,
        },
        seed,
    );
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
    // Nothing is accepted between the last look at open connections and the end of the process.
    stopping.close_idle();
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
