//! A rate limit for the calls that one box makes to the store; a watch that waits counts as one call.

use std::time::Duration;

/// A token bucket of calls. It reads no clock: the caller passes the time.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_second: f64,
    burst: f64,
    calls: f64,
    refilled_at: Duration,
}

impl CallBudget {
    /// Creates a full bucket that allows `per_second` calls on average and `burst` at once.
    pub fn new(per_second: f64, burst: f64) -> CallBudget {
        CallBudget { per_second, burst, calls: burst, refilled_at: Duration::ZERO }
    }

    /// Takes one call out of the bucket at `now`, the time since a fixed but arbitrary start.
    ///
    /// # Errors
    /// The bucket is empty; the error is the time until it holds a call again.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.calls = (self.calls + passed * self.per_second).min(self.burst);
        if self.calls >= 1.0 {
            self.calls -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.calls) / self.per_second))
    }
}
