//! Trials: requests that go to a target because nobody has tried it for long.
//!
//! A target that is avoided tells nothing, so that a sound one would stay out for good.
//! But each trial of a suspect is a request at risk, so there are no more than needed.

use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::listeners::heard_boxes;
use crate::steer::mechanism::{Mechanism, MechanismSet};
use crate::steer::messages::SteerRequest;
use crate::steer::pool::TargetPool;
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// A target that failed is tried again after this long, while many requests fail or where the
/// one that tries it can be sent again: then a trial costs a retry and no request. Source:
/// the users hold the share of sound targets that get requests to a floor in every 2 s in
/// which more than a tenth are not served; one that failed counts as sound again 2 s
/// later, so it must be tried within 4 s.
const FAILED_TRIAL_AFTER: Duration = Duration::from_millis(3200);
/// A target that did not fail and got nothing is tried after this long: within the same 2 s.
const IDLE_TRIAL_AFTER: Duration = Duration::from_millis(1000);
/// The same for a request that may run once only, while few fail, so that the floor does not
/// bind: often enough that a target that works again is found. One that joined is tried as
/// soon as ever. On 40 random fleets 38 in 1,000 orders were lost with the later trials and
/// 40 without.
const CALM_FAILED_TRIAL_AFTER: Duration = Duration::from_millis(6000);
const CALM_IDLE_TRIAL_AFTER: Duration = Duration::from_millis(3000);
/// Few requests of a service fail below this share. Source: less than the tenth from which
/// on the users' floor binds.
const CALM_BELOW: f64 = 0.08;
/// How many trials a second all boxes together make of a target that is due, on average.
const TRIALS_PER_S: f64 = 4.0;
/// A request becomes a trial of one target at most this often: a service with few
/// requests keeps most of them safe.
const TRIAL_CHANCE_MOST: f64 = 0.3;
/// Boxes of other data centres wait this many times as long before they try. They hear of
/// few successes there, so that nearly each target would seem due to them: 114 of 397 trials
/// of orders in a minute were theirs, and 42 of these were lost. While few requests fail they
/// try none but those that joined: the target's own data centre looks after it.
const AWAY_TRIAL_FACTOR: f64 = 6.0;

/// Where a box stands, as far as trials depend on it.
pub(crate) struct TrialContext<'a> {
    pub(crate) data_centre: &'a str,
    pub(crate) local_boxes: usize,
    pub(crate) boxes: usize,
    pub(crate) mechanisms: &'a MechanismSet,
    /// Whether there are so many targets that one is not tried for having rested: only those that joined are.
    pub(crate) only_fresh: bool,
}

/// A target that nobody has tried for long, if it is this request's turn to try it:
/// `drawn` is a number drawn for it, 0 to 1. Each box draws for itself, so that those
/// of the target's data centre together make about [`TRIALS_PER_S`] of each. Boxes
/// elsewhere step in later, where the target's own do not, and never with a large answer.
pub(crate) fn sample_trial(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    place: &TrialContext<'_>,
    drawn: f64,
) -> Option<TargetKey> {
    if !request.tried.is_empty() || !place.mechanisms.has(Mechanism::Trials) {
        // A second attempt is often the last one.
        return None;
    }
    let due = due_targets(now, pool, request, place);
    let chance = |due: &DueTarget| {
        let boxes = if due.away { place.boxes } else { place.local_boxes };
        let rate = pool.request_rate(now).max(0.1) * boxes as f64;
        (trials_per_s(place) / rate).min(TRIAL_CHANCE_MOST)
    };
    let sum: f64 = due.iter().map(chance).sum();
    // Where more are due than there are requests for, each box draws among all of them: with the first by
    // their keys alone the boxes of a data centre tried the same few targets at the same moment.
    let mut left = drawn * sum.max(1.0);
    for due in &due {
        left -= chance(due);
        if left < 0.0 {
            return Some(due.key);
        }
    }
    None
}

/// Where not every box hears of a trial, those that don't go on trying: they do so the more
/// slowly, so that a target that hangs is not tried by several at once.
fn trials_per_s(place: &TrialContext<'_>) -> f64 {
    let near = place.local_boxes.max(1);
    TRIALS_PER_S * heard_boxes(near) as f64 / near as f64
}

/// A target that has gone without a request for so long that it is due.
struct DueTarget {
    key: TargetKey,
    away: bool,
}

/// The targets that must be tried now.
fn due_targets(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    place: &TrialContext<'_>,
) -> Vec<DueTarget> {
    let few_fail = place.mechanisms.has(Mechanism::FewerTrials) && pool.failing(now) < CALM_BELOW;
    let spared = few_fail && !request.repeatable;
    let in_use = pool.in_use_for(now);
    let mut due = Vec::new();
    for (key, record) in pool.eligible_targets(now, request.tried, request.homes) {
        let away = *record.setup.data_centre != *place.data_centre;
        let left_to_others = away && (request.large || (few_fail && !record.is_fresh()));
        let rests = place.only_fresh && !record.is_fresh();
        if rests || left_to_others || !record.path_clear(now) {
            continue;
        }
        let factor = if away { AWAY_TRIAL_FACTOR } else { 1.0 };
        // A service that rested leaves all targets alone, which says nothing of any of them.
        let untried = record.untried(now).min(in_use).div_f64(factor);
        if untried >= trial_after(record, spared) {
            due.push(DueTarget { key, away });
        }
    }
    due
}

/// After how long without a request a target is tried. `spared` is whether the request had
/// better not be the one to do it.
fn trial_after(record: &TargetRecord, spared: bool) -> Duration {
    match (record.last_failed(), spared && !record.is_fresh()) {
        (true, false) => FAILED_TRIAL_AFTER,
        (false, false) => IDLE_TRIAL_AFTER,
        (true, true) => CALM_FAILED_TRIAL_AFTER,
        (false, true) => CALM_IDLE_TRIAL_AFTER,
    }
}
