//! Exponential back-off with jitter between failed calls.

use std::time::Duration;

use rand::Rng;

/// The state of an exponential back-off.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off whose delay is about `first` after one failure and doubles with each
    /// further one, up to `max`.
    pub fn new(first: Duration, max: Duration) -> Backoff {
        Backoff { first, max, failures: 0 }
    }

    /// Records a successful call: the next failure starts at the first delay again.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and returns the delay before the next one. Half of the delay is random,
    /// so that boxes don't retry in step.
    pub fn fail(&mut self, random: &mut impl Rng) -> Duration {
        let delay = self.first.saturating_mul(1 << self.failures.min(16)).min(self.max);
        self.failures = self.failures.saturating_add(1);
        delay.mul_f64(0.5 + random.random::<f64>() / 2.0)
    }
}
