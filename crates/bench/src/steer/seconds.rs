//! What became of requests by the second in which they began.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;

use crate::steer::pattern::COUNTED_FROM;

/// Requests of one second, over all services and fleets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Requests.
    pub requests: u64,
    /// Served within their goal.
    pub in_goal: u64,
    /// Served later.
    pub late: u64,
    /// Attempts that were trials.
    pub trials: u64,
}

impl SecondCounts {
    /// Requests that were not served.
    pub fn lost(&self) -> u64 {
        self.requests - self.in_goal - self.late
    }

    fn add(&mut self, other: &SecondCounts) {
        self.requests += other.requests;
        self.in_goal += other.in_goal;
        self.late += other.late;
        self.trials += other.trials;
    }
}

/// One row a second, from when load is counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondRows(pub Vec<SecondCounts>);

impl SecondRows {
    pub(super) fn note_request(
        &mut self,
        since: TimePoint,
        served: Option<Duration>,
        goal: Duration,
    ) {
        let row = self.row(since);
        row.requests += 1;
        row.in_goal += u64::from(served.is_some_and(|time| time <= goal));
        row.late += u64::from(served.is_some_and(|time| time > goal));
    }

    pub(super) fn note_trial(&mut self, now: TimePoint) {
        if now >= COUNTED_FROM {
            self.row(now).trials += 1;
        }
    }

    pub(super) fn add(&mut self, other: &SecondRows) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), SecondCounts::default());
        }
        for (row, more) in self.0.iter_mut().zip(&other.0) {
            row.add(more);
        }
    }

    fn row(&mut self, at: TimePoint) -> &mut SecondCounts {
        let second = at.since(COUNTED_FROM).as_secs() as usize;
        if self.0.len() <= second {
            self.0.resize(second + 1, SecondCounts::default());
        }
        &mut self.0[second]
    }
}
