//! What the box adds to the decisions of the steering core: the exchange of retry credit, and log lines of what it knew
//! when it left targets idle, or allowed and refused retries.

pub(crate) mod credits;

use crate::context::{BoxContext, millis};

/// Number of heartbeat rounds for each round of lines about idle targets.
const ROUNDS_PER_IDLE_LINE: u32 = 2;
/// Maximum number of services in one round of lines.
const MAX_SERVICES: usize = 4;

/// Writes the lines of one heartbeat round.
pub(crate) fn log_steering(context: &BoxContext, round: u32) {
    log_retry_budgets(context);
    if round.is_multiple_of(ROUNDS_PER_IDLE_LINE) {
        log_idle_targets(context);
    }
}

fn log_retry_budgets(context: &BoxContext) {
    let statuses = context.core().take_retry_status(context.now());
    for (service, status) in statuses.into_iter().take(MAX_SERVICES) {
        let (decisions, own, peers) = (status.decisions, status.own, status.peers);
        metrics::counter!("wingbridge_retries_refused").increment(u64::from(decisions.refused));
        log::info!(
            service:% = service, allowed = decisions.allowed, refused = decisions.refused,
            lacking = decisions.lacking,
            own_requests = own.requests, own_retries = own.retries,
            unresponsive_retries = own.unresponsive_retries, peer_requests = peers.requests,
            peer_retries = peers.retries, reporting = status.reporting,
            oldest_report_ms = millis(status.oldest_report),
            lent:% = format_args!("{:.2}", status.lent),
            borrowed:% = format_args!("{:.2}", status.borrowed);
            "retry-budget"
        );
    }
}

fn log_idle_targets(context: &BoxContext) {
    let statuses = context.core().idle_status(context.now(), MAX_SERVICES);
    for status in statuses {
        log::info!(
            service:% = status.service, eligible = status.eligible, idle = status.idle,
            failed = status.failed, due = status.due,
            failure_share:% = format_args!("{:.3}", status.failure_share),
            unserved_share:% = format_args!("{:.3}", status.unserved_share);
            "targets-idle"
        );
    }
}
