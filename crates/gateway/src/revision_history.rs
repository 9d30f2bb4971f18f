//! Revisions of the store that were known at moments of the last seconds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// News of the configuration is asked for from a revision that was known this long ago: a
/// store may say nothing of changes for a second before it forgets its history.
const NEWS_LAG: Duration = Duration::from_millis(1500);
/// Time between two revisions that are remembered for that.
const TRAIL_STEP: Duration = Duration::from_millis(100);
/// Revisions that are remembered at most: some seconds of them.
const TRAIL_LENGTH: usize = 64;

/// Revisions with the moments at which they were known, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RevisionHistory {
    known: VecDeque<(Instant, u64)>,
}

impl RevisionHistory {
    /// Notes that `revision` was known at `at`.
    pub(crate) fn record(&mut self, at: Instant, revision: u64) {
        let last = self.known.back();
        let soon = |(last, _): &(Instant, u64)| at.saturating_duration_since(*last) < TRAIL_STEP;
        // Full: without newer ones the answer is an earlier revision, which is safe.
        if last.is_some_and(soon) || self.known.len() >= TRAIL_LENGTH {
            return;
        }
        self.known.push_back((at, revision));
    }

    /// Forgets what is not needed any more where nothing known is of before `confirmed`.
    pub(crate) fn prune(&mut self, confirmed: Instant) {
        while self.known.len() > 1 && precedes(&self.known[1], confirmed) {
            self.known.pop_front();
        }
    }

    /// The newest revision that was known [`NEWS_LAG`] before `confirmed`; 0 if there is none.
    pub(crate) fn revision_before(&self, confirmed: Instant) -> u64 {
        let old = self.known.iter().rev().find(|entry| precedes(entry, confirmed));
        old.map_or(0, |(_, revision)| *revision)
    }
}

fn precedes((at, _): &(Instant, u64), confirmed: Instant) -> bool {
    confirmed.saturating_duration_since(*at) >= NEWS_LAG
}
