//! The targets of one service, and the statistics that they share.

use std::collections::{BTreeMap, HashMap};
use std::ops::Index;
use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::placement::OwnFigures;
use crate::steer::average::RunningAverage;
use crate::steer::failure_estimate::{EpisodeStats, OutcomeSample};
use crate::steer::latency_ratios::LatencyRatios;
use crate::steer::mechanism::{Mechanism, MechanismSet};
use crate::steer::messages::{
    AttemptEffect, HomeRegions, PeerSample, SteerOutcome, SteerRequest, SuspicionChange,
};
use crate::steer::notice::Ineligibility;
use crate::steer::open::{AttemptHandle, OpenAge, PEER_REPORT_LIFETIME};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// Time without an attempt, here or at a peer of the data centre, after which a service counts as idle.
/// Even the least used services get some requests a second in each data centre.
const IDLE_AFTER: Duration = Duration::from_secs(10);
/// Time constant of the average of requests a second.
const RATE_TIME: Duration = Duration::from_secs(4);
/// Time constant of the failure share. It is below the 2 s over which the users require a minimum share of
/// healthy targets that get requests, while many requests fail.
const FAILURE_SHARE_TIME: Duration = Duration::from_millis(1500);
/// Number of successful attempts that are added to the failure share, so that a single failure of an idle
/// service does not give a high share.
const ASSUMED_SUCCESSES: f64 = 5.0;
/// Minimum likelihood ratio of its age at which an attempt that ended without an answer counts as a stall.
/// At this ratio the age is as conclusive as a failure of a target that was not a suspect.
const MIN_STALL_RATIO: f64 = 10.0;
/// Service time that is assumed until one was observed; the work times in production are 160 to 410 ms.
pub(crate) const ASSUMED_TIME: Duration = Duration::from_millis(300);
/// Assumed size of a large answer in kilobytes: the mean of the users' map packs and mosaics.
const LARGE_ANSWER_KB: f64 = 90.0;
/// Number of answers over which the typical time and size of a service's answers are averaged.
const AVERAGE_WINDOW: f64 = 50.0;

/// The properties of a request by which its wait at a target is weighed. They are the same for all
/// targets.
pub(crate) struct LatenessScale {
    goal: Duration,
    /// The typical time of the request's route.
    typical: Duration,
    /// The share of such requests that are late without any wait.
    base_share: f64,
}

/// The share of recent events that are of a kind, decayed over [`FAILURE_SHARE_TIME`].
#[derive(Debug, Default)]
struct DecayedShare {
    matching: f64,
    all: f64,
    updated_at: TimePoint,
}

impl DecayedShare {
    /// Counts `all` events, `matching` of which are of the kind.
    fn record(&mut self, now: TimePoint, matching: u32, all: u32) {
        let decay = self.decay(now);
        self.matching = self.matching * decay + f64::from(matching);
        self.all = self.all * decay + f64::from(all);
        self.updated_at = now;
    }

    fn share(&self, now: TimePoint) -> f64 {
        let decay = self.decay(now);
        self.matching * decay / (self.all * decay + ASSUMED_SUCCESSES)
    }

    /// Returns the factor by which the counts have decayed since their last update.
    fn decay(&self, now: TimePoint) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / FAILURE_SHARE_TIME.as_secs_f64()).exp()
    }
}

/// The targets of one service.
#[derive(Debug)]
pub struct TargetPool {
    weighs_ages: bool,
    records: BTreeMap<TargetKey, TargetRecord>,
    /// The number of targets in each data centre.
    data_centres: HashMap<Name, usize>,
    typical: RunningAverage,
    /// The time of good answers without the wait for a slot, in seconds.
    work: RunningAverage,
    latency_ratios: LatencyRatios,
    /// The properties that the failure episodes of the targets share.
    episode_stats: EpisodeStats,
    /// Attempts that ended, and those among them that failed.
    attempts: DecayedShare,
    /// Requests of this box that ended, and those among them that were not served, whatever the reason.
    results: DecayedShare,
    small_bytes: RunningAverage,
    rate: f64,
    rate_at: TimePoint,
    /// When the first attempt was made after the service was last idle.
    in_use_since: Option<TimePoint>,
    /// When the last attempt was made.
    used_at: TimePoint,
    /// When expired reports of open attempts were last dropped.
    swept_at: TimePoint,
}

