//! News that come by more than one way count once.

use proptest::prelude::*;
use wingbridge_decide::steer::relay::DuplicateFilter;

struct NewsCase {
    name: &'static str,
    numbers: &'static [u64],
    new: &'static [bool],
}

const CASES: &[NewsCase] = &[
    NewsCase { name: "each twice", numbers: &[1, 1, 2, 2], new: &[true, false, true, false] },
    NewsCase {
        name: "out of their order",
        numbers: &[3, 1, 2, 1, 3],
        new: &[true, true, true, false, false],
    },
    NewsCase { name: "after a gap", numbers: &[1, 500, 499, 1], new: &[true, true, true, false] },
    NewsCase { name: "the greatest", numbers: &[u64::MAX, 1], new: &[true, false] },
];

#[test]
fn news_count_once() {
    for case in CASES {
        let mut filter = DuplicateFilter::default();
        let new: Vec<bool> = case.numbers.iter().map(|number| filter.insert(7, *number)).collect();
        assert_eq!(new, case.new, "{}", case.name);
        assert!(filter.insert(8, case.numbers[0]), "{}: another sender's", case.name);
    }
}

proptest! {
    #[test]
    fn none_counts_twice_and_none_in_order_is_missed(
        news in proptest::collection::vec((0u64..5, 1u64..200), 0..400),
    ) {
        let mut filter = DuplicateFilter::default();
        let mut counted = std::collections::HashSet::new();
        for (sender, number) in news {
            if filter.insert(sender, number) {
                prop_assert!(counted.insert((sender, number)), "{} {}", sender, number);
            }
        }
        for number in 300..400 {
            prop_assert!(filter.insert(9, number));
        }
    }
}
