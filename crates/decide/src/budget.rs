//! The retry budget of a service: each request earns a share of a retry, so an outage can't cause a retry storm.

/// The balance of a service: retries that its requests have earned and that are not spent yet.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that each request earns.
    share: f64,
    /// Maximum balance.
    burst: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget in which each request earns `share` of a retry, up to a balance of `burst`. It starts with
    /// `burst`.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share, burst, balance: burst }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(self.burst);
    }

    /// Spends one retry. Returns false if the balance is less than one.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns a retry that was spent and not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.burst);
    }
}
