//! Targets that announced a rate limit, which applies to all boxes together, and the requests that the boxes
//! sent to them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

/// Maximum number of targets that are counted. The report has no rows for further ones.
const MAX_TARGETS: usize = 100_000;
/// Length of the sliding window over which sent requests are counted. The users' rules for limits use this
/// window.
const WINDOW_MS: i64 = 4_000;
/// Time that the users' rules allow until all boxes have received a limit that is new or lowered.
const PROPAGATION_MS: i64 = 3_000;
/// Factor on the number of requests that the limit permits within a window.
const ALLOWED_FACTOR: f64 = 1.5;
/// Number of requests within a window that are allowed in addition to [`ALLOWED_FACTOR`].
const ALLOWED_EXTRA: f64 = 5.0;

/// An event that concerns the limit of a target, from a log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LimitEvent {
    /// The target announced this limit, in requests per second.
    Announced(f64),
    /// The limit of the target ended.
    Ended,
    /// The box sent a request to the target while it applied the target's limit.
    Sent,
}

/// Log line of an event that concerns the limit of a target.
#[derive(Debug, Clone)]
pub(super) struct LimitLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
    pub(super) event: LimitEvent,
}

/// A target that had a limit for some of the time, and the requests that it received.
#[derive(Debug, Clone, Default, Serialize, PartialEq)]
pub struct LimitedRow {
    /// Address of the target.
    pub target: String,
    /// First limit that was announced, in requests per second.
    pub per_second: f64,
    /// Lowest limit that was announced, in requests per second.
    #[serde(rename = "least_per_second")]
    pub min_per_second: f64,
    /// Time at which the first box received a limit, in milliseconds since 1970.
    pub since_ms: i64,
    /// Number of boxes that received a limit or its end, in an answer or from a peer.
    pub boxes: usize,
    /// Number of requests that boxes sent while they applied the limit.
    pub sends: usize,
    /// Number of requests in the 4 s window in which the ratio to the allowed number is highest. Only
    /// windows that start at least 3 s after the limit was announced count.
    #[serde(rename = "most")]
    pub max_sends: usize,
    /// Number of requests that are allowed in this window: 1.5 times the number that the limit permits, plus 5.
    pub allowed: f64,
    /// End of this window, in milliseconds since 1970.
    #[serde(rename = "most_at_ms")]
    pub max_at_ms: i64,
}

/// Accumulates the limits and requests of each target from log lines in any order.
#[derive(Debug, Default)]
pub(super) struct LimitCounts {
    targets: BTreeMap<String, TargetLimits>,
}

#[derive(Debug, Default)]
struct TargetLimits {
    boxes: BTreeSet<String>,
    /// Times at which boxes received a limit, with the limit, or `None` for the end of one.
    limits: Vec<(i64, Option<f64>)>,
    sends: Vec<i64>,
}

impl LimitCounts {
    pub(super) fn record(&mut self, box_name: &str, line: &LimitLine) {
        let is_new = !self.targets.contains_key(&line.target);
        if is_new && self.targets.len() >= MAX_TARGETS {
            return;
        }
        let sums = self.targets.entry(line.target.clone()).or_default();
        match line.event {
            LimitEvent::Sent => return sums.sends.push(line.at_ms),
            LimitEvent::Announced(rate) => sums.limits.push((line.at_ms, Some(rate))),
            LimitEvent::Ended => sums.limits.push((line.at_ms, None)),
        }
        sums.boxes.insert(box_name.to_string());
    }

    /// Returns the rows, ordered by the ratio of sent to allowed requests, highest first.
    pub(super) fn rows(self) -> Vec<LimitedRow> {
        let rows = self.targets.into_iter().map(|(target, sums)| sums.row(target));
        let mut rows: Vec<LimitedRow> = rows.collect();
        let ratio = |row: &LimitedRow| row.max_sends as f64 / row.allowed.max(1.0);
        rows.sort_by(|left, right| ratio(right).total_cmp(&ratio(left)));
        rows
    }
}

impl TargetLimits {
    fn row(mut self, target: String) -> LimitedRow {
        self.limits.sort_by_key(|(at_ms, _)| *at_ms);
        self.sends.sort_unstable();
        let announced: Vec<f64> = self.limits.iter().filter_map(|(_, rate)| *rate).collect();
        let mut row = LimitedRow {
            target,
            per_second: announced.first().copied().unwrap_or_default(),
            min_per_second: announced.iter().copied().reduce(f64::min).unwrap_or_default(),
            since_ms: self.limits.first().map_or(0, |(at_ms, _)| *at_ms),
            boxes: self.boxes.len(),
            sends: self.sends.len(),
            ..LimitedRow::default()
        };
        let mut first = 0;
        for (last, at_ms) in self.sends.iter().copied().enumerate() {
            while self.sends[first] <= at_ms - WINDOW_MS {
                first += 1;
            }
            let Some(limit) = self.max_limit_within(at_ms - WINDOW_MS - PROPAGATION_MS, at_ms)
            else {
                continue;
            };
            let allowed = ALLOWED_FACTOR * limit * WINDOW_MS as f64 / 1000.0 + ALLOWED_EXTRA;
            let sent = last + 1 - first;
            if row.allowed == 0.0 || sent as f64 * row.allowed > row.max_sends as f64 * allowed {
                row.max_sends = sent;
                row.allowed = allowed;
                row.max_at_ms = at_ms;
            }
        }
        row
    }

    /// Returns the highest limit that was in force between the two times, or `None` if there was no limit for
    /// part of this time.
    fn max_limit_within(&self, from_ms: i64, until_ms: i64) -> Option<f64> {
        let before = self.limits.iter().rev().find(|(at_ms, _)| *at_ms <= from_ms);
        let (_, mut highest) = *before?;
        for (_, rate) in
            self.limits.iter().filter(|(at_ms, _)| (from_ms..=until_ms).contains(at_ms))
        {
            highest = highest.zip(*rate).map(|(highest, rate)| highest.max(rate));
        }
        highest
    }
}
