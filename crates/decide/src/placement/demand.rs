//! The rate at which callers send requests.

use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of the rate. Boxes of one data centre get some 80 requests a second of a service together, so that
/// the error of the sum by chance is 9 % at this constant (calculated); half of it would give 12 %. With a second, plans
/// took 3.5 s to follow a step in demand.
const DEMAND_TIME: Duration = Duration::from_millis(800);

/// The requests a second that arrive, as an exponentially weighted average.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandRate {
    rate: f64,
    updated_at: TimePoint,
}

impl DemandRate {
    /// Counts a request.
    pub fn record(&mut self, now: TimePoint) {
        self.rate = self.get(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the requests a second.
    pub fn get(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }
}
