//! Queues evidence for other boxes' detectors, so that it is sent in few messages.
//!
//! Evidence with a bad sample is sent at once, together with everything that is queued for the same
//! detector. Good samples are delayed, and for longer in a larger fleet, since there each detector
//! receives evidence from more boxes and each box sends evidence to more detectors. The delay is a
//! tenth of a second with 40 boxes, and 4.5 s with 1,800.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::{EvidenceBatch, TimePoint};

/// Delay of good samples for each box of the fleet.
const DELAY_PER_BOX: Duration = Duration::from_micros(2500);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Evidence that has not been sent yet, by detector.
#[derive(Debug, Default)]
pub struct OutgoingEvidence {
    detectors: BTreeMap<Arc<str>, QueuedEvidence>,
}

#[derive(Debug)]
struct QueuedEvidence {
    since: TimePoint,
    urgent: bool,
    batches: Vec<EvidenceBatch>,
}

impl OutgoingEvidence {
    /// Queues a batch for `detector`.
    pub fn add(&mut self, now: TimePoint, detector: Arc<str>, batch: &EvidenceBatch) {
        let empty = || QueuedEvidence { since: now, urgent: false, batches: Vec::new() };
        let queued = self.detectors.entry(detector).or_insert_with(empty);
        queued.urgent |= has_bad_sample(batch);
        queued.batches.push(batch.clone());
    }

    /// Removes and returns the evidence that is due at `now`, for a fleet of `boxes` boxes.
    pub fn take_due(
        &mut self,
        now: TimePoint,
        boxes: usize,
    ) -> Vec<(Arc<str>, Vec<EvidenceBatch>)> {
        let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
        let delay = DELAY_PER_BOX.saturating_mul(boxes).min(MAX_DELAY);
        let due = self
            .detectors
            .extract_if(.., |_, queued| queued.urgent || now.since(queued.since) >= delay);
        due.map(|(detector, queued)| (detector, queued.batches)).collect()
    }
}

fn has_bad_sample(batch: &EvidenceBatch) -> bool {
    let samples = batch.targets.iter().flat_map(|target| &target.samples);
    samples.into_iter().any(|sample| sample.kind.is_bad())
}
