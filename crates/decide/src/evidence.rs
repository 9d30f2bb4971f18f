//! Evidence about targets from the attempts of a box, in the form that is pooled between boxes.

use crate::names::{Name, TargetKey};
use crate::sketch::LatencyBucket;

/// The origin of evidence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceSource {
    /// Box that made the attempts.
    pub box_id: Name,
    /// Data centre of the box.
    pub data_centre: Name,
}

/// The outcome of an attempt, as evidence about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SampleKind {
    /// The answer was good; the bucket of the sample states its latency.
    Good,
    /// The attempt failed or was answered with a server error.
    Error,
    /// The attempt was open for longer than the overdue threshold.
    Overdue,
    /// The answer was good, and its latency is no evidence: the attempt was already counted as overdue, or the target
    /// was warming up.
    Late,
}

impl SampleKind {
    /// Returns whether the outcome is evidence against the target.
    pub fn is_bad(self) -> bool {
        matches!(self, SampleKind::Error | SampleKind::Overdue)
    }
}

/// A number of attempts with the same outcome and latency bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Outcome of the attempts.
    pub kind: SampleKind,
    /// Latency of the attempts, or the time for which they have been open.
    pub bucket: LatencyBucket,
    /// Number of attempts.
    pub count: u32,
}

/// The evidence about one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSamples {
    /// Key of the target.
    pub target: TargetKey,
    /// Samples, each with a different outcome and bucket.
    pub samples: Vec<Sample>,
    /// Maximum load that the target reported, as a share of its slots; 0 if it reported none.
    pub load: f32,
}

impl TargetSamples {
    /// Creates evidence without samples.
    pub fn new(target: TargetKey) -> TargetSamples {
        TargetSamples { target, samples: Vec::new(), load: 0.0 }
    }

    /// Adds one attempt, merged with an existing sample of the same outcome and bucket.
    pub fn add(&mut self, kind: SampleKind, bucket: LatencyBucket) {
        let known = self.samples.iter_mut().find(|s| s.kind == kind && s.bucket == bucket);
        match known {
            Some(sample) => sample.count += 1,
            None => self.samples.push(Sample { kind, bucket, count: 1 }),
        }
    }
}

/// The evidence of one box about one service since its previous batch.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceBatch {
    /// Name of the service.
    pub service: Name,
    /// Targets of the service that have samples.
    pub targets: Vec<TargetSamples>,
}
