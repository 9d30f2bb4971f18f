//! The few targets that a data centre keeps to where a service has many more than its requests need.
//!
//! Load pattern: six thousand targets get a thousand requests a second, one in six seconds each. Spread over
//! all of them nobody ever knows anything of a target: a spell of failures is over before a second request
//! comes. So the boxes of a data centre keep to as many of its targets as their requests need with room to
//! spare, the same in each box without any word between them: the first by their keys, which are hashes. What
//! one box sees of a target then serves the next request of another one, and one that fails is left out
//! for the next by its key.

use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::mechanism::Mechanism;
use crate::steer::messages::SteerRequest;
use crate::steer::pool::TargetPool;
use crate::steer::record::TargetRecord;
use crate::steer::trial::TrialContext;
use crate::time::TimePoint;

/// Targets that are kept to have this many times the slots that requests of the service take on average:
/// requests come unevenly, and boxes know each other's by hearsay.
const ROOM: f64 = 6.0;
/// No fewer targets are kept to: so many lose little by one that fails.
const LEAST: usize = 40;
/// Where the requests of this time are more than so many times the targets, they go to all of them: spread
/// evenly they reach seven in ten within it, which operators ask for while many requests fail.
const REACH_TIME: Duration = Duration::from_secs(2);
const REACH: f64 = 1.2;
/// A target that failed is left out of those for this long. There are others, and one that has failed fails
/// again sooner than one of which nothing is known.
const LEFT_OUT_FOR: Duration = Duration::from_secs(30);

/// The targets that a request may go to of those that are kept to; `None` where the data centre has no more
/// than its requests need, or where each of them has requests waiting.
pub(crate) fn target_subset<'p>(
    now: TimePoint,
    pool: &'p TargetPool,
    request: &SteerRequest<'_>,
    place: &TrialContext<'_>,
) -> Option<Vec<(TargetKey, &'p TargetRecord)>> {
    if !place.mechanisms.has(Mechanism::TargetSubset) {
        return None;
    }
    let rate = pool.request_rate(now) * place.local_boxes as f64;
    let listed = pool.target_count_in(place.data_centre) as f64;
    let reaches_all = rate * REACH_TIME.as_secs_f64() >= listed * REACH;
    if reaches_all {
        return None;
    }
    let needed = needed_targets(pool, rate);
    let is_kept = |(_, record): &(TargetKey, &TargetRecord)| {
        *record.setup.data_centre == *place.data_centre
            && record.has_not_failed_for(now, LEFT_OUT_FOR)
    };
    let open = pool.eligible_targets(now, request.tried, request.homes);
    let kept: Vec<_> = open.filter(is_kept).take(needed).collect();
    let usual = pool.typical_time();
    let has_room = |(_, record): &(TargetKey, &TargetRecord)| record.wait(now, usual).is_zero();
    (kept.len() >= needed && kept.iter().any(has_room)).then_some(kept)
}

/// How many targets `rate` requests a second need.
fn needed_targets(pool: &TargetPool, rate: f64) -> usize {
    let slots = f64::from(pool.typical_slots().max(1));
    let needed = rate * pool.typical_time().as_secs_f64() / slots * ROOM;
    (needed.ceil() as usize).max(LEAST)
}
