//! Trials: requests that go to a target because it had no attempt for a long time.
//!
//! A target that is avoided gives no evidence, so that without trials a healthy one would be avoided
//! forever. But each trial of a suspect puts a request at risk, so there are no more of them than needed.

use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::mechanism::{Mechanism, MechanismSet};
use crate::steer::messages::{HomeRegions, SteerRequest};
use crate::steer::peer_subset::reporting_boxes;
use crate::steer::pool::TargetPool;
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// Idle time after which a target that failed gets a trial. The users require a minimum share of healthy targets
/// that get requests, in every 2 s in which more than a tenth of requests are not served. A target that failed counts
/// as healthy again 2 s later, so it must be tried within 4 s. This holds also while few requests fail: nobody knows
/// in which second a tenth of them will begin to, and the seconds before it count.
const FAILED_TRIAL_AFTER: Duration = Duration::from_millis(3200);
/// Idle time after which a target that did not fail gets a trial, while many requests of its service fail or if the
/// request can be sent again: a failed trial then costs a retry, but the request is not lost. It leaves time for a
/// request within each period of 2 s.
const IDLE_TRIAL_AFTER: Duration = Duration::from_millis(1000);
/// Idle time after which a target that has recovered gets a trial by a request that may run only once, while few
/// requests of the service fail. Its risk is still above that of others, so that it is seldom chosen.
const RECOVERED_TRIAL_AFTER: Duration = Duration::from_millis(1700);
/// Time after a failure within which [`RECOVERED_TRIAL_AFTER`] applies.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Idle time after which any other target that did not fail gets a trial under these conditions. Such targets are
/// as likely to be chosen as others. Targets that joined are tried without this delay.
const RELAXED_IDLE_TRIAL_AFTER: Duration = Duration::from_millis(3000);
/// Failure share below which few requests of a service fail. It is less than the tenth above which the
/// users' required share of targets applies.
const MAX_LOW_FAILURE_SHARE: f64 = 0.08;
/// Mean number of trials a second that all boxes together make of each target that is due.
const TRIALS_PER_S: f64 = 4.0;
/// Bound on the probability that a request becomes a trial of one target, so that at a service with few
/// requests most of them are not trials.
const MAX_TRIAL_CHANCE: f64 = 0.3;
/// Factor by which boxes of other data centres wait longer before a trial. They receive reports of few
/// successes, so that nearly every remote target appears to be due: boxes of other data centres made 114
/// of the 397 trials of orders in a minute, and 42 of these were lost. While few requests fail they try
/// only remote targets that joined, since the boxes in the target's own data centre try the others.
const REMOTE_TRIAL_FACTOR: f64 = 6.0;

/// The situation of the box, as far as trials depend on it.
pub(crate) struct TrialContext<'a> {
    pub(crate) data_centre: &'a str,
    /// Number of boxes in the data centre, this one included.
    pub(crate) local_boxes: usize,
    /// Number of boxes in all data centres.
    pub(crate) boxes: usize,
    pub(crate) mechanisms: &'a MechanismSet,
    /// Whether only targets that joined and got no attempt yet are tried. It is set while the service has
    /// many more targets than its requests need, so that most of them are idle.
    pub(crate) only_unattempted: bool,
}

/// Decides whether the request becomes a trial, and of which target. `random` is a random number from 0
/// to 1.
///
/// Each box decides independently, such that the boxes of a target's data centre together make about
/// [`TRIALS_PER_S`] trials of each target that is due. Boxes of other data centres begin later, in case
/// the local boxes make none, and never use a request with a large answer.
pub(crate) fn sample_trial(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    context: &TrialContext<'_>,
    random: f64,
) -> Option<TargetKey> {
    if !request.tried.is_empty() || !context.mechanisms.has(Mechanism::Trials) {
        // A second attempt is often the last one, so it is never a trial.
        return None;
    }
    let due = due_targets(now, pool, request, context);
    let chance = |due: &DueTarget| {
        let boxes = if due.remote { context.boxes } else { context.local_boxes };
        let rate = pool.request_rate(now).max(0.1) * boxes as f64;
        (trials_per_s(context) / rate).min(MAX_TRIAL_CHANCE)
    };
    let sum: f64 = due.iter().map(chance).sum();
    // If more targets are due than requests arrive, each box samples among all of them. When each box took
    // the first targets by key, the boxes of a data centre tried the same few targets at the same moment.
    let mut remaining = random * sum.max(1.0);
    for due in &due {
        remaining -= chance(due);
        if remaining < 0.0 {
            return Some(due.key);
        }
    }
    None
}

/// Returns the rate of trials of each target that is due. Where trials are reported only to some of the
/// boxes, the others continue to make trials. The rate is lowered in proportion, so that several boxes
/// don't try a stalled target at once.
fn trials_per_s(context: &TrialContext<'_>) -> f64 {
    let local = context.local_boxes.max(1);
    TRIALS_PER_S * reporting_boxes(local) as f64 / local as f64
}

/// Returns the number of targets that are due for a trial by a request that may run only once.
pub(crate) fn due_count(now: TimePoint, pool: &TargetPool, context: &TrialContext<'_>) -> usize {
    let request = SteerRequest {
        service: "",
        route: "",
        repeatable: false,
        large: false,
        body_bytes: 0,
        goal: Duration::ZERO,
        remaining: Duration::ZERO,
        tried: &[],
        homes: HomeRegions::Any,
    };
    due_targets(now, pool, &request, context).len()
}

/// A target whose idle time has reached the limit for a trial.
struct DueTarget {
    key: TargetKey,
    remote: bool,
}

/// Returns the targets that are due for a trial by the request.
fn due_targets(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    context: &TrialContext<'_>,
) -> Vec<DueTarget> {
    let few_fail = context.mechanisms.has(Mechanism::FewerTrials)
        && pool.failure_share(now) < MAX_LOW_FAILURE_SHARE
        && pool.unserved_share(now) < MAX_LOW_FAILURE_SHARE;
    let spared = few_fail && !request.repeatable;
    let in_use = pool.in_use_for(now);
    let mut due = Vec::new();
    for (key, record) in pool.eligible_targets(now, request.tried, request.homes) {
        let remote = *record.setup.data_centre != *context.data_centre;
        let left_to_others = remote && (request.large || (few_fail && !record.is_unattempted()));
        let skipped = context.only_unattempted && !record.is_unattempted();
        if skipped || left_to_others || !record.is_path_usable(now) {
            continue;
        }
        let factor = if remote { REMOTE_TRIAL_FACTOR } else { 1.0 };
        // All targets are idle while the service gets no requests, which is no evidence about any of
        // them.
        let idle = record.idle_time(now).min(in_use).div_f64(factor);
        if idle >= trial_after(now, record, spared) {
            due.push(DueTarget { key, remote });
        }
    }
    due
}

/// Returns the idle time after which a target gets a trial. `spared` states whether the request should not
/// be put at risk yet.
fn trial_after(now: TimePoint, record: &TargetRecord, spared: bool) -> Duration {
    if record.last_failed() {
        FAILED_TRIAL_AFTER
    } else if !spared || record.is_unattempted() {
        IDLE_TRIAL_AFTER
    } else if record.has_failed_within(now, RECOVERY_TIME) {
        RECOVERED_TRIAL_AFTER
    } else {
        RELAXED_IDLE_TRIAL_AFTER
    }
}
