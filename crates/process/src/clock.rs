//! The clock that drivers hand to the cores.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since 1970 as they were at the start, carried on by a clock that
/// never goes back. Boxes' points in time can be compared as far as their dates agree.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    wall: u64,
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> ProcessClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = u64::try_from(wall.as_micros()).unwrap_or(u64::MAX);
        ProcessClock { wall, start: Instant::now() }
    }

    /// Microseconds since 1970.
    pub fn micros(&self) -> u64 {
        self.wall + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
