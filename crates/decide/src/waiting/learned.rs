//! What a queue learns from the attempts of its service in this box: the rate at which they end, their times, and the
//! rates at which requests of each rank join.

use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of the rate. It is long enough for some ends at a service with one request a second, and short
/// enough to follow the loss of a part of the targets within seconds.
const RATE_TIME: Duration = Duration::from_secs(3);
/// Number of counted events below which the rate is not known.
const MIN_EVENTS: f64 = 3.0;

/// Counts events, as ends of attempts, decayed over [`RATE_TIME`].
#[derive(Debug, Default)]
pub(super) struct EventRate {
    count: f64,
    /// Part of the window that has been observed, 0 to 1.
    observed: f64,
    updated_at: TimePoint,
}

impl EventRate {
    /// Counts an event.
    pub(super) fn record(&mut self, now: TimePoint) {
        let decay = self.decay(now);
        self.observed = 1.0 - (1.0 - self.observed) * decay;
        self.count = self.count * decay + 1.0;
        self.updated_at = now;
    }

    /// Returns the events per second, or `None` if too few were counted.
    pub(super) fn estimate(&self, now: TimePoint) -> Option<f64> {
        let (count, window) = self.counted(now);
        (count >= MIN_EVENTS && window > 0.0).then(|| count / window)
    }

    /// Returns an upper estimate of the events per second, one standard deviation above the decayed count, or `None`
    /// if too few were counted. A request that could have been served must not be refused because few ends happened
    /// to fall into the window.
    pub(super) fn upper_estimate(&self, now: TimePoint) -> Option<f64> {
        let (count, window) = self.counted(now);
        (count >= MIN_EVENTS && window > 0.0).then(|| (count + (count / 2.0).sqrt()) / window)
    }

    /// Returns the decayed count, and the seconds over which it was counted.
    fn counted(&self, now: TimePoint) -> (f64, f64) {
        let decay = self.decay(now);
        let observed = 1.0 - (1.0 - self.observed) * decay;
        (self.count * decay, RATE_TIME.as_secs_f64() * observed)
    }

    fn decay(&self, now: TimePoint) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}

/// Maximum number of ranks whose arrivals are counted; those of further ranks are not counted.
const MAX_COUNTED_RANKS: usize = 16;

/// The rates at which requests of each rank join the queue.
#[derive(Debug, Default)]
pub(super) struct JoinRates {
    ranks: Vec<(u32, EventRate)>,
}

impl JoinRates {
    pub(super) fn record(&mut self, now: TimePoint, rank: u32) {
        let index = self.ranks.iter().position(|(known, _)| *known == rank);
        let index = index.unwrap_or_else(|| {
            self.ranks.push((rank, EventRate::default()));
            self.ranks.len() - 1
        });
        self.ranks[index].1.record(now);
        self.ranks.truncate(MAX_COUNTED_RANKS);
    }

    /// Returns the requests per second that join with a rank before `rank`.
    pub(super) fn before(&self, now: TimePoint, rank: u32) -> f64 {
        let before = self.ranks.iter().filter(|(known, _)| *known < rank);
        before.filter_map(|(_, rate)| rate.estimate(now)).sum()
    }
}

/// Weight of the newest attempt in the mean times.
const ATTEMPT_WEIGHT: f64 = 0.02;

/// The attempts of a service that are open in this box, and the mean times of those that have ended.
#[derive(Debug, Default)]
pub(super) struct AttemptStats {
    open: u32,
    ended: u32,
    /// Mean time of an attempt in seconds.
    time: f64,
    /// Mean wait at the target that attempts were expected to have when they began, in seconds.
    wait: f64,
}

impl AttemptStats {
    pub(super) fn record_start(&mut self) {
        self.open += 1;
    }

    /// Records that an attempt has ended whose time says nothing about other attempts.
    pub(super) fn record_other_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records that an attempt was answered.
    pub(super) fn record_end(&mut self, time: Duration, wait: Duration) {
        self.open = self.open.saturating_sub(1);
        self.ended = self.ended.saturating_add(1);
        let weight = ATTEMPT_WEIGHT.max(1.0 / f64::from(self.ended));
        self.time += (time.as_secs_f64() - self.time) * weight;
        self.wait += (wait.as_secs_f64() - self.wait) * weight;
    }

    pub(super) fn mean_wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait)
    }

    /// Returns the ends per second that the open attempts will give.
    pub(super) fn expected_rate(&self) -> Option<f64> {
        (self.ended > 0 && self.time > 0.0).then(|| f64::from(self.open) / self.time)
    }
}
