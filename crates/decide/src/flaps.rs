//! How often something was ejected lately, and how long it stays out for it.

use std::time::Duration;

use crate::time::TimePoint;

/// Time without a new ejection after which one earlier ejection is forgotten.
const FLAP_MEMORY: Duration = Duration::from_secs(600);
/// Doublings at most, far beyond any longest back-off.
const MOST_DOUBLINGS: u32 = 16;

/// Ejections that are not yet forgotten.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlapCount {
    count: u32,
    last: TimePoint,
}

impl FlapCount {
    /// Counts one more ejection. `least` is what another part has counted.
    pub(crate) fn record(&mut self, now: TimePoint, least: u32) {
        self.count = least.max(self.remembered(now) + 1);
        self.last = now;
    }

    /// Takes over what another part has counted for the same ejection.
    pub(crate) fn raise(&mut self, least: u32) {
        self.count = self.count.max(least);
    }

    /// How many they are.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// How long the last ejection lasts: `first`, doubled for each one before it.
    pub(crate) fn backoff(&self, first: Duration, most: Duration) -> Duration {
        let doublings = self.count.saturating_sub(1).min(MOST_DOUBLINGS);
        first.saturating_mul(1 << doublings).min(most)
    }

    fn remembered(&self, now: TimePoint) -> u32 {
        let forgotten = now.since(self.last).as_secs() / FLAP_MEMORY.as_secs();
        self.count.saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX))
    }
}
