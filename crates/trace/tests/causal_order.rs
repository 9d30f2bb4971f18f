//! Causes stand before effects, whatever the boxes' clocks say.

use proptest::prelude::*;
use wingbridge_trace::{EventTrace, HybridClock, merge_events};

proptest! {
    /// Three clocks that are wrong by up to half a minute pass a stamp around: it only grows.
    #[test]
    fn a_message_is_stamped_after_its_cause(
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
fn a_wrong_date_elsewhere_is_not_followed() {
    let clock = HybridClock::new();
    let next_year = (1_000_000 + 365 * 86_400_000) << 16;
    clock.observe_at(next_year, 1_000_000);
    assert!(clock.tick_at(1_000_001) < next_year);
}

#[test]
fn the_ring_is_bounded_and_counts_what_it_dropped() {
    let line = EventTrace::new("box-1", "agent", 3);
    for number in 0..5 {
        line.record("test", &[("number", &number.to_string())]);
    }
    assert_eq!(line.events().len(), 3);
    assert_eq!(line.dropped(), 2);
    assert_eq!(line.events()[0].fields["number"], "2");
}

#[test]
fn an_event_heard_from_two_sides_stands_once() {
    let line = EventTrace::new("box-1", "agent", 3);
    line.record("test", &[]);
    let twice = line.events().into_iter().chain(line.events());
    assert_eq!(merge_events(twice).len(), 1);
}
