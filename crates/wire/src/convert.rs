//! Conversions between wire messages and the types of the decision core.

use crate::messages::{Evidence, ServiceEvidence, TargetEvidence, VerdictMessage};
use wingbridge_decide::sketch::LatencyBucket;
use wingbridge_decide::{
    EvidenceBatch, EvidenceSource, Sample, SampleKind, TargetKey, TargetSamples, Verdict,
    VerdictCause, VerdictKind, VerdictScope,
};

/// Width of the sample kind in a packed sample.
const KIND_BITS: u32 = 2;
/// Width of the latency bucket in a packed sample.
const BUCKET_BITS: u32 = 8;

/// Converts a message into its source and one evidence batch for each service.
pub fn batches_of(evidence: &Evidence) -> (EvidenceSource, Vec<EvidenceBatch>) {
    let source = EvidenceSource {
        box_id: evidence.box_id.as_str().into(),
        data_centre: evidence.data_centre.as_str().into(),
    };
    (source, evidence.services.iter().map(batch_of).collect())
}

/// Converts a batch into its message.
pub fn service_evidence(batch: &EvidenceBatch) -> ServiceEvidence {
    let targets = batch.targets.iter().map(|target| TargetEvidence {
        target: target.target.0,
        samples: target.samples.iter().map(pack_sample).collect(),
        load: (target.load.clamp(0.0, 1000.0) * 100.0) as u32,
    });
    ServiceEvidence { service: batch.service.to_string(), targets: targets.collect() }
}

/// Converts a verdict into its message.
pub fn verdict_message(verdict: &Verdict) -> VerdictMessage {
    VerdictMessage {
        service: verdict.service.to_string(),
        target: verdict.target.0,
        convicted: verdict.kind == VerdictKind::Convicted,
        scope: verdict.scope as u32,
        flaps: verdict.flaps,
        stamp: verdict.stamp,
        cause: verdict.cause as u32,
    }
}

/// Converts a message into a verdict. An unknown scope or cause becomes the last one of its kind.
pub fn verdict_of(message: &VerdictMessage) -> Verdict {
    let kind = if message.convicted { VerdictKind::Convicted } else { VerdictKind::Acquitted };
    Verdict {
        service: message.service.as_str().into(),
        target: TargetKey(message.target),
        kind,
        scope: scope_of(message.scope),
        cause: cause_of(message.cause),
        flaps: message.flaps,
        stamp: message.stamp,
    }
}

fn cause_of(number: u32) -> VerdictCause {
    VerdictCause::ALL.get(number as usize).copied().unwrap_or(VerdictCause::Slowness)
}

fn scope_of(number: u32) -> VerdictScope {
    match number {
        0 => VerdictScope::Path,
        1 => VerdictScope::DataCentre,
        _ => VerdictScope::Target,
    }
}

fn batch_of(evidence: &ServiceEvidence) -> EvidenceBatch {
    let targets = evidence.targets.iter().map(|target| TargetSamples {
        target: TargetKey(target.target),
        samples: target.samples.iter().map(|packed| unpack_sample(*packed)).collect(),
        load: target.load as f32 / 100.0,
    });
    EvidenceBatch { service: evidence.service.as_str().into(), targets: targets.collect() }
}

fn pack_sample(sample: &Sample) -> u32 {
    let kind = match sample.kind {
        SampleKind::Good => 0,
        SampleKind::Error => 1,
        SampleKind::Overdue => 2,
        SampleKind::Late => 3,
    };
    let bucket = u32::from(sample.bucket.0) << KIND_BITS;
    kind | bucket | (sample.count << (KIND_BITS + BUCKET_BITS))
}

fn unpack_sample(packed: u32) -> Sample {
    let kind = match packed & ((1 << KIND_BITS) - 1) {
        0 => SampleKind::Good,
        1 => SampleKind::Error,
        2 => SampleKind::Overdue,
        _ => SampleKind::Late,
    };
    let bucket = (packed >> KIND_BITS) & ((1 << BUCKET_BITS) - 1);
    Sample { kind, bucket: LatencyBucket(bucket as u8), count: packed >> (KIND_BITS + BUCKET_BITS) }
}
