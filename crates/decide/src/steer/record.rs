//! The state that this box keeps of one target: failure estimate, network path, load, latency, and what limits it.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::failure_estimate::{EpisodeStats, FailureEstimate, OutcomeSample};
use crate::steer::limit::RequestRate;
use crate::steer::messages::{HomeRegions, SteerOutcome, SuspicionChange};
use crate::steer::notice::NoticeState;
use crate::steer::open::{AttemptHandle, OpenAge, OpenAttempts};
use crate::time::TimePoint;

/// Time in which a reported load loses half its weight: about the work of one request.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(250);
/// Time for which a target counts as full after it refused a request for lack of room.
const FULL_DURATION: Duration = Duration::from_millis(200);
/// Number of requests that a full target is assumed to hold, as a multiple of its slots.
const FULL_LOAD_FACTOR: f64 = 5.0;
/// Time for which a network path is avoided after it failed, if there is another target.
const PATH_AVOIDANCE_TIME: Duration = Duration::from_secs(2);
/// Risk of a network path that has failed within [`PATH_AVOIDANCE_TIME`].
const PATH_RISK: f64 = 0.9;
/// Weight of the newest latency ratio in the slowness of a target. It is low because the work of single
/// requests varies by a factor of two and more.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Slowness above which a target counts as slower than others: chance alone causes values up to this.
const MIN_SLOWNESS: f64 = 1.3;
/// Time for which a peer's report that a target is cold counts. The listing, which shows the same, reaches each
/// box sooner.
const REPORTED_COLD_LIFETIME: Duration = Duration::from_secs(3);
/// Factor by which a cold target takes longer; the users state a factor of two.
const COLD_FACTOR: f64 = 2.0;
/// Weight of the newest work time in the learned one of a target. The capacity of a data centre follows a change of
/// speed within four answers of each target; the error of single targets by chance averages out in the sum.
const WORK_WEIGHT: f64 = 0.25;
/// Time constant with which the learned work time of a target without answers returns to the one of its service, so
/// that a target that was slow is used again.
const WORK_MEMORY: Duration = Duration::from_secs(10);
/// Weight of the newest report in the average load of a target. Boxes hear of each target some two times a second.
const HELD_WEIGHT: f64 = 0.2;
/// Weight of the newest answer or refusal in the share of requests that a target with free slots refuses.
const DECLINED_WEIGHT: f64 = 0.1;
/// A suspect is trusted again once its risk is below this.
const MAX_TRUSTED_RISK: f64 = 0.1;
/// Minimum failure probability at which a target is a suspect.
pub const MIN_SUSPECT_RISK: f64 = 0.2;

/// A listed target that takes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SteerTarget {
    /// The name of the instance. A restarted instance may keep its name; it is another incarnation then.
    pub id: Name,
    /// Start of this incarnation in milliseconds since 1970; 0 if it is unknown.
    pub started_ms: u64,
    /// The address on which the target listens.
    pub address: Name,
    /// The service to which the target belongs.
    pub service: Name,
    /// The data centre of the target.
    pub data_centre: Name,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Time until which the target is slow because it has just started.
    pub cold_until: TimePoint,
    /// The region of the target's data centre.
    pub region: Name,
    /// Whether operators have evacuated the target's data centre, so that it gets no requests.
    pub evacuated: bool,
    /// Limit on the requests a second from all boxes together while the target is cold, if it reports
    /// that it is cold and its service has such a limit.
    pub cold_rate: Option<RequestRate>,
}

impl SteerTarget {
    /// Returns the identity of the target between boxes. It is made of the name and the start of the
    /// incarnation, since addresses are reused.
    pub fn key(&self) -> TargetKey {
        TargetKey::of_incarnation(&self.id, self.started_ms)
    }
}

