//! The score of each target for one request, and the draw among them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::names::TargetKey;
use crate::steer::mechanism::Mechanism;
use crate::steer::messages::{SteerRequest, SteerSetup};
use crate::steer::pool::{LatenessScale, TargetPool};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// Score differences of this size change how often a target is picked by a factor of e.
/// Smaller herds all boxes onto one target; larger sends work to suspects.
/// Source: `docs/MEASURED.md`, steering.
const TEMPERATURE: f64 = 0.06;
/// What a request that is not served costs, in the worth of an ordinary one: the users
/// count the served share in nines, so a lost request weighs more than its own worth.
const LOST_COST: f64 = 3.0;
/// What a failed attempt costs where the request can be sent again, as a share of that:
/// a retry of the budget, the time, and that the second one may fail too.
const REPEAT_SHARE: f64 = 0.8;
/// What an answer after the goal costs: half of an order's worth and more. A wait costs
/// as much of it as it makes that likelier.
const WAIT_COST: f64 = 1.2;
/// Times longer than it is guessed, a wait is reckoned with: loads are told late.
const WAIT_DOUBT: f64 = 1.3;
/// What a target costs that has just refused for want of room: likely a retry.
const FULL_COST: f64 = 0.5;
/// What each busy slot costs, so that equal targets share the work.
const BUSY_COST: f64 = 0.06;
/// What leaving the data centre costs beside bytes: loads and successes there are known by
/// hearsay.
const AWAY_COST: f64 = 0.3;

/// A target that could take a request.
pub(crate) struct Candidate {
    pub(crate) key: TargetKey,
    /// How long the request would wait there for a slot, and longer than elsewhere.
    pub(crate) wait: Duration,
    /// What sending it there is expected to cost.
    score: f64,
}

/// The targets of a service that were not tried for the request, or of those alone that are `kept` to, with
/// their scores.
pub(crate) fn candidates(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    typical: Duration,
    setup: &SteerSetup,
    kept: Option<Vec<(TargetKey, &TargetRecord)>>,
) -> Vec<Candidate> {
    let scale = pool.late_scale(request.goal, typical);
    let candidate = |(key, record): (TargetKey, &TargetRecord)| {
        let wait = if setup.mechanisms.has(Mechanism::LoadWait) {
            record.wait(now, pool.typical_time())
        } else {
            Duration::ZERO
        };
        let score = score(now, pool, record, wait, &scale, request, setup);
        Candidate { key, wait, score }
    };
    match kept {
        Some(kept) => kept.into_iter().map(candidate).collect(),
        None => pool.eligible_targets(now, request.tried, request.homes).map(candidate).collect(),
    }
}

/// Draws one of the candidates, each with a weight that falls with its score.
pub(crate) fn sample_candidate<'c>(
    candidates: &'c [Candidate],
    random: &mut SmallRng,
) -> Option<&'c Candidate> {
    let least = candidates.iter().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min);
    let weight = |score: f64| (-(score - least) / TEMPERATURE).exp();
    let total: f64 = candidates.iter().map(|candidate| weight(candidate.score)).sum();
    let mut drawn = random.random::<f64>() * total;
    for candidate in candidates {
        drawn -= weight(candidate.score);
        if drawn <= 0.0 {
            return Some(candidate);
        }
    }
    // Rounding may leave a rest after the last one.
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
    let late = pool.lateness(wait.mul_f64(WAIT_DOUBT), scale);
    let full = if record.is_full(now) { FULL_COST } else { 0.0 };
    let cold = record.cold_time(now).as_secs_f64().min(1.0);
    let away = record.setup.data_centre != setup.data_centre;
    let crossing = if away && setup.mechanisms.has(Mechanism::CrossDataCentreCost) {
        pool.transfer_kb(request) * setup.cross_cost + AWAY_COST
    } else {
        0.0
    };
    pool.risk(now, record) * loss
        + late * WAIT_COST
        + full
        + record.busy(now) / f64::from(record.setup.slots.max(1)) * BUSY_COST
        + cold * BUSY_COST
        + crossing
}