impl TargetPool {
    pub(crate) fn new(mechanisms: &MechanismSet) -> TargetPool {
        TargetPool {
            weighs_ages: mechanisms.has(Mechanism::OpenAges),
            records: BTreeMap::new(),
            data_centres: HashMap::new(),
            typical: RunningAverage::new(AVERAGE_WINDOW),
            work: RunningAverage::new(AVERAGE_WINDOW),
            latency_ratios: LatencyRatios::default(),
            episode_stats: EpisodeStats::default(),
            attempts: DecayedShare::default(),
            results: DecayedShare::default(),
            small_bytes: RunningAverage::new(AVERAGE_WINDOW),
            rate: 0.0,
            rate_at: TimePoint::default(),
            in_use_since: None,
            used_at: TimePoint::default(),
            swept_at: TimePoint::default(),
        }
    }

    /// Records the latency ratio of a good answer of a target, for the target and for the service.
    pub(crate) fn record_latency_ratio(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        latency_ratio: f64,
    ) {
        self.latency_ratios.record(now, latency_ratio);
        let typical = self.typical_work();
        if let Some(record) = self.records.get_mut(&key) {
            record.record_latency_ratio(latency_ratio);
            record.record_work(now, latency_ratio, typical);
        }
    }

    /// Records the start of an attempt of this box.
    pub(crate) fn begin(&mut self, now: TimePoint, handle: AttemptHandle) {
        self.record_use(now);
        if let Some(record) = self.records.get_mut(&handle.key) {
            record.begin(handle);
        }
    }

    /// Records the end of an attempt of this box; returns its effect.
    pub(crate) fn record_end(
        &mut self,
        now: TimePoint,
        handle: &AttemptHandle,
        outcome: SteerOutcome,
    ) -> AttemptEffect {
        let Some(record) = self.records.get_mut(&handle.key) else {
            return AttemptEffect::default();
        };
        let informative = record.open.finish(handle);
        record.record_own_outcome(now, outcome);
        if let Some(sample) = outcome.as_sample() {
            let change = self.record_own_sample(now, handle.key, sample);
            return AttemptEffect { change, ..AttemptEffect::default() };
        }
        let unanswered =
            matches!(outcome, SteerOutcome::DeadlineExceeded | SteerOutcome::Cancelled);
        if !unanswered || !informative {
            return AttemptEffect::default();
        }
        self.record_unanswered(now, handle)
    }

    /// Records the age of an attempt that ended without an answer as evidence about its target.
    fn record_unanswered(&mut self, now: TimePoint, handle: &AttemptHandle) -> AttemptEffect {
        let ratio = self.age_likelihood_ratio(now, std::iter::once(handle.age()));
        if ratio >= MIN_STALL_RATIO {
            let change = self.record_own_sample(now, handle.key, OutcomeSample::Stalled);
            return AttemptEffect { stalled: true, change, latency_ratio: None };
        }
        if let Some(record) = self.get_mut(handle.key) {
            record.record_unanswered(now, ratio);
        }
        AttemptEffect::default()
    }

    /// Records that an attempt of this box is open for longer than nearly all attempts take; returns the
    /// effect.
    pub(crate) fn record_overdue(
        &mut self,
        now: TimePoint,
        handle: &AttemptHandle,
    ) -> AttemptEffect {
        let Some(record) = self.get_mut(handle.key) else {
            return AttemptEffect::default();
        };
        record.open.mark_uninformative(handle);
        record.record_path_failure(now);
        let change = self.record_own_sample(now, handle.key, OutcomeSample::Stalled);
        AttemptEffect { stalled: true, change, latency_ratio: None }
    }

    /// Merges what a peer observed of a target; returns the change if the target became a suspect or
    /// stopped being one.
    pub(crate) fn merge_peer_sample(
        &mut self,
        now: TimePoint,
        peer: u64,
        key: TargetKey,
        sample: &PeerSample,
    ) -> Option<SuspicionChange> {
        if let Some(latency_ratio) = sample.latency_ratio {
            self.record_latency_ratio(now, key, latency_ratio);
        }
        self.drop_expired(now);
        let record = self.get_mut(key)?;
        if let Some(held) = sample.held {
            record.record_load(now, held);
        }
        if let Some(open) = sample.open {
            let ended = sample.good + sample.bad;
            record.merge_peer_open(now, peer, open, ended, &sample.informative);
            self.record_use(now);
            self.count_peer_sample(now, sample);
        } else if sample.good + sample.bad + sample.overdue > 0 {
            record.record_peer_attempt(now);
        }
        let reported = [
            (sample.good, OutcomeSample::Good),
            (sample.bad, OutcomeSample::Bad),
            (sample.overdue, OutcomeSample::Stalled),
        ];
        let mut change = None;
        for (count, kind) in reported {
            // The outcomes of one report are of nearly the same time and not independent, so that more
            // than three of a kind add little evidence.
            for _ in 0..count.min(3) {
                change = self.update_estimate(now, key, kind).or(change);
            }
        }
        change
    }

