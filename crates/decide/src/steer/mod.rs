//! The choice of a target by expected cost, from evidence that is too weak for an ejection.
//!
//! An ejection excludes a target once the evidence is conclusive. Most losses occur before that: the first
//! requests of each failure episode, and orders that can't be sent again. While other targets have free
//! slots, it costs next to nothing to avoid a target on a mere suspicion. So each choice weighs how likely
//! an attempt is to fail at a target ([`failure_estimate`]), what a failure would cost the request, how
//! long the request would wait there, and what it costs to leave the data centre. A suspicion excludes no
//! target, it only makes its choice less likely, so that a wrong one can't violate the floor on targets
//! in use.

mod average;
mod capacity;
mod choose;
pub mod failure_estimate;
pub mod latency_ratios;
pub mod ledger;
pub mod limit;
pub mod mechanism;
pub mod messages;
pub mod notice;
mod notices;
mod open;
pub mod peer_subset;
mod placing;
mod pool;
pub mod record;
pub mod relay;
mod retries;
mod retry_allowance;
pub mod retry_share;
mod routes;
pub mod split;
pub mod status;
mod subset;
mod trial;
mod unlisted;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::names::{Name, TargetKey};
use crate::paths::ListedTargets;
use crate::placement::PlacementTable;
use crate::steer::choose::{Weighing, candidates, sample_candidate};
use crate::steer::latency_ratios::OVERDUE_SHARE;
use crate::steer::ledger::RetryLedger;
use crate::steer::mechanism::Mechanism;
use crate::steer::placing::sample_in;
use crate::steer::pool::{ASSUMED_TIME, TargetPool};
use crate::steer::record::{SteerTarget, TargetRecord};
use crate::steer::retries::FleetSize;
use crate::steer::routes::RouteStats;
use crate::steer::subset::target_subset;
use crate::steer::trial::{TrialContext, sample_trial};
use crate::steer::unlisted::UnlistedNotices;
use crate::time::TimePoint;

pub use capacity::{AttemptTimes, TargetCapacity};
pub use limit::{LimitChange, LimitReport, LimitUpdate, RequestRate};
pub use messages::{
    AttemptEffect, HomeRegions, LoadReport, PeerSample, PickError, RetryUse, SteerOutcome,
    SteerPick, SteerRequest, SteerSetup, SuspicionChange,
};
pub use notice::{ExcludedTargets, Ineligibility, NoticeChange, TargetNotice};
pub use open::{AttemptHandle, OpenAge};
pub use record::MIN_SUSPECT_RISK;

/// Wait for a slot above which a request is held back if it has more time than its goal. With waits up to
/// this value, a request with a deadline of a second is still answered in time, at typical work times of
/// 0.4 s.
const MIN_SATURATED_WAIT: Duration = Duration::from_millis(450);
/// Minimum probability that an attempt has stalled at which a hedge begins, that is, a second attempt while
/// the first one is still open. At this probability, most of the retries that hedges use save a request. On
/// 40 random fleets 6 in 1,000 repeatable requests were lost with hedges and 17 without.
const MIN_HEDGE_PROBABILITY: f64 = 0.5;
/// Minimum latency ratio of an attempt at which a hedge begins. A suspect that does answer has mostly done so
/// by then, and the retry is saved for a request that needs it.
const MIN_HEDGE_RATIO: f64 = 0.6;
/// Remaining time, as a multiple of the typical time, at which a request with little time is hedged. On a
/// quiet day 82 of 108 lookups that ran out of time had only one attempt, and 85 of the 108 had less than
/// 1.3 s in total.
const HEDGE_REMAINING_RATIO: f64 = 1.4;
/// Lower bound on the probability that an attempt stalls when the time of a hedge is computed: no target is
/// certain to be healthy.
const MIN_STALL_PROBABILITY: f64 = 0.01;
/// Upper bound on the probability that an attempt stalls when the time of a hedge is computed.
const MAX_STALL_PROBABILITY: f64 = 0.9;

