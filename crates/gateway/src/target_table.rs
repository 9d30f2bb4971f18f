//! The targets that the store lists, and which of them take requests, updated incrementally.
//!
//! In a listing of thousands of targets some hundreds change between two readings, and each box applies
//! the change. A table that was rebuilt each time, with all state derived from it, needed several times
//! its size in memory, and processor time in proportion to the number of all targets.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_decide::{Name, TargetKey};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::copy_overrides::CopyOverrides;
use crate::incarnations::TargetIncarnations;
use crate::instants::later;
use crate::listing_history::{ListingDelta, ListingHistory};
use crate::view::{TargetEntry, ViewChange};

/// Returns a hash over a listing that does not depend on the order. It is never 0, which stands for no
/// listing.
pub(crate) fn listing_digest(targets: &[TargetEntry], evacuated: &[Name]) -> u64 {
    let sum = targets.iter().map(entry_hash).fold(0, u64::wrapping_add);
    digest_of(sum, evacuated)
}

/// A change of the set of targets that take requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetUpdate {
    /// Incarnations of targets that no longer take requests.
    pub removed: Vec<TargetKey>,
    /// Targets that take requests and are new or have changed.
    pub updated: Vec<TargetEntry>,
}

/// The targets of the newest listing, with the state that results from earlier listings.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    entries: BTreeMap<Name, TargetEntry>,
    /// Data centres whose evacuation is listed, ordered by name.
    evacuated: Vec<Name>,
    /// Data centres whose evacuation is in force, ordered by name.
    evacuated_in_force: Vec<Name>,
    /// Wrapping sum of the hashes of all entries.
    sum: u64,
    history: ListingHistory,
    incarnations: TargetIncarnations,
    /// Lapsed targets: those that were missing after an outage of the store, each with the end of its
    /// grace period.
    lapsed: HashMap<Name, (TargetEntry, Instant)>,
    /// What was acknowledged before the store came back from a copy and is missing there.
    overrides: CopyOverrides,
    /// Times until which targets that were listed as cold are slow after their start.
    cold_until: HashMap<Name, Instant>,
    /// Interned names of services and data centres: thousands of targets share a few.
    interned: HashSet<Name>,
    update: TargetUpdate,
}

/// The time at which a listing was read, and the grace period for targets that are missing in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListingTime {
    pub(crate) as_of: Instant,
    /// End of the grace period for missing targets, if the store had an outage before.
    pub(crate) grace_until: Option<Instant>,
    /// Whether it is the first listing since the store came back from a copy.
    pub(crate) returned: bool,
}

impl TargetTable {
    /// Returns the hash over the listing.
    pub(crate) fn digest(&self) -> u64 {
        digest_of(self.sum, &self.evacuated)
    }

    /// Returns all listed targets, ordered by name.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// Returns the data centres whose evacuation is listed, ordered by name.
    pub(crate) fn evacuated(&self) -> &[Name] {
        &self.evacuated
    }

    /// Returns the data centres whose evacuation is in force, ordered by name.
    pub(crate) fn evacuated_in_force(&self) -> &[Name] {
        &self.evacuated_in_force
    }

    /// Returns the time until which a listed target is slow after its start, if it was listed as cold.
    pub(crate) fn cold_until(&self, id: &Name) -> Option<Instant> {
        self.cold_until.get(id).copied()
    }

    /// Returns the targets that take requests at `now`.
    pub(crate) fn usable(&self, now: Instant) -> impl Iterator<Item = &TargetEntry> {
        let lapsed = self.lapsed.values().filter(move |(_, until)| now < *until);
        self.listed_in_force().chain(lapsed.map(|(target, _)| target))
    }

    /// Returns the change from the listing with the hash `digest` to this one; `None` if that listing
    /// is not in the history.
    pub(crate) fn delta_from(&self, digest: u64) -> Option<ListingDelta> {
        self.history.since(digest, &self.entries)
    }

    /// Returns whether the change from the listing with the hash `digest` to this one is in the history.
    pub(crate) fn has_delta_from(&self, digest: u64) -> bool {
        self.history.position(digest).is_some()
    }

    /// Returns the change from this listing to the complete listing `targets`.
    pub(crate) fn delta_to(&self, targets: Vec<TargetEntry>) -> ListingDelta {
        let removed = {
            let listed: HashSet<&Name> = targets.iter().map(|target| &target.id).collect();
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect()
        };
        self.delta_of_changes(targets, removed)
    }

