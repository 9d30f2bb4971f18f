//! The targets that the store lists, and which of them take work: changed by what is new alone.
//!
//! Load pattern: a listing of thousands of targets changes in some hundreds of them between two
//! readings, and each box learns of that. Made anew each time, with all that follows from it, it took
//! several times its size in memory and the more processor time the more targets there were.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use wingbridge_decide::{Name, TargetKey};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::incarnations::TargetIncarnations;
use crate::listing_history::{ListingDelta, ListingHistory};
use crate::view::{TargetEntry, ViewChange};

/// A hash over a listing, whatever the order. Never 0, which stands for no listing.
pub(crate) fn listing_digest(targets: &[TargetEntry], evacuated: &[Name]) -> u64 {
    let sum = targets.iter().map(entry_hash).fold(0, u64::wrapping_add);
    digest_of(sum, evacuated)
}

/// What is new among the targets that take work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetUpdate {
    /// Lives of targets that take none any more.
    pub removed: Vec<TargetKey>,
    /// Targets that take some now, or are different.
    pub updated: Vec<TargetEntry>,
}

/// The targets of the newest listing, and what follows from those before it.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    entries: BTreeMap<Name, TargetEntry>,
    /// Data centres whose targets operators want nothing sent to, in the order of their names.
    evacuated: Vec<Name>,
    /// The sum of the entries' hashes.
    sum: u64,
    history: ListingHistory,
    incarnations: TargetIncarnations,
    /// Targets that an outage of the store took from the list, until when they are used.
    lapsed: HashMap<Name, (TargetEntry, Instant)>,
    /// Until when those are slow that were listed as slow from their start.
    cold_until: HashMap<Name, Instant>,
    /// Names of services and data centres: those of thousands of targets are a few.
    names: HashSet<Name>,
    update: TargetUpdate,
}

/// When a listing was read, and what that means for targets that are missing in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListingTime {
    pub(crate) as_of: Instant,
    /// Until when targets that are missing may come back, after an outage of the store.
    pub(crate) returning: Option<Instant>,
}

impl TargetTable {
    /// The hash over the listing.
    pub(crate) fn digest(&self) -> u64 {
        digest_of(self.sum, &self.evacuated)
    }

    /// All listed targets, in the order of their names.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// Data centres whose targets operators want nothing sent to.
    pub(crate) fn evacuated(&self) -> &[Name] {
        &self.evacuated
    }

    /// Until when a listed target is slow from its start.
    pub(crate) fn cold_until(&self, id: &Name) -> Option<Instant> {
        self.cold_until.get(id).copied()
    }

    /// Targets that take work at `now`.
    pub(crate) fn usable(&self, now: Instant) -> impl Iterator<Item = &TargetEntry> {
        let lapsed = self.lapsed.values().filter(move |(_, until)| now < *until);
        self.listed_in_force().chain(lapsed.map(|(target, _)| target))
    }

    /// What makes this listing of the one with the hash `digest`; `None` if that one is not known.
    pub(crate) fn delta_from(&self, digest: u64) -> Option<ListingDelta> {
        self.history.since(digest, &self.entries)
    }

    /// Whether it is known what makes this listing of the one with the hash `digest`.
    pub(crate) fn remembers(&self, digest: u64) -> bool {
        self.history.position(digest).is_some()
    }

    /// What makes a whole listing of this one.
    pub(crate) fn delta_to(&self, targets: Vec<TargetEntry>) -> ListingDelta {
        let gone = {
            let listed: HashSet<&Name> = targets.iter().map(|target| &target.id).collect();
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect()
        };
        self.delta_of_changes(targets, gone)
    }

    /// What is new by what was written, signs of life left out, and by what is gone.
    pub(crate) fn delta_of_changes(
        &self,
        written: Vec<TargetEntry>,
        removed: Vec<Name>,
    ) -> ListingDelta {
        let is_new = |target: &TargetEntry| {
            self.entries.get(&target.id).is_none_or(|before| !before.is_same(target))
        };
        ListingDelta {
            changed: written.into_iter().filter(is_new).collect(),
            removed: removed.into_iter().filter(|id| self.entries.contains_key(id)).collect(),
        }
    }

    /// How many targets are listed.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The hash over the listing that a delta would make of this one.
    pub(crate) fn digest_with(&self, delta: &ListingDelta, evacuated: &[Name]) -> u64 {
        digest_of(self.sum_with(delta), evacuated)
    }

