//! Revisions of the store that this box held during the last seconds, with their times.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::store_revision::StoreRevision;

/// Time by which the revision after which the store is polled precedes the last reading: a store may
/// omit the changes of the last second before it discards its history.
const POLL_LAG: Duration = Duration::from_millis(1500);
/// Minimum time between two recorded revisions.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of recorded revisions, which cover some seconds.
const MAX_RECORDS: usize = 64;

/// Revisions with the times at which they were current, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RevisionHistory {
    records: VecDeque<(Instant, StoreRevision)>,
}

impl RevisionHistory {
    /// Records that `revision` was held at `at`.
    pub(crate) fn record(&mut self, at: Instant, revision: StoreRevision) {
        let last = self.records.back();
        let soon = |(last, _): &(Instant, StoreRevision)| {
            at.saturating_duration_since(*last) < MIN_RECORD_INTERVAL
        };
        // While the history is full, an older revision is returned instead of this one, which is safe.
        if last.is_some_and(soon) || self.records.len() >= MAX_RECORDS {
            return;
        }
        self.records.push_back((at, revision));
    }

    /// Removes the records that are not needed for times from `confirmed` on.
    pub(crate) fn prune(&mut self, confirmed: Instant) {
        while self.records.len() > 1 && precedes(&self.records[1], confirmed) {
            self.records.pop_front();
        }
    }

    /// Returns the newest revision that was held [`POLL_LAG`] before `confirmed`, if there is one.
    pub(crate) fn revision_before(&self, confirmed: Instant) -> Option<StoreRevision> {
        let old = self.records.iter().rev().find(|entry| precedes(entry, confirmed));
        old.map(|(_, revision)| *revision).filter(|revision| *revision > StoreRevision::NONE)
    }
}

fn precedes((at, _): &(Instant, StoreRevision), confirmed: Instant) -> bool {
    confirmed.saturating_duration_since(*at) >= POLL_LAG
}