    /// Returns the change that results from written and removed entries. Entries that only renew a
    /// heartbeat are not part of it.
    pub(crate) fn delta_of_changes(
        &self,
        written: Vec<TargetEntry>,
        removed: Vec<Name>,
    ) -> ListingDelta {
        let is_new = |target: &TargetEntry| {
            self.entries.get(&target.id).is_none_or(|before| !before.is_equivalent(target))
        };
        ListingDelta {
            changed: written.into_iter().filter(is_new).collect(),
            removed: removed.into_iter().filter(|id| self.entries.contains_key(id)).collect(),
        }
    }

    /// Returns the number of listed targets.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the hash over the listing that results if `delta` is applied to this one.
    pub(crate) fn digest_with(&self, delta: &ListingDelta, evacuated: &[Name]) -> u64 {
        digest_of(self.sum_with(delta), evacuated)
    }

    /// Applies `delta` to the listing, and records its effects on requests in `change`.
    pub(crate) fn apply(
        &mut self,
        delta: ListingDelta,
        evacuated: Vec<Name>,
        time: ListingTime,
        change: &mut ViewChange,
    ) {
        let before = self.digest();
        let sum = self.sum_with(&delta);
        change.targets_changed = digest_of(sum, &evacuated) != before;
        if change.targets_changed {
            self.history.record(before, &delta, self.entries.len());
        }
        if time.returned {
            self.extend_lapses(time);
        }
        let names = delta.changed.iter().map(|target| &target.id).chain(&delta.removed);
        let names: Vec<Name> = names.cloned().collect();
        let used: Vec<Option<TargetKey>> =
            names.iter().map(|id| self.usable_entry(id).map(TargetEntry::key)).collect();
        for id in &delta.removed {
            self.remove(id, time, change);
        }
        for target in delta.changed {
            self.put(target, time, change);
        }
        self.sum = sum;
        self.incarnations.evict_unlisted(|id| self.entries.contains_key(id));
        for (id, used) in names.iter().zip(used) {
            self.record_update(id, used);
        }
        self.apply_evacuated(evacuated, time, change);
    }

    /// Returns the time at which the next lapsed target is to be dropped, or at which the next override of
    /// a copy ends, if there is one.
    pub(crate) fn next_lapse(&self) -> Option<Instant> {
        let lapses = self.lapsed.values().map(|(_, until)| *until);
        lapses.chain(self.overrides.next_end()).min()
    }

    /// Drops lapsed targets whose grace period is over. Returns whether any were dropped.
    pub(crate) fn drop_lapsed(&mut self, now: Instant) -> bool {
        let over = self.lapsed.extract_if(|_, (_, until)| *until <= now);
        let over: Vec<TargetEntry> = over.map(|(_, (target, _))| target).collect();
        for target in &over {
            self.overrides.record_removed(target, now);
            self.update.removed.push(target.key());
        }
        !over.is_empty()
    }

    /// Ends the overrides of a copy whose time is over. Returns whether there were any.
    pub(crate) fn end_overrides(&mut self, now: Instant) -> bool {
        if self.overrides.next_end().is_none_or(|end| end > now) {
            return false;
        }
        for id in self.overrides.take_ended(now) {
            let listed = self.entries.get(&id).and_then(|target| self.in_force(target));
            self.update.updated.extend(listed.cloned());
        }
        self.update_evacuated(&mut ViewChange::default());
        true
    }

