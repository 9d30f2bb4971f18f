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
/// Cost of each busy slot, which spreads the work over equal targets.
const BUSY_COST: f64 = 0.06;
/// Cost of a remote target in addition to the cost of the transferred bytes: its load and successes are
/// known only from a few reports of other boxes.
const REMOTE_COST: f64 = 0.3;

/// Cost of the expected time at a target, in multiples of the mean time of its data centre, while the service is
/// loaded. It is seven times [`TEMPERATURE`], so that a target that takes twice the time gets requests only once the
/// others have as much work ahead. With speeds 3:2:1 and 0.8 or 0.9 of the capacity in use, 99 in 100 requests took at
/// most 1.17 times what the best choice with full knowledge gives; 1.25 times with a cost of 0.6 and 1.34 times with
/// 1.2, where the errors of the learned times matter more (worst of six seeds each).
const TIME_COST: f64 = 0.4;

/// How the targets are weighed for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weighing<'a> {
    /// Data centre whose targets alone are candidates, if the request leaves by the placement plan.
    pub(crate) destination: Option<&'a str>,
    /// Mean time of the targets of the own data centre, if wait and load are weighed by what the targets were observed
    /// to finish. It is so while the service is loaded: with free slots everywhere differences in speed matter little,
    /// and choices stay as they were.
    pub(crate) by_rate: Option<Duration>,
}

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
    weighing: Weighing<'_>,
) -> Vec<Candidate> {
    let scale = pool.lateness_scale(request.goal, typical);
    let scorer = Scorer { now, pool, request, setup, scale, weighing };
    let candidate = |(key, record): (TargetKey, &TargetRecord)| {
        let wait = scorer.wait(record);
        Candidate { key, wait, score: scorer.score(record, wait) }
    };
    let eligible = || pool.eligible_targets(now, request.tried, request.homes);
    match (subset, weighing.destination) {
        (_, Some(destination)) => eligible()
            .filter(|(_, record)| *record.setup.data_centre == *destination)
            .map(candidate)
            .collect(),
        (Some(subset), None) => subset.into_iter().map(candidate).collect(),
        (None, None) => eligible().map(candidate).collect(),
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

/// What the score of each target for one request depends on.
struct Scorer<'a> {
    now: TimePoint,
    pool: &'a TargetPool,
    request: &'a SteerRequest<'a>,
    setup: &'a SteerSetup,
    scale: LatenessScale,
    weighing: Weighing<'a>,
}

impl Scorer<'_> {
    /// Returns the expected delay of the request at a target.
    fn wait(&self, record: &TargetRecord) -> Duration {
        if !self.setup.mechanisms.has(Mechanism::LoadWait) {
            Duration::ZERO
        } else if self.weighing.by_rate.is_some() {
            record.loaded_wait(self.now, self.pool.typical_work())
        } else {
            record.wait(self.now, self.pool.typical_time())
        }
    }

    fn score(&self, record: &TargetRecord, wait: Duration) -> f64 {
        let Scorer { now, pool, request, setup, scale, weighing } = self;
        if !setup.mechanisms.has(Mechanism::Steering) {
            return 0.0;
        }
        let loss = if request.repeatable { LOST_COST * REPEAT_SHARE } else { LOST_COST };
        let late = pool.lateness(wait.mul_f64(WAIT_MARGIN), scale);
        let full = if record.is_full(*now) { FULL_COST } else { 0.0 };
        let cold = record.cold_remaining(*now).as_secs_f64().min(1.0);
        let remote = record.setup.data_centre != setup.data_centre;
        let crossing = if remote && setup.mechanisms.has(Mechanism::CrossDataCentreCost) {
            let constant = if weighing.destination.is_some() { 0.0 } else { REMOTE_COST };
            pool.transfer_kb(request) * setup.cross_cost + constant
        } else {
            0.0
        };
        let time =
            weighing.by_rate.map_or(0.0, |mean| self.relative_time(record, wait, mean, remote));
        pool.risk(*now, record) * loss
            + late * LATE_COST
            + full
            + record.busy(*now) / f64::from(record.setup.slots.max(1)) * BUSY_COST
            + cold * BUSY_COST
            + crossing
            + time * TIME_COST
    }

    /// Returns the expected time at a target as a multiple of `mean`, the mean time of the targets of the own data
    /// centre.
    ///
    /// For a remote target that is compared with targets here, it contains only the queue: how much leaves because
    /// others are faster is decided by the placement plan. When the speeds of remote targets were weighed here, too, a
    /// data centre at a third of its speed sent away 92 in 100 requests in place of 40.
    fn relative_time(
        &self,
        record: &TargetRecord,
        wait: Duration,
        mean: Duration,
        remote: bool,
    ) -> f64 {
        let work = record.work_time(self.now, self.pool.typical_work()).as_secs_f64().max(0.001);
        if remote && self.weighing.destination.is_none() {
            return 1.0 + wait.as_secs_f64() / work;
        }
        (work + wait.as_secs_f64()) / mean.as_secs_f64().max(0.001)
    }
}
