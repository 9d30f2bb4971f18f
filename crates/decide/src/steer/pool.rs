//! The targets of one service, and what is typical for it.

use std::collections::{BTreeMap, HashMap};
use std::ops::Index;
use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::average::RunningAverage;
use crate::steer::failure_estimate::{EpisodeStats, OutcomeSample};
use crate::steer::latency_ratios::LatencyRatios;
use crate::steer::mechanism::{Mechanism, MechanismSet};
use crate::steer::messages::{
    AttemptNews, HomeRegions, PeerSample, SteerOutcome, SteerRequest, SuspicionChange,
};
use crate::steer::notice::NoticeBar;
use crate::steer::open::{AttemptHandle, OpenAge, PEER_OPEN_FOR};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// A service for which no box of the data centre tells of an attempt for this long rests. The
/// least used ones of the users get some requests a second in each.
const REST_TIME: Duration = Duration::from_secs(10);
/// Requests a second are averaged over about this time.
const RATE_TIME: Duration = Duration::from_secs(4);
/// The share of failures of late is that of about this time: the users hold the share of
/// sound targets that get requests to a floor in any 2 s with many failures.
const FAILING_TIME: Duration = Duration::from_millis(1500);
/// So many more good attempts are assumed: a single failure of a service that rests is no share.
const LEAST_ENDED: f64 = 5.0;
/// An attempt that ended without an answer counts as a stall if its age is so many times
/// likelier in a spell: as conclusive as a failure is at a target that was not suspected.
const STALL_RATIO: f64 = 10.0;
/// Service time that is assumed while none was seen. Source: the users' work times, 160 to 410 ms.
pub(crate) const ASSUMED_TIME: Duration = Duration::from_millis(300);
/// Size of large answers while few were seen, in kilobytes. Source: the users' map packs
/// and mosaics, 90 KB on average.
const LARGE_KB: f64 = 90.0;
/// Answers over which the typical time and size of a service are averaged.
const SETTLED: f64 = 50.0;

/// What waits of one request are weighed by, the same at each target.
pub(crate) struct LatenessScale {
    goal: Duration,
    /// The typical time of its route.
    typical: Duration,
    /// The share that is late without any wait.
    anyway: f64,
}

/// The targets of one service.
#[derive(Debug)]
pub struct TargetPool {
    weighs_ages: bool,
    records: BTreeMap<TargetKey, TargetRecord>,
    /// How many of them each data centre has.
    centres: HashMap<Name, usize>,
    typical: RunningAverage,
    times: LatencyRatios,
    /// What its targets' spells have in common.
    episode_stats: EpisodeStats,
    /// Attempts that failed, and all that ended, fading with time.
    failed: f64,
    ended: f64,
    ended_at: TimePoint,
    small_bytes: RunningAverage,
    rate: f64,
    rate_at: TimePoint,
    /// Since when attempts are made without a long rest, and the last of them.
    in_use_since: Option<TimePoint>,
    used_at: TimePoint,
    /// When open attempts that count no more were forgotten last.
    swept_at: TimePoint,
}

impl TargetPool {
    pub(crate) fn new(mechanisms: &MechanismSet) -> TargetPool {
        TargetPool {
            weighs_ages: mechanisms.has(Mechanism::OpenAges),
            records: BTreeMap::new(),
            centres: HashMap::new(),
            typical: RunningAverage::new(SETTLED),
            times: LatencyRatios::default(),
            episode_stats: EpisodeStats::default(),
            failed: 0.0,
            ended: 0.0,
            ended_at: TimePoint::default(),
            small_bytes: RunningAverage::new(SETTLED),
            rate: 0.0,
            rate_at: TimePoint::default(),
            in_use_since: None,
            used_at: TimePoint::default(),
            swept_at: TimePoint::default(),
        }
    }