/// A listed target with its state in this box.
#[derive(Debug)]
pub struct TargetRecord {
    pub(crate) setup: SteerTarget,
    estimate: FailureEstimate,
    /// When an attempt at the target was last known to begin, be open or end, here or at a peer.
    attempted_at: TimePoint,
    /// When the last known attempt at the target began, here or at a peer.
    begun_at: TimePoint,
    /// Whether the last attempt at the target failed, here or at a peer.
    last_failed: bool,
    /// When an attempt at the target last failed.
    failed_at: Option<TimePoint>,
    suspect: bool,
    /// Whether the target joined while this box ran and its service was in use, and got no attempt yet.
    unattempted: bool,
    /// Whether another instance answered at the target's address. The target has ended then, also if the
    /// store still lists it.
    replaced: bool,
    /// What the target has reported about itself in its answers.
    pub(crate) notices: NoticeState,
    /// Time until which no permit is available for the target.
    no_permit_until: Option<TimePoint>,
    /// A peer's report that the target is cold, received before the listing showed it.
    reported_cold: Option<ReportedCold>,
    path_failed_at: Option<TimePoint>,
    full_at: Option<TimePoint>,
    /// The attempts that this box and its peers have open at the target.
    pub(crate) open: OpenAttempts,
    held: u32,
    held_at: TimePoint,
    /// Average of the reported loads.
    held_average: f64,
    /// Average latency ratio of the target's good answers.
    slowness: f64,
    /// Average time of the target's good answers in seconds, as if it were warm, and when the last one arrived.
    work: Option<(f64, TimePoint)>,
    /// Share of the requests that the target refused although it reported free slots.
    declined: f64,
}

#[derive(Debug, Clone, Copy)]
struct ReportedCold {
    rate: RequestRate,
    until: TimePoint,
}

impl TargetRecord {
    /// Creates the record of a newly listed target. `at_start` states whether the box has just started, `in_use`
    /// whether the target's service gets requests, `notices` what the target reported before.
    pub(crate) fn new(
        setup: SteerTarget,
        now: TimePoint,
        at_start: bool,
        in_use: bool,
        notices: NoticeState,
    ) -> TargetRecord {
        TargetRecord {
            setup,
            estimate: FailureEstimate::new(now, at_start),
            attempted_at: now,
            begun_at: now,
            last_failed: false,
            failed_at: None,
            suspect: false,
            unattempted: !at_start && in_use,
            replaced: false,
            notices,
            no_permit_until: None,
            reported_cold: None,
            path_failed_at: None,
            full_at: None,
            open: OpenAttempts::default(),
            held: 0,
            held_at: now,
            held_average: 0.0,
            slowness: 1.0,
            work: None,
            declined: 0.0,
        }
    }

    /// Replaces the listed properties. A target that was replaced at its address counts as present again
    /// if the address has changed.
    pub(crate) fn with_setup(mut self, setup: SteerTarget) -> TargetRecord {
        self.replaced &= setup.address == self.setup.address;
        self.setup = setup;
        self
    }

    /// Returns the probability that an attempt fails here. `ratio` is the likelihood ratio of the ages of the open
    /// attempts for a failure episode relative to a healthy target.
    pub(crate) fn risk(&self, now: TimePoint, ratio: f64) -> f64 {
        let risk = self.estimate.risk(now, ratio);
        let path = if self.is_path_usable(now) { 0.0 } else { PATH_RISK };
        1.0 - (1.0 - risk) * (1.0 - path)
    }

    /// Returns whether the network path to the target has not failed recently.
    pub(crate) fn is_path_usable(&self, now: TimePoint) -> bool {
        self.path_failed_at.is_none_or(|failed| now.since(failed) >= PATH_AVOIDANCE_TIME)
    }

    /// Returns whether the target is in one of the regions in which a request may be served.
    pub(crate) fn is_in(&self, homes: HomeRegions<'_>) -> bool {
        homes.allow(&self.setup.region)
    }