/// The targets of all services with their state, and the choice among them. Times are relative to the start
/// of the process.
#[derive(Debug)]
pub struct SteerCore {
    setup: SteerSetup,
    pools: HashMap<Name, TargetPool>,
    services: HashMap<TargetKey, Name>,
    unlisted: UnlistedNotices,
    ledgers: HashMap<Name, RetryLedger>,
    routes: RouteStats,
    local_boxes: usize,
    boxes: usize,
    fleet_size: FleetSize,
    /// Number of the last request for credit.
    credit_requests: u64,
    random: SmallRng,
    /// Placement between data centres, if it is in use.
    placement: Option<PlacementTable>,
}

impl SteerCore {
    /// Creates a core without targets.
    pub fn new(setup: SteerSetup) -> SteerCore {
        let random = SmallRng::seed_from_u64(setup.seed);
        SteerCore {
            setup,
            pools: HashMap::new(),
            services: HashMap::new(),
            unlisted: UnlistedNotices::default(),
            ledgers: HashMap::new(),
            routes: RouteStats::default(),
            local_boxes: 1,
            boxes: 1,
            fleet_size: FleetSize::default(),
            credit_requests: 0,
            random,
            placement: None,
        }
    }

    /// Replaces the listing by `targets`. Targets that were listed before keep their state.
    pub fn set_targets(&mut self, now: TimePoint, targets: Vec<SteerTarget>) {
        let kept: HashSet<TargetKey> = targets.iter().map(SteerTarget::key).collect();
        let removed = self.services.keys().filter(|key| !kept.contains(key));
        let removed: Vec<TargetKey> = removed.copied().collect();
        self.update_targets(now, &removed, targets);
    }

    /// Applies a change of the listing: incarnations that take no more requests are `removed`, and the
    /// targets in `set` are new or have changed. Other targets stay as they are.
    pub fn update_targets(&mut self, now: TimePoint, removed: &[TargetKey], set: Vec<SteerTarget>) {
        let at_start = self.services.is_empty();
        for key in removed {
            if let Some(record) = self.remove_record(*key) {
                self.unlisted.store(now, *key, record.notices);
            }
        }
        for target in set {
            let key = target.key();
            let service = target.service.clone();
            let record = match self.remove_record(key) {
                Some(record) => record.with_setup(target),
                None => {
                    let in_use = self.pools.get(&service).is_some_and(TargetPool::is_in_use);
                    TargetRecord::new(target, now, at_start, in_use, self.unlisted.take(key))
                }
            };
            self.services.insert(key, service.clone());
            let mechanisms = &self.setup.mechanisms;
            let pool = self.pools.entry(service);
            pool.or_insert_with(|| TargetPool::new(mechanisms)).insert(key, record);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// Sets the number of boxes that share the budgets, this box included: `local` is the number in the own
    /// data centre, which report their use to each other, and `all` the number in all data centres.
    pub fn set_boxes(&mut self, local: usize, all: usize) {
        self.local_boxes = local.max(1);
        self.boxes = all.max(local).max(1);
        self.fleet_size.record(self.boxes);
    }

    /// Records that a request for `service` has arrived.
    pub fn record_request(&mut self, now: TimePoint, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_request(now);
        }
        if let Some(placement) = &mut self.placement {
            placement.record_request(now, service);
        }
        let share = self.setup.retries.share;
        self.ledger(now, service).record_request(now, share);
    }

    /// Records that a request for `service` has arrived by way of another box, which has counted it in the retry budget
    /// and as load of its data centre.
    pub fn record_relayed_request(&mut self, now: TimePoint, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_request(now);
        }
    }

