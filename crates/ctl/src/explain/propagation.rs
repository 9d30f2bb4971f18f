//! Time that configurations and removals of targets took from the first box to the last one.

use std::collections::BTreeMap;

use serde::Serialize;

/// The propagation of one version of the configuration through the boxes.
#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
pub struct VersionRow {
    /// Version of the configuration.
    pub version: u64,
    /// Number of boxes that put the version in force.
    pub boxes: usize,
    /// Number of these boxes that read the version from the store; the others received it from a peer.
    pub from_store: usize,
    /// Time from the first box to the median box, in milliseconds.
    pub median_ms: i64,
    /// Time from the first box to the last box, in milliseconds.
    pub last_ms: i64,
    /// Name of the last box.
    pub last_box: String,
    /// Maximum time between a box learning of the version from peers and putting it in force, in milliseconds.
    #[serde(rename = "longest_known_ms")]
    pub max_pending_ms: i64,
}

/// The propagation of the removals of targets from the listing through the boxes.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct UnlistedReport {
    /// Number of targets that were removed.
    pub targets: usize,
    /// Time from the first box that applied a removal to the last one, in milliseconds; the median
    /// of the targets.
    pub median_ms: i64,
    /// Time from the first box to the last one for the slowest target, in milliseconds.
    pub slowest_ms: i64,
    /// Address of the slowest target.
    pub slowest: String,
}

/// Log line of a version that came into force in a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InForceLine {
    pub(super) version: u64,
    pub(super) at_ms: i64,
    /// Time since the box learned of the version from peers, in milliseconds.
    pub(super) pending_ms: i64,
    pub(super) from_store: bool,
}

/// Log line of a target that the listing has dropped, or marks as draining: the box sends it no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UnlistedLine {
    pub(super) target: String,
    pub(super) at_ms: i64,
}

/// Collects the times at which boxes applied versions and removals.
#[derive(Debug, Default)]
pub(super) struct PropagationTimes {
    versions: BTreeMap<u64, Vec<(i64, String, InForceLine)>>,
    unlisted: BTreeMap<String, Vec<i64>>,
}

impl PropagationTimes {
    pub(super) fn record_in_force(&mut self, box_name: &str, line: InForceLine) {
        let boxes = self.versions.entry(line.version).or_default();
        boxes.push((line.at_ms, box_name.to_string(), line));
    }

    pub(super) fn record_unlisted(&mut self, line: UnlistedLine) {
        self.unlisted.entry(line.target).or_default().push(line.at_ms);
    }

    pub(super) fn versions(&self) -> Vec<VersionRow> {
        self.versions.iter().filter_map(|(version, boxes)| version_row(*version, boxes)).collect()
    }

    pub(super) fn unlisted(&self) -> UnlistedReport {
        let span = |times: &Vec<i64>| {
            let first = times.iter().min().copied().unwrap_or_default();
            times.iter().max().copied().unwrap_or_default() - first
        };
        let mut spans: Vec<(i64, &String)> =
            self.unlisted.iter().map(|(target, times)| (span(times), target)).collect();
        spans.sort();
        let Some((slowest_ms, slowest)) = spans.last().copied() else {
            return UnlistedReport::default();
        };
        UnlistedReport {
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
        max_pending_ms: boxes.iter().map(|(.., line)| line.pending_ms).max().unwrap_or_default(),
    })
}
