//! Updates that arrive by more than one relay count once.

use proptest::prelude::*;
use wingbridge_decide::steer::relay::DuplicateFilter;

struct DuplicateCase {
    name: &'static str,
    numbers: &'static [u64],
    /// Whether each number is new.
    new: &'static [bool],
}

const CASES: &[DuplicateCase] = &[
    DuplicateCase { name: "each twice", numbers: &[1, 1, 2, 2], new: &[true, false, true, false] },
    DuplicateCase {
        name: "out of order",
        numbers: &[3, 1, 2, 1, 3],
        new: &[true, true, true, false, false],
    },
    DuplicateCase {
        name: "after a gap",
        numbers: &[1, 500, 499, 1],
        new: &[true, true, true, false],
    },
    DuplicateCase {
        name: "after the largest number",
        numbers: &[u64::MAX, 1],
        new: &[true, false],
    },
];

#[test]
fn duplicate_updates_are_detected() {
    for case in CASES {
        let mut filter = DuplicateFilter::default();
        let new: Vec<bool> = case.numbers.iter().map(|number| filter.insert(7, *number)).collect();
        assert_eq!(new, case.new, "{}", case.name);
        assert!(filter.insert(8, case.numbers[0]), "{}: update of another sender", case.name);
    }
}

proptest! {
    #[test]
    fn no_update_counts_twice_and_none_in_order_is_dropped(
        updates in proptest::collection::vec((0u64..5, 1u64..200), 0..400),
    ) {
        let mut filter = DuplicateFilter::default();
        let mut counted = std::collections::HashSet::new();
        for (sender, number) in updates {
            if filter.insert(sender, number) {
                prop_assert!(counted.insert((sender, number)), "counted twice: {} {}", sender, number);
            }
        }
        for number in 300..400 {
            prop_assert!(filter.insert(9, number));
        }
    }
}
