//! Exponential back-off between failed calls to the store.

use std::time::{Duration, Instant};

/// Wait after the first failed call; it doubles with each further failure, up to [`MAX_WAIT`].
const INITIAL_WAIT: Duration = Duration::from_millis(250);
/// Upper bound of the wait after a failed call, before jitter: half of the time within which targets
/// must be available again after an outage.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Wait that doubles with each consecutive failure, with jitter so that boxes don't call the store
/// at the same moments.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
    /// Earliest time of the next call.
    until: Option<Instant>,
}

impl StoreBackoff {
    /// Returns the number of failed calls since the last successful one.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed call. `jitter` is from 0 to 1 and scales the wait by 0.7 to 1.3.
    pub(crate) fn record_failure(&mut self, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        let doubled = INITIAL_WAIT.saturating_mul(1 << self.failures.min(4).saturating_sub(1));
        self.pause_for(doubled.min(MAX_WAIT).mul_f64(0.7 + 0.6 * jitter));
    }

    /// Clears the failures and the wait after a successful call.
    pub(crate) fn reset(&mut self) {
        *self = StoreBackoff::default();
    }

    /// Allows no call for `time` from now on.
    pub(crate) fn pause_for(&mut self, time: Duration) {
        self.until = Some(Instant::now() + time);
    }

    /// Returns the time until the next call is allowed; zero if it is allowed now.
    pub(crate) fn remaining(&self) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}
