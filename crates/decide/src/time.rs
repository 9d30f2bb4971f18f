//! Points in time, which the caller of the core passes in.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, as microseconds since an origin that the caller chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TimePoint(u64);

impl TimePoint {
    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> TimePoint {
        TimePoint(micros)
    }

    /// Returns the microseconds since the origin.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the point `duration` earlier, but no earlier than the origin.
    pub fn before(self, duration: Duration) -> TimePoint {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        TimePoint(self.0.saturating_sub(micros))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
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
