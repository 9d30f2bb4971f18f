//! Tests of the conversions between wire messages and the types of the decision core.

use proptest::prelude::*;
use prost::Message;
use wingbridge_decide::sketch::LatencyBucket;
use wingbridge_decide::{EvidenceBatch, Sample, SampleKind, TargetKey, TargetSamples};
use wingbridge_wire::convert::{batches_of, service_evidence};
use wingbridge_wire::{Evidence, Frame};

fn sample() -> impl Strategy<Value = Sample> {
    let kind = prop_oneof![
        Just(SampleKind::Good),
        Just(SampleKind::Error),
        Just(SampleKind::Overdue),
        Just(SampleKind::Late),
    ];
    (kind, 0u8..96, 0u32..1 << 20).prop_map(|(kind, bucket, count)| Sample {
        kind,
        bucket: LatencyBucket(bucket),
        count,
    })
}

proptest! {
    #[test]
    fn evidence_survives_encoding_and_decoding(
        targets in prop::collection::vec((any::<u64>(), prop::collection::vec(sample(), 0..5)), 0..5),
    ) {
        let to_samples = |(key, samples): &(u64, Vec<Sample>)| TargetSamples {
            samples: samples.clone(),
            ..TargetSamples::new(TargetKey(*key))
        };
        let batch = EvidenceBatch {
            service: "huts".into(),
            targets: targets.iter().map(to_samples).collect(),
        };
        let evidence = Evidence {
            box_id: "box-1".into(),
            data_centre: "dc-1".into(),
            services: vec![service_evidence(&batch)],
        };
        let decoded = Evidence::decode(&*evidence.encode_to_vec()).expect("decodes a message that was just encoded");
        let (source, batches) = batches_of(&decoded);
        prop_assert_eq!(&*source.box_id, "box-1");
        prop_assert_eq!(batches, vec![batch]);
    }

    /// Guards against panics while decoding arbitrary bytes from the network.
    #[test]
    fn arbitrary_bytes_decode_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Frame::decode(&*bytes);
    }
}