    /// Returns whether operators have evacuated the target's data centre.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.setup.evacuated
    }

    /// Returns whether another instance has the target's address.
    pub(crate) fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns whether the target may get requests at all: it is present, it is neither draining nor backing off,
    /// and permits for it are available.
    ///
    /// Every choice of a target applies this filter, also for trials, retries and hedges. When a refusal was only
    /// a cost in the score, three targets that had asked for a back-off were sent 18 to 53 requests a second, all
    /// refused, of the 50 to 84 of their service (counted by the targets over six seconds).
    pub(crate) fn is_eligible(&self, now: TimePoint) -> bool {
        !self.replaced
            && !self.setup.evacuated
            && self.notices.ineligibility(now).is_none()
            && self.permit_wait(now).is_none()
    }

    /// Returns the limit over all boxes that applies now: the lower of the limit that the target announces in its
    /// answers and the limit that applies while it is cold.
    pub(crate) fn limit(&self, now: TimePoint) -> Option<RequestRate> {
        let named = self.notices.limit();
        named.into_iter().chain(self.cold_rate(now)).min()
    }

    /// Returns the limit that applies because the target is cold, if it is.
    pub(crate) fn cold_rate(&self, now: TimePoint) -> Option<RequestRate> {
        let reported = self.reported_cold.filter(|cold| now < cold.until).map(|cold| cold.rate);
        self.setup.cold_rate.into_iter().chain(reported).min()
    }

    /// Records a peer's report that the target is cold and limited to `rate`, for the short time until
    /// the listing shows it as well.
    pub(crate) fn record_cold(&mut self, now: TimePoint, rate: RequestRate) {
        self.reported_cold = Some(ReportedCold { rate, until: now + REPORTED_COLD_LIFETIME });
    }

    /// Returns the remaining time for which no permit is available for the target, or `None` if one may be
    /// available.
    pub(crate) fn permit_wait(&self, now: TimePoint) -> Option<Duration> {
        self.limit(now)?;
        let until = self.no_permit_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Records that no permit is available for the target before `until`.
    pub(crate) fn record_no_permit_until(&mut self, until: TimePoint) {
        self.no_permit_until = Some(until);
    }

    /// Clears the time until which no permit is available, which applied to another limit.
    pub(crate) fn clear_permit_wait(&mut self) {
        self.no_permit_until = None;
    }

    /// Shortens back-offs and permit waits by `time`, which the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.notices.advance_clocks(time);
        self.no_permit_until = self.no_permit_until.map(|until| until.before(time));
    }

    /// Records that another instance has the target's address; returns whether that was unknown.
    pub(crate) fn record_replaced(&mut self) -> bool {
        !std::mem::replace(&mut self.replaced, true)
    }

    /// Returns whether no attempt at the target has failed within `time`, and its path is usable.
    pub(crate) fn has_not_failed_for(&self, now: TimePoint, time: Duration) -> bool {
        self.is_path_usable(now) && !self.has_failed_within(now, time)
    }

    /// Returns whether an attempt at the target has failed within `time`, here or at a peer.
    pub(crate) fn has_failed_within(&self, now: TimePoint, time: Duration) -> bool {
        self.failed_at.is_some_and(|failed| now.since(failed) < time)
    }

    /// Returns whether the last attempt, here or at a peer, did not fail, and no connection from this box has failed since
    /// the last one that came up.
    pub(crate) fn is_believed_up(&self) -> bool {
        !self.last_failed && self.path_failed_at.is_none()
    }

    /// Returns whether the last attempt at the target failed, here or at a peer.
    pub(crate) fn last_failed(&self) -> bool {
        self.last_failed
    }

    /// Returns whether the target joined while this box ran, and got no attempt yet.
    pub(crate) fn is_unattempted(&self) -> bool {
        self.unattempted
    }

    /// Updates whether the target is a suspect; returns the change, if there is one.
    pub(crate) fn update_suspicion(&mut self, now: TimePoint) -> Option<SuspicionChange> {
        let risk = self.estimate.risk(now, 1.0);
        let suspect =
            if self.suspect { risk >= MAX_TRUSTED_RISK } else { risk >= MIN_SUSPECT_RISK };
        // Only a failure makes a suspect, not the return of the estimate to its prior over time.
        if suspect == self.suspect || (suspect && !self.last_failed) {
            return None;
        }
        self.suspect = suspect;
        let SteerTarget { id, service, .. } = &self.setup;
        Some(SuspicionChange { id: id.clone(), service: service.clone(), risk, suspect })
    }

    /// Returns whether the target is a suspect whose last failure is recent enough to be evidence.
    pub(crate) fn is_suspect(&self, now: TimePoint) -> bool {
        self.suspect && self.estimate.risk(now, 1.0) >= MIN_SUSPECT_RISK
    }

    /// Makes the target a suspect by one failure that this box did not observe. That failure is no attempt, so
    /// that the time until the next trial is not counted from it.
    pub(crate) fn restore_suspicion(&mut self, now: TimePoint) {
        self.estimate.record_outcome(now, OutcomeSample::Bad, &EpisodeStats::default());
        self.suspect = true;
        self.last_failed = true;
    }

    /// Returns the time for which the target has been idle, as far as known here.
    ///
    /// For a target that failed this is the time since the last attempt began. A stalled attempt is open for as long as
    /// its route allows, and if the target recovered meanwhile, its next trial would be late by that time.
    pub(crate) fn idle_time(&self, now: TimePoint) -> Duration {
        now.since(if self.last_failed { self.begun_at } else { self.attempted_at })
    }

    /// Returns the remaining time for which the target is slow because it has just started.
    pub(crate) fn cold_remaining(&self, now: TimePoint) -> Duration {
        self.setup.cold_until.since(now)
    }

    /// Returns whether the target has just refused a request for lack of room.
    pub(crate) fn is_full(&self, now: TimePoint) -> bool {
        self.full_at.is_some_and(|full| now.since(full) < FULL_DURATION)
    }

    /// Returns the estimated number of requests that the target holds: the last reported load, decayed,
    /// plus the attempts of this box since, and no fewer than are known to be open.
    pub(crate) fn busy(&self, now: TimePoint) -> f64 {
        if self.is_full(now) {
            return f64::from(self.setup.slots) * FULL_LOAD_FACTOR;
        }
        self.expected_load(now, 0.0)
    }

    /// Returns the estimated number of requests that the target holds while its service is loaded. The last reported
    /// load then returns to the average one: at a target of another data centre, and at one that serves requests from
    /// there, most of the load is not known to this box otherwise.
    pub(crate) fn loaded_busy(&self, now: TimePoint) -> f64 {
        if self.is_full(now) {
            return f64::from(self.setup.slots) * FULL_LOAD_FACTOR;
        }
        self.expected_load(now, self.held_average)
    }

    /// Returns the last reported load, which returns to `average` over time, plus the attempts of this box since, and
    /// no less than the number of attempts that are known to be open.
    fn expected_load(&self, now: TimePoint, average: f64) -> f64 {
        let age = now.since(self.held_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let since = self.open.own_count_since(self.held_at);
        let held = average + (f64::from(self.held) - average) * (-age).exp2();
        (held + f64::from(since)).max(f64::from(self.open.total_count(now)))
    }

    /// Returns the expected delay of a request at the target: its wait for a slot, plus the time by which
    /// the target works longer than `typical`.
    pub(crate) fn wait(&self, now: TimePoint, typical: Duration) -> Duration {
        let slowness = if self.slowness > MIN_SLOWNESS { self.slowness } else { 1.0 };
        let own = typical.mul_f64(slowness * self.cold_factor(now));
        own.mul_f64(self.rounds_ahead(self.busy(now))) + own.saturating_sub(typical)
    }

    /// Returns the time that the target takes for a request that takes `typical` on average at the targets of its
    /// service, by its answers.
    pub(crate) fn work_time(&self, now: TimePoint, typical: Duration) -> Duration {
        let typical = typical.as_secs_f64();
        let learned = self.work.map_or(typical, |(work, learned_at)| {
            let memory = -now.since(learned_at).as_secs_f64() / WORK_MEMORY.as_secs_f64();
            typical + (work - typical) * memory.exp()
        });
        Duration::from_secs_f64(learned * self.cold_factor(now))
    }

    /// Returns whether the target counts for the capacity of its data centre.
    pub(crate) fn is_trusted(&self, now: TimePoint) -> bool {
        self.takes_requests(now) && !self.is_suspect(now)
    }

    /// Returns how much of `rate`, the requests a second for which the target has slots, it accepts.
    pub(crate) fn bounded_rate(&self, now: TimePoint, rate: f64) -> f64 {
        let accepted = rate * (1.0 - self.declined);
        self.limit(now).map_or(accepted, |limit| accepted.min(limit.per_second()))
    }

    /// Returns whether the target may get requests, apart from permits: their limit is a part of the capacity.
    pub(crate) fn takes_requests(&self, now: TimePoint) -> bool {
        !self.replaced && !self.setup.evacuated && self.notices.ineligibility(now).is_none()
    }

    /// Returns the number of rounds of work that a new request waits for if the target holds `busy` requests.
    pub(crate) fn rounds_ahead(&self, busy: f64) -> f64 {
        let slots = f64::from(self.setup.slots.max(1));
        (busy + 1.0 - slots).max(0.0) / slots
    }

    /// Returns the wait for a slot by what the target was observed to finish, while its service is loaded.
    pub(crate) fn loaded_wait(&self, now: TimePoint, typical: Duration) -> Duration {
        self.work_time(now, typical).mul_f64(self.rounds_ahead(self.loaded_busy(now)))
    }

    fn cold_factor(&self, now: TimePoint) -> f64 {
        if self.cold_remaining(now).is_zero() { 1.0 } else { COLD_FACTOR }
    }

    pub(crate) fn begin(&mut self, handle: AttemptHandle) {
        self.open.begin(handle);
        self.unattempted = false;
        self.attempted_at = handle.started;
        self.begun_at = handle.started;
    }

    /// Records a load report of the target, `held` being the number of requests that it holds.
    pub(crate) fn record_load(&mut self, now: TimePoint, held: u32) {
        self.held = held;
        self.held_at = now;
        self.held_average += (f64::from(held) - self.held_average) * HELD_WEIGHT;
        // The report of a refusal arrives with it.
        if self.full_at == Some(now) && held < self.setup.slots {
            self.declined += (1.0 - self.declined) * DECLINED_WEIGHT;
        }
    }

    /// Records the latency ratio of a good answer.
    pub(crate) fn record_latency_ratio(&mut self, latency_ratio: f64) {
        self.slowness += (latency_ratio - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Records the time of a good answer without the wait for a slot, relative to the typical one of its route, where
    /// requests to the service take `typical` on average.
    pub(crate) fn record_work(&mut self, now: TimePoint, latency_ratio: f64, typical: Duration) {
        let newest = latency_ratio * typical.as_secs_f64() / self.cold_factor(now);
        if !newest.is_finite() || newest <= 0.0 {
            return;
        }
        let known = self.work.map_or(newest, |(work, _)| work);
        self.work = Some((known + (newest - known) * WORK_WEIGHT, now));
    }

    /// Merges a peer's report that it has `count` attempts open, and that `ended` others have ended since its last one.
    /// An open attempt of a peer counts as an attempt at the target, so that no other box makes a trial at the same
    /// time: without this, several boxes tried one stalled target at once, and half of the orders that were lost
    /// within a minute were trials.
    pub(crate) fn merge_peer_open(
        &mut self,
        now: TimePoint,
        peer: u64,
        count: u32,
        ended: u32,
        informative: &[OpenAge],
    ) {
        let open_before = self.open.peer_count(peer);
        self.open.merge_peer(now, peer, count, informative);
        if count > 0 {
            self.unattempted = false;
            self.attempted_at = now;
        }
        if count + ended > open_before {
            self.begun_at = now;
        }
    }

    /// Records that a peer that does not report its open attempts has begun one.
    pub(crate) fn record_peer_attempt(&mut self, now: TimePoint) {
        self.begun_at = now;
    }

    /// Records the outcome of an attempt of this box as evidence about the network path and the load.
    pub(crate) fn record_own_outcome(&mut self, now: TimePoint, outcome: SteerOutcome) {
        match outcome {
            SteerOutcome::ConnectFailed | SteerOutcome::Incomplete => self.record_path_failure(now),
            SteerOutcome::Good(_) => {
                self.path_failed_at = None;
                self.full_at = None;
                self.declined -= self.declined * DECLINED_WEIGHT;
            }
            SteerOutcome::Shed => self.full_at = Some(now),
            _ => {}
        }
    }

    pub(crate) fn record_path_failure(&mut self, now: TimePoint) {
        self.path_failed_at = Some(now);
    }

    /// Updates the failure estimate by the outcome of an attempt, here or at a peer.
    pub(crate) fn record_sample(
        &mut self,
        now: TimePoint,
        sample: OutcomeSample,
        episode_stats: &EpisodeStats,
    ) {
        self.estimate.record_outcome(now, sample, episode_stats);
        self.unattempted = false;
        self.attempted_at = now;
        self.last_failed = sample != OutcomeSample::Good;
        if self.last_failed {
            self.failed_at = Some(now);
        }
    }

    /// Updates the failure estimate by the age of an attempt that ended without an answer. `ratio` is the
    /// likelihood ratio of that age for a failure episode relative to a healthy target.
    pub(crate) fn record_unanswered(&mut self, now: TimePoint, ratio: f64) {
        self.estimate.record_evidence(now, ratio);
    }
}
