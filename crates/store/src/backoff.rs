//! Waits between failed calls: longer each time, and never in step.

use std::time::Duration;

use rand::Rng;

/// The wait before the next try.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits of about `first`, doubled after each failure up to `most`.
    pub fn new(first: Duration, most: Duration) -> Backoff {
        Backoff { first, most, failures: 0 }
    }

    /// A call went well.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// A call failed: how long to wait now, half of it by chance.
    pub fn fail(&mut self, random: &mut impl Rng) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16)).min(self.most);
        self.failures = self.failures.saturating_add(1);
        doubled.mul_f64(0.5 + random.random::<f64>() / 2.0)
    }
}
