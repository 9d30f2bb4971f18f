//! What holds in place of a copy of the store that lacks acknowledged changes.
//!
//! After a return from a copy, the operators and the targets write again what was lost, within seconds. Until
//! then the copy lists targets that had been removed, and lacks evacuations or still has those that were
//! revoked. What this box had seen before the return stays in force until it is written again or its time is
//! over. Missing targets have the grace period of any outage (see `target_table`).

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wingbridge_decide::Name;

use crate::view::TargetEntry;

/// Time for which a removed target that the copy lists again is not used. The store drops entries that
/// are not renewed before that, so that one which is still listed then belongs to a running target.
const REMOVED_HOLD: Duration = Duration::from_secs(6);
/// Time for which evacuations of before the return stay in force. The users' operators write again what
/// was lost within about two seconds.
const EVACUATION_HOLD: Duration = Duration::from_secs(3);
/// Time for which changes are remembered: longer than a copy is old.
const MEMORY_TIME: Duration = Duration::from_secs(60);
/// Number of remembered removals above which those that are older than [`MEMORY_TIME`] are evicted.
const MAX_REMOVALS: usize = 1024;

/// The changes that a copy may lack, and those that are in force in its place.
#[derive(Debug, Default)]
pub(crate) struct CopyOverrides {
    /// Removed targets, with the start of the removed incarnation and the time of the removal.
    removals: HashMap<Name, (u64, Instant)>,
    /// Revoked evacuations, with the time at which that was read.
    revocations: HashMap<Name, Instant>,
    /// Listed targets that are not used until a time.
    held_back: HashMap<Name, Instant>,
    /// Data centres whose evacuation, or whose revocation, is not in the copy, each with the state in force
    /// and the end of that.
    evacuations: HashMap<Name, (bool, Instant)>,
}

impl CopyOverrides {
    /// Records that a target is no longer listed.
    pub(crate) fn record_removed(&mut self, target: &TargetEntry, at: Instant) {
        self.held_back.remove(&target.id);
        self.removals.insert(target.id.clone(), (target.started_ms, at));
        if self.removals.len() > MAX_REMOVALS {
            self.removals.retain(|_, (_, removed)| is_recent(*removed, at));
        }
    }

    /// Records that a target is listed. It is held back if the listing is the first one since a return and
    /// the target was removed before.
    pub(crate) fn record_listed(&mut self, target: &TargetEntry, at: Instant, returned: bool) {
        let Some((started_ms, removed)) = self.removals.remove(&target.id) else {
            return;
        };
        if returned && target.started_ms <= started_ms && is_recent(removed, at) {
            self.held_back.insert(target.id.clone(), at + REMOVED_HOLD);
            self.removals.insert(target.id.clone(), (started_ms, removed));
        }
    }

    /// Records the listed evacuations, which were `before` until now.
    pub(crate) fn record_evacuated(
        &mut self,
        before: &[Name],
        listed: &[Name],
        at: Instant,
        returned: bool,
    ) {
        let missing = before.iter().filter(|name| !listed.contains(name));
        let added = listed.iter().filter(|name| !before.contains(name));
        if returned {
            // What was lost at the earlier return may be lost again before it is in the copy.
            for (_, until) in self.evacuations.values_mut() {
                *until = at + EVACUATION_HOLD;
            }
            self.held_back.values_mut().for_each(|until| *until = at + REMOVED_HOLD);
        }
        for name in missing {
            if returned {
                self.evacuations.insert(name.clone(), (true, at + EVACUATION_HOLD));
            } else {
                self.revocations.insert(name.clone(), at);
            }
        }
        for name in added {
            let revoked = self.revocations.remove(name).filter(|_| returned);
            if let Some(revoked) = revoked.filter(|revoked| is_recent(*revoked, at)) {
                self.evacuations.insert(name.clone(), (false, at + EVACUATION_HOLD));
                self.revocations.insert(name.clone(), revoked);
            }
        }
        // What is written again needs no override any more.
        self.evacuations.retain(|name, (evacuated, _)| listed.contains(name) != *evacuated);
    }

    /// Returns whether a listed target is not used.
    pub(crate) fn is_held_back(&self, id: &Name) -> bool {
        self.held_back.contains_key(id)
    }

    /// Returns the evacuations that are in force if these are listed, ordered by name.
    pub(crate) fn evacuations_in_force(&self, listed: &[Name]) -> Vec<Name> {
        let is_revoked = |name: &&Name| self.evacuations.get(*name).is_some_and(|(held, _)| !held);
        let held = self.evacuations.iter().filter(|(_, (held, _))| *held).map(|(name, _)| name);
        let mut names: Vec<Name> =
            listed.iter().filter(|name| !is_revoked(name)).chain(held).cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the time at which the next override ends, if there is one.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        let evacuations = self.evacuations.values().map(|(_, until)| until);
        self.held_back.values().chain(evacuations).min().copied()
    }

    /// Removes the overrides that have ended. Returns the targets that are no longer held back.
    pub(crate) fn take_ended(&mut self, now: Instant) -> Vec<Name> {
        self.evacuations.retain(|_, (_, until)| now < *until);
        self.held_back.extract_if(|_, until| *until <= now).map(|(id, _)| id).collect()
    }

    /// Ends all overrides earlier by `time`, a suspension of the machine that the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        let evacuations = self.evacuations.values_mut().map(|(_, until)| until);
        for until in self.held_back.values_mut().chain(evacuations) {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= MEMORY_TIME
}
