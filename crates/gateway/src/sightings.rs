//! What this box saw of targets and has not yet told its peers.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

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

/// Collects what was seen and wakes the task that tells it.
#[derive(Debug)]
pub(crate) struct SightingBuffer {
    pending: Mutex<HashMap<TargetKey, Sighting>>,
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

    /// Notes how an attempt ended, with what the target told of its load.
    pub(crate) fn note(&self, key: TargetKey, outcome: SteerOutcome, load: Option<LoadReport>) {
        let mut urgency = Urgency::Soon;
        {
            let mut pending = lock(&self.pending);
            let seen = pending
                .entry(key)
                .or_insert_with(|| Sighting { target: key.0, ..Sighting::default() });
            if let Some(load) = load {
                seen.held_plus_one = load.held + 1;
            }
            match outcome {
                SteerOutcome::Good(time) => note_good(seen, time),
                SteerOutcome::Failed | SteerOutcome::Broken => {
                    seen.bad += 1;
                    urgency = Urgency::Now;
                }
                SteerOutcome::Overdue => {
                    seen.overdue += 1;
                    urgency = Urgency::Now;
                }
                _ if load.is_none() => {
                    pending.retain(|_, seen| {
                        seen.good + seen.bad + seen.overdue + seen.held_plus_one > 0
                    });
                    return;
                }
                _ => {}
            }
        }
        // Full: the task is about to look anyway.
        let _ = self.wake.try_send(urgency);
    }

    /// Takes all that was noted.
    pub(crate) fn take(&self) -> Vec<Sighting> {
        lock(&self.pending).drain().map(|(_, seen)| seen).collect()
    }
}

fn note_good(seen: &mut Sighting, time: Duration) {
    let taken = u32::try_from(millis(time)).unwrap_or(u32::MAX).max(1);
    let sum = u64::from(seen.millis) * u64::from(seen.good) + u64::from(taken);
    seen.good += 1;
    seen.millis = u32::try_from(sum / u64::from(seen.good)).unwrap_or(u32::MAX);
}
