//! The wait after failed calls to the store.

use std::time::{Duration, Instant};

/// First wait after a failed call; it doubles up to the longest.
const FIRST: Duration = Duration::from_millis(250);
/// Longest wait after failed calls: half of what targets have to come back in.
const LONGEST: Duration = Duration::from_millis(1000);

/// Waits that double with each failure, spread so that boxes don't call in step.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
    /// No call is made before.
    until: Option<Instant>,
}

impl StoreBackoff {
    /// Failures since the last call that went well.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// A call failed; `spread` is from 0 to 1.
    pub(crate) fn record_failure(&mut self, spread: f64) {
        self.failures = self.failures.saturating_add(1);
        let doubled = FIRST.saturating_mul(1 << self.failures.min(4).saturating_sub(1));
        self.pause_for(doubled.min(LONGEST).mul_f64(0.7 + 0.6 * spread));
    }

    /// A call went well.
    pub(crate) fn reset(&mut self) {
        *self = StoreBackoff::default();
    }

    /// No call is made for `time`.
    pub(crate) fn pause_for(&mut self, time: Duration) {
        self.until = Some(Instant::now() + time);
    }

    /// How long no call is to be made yet.
    pub(crate) fn remaining(&self) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}
