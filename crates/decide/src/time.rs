//! Points in time, handed in by the driver.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since a start that the driver chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> TimePoint {
        TimePoint(micros)
    }

    /// Microseconds since the start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The point `duration` earlier, or the start if that is before it.
    pub fn before(self, duration: Duration) -> TimePoint {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        TimePoint(self.0.saturating_sub(micros))
    }

    /// The time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = TimePoint;

    fn add(self, duration: Duration) -> TimePoint {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        TimePoint(self.0.saturating_add(micros))
    }
}

impl Sub for TimePoint {
    type Output = Duration;

    fn sub(self, earlier: TimePoint) -> Duration {
        self.since(earlier)
    }
}
