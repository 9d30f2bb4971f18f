//! A bucket of credit that fills with time.

use crate::time::TimePoint;

/// Credit that grows at a rate up to a most, and may be owed.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    credit: f64,
    filled: TimePoint,
}

impl TokenBucket {
    /// A bucket that holds `credit` at `now`.
    pub fn new(now: TimePoint, credit: f64) -> TokenBucket {
        TokenBucket { credit, filled: now }
    }

    /// Fills it at `rate` a second up to `most`. What is above `most` by then is lost.
    pub fn fill(&mut self, now: TimePoint, rate: f64, most: f64) {
        let grown = now.since(self.filled).as_secs_f64() * rate;
        self.credit = (self.credit + grown).min(most);
        self.filled = self.filled.max(now);
    }

    /// What it holds; below 0 if more was spent.
    pub fn tokens(&self) -> f64 {
        self.credit
    }

    /// Puts back what was not used, up to `most`.
    pub fn refund(&mut self, amount: f64, most: f64) {
        self.credit = (self.credit + amount).min(most.max(self.credit));
    }

    /// Takes `amount`, down to `least`.
    pub fn spend(&mut self, amount: f64, least: f64) {
        self.credit = (self.credit - amount).max(least.min(self.credit));
    }

    /// Takes one if it is there.
    pub fn try_take_one(&mut self) -> bool {
        let there = self.credit >= 1.0;
        if there {
            self.credit -= 1.0;
        }
        there
    }
}
