//! The choice of a target by expected loss, before any verdict.
//!
//! Ejection takes a target out when the evidence is beyond doubt. Most of what is
//! lost is lost before: the first requests of each spell of failures, and orders
//! that can't be sent again. With slots to spare it costs next to nothing to send
//! work elsewhere on a mere suspicion, so each pick weighs how likely an attempt is
//! to fail here ([`failure_estimate`]), what that would cost this request, how long it would
//! wait, and what it costs to leave the data centre. Nothing is taken out here, so no
//! floor can be broken by a wrong suspicion: a target is only less likely to be picked.

mod average;
mod choose;
pub mod failure_estimate;
mod kept;
pub mod latency_ratios;
pub mod ledger;
pub mod limit;
pub mod listeners;
pub mod mechanism;
pub mod messages;
pub mod news;
pub mod notice;
mod notices;
mod open;
mod parted;
mod pool;
pub mod record;
mod routes;
pub mod split;
mod trial;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::names::{Name, TargetKey};
use crate::steer::choose::{candidates, sample_candidate};
use crate::steer::kept::kept_targets;
use crate::steer::latency_ratios::OVERDUE_SHARE;
use crate::steer::ledger::{RetryBounds, RetryLedger, RetryTally};
use crate::steer::listeners::heard_boxes;
use crate::steer::mechanism::Mechanism;
use crate::steer::parted::PartedNotices;
use crate::steer::pool::{ASSUMED_TIME, TargetPool};
use crate::steer::record::{SteerTarget, TargetRecord};
use crate::steer::routes::RouteTable;
use crate::steer::trial::{TrialContext, sample_trial};
use crate::time::TimePoint;

pub use limit::{LimitChange, LimitSaid, LimitWord, RequestRate};
pub use messages::{
    AttemptNews, HomeRegions, LoadReport, NoPick, PeerSample, RetryUse, SteerOutcome, SteerPick,
    SteerRequest, SteerSetup, SuspicionChange,
};
pub use notice::{LeftOut, NoticeBar, NoticeChange, TargetNotice};
pub use open::{AttemptHandle, OpenAge};
pub use record::SUSPECT_FROM;

/// A wait for a slot from which on a request with more time than its goal is held back:
/// one with a second to live still gets its answer, at the users' work times of some 0.4 s.
const MIN_SATURATED_WAIT: Duration = Duration::from_millis(450);
/// A second attempt is made beside one that has stalled with this probability: most of the
/// retries that it spends then save a request. On 40 random fleets 6 in 1,000 repeatable
/// requests were lost with second attempts and 17 without.
const HEDGE_FROM: f64 = 0.5;
/// No second attempt is made before this part of the typical time: a suspect that answers
/// after all mostly has by then, and its retry is saved for a request that needs it.
const HEDGE_LEAST: f64 = 0.6;
/// A request that has little time gets its second attempt while this many typical times are left for it.
/// On a quiet day 82 of 108 lookups that ran out of their time had had one attempt, and 85 of them less
/// than 1.3 s to live.
const HEDGE_ROOM: f64 = 1.4;
/// Bounds on the part of attempts that stall, for that: no target is beyond doubt.
const LEAST_STALLS: f64 = 0.01;
const MOST_STALLS: f64 = 0.9;

