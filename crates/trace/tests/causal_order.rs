//! Causal order of time stamps under clock skew, and the bounds of the event buffer.

use proptest::prelude::*;
use wingbridge_trace::{EventTrace, HybridClock, merge_events};

proptest! {
    /// A stamp that is passed between three clocks with up to 30 s of skew only increases.
    #[test]
    fn effects_are_stamped_after_their_causes(
        offsets in prop::array::uniform3(0u64..30_000),
        path in prop::collection::vec((0usize..3, 0u64..50), 1..60),
    ) {
        let clocks = [HybridClock::new(), HybridClock::new(), HybridClock::new()];
        let mut wall = 1_000_000;
        let mut last = 0;
        for (holder, passed) in path {
            wall += passed;
            let local = wall + offsets[holder];
            clocks[holder].observe_at(last, local);
            let stamp = clocks[holder].tick_at(local);
            prop_assert!(stamp > last, "{stamp} after {last}");
            last = stamp;
        }
    }
}

#[test]
fn remote_stamp_far_ahead_is_ignored() {
    let clock = HybridClock::new();
    let next_year = (1_000_000 + 365 * 86_400_000) << 16;
    clock.observe_at(next_year, 1_000_000);
    assert!(clock.tick_at(1_000_001) < next_year);
}

#[test]
fn buffer_is_bounded_and_counts_dropped_events() {
    let line = EventTrace::new("box-1", "agent", 3);
    for number in 0..5 {
        line.record("test", &[("number", &number.to_string())]);
    }
    assert_eq!(line.events().len(), 3);
    assert_eq!(line.dropped(), 2);
    assert_eq!(line.events()[0].fields["number"], "2");
}

#[test]
fn merge_removes_duplicates() {
    let line = EventTrace::new("box-1", "agent", 3);
    line.record("test", &[]);
    let twice = line.events().into_iter().chain(line.events());
    assert_eq!(merge_events(twice).len(), 1);
}
