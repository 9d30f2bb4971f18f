//! Failures of attempts that came to no contact, held back until a contact shows that this box reaches targets.
//!
//! A stall looks the same whether the target or the path is at fault. A box that has just lost its paths can't know
//! that yet, and peers that hear of its stalls avoid healthy targets. An answer to an attempt that began later shows that
//! the paths are sound. While requests come, it is moments away.

use std::time::Duration;

use crate::time::TimePoint;

/// Part of the time of a failed attempt, its last one, in which a contact shows that the paths were sound.
const PROOF_PART: f64 = 0.25;
/// Time after which a failure that was held back says little about its target any more.
const HELD_TIME: Duration = Duration::from_secs(5);
/// Maximum number of failures that are held back. The oldest are dropped.
const MAX_HELD: usize = 64;

/// The failures of a box that peers are not told yet. `F` is what they are told of one.
#[derive(Debug)]
pub struct HeldFailures<F> {
    held: Vec<HeldFailure<F>>,
    last_contact: Option<LastContact>,
}

#[derive(Debug)]
struct HeldFailure<F> {
    started: TimePoint,
    held_at: TimePoint,
    failure: F,
}

#[derive(Debug, Clone, Copy)]
struct LastContact {
    at: TimePoint,
    /// When the latest of the attempts with a contact began.
    started: TimePoint,
}

impl<F> Default for HeldFailures<F> {
    fn default() -> HeldFailures<F> {
        HeldFailures { held: Vec::new(), last_contact: None }
    }
}

impl<F> HeldFailures<F> {
    /// Records the contact of an attempt that began at `started`. Returns the failures that may be told now, each with the
    /// time for which it was held back.
    pub fn record_contact(&mut self, now: TimePoint, started: TimePoint) -> Vec<(Duration, F)> {
        let latest = self.last_contact.map_or(started, |last| last.started.max(started));
        self.last_contact = Some(LastContact { at: now, started: latest });
        self.held.retain(|one| now.since(one.held_at) < HELD_TIME);
        // A connection from before the failed attempt may live on while new ones fail.
        let proven = self.held.extract_if(.., |one| one.started <= started);
        proven.map(|one| (now.since(one.held_at), one.failure)).collect()
    }

    /// Returns the `failure` of an attempt that began at `started` if it may be told at once. Otherwise it is held back.
    pub fn offer(&mut self, now: TimePoint, started: TimePoint, failure: F) -> Option<F> {
        if self.is_proven(now, started) {
            return Some(failure);
        }
        if self.held.len() == MAX_HELD {
            self.held.remove(0);
        }
        self.held.push(HeldFailure { started, held_at: now, failure });
        None
    }

    /// Drops the failures that `is_path_fault` accepts; returns their number.
    pub fn drop_failures(&mut self, is_path_fault: impl Fn(&F) -> bool) -> usize {
        let before = self.held.len();
        self.held.retain(|one| !is_path_fault(&one.failure));
        before - self.held.len()
    }

    fn is_proven(&self, now: TimePoint, started: TimePoint) -> bool {
        let recent = now.before(now.since(started).mul_f64(PROOF_PART));
        self.last_contact.is_some_and(|last| last.at >= recent && last.started >= started)
    }
}
