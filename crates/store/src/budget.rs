//! Calls to the store that one box may make; a watch that waits counts as one.

use std::time::Duration;

/// A bucket of calls that fills with time. Pure: the caller gives the time.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_second: f64,
    burst: f64,
    calls: f64,
    filled: Duration,
}

impl CallBudget {
    /// `per_second` calls on average and `burst` at once.
    pub fn new(per_second: f64, burst: f64) -> CallBudget {
        CallBudget { per_second, burst, calls: burst, filled: Duration::ZERO }
    }

    /// Takes one call at `now` (time since any start), or says how long to wait for it.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.calls = (self.calls + passed * self.per_second).min(self.burst);
        if self.calls >= 1.0 {
            self.calls -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.calls) / self.per_second))
    }
}
