//! The retry budget that boxes share.
//!
//! The bound holds for all boxes together, over a sliding window. A share fixed for each
//! box wastes most of it: a box gets one request a second, and failures come to a few at
//! a time. So boxes of a data centre tell each other what they got and what they sent
//! again, and each counts all of it. A box that hears nobody has its own requests and a
//! small share of the slack, so the sum stays below the bound however boxes are cut off.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::TimePoint;

/// Length of a part of the window: how exactly old counts are dropped.
const PART: Duration = Duration::from_millis(500);
/// Part of the bound that is used: what peers did in the last moments is not known yet.
const USED_PART: f64 = 0.85;

/// Bounds on retries of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request, 0 to 1.
    pub share: f64,
    /// Retries ahead of that.
    pub slack: f64,
    /// The window in which both count.
    pub window: Duration,
}

/// What boxes got and sent again of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryTally {
    /// Requests.
    pub requests: u32,
    /// Sends beyond the first of a request.
    pub retries: u32,
}

impl RetryTally {
    /// Adds another tally.
    pub fn add(&mut self, other: RetryTally) {
        self.requests = self.requests.saturating_add(other.requests);
        self.retries = self.retries.saturating_add(other.retries);
    }

    /// Whether it counts nothing.
    pub fn is_empty(&self) -> bool {
        *self == RetryTally::default()
    }
}

/// The tallies of one service over the window.
#[derive(Debug, Default)]
pub struct RetryLedger {
    parts: VecDeque<(TimePoint, RetryTally)>,
    sum: RetryTally,
    untold: RetryTally,
}

impl RetryLedger {
    /// Counts what this box did, to be told to peers.
    pub fn note_own(&mut self, now: TimePoint, tally: RetryTally) {
        self.untold.add(tally);
        self.note_told(now, tally);
    }

    /// Counts what a peer told.
    pub fn note_told(&mut self, now: TimePoint, tally: RetryTally) {
        self.sum.add(tally);
        match self.parts.back_mut() {
            Some((since, part)) if now.since(*since) < PART => part.add(tally),
            _ => self.parts.push_back((now, tally)),
        }
    }

    /// What peers were not told yet.
    pub fn take_untold(&mut self) -> RetryTally {
        std::mem::take(&mut self.untold)
    }

    /// Whether one more retry is within the bounds, for a box that hears `near` boxes of
    /// `all`, itself counted in both.
    pub fn allows(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        near: usize,
        all: usize,
    ) -> bool {
        while let Some((since, part)) = self.parts.front()
            && now.since(*since) >= bounds.window + PART
        {
            self.sum.requests = self.sum.requests.saturating_sub(part.requests);
            self.sum.retries = self.sum.retries.saturating_sub(part.retries);
            self.parts.pop_front();
        }
        let slack = bounds.slack * near as f64 / all.max(near).max(1) as f64;
        let most = bounds.share * f64::from(self.sum.requests) + slack;
        f64::from(self.sum.retries) + 1.0 <= most * USED_PART
    }
}