    /// Records the end of a request for `service`, and whether a target served it. While many requests are not
    /// served, for whatever reason, all targets are tried in time.
    pub fn record_result(&mut self, now: TimePoint, service: &str, served: bool) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_result(now, served);
        }
    }

    /// Chooses a target for the request.
    ///
    /// # Errors
    /// No target may get the request or could answer it in time, or the request is held back while all
    /// targets have queues.
    pub fn pick(
        &mut self,
        now: TimePoint,
        request: &SteerRequest<'_>,
    ) -> Result<SteerPick, PickError> {
        self.refresh_placement(now, request.service);
        // A further attempt goes where it is served best: the first one has left already if its turn was to leave.
        let destination =
            if request.tried.is_empty() { self.sample_destination(request.service) } else { None };
        let Some(pool) = self.pools.get(request.service) else {
            return Err(PickError::NoTarget);
        };
        let random: f64 = self.random.random();
        let context = self.trial_context();
        let subset = target_subset(now, pool, request, &context);
        let context = TrialContext { only_unattempted: subset.is_some(), ..context };
        if let Some(key) = sample_trial(now, pool, request, &context, random) {
            return Ok(make_pick(key, pool, now, true));
        }
        let typical = self.routes.typical_time(request.route).unwrap_or(pool.typical_time());
        if let Some(destination) = destination
            && let Some(key) =
                sample_in(now, pool, request, typical, &self.setup, &destination, &mut self.random)
        {
            let pick = make_pick(key, pool, now, false);
            return Ok(self.place(pick, request.service));
        }
        let weighing =
            Weighing { destination: None, by_rate: self.loaded_work(now, request.service) };
        let candidates = candidates(now, pool, request, typical, &self.setup, subset, weighing);
        if candidates.is_empty() {
            let first = pool.time_to_first(now, request.homes);
            return Err(first.map_or(PickError::NoTarget, PickError::BackingOff));
        }
        if candidates.iter().all(|candidate| candidate.wait >= request.remaining) {
            return Err(PickError::Overloaded);
        }
        let Some(chosen) = sample_candidate(&candidates, &mut self.random) else {
            return Err(PickError::NoTarget);
        };
        let holds_back = self.setup.mechanisms.has(Mechanism::HoldBack);
        if holds_back && chosen.wait > MIN_SATURATED_WAIT && request.remaining > request.goal {
            let table = self.placement.as_mut();
            let spare = table.and_then(|table| table.sample_spare(request.service));
            let key = spare.and_then(|spare| {
                sample_in(now, pool, request, typical, &self.setup, &spare, &mut self.random)
            });
            let key = key.ok_or(PickError::Saturated)?;
            let pick = make_pick(key, pool, now, false);
            return Ok(self.place(pick, request.service));
        }
        Ok(make_pick(chosen.key, pool, now, false))
    }

    /// Records the start of an attempt at a target, of a request on `route`.
    pub fn begin(&mut self, now: TimePoint, key: TargetKey, route: &Name) -> AttemptHandle {
        self.begin_attempt(now, key, route, true)
    }

    /// Records the start of an attempt whose request the caller is still sending. Its duration is no
    /// evidence about the target.
    pub fn begin_untimed(&mut self, now: TimePoint, key: TargetKey, route: &Name) -> AttemptHandle {
        self.begin_attempt(now, key, route, false)
    }

    fn begin_attempt(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        route: &Name,
        timed: bool,
    ) -> AttemptHandle {
        let pool = self.pool_of(key);
        let typical = pool.map_or(ASSUMED_TIME, TargetPool::typical_time);
        let is_loaded =
            self.services.get(&key).is_some_and(|service| self.loaded_work(now, service).is_some());
        let slot_expected_at = |pool: &TargetPool| {
            if is_loaded { pool.loaded_slot_at(now, key) } else { pool.slot_expected_at(now, key) }
        };
        let handle = AttemptHandle {
            key,
            started: now,
            slot_expected_at: pool.map_or(now, slot_expected_at),
            typical: self.routes.typical_time(route).unwrap_or(typical),
            informative: timed && self.routes.is_informative(route),
            timed,
        };
        if let Some(pool) = self.pool_mut(key) {
            pool.begin(now, handle);
        }
        handle
    }

    /// Records the end of an attempt of a request on `route`, with an answer of `bytes` bytes; returns its
    /// effect.
    pub fn end(
        &mut self,
        now: TimePoint,
        handle: &AttemptHandle,
        route: &Name,
        outcome: SteerOutcome,
        bytes: usize,
    ) -> AttemptEffect {
        let known = self.routes.typical_time(route);
        let work_time = work_time(now, handle);
        match outcome {
            SteerOutcome::Good(_) if handle.timed => self.routes.record_answer(route, work_time),
            SteerOutcome::DeadlineExceeded if handle.timed => {
                self.routes.record_deadline_exceeded(route)
            }
            _ => {}
        }
        let Some(pool) = self.pool_mut(handle.key) else {
            return AttemptEffect::default();
        };
        let mut latency_ratio = None;
        if let SteerOutcome::Good(time) = outcome
            && handle.timed
        {
            pool.record_answer(time, bytes);
            pool.record_work(work_time);
            latency_ratio =
                known.map(|typical| work_time.as_secs_f64() / typical.as_secs_f64().max(0.001));
        }
        if let Some(latency_ratio) = latency_ratio {
            pool.record_latency_ratio(now, handle.key, latency_ratio);
        }
        AttemptEffect { latency_ratio, ..pool.record_end(now, handle, outcome) }
    }

    /// Records that an attempt is open for longer than nearly all attempts take; returns the effect.
    pub fn record_overdue(&mut self, now: TimePoint, handle: &AttemptHandle) -> AttemptEffect {
        match self.pool_mut(handle.key) {
            Some(pool) if handle.informative => pool.record_overdue(now, handle),
            _ => AttemptEffect::default(),
        }
    }

    /// Records that another instance answered at a target's address, to this box or to a peer; returns
    /// whether that was unknown. The target has ended, and gets no more requests unless its entry names
    /// another address.
    pub fn record_replaced(&mut self, key: TargetKey) -> bool {
        self.record_mut(key).is_some_and(TargetRecord::record_replaced)
    }

    /// Records the load that a target has reported.
    pub fn record_load(&mut self, now: TimePoint, key: TargetKey, load: LoadReport) {
        if let Some(record) = self.record_mut(key) {
            record.record_load(now, load.held);
        }
    }

    /// Merges what the peer with the incarnation `peer` observed of a target; returns the change if the
    /// target became a suspect or stopped being one.
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

    /// Returns how many targets of `service`, and of all services, may be chosen now.
    pub fn listed_targets(&self, now: TimePoint, service: &str) -> ListedTargets {
        let eligible =
            |pool: &TargetPool| pool.eligible_targets(now, &[], HomeRegions::Any).count();
        ListedTargets {
            of_service: self.pools.get(service).map_or(0, eligible),
            all: self.pools.values().map(|pool| pool.all_records().count()).sum(),
        }
    }

    /// Returns the target at a random place, from 0 to 1, among those of all services other than `key` of which nothing
    /// speaks against being up; `None` if there is none.
    pub fn random_sound(
        &self,
        now: TimePoint,
        key: TargetKey,
        random: f64,
    ) -> Option<&SteerTarget> {
        let is_sound = |record: &&TargetRecord| {
            record.setup.key() != key && record.is_eligible(now) && record.is_believed_up()
        };
        let records = self.pools.values().flat_map(TargetPool::all_records);
        let sound: Vec<&TargetRecord> = records.filter(is_sound).collect();
        let index = (random * sound.len() as f64) as usize;
        sound.get(index).map(|record| &record.setup)
    }

    /// Returns the target at a random place, from 0 to 1, among those of `service` that may be chosen now, and the number
    /// of these; of all services if none is given.
    pub fn random_eligible(
        &self,
        now: TimePoint,
        service: Option<&Name>,
        random: f64,
    ) -> Option<(&SteerTarget, usize)> {
        let pools = self.pools.iter().filter(|(name, _)| service.is_none_or(|one| one == *name));
        let eligible =
            pools.flat_map(|(_, pool)| pool.eligible_targets(now, &[], HomeRegions::Any));
        let eligible: Vec<&TargetRecord> = eligible.map(|(_, record)| record).collect();
        let index = (random * eligible.len() as f64) as usize;
        eligible.get(index).map(|record| (&record.setup, eligible.len()))
    }

    /// Returns the number of attempts that this box has open at a target, and the ages of the informative
    /// ones among them.
    pub fn open_attempts_at(&self, key: TargetKey) -> (u32, Vec<OpenAge>) {
        let pool = self.pool_of(key);
        let open =
            |pool: &TargetPool| (pool[key].open.own_count(), pool[key].open.own_ages().collect());
        pool.map(open).unwrap_or_default()
    }

    /// Returns the time after the start of an attempt at which the attempt counts as overdue, because nearly
    /// all attempts take less time.
    pub fn overdue_after(&self, handle: &AttemptHandle) -> Duration {
        self.age_exceeded_by(handle, OVERDUE_SHARE).unwrap_or(ASSUMED_TIME)
    }

    /// Returns the time after the start of an attempt at which the attempt is likely enough to have stalled
    /// that a hedge is worth a retry, or `None` if the target is no longer listed or hedging is disabled. The
    /// higher the risk of the target, the shorter the time. If `remaining`, the time from the start of the
    /// attempt to the deadline, is long enough for two attempts, the result also leaves the hedge enough time
    /// for an answer.
    pub fn hedge_after(
        &self,
        now: TimePoint,
        handle: &AttemptHandle,
        remaining: Duration,
    ) -> Option<Duration> {
        if !self.setup.mechanisms.has(Mechanism::Hedges) {
            return None;
        }
        let pool = self.pool_of(handle.key)?;
        let stalls = pool.risk(now, &pool[handle.key]) * pool.stalled_share();
        let stalls = stalls.clamp(MIN_STALL_PROBABILITY, MAX_STALL_PROBABILITY);
        let healthy = 1.0 - stalls;
        let share = stalls * (1.0 - MIN_HEDGE_PROBABILITY) / (MIN_HEDGE_PROBABILITY * healthy);
        let earliest = handle.typical.mul_f64(MIN_HEDGE_RATIO);
        let likely = self.age_exceeded_by(handle, share)?.max(earliest);
        let latest = remaining.saturating_sub(handle.typical.mul_f64(HEDGE_REMAINING_RATIO));
        let has_room = latest >= earliest && self.setup.mechanisms.has(Mechanism::DeadlineHedges);
        Some(if has_room { likely.min(latest) } else { likely })
    }

    /// Returns the time after its start that no more than `share` of healthy attempts like this one exceed,
    /// with the expected wait for a slot, or `None` if the target is no longer listed.
    fn age_exceeded_by(&self, handle: &AttemptHandle, share: f64) -> Option<Duration> {
        let pool = self.pool_of(handle.key)?;
        let wait = handle.slot_expected_at.since(handle.started);
        Some(wait + handle.typical.mul_f64(pool.ratio_exceeded_by(share)))
    }

    /// Returns the probability that the next attempt at a target fails, or `None` if it is not listed; for
    /// status pages and tests.
    pub fn risk(&self, now: TimePoint, key: TargetKey) -> Option<f64> {
        let pool = self.pool_of(key)?;
        Some(pool.risk(now, &pool[key]))
    }

    /// Returns the suspects of a data centre in the order of their keys.
    pub fn suspects(&self, now: TimePoint, data_centre: &str) -> Vec<TargetKey> {
        let is_noted = |record: &TargetRecord| {
            *record.setup.data_centre == *data_centre && record.is_suspect(now)
        };
        let records = self.pools.values().flat_map(TargetPool::all_records);
        let keys = records.filter(|record| is_noted(record)).map(|record| record.setup.key());
        let mut keys: Vec<TargetKey> = keys.collect();
        keys.sort_unstable();
        keys
    }

    /// Makes the listed targets among `keys` suspects, as they were before this box started. Returns their
    /// number.
    ///
    /// A box that has just started knows nothing of any target. After a power failure of all boxes more
    /// than a quarter of the requests of the first half second went to targets in a failure episode, most
    /// of which had been suspects before.
    pub fn restore_suspects(&mut self, now: TimePoint, keys: &[TargetKey]) -> usize {
        let mut restored = 0;
        for key in keys {
            if let Some(record) = self.record_mut(*key) {
                record.restore_suspicion(now);
                restored += 1;
            }
        }
        restored
    }

    fn remove_record(&mut self, key: TargetKey) -> Option<TargetRecord> {
        let service = self.services.remove(&key)?;
        self.pools.get_mut(&service)?.remove(key)
    }

    fn trial_context(&self) -> TrialContext<'_> {
        TrialContext {
            data_centre: &self.setup.data_centre,
            local_boxes: self.local_boxes,
            boxes: self.boxes,
            mechanisms: &self.setup.mechanisms,
            only_unattempted: false,
        }
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

/// Returns the duration of an attempt that ended now, without its expected wait for a slot. That wait is
/// an estimate from the target's load, so at least half of the duration counts as work.
fn work_time(now: TimePoint, handle: &AttemptHandle) -> Duration {
    let elapsed = now.since(handle.started);
    now.since(handle.slot_expected_at).max(elapsed / 2)
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
        placed: false,
        limit: record.limit(now),
        is_cold: record.cold_rate(now).is_some(),
    }
}
