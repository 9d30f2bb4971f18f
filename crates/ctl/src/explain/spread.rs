//! How long configurations and leaving targets took from the first box to the last.

use std::collections::BTreeMap;

use serde::Serialize;

/// One configuration, on its way through the boxes.
#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
pub struct VersionRow {
    /// Its version.
    pub version: u64,
    /// Boxes that have it in force.
    pub boxes: usize,
    /// Those that have it from the store itself; the others have it from a peer.
    pub from_store: usize,
    /// Milliseconds after the first box until half of them had it.
    pub median_ms: i64,
    /// The same for the last one.
    pub last_ms: i64,
    /// The box that was last.
    pub last_box: String,
    /// The longest that a box had known of it before it had it, in milliseconds.
    pub longest_known_ms: i64,
}

/// All targets that left.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct LeavingReport {
    /// Targets.
    pub targets: usize,
    /// Milliseconds from the first box that knew until the last one, at the median of targets.
    pub median_ms: i64,
    /// The same of the slowest one.
    pub slowest_ms: i64,
    /// Its name.
    pub slowest: String,
}

/// A version that came into force in a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InForceLine {
    pub(super) version: u64,
    pub(super) at_ms: i64,
    /// How long the box had known of it by peers.
    pub(super) known_ms: i64,
    pub(super) from_store: bool,
}

/// A target that a box gives no new work any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LeftLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
}

/// Sums over the lines of all boxes.
#[derive(Debug, Default)]
pub(super) struct SpreadCount {
    versions: BTreeMap<u64, Vec<(i64, String, InForceLine)>>,
    left: BTreeMap<String, Vec<i64>>,
}

impl SpreadCount {
    pub(super) fn note_in_force(&mut self, box_name: &str, line: InForceLine) {
        let boxes = self.versions.entry(line.version).or_default();
        boxes.push((line.at_ms, box_name.to_string(), line));
    }

    pub(super) fn note_left(&mut self, line: LeftLine) {
        self.left.entry(line.target).or_default().push(line.at_ms);
    }

    pub(super) fn versions(&self) -> Vec<VersionRow> {
        self.versions.iter().filter_map(|(version, boxes)| version_row(*version, boxes)).collect()
    }

    pub(super) fn leaving(&self) -> LeavingReport {
        let span = |times: &Vec<i64>| {
            let first = times.iter().min().copied().unwrap_or_default();
            times.iter().max().copied().unwrap_or_default() - first
        };
        let mut spans: Vec<(i64, &String)> =
            self.left.iter().map(|(target, times)| (span(times), target)).collect();
        spans.sort();
        let Some((slowest_ms, slowest)) = spans.last().copied() else {
            return LeavingReport::default();
        };
        LeavingReport {
            targets: spans.len(),
            median_ms: spans[spans.len() / 2].0,
            slowest_ms,
            slowest: slowest.clone(),
        }
    }
}

fn version_row(version: u64, boxes: &[(i64, String, InForceLine)]) -> Option<VersionRow> {
    let mut times: Vec<i64> = boxes.iter().map(|(at_ms, ..)| *at_ms).collect();
    times.sort_unstable();
    let (last, last_box, _) = boxes.iter().max_by_key(|(at_ms, ..)| *at_ms)?;
    Some(VersionRow {
        version,
        boxes: boxes.len(),
        from_store: boxes.iter().filter(|(.., line)| line.from_store).count(),
        median_ms: times[times.len() / 2] - times[0],
        last_ms: last - times[0],
        last_box: last_box.clone(),
        longest_known_ms: boxes.iter().map(|(.., line)| line.known_ms).max().unwrap_or_default(),
    })
}
