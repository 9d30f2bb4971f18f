//! Passive health samples of targets that this box has not yet reported to its peers.

use std::collections::HashMap;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::{LoadReport, SteerOutcome};
use wingbridge_wire::gossip::PassiveSample;
use wingbridge_wire::limits::TargetLimit;

use crate::context::lock;

/// The urgency with which a sample must be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// At once: a failure, or another change that peers need to act on.
    Now,
    /// Together with others: a success or a load.
    Soon,
}

/// The outcome of an attempt, as reported to peers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedOutcome {
    pub(crate) outcome: SteerOutcome,
    /// Load that the target reported in its answer.
    pub(crate) load: Option<LoadReport>,
    /// Whether the target was suspected before this outcome.
    pub(crate) suspect: bool,
    /// Whether the attempt counts as a stall.
    pub(crate) stalled: bool,
    /// Duration of a successful attempt divided by the typical time of its route.
    pub(crate) latency_ratio: Option<f64>,
}

/// The sum of the pending samples of a target, and whether other data centres need it.
#[derive(Debug, Clone)]
pub(crate) struct PendingSample {
    pub(crate) sample: PassiveSample,
    /// Whether the target failed, was replaced, is draining, has another limit, or succeeded while it was
    /// suspected. Other samples are not worth the cost of traffic between data centres.
    pub(crate) is_urgent: bool,
}

/// Collects samples and wakes the task that reports them.
#[derive(Debug)]
pub(crate) struct SampleBuffer {
    pending: Mutex<HashMap<TargetKey, PendingSample>>,
    wake: Sender<Urgency>,
}

impl SampleBuffer {
    /// Creates a buffer, and the channel on which it requests that its samples are sent.
    pub(crate) fn new() -> (SampleBuffer, Receiver<Urgency>) {
        /// Capacity of the channel. Requests beyond it are dropped, since the pending ones cover them.
        const MAX_PENDING_WAKEUPS: usize = 4;
        let (wake, wakeups) = async_channel::bounded(MAX_PENDING_WAKEUPS);
        (SampleBuffer { pending: Mutex::default(), wake }, wakeups)
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&self, key: TargetKey, observed: &ObservedOutcome) {
        let mut sample = PassiveSample { target: key.0, ..PassiveSample::default() };
        sample.held_plus_one = observed.load.map_or(0, |load| load.held + 1);
        match observed.outcome {
            SteerOutcome::Good(_) => {
                sample.good = 1;
                sample.latency_permille = observed.latency_ratio.map_or(0, as_permille);
            }
            SteerOutcome::Failed | SteerOutcome::Incomplete => sample.bad = 1,
            SteerOutcome::WrongTarget => sample.replaced = true,
            _ => {}
        }
        sample.overdue = u32::from(observed.stalled);
        self.add(key, &sample, observed.suspect);
    }

    /// Records that a target announced in an answer that it is draining.
    pub(crate) fn record_draining(&self, key: TargetKey) {
        self.add(
            key,
            &PassiveSample { target: key.0, draining: true, ..PassiveSample::default() },
            false,
        );
    }

    /// Records that a target announced a limit, changed it, or withdrew it.
    pub(crate) fn record_limit(&self, key: TargetKey, limit: TargetLimit) {
        let sample =
            PassiveSample { target: key.0, limit: Some(limit), ..PassiveSample::default() };
        self.add(key, &sample, false);
    }

    /// Records that an attempt that is still open counts as a stall.
    pub(crate) fn record_stall(&self, key: TargetKey) {
        self.add(
            key,
            &PassiveSample { target: key.0, overdue: 1, ..PassiveSample::default() },
            false,
        );
    }

    /// Records that the number of open attempts at a target has changed.
    pub(crate) fn record_open_attempts(&self, key: TargetKey) {
        self.add(key, &PassiveSample::default(), false);
    }

    fn add(&self, key: TargetKey, sample: &PassiveSample, suspect: bool) {
        let failed = sample.bad + sample.overdue > 0 || sample.replaced || sample.draining;
        let is_urgent = failed || sample.limit.is_some() || (suspect && sample.good > 0);
        let mut pending = lock(&self.pending);
        let entry = pending.entry(key);
        let entry = entry.or_insert_with(|| PendingSample {
            sample: PassiveSample { target: key.0, ..PassiveSample::default() },
            is_urgent: false,
        });
        entry.is_urgent |= is_urgent;
        add(&mut entry.sample, sample);
        drop(pending);
        // If the channel is full, the task is about to empty the buffer anyway.
        let _ = self.wake.try_send(if is_urgent { Urgency::Now } else { Urgency::Soon });
    }

    /// Removes and returns all pending samples.
    pub(crate) fn take(&self) -> Vec<PendingSample> {
        lock(&self.pending).drain().map(|(_, sample)| sample).collect()
    }
}

/// Converts a latency ratio to thousandths. The result is at least 1, since 0 means unknown.
fn as_permille(latency_ratio: f64) -> u32 {
    (latency_ratio * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32
}

fn add(sum: &mut PassiveSample, sample: &PassiveSample) {
    // Of several latency ratios or loads in one message only the most recent one is kept.
    if sample.latency_permille > 0 {
        sum.latency_permille = sample.latency_permille;
    }
    sum.good += sample.good;
    sum.bad += sample.bad;
    sum.overdue += sample.overdue;
    sum.replaced |= sample.replaced;
    sum.draining |= sample.draining;
    sum.limit = sample.limit.or(sum.limit);
    if sample.held_plus_one > 0 {
        sum.held_plus_one = sample.held_plus_one;
    }
}
