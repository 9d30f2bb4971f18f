//! The choice of a target by expected loss, before any verdict.
//!
//! Ejection takes a target out when the evidence is beyond doubt. Most of what is
//! lost is lost before: the first requests of each spell of failures, and orders
//! that can't be sent again. With slots to spare it costs next to nothing to send
//! work elsewhere on a mere suspicion, so each pick weighs how likely an attempt is
//! to fail here ([`belief`]), what that would cost this request, how long it would
//! wait, and what it costs to leave the data centre. Nothing is taken out here, so no
//! floor can be broken by a wrong suspicion: a target is only less likely to be picked.

pub mod belief;
pub mod ledger;
pub mod messages;
mod pool;
pub mod record;
pub mod split;

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::names::{Name, TargetKey};
use crate::steer::ledger::{RetryBounds, RetryLedger, RetryTally};
use crate::steer::pool::TargetPool;
use crate::steer::record::{SteerTarget, TargetRecord};
use crate::time::TimePoint;

pub use messages::{
    LoadReport, NoPick, PeerSample, SteerOutcome, SteerPick, SteerRequest, SteerSetup,
    SuspicionChange,
};
pub use record::SUSPECT_FROM;

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
/// its share of it.
const WAIT_COST: f64 = 1.2;
/// What a target costs that has just refused for want of room: likely a retry.
const FULL_COST: f64 = 0.5;
/// What each busy slot costs, so that equal targets share the work.
const BUSY_COST: f64 = 0.06;
/// What leaving the data centre costs beside bytes: the load there is known by hearsay.
const AWAY_COST: f64 = 0.12;
/// A wait for a slot from which on a request with more time than its goal is held back:
/// one with a second to live still gets its answer, at the users' work times of some 0.4 s.
const CROWDED_FROM: Duration = Duration::from_millis(450);
/// Service time that is assumed while none was seen. Source: the users' work times, 190 to 420 ms.
const ASSUMED_TIME: Duration = Duration::from_millis(300);
/// A target that failed is tried again after this long. Source: the users hold the share
/// of sound targets that get requests to a floor in every 2 s; one that failed counts as
/// sound again 2 s later, so it must be tried within 4 s.
const FAILED_TRIAL_AFTER: Duration = Duration::from_millis(3200);
/// A target that did not fail and got nothing is tried after this long: within the same 2 s.
const IDLE_TRIAL_AFTER: Duration = Duration::from_millis(1000);
/// How many trials a second all boxes together make of a target that is due, on average.
const TRIALS_PER_S: f64 = 4.0;
/// A request becomes a trial of one target at most this often: a service with few
/// requests keeps most of them safe.
const TRIAL_CHANCE_MOST: f64 = 0.3;
/// Boxes of other data centres wait this many times as long before they try.
const AWAY_TRIAL_FACTOR: f64 = 1.25;
/// Targets, beliefs about them, and the choice among them. Times count from the start of
/// the process.
#[derive(Debug)]
pub struct SteerCore {
    setup: SteerSetup,
    pools: HashMap<Name, TargetPool>,
    services: HashMap<TargetKey, Name>,
    ledgers: HashMap<Name, RetryLedger>,
    near_boxes: usize,
    boxes: usize,
    random: SmallRng,
}

/// Fewer boxes are never assumed for the shares of the retry slack: a box that knows
/// no peers must not take the whole of it. Source: 36 to 40 boxes at either user.
const LEAST_BOXES: usize = 40;

impl SteerCore {
    /// A core that knows no targets.
    pub fn new(setup: SteerSetup) -> SteerCore {
        let random = SmallRng::seed_from_u64(setup.seed);
        SteerCore {
            setup,
            pools: HashMap::new(),
            services: HashMap::new(),
            ledgers: HashMap::new(),
            near_boxes: 1,
            boxes: 1,
            random,
        }
    }

