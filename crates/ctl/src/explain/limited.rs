//! Targets that named a limit over all boxes, and what all boxes together sent them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

/// Targets that are counted at most, the first ones: of further ones the report has no row.
const COUNTED: usize = 100_000;
/// The time over which sends are counted, in milliseconds. Source: the users' rules.
const WINDOW_MS: i64 = 4_000;
/// Time in which boxes hear of a limit that is new, or lower, in milliseconds. Source: the same.
const NEWS_MS: i64 = 3_000;
/// Sends that are allowed within a window, in multiples of what the limit allows, and beyond that.
const ALLOWED_TIMES: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// What a line says of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LimitedCause {
    /// It named this one, in requests a second.
    Named(f64),
    /// It has none any more.
    Ended,
    /// A request was sent to it while the box knew its limit.
    Sent,
}

/// Such a line.
#[derive(Debug, Clone)]
pub(super) struct LimitedLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
    pub(super) cause: LimitedCause,
}

/// A target that had a limit for some of the time.
#[derive(Debug, Clone, Default, Serialize, PartialEq)]
pub struct LimitedRow {
    /// The target.
    pub target: String,
    /// The limit that was named first, in requests a second.
    pub per_second: f64,
    /// The lowest one.
    pub least_per_second: f64,
    /// When a box heard of it first, in milliseconds since 1970.
    pub since_ms: i64,
    /// Boxes that knew of one, by an answer or by a peer's word.
    pub boxes: usize,
    /// Requests that boxes sent which knew of it.
    pub sends: usize,
    /// The most of them within 4 s that lie 3 s and more after the limit was named.
    pub most: usize,
    /// What was allowed in that time: 1.5 times the limit, and 5.
    pub allowed: f64,
    /// When it ended, in milliseconds since 1970.
    pub most_at_ms: i64,
}

/// Counts them from lines in any order.
#[derive(Debug, Default)]
pub(super) struct LimitedCount {
    targets: BTreeMap<String, LimitedSums>,
}

#[derive(Debug, Default)]
struct LimitedSums {
    boxes: BTreeSet<String>,
    /// The limits that were heard, and when; `None` for the end of one.
    words: Vec<(i64, Option<f64>)>,
    sends: Vec<i64>,
}

impl LimitedCount {
    pub(super) fn note(&mut self, box_name: &str, line: &LimitedLine) {
        let is_new = !self.targets.contains_key(&line.target);
        if is_new && self.targets.len() >= COUNTED {
            return;
        }
        let sums = self.targets.entry(line.target.clone()).or_default();
        match line.cause {
            LimitedCause::Sent => return sums.sends.push(line.at_ms),
            LimitedCause::Named(rate) => sums.words.push((line.at_ms, Some(rate))),
            LimitedCause::Ended => sums.words.push((line.at_ms, None)),
        }
        sums.boxes.insert(box_name.to_string());
    }

    /// Those that got the most of what was allowed first.
    pub(super) fn rows(self) -> Vec<LimitedRow> {
        let rows = self.targets.into_iter().map(|(target, sums)| sums.row(target));
        let mut rows: Vec<LimitedRow> = rows.collect();
        let part = |row: &LimitedRow| row.most as f64 / row.allowed.max(1.0);
        rows.sort_by(|row, other| part(other).total_cmp(&part(row)));
        rows
    }
}

impl LimitedSums {
    fn row(mut self, target: String) -> LimitedRow {
        self.words.sort_by_key(|(at_ms, _)| *at_ms);
        self.sends.sort_unstable();
        let named: Vec<f64> = self.words.iter().filter_map(|(_, rate)| *rate).collect();
        let mut row = LimitedRow {
            target,
            per_second: named.first().copied().unwrap_or_default(),
            least_per_second: named.iter().copied().reduce(f64::min).unwrap_or_default(),
            since_ms: self.words.first().map_or(0, |(at_ms, _)| *at_ms),
            boxes: self.boxes.len(),
            sends: self.sends.len(),
            ..LimitedRow::default()
        };
        let mut first = 0;
        for (last, at_ms) in self.sends.iter().copied().enumerate() {
            while self.sends[first] <= at_ms - WINDOW_MS {
                first += 1;
            }
            let Some(limit) = self.limit_within(at_ms - WINDOW_MS - NEWS_MS, at_ms) else {
                continue;
            };
            let allowed = ALLOWED_TIMES * limit * WINDOW_MS as f64 / 1000.0 + ALLOWED_MORE;
            let sent = last + 1 - first;
            if row.allowed == 0.0 || sent as f64 * row.allowed > row.most as f64 * allowed {
                row.most = sent;
                row.allowed = allowed;
                row.most_at_ms = at_ms;
            }
        }
        row
    }

    /// The highest limit that was in force within a time; `None` if there was none for a part of it.
    fn limit_within(&self, from_ms: i64, until_ms: i64) -> Option<f64> {
        let before = self.words.iter().rev().find(|(at_ms, _)| *at_ms <= from_ms);
        let (_, mut most) = *before?;
        for (_, rate) in self.words.iter().filter(|(at_ms, _)| (from_ms..=until_ms).contains(at_ms))
        {
            most = most.zip(*rate).map(|(most, rate)| most.max(rate));
        }
        most
    }
}
