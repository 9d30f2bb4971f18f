//! The number of recent ejections of a target, and the back-off that follows from it.

use std::time::Duration;

use crate::time::TimePoint;

/// Time without an ejection after which the count decreases by one.
const FORGET_INTERVAL: Duration = Duration::from_secs(600);
/// Maximum number of doublings of the back-off. The back-off reaches any configured upper bound long
/// before this.
const MAX_DOUBLINGS: u32 = 16;

/// The number of ejections that are still counted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlapCount {
    count: u32,
    last: TimePoint,
}

impl FlapCount {
    /// Counts one more ejection. The result is at least `min`, the count of another component.
    pub(crate) fn record(&mut self, now: TimePoint, min: u32) {
        self.count = min.max(self.remaining_count(now) + 1);
        self.last = now;
    }

    /// Raises the count to at least `min`, the count of another component for the same ejection.
    pub(crate) fn raise(&mut self, min: u32) {
        self.count = self.count.max(min);
    }

    /// Returns the number of ejections that were counted as of the last one.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the duration of the last ejection: `first`, doubled for each earlier one, up to `max`.
    pub(crate) fn backoff(&self, first: Duration, max: Duration) -> Duration {
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        first.saturating_mul(1 << doublings).min(max)
    }

    fn remaining_count(&self, now: TimePoint) -> u32 {
        let forgotten = now.since(self.last).as_secs() / FORGET_INTERVAL.as_secs();
        self.count.saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX))
    }
}