    /// Takes all targets that take work. Those that stay keep what is known of them.
    pub fn set_targets(&mut self, now: TimePoint, targets: Vec<SteerTarget>) {
        let mut known: HashMap<TargetKey, TargetRecord> = HashMap::new();
        let first = self.services.is_empty();
        for pool in self.pools.values_mut() {
            known.extend(pool.take_all());
        }
        self.services.clear();
        for target in targets {
            let key = target.key();
            let service = target.service.clone();
            let record = match known.remove(&key) {
                Some(record) => record.with_setup(target),
                None => TargetRecord::new(target, now, first),
            };
            self.services.insert(key, service.clone());
            self.pools.entry(service).or_default().insert(key, record);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// How many boxes share the budgets: those of the own data centre, which tell each
    /// other what they did, and all. This box is counted.
    pub fn set_boxes(&mut self, near: usize, all: usize) {
        self.near_boxes = near.max(1);
        self.boxes = all.max(near).max(1);
    }

    /// A request for `service` came.
    pub fn note_request(&mut self, now: TimePoint, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.note_request(now);
        }
        self.ledger(service).note_request(now);
    }

    /// Takes a retry from the budget that all boxes share, if one is there.
    pub fn spend_retry(&mut self, now: TimePoint, service: &str) -> bool {
        let (bounds, near) = (self.setup.retries, self.near_boxes);
        let all = self.boxes.max(LEAST_BOXES);
        // What this box and its peers did before it started is not known: in a whole fleet
        // that was restarted the slack may have been used up just before.
        let settled = now.since(TimePoint::default()) >= bounds.window;
        let slack = if settled { bounds.slack } else { 0.0 };
        let bounds = RetryBounds { slack, ..bounds };
        let ledger = self.ledger(service);
        let allowed = ledger.allows(now, &bounds, near, all);
        if allowed {
            ledger.note_retry(now);
        }
        allowed
    }

    /// Takes what the peer of that incarnation, in the own data centre, did of a service.
    pub fn take_tally(&mut self, now: TimePoint, peer: u64, service: &str, tally: RetryTally) {
        self.ledger(service).note_told(now, peer, tally);
    }

    /// What this box did of each service within the last window, for its peers; services
    /// that rested since it last told are left out.
    pub fn untold_tallies(&mut self, now: TimePoint) -> Vec<(Name, RetryTally)> {
        let window = self.setup.retries.window;
        let untold = self.ledgers.iter_mut().filter_map(|(service, ledger)| {
            let tally = ledger.take_untold(now, window)?;
            Some((service.clone(), tally))
        });
        untold.collect()
    }

    /// Chooses a target.
    ///
    /// # Errors
    /// There is none that could answer in time.
    pub fn pick(
        &mut self,
        now: TimePoint,
        request: &SteerRequest<'_>,
    ) -> Result<SteerPick, NoPick> {
        let Some(pool) = self.pools.get(request.service) else {
            return Err(NoPick::NoTarget);
        };
        let drawn: f64 = self.random.random();
        if let Some(key) = self.draw_trial(now, pool, request, drawn) {
            return Ok(make_pick(key, &pool[key], now, true));
        }
        let mut scored: Vec<(TargetKey, f64)> = Vec::new();
        let mut in_time = false;
        for (key, record) in pool.records() {
            if request.tried.contains(&key) {
                continue;
            }
            let wait = record.wait(now, pool.usual_time(ASSUMED_TIME));
            in_time |= wait < request.left;
            scored.push((key, self.score(now, pool, record, wait, request)));
        }
        if scored.is_empty() {
            return Err(NoPick::NoTarget);
        }
        if !in_time {
            return Err(NoPick::Overloaded);
        }
        let key = sample(&scored, &mut self.random);
        let wait = pool[key].wait(now, pool.usual_time(ASSUMED_TIME));
        if wait > CROWDED_FROM && request.left > request.goal {
            return Err(NoPick::Crowded);
        }
        Ok(make_pick(key, &pool[key], now, false))
    }

    /// An attempt at a target begins.
    pub fn begin(&mut self, now: TimePoint, key: TargetKey) {
        if let Some(record) = self.record_mut(key) {
            record.begin(now);
        }
    }

    /// An attempt that began at `started` ended. Its answer had `bytes` bytes.
    ///
    /// Returns the change if the target became a suspect by it, or is none any more.
    pub fn end(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        outcome: SteerOutcome,
        bytes: usize,
    ) -> Option<SuspicionChange> {
        if let SteerOutcome::Good(time) = outcome
            && let Some(pool) = self.pool_mut(key)
        {
            pool.note_answer(time, bytes);
        }
        let record = self.record_mut(key)?;
        if outcome != SteerOutcome::Overdue {
            record.finish();
        }
        record.note_own(now, outcome);
        record.note_suspicion(now)
    }

    /// Another instance answered at a target's address, here or to a peer. The target has
    /// ended, and gets nothing more unless its entry names another address. Returns whether
    /// that is new.
    pub fn note_replaced(&mut self, key: TargetKey) -> bool {
        self.record_mut(key).is_some_and(TargetRecord::note_replaced)
    }

    /// A target told its load.
    pub fn note_load(&mut self, now: TimePoint, key: TargetKey, load: LoadReport) {
        if let Some(record) = self.record_mut(key) {
            record.note_load(now, load.held);
        }
    }

    /// Takes what a peer saw. Returns the change if the target became a suspect by it, or
    /// is none any more.
    pub fn take_peer(
        &mut self,
        now: TimePoint,
        peer: u64,
        key: TargetKey,
        sample: &PeerSample,
    ) -> Option<SuspicionChange> {
        let record = self.record_mut(key)?;
        if let Some(held) = sample.held {
            record.note_load(now, held);
        }
        if sample.millis > 0 {
            record.note_time(Duration::from_millis(u64::from(sample.millis)));
        }
        if let Some(open) = sample.open {
            record.note_peer_open(now, peer, open);
        }
        record.note_peer(now, sample);
        record.note_suspicion(now)
    }

    /// Attempts of this box that are open at a target.
    pub fn open_at(&self, key: TargetKey) -> u32 {
        let service = self.services.get(&key);
        let pool = service.and_then(|service| self.pools.get(service));
        pool.map_or(0, |pool| pool[key].open())
    }

    /// The time after which an attempt for `service` is longer open than nearly all.
    pub fn overdue_after(&self, service: &str) -> Duration {
        /// Times the usual time. Source: 1 in 100 sound answers takes over 3 times as long.
        const OVERDUE_FACTOR: f64 = 3.5;
        let pool = self.pools.get(service);
        pool.map_or(ASSUMED_TIME, |pool| pool.usual_time(ASSUMED_TIME)).mul_f64(OVERDUE_FACTOR)
    }

    /// Probability that the next attempt at a target fails, for status pages and tests.
    pub fn risk(&self, now: TimePoint, key: TargetKey) -> Option<f64> {
        let service = self.services.get(&key)?;
        Some(self.pools.get(service)?[key].risk(now))
    }

    fn score(
        &self,
        now: TimePoint,
        pool: &TargetPool,
        record: &TargetRecord,
        wait: Duration,
        request: &SteerRequest<'_>,
    ) -> f64 {
        let loss = if request.repeatable { LOST_COST * REPEAT_SHARE } else { LOST_COST };
        let late = (wait.as_secs_f64() / request.goal.as_secs_f64().max(0.001)).min(1.0);
        let full = if record.is_full(now) { FULL_COST } else { 0.0 };
        let cold = record.cold_time(now).as_secs_f64().min(1.0);
        let away = record.setup.data_centre != self.setup.data_centre;
        let crossing = if away {
            pool.crossing_kb(request.large) * self.setup.cross_cost + AWAY_COST
        } else {
            0.0
        };
        record.risk(now) * loss
            + late * WAIT_COST
            + full
            + record.busy(now) / f64::from(record.setup.slots.max(1)) * BUSY_COST
            + cold * BUSY_COST
            + crossing
    }

    /// A target that nobody has tried for long, if it is this request's turn to try it:
    /// `drawn` is a number drawn for it, 0 to 1. Each box draws for itself, so that those
    /// of the target's data centre together make about [`TRIALS_PER_S`]. Boxes elsewhere
    /// step in later, where the target's own do not, and never with a large answer.
    fn draw_trial(
        &self,
        now: TimePoint,
        pool: &TargetPool,
        request: &SteerRequest<'_>,
        drawn: f64,
    ) -> Option<TargetKey> {
        if !request.tried.is_empty() {
            // A second attempt is often the last one.
            return None;
        }
        let mut passed = 0.0;
        for (key, record) in pool.records() {
            let away = record.setup.data_centre != self.setup.data_centre;
            if (away && request.large) || !is_due(now, record, away) {
                continue;
            }
            let boxes = if away { self.boxes } else { self.near_boxes };
            let rate = pool.request_rate(now).max(0.1) * boxes as f64;
            passed += (TRIALS_PER_S / rate).min(TRIAL_CHANCE_MOST);
            if drawn < passed {
                return Some(key);
            }
        }
        None
    }

    fn ledger(&mut self, service: &str) -> &mut RetryLedger {
        if !self.ledgers.contains_key(service) {
            self.ledgers.insert(service.into(), RetryLedger::default());
        }
        self.ledgers.get_mut(service).expect("it was just put there")
    }

    fn pool_mut(&mut self, key: TargetKey) -> Option<&mut TargetPool> {
        self.pools.get_mut(self.services.get(&key)?)
    }

    fn record_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.pool_mut(key)?.get_mut(key)
    }
}

