//! Evidence on its way to other boxes' detectors, gathered so that it costs few messages.
//!
//! Bad news goes at once, with whatever waits for the same detector. Good news waits for
//! more: the longer the larger the fleet, since there each detector hears from more boxes
//! and each box tells more detectors. At 40 boxes that is a tenth of a second, at 1,800
//! four and a half.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::{EvidenceBatch, TimePoint};

/// Good news waits for so long for each box of the fleet.
const WAIT_PER_BOX: Duration = Duration::from_micros(2500);
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What waits, by detector.
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
    /// Adds a batch for `detector`.
    pub fn add(&mut self, now: TimePoint, detector: Arc<str>, batch: &EvidenceBatch) {
        let new = || QueuedEvidence { since: now, urgent: false, batches: Vec::new() };
        let waiting = self.detectors.entry(detector).or_insert_with(new);
        waiting.urgent |= is_bad_news(batch);
        waiting.batches.push(batch.clone());
    }

    /// Takes what is to be sent now, in a fleet of `boxes`.
    pub fn take_due(
        &mut self,
        now: TimePoint,
        boxes: usize,
    ) -> Vec<(Arc<str>, Vec<EvidenceBatch>)> {
        let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
        let wait = WAIT_PER_BOX.saturating_mul(boxes).min(MAX_WAIT);
        let due = self
            .detectors
            .extract_if(.., |_, waiting| waiting.urgent || now.since(waiting.since) >= wait);
        due.map(|(detector, waiting)| (detector, waiting.batches)).collect()
    }
}

fn is_bad_news(batch: &EvidenceBatch) -> bool {
    let samples = batch.targets.iter().flat_map(|target| &target.samples);
    samples.into_iter().any(|sample| sample.kind.is_bad())
}
