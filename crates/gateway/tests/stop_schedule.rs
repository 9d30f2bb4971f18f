//! The times of planned stops of any length.

use std::time::Duration;

use proptest::prelude::*;
use wingbridge_gateway::stop_schedule::StopSchedule;

proptest! {
    /// The time by which requests were accepted and the one at which they were ended were two.
    #[test]
    fn accepted_requests_end_before_the_stop_ends_them(
        stop_ms in 0_u64..20_000,
        elapsed_ms in 0_u64..20_000,
        request_ms in 0_u64..20_000,
    ) {
        let schedule = StopSchedule::new(Duration::from_millis(stop_ms));
        let elapsed = Duration::from_millis(elapsed_ms);
        let until = elapsed + Duration::from_millis(request_ms);
        let refused = schedule.refuses(elapsed, until);
        prop_assert!(refused || elapsed < schedule.refuse_from || until <= schedule.answer_by);
        prop_assert!(!refused || until > schedule.answer_by);
        prop_assert!(schedule.answer_by <= schedule.end);
        prop_assert!(schedule.end <= Duration::from_millis(stop_ms));
    }
}

struct BoundaryCase {
    name: &'static str,
    stop_ms: u64,
    /// Time after the signal at which the request was sent.
    sent_ms: u64,
    /// Time by which the box learned of the signal late.
    delay_ms: u64,
    is_refused: bool,
}

const BOUNDARY_CASES: &[BoundaryCase] = &[
    BoundaryCase {
        name: "while the balancer sends callers",
        stop_ms: 6000,
        sent_ms: 2800,
        delay_ms: 0,
        is_refused: false,
    },
    BoundaryCase {
        name: "after half of the stop",
        stop_ms: 6000,
        sent_ms: 3001,
        delay_ms: 0,
        is_refused: true,
    },
    BoundaryCase {
        name: "after half of the stop, at a box that was waiting for its processor share",
        stop_ms: 6000,
        sent_ms: 3001,
        delay_ms: 100,
        is_refused: true,
    },
    BoundaryCase {
        name: "after the balancer has removed the box, in a long stop",
        stop_ms: 10_000,
        sent_ms: 3001,
        delay_ms: 100,
        is_refused: true,
    },
    BoundaryCase {
        name: "after half of a short stop",
        stop_ms: 2000,
        sent_ms: 1001,
        delay_ms: 100,
        is_refused: true,
    },
];

/// Requests that could outlast a stop were accepted when a box learned of it late, and in the first half of long stops.
#[test]
fn requests_that_could_outlast_a_stop_are_refused_in_time() {
    for case in BOUNDARY_CASES {
        let schedule = StopSchedule::new(Duration::from_millis(case.stop_ms));
        let seen = Duration::from_millis(case.sent_ms - case.delay_ms);
        let until = schedule.answer_by + Duration::from_millis(1);
        assert_eq!(schedule.refuses(seen, until), case.is_refused, "{}", case.name);
    }
}
