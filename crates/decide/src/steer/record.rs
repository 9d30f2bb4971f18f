//! One target, with what is known of it: belief, path, load, typical time.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::failure_estimate::{EpisodeStats, FailureEstimate, OutcomeSample};
use crate::steer::limit::RequestRate;
use crate::steer::messages::{HomeRegions, SteerOutcome, SuspicionChange};
use crate::steer::notice::NoticeState;
use crate::steer::open::{AttemptHandle, OpenAge, OpenAttempts};
use crate::time::TimePoint;

/// A reported load loses half its weight in this time: about one request's work.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(250);
/// A target that shed is taken as full for this long.
const FULL_FOR: Duration = Duration::from_millis(200);
/// Requests that a target which shed is taken to hold, in multiples of its slots.
const FULL_HELD: f64 = 5.0;
/// A path that failed is avoided for this long, if there is another one.
const PATH_AVOIDED: Duration = Duration::from_secs(2);
/// Risk of a path that has just failed.
const PATH_RISK: f64 = 0.9;
/// Weight of the newest time in a target's slowness: the work of single requests varies by
/// a factor of two and more.
const TIME_WEIGHT: f64 = 0.1;
/// A target up to this many times slower than typical counts as no slower: chance alone does
/// as much.
const SLOW_FROM: f64 = 1.3;
/// A peer's word that a target is cold counts for this long: the listing reaches each box sooner.
const COLD_TOLD_FOR: Duration = Duration::from_secs(3);
/// A cold target takes this many times as long. Source: the users' pages, twice.
const COLD_FACTOR: f64 = 2.0;
/// A suspect is trusted again below this probability of failure.
const TRUSTED_BELOW: f64 = 0.1;
/// A target is a suspect from this probability of failure on.
pub const SUSPECT_FROM: f64 = 0.2;

/// A target that takes work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SteerTarget {
    /// The instance's name. It may start again under it, as another life.
    pub id: Name,
    /// When this life of it began, in milliseconds since 1970; 0 if it is not known.
    pub born_ms: u64,
    /// Where it listens.
    pub address: Name,
    /// The service it belongs to.
    pub service: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Until when it is slow from its start.
    pub cold_until: TimePoint,
    /// The region of its data centre.
    pub region: Name,
    /// Whether operators want nothing sent to its data centre.
    pub evacuated: bool,
    /// The requests a second that it takes from all boxes together while it is cold, if it says that it
    /// is and its service has such a bound.
    pub cold_rate: Option<RequestRate>,
}

impl SteerTarget {
    /// Its identity between boxes. Addresses are used again, so name and life count.
    pub fn key(&self) -> TargetKey {
        TargetKey::of_life(&self.id, self.born_ms)
    }
}

/// A target with what is known of it.
#[derive(Debug)]
pub struct TargetRecord {
    pub(crate) setup: SteerTarget,
    belief: FailureEstimate,
    tried_at: TimePoint,
    /// Whether the last attempt at it failed, here or at a peer.
    last_failed: bool,
    /// When one failed last.
    failed_at: Option<TimePoint>,
    suspect: bool,
    /// Whether it joined while this box ran and its service was in use, and got nothing yet.
    fresh: bool,
    /// Another instance answers at its address: it has ended, whatever the store says.
    replaced: bool,
    /// What it has said of itself.
    pub(crate) notices: NoticeState,
    /// Until when there is no permit for it.
    used_up_until: Option<TimePoint>,
    /// What a peer told of it that knew sooner than this box that it is cold, and until when that counts.
    told_cold: Option<ToldCold>,
    path_failed_at: Option<TimePoint>,
    full_at: Option<TimePoint>,
    /// What this box and its peers have open here.
    pub(crate) open: OpenAttempts,
    held: u32,
    held_at: TimePoint,
    /// Its times, in multiples of what is typical.
    slowness: f64,
}

#[derive(Debug, Clone, Copy)]
struct ToldCold {
    rate: RequestRate,
    until: TimePoint,
}

impl TargetRecord {
    /// A record of a target that is listed now, and has said `notices` before. `at_start` is whether the box
    /// is new, `in_use` whether the target's service gets requests.
    pub(crate) fn new(
        setup: SteerTarget,
        now: TimePoint,
        at_start: bool,
        in_use: bool,
        notices: NoticeState,
    ) -> TargetRecord {
        TargetRecord {
            setup,
            belief: FailureEstimate::new(now, at_start),
            tried_at: now,
            last_failed: false,
            failed_at: None,
            suspect: false,
            fresh: !at_start && in_use,
            replaced: false,
            notices,
            used_up_until: None,
            told_cold: None,
            path_failed_at: None,
            full_at: None,
            open: OpenAttempts::default(),
            held: 0,
            held_at: now,
            slowness: 1.0,
        }
    }

