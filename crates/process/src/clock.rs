//! The clock that provides the decision cores with the current time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the system time. Time stamps of different boxes are
/// comparable as far as the boxes' system clocks agree.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    wall_micros: u64,
    start: Instant,
}

impl ProcessClock {
    /// Creates a clock that starts at the current system time.
    pub fn start() -> ProcessClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall_micros = u64::try_from(wall.as_micros()).unwrap_or(u64::MAX);
        ProcessClock { wall_micros, start: Instant::now() }
    }

    /// Returns the time in microseconds since the Unix epoch. It never decreases, even if the
    /// system clock is set back.
    pub fn micros(&self) -> u64 {
        self.wall_micros + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
