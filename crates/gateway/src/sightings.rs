//! What this box saw of targets and has not yet told its peers.

use std::collections::HashMap;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::{LoadReport, SteerOutcome};
use wingbridge_wire::gossip::Sighting;

use crate::context::{lock, millis};

/// How soon what was seen must be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// A failure: at once.
    Now,
    /// A success, or a load: with others.
    Soon,
}

/// What was seen of a target, and whether other data centres need to know.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingSighting {
    pub(crate) sighting: Sighting,
    /// It failed, or it was a suspect and did not: the rest is not worth its price across.
    pub(crate) is_news: bool,
}

/// Collects what was seen and wakes the task that tells it.
#[derive(Debug)]
pub(crate) struct SightingBuffer {
    pending: Mutex<HashMap<TargetKey, PendingSighting>>,
    wake: Sender<Urgency>,
}

impl SightingBuffer {
    /// A buffer, and where it asks to be emptied.
    pub(crate) fn new() -> (SightingBuffer, Receiver<Urgency>) {
        /// Wishes that wait; one more is covered by those before it.
        const WISHES: usize = 4;
        let (wake, wishes) = async_channel::bounded(WISHES);
        (SightingBuffer { pending: Mutex::default(), wake }, wishes)
    }

    /// Notes how an attempt ended, with what the target told of its load. `suspect` is
    /// whether the target was one before.
    pub(crate) fn note(
        &self,
        key: TargetKey,
        outcome: SteerOutcome,
        load: Option<LoadReport>,
        suspect: bool,
    ) {
        let mut seen = Sighting { target: key.0, ..Sighting::default() };
        seen.held_plus_one = load.map_or(0, |load| load.held + 1);
        match outcome {
            SteerOutcome::Good(time) => {
                seen.good = 1;
                seen.millis = u32::try_from(millis(time)).unwrap_or(u32::MAX).max(1);
            }
            SteerOutcome::Failed | SteerOutcome::Broken => seen.bad = 1,
            SteerOutcome::Overdue => seen.overdue = 1,
            SteerOutcome::WrongTarget => seen.replaced = true,
            _ => {}
        }
        self.add(key, &seen, suspect);
    }

    /// Notes that the number of open attempts changed.
    pub(crate) fn note_open(&self, key: TargetKey) {
        self.add(key, &Sighting::default(), false);
    }

    fn add(&self, key: TargetKey, seen: &Sighting, suspect: bool) {
        let failed = seen.bad + seen.overdue > 0 || seen.replaced;
        let is_news = failed || (suspect && seen.good > 0);
        let mut pending = lock(&self.pending);
        let known = pending.entry(key);
        let known = known.or_insert_with(|| PendingSighting {
            sighting: Sighting { target: key.0, ..Sighting::default() },
            is_news: false,
        });
        known.is_news |= is_news;
        add(&mut known.sighting, seen);
        drop(pending);
        // Full: the task is about to look anyway.
        let _ = self.wake.try_send(if is_news { Urgency::Now } else { Urgency::Soon });
    }

    /// Takes all that was noted.
    pub(crate) fn take(&self) -> Vec<PendingSighting> {
        lock(&self.pending).drain().map(|(_, seen)| seen).collect()
    }
}

fn add(sum: &mut Sighting, seen: &Sighting) {
    let good = sum.good + seen.good;
    let millis = sum.millis * sum.good + seen.millis * seen.good;
    sum.millis = millis.checked_div(good).unwrap_or(0);
    sum.good = good;
    sum.bad += seen.bad;
    sum.overdue += seen.overdue;
    sum.replaced |= seen.replaced;
    if seen.held_plus_one > 0 {
        sum.held_plus_one = seen.held_plus_one;
    }
}
