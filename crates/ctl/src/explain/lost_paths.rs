//! Boxes that had lost their paths to the targets, and the requests that other boxes handled for them.

use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of boxes that are counted. The report has no rows for further ones.
const MAX_BOXES: usize = 10_000;

/// An event that concerns the paths of a box, from a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PathEvent {
    /// The box judged the paths to the targets of a service, or of all, as lost.
    Lost,
    /// The box uses its paths again.
    Restored,
    /// Another box handled a request for this one.
    RelayedTo,
    /// This box handled a request for another one.
    RelayedFrom,
}

/// A box that lost its paths for some of the time, or handled requests for such a box.
#[derive(Debug, Clone, Default, Serialize, PartialEq, Eq)]
pub struct LostPathsRow {
    /// Name of the box.
    #[serde(rename = "box")]
    pub box_name: String,
    /// How often it judged its paths as lost, by service and for all.
    pub losses: u32,
    /// How often it used them again.
    pub restored: u32,
    /// Time of the first loss in milliseconds since 1970; 0 if there was none.
    pub since_ms: i64,
    /// Requests that other boxes handled for it.
    pub relayed: u32,
    /// Requests that it handled for other boxes.
    pub handled: u32,
}

/// Counts the events of all boxes.
#[derive(Debug, Default)]
pub(super) struct LostPathsCounts {
    rows: BTreeMap<String, LostPathsRow>,
}

impl LostPathsCounts {
    pub(super) fn record(&mut self, box_name: &str, at_ms: i64, event: PathEvent) {
        if self.rows.len() >= MAX_BOXES && !self.rows.contains_key(box_name) {
            return;
        }
        let row = self.rows.entry(box_name.to_string()).or_default();
        match event {
            PathEvent::Lost => {
                row.losses += 1;
                if row.since_ms == 0 {
                    row.since_ms = at_ms;
                }
            }
            // Paths that were failing and not lost are restored as well.
            PathEvent::Restored if row.restored < row.losses => row.restored += 1,
            PathEvent::Restored => {}
            PathEvent::RelayedTo => row.relayed += 1,
            PathEvent::RelayedFrom => row.handled += 1,
        }
    }

    /// Returns the rows in the order of the boxes' names.
    pub(super) fn rows(self) -> Vec<LostPathsRow> {
        let named = self.rows.into_iter();
        named.map(|(box_name, row)| LostPathsRow { box_name, ..row }).collect()
    }
}