    /// Drops expired reports of open attempts from all targets, from time to time. Peers don't report the
    /// end of every attempt, so that without this the memory for the reports of each target that was ever
    /// used grew during the entire run of the box.
    fn drop_expired(&mut self, now: TimePoint) {
        if now.since(self.swept_at) < PEER_REPORT_LIFETIME {
            return;
        }
        self.swept_at = now;
        self.records.values_mut().for_each(|record| record.open.drop_expired(now));
    }

    /// Records the outcome of an attempt of this box.
    fn record_own_sample(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        sample: OutcomeSample,
    ) -> Option<SuspicionChange> {
        let failed = u32::from(sample != OutcomeSample::Good);
        self.attempts.record(now, failed, 1);
        self.update_estimate(now, key, sample)
    }

    fn update_estimate(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        sample: OutcomeSample,
    ) -> Option<SuspicionChange> {
        self.episode_stats.record_failure(sample);
        let record = self.records.get_mut(&key)?;
        record.record_sample(now, sample, &self.episode_stats);
        record.update_suspicion(now)
    }

    pub(crate) fn insert(&mut self, key: TargetKey, record: TargetRecord) {
        *self.data_centres.entry(record.setup.data_centre.clone()).or_default() += 1;
        if let Some(before) = self.records.insert(key, record) {
            self.uncount(&before);
        }
    }

    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetRecord> {
        let removed = self.records.remove(&key)?;
        self.uncount(&removed);
        Some(removed)
    }

    /// Returns the number of targets in a data centre.
    pub(crate) fn target_count_in(&self, data_centre: &str) -> usize {
        self.data_centres.get(data_centre).copied().unwrap_or_default()
    }

