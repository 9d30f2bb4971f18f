//! The time that the machine was suspended, which the monotonic clock doesn't include.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Returns the total time that the machine has been suspended since it booted, accurate to some
/// microseconds: the difference between the boot-time clock and the monotonic clock.
pub fn suspended_time() -> Duration {
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot = clock_gettime(ClockId::Boottime);
    to_duration(boot).saturating_sub(to_duration(monotonic))
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
