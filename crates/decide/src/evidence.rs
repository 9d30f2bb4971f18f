//! What a box saw of its targets, in the form that is pooled between boxes.

use crate::names::{Name, TargetKey};
use crate::sketch::LatencyBucket;

/// Who saw something.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceSource {
    /// The box.
    pub box_id: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// How an attempt went, as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SampleKind {
    /// Answered well; the bucket says how fast.
    Good,
    /// Failed, or answered with an error of the target.
    Error,
    /// Still open long after others are answered.
    Overdue,
    /// Answered well after all, having been counted as overdue.
    Late,
}

impl SampleKind {
    /// Whether it speaks against the target.
    pub fn is_bad(self) -> bool {
        matches!(self, SampleKind::Error | SampleKind::Overdue)
    }
}

/// Attempts of one kind and speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// How they went.
    pub kind: SampleKind,
    /// How long they took, or have been open.
    pub bucket: LatencyBucket,
    /// How many they are.
    pub count: u32,
}

/// What was seen of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSamples {
    /// The target.
    pub target: TargetKey,
    /// What was seen.
    pub samples: Vec<Sample>,
    /// The highest load that it reported, as a share of its slots; 0 if it did not.
    pub load: f32,
}

impl TargetSamples {
    /// Nothing seen yet.
    pub fn new(target: TargetKey) -> TargetSamples {
        TargetSamples { target, samples: Vec::new(), load: 0.0 }
    }

    /// Adds one sample, merged with an equal one.
    pub fn add(&mut self, kind: SampleKind, bucket: LatencyBucket) {
        let known = self.samples.iter_mut().find(|s| s.kind == kind && s.bucket == bucket);
        match known {
            Some(sample) => sample.count += 1,
            None => self.samples.push(Sample { kind, bucket, count: 1 }),
        }
    }
}

/// What one box saw of one service since its last batch.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceBatch {
    /// The service.
    pub service: Name,
    /// Its targets, those with samples only.
    pub targets: Vec<TargetSamples>,
}