    pub(crate) fn with_setup(mut self, setup: SteerTarget) -> TargetRecord {
        self.replaced &= setup.address == self.setup.address;
        self.setup = setup;
        self
    }

    /// How likely an attempt fails here, where the ages of open attempts are `ratio` times
    /// likelier in a spell.
    pub(crate) fn risk(&self, now: TimePoint, ratio: f64) -> f64 {
        let risk = self.belief.risk(now, ratio);
        let path = if self.path_clear(now) { 0.0 } else { PATH_RISK };
        1.0 - (1.0 - risk) * (1.0 - path)
    }

    pub(crate) fn path_clear(&self, now: TimePoint) -> bool {
        self.path_failed_at.is_none_or(|failed| now.since(failed) >= PATH_AVOIDED)
    }

    /// Whether it stands in one of the regions that a request may be served in.
    pub(crate) fn is_in(&self, homes: HomeRegions<'_>) -> bool {
        homes.allow(&self.setup.region)
    }

    /// Whether operators want nothing sent to its data centre.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.setup.evacuated
    }

    /// Whether another instance has its address.
    pub(crate) fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Whether it can be chosen at all: it is there, and has not said that it wants nothing.
    ///
    /// Each way to a target goes through this, trials, retries and second attempts too. With a
    /// refusal as a price alone three resting targets were sent 18 to 53 requests a second, all
    /// refused, of the 50 to 84 that their service got (counts of the targets over six seconds).
    pub(crate) fn is_eligible(&self, now: TimePoint) -> bool {
        !self.replaced
            && !self.setup.evacuated
            && self.notices.bar(now).is_none()
            && self.permit_wait(now).is_none()
    }

    /// The limit over all boxes that it has now: the one that it names in its answers, or the one that
    /// holds while it is cold, whichever is lower.
    pub(crate) fn limit(&self, now: TimePoint) -> Option<RequestRate> {
        let named = self.notices.limit();
        named.into_iter().chain(self.cold_rate(now)).min()
    }

    /// The limit that holds since it is cold, if it is.
    pub(crate) fn cold_rate(&self, now: TimePoint) -> Option<RequestRate> {
        let told = self.told_cold.filter(|told| now < told.until).map(|told| told.rate);
        self.setup.cold_rate.into_iter().chain(told).min()
    }

    /// Takes a peer's word that it is cold and takes `rate`; the listing says so as well soon.
    pub(crate) fn record_cold(&mut self, now: TimePoint, rate: RequestRate) {
        self.told_cold = Some(ToldCold { rate, until: now + COLD_TOLD_FOR });
    }

    /// For how long yet there is no permit for it, if so.
    pub(crate) fn permit_wait(&self, now: TimePoint) -> Option<Duration> {
        self.limit(now)?;
        let until = self.used_up_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Notes that there is no permit for it until then.
    pub(crate) fn record_no_permit_until(&mut self, until: TimePoint) {
        self.used_up_until = Some(until);
    }

    /// Forgets until when there is no permit for it: that was told for another limit.
    pub(crate) fn clear_permit_wait(&mut self) {
        self.used_up_until = None;
    }

    /// Counts `time`, which the clock did not, into what is left of rests and turns.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.notices.advance_clocks(time);
        self.used_up_until = self.used_up_until.map(|until| until.before(time));
    }

    /// Another instance has its address; returns whether that is new.
    pub(crate) fn record_replaced(&mut self) -> bool {
        !std::mem::replace(&mut self.replaced, true)
    }

    /// Whether no attempt at it has failed within `time`.
    pub(crate) fn has_not_failed_for(&self, now: TimePoint, time: Duration) -> bool {
        self.path_clear(now) && self.failed_at.is_none_or(|failed| now.since(failed) >= time)
    }

    /// Whether the last attempt at it failed.
    pub(crate) fn last_failed(&self) -> bool {
        self.last_failed
    }

    /// Whether it joined while this box ran, and got nothing yet.
    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Whether it became a suspect, or is none any more, by what was noted last.
    pub(crate) fn note_suspicion(&mut self, now: TimePoint) -> Option<SuspicionChange> {
        let risk = self.belief.risk(now, 1.0);
        let suspect = if self.suspect { risk >= TRUSTED_BELOW } else { risk >= SUSPECT_FROM };
        // Time alone makes nobody a suspect: it takes a failure.
        if suspect == self.suspect || (suspect && !self.last_failed) {
            return None;
        }
        self.suspect = suspect;
        let SteerTarget { id, service, .. } = &self.setup;
        Some(SuspicionChange { id: id.clone(), service: service.clone(), risk, suspect })
    }

    pub(crate) fn untried(&self, now: TimePoint) -> Duration {
        now.since(self.tried_at)
    }

    pub(crate) fn cold_time(&self, now: TimePoint) -> Duration {
        self.setup.cold_until.since(now)
    }

    /// Whether it has just refused for want of room.
    pub(crate) fn is_full(&self, now: TimePoint) -> bool {
        self.full_at.is_some_and(|full| now.since(full) < FULL_FOR)
    }

    /// Requests that it is taken to hold: what it last said, aged, and what was sent since.
    pub(crate) fn busy(&self, now: TimePoint) -> f64 {
        if self.is_full(now) {
            return f64::from(self.setup.slots) * FULL_HELD;
        }
        let age = now.since(self.held_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let since = self.open.own_since(self.held_at);
        let reported = f64::from(self.held) * (-age).exp2() + f64::from(since);
        reported.max(f64::from(self.open.all(now)))
    }

    /// How long a request would wait there for a slot, and longer than elsewhere.
    pub(crate) fn wait(&self, now: TimePoint, typical: Duration) -> Duration {
        let slots = f64::from(self.setup.slots.max(1));
        let ahead = (self.busy(now) + 1.0 - slots).max(0.0) / slots;
        let cold = if self.cold_time(now).is_zero() { 1.0 } else { COLD_FACTOR };
        let slowness = if self.slowness > SLOW_FROM { self.slowness } else { 1.0 };
        let own = typical.mul_f64(slowness * cold);
        own.mul_f64(ahead) + own.saturating_sub(typical)
    }

    pub(crate) fn begin(&mut self, handle: AttemptHandle) {
        self.open.begin(handle);
        self.fresh = false;
        self.tried_at = handle.started;
    }

    pub(crate) fn record_load(&mut self, now: TimePoint, held: u32) {
        self.held = held;
        self.held_at = now;
    }

    /// Takes the time of a good answer, in multiples of what is typical.
    pub(crate) fn note_time(&mut self, latency_ratio: f64) {
        self.slowness += (latency_ratio - self.slowness) * TIME_WEIGHT;
    }

    /// Takes what a peer has open here. Who has something open tries the target, so that
    /// nobody else needs to: several boxes tried one stalled target at once, and of the
    /// orders that were lost within a minute half were trials.
    pub(crate) fn note_peer_open(
        &mut self,
        now: TimePoint,
        peer: u64,
        count: u32,
        informative: &[OpenAge],
    ) {
        self.open.note_peer(now, peer, count, informative);
        if count > 0 {
            self.fresh = false;
            self.tried_at = now;
        }
    }

    /// Notes what an own outcome says of the path, the load and the times.
    pub(crate) fn note_own(&mut self, now: TimePoint, outcome: SteerOutcome) {
        match outcome {
            SteerOutcome::NotConnected | SteerOutcome::Broken => self.note_path_failure(now),
            SteerOutcome::Good(_) => {
                self.path_failed_at = None;
                self.full_at = None;
            }
            SteerOutcome::Shed => self.full_at = Some(now),
            _ => {}
        }
    }

    pub(crate) fn note_path_failure(&mut self, now: TimePoint) {
        self.path_failed_at = Some(now);
    }

    /// Takes an outcome into the belief.
    pub(crate) fn note_sample(
        &mut self,
        now: TimePoint,
        sample: OutcomeSample,
        episode_stats: &EpisodeStats,
    ) {
        self.belief.note(now, sample, episode_stats);
        self.fresh = false;
        self.tried_at = now;
        self.last_failed = sample != OutcomeSample::Good;
        if self.last_failed {
            self.failed_at = Some(now);
        }
    }

    /// Takes what the age of an attempt says that ended unanswered: it is `ratio` times
    /// likelier in a spell.
    pub(crate) fn note_unanswered(&mut self, now: TimePoint, ratio: f64) {
        self.belief.take_ratio(now, ratio);
    }
}