/// Whether a target has gone without a request for so long that it must be tried.
fn is_due(now: TimePoint, record: &TargetRecord, away: bool) -> bool {
    let after = if record.last_failed() { FAILED_TRIAL_AFTER } else { IDLE_TRIAL_AFTER };
    let after = if away { after.mul_f64(AWAY_TRIAL_FACTOR) } else { after };
    record.untried(now) >= after && record.path_clear(now)
}

fn make_pick(key: TargetKey, record: &TargetRecord, now: TimePoint, trial: bool) -> SteerPick {
    SteerPick {
        key,
        id: record.setup.id.clone(),
        address: record.setup.address.clone(),
        data_centre: record.setup.data_centre.clone(),
        risk: record.risk(now),
        busy: record.busy(now),
        trial,
    }
}

/// Draws a key, each with a weight that falls with its score.
fn sample(scored: &[(TargetKey, f64)], random: &mut SmallRng) -> TargetKey {
    let least = scored.iter().map(|(_, score)| *score).fold(f64::INFINITY, f64::min);
    let weight = |score: f64| (-(score - least) / TEMPERATURE).exp();
    let total: f64 = scored.iter().map(|(_, score)| weight(*score)).sum();
    let mut drawn = random.random::<f64>() * total;
    for (key, score) in scored {
        drawn -= weight(*score);
        if drawn <= 0.0 {
            return *key;
        }
    }
    // Rounding may leave a rest after the last one.
    scored[scored.len() - 1].0
}
