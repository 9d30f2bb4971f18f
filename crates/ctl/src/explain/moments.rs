//! Requests by the second in which they began.
//!
//! A sum over an hour hides when it happened. A second in which a third of a service's requests
//! are trials, or in which few of its targets get any, points at a cause that sums don't show.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::request_line::{LineEnd, RequestLine};

/// What one service got in one second.
#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
pub struct MomentRow {
    /// The service.
    pub service: String,
    /// Seconds since the first request of all logs.
    pub second: i64,
    /// Requests that began then.
    pub requests: usize,
    /// Those that were not served.
    pub lost: usize,
    /// Those whose last attempt was a trial, and the lost ones of them.
    pub trials: usize,
    /// Lost trials.
    pub lost_trials: usize,
    /// Targets that were the last ones asked for any of them.
    pub targets: usize,
}

/// The counts so far.
#[derive(Debug, Default)]
pub(super) struct MomentCount {
    moments: BTreeMap<(String, i64), MomentSum>,
    first_ms: Option<i64>,
}

#[derive(Debug, Default)]
struct MomentSum {
    requests: usize,
    lost: usize,
    trials: usize,
    lost_trials: usize,
    targets: BTreeSet<String>,
}

impl MomentCount {
    pub(super) fn note(&mut self, line: &RequestLine) {
        let first_ms = self.first_ms.map_or(line.started_ms, |first| first.min(line.started_ms));
        self.first_ms = Some(first_ms);
        let second = line.started_ms.div_euclid(1000);
        let sum = self.moments.entry((line.service.clone(), second)).or_default();
        let lost = line.end != LineEnd::Served;
        sum.requests += 1;
        sum.lost += usize::from(lost);
        sum.trials += usize::from(line.trial);
        sum.lost_trials += usize::from(line.trial && lost);
        if !line.target.is_empty() {
            sum.targets.insert(line.target.clone());
        }
    }

    /// A row for each service and second, in the order of time.
    pub(super) fn rows(self) -> Vec<MomentRow> {
        let first = self.first_ms.unwrap_or_default().div_euclid(1000);
        let row = |((service, second), sum): ((String, i64), MomentSum)| MomentRow {
            service,
            second: second - first,
            requests: sum.requests,
            lost: sum.lost,
            trials: sum.trials,
            lost_trials: sum.lost_trials,
            targets: sum.targets.len(),
        };
        self.moments.into_iter().map(row).collect()
    }
}
