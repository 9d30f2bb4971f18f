//! Counts of requests by the second in which they started.
//!
//! Sums over an hour hide short disturbances. A second in which a third of a service's requests are trials,
//! or in which only few of its targets get requests, points to a cause that the sums don't show.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::log_line::{RequestEnd, RequestLine};

/// The requests of one service that started in one second.
#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
pub struct SecondRow {
    /// Name of the service.
    pub service: String,
    /// Number of whole seconds since the second of the first request in all logs.
    pub second: i64,
    /// Number of requests that started in this second.
    pub requests: usize,
    /// Number of these requests that were not served.
    pub lost: usize,
    /// Number of these requests whose last attempt was a trial.
    pub trials: usize,
    /// Number of these requests whose last attempt was a trial and that were not served.
    pub lost_trials: usize,
    /// Number of distinct targets that the last attempts of these requests went to.
    pub targets: usize,
}

/// Accumulates the counts of each service and second.
#[derive(Debug, Default)]
pub(super) struct SecondCounts {
    seconds: BTreeMap<(String, i64), SecondSum>,
    first_ms: Option<i64>,
}

#[derive(Debug, Default)]
struct SecondSum {
    requests: usize,
    lost: usize,
    trials: usize,
    lost_trials: usize,
    targets: BTreeSet<String>,
}

impl SecondCounts {
    pub(super) fn record(&mut self, line: &RequestLine) {
        let first_ms = self.first_ms.map_or(line.started_ms, |first| first.min(line.started_ms));
        self.first_ms = Some(first_ms);
        let second = line.started_ms.div_euclid(1000);
        let sum = self.seconds.entry((line.service.clone(), second)).or_default();
        let lost = line.end != RequestEnd::Served;
        sum.requests += 1;
        sum.lost += usize::from(lost);
        sum.trials += usize::from(line.trial);
        sum.lost_trials += usize::from(line.trial && lost);
        if !line.target.is_empty() {
            sum.targets.insert(line.target.clone());
        }
    }

    /// Returns a row for each service and second, ordered by service and then by time.
    pub(super) fn rows(self) -> Vec<SecondRow> {
        let first = self.first_ms.unwrap_or_default().div_euclid(1000);
        let row = |((service, second), sum): ((String, i64), SecondSum)| SecondRow {
            service,
            second: second - first,
            requests: sum.requests,
            lost: sum.lost,
            trials: sum.trials,
            lost_trials: sum.lost_trials,
            targets: sum.targets.len(),
        };
        self.seconds.into_iter().map(row).collect()
    }
}
