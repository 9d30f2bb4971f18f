//! The score of each target for one request, and the weighted random choice among them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::names::TargetKey;
use crate::steer::mechanism::Mechanism;
use crate::steer::messages::{SteerRequest, SteerSetup};
use crate::steer::pool::{LatenessScale, TargetPool};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// Score difference that changes the probability of a choice by a factor of e. A lower value makes all
/// boxes choose the same target; a higher one sends requests to suspects.
const TEMPERATURE: f64 = 0.06;
/// Cost of a request that is not served, in units of the value of an ordinary request. It is above 1
/// because the users count the served share in nines.
const LOST_COST: f64 = 3.0;
/// Cost of a failed attempt of a request that can be sent again, as a share of [`LOST_COST`]: it takes a
/// retry of the budget and time, and the second attempt may fail too.
const REPEAT_SHARE: f64 = 0.8;
/// Cost of an answer after the goal, which is at least half of the value of an order. The cost of a wait
/// is this cost times the increase of the probability of a late answer.
const LATE_COST: f64 = 1.2;
/// Factor applied to an expected wait, since reports of load arrive late.
const WAIT_MARGIN: f64 = 1.3;
/// Cost of a target that has just refused a request for lack of room, since it likely takes a retry.
const FULL_COST: f64 = 0.5;
/// Cost of a target that refused a request within the last second, for a second attempt: it likely takes another
/// retry. The cost is the same as that of a full target.
const REFUSED_COST: f64 = 0.5;
/// Cost of each busy slot, which spreads the work over equal targets.
const BUSY_COST: f64 = 0.06;
/// Cost of a remote target in addition to the cost of the transferred bytes: its load and successes are
/// known only from a few reports of other boxes.
const REMOTE_COST: f64 = 0.3;

/// A target that could take the request.
pub(crate) struct Candidate {
    pub(crate) key: TargetKey,
    /// The expected delay of the request at the target; see [`TargetRecord::wait`].
    pub(crate) wait: Duration,
    /// The expected cost of sending the request to the target.
    score: f64,
}

/// Returns the targets of `subset`, or all eligible targets of the service without a subset, with their
/// scores for the request.
pub(crate) fn candidates(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    typical: Duration,
    setup: &SteerSetup,
    subset: Option<Vec<(TargetKey, &TargetRecord)>>,
) -> Vec<Candidate> {
    let scale = pool.lateness_scale(request.goal, typical);
    let candidate = |(key, record): (TargetKey, &TargetRecord)| {
        let wait = if setup.mechanisms.has(Mechanism::LoadWait) {
            record.wait(now, pool.typical_time())
        } else {
            Duration::ZERO
        };
        let score = score(now, pool, record, wait, &scale, request, setup);
        Candidate { key, wait, score }
    };
    match subset {
        Some(subset) => subset.into_iter().map(candidate).collect(),
        None => pool.eligible_targets(now, request.tried, request.homes).map(candidate).collect(),
    }
}

/// Chooses one of the candidates at random, each with a weight that falls exponentially with its score.
pub(crate) fn sample_candidate<'c>(
    candidates: &'c [Candidate],
    random: &mut SmallRng,
) -> Option<&'c Candidate> {
    let min = candidates.iter().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min);
    let weight = |score: f64| (-(score - min) / TEMPERATURE).exp();
    let total: f64 = candidates.iter().map(|candidate| weight(candidate.score)).sum();
    let mut remaining = random.random::<f64>() * total;
    for candidate in candidates {
        remaining -= weight(candidate.score);
        if remaining <= 0.0 {
            return Some(candidate);
        }
    }
    // Rounding may leave a remainder after the last candidate.
    candidates.last()
}

fn score(
    now: TimePoint,
    pool: &TargetPool,
    record: &TargetRecord,
    wait: Duration,
    scale: &LatenessScale,
    request: &SteerRequest<'_>,
    setup: &SteerSetup,
) -> f64 {
    if !setup.mechanisms.has(Mechanism::Steering) {
        return 0.0;
    }
    let loss = if request.repeatable { LOST_COST * REPEAT_SHARE } else { LOST_COST };
    let late = pool.lateness(wait.mul_f64(WAIT_MARGIN), scale);
    let is_full = record.is_full(now);
    let full = if is_full { FULL_COST } else { 0.0 };
    let is_second = !request.tried.is_empty();
    let refused =
        if !is_full && is_second && record.has_refused_recently(now) { REFUSED_COST } else { 0.0 };
    let cold = record.cold_remaining(now).as_secs_f64().min(1.0);
    let remote = record.setup.data_centre != setup.data_centre;
    let crossing = if remote && setup.mechanisms.has(Mechanism::CrossDataCentreCost) {
        pool.transfer_kb(request) * setup.cross_cost + REMOTE_COST
    } else {
        0.0
    };
    pool.risk(now, record) * loss
        + late * LATE_COST
        + full
        + refused
        + record.busy(now) / f64::from(record.setup.slots.max(1)) * BUSY_COST
        + cold * BUSY_COST
        + crossing
}
