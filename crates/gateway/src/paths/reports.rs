//! Tells peers of failures of attempts that came to no contact, once this box has shown that it reaches targets.

use std::time::Duration;

use wingbridge_decide::{Name, TargetKey, TimePoint};

use crate::context::{BoxContext, lock, millis};
use crate::passive_samples::ContactlessFailure;

/// A failure that peers have not been told.
#[derive(Debug)]
pub(crate) struct UntoldFailure {
    pub(crate) target: TargetKey,
    /// Id of the target, for the log.
    pub(crate) id: Name,
    pub(crate) service: Name,
    pub(crate) failure: ContactlessFailure,
}

/// Tells peers of the failure of an attempt that began at `started`, now or with the next contact of this box.
pub(crate) fn report_failure(
    context: &BoxContext,
    now: TimePoint,
    started: TimePoint,
    untold: UntoldFailure,
) {
    let target = untold.target;
    let offered = lock(&context.paths.held).offer(now, started, untold);
    match offered {
        Some(untold) => tell(context, Duration::ZERO, &untold),
        // Peers still hear that the attempt is open no more.
        None => context.passive_samples.record_open_attempts(target),
    }
}

/// Tells peers of the failures that were held back until now.
pub(crate) fn report_held(context: &BoxContext, held: &[(Duration, UntoldFailure)]) {
    held.iter().for_each(|(time, untold)| tell(context, *time, untold));
}

fn tell(context: &BoxContext, held: Duration, untold: &UntoldFailure) {
    let UntoldFailure { target, id, service, failure } = untold;
    log::info!(target:% = id, service:% = service, held_ms = millis(held); "failure-told");
    metrics::histogram!("wingbridge_failures_held_seconds").record(held.as_secs_f64());
    context.passive_samples.record_failure(*target, *failure);
}
