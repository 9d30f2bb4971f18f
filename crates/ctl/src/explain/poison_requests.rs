//! Poison requests: requests under which targets ended, and the outcomes of their submissions to boxes.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::log_line::RequestLine;

/// Number of targets that must have ended under a request before the report lists it. A single target may have
/// ended for another reason.
const MIN_ENDED_TARGETS: usize = 2;
/// Maximum number of fingerprints that are counted. The report has no rows for further ones.
const MAX_FINGERPRINTS: usize = 100_000;

/// Log line of a target that ended while it ran a request.
#[derive(Debug, Clone)]
pub(super) struct EndedLine {
    pub(super) fingerprint: String,
    pub(super) target: String,
}

/// A request under which targets ended, with the counts of its submissions to boxes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PoisonRow {
    /// Fingerprint by which boxes recognise repetitions of the request.
    pub fingerprint: String,
    /// Path of the request, from its first log line.
    pub path: String,
    /// Customer of the request, from its first log line.
    pub customer: String,
    /// Number of distinct targets that ended under the request.
    pub targets: usize,
    /// Number of submissions under which a target ended, or which a box refused because
    /// targets had ended before.
    pub tries: usize,
    /// Number of submissions that a box refused because targets had ended before.
    pub refused: usize,
    /// Number of boxes that received these submissions.
    pub boxes: usize,
    /// Time of the first submission, in milliseconds since 1970; 0 if the logs have none.
    pub first_ms: i64,
    /// Time of the last submission, in milliseconds since 1970; 0 if the logs have none.
    pub last_ms: i64,
}

/// Accumulates the counts of each fingerprint from log lines in any order.
#[derive(Debug, Default)]
pub(super) struct PoisonCounts {
    requests: BTreeMap<String, PoisonSums>,
}

#[derive(Debug, Default)]
struct PoisonSums {
    row: PoisonRow,
    targets: BTreeSet<String>,
    boxes: BTreeSet<String>,
}

impl PoisonCounts {
    pub(super) fn record_request(&mut self, box_name: &str, line: &RequestLine) {
        if !line.target_ended && line.targets_ended == 0 {
            return;
        }
        let Some(sums) = self.entry(&line.fingerprint) else {
            return;
        };
        let row = &mut sums.row;
        if row.tries == 0 {
            row.path.clone_from(&line.path);
            row.customer.clone_from(&line.customer);
            row.first_ms = line.started_ms;
        }
        row.tries += 1;
        row.refused += usize::from(line.targets_ended > 0);
        row.first_ms = row.first_ms.min(line.started_ms);
        row.last_ms = row.last_ms.max(line.started_ms);
        sums.boxes.insert(box_name.to_string());
    }

    pub(super) fn record_ended(&mut self, line: EndedLine) {
        if let Some(sums) = self.entry(&line.fingerprint) {
            sums.targets.insert(line.target);
        }
    }

    /// Returns the rows of the listed requests. Those with the most ended targets come first.
    pub(super) fn rows(self) -> Vec<PoisonRow> {
        let row = |(fingerprint, sums): (String, PoisonSums)| PoisonRow {
            fingerprint,
            targets: sums.targets.len(),
            boxes: sums.boxes.len(),
            ..sums.row
        };
        let mut rows: Vec<PoisonRow> = self.requests.into_iter().map(row).collect();
        rows.retain(|row| row.targets >= MIN_ENDED_TARGETS || row.refused > 0);
        rows.sort_by_key(|row| std::cmp::Reverse((row.targets, row.refused)));
        rows
    }

    fn entry(&mut self, fingerprint: &str) -> Option<&mut PoisonSums> {
        let is_new = !self.requests.contains_key(fingerprint);
        // Boxes of earlier versions don't log a fingerprint.
        if fingerprint.is_empty() || (is_new && self.requests.len() >= MAX_FINGERPRINTS) {
            return None;
        }
        Some(self.requests.entry(fingerprint.to_string()).or_default())
    }
}
