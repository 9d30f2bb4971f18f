//! Lives of targets: an instance may start again under its name, and then knows nothing of before.
//!
//! The store holds one entry a name, and a word of an older life may come late and overwrite that of
//! a younger one: a write that was done and not answered is done again seconds later.
//! So the youngest life that was seen of a name goes before whatever is listed.

use std::collections::HashMap;

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Instances that started again and are remembered after they are gone.
const RESTARTED: usize = 1024;

/// What is known of the lives of targets.
#[derive(Debug, Default)]
pub(crate) struct TargetIncarnations {
    /// The youngest life that was seen leaving, by name: it never comes back. One that is merely
    /// gone may, since its entry lapses while it is cut from the store.
    left: HashMap<Name, u64>,
    /// Instances that started again, by name.
    restarted: HashMap<Name, NewestIncarnation>,
}

#[derive(Debug)]
struct NewestIncarnation {
    /// What it told of itself last.
    entry: TargetEntry,
    /// Whether its name is listed, also if with the word of an older life.
    is_listed: bool,
}

impl TargetIncarnations {
    /// What counts of a listed target; `None` if that life has left, or is an older one of an
    /// instance that is gone.
    pub(crate) fn in_force<'a>(&'a self, listed: &'a TargetEntry) -> Option<&'a TargetEntry> {
        let entry = match self.restarted.get(&listed.id) {
            Some(known) if known.entry.born_ms <= listed.born_ms => listed,
            Some(known) if known.is_listed => &known.entry,
            Some(_) => return None,
            None => listed,
        };
        (!self.has_drained(entry)).then_some(entry)
    }

    /// Whether that life of the target was seen leaving, or one after it.
    pub(crate) fn has_drained(&self, target: &TargetEntry) -> bool {
        self.left.get(&target.id).is_some_and(|born_ms| target.born_ms <= *born_ms)
    }

    /// Notes that a life leaves; returns whether that is new.
    pub(crate) fn record_draining(&mut self, target: &TargetEntry) -> bool {
        let is_new = !self.has_drained(target);
        if is_new {
            self.left.insert(target.id.clone(), target.born_ms);
        }
        is_new
    }

    /// Notes what is listed of a target, which was listed as `before`. Returns whether it is
    /// another life than that.
    pub(crate) fn record_listed(
        &mut self,
        before: Option<&TargetEntry>,
        target: &TargetEntry,
    ) -> bool {
        let other = before.filter(|before| before.born_ms != target.born_ms);
        if let Some(known) = self.restarted.get_mut(&target.id) {
            if known.entry.born_ms <= target.born_ms {
                *known = NewestIncarnation { entry: target.clone(), is_listed: true };
            }
        } else if let Some(before) = other {
            let younger = if before.born_ms > target.born_ms { before } else { target };
            let known = NewestIncarnation { entry: younger.clone(), is_listed: true };
            self.restarted.insert(target.id.clone(), known);
        }
        other.is_some()
    }

    /// Notes that a target is listed no more.
    pub(crate) fn record_removed(&mut self, target: &TargetEntry) {
        if let Some(known) = self.restarted.get_mut(&target.id) {
            known.is_listed = false;
        }
    }

    /// Forgets lives of instances that are not listed, if there are many.
    pub(crate) fn evict_unlisted(&mut self, is_listed: impl Fn(&Name) -> bool) {
        if self.restarted.len() > RESTARTED {
            self.restarted.retain(|id, _| is_listed(id));
        }
    }
}
