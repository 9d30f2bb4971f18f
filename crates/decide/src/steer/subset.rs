//! The target subset that a data centre uses where a service has many more targets than its requests need.
//!
//! With six thousand targets and a thousand requests per second, each target gets one request in six seconds.
//! Spread over all of them, the boxes never have current data about any target: a failure episode is over
//! before a second request reaches the target. So the boxes of a data centre use only as many of its targets
//! as their requests need, with a reserve. Each box takes the first eligible targets in the order of their
//! keys. The keys are hashes and the same in each box, so all boxes choose the same targets without
//! communication. What one box observes of a target then serves the next request of another box, and a
//! target that fails is replaced by the next one in the order.

use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::mechanism::Mechanism;
use crate::steer::messages::SteerRequest;
use crate::steer::pool::TargetPool;
use crate::steer::record::TargetRecord;
use crate::steer::trial::TrialContext;
use crate::time::TimePoint;

/// Ratio of the subset's slots to the slots that requests of the service take on average. The reserve is for
/// bursts of requests, and for the error of a box's estimate of the other boxes' requests.
const SLOT_RESERVE: f64 = 6.0;
/// Minimum size of the subset. With this many targets, the failure of one affects few requests.
const MIN_SUBSET_SIZE: usize = 40;
/// Period over which [`MIN_REQUESTS_PER_TARGET`] counts. Operators require that in any period of this length
/// with many failures a minimum share of the healthy targets gets requests.
const REACH_PERIOD: Duration = Duration::from_secs(2);
/// Minimum number of requests for each target within [`REACH_PERIOD`] at which the service uses all targets.
/// Spread evenly, this many requests reach 70 % of the targets in that period.
const MIN_REQUESTS_PER_TARGET: f64 = 1.2;
/// Time for which a target that failed is excluded from the subset. Other targets are available, and a target
/// that has failed is more likely to fail again than one without any record.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(30);

/// Returns the targets of the subset that are eligible for the request. Returns `None` if the data centre has
/// no more targets than its requests need, or if each target of the subset has requests waiting; then all
/// targets are candidates.
pub(crate) fn target_subset<'p>(
    now: TimePoint,
    pool: &'p TargetPool,
    request: &SteerRequest<'_>,
    context: &TrialContext<'_>,
) -> Option<Vec<(TargetKey, &'p TargetRecord)>> {
    if !context.mechanisms.has(Mechanism::TargetSubset) {
        return None;
    }
    let rate = pool.request_rate(now) * context.local_boxes as f64;
    let listed = pool.target_count_in(context.data_centre) as f64;
    let reaches_all = rate * REACH_PERIOD.as_secs_f64() >= listed * MIN_REQUESTS_PER_TARGET;
    if reaches_all {
        return None;
    }
    let needed = needed_targets(pool, rate);
    let in_subset = |(_, record): &(TargetKey, &TargetRecord)| {
        *record.setup.data_centre == *context.data_centre
            && record.has_not_failed_for(now, FAILURE_EXCLUSION)
    };
    let eligible = pool.eligible_targets(now, request.tried, request.homes);
    let subset: Vec<_> = eligible.filter(in_subset).take(needed).collect();
    let typical = pool.typical_time();
    let has_free_slot =
        |(_, record): &(TargetKey, &TargetRecord)| record.wait(now, typical).is_zero();
    (subset.len() >= needed && subset.iter().any(has_free_slot)).then_some(subset)
}

/// Returns the number of targets that `rate` requests per second need.
fn needed_targets(pool: &TargetPool, rate: f64) -> usize {
    let slots = f64::from(pool.typical_slots().max(1));
    let needed = rate * pool.typical_time().as_secs_f64() / slots * SLOT_RESERVE;
    (needed.ceil() as usize).max(MIN_SUBSET_SIZE)
}