    fn uncount(&mut self, record: &TargetRecord) {
        if let Some(count) = self.data_centres.get_mut(&record.setup.data_centre) {
            *count = count.saturating_sub(1);
        }
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the targets in the regions `homes` that may be chosen now, without those in `tried`.
    pub(crate) fn eligible_targets<'p, 'r>(
        &'p self,
        now: TimePoint,
        tried: &'r [TargetKey],
        homes: HomeRegions<'r>,
    ) -> impl Iterator<Item = (TargetKey, &'p TargetRecord)> {
        let records = self.records.iter().filter(move |(key, record)| {
            record.is_eligible(now) && !tried.contains(key) && record.is_in(homes)
        });
        records.map(|(key, record)| (*key, record))
    }

    /// Returns the time until the first target takes requests again. Returns `None` if a target takes
    /// requests now, or if all targets are draining.
    pub(crate) fn time_to_first(&self, now: TimePoint, homes: HomeRegions<'_>) -> Option<Duration> {
        let is_present = |record: &TargetRecord| {
            !record.is_replaced() && !record.is_evacuated() && record.is_in(homes)
        };
        let present = self.records.values().filter(|record| is_present(record));
        let mut first: Option<Duration> = None;
        for record in present {
            let remaining = match record.notices.ineligibility(now) {
                Some(Ineligibility::Draining(_)) => continue,
                Some(Ineligibility::BackingOff { remaining, .. }) => remaining,
                None => record.permit_wait(now)?,
            };
            first = Some(first.map_or(remaining, |known| known.min(remaining)));
        }
        first
    }

    /// Returns all targets, also those that are not eligible.
    pub(crate) fn all_records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns all targets for modification, also those that are not eligible.
    pub(crate) fn all_records_mut(&mut self) -> impl Iterator<Item = &mut TargetRecord> {
        self.records.values_mut()
    }

    /// Returns the number of slots of a target; the targets of one service have the same number.
    pub(crate) fn typical_slots(&self) -> u32 {
        self.records.values().next().map_or(1, |record| record.setup.slots)
    }

    /// Returns whether any attempt was made at the targets.
    pub(crate) fn is_in_use(&self) -> bool {
        self.in_use_since.is_some()
    }

    /// Returns the typical time of a request to the service.
    pub(crate) fn typical_time(&self) -> Duration {
        self.typical.get().map_or(ASSUMED_TIME, Duration::from_secs_f64)
    }

    /// Returns the typical time of a request to the service without its wait for a slot.
    pub(crate) fn typical_work(&self) -> Duration {
        self.work.get().map_or(ASSUMED_TIME, Duration::from_secs_f64)
    }

    /// Records the time of a good answer without the wait for a slot.
    pub(crate) fn record_work(&mut self, time: Duration) {
        self.work.add(time.as_secs_f64());
    }

    /// Returns what the targets in a data centre finish, and the open attempts of this box.
    pub(crate) fn figures(&self, now: TimePoint, data_centre: &str) -> OwnFigures {
        let typical = self.typical_work();
        let (mut capacity, mut slots, mut rate) = (0.0, 0.0, 0.0);
        let in_use = self.records_in(data_centre).filter(|record| record.is_trusted(now));
        for record in in_use {
            let own_slots = f64::from(record.setup.slots);
            let own_rate = own_slots / record.work_time(now, typical).as_secs_f64().max(0.001);
            capacity += record.bounded_rate(now, own_rate);
            slots += own_slots;
            rate += own_rate;
        }
        let work = if rate > 0.0 { Duration::from_secs_f64(slots / rate) } else { typical };
        OwnFigures { capacity, open: self.own_open(), work }
    }

    /// Returns the requests a second that the targets in a data centre could finish if all were healthy and as fast
    /// as the service's targets on average; infinite before an answer was received.
    pub(crate) fn listed_capacity(&self, now: TimePoint, data_centre: &str) -> f64 {
        let slots = self.records_in(data_centre).filter(|record| record.takes_requests(now));
        let slots: f64 = slots.map(|record| f64::from(record.setup.slots)).sum();
        if slots == 0.0 {
            return 0.0;
        }
        self.work.get().map_or(f64::INFINITY, |time| slots / time.max(0.001))
    }

    /// Returns whether a target in the data centre was used within `time` and did not fail.
    pub(crate) fn has_answered(&self, now: TimePoint, data_centre: &str, time: Duration) -> bool {
        self.records_in(data_centre).any(|record| {
            record.takes_requests(now) && !record.last_failed() && record.idle_time(now) < time
        })
    }

    /// Returns the number of attempts that this box has open.
    pub(crate) fn own_open(&self) -> u32 {
        self.records.values().map(|record| record.open.own_count()).sum()
    }

    fn records_in<'p>(&'p self, data_centre: &'p str) -> impl Iterator<Item = &'p TargetRecord> {
        self.records.values().filter(move |record| *record.setup.data_centre == *data_centre)
    }

    /// Returns the expected kilobytes that an attempt transfers: the request and the answer with their
    /// headers.
    pub(crate) fn transfer_kb(&self, request: &SteerRequest<'_>) -> f64 {
        /// Size of the headers of the request and the answer.
        const HEADERS_KB: f64 = 1.0;
        let small_kb = self.small_bytes.get().unwrap_or_default() / 1000.0;
        let answer_kb = if request.large { LARGE_ANSWER_KB } else { small_kb };
        request.body_bytes as f64 / 1000.0 + answer_kb + HEADERS_KB
    }

    /// Returns the requests a second that this box gets for the service.
    pub(crate) fn request_rate(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.rate_at).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }

