//! The retry budget: retries are balance by requests, so no outage makes a storm.

/// Retries balance and not yet spent.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    balance: f64,
}

impl RetryBudget {
    /// A budget where each request earns `share` of a retry, and at most `burst` are kept.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share, burst, balance: burst }
    }

    /// A request came.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(self.burst);
    }

    /// Takes one retry, if one is there.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns a retry that was taken and not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.burst);
    }
}
