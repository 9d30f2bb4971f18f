//! Sums of clock times and durations that come from outside.
//!
//! [`Instant`] panics on a sum beyond its range. Targets, peers and operators name durations, and one that is wrong must
//! not end the task that reads it.

use std::time::{Duration, Instant};

/// Wait in place of one that is beyond the range of the clock, far longer than any process lives.
const MAX_WAIT: Duration = Duration::from_secs(10 * 365 * 86_400);

/// Returns the time that is `wait` after `at`, or one that no process lives to see if the clock can't represent it.
pub(crate) fn later(at: Instant, wait: Duration) -> Instant {
    at.checked_add(wait).unwrap_or_else(|| at + MAX_WAIT)
}