    /// Returns the time since the first attempt after the service was last idle.
    pub(crate) fn in_use_for(&self, now: TimePoint) -> Duration {
        self.in_use_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records that an attempt was made here, or at a peer of the data centre.
    ///
    /// Trials depend on the time since a service came into use. Without this, each target counted as idle
    /// since the start of the box when the first attempt was made: 78 in 100 orders of the first 2 s of
    /// load became trials, and 25 in 100 of these were lost.
    pub(crate) fn record_use(&mut self, now: TimePoint) {
        if self.in_use_since.is_none() || now.since(self.used_at) >= IDLE_AFTER {
            self.in_use_since = Some(now);
        }
        self.used_at = now;
    }

    pub(crate) fn record_request(&mut self, now: TimePoint) {
        self.rate = self.request_rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.rate_at = now;
    }

    /// Returns the probability that an attempt at a target fails, from its failure estimate and the ages
    /// of the attempts that all boxes of the data centre have open there.
    pub(crate) fn risk(&self, now: TimePoint, record: &TargetRecord) -> f64 {
        record.risk(now, self.age_likelihood_ratio(now, record.open.all_ages(now)))
    }

    /// Returns the likelihood ratio of the ages of open attempts for a failure episode relative to a
    /// healthy target.
    fn age_likelihood_ratio(&self, now: TimePoint, ages: impl Iterator<Item = OpenAge>) -> f64 {
        if !self.weighs_ages {
            return 1.0;
        }
        let stall_share = self.episode_stats.episode_stall_share();
        ages.map(|age| {
            self.latency_ratios.stall_likelihood_ratio(age.latency_ratio(now), stall_share)
        })
        .product()
    }

    /// Returns the share of failures that are stalls.
    pub(crate) fn stalled_share(&self) -> f64 {
        self.episode_stats.stalled_share()
    }

    /// Returns the share of recent attempts that failed, as far as boxes of the data centre report them.
    pub(crate) fn failure_share(&self, now: TimePoint) -> f64 {
        self.attempts.share(now)
    }

    /// Records the end of a request of this box, and whether it was served. Refusals by the box itself are no
    /// attempts, so that [`TargetPool::failure_share`] does not contain them.
    pub(crate) fn record_result(&mut self, now: TimePoint, served: bool) {
        self.results.record(now, u32::from(!served), 1);
    }

    /// Returns the share of this box's recent requests that were not served.
    pub(crate) fn unserved_share(&self, now: TimePoint) -> f64 {
        self.results.share(now)
    }

    /// Counts the attempts that a peer with full reports has reported. Other peers report only failures:
    /// with these counted a true failure share of 4 in 100 would appear as 11 with three data centres and
    /// as 17 with five (calculated), so that the share would never count as low and targets would be
    /// tried as often as in an outage.
    fn count_peer_sample(&mut self, now: TimePoint, sample: &PeerSample) {
        let failed = sample.bad + sample.overdue;
        if failed + sample.good > 0 {
            self.attempts.record(now, failed, failed + sample.good);
        }
    }

    /// Returns the lowest latency ratio that no more than `share` of healthy answers exceed.
    pub(crate) fn ratio_exceeded_by(&self, share: f64) -> f64 {
        self.latency_ratios.ratio_exceeded_by(share)
    }

    /// Returns the scale by which the waits of a request with that goal and typical time are weighed.
    pub(crate) fn lateness_scale(&self, goal: Duration, typical: Duration) -> LatenessScale {
        LatenessScale { goal, typical, base_share: self.share_later(goal, typical) }
    }

    /// Returns how much a wait of `wait` raises the probability that a request misses its goal. Most
    /// targets have no wait, for which it returns early: a choice among 431 targets took 105 us with a
    /// lookup in the learned distribution for each of them and 47 us without (`wingbench steer --cost`).
    pub(crate) fn lateness(&self, wait: Duration, scale: &LatenessScale) -> f64 {
        let LatenessScale { goal, typical, base_share } = *scale;
        if wait >= goal {
            return 1.0;
        }
        if wait.is_zero() { 0.0 } else { self.share_later(goal - wait, typical) - base_share }
    }

    /// Returns the share of requests with the typical time `typical` that take longer than `time`.
    fn share_later(&self, time: Duration, typical: Duration) -> f64 {
        self.latency_ratios.share_above(time.as_secs_f64() / typical.as_secs_f64().max(0.001))
    }

    /// Returns when an attempt that begins now is expected to have a slot at the target.
    pub(crate) fn slot_expected_at(&self, now: TimePoint, key: TargetKey) -> TimePoint {
        let wait = self.records.get(&key).map(|record| record.wait(now, self.typical_time()));
        now + wait.unwrap_or_default()
    }

    /// Returns when an attempt that begins now is expected to have a slot at the target, while the service is loaded.
    pub(crate) fn loaded_slot_at(&self, now: TimePoint, key: TargetKey) -> TimePoint {
        let wait =
            self.records.get(&key).map(|record| record.loaded_wait(now, self.typical_work()));
        now + wait.unwrap_or_default()
    }

    /// Records the time and size of a good answer.
    pub(crate) fn record_answer(&mut self, time: Duration, bytes: usize) {
        /// Largest size of an answer that counts as small.
        const MAX_SMALL_BYTES: usize = 16 * 1024;
        self.typical.add(time.as_secs_f64());
        if bytes <= MAX_SMALL_BYTES {
            self.small_bytes.add(bytes as f64);
        }
    }
}

impl Index<TargetKey> for TargetPool {
    type Output = TargetRecord;

    fn index(&self, key: TargetKey) -> &TargetRecord {
        &self.records[&key]
    }
}
