//! What became of the listing of targets lately, so that a peer is told the difference.
//!
//! A release changes one target in each reading, and a listing of 3,000 targets has 240 KB:
//! sent whole to 30 peers that is six seconds of a link with 10 Mbit/s.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Changes that are remembered: some 20 s of readings that all differ.
const CHANGES: usize = 24;
/// Names in all remembered changes at most; a peer that lacks more has all targets sent.
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
pub struct ListingDifference {
    /// Targets that are new or different.
    pub changed: Vec<TargetEntry>,
    /// Targets that are gone.
    pub gone: Vec<Name>,
}

impl ListingHistory {
    /// Notes that the listing with the hash `from` became `after`.
    pub(crate) fn note(&mut self, from: u64, before: &[TargetEntry], after: &[TargetEntry]) {
        let old: HashMap<&Name, &TargetEntry> =
            before.iter().map(|target| (&target.id, target)).collect();
        let listed: HashSet<&Name> = after.iter().map(|target| &target.id).collect();
        let gone = before.iter().filter(|target| !listed.contains(&target.id));
        let changed = after
            .iter()
            .filter(|target| old.get(&target.id).is_none_or(|before| !before.is_same(target)));
        let names = gone.chain(changed).map(|target| target.id.clone()).collect();
        self.changes.push_back(ListingChange { from, names });
        let named = |changes: &VecDeque<ListingChange>| {
            changes.iter().map(|change| change.names.len()).sum::<usize>()
        };
        while self.changes.len() > CHANGES || named(&self.changes) > NAMES {
            self.changes.pop_front();
        }
    }

    /// What makes `now`, the listing that the last change led to, of the one with the hash
    /// `from`; `None` if that one is not known any more.
    pub(crate) fn since(&self, from: u64, now: &[TargetEntry]) -> Option<ListingDifference> {
        let first = self.changes.iter().rposition(|change| change.from == from)?;
        let later = self.changes.iter().skip(first);
        let names: HashSet<&Name> = later.flat_map(|change| &change.names).collect();
        let changed: Vec<TargetEntry> =
            now.iter().filter(|target| names.contains(&target.id)).cloned().collect();
        let listed: HashSet<&Name> = changed.iter().map(|target| &target.id).collect();
        let gone = names.iter().filter(|name| !listed.contains(**name));
        let gone = gone.map(|name| Name::clone(name)).collect();
        Some(ListingDifference { changed, gone })
    }
}

impl ListingDifference {
    /// The listing that this makes of `old`, which was read `older` before it.
    pub fn apply(&self, old: &[TargetEntry], older: Duration) -> Vec<TargetEntry> {
        let replaced: HashSet<&Name> =
            self.changed.iter().map(|target| &target.id).chain(&self.gone).collect();
        let kept = old.iter().filter(|target| !replaced.contains(&target.id));
        let mut listing: Vec<TargetEntry> = kept
            .map(|target| TargetEntry {
                cold_time: target.cold_time.saturating_sub(older),
                ..target.clone()
            })
            .chain(self.changed.iter().cloned())
            .collect();
        listing.sort_by(|left, right| left.id.cmp(&right.id));
        listing
    }
}
