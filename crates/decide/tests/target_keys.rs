//! Keys that identify targets between boxes.
//!
//! The start of an incarnation used to be the seed of the key's hash. For short names the seed is little more
//! than added to the bytes of the name, so that targets whose names and starts differ by the same amount had
//! the same key, such as `t-3` started at 3 and `t-7` started at 7. They shared one record, and the second of
//! them counted as new with each listing: its back-off was lost, and one box sent it 13 requests within
//! 2.2 s.

use std::collections::HashMap;

use proptest::prelude::*;
use wingbridge_decide::TargetKey;

#[test]
fn keys_differ_when_names_and_starts_differ_by_the_same_amount() {
    let mut known: HashMap<TargetKey, (String, u64)> = HashMap::new();
    for started_ms in 0..64 {
        for number in 0..64 {
            let id = format!("t-{number}");
            let key = TargetKey::of_incarnation(&id, started_ms);
            if let Some(other) = known.insert(key, (id.clone(), started_ms)) {
                panic!("{id} started at {started_ms} has the key of {other:?}");
            }
        }
    }
}

#[test]
fn incarnation_without_known_start_has_the_key_of_its_name() {
    assert_eq!(TargetKey::of_incarnation("t-3", 0), TargetKey::of("t-3"));
}

proptest! {
    #[test]
    fn incarnations_have_distinct_keys(
        first in ("[a-z0-9-]{1,20}", any::<u64>()),
        second in ("[a-z0-9-]{1,20}", any::<u64>()),
    ) {
        prop_assume!(first != second);
        let key = |target: &(String, u64)| TargetKey::of_incarnation(&target.0, target.1);
        prop_assert_ne!(key(&first), key(&second));
    }
}
