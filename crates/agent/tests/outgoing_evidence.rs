//! Evidence with a bad sample is sent at once, with everything queued for the same detector; good
//! samples are delayed by the size of the fleet.

use std::sync::Arc;
use std::time::Duration;

use wingbridge_agent::outgoing_evidence::OutgoingEvidence;
use wingbridge_decide::sketch::LatencyBucket;
use wingbridge_decide::{EvidenceBatch, SampleKind, TargetKey, TargetSamples, TimePoint};

struct DelayCase {
    name: &'static str,
    boxes: usize,
    kinds: &'static [SampleKind],
    waited_ms: u64,
    sent: usize,
}

fn batch(kind: SampleKind) -> EvidenceBatch {
    let mut samples = TargetSamples::new(TargetKey(7));
    samples.add(kind, LatencyBucket(9));
    EvidenceBatch { service: "huts".into(), targets: vec![samples] }
}

#[test]
fn evidence_is_delayed_by_sample_kind_and_fleet_size() {
    use SampleKind::{Error, Good, Late, Overdue};
    let cases = [
        DelayCase {
            name: "good, small fleet, early",
            boxes: 40,
            kinds: &[Good],
            waited_ms: 50,
            sent: 0,
        },
        DelayCase { name: "good, small fleet", boxes: 40, kinds: &[Good], waited_ms: 100, sent: 1 },
        DelayCase {
            name: "good, large fleet, early",
            boxes: 1800,
            kinds: &[Good, Late],
            waited_ms: 4000,
            sent: 0,
        },
        DelayCase {
            name: "good, large fleet",
            boxes: 1800,
            kinds: &[Good, Late],
            waited_ms: 4500,
            sent: 2,
        },
        DelayCase {
            name: "error sends queued good samples too",
            boxes: 1800,
            kinds: &[Good, Error],
            waited_ms: 0,
            sent: 2,
        },
        DelayCase { name: "overdue", boxes: 1800, kinds: &[Overdue], waited_ms: 0, sent: 1 },
        DelayCase {
            name: "delay is at most five seconds",
            boxes: 1_000_000,
            kinds: &[Good],
            waited_ms: 5000,
            sent: 1,
        },
    ];
    for case in cases {
        let mut outgoing = OutgoingEvidence::default();
        let detector: Arc<str> = "box-1".into();
        let start = TimePoint::from_micros(1_000_000);
        for kind in case.kinds {
            outgoing.add(start, detector.clone(), &batch(*kind));
        }
        let now = start + Duration::from_millis(case.waited_ms);
        let sent: usize = outgoing.take_due(now, case.boxes).iter().map(|(_, b)| b.len()).sum();
        assert_eq!(sent, case.sent, "case {}", case.name);
    }
}