    /// Makes another listing of this one; tells in `change` what is new for requests and for the log.
    pub(crate) fn take(
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
            self.note_update(id, used);
        }
        self.take_evacuated(evacuated, change);
    }

    /// When the next lapsed target is to be dropped, if there is one.
    pub(crate) fn next_lapse(&self) -> Option<Instant> {
        self.lapsed.values().map(|(_, until)| *until).min()
    }

    /// Drops lapsed targets whose time is over; returns whether there were some.
    pub(crate) fn drop_lapsed(&mut self, now: Instant) -> bool {
        let over = self.lapsed.extract_if(|_, (_, until)| *until <= now);
        let before = self.update.removed.len();
        self.update.removed.extend(over.map(|(_, (target, _))| target.key()));
        self.update.removed.len() > before
    }

    /// Ends what targets may yet be used for sooner, by `time` that the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        for (_, until) in self.lapsed.values_mut() {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
    }

    /// Tells those targets anew of which `is_concerned` holds: what is known of them beside their listing is
    /// another.
    pub(crate) fn renew(&mut self, is_concerned: impl Fn(&TargetEntry) -> bool) {
        let concerned: Vec<TargetEntry> = {
            let lapsed = self.lapsed.values().map(|(target, _)| target);
            self.listed_in_force()
                .chain(lapsed)
                .filter(|target| is_concerned(target))
                .cloned()
                .collect()
        };
        self.update.updated.extend(concerned);
    }

    /// What is new among the targets that take work since this was asked last.
    pub(crate) fn take_update(&mut self) -> TargetUpdate {
        std::mem::take(&mut self.update)
    }

    fn sum_with(&self, delta: &ListingDelta) -> u64 {
        let changed = delta.changed.iter().map(|target| &target.id);
        let replaced = changed.chain(&delta.removed).filter_map(|id| self.entries.get(id));
        let less = replaced.map(entry_hash).fold(self.sum, u64::wrapping_sub);
        delta.changed.iter().map(entry_hash).fold(less, u64::wrapping_add)
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
        match time.returning {
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
        target.service = self.shared(&target.service);
        target.data_centre = self.shared(&target.data_centre);
        self.lapsed.remove(&target.id);
        let before = self.entries.get(&target.id);
        if self.incarnations.record_listed(before, &target) {
            change.restarted.push(target.id.clone());
            change.ended.extend(before.map(TargetEntry::key));
        }
        if target.draining && self.incarnations.record_draining(&target) {
            change.departed.push(target.id.clone());
        }
        if !target.draining && before.is_none() {
            change.joined.push(target.id.clone());
        }
        if !target.cold_time.is_zero() {
            self.cold_until.insert(target.id.clone(), time.as_of + target.cold_time);
        } else {
            self.cold_until.remove(&target.id);
        }
        self.entries.insert(target.id.clone(), target);
    }

    fn take_evacuated(&mut self, evacuated: Vec<Name>, change: &mut ViewChange) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let others = |of: &[Name], than: &[Name]| -> Vec<Name> {
            of.iter().filter(|name| !than.contains(name)).cloned().collect()
        };
        change.evacuated = others(&self.evacuated, &before);
        change.restored = others(&before, &self.evacuated);
        let concerned: HashSet<&Name> = change.evacuated.iter().chain(&change.restored).collect();
        if !concerned.is_empty() {
            self.renew(|target| concerned.contains(&target.data_centre));
        }
    }

    /// Notes what became of a target that was used under the key `used`.
    fn note_update(&mut self, id: &Name, used: Option<TargetKey>) {
        let now = self.usable_entry(id).cloned();
        let key = now.as_ref().map(TargetEntry::key);
        self.update.removed.extend(used.filter(|used| Some(*used) != key));
        self.update.updated.extend(now);
    }

    /// What counts of a target, if it takes work.
    fn usable_entry(&self, id: &Name) -> Option<&TargetEntry> {
        let listed = self.entries.get(id).and_then(|target| self.in_force(target));
        listed.or_else(|| self.lapsed.get(id).map(|(target, _)| target))
    }

    fn listed_in_force(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values().filter_map(|target| self.in_force(target))
    }

    fn in_force<'a>(&'a self, listed: &'a TargetEntry) -> Option<&'a TargetEntry> {
        self.incarnations.in_force(listed).filter(|target| !target.draining)
    }

    fn shared(&mut self, name: &Name) -> Name {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        self.names.insert(name.clone());
        name.clone()
    }
}

/// A hash over all that matters to requests of a target.
fn entry_hash(target: &TargetEntry) -> u64 {
    let mut hash = Xxh3::new();
    for text in [&target.id, &target.address, &target.service, &target.data_centre] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&target.slots.to_le_bytes());
    hash.update(&[u8::from(target.draining), u8::from(target.is_cold)]);
    hash.update(&target.born_ms.to_le_bytes());
    hash.digest()
}

fn digest_of(sum: u64, evacuated: &[Name]) -> u64 {
    let names = evacuated.iter().map(|name| xxh3_64(name.as_bytes()));
    names.fold(sum, u64::wrapping_add).max(1)
}
