//! Targets that wanted nothing, or could get nothing, and who knew that.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::request_line::RequestLine;

/// Targets that are counted at most, the first ones: of further ones the report has no row.
const COUNTED: usize = 100_000;

/// What a line says of why a target is left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AloneCause {
    /// Its answer, or a peer by one, said that it leaves.
    Leaves,
    /// It asked the box for rest, for so many milliseconds.
    Rests(u64),
    /// Another instance has its address.
    Replaced,
    /// The store lists it no more, or as leaving.
    Left,
    /// A request was kept back from it at the last moment.
    Withheld,
}

/// Such a line.
#[derive(Debug, Clone)]
pub(super) struct AloneLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
    pub(super) cause: AloneCause,
}

/// A target that was left alone for some of the time.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct AloneRow {
    /// The target.
    pub target: String,
    /// Requests whose last attempt went to it.
    pub requests: usize,
    /// Boxes that knew that it leaves, by an answer of it or by a peer's word.
    pub leaves_at: usize,
    /// When the first of them did, in milliseconds since 1970; 0 if none did.
    pub leaves_ms: i64,
    /// Rests that it asked boxes for, and how many boxes.
    pub rests: usize,
    /// Boxes that it asked.
    pub rests_at: usize,
    /// All of these rests together, in milliseconds.
    pub rest_ms: u64,
    /// Boxes that knew that another instance has its address.
    pub replaced_at: usize,
    /// Boxes that knew by the store's list that it had left.
    pub left_at: usize,
    /// Requests that were kept back from it when their connections were up.
    pub withheld: usize,
}

/// Counts them from lines in any order.
#[derive(Debug, Default)]
pub(super) struct AloneCount {
    targets: BTreeMap<String, AloneSums>,
}

#[derive(Debug, Default)]
struct AloneSums {
    row: AloneRow,
    leaves_at: BTreeSet<String>,
    rests_at: BTreeSet<String>,
    replaced_at: BTreeSet<String>,
    left_at: BTreeSet<String>,
}

impl AloneCount {
    pub(super) fn note_request(&mut self, line: &RequestLine) {
        if let Some(sums) = self.sums(&line.target) {
            sums.row.requests += 1;
        }
    }

    pub(super) fn note(&mut self, box_name: &str, line: &AloneLine) {
        let Some(sums) = self.sums(&line.target) else {
            return;
        };
        let known_at = match line.cause {
            AloneCause::Withheld => {
                sums.row.withheld += 1;
                return;
            }
            AloneCause::Leaves => {
                let first = sums.leaves_at.is_empty() || line.at_ms < sums.row.leaves_ms;
                sums.row.leaves_ms = if first { line.at_ms } else { sums.row.leaves_ms };
                &mut sums.leaves_at
            }
            AloneCause::Rests(rest_ms) => {
                sums.row.rests += 1;
                sums.row.rest_ms = sums.row.rest_ms.saturating_add(rest_ms);
                &mut sums.rests_at
            }
            AloneCause::Replaced => &mut sums.replaced_at,
            AloneCause::Left => &mut sums.left_at,
        };
        known_at.insert(box_name.to_string());
    }

    /// Those that asked for the most rest first, and then those that leave.
    pub(super) fn rows(self) -> Vec<AloneRow> {
        let row = |(target, sums): (String, AloneSums)| AloneRow {
            target,
            leaves_at: sums.leaves_at.len(),
            rests_at: sums.rests_at.len(),
            replaced_at: sums.replaced_at.len(),
            left_at: sums.left_at.len(),
            ..sums.row
        };
        let mut rows: Vec<AloneRow> = self.targets.into_iter().map(row).collect();
        rows.retain(AloneRow::was_alone);
        rows.sort_by_key(|row| std::cmp::Reverse((row.rest_ms, row.leaves_at)));
        rows
    }

    fn sums(&mut self, target: &str) -> Option<&mut AloneSums> {
        let is_new = !self.targets.contains_key(target);
        if target.is_empty() || (is_new && self.targets.len() >= COUNTED) {
            return None;
        }
        Some(self.targets.entry(target.to_string()).or_default())
    }
}

impl AloneRow {
    fn was_alone(&self) -> bool {
        let known_at = self.leaves_at + self.rests_at + self.replaced_at + self.left_at;
        known_at + self.withheld > 0
    }
}