    /// Takes the time of a good answer to a request of a known route, in multiples of what
    /// is typical for that.
    pub(crate) fn record_latency_ratio(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        latency_ratio: f64,
    ) {
        self.times.note(now, latency_ratio);
        if let Some(record) = self.records.get_mut(&key) {
            record.note_time(latency_ratio);
        }
    }

    /// Notes the beginning of an attempt of this box.
    pub(crate) fn begin(&mut self, now: TimePoint, handle: AttemptHandle) {
        self.note_use(now);
        if let Some(record) = self.records.get_mut(&handle.key) {
            record.begin(handle);
        }
    }

    /// Notes the end of an attempt of this box.
    pub(crate) fn note_end(
        &mut self,
        now: TimePoint,
        handle: &AttemptHandle,
        outcome: SteerOutcome,
    ) -> AttemptNews {
        let Some(record) = self.records.get_mut(&handle.key) else {
            return AttemptNews::default();
        };
        let informative = record.open.finish(handle);
        record.note_own(now, outcome);
        if let Some(sample) = outcome.as_sample() {
            let change = self.note_sample(now, handle.key, sample);
            return AttemptNews { change, ..AttemptNews::default() };
        }
        let unanswered = matches!(outcome, SteerOutcome::OutOfTime | SteerOutcome::Dropped);
        if !unanswered || !informative {
            return AttemptNews::default();
        }
        self.note_unanswered(now, handle)
    }

    /// Takes what the age of an attempt says that ended without an answer.
    fn note_unanswered(&mut self, now: TimePoint, handle: &AttemptHandle) -> AttemptNews {
        let ratio = self.age_ratio(now, std::iter::once(handle.age()));
        if ratio >= STALL_RATIO {
            let change = self.note_sample(now, handle.key, OutcomeSample::Stalled);
            return AttemptNews { stalled: true, change, latency_ratio: None };
        }
        if let Some(record) = self.get_mut(handle.key) {
            record.note_unanswered(now, ratio);
        }
        AttemptNews::default()
    }

    /// Notes that an attempt of this box is open for longer than nearly all.
    pub(crate) fn record_overdue(&mut self, now: TimePoint, handle: &AttemptHandle) -> AttemptNews {
        let Some(record) = self.get_mut(handle.key) else {
            return AttemptNews::default();
        };
        record.open.note_told(handle);
        record.note_path_failure(now);
        let change = self.note_sample(now, handle.key, OutcomeSample::Stalled);
        AttemptNews { stalled: true, change, latency_ratio: None }
    }

