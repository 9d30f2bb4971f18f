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
