//! The retry budget: retries are earned by requests, so no outage makes a storm.

/// Retries earned and not yet spent.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    earned: f64,
}

impl RetryBudget {
    /// A budget where each request earns `share` of a retry, and at most `burst` are kept.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share, burst, earned: burst }
    }

    /// A request came.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.share).min(self.burst);
    }

    /// Takes one retry, if one is there.
    pub fn spend(&mut self) -> bool {
        if self.earned < 1.0 {
            return false;
        }
        self.earned -= 1.0;
        true
    }

    /// Returns a retry that was taken and not made.
    pub fn give_back(&mut self) {
        self.earned = (self.earned + 1.0).min(self.burst);
    }
}