    /// Takes what a peer saw of a target.
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
        self.drop_stale(now);
        let record = self.get_mut(key)?;
        if let Some(held) = sample.held {
            record.record_load(now, held);
        }
        if let Some(open) = sample.open {
            record.note_peer_open(now, peer, open, &sample.informative);
            self.note_use(now);
            self.note_told(now, sample);
        }
        let told = [
            (sample.good, OutcomeSample::Good),
            (sample.bad, OutcomeSample::Bad),
            (sample.overdue, OutcomeSample::Stalled),
        ];
        let mut change = None;
        for (count, kind) in told {
            // One message is one moment: more of the same says little more.
            for _ in 0..count.min(3) {
                change = self.note_belief(now, key, kind).or(change);
            }
        }
        change
    }

    /// Forgets, from time to time, what peers told of open attempts and never told the end of: kept for each
    /// target that was ever used, it grew for as long as the box ran.
    fn drop_stale(&mut self, now: TimePoint) {
        if now.since(self.swept_at) < PEER_OPEN_FOR {
            return;
        }
        self.swept_at = now;
        self.records.values_mut().for_each(|record| record.open.drop_stale(now));
    }

    /// Takes an outcome of this box.
    fn note_sample(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        sample: OutcomeSample,
    ) -> Option<SuspicionChange> {
        let failed = u32::from(sample != OutcomeSample::Good);
        self.count_ended(now, failed, 1);
        self.note_belief(now, key, sample)
    }

    fn note_belief(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        sample: OutcomeSample,
    ) -> Option<SuspicionChange> {
        self.episode_stats.note_failure(sample);
        let record = self.records.get_mut(&key)?;
        record.note_sample(now, sample, &self.episode_stats);
        record.note_suspicion(now)
    }

    pub(crate) fn insert(&mut self, key: TargetKey, record: TargetRecord) {
        *self.centres.entry(record.setup.data_centre.clone()).or_default() += 1;
        if let Some(before) = self.records.insert(key, record) {
            self.note_removed(&before);
        }
    }

    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetRecord> {
        let removed = self.records.remove(&key)?;
        self.note_removed(&removed);
        Some(removed)
    }

    /// How many targets a data centre has.
    pub(crate) fn target_count_in(&self, data_centre: &str) -> usize {
        self.centres.get(data_centre).copied().unwrap_or_default()
    }

    fn note_removed(&mut self, record: &TargetRecord) {
        if let Some(count) = self.centres.get_mut(&record.setup.data_centre) {
            *count = count.saturating_sub(1);
        }
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The targets in the regions `homes` that can be chosen now beside those that were `tried`.
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

    /// Time until the first target takes requests again, if all of them have said that they want none, or
    /// no more than they get, and one of them only for a while.
    pub(crate) fn time_to_first(&self, now: TimePoint, homes: HomeRegions<'_>) -> Option<Duration> {
        let is_there = |record: &TargetRecord| {
            !record.is_replaced() && !record.is_evacuated() && record.is_in(homes)
        };
        let present = self.records.values().filter(|record| is_there(record));
        let mut first: Option<Duration> = None;
        for record in present {
            let left = match record.notices.bar(now) {
                Some(NoticeBar::Leaving(_)) => continue,
                Some(NoticeBar::Resting { left, .. }) => left,
                None => record.permit_wait(now)?,
            };
            first = Some(first.map_or(left, |known| known.min(left)));
        }
        first
    }

    /// All targets, also those that get nothing now.
    pub(crate) fn all_records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// The same, to be changed.
    pub(crate) fn all_records_mut(&mut self) -> impl Iterator<Item = &mut TargetRecord> {
        self.records.values_mut()
    }

    /// Slots of a target; those of one service are the same.
    pub(crate) fn typical_slots(&self) -> u32 {
        self.records.values().next().map_or(1, |record| record.setup.slots)
    }

    /// Whether attempts are made at its targets.
    pub(crate) fn is_in_use(&self) -> bool {
        self.in_use_since.is_some()
    }

    /// The typical time of a request.
    pub(crate) fn typical_time(&self) -> Duration {
        self.typical.get().map_or(ASSUMED_TIME, Duration::from_secs_f64)
    }

    /// Kilobytes that an attempt moves: the answer, the request, and their headers.
    pub(crate) fn transfer_kb(&self, request: &SteerRequest<'_>) -> f64 {
        /// The headers of both.
        const OVERHEAD_KB: f64 = 1.0;
        let small_kb = self.small_bytes.get().unwrap_or_default() / 1000.0;
        let answer_kb = if request.large { LARGE_KB } else { small_kb };
        request.body_bytes as f64 / 1000.0 + answer_kb + OVERHEAD_KB
    }

    /// Requests a second that this box gets for the service.
    pub(crate) fn request_rate(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.rate_at).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }

    /// For how long attempts have been made without a long rest.
    pub(crate) fn in_use_for(&self, now: TimePoint) -> Duration {
        self.in_use_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// An attempt was made here, or at a peer of the data centre.
    ///
    /// Before the first one each target counted as left alone since the box started: of the
    /// orders of the first 2 s of load 78 in 100 became trials, and 25 in 100 of these were lost.
    pub(crate) fn note_use(&mut self, now: TimePoint) {
        if self.in_use_since.is_none() || now.since(self.used_at) >= REST_TIME {
            self.in_use_since = Some(now);
        }
        self.used_at = now;
    }

    pub(crate) fn record_request(&mut self, now: TimePoint) {
        self.rate = self.request_rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.rate_at = now;
    }

    /// How likely an attempt at a target fails, by what is believed of it and by what all
    /// boxes of the data centre have open there.
    pub(crate) fn risk(&self, now: TimePoint, record: &TargetRecord) -> f64 {
        record.risk(now, self.age_ratio(now, record.open.all_ages(now)))
    }

    /// How many times likelier those ages of open attempts are in a spell.
    fn age_ratio(&self, now: TimePoint, ages: impl Iterator<Item = OpenAge>) -> f64 {
        if !self.weighs_ages {
            return 1.0;
        }
        let stalling = self.episode_stats.stalling();
        ages.map(|age| self.times.stall_ratio(age.latency_ratio(now), stalling)).product()
    }

    /// The part of failures that are stalls.
    pub(crate) fn stalled_share(&self) -> f64 {
        self.episode_stats.stalled_share()
    }

    /// The share of attempts that failed of late, as far as boxes of the data centre tell.
    pub(crate) fn failing(&self, now: TimePoint) -> f64 {
        let fading = self.fading(now);
        self.failed * fading / (self.ended * fading + LEAST_ENDED)
    }

    /// Counts what a peer that tells all has told. Others tell of failures alone: counted in, they
    /// make 4 in 100 that fail look like 11 with three data centres and like 17 with five (worked
    /// out), so that calm is never seen and targets are tried as in an outage.
    fn note_told(&mut self, now: TimePoint, sample: &PeerSample) {
        let failed = sample.bad + sample.overdue;
        if failed + sample.good > 0 {
            self.count_ended(now, failed, failed + sample.good);
        }
    }

    fn count_ended(&mut self, now: TimePoint, failed: u32, ended: u32) {
        let fading = self.fading(now);
        self.failed = self.failed * fading + f64::from(failed);
        self.ended = self.ended * fading + f64::from(ended);
        self.ended_at = now;
    }

    fn fading(&self, now: TimePoint) -> f64 {
        (-now.since(self.ended_at).as_secs_f64() / FAILING_TIME.as_secs_f64()).exp()
    }

    /// The age at which no more than `share` of sound answers are still missing, in
    /// multiples of the typical time.
    pub(crate) fn age_of_share(&self, share: f64) -> f64 {
        self.times.age_of_share(share)
    }

    /// What waits of a request of that typical time are weighed by.
    pub(crate) fn late_scale(&self, goal: Duration, typical: Duration) -> LatenessScale {
        LatenessScale { goal, typical, anyway: self.share_later(goal, typical) }
    }

    /// How much likelier a request is late for its goal by a wait of `wait`. Most targets have none and need no look at the learned times: a choice
    /// among 431 took 105 us with one at each of them and 47 us without (`wingbench steer --cost`).
    pub(crate) fn lateness(&self, wait: Duration, scale: &LatenessScale) -> f64 {
        let LatenessScale { goal, typical, anyway } = *scale;
        if wait >= goal {
            return 1.0;
        }
        if wait.is_zero() { 0.0 } else { self.share_later(goal - wait, typical) - anyway }
    }

    /// The share of requests of that typical time that take longer than `time`.
    fn share_later(&self, time: Duration, typical: Duration) -> f64 {
        self.times.share_above(time.as_secs_f64() / typical.as_secs_f64().max(0.001))
    }

    /// What an attempt that begins now is measured by: from when on it has a slot.
    pub(crate) fn slot_expected_at(&self, now: TimePoint, key: TargetKey) -> TimePoint {
        let wait = self.records.get(&key).map(|record| record.wait(now, self.typical_time()));
        now + wait.unwrap_or_default()
    }

    pub(crate) fn note_answer(&mut self, time: Duration, bytes: usize) {
        /// Answers up to here count as small.
        const SMALL_BYTES: usize = 16 * 1024;
        self.typical.add(time.as_secs_f64());
        if bytes <= SMALL_BYTES {
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
