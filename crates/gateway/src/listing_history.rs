//! Recent changes of the listing of targets, so that a peer can be sent the delta alone.
//!
//! During a rolling release each reading has one changed target, and a listing of 3,000 targets has
//! 240 KB: sending it in full to 30 peers takes a link with 10 Mbit/s six seconds.

use std::collections::{BTreeMap, HashSet, VecDeque};

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Maximum number of recorded changes: about 20 s of readings that all differ.
const MAX_CHANGES: usize = 24;
/// Maximum number of names in all recorded changes, unless half of the listing is more. A peer that
/// lacks more changes is sent the full listing, which is then no longer than the delta.
const MAX_NAMES: usize = 2048;

/// The latest changes of the listing, oldest first. Each change starts from the result of the
/// previous one.
#[derive(Debug, Default)]
pub(crate) struct ListingHistory {
    changes: VecDeque<ListingChange>,
}

#[derive(Debug)]
struct ListingChange {
    from: u64,
    names: Vec<Name>,
}

/// The change from one listing to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingDelta {
    /// Targets that are new or whose entries have changed.
    pub changed: Vec<TargetEntry>,
    /// Targets that are no longer listed.
    pub removed: Vec<Name>,
}

impl ListingHistory {
    /// Records that `delta` was applied to the listing with the hash `from`, which had `listed`
    /// targets.
    pub(crate) fn record(&mut self, from: u64, delta: &ListingDelta, listed: usize) {
        let changed = delta.changed.iter().map(|target| &target.id);
        let names = changed.chain(&delta.removed).cloned().collect();
        self.changes.push_back(ListingChange { from, names });
        let max_names = MAX_NAMES.max(listed / 2);
        let count_names = |changes: &VecDeque<ListingChange>| {
            changes.iter().map(|change| change.names.len()).sum::<usize>()
        };
        while self.changes.len() > MAX_CHANGES || count_names(&self.changes) > max_names {
            self.changes.pop_front();
        }
    }

    /// Returns the index of the first change that leads from the listing with the hash `from` to the
    /// newest one.
    pub(crate) fn position(&self, from: u64) -> Option<usize> {
        self.changes.iter().rposition(|change| change.from == from)
    }

    /// Returns the change from the listing with the hash `from` to `current`, the listing that the
    /// last recorded change resulted in; `None` if `from` is not in the history.
    pub(crate) fn since(
        &self,
        from: u64,
        current: &BTreeMap<Name, TargetEntry>,
    ) -> Option<ListingDelta> {
        let first = self.position(from)?;
        let later = self.changes.iter().skip(first);
        let names: HashSet<&Name> = later.flat_map(|change| &change.names).collect();
        let mut delta = ListingDelta::default();
        for name in names {
            match current.get(name) {
                Some(target) => delta.changed.push(target.clone()),
                None => delta.removed.push(name.clone()),
            }
        }
        Some(delta)
    }
}
