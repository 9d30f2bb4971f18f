//! Outcomes of requests by the second in which they arrived.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;

use crate::steer::pattern::MEASURED_FROM;

/// Outcomes of the requests of one second, over all services and fleets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Requests that arrived in this second.
    pub requests: u64,
    /// Requests that were served within their goal.
    pub in_goal: u64,
    /// Requests that were served after their goal.
    pub late: u64,
    /// Attempts of this second that were trials.
    pub trials: u64,
}

impl SecondCounts {
    /// Returns the number of requests that were not served.
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

/// One row per second, starting when load is measured.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondRows(pub Vec<SecondCounts>);

impl SecondRows {
    pub(super) fn record_request(
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

    pub(super) fn record_trial(&mut self, now: TimePoint) {
        if now >= MEASURED_FROM {
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
        let second = at.since(MEASURED_FROM).as_secs() as usize;
        if self.0.len() <= second {
            self.0.resize(second + 1, SecondCounts::default());
        }
        &mut self.0[second]
    }
}
