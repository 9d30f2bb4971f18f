//! Targets that were excluded for some of the time, with the causes and the boxes that logged them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::log_line::RequestLine;

/// Maximum number of targets that are counted. The report has no rows for further ones.
const MAX_TARGETS: usize = 100_000;

/// The cause of an exclusion, from a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExclusionCause {
    /// The target announced in an answer, to this box or to a peer, that it is draining.
    Draining,
    /// The target asked the box to back off for this time, in milliseconds.
    BackingOff(u64),
    /// Another instance has taken over the address of the target.
    Replaced,
    /// The listing in the store has dropped the target, or marks it as draining.
    Unlisted,
    /// The box withheld a request after the connection to the target was established.
    Withheld,
}

/// Log line of the exclusion of a target.
#[derive(Debug, Clone)]
pub(super) struct ExclusionLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
    pub(super) cause: ExclusionCause,
}

/// A target that was excluded for some of the time.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct ExcludedRow {
    /// Address of the target.
    pub target: String,
    /// Number of requests whose last attempt went to the target.
    pub requests: usize,
    /// Number of boxes that received its draining notice, in an answer or from a peer.
    #[serde(rename = "leaves_at")]
    pub draining_boxes: usize,
    /// Time at which the first box received the draining notice, in milliseconds since 1970; 0 if none did.
    #[serde(rename = "leaves_ms")]
    pub draining_since_ms: i64,
    /// Number of back-offs that the target asked for.
    #[serde(rename = "rests")]
    pub backoffs: usize,
    /// Number of boxes that the target asked for a back-off.
    #[serde(rename = "rests_at")]
    pub backoff_boxes: usize,
    /// Sum of the durations of the back-offs, in milliseconds.
    #[serde(rename = "rest_ms")]
    pub backoff_ms: u64,
    /// Number of boxes that detected another instance at its address.
    #[serde(rename = "replaced_at")]
    pub replaced_boxes: usize,
    /// Number of boxes that dropped the target because of the listing in the store.
    #[serde(rename = "left_at")]
    pub unlisted_boxes: usize,
    /// Number of requests that were withheld after their connection to the target was established.
    pub withheld: usize,
}

/// Accumulates the exclusions of each target from log lines in any order.
#[derive(Debug, Default)]
pub(super) struct ExclusionCounts {
    targets: BTreeMap<String, TargetExclusions>,
}

#[derive(Debug, Default)]
struct TargetExclusions {
    row: ExcludedRow,
    draining_boxes: BTreeSet<String>,
    backoff_boxes: BTreeSet<String>,
    replaced_boxes: BTreeSet<String>,
    unlisted_boxes: BTreeSet<String>,
}

impl ExclusionCounts {
    pub(super) fn record_request(&mut self, line: &RequestLine) {
        if let Some(sums) = self.entry(&line.target) {
            sums.row.requests += 1;
        }
    }

    pub(super) fn record(&mut self, box_name: &str, line: &ExclusionLine) {
        let Some(sums) = self.entry(&line.target) else {
            return;
        };
        let boxes = match line.cause {
            ExclusionCause::Withheld => {
                sums.row.withheld += 1;
                return;
            }
            ExclusionCause::Draining => {
                let first =
                    sums.draining_boxes.is_empty() || line.at_ms < sums.row.draining_since_ms;
                sums.row.draining_since_ms =
                    if first { line.at_ms } else { sums.row.draining_since_ms };
                &mut sums.draining_boxes
            }
            ExclusionCause::BackingOff(backoff_ms) => {
                sums.row.backoffs += 1;
                sums.row.backoff_ms = sums.row.backoff_ms.saturating_add(backoff_ms);
                &mut sums.backoff_boxes
            }
            ExclusionCause::Replaced => &mut sums.replaced_boxes,
            ExclusionCause::Unlisted => &mut sums.unlisted_boxes,
        };
        boxes.insert(box_name.to_string());
    }

    /// Returns the rows of the excluded targets, ordered by the total time of their back-offs and then by the
    /// number of boxes that received a draining notice, highest first.
    pub(super) fn rows(self) -> Vec<ExcludedRow> {
        let row = |(target, sums): (String, TargetExclusions)| ExcludedRow {
            target,
            draining_boxes: sums.draining_boxes.len(),
            backoff_boxes: sums.backoff_boxes.len(),
            replaced_boxes: sums.replaced_boxes.len(),
            unlisted_boxes: sums.unlisted_boxes.len(),
            ..sums.row
        };
        let mut rows: Vec<ExcludedRow> = self.targets.into_iter().map(row).collect();
        rows.retain(ExcludedRow::was_excluded);
        rows.sort_by_key(|row| std::cmp::Reverse((row.backoff_ms, row.draining_boxes)));
        rows
    }

    fn entry(&mut self, target: &str) -> Option<&mut TargetExclusions> {
        let is_new = !self.targets.contains_key(target);
        if target.is_empty() || (is_new && self.targets.len() >= MAX_TARGETS) {
            return None;
        }
        Some(self.targets.entry(target.to_string()).or_default())
    }
}

impl ExcludedRow {
    fn was_excluded(&self) -> bool {
        let boxes =
            self.draining_boxes + self.backoff_boxes + self.replaced_boxes + self.unlisted_boxes;
        boxes + self.withheld > 0
    }
}
