//! Incarnations of targets: an instance that restarts keeps its name and loses its state.
//!
//! The store holds one entry per name, and a delayed write of an older incarnation may overwrite the
//! entry of a newer one: a target repeats a write that took effect without an answer seconds later.
//! The newest incarnation that was seen under a name therefore takes precedence over the listed
//! entry.

use std::collections::HashMap;

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Number of restarted instances above which those that are no longer listed are evicted.
const MAX_RESTARTED: usize = 1024;

/// The incarnations of targets that were seen so far.
#[derive(Debug, Default)]
pub(crate) struct TargetIncarnations {
    /// Start of the newest incarnation that was seen draining, by name. A drained incarnation never
    /// returns. An incarnation whose entry was merely removed may return, because entries lapse
    /// while the target can't reach the store.
    drained: HashMap<Name, u64>,
    /// Instances that have restarted, by name.
    restarted: HashMap<Name, NewestIncarnation>,
}

#[derive(Debug)]
struct NewestIncarnation {
    /// The last entry that this incarnation wrote.
    entry: TargetEntry,
    /// Whether the name is listed, possibly with an entry of an older incarnation.
    is_listed: bool,
}

impl TargetIncarnations {
    /// Returns the entry that is in force for a listed target; `None` if that incarnation has
    /// drained, or is an older incarnation of an instance that was removed.
    pub(crate) fn in_force<'a>(&'a self, listed: &'a TargetEntry) -> Option<&'a TargetEntry> {
        let entry = match self.restarted.get(&listed.id) {
            Some(newest) if newest.entry.started_ms <= listed.started_ms => listed,
            Some(newest) if newest.is_listed => &newest.entry,
            Some(_) => return None,
            None => listed,
        };
        (!self.has_drained(entry)).then_some(entry)
    }

    /// Returns whether this incarnation of the target or a newer one was seen draining.
    pub(crate) fn has_drained(&self, target: &TargetEntry) -> bool {
        self.drained.get(&target.id).is_some_and(|started_ms| target.started_ms <= *started_ms)
    }

    /// Records that an incarnation drains. Returns whether that was not recorded before.
    pub(crate) fn record_draining(&mut self, target: &TargetEntry) -> bool {
        let is_new = !self.has_drained(target);
        if is_new {
            self.drained.insert(target.id.clone(), target.started_ms);
        }
        is_new
    }

    /// Records the entry of a listed target, which was listed as `before` until now. Returns whether
    /// the target has restarted: the entry is of a later incarnation than any before.
    pub(crate) fn record_listed(
        &mut self,
        before: Option<&TargetEntry>,
        target: &TargetEntry,
    ) -> bool {
        let other = before.filter(|before| before.started_ms != target.started_ms);
        let newest = self.restarted.get(&target.id).map(|newest| newest.entry.started_ms);
        let newest = newest.max(other.map(|before| before.started_ms));
        let has_restarted = other.is_some() && newest < Some(target.started_ms);
        if let Some(newest) = self.restarted.get_mut(&target.id) {
            if newest.entry.started_ms <= target.started_ms {
                *newest = NewestIncarnation { entry: target.clone(), is_listed: true };
            }
        } else if let Some(before) = other {
            let newer = if before.started_ms > target.started_ms { before } else { target };
            let newest = NewestIncarnation { entry: newer.clone(), is_listed: true };
            self.restarted.insert(target.id.clone(), newest);
        }
        has_restarted
    }

    /// Records that a target is no longer listed.
    pub(crate) fn record_removed(&mut self, target: &TargetEntry) {
        if let Some(newest) = self.restarted.get_mut(&target.id) {
            newest.is_listed = false;
        }
    }

    /// Evicts restarted instances that are not listed, if there are more than [`MAX_RESTARTED`].
    pub(crate) fn evict_unlisted(&mut self, is_listed: impl Fn(&Name) -> bool) {
        if self.restarted.len() > MAX_RESTARTED {
            self.restarted.retain(|id, _| is_listed(id));
        }
    }
}
