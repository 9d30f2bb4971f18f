//! A token bucket that can go into debt.

use crate::time::TimePoint;

/// A token bucket that refills at a given rate up to a capacity. Its balance may be negative.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: TimePoint,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub fn new(now: TimePoint, tokens: f64) -> TokenBucket {
        TokenBucket { tokens, filled_at: now }
    }

    /// Refills the bucket at `rate` tokens a second up to `capacity`. Tokens above the capacity are lost.
    pub fn fill(&mut self, now: TimePoint, rate: f64, capacity: f64) {
        let added = now.since(self.filled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the balance, which is negative if more tokens were spent than were available.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns `amount` unused tokens to the bucket, up to `capacity`.
    pub fn refund(&mut self, amount: f64, capacity: f64) {
        self.tokens = (self.tokens + amount).min(capacity.max(self.tokens));
    }

    /// Removes `amount` tokens, without lowering the balance below `min_balance`.
    pub fn spend(&mut self, amount: f64, min_balance: f64) {
        self.tokens = (self.tokens - amount).max(min_balance.min(self.tokens));
    }

    /// Removes one token if there is one, and returns whether it did.
    pub fn try_take_one(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
