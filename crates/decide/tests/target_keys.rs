//! Keys of targets between boxes.
//!
//! The start of a life went into the key as the seed of a hash. For short names the seed is little more than added to the
//! name's bytes, so that two targets whose names differ as their starts do had one key: `t-3` of 3 and `t-7` of 7. They
//! shared one record, and the second of them was taken for new with each listing: a rest that it had
//! asked for was lost, and it got 13 requests of one box within 2.2 s.

use std::collections::HashMap;

use proptest::prelude::*;
use wingbridge_decide::TargetKey;

#[test]
fn targets_whose_names_differ_as_their_starts_do_have_keys_of_their_own() {
    let mut known: HashMap<TargetKey, (String, u64)> = HashMap::new();
    for born_ms in 0..64 {
        for number in 0..64 {
            let id = format!("t-{number}");
            let key = TargetKey::of_incarnation(&id, born_ms);
            if let Some(other) = known.insert(key, (id.clone(), born_ms)) {
                panic!("{id} of {born_ms} has the key of {other:?}");
            }
        }
    }
}

#[test]
fn a_life_whose_start_is_not_known_has_the_key_of_its_name() {
    assert_eq!(TargetKey::of_incarnation("t-3", 0), TargetKey::of("t-3"));
}

proptest! {
    #[test]
    fn any_two_lives_have_keys_of_their_own(
        first in ("[a-z0-9-]{1,20}", any::<u64>()),
        second in ("[a-z0-9-]{1,20}", any::<u64>()),
    ) {
        prop_assume!(first != second);
        let key = |life: &(String, u64)| TargetKey::of_incarnation(&life.0, life.1);
        prop_assert_ne!(key(&first), key(&second));
    }
}