    /// Shortens the grace periods of lapsed targets by `time`, a suspension of the machine that the
    /// clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        for (_, until) in self.lapsed.values_mut() {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
        self.overrides.advance_clocks(time);
    }

    /// Adds the targets that match `is_affected` to the next update, because properties of them that
    /// are not part of their entries have changed.
    pub(crate) fn mark_updated(&mut self, is_affected: impl Fn(&TargetEntry) -> bool) {
        let affected: Vec<TargetEntry> = {
            let lapsed = self.lapsed.values().map(|(target, _)| target);
            self.listed_in_force()
                .chain(lapsed)
                .filter(|target| is_affected(target))
                .cloned()
                .collect()
        };
        self.update.updated.extend(affected);
    }

    /// Takes the changes among the targets that take requests since the previous call.
    pub(crate) fn take_update(&mut self) -> TargetUpdate {
        std::mem::take(&mut self.update)
    }

    fn sum_with(&self, delta: &ListingDelta) -> u64 {
        let changed = delta.changed.iter().map(|target| &target.id);
        let replaced = changed.chain(&delta.removed).filter_map(|id| self.entries.get(id));
        let remaining = replaced.map(entry_hash).fold(self.sum, u64::wrapping_sub);
        delta.changed.iter().map(entry_hash).fold(remaining, u64::wrapping_add)
    }

    fn remove(&mut self, id: &Name, time: ListingTime, change: &mut ViewChange) {
        let Some(target) = self.entries.remove(id) else {
            return;
        };
        self.cold_until.remove(id);
        self.incarnations.record_removed(&target);
        if self.incarnations.has_drained(&target) {
            return;
        }
        if time.grace_until.is_none() {
            self.overrides.record_removed(&target, time.as_of);
        }
        match time.grace_until {
            Some(until) if !target.draining => {
                self.lapsed.insert(id.clone(), (target, until));
            }
            _ => {
                change.departed.push(id.clone());
                if !target.draining {
                    change.ended.push(target.key());
                }
            }
        }
    }

    fn put(&mut self, mut target: TargetEntry, time: ListingTime, change: &mut ViewChange) {
        target.service = self.intern(&target.service);
        target.data_centre = self.intern(&target.data_centre);
        self.lapsed.remove(&target.id);
        let before = self.entries.get(&target.id);
        if self.incarnations.record_listed(before, &target) {
            change.restarted.push(target.id.clone());
            change.ended.extend(before.map(TargetEntry::key));
        }
        if target.draining && self.incarnations.record_draining(&target) {
            change.departed.push(target.id.clone());
        }
        self.overrides.record_listed(&target, time.as_of, time.returned);
        if !target.draining && before.is_none() && !self.overrides.is_held_back(&target.id) {
            change.joined.push(target.id.clone());
        }
        if !target.cold_time.is_zero() {
            self.cold_until.insert(target.id.clone(), later(time.as_of, target.cold_time));
        } else {
            self.cold_until.remove(&target.id);
        }
        self.entries.insert(target.id.clone(), target);
    }

    /// Gives lapsed targets the grace period of another return of the store.
    fn extend_lapses(&mut self, time: ListingTime) {
        if let Some(grace_until) = time.grace_until {
            self.lapsed.values_mut().for_each(|(_, until)| *until = grace_until.max(*until));
        }
    }

    fn apply_evacuated(
        &mut self,
        evacuated: Vec<Name>,
        time: ListingTime,
        change: &mut ViewChange,
    ) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let ListingTime { as_of, returned, .. } = time;
        self.overrides.record_evacuated(&before, &self.evacuated, as_of, returned);
        self.update_evacuated(change);
    }

    /// Works out which evacuations are in force.
    fn update_evacuated(&mut self, change: &mut ViewChange) {
        let in_force = self.overrides.evacuations_in_force(&self.evacuated);
        let before = std::mem::replace(&mut self.evacuated_in_force, in_force);
        let missing_in = |names: &[Name], others: &[Name]| -> Vec<Name> {
            names.iter().filter(|name| !others.contains(name)).cloned().collect()
        };
        change.evacuated = missing_in(&self.evacuated_in_force, &before);
        change.restored = missing_in(&before, &self.evacuated_in_force);
        let affected: HashSet<&Name> = change.evacuated.iter().chain(&change.restored).collect();
        if !affected.is_empty() {
            self.mark_updated(|target| affected.contains(&target.data_centre));
        }
    }

    /// Adds the new state of a target, which was in use under the key `used` until now, to the next
    /// update.
    fn record_update(&mut self, id: &Name, used: Option<TargetKey>) {
        let current = self.usable_entry(id).cloned();
        let key = current.as_ref().map(TargetEntry::key);
        self.update.removed.extend(used.filter(|used| Some(*used) != key));
        self.update.updated.extend(current);
    }

    /// Returns the entry that is in force for a target, if the target takes requests.
    fn usable_entry(&self, id: &Name) -> Option<&TargetEntry> {
        let listed = self.entries.get(id).and_then(|target| self.in_force(target));
        listed.or_else(|| self.lapsed.get(id).map(|(target, _)| target))
    }

    fn listed_in_force(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values().filter_map(|target| self.in_force(target))
    }

    fn in_force<'a>(&'a self, listed: &'a TargetEntry) -> Option<&'a TargetEntry> {
        let in_force = self.incarnations.in_force(listed).filter(|target| !target.draining);
        in_force.filter(|target| !self.overrides.is_held_back(&target.id))
    }

    fn intern(&mut self, name: &Name) -> Name {
        if let Some(interned) = self.interned.get(name) {
            return interned.clone();
        }
        self.interned.insert(name.clone());
        name.clone()
    }
}

/// Returns a hash over everything in an entry that matters to requests.
fn entry_hash(target: &TargetEntry) -> u64 {
    let mut hash = Xxh3::new();
    for text in [&target.id, &target.address, &target.service, &target.data_centre] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&target.slots.to_le_bytes());
    hash.update(&[u8::from(target.draining), u8::from(target.is_cold)]);
    hash.update(&target.started_ms.to_le_bytes());
    hash.digest()
}

fn digest_of(sum: u64, evacuated: &[Name]) -> u64 {
    let names = evacuated.iter().map(|name| xxh3_64(name.as_bytes()));
    names.fold(sum, u64::wrapping_add).max(1)
}
