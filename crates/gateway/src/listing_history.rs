//! What became of the listing of targets lately, so that a peer is told the delta.
//!
//! A release changes one target in each reading, and a listing of 3,000 targets has 240 KB:
//! sent whole to 30 peers that is six seconds of a link with 10 Mbit/s.

use std::collections::{BTreeMap, HashSet, VecDeque};

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Changes that are remembered: some 20 s of readings that all differ.
const CHANGES: usize = 24;
/// Names in all remembered changes at most, where that is more than half of the listing. A peer that lacks
/// more has all targets sent: that is no longer then.
const NAMES: usize = 2048;

/// The last changes of the listing, oldest first, each from where the one before ended.
#[derive(Debug, Default)]
pub(crate) struct ListingHistory {
    changes: VecDeque<ListingChange>,
}

#[derive(Debug)]
struct ListingChange {
    from: u64,
    names: Vec<Name>,
}

/// What makes one listing of another one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingDelta {
    /// Targets that are new or different.
    pub changed: Vec<TargetEntry>,
    /// Targets that are gone.
    pub removed: Vec<Name>,
}

impl ListingHistory {
    /// Notes that `delta` made another listing of the one with the hash `from`, which had `listed`
    /// targets.
    pub(crate) fn record(&mut self, from: u64, delta: &ListingDelta, listed: usize) {
        let changed = delta.changed.iter().map(|target| &target.id);
        let names = changed.chain(&delta.removed).cloned().collect();
        self.changes.push_back(ListingChange { from, names });
        let most = NAMES.max(listed / 2);
        let named = |changes: &VecDeque<ListingChange>| {
            changes.iter().map(|change| change.names.len()).sum::<usize>()
        };
        while self.changes.len() > CHANGES || named(&self.changes) > most {
            self.changes.pop_front();
        }
    }

    /// Where the changes begin that led from the listing with the hash `from` to the newest one.
    pub(crate) fn position(&self, from: u64) -> Option<usize> {
        self.changes.iter().rposition(|change| change.from == from)
    }

    /// What makes `now`, the listing that the last change led to, of the one with the hash
    /// `from`; `None` if that one is not known any more.
    pub(crate) fn since(
        &self,
        from: u64,
        now: &BTreeMap<Name, TargetEntry>,
    ) -> Option<ListingDelta> {
        let first = self.position(from)?;
        let later = self.changes.iter().skip(first);
        let names: HashSet<&Name> = later.flat_map(|change| &change.names).collect();
        let mut delta = ListingDelta::default();
        for name in names {
            match now.get(name) {
                Some(target) => delta.changed.push(target.clone()),
                None => delta.removed.push(name.clone()),
            }
        }
        Some(delta)
    }
}