/// Targets, beliefs about them, and the choice among them. Times count from the start of
/// the process.
#[derive(Debug)]
pub struct SteerCore {
    setup: SteerSetup,
    pools: HashMap<Name, TargetPool>,
    services: HashMap<TargetKey, Name>,
    parted: PartedNotices,
    ledgers: HashMap<Name, RetryLedger>,
    routes: RouteTable,
    local_boxes: usize,
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
            parted: PartedNotices::default(),
            ledgers: HashMap::new(),
            routes: RouteTable::default(),
            local_boxes: 1,
            boxes: 1,
            random,
        }
    }

    /// Takes all targets that take work. Those that stay keep what is known of them.
    pub fn set_targets(&mut self, now: TimePoint, targets: Vec<SteerTarget>) {
        let kept: HashSet<TargetKey> = targets.iter().map(SteerTarget::key).collect();
        let gone = self.services.keys().filter(|key| !kept.contains(key));
        let gone: Vec<TargetKey> = gone.copied().collect();
        self.update_targets(now, &gone, targets);
    }

    /// Takes what is new among the targets that take work: lives that take none any more, and targets that are
    /// new or different. What is known of the others is left as it is.
    pub fn update_targets(&mut self, now: TimePoint, gone: &[TargetKey], set: Vec<SteerTarget>) {
        let first = self.services.is_empty();
        for key in gone {
            if let Some(record) = self.take_record(*key) {
                self.parted.keep(now, *key, record.notices);
            }
        }
        for target in set {
            let key = target.key();
            let service = target.service.clone();
            let record = match self.take_record(key) {
                Some(record) => record.with_setup(target),
                None => {
                    let in_use = self.pools.get(&service).is_some_and(TargetPool::is_in_use);
                    TargetRecord::new(target, now, first, in_use, self.parted.restore(key))
                }
            };
            self.services.insert(key, service.clone());
            let mechanisms = &self.setup.mechanisms;
            let pool = self.pools.entry(service);
            pool.or_insert_with(|| TargetPool::new(mechanisms)).insert(key, record);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// How many boxes share the budgets: those of the own data centre, which tell each
    /// other what they did, and all. This box is counted.
    pub fn set_boxes(&mut self, near: usize, all: usize) {
        self.local_boxes = near.max(1);
        self.boxes = all.max(near).max(1);
    }

    /// A request for `service` came.
    pub fn record_request(&mut self, now: TimePoint, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_request(now);
        }
        self.ledger(service).note_request(now);
    }

    /// Takes a retry from the budget that all boxes share, if one is there for that use.
    pub fn spend_retry(&mut self, now: TimePoint, service: &str, usage: RetryUse) -> bool {
        let (bounds, heard) = (self.setup.retries, heard_boxes(self.local_boxes));
        let all = self.boxes.max(LEAST_BOXES);
        // What this box and its peers did before it started is not known: in a whole fleet
        // that was restarted the slack may have been used up just before.
        let settled = now.since(TimePoint::default()) >= bounds.window;
        let slack = if settled { bounds.slack } else { 0.0 };
        let part = usage.budget_part();
        let bounds = RetryBounds { slack: slack * part, share: bounds.share * part, ..bounds };
        let ledger = self.ledger(service);
        let allowed = ledger.allows(now, &bounds, heard, all);
        if allowed {
            ledger.note_retry(now);
        }
        allowed
    }

    /// Takes what the peer of that incarnation, in the own data centre, did of a service.
    pub fn merge_retry_counts(
        &mut self,
        now: TimePoint,
        peer: u64,
        service: &str,
        tally: RetryTally,
    ) {
        self.ledger(service).note_told(now, peer, tally);
    }

    /// What this box did of each service within the last window, for its peers; services
    /// that rested since it last told are left out.
    pub fn unreported_retry_counts(&mut self, now: TimePoint) -> Vec<(Name, RetryTally)> {
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
        let place = self.trial_context();
        let kept = kept_targets(now, pool, request, &place);
        let place = TrialContext { only_fresh: kept.is_some(), ..place };
        if let Some(key) = sample_trial(now, pool, request, &place, drawn) {
            return Ok(make_pick(key, pool, now, true));
        }
        let typical = self.routes.typical_time(request.route).unwrap_or(pool.typical_time());
        let candidates = candidates(now, pool, request, typical, &self.setup, kept);
        if candidates.is_empty() {
            let first = pool.time_to_first(now, request.homes);
            return Err(first.map_or(NoPick::NoTarget, NoPick::Resting));
        }
        if candidates.iter().all(|candidate| candidate.wait >= request.left) {
            return Err(NoPick::Overloaded);
        }
        let Some(chosen) = sample_candidate(&candidates, &mut self.random) else {
            return Err(NoPick::NoTarget);
        };
        let holds_back = self.setup.mechanisms.has(Mechanism::HoldBack);
        if holds_back && chosen.wait > MIN_SATURATED_WAIT && request.left > request.goal {
            return Err(NoPick::Saturated);
        }
        Ok(make_pick(chosen.key, pool, now, false))
    }

    /// An attempt of a request on `route` begins at a target.
    pub fn begin(&mut self, now: TimePoint, key: TargetKey, route: &Name) -> AttemptHandle {
        self.begin_as(now, key, route, true)
    }

    /// The same of a request that its caller still sends: how long that takes says nothing of the
    /// target.
    pub fn begin_untimed(&mut self, now: TimePoint, key: TargetKey, route: &Name) -> AttemptHandle {
        self.begin_as(now, key, route, false)
    }

    fn begin_as(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        route: &Name,
        timed: bool,
    ) -> AttemptHandle {
        let pool = self.pool_of(key);
        let typical = pool.map_or(ASSUMED_TIME, TargetPool::typical_time);
        let handle = AttemptHandle {
            key,
            started: now,
            slot_expected_at: pool.map_or(now, |pool| pool.slot_expected_at(now, key)),
            typical: self.routes.typical_time(route).unwrap_or(typical),
            informative: timed && self.routes.is_informative(route),
            timed,
        };
        if let Some(pool) = self.pool_mut(key) {
            pool.begin(now, handle);
        }
        handle
    }

    /// An attempt of a request on `route` ended. Its answer had `bytes` bytes.
    ///
    /// Returns what that told of the target.
    pub fn end(
        &mut self,
        now: TimePoint,
        handle: &AttemptHandle,
        route: &Name,
        outcome: SteerOutcome,
        bytes: usize,
    ) -> AttemptNews {
        let known = self.routes.typical_time(route);
        let worked = worked_time(now, handle);
        match outcome {
            SteerOutcome::Good(_) if handle.timed => self.routes.note_answer(route, worked),
            SteerOutcome::OutOfTime if handle.timed => self.routes.note_out_of_time(route),
            _ => {}
        }
        let Some(pool) = self.pool_mut(handle.key) else {
            return AttemptNews::default();
        };
        let mut latency_ratio = None;
        if let SteerOutcome::Good(time) = outcome
            && handle.timed
        {
            pool.note_answer(time, bytes);
            latency_ratio =
                known.map(|typical| worked.as_secs_f64() / typical.as_secs_f64().max(0.001));
        }
        if let Some(latency_ratio) = latency_ratio {
            pool.record_latency_ratio(now, handle.key, latency_ratio);
        }
        AttemptNews { latency_ratio, ..pool.note_end(now, handle, outcome) }
    }

    /// An attempt is open for longer than nearly all. Returns what that tells of the target.
    pub fn record_overdue(&mut self, now: TimePoint, handle: &AttemptHandle) -> AttemptNews {
        match self.pool_mut(handle.key) {
            Some(pool) if handle.informative => pool.record_overdue(now, handle),
            _ => AttemptNews::default(),
        }
    }

    /// Another instance answered at a target's address, here or to a peer. The target has
    /// ended, and gets nothing more unless its entry names another address. Returns whether
    /// that is new.
    pub fn record_replaced(&mut self, key: TargetKey) -> bool {
        self.record_mut(key).is_some_and(TargetRecord::record_replaced)
    }

    /// A target told its load.
    pub fn record_load(&mut self, now: TimePoint, key: TargetKey, load: LoadReport) {
        if let Some(record) = self.record_mut(key) {
            record.record_load(now, load.held);
        }
    }

    /// Takes what a peer saw. Returns the change if the target became a suspect by it, or
    /// is none any more.
    pub fn merge_peer_sample(
        &mut self,
        now: TimePoint,
        peer: u64,
        key: TargetKey,
        sample: &PeerSample,
    ) -> Option<SuspicionChange> {
        if !self.setup.mechanisms.has(Mechanism::PeerSamples) {
            return None;
        }
        self.pool_mut(key)?.merge_peer_sample(now, peer, key, sample)
    }

    /// Attempts of this box that are open at a target, and those whose age tells of it.
    pub fn open_attempts_at(&self, key: TargetKey) -> (u32, Vec<OpenAge>) {
        let pool = self.pool_of(key);
        let open = |pool: &TargetPool| (pool[key].open.own(), pool[key].open.own_ages().collect());
        pool.map(open).unwrap_or_default()
    }

    /// The time after its start from which on an attempt is longer open than nearly all.
    pub fn overdue_after(&self, handle: &AttemptHandle) -> Duration {
        self.age_of_share(handle, OVERDUE_SHARE).unwrap_or(ASSUMED_TIME)
    }

    /// The time after its start from which on an attempt is likely enough to have stalled
    /// that a second one beside it is worth a retry. It is reached the sooner the more its
    /// target is suspected, and no later than one that has to be answered within `left` of the
    /// attempt's start can be; `None` if the target is not known any more.
    pub fn hedge_after(
        &self,
        now: TimePoint,
        handle: &AttemptHandle,
        left: Duration,
    ) -> Option<Duration> {
        if !self.setup.mechanisms.has(Mechanism::Hedges) {
            return None;
        }
        let pool = self.pool_of(handle.key)?;
        let stalls = pool.risk(now, &pool[handle.key]) * pool.stalled_share();
        let stalls = stalls.clamp(LEAST_STALLS, MOST_STALLS);
        let sound = 1.0 - stalls;
        let share = stalls * (1.0 - HEDGE_FROM) / (HEDGE_FROM * sound);
        let least = handle.typical.mul_f64(HEDGE_LEAST);
        let likely = self.age_of_share(handle, share)?.max(least);
        let last = left.saturating_sub(handle.typical.mul_f64(HEDGE_ROOM));
        let has_room = last >= least && self.setup.mechanisms.has(Mechanism::DeadlineHedges);
        Some(if has_room { likely.min(last) } else { likely })
    }

    /// The time after its start at which no more than `share` of sound attempts like this
    /// one are still open.
    fn age_of_share(&self, handle: &AttemptHandle, share: f64) -> Option<Duration> {
        let pool = self.pool_of(handle.key)?;
        let wait = handle.slot_expected_at.since(handle.started);
        Some(wait + handle.typical.mul_f64(pool.age_of_share(share)))
    }

    /// Probability that the next attempt at a target fails, for status pages and tests.
    pub fn risk(&self, now: TimePoint, key: TargetKey) -> Option<f64> {
        let pool = self.pool_of(key)?;
        Some(pool.risk(now, &pool[key]))
    }

    fn take_record(&mut self, key: TargetKey) -> Option<TargetRecord> {
        let service = self.services.remove(&key)?;
        self.pools.get_mut(&service)?.remove(key)
    }

    fn trial_context(&self) -> TrialContext<'_> {
        TrialContext {
            data_centre: &self.setup.data_centre,
            local_boxes: self.local_boxes,
            boxes: self.boxes,
            mechanisms: &self.setup.mechanisms,
            only_fresh: false,
        }
    }

    fn ledger(&mut self, service: &str) -> &mut RetryLedger {
        if !self.ledgers.contains_key(service) {
            self.ledgers.insert(service.into(), RetryLedger::default());
        }
        self.ledgers.get_mut(service).expect("it was just put there")
    }

    fn pool_of(&self, key: TargetKey) -> Option<&TargetPool> {
        self.pools.get(self.services.get(&key)?)
    }

    fn pool_mut(&mut self, key: TargetKey) -> Option<&mut TargetPool> {
        self.pools.get_mut(self.services.get(&key)?)
    }

    fn record_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.pool_mut(key)?.get_mut(key)
    }
}

/// The time of an attempt that ended now without its expected wait for a slot. The wait is
/// a guess from the target's load, so half of the time counts as work at least.
fn worked_time(now: TimePoint, handle: &AttemptHandle) -> Duration {
    let taken = now.since(handle.started);
    now.since(handle.slot_expected_at).max(taken / 2)
}

fn make_pick(key: TargetKey, pool: &TargetPool, now: TimePoint, trial: bool) -> SteerPick {
    let record = &pool[key];
    SteerPick {
        key,
        id: record.setup.id.clone(),
        address: record.setup.address.clone(),
        data_centre: record.setup.data_centre.clone(),
        risk: pool.risk(now, record),
        busy: record.busy(now),
        trial,
        limit: record.limit(now),
        is_cold: record.cold_rate(now).is_some(),
    }
}
