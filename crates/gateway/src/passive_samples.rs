//! What this box saw of targets and has not yet told its peers.

use std::collections::HashMap;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::{LoadReport, SteerOutcome};
use wingbridge_wire::gossip::PassiveSample;
use wingbridge_wire::limits::TargetLimit;

use crate::context::lock;

/// How soon what was seen must be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// A failure: at once.
    Now,
    /// A success, or a load: with others.
    Soon,
}

/// How an attempt ended, as far as peers should know.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedOutcome {
    pub(crate) outcome: SteerOutcome,
    /// What the target told of its load.
    pub(crate) load: Option<LoadReport>,
    /// Whether the target was a suspect before.
    pub(crate) suspect: bool,
    /// Whether the attempt counts as a stall.
    pub(crate) stalled: bool,
    /// The time of a good answer, as a multiple of the typical time of its route.
    pub(crate) latency_ratio: Option<f64>,
}

/// What was seen of a target, and whether other data centres need to know.
#[derive(Debug, Clone)]
pub(crate) struct PendingSample {
    pub(crate) sighting: PassiveSample,
    /// It failed, has left or leaves, has another limit, or was a suspect and did not fail: the rest is not worth its
    /// price across.
    pub(crate) is_news: bool,
}

/// Collects what was seen and wakes the task that tells it.
#[derive(Debug)]
pub(crate) struct SampleBuffer {
    pending: Mutex<HashMap<TargetKey, PendingSample>>,
    wake: Sender<Urgency>,
}

impl SampleBuffer {
    /// A buffer, and where it asks to be emptied.
    pub(crate) fn new() -> (SampleBuffer, Receiver<Urgency>) {
        /// Wishes that wait; one more is covered by those before it.
        const WISHES: usize = 4;
        let (wake, wishes) = async_channel::bounded(WISHES);
        (SampleBuffer { pending: Mutex::default(), wake }, wishes)
    }

    /// Notes how an attempt ended.
    pub(crate) fn record_outcome(&self, key: TargetKey, ended: &ObservedOutcome) {
        let mut seen = PassiveSample { target: key.0, ..PassiveSample::default() };
        seen.held_plus_one = ended.load.map_or(0, |load| load.held + 1);
        match ended.outcome {
            SteerOutcome::Good(_) => {
                seen.good = 1;
                seen.latency_permille = ended.latency_ratio.map_or(0, as_permille);
            }
            SteerOutcome::Failed | SteerOutcome::Incomplete => seen.bad = 1,
            SteerOutcome::WrongTarget => seen.replaced = true,
            _ => {}
        }
        seen.overdue = u32::from(ended.stalled);
        self.add(key, &seen, ended.suspect);
    }

    /// Notes that a target has said that it leaves.
    pub(crate) fn record_draining(&self, key: TargetKey) {
        self.add(
            key,
            &PassiveSample { target: key.0, draining: true, ..PassiveSample::default() },
            false,
        );
    }

    /// Notes that a target has named a limit, another one than before, or none any more.
    pub(crate) fn record_limit(&self, key: TargetKey, limit: TargetLimit) {
        let seen = PassiveSample { target: key.0, limit: Some(limit), ..PassiveSample::default() };
        self.add(key, &seen, false);
    }

    /// Notes that an attempt that is still open counts as a stall.
    pub(crate) fn record_stall(&self, key: TargetKey) {
        self.add(
            key,
            &PassiveSample { target: key.0, overdue: 1, ..PassiveSample::default() },
            false,
        );
    }

    /// Notes that the number of open attempts changed.
    pub(crate) fn record_open_attempts(&self, key: TargetKey) {
        self.add(key, &PassiveSample::default(), false);
    }

    fn add(&self, key: TargetKey, seen: &PassiveSample, suspect: bool) {
        let failed = seen.bad + seen.overdue > 0 || seen.replaced || seen.draining;
        let is_news = failed || seen.limit.is_some() || (suspect && seen.good > 0);
        let mut pending = lock(&self.pending);
        let known = pending.entry(key);
        let known = known.or_insert_with(|| PendingSample {
            sighting: PassiveSample { target: key.0, ..PassiveSample::default() },
            is_news: false,
        });
        known.is_news |= is_news;
        add(&mut known.sighting, seen);
        drop(pending);
        // Full: the task is about to look anyway.
        let _ = self.wake.try_send(if is_news { Urgency::Now } else { Urgency::Soon });
    }

    /// Takes all that was noted.
    pub(crate) fn take(&self) -> Vec<PendingSample> {
        lock(&self.pending).drain().map(|(_, seen)| seen).collect()
    }
}

/// Whole thousandths, 1 at least: 0 stands for unknown.
fn as_permille(latency_ratio: f64) -> u32 {
    (latency_ratio * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32
}

fn add(sum: &mut PassiveSample, seen: &PassiveSample) {
    // The newest of several in one message stands for all.
    if seen.latency_permille > 0 {
        sum.latency_permille = seen.latency_permille;
    }
    sum.good += seen.good;
    sum.bad += seen.bad;
    sum.overdue += seen.overdue;
    sum.replaced |= seen.replaced;
    sum.draining |= seen.draining;
    sum.limit = seen.limit.or(sum.limit);
    if seen.held_plus_one > 0 {
        sum.held_plus_one = seen.held_plus_one;
    }
}
