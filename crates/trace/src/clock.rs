//! The hybrid logical clock (Kulkarni et al., 2014): wall time with a counter.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Low bits that count events within one millisecond.
const COUNTER_BITS: u32 = 16;
/// A peer's clock is followed at most this far ahead of ours, in milliseconds:
/// one box with a wrong date must not drag the whole fleet's time line along.
const MOST_AHEAD_MILLIS: u64 = 60_000;

/// A clock that never goes back and never falls behind what it has heard.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// A clock at the wall's time.
    pub fn new() -> HybridClock {
        HybridClock::default()
    }

    /// A stamp later than each one before.
    pub fn tick(&self) -> u64 {
        self.tick_at(wall_millis())
    }

    /// Takes note of a stamp from another process.
    pub fn observe(&self, remote: u64) {
        self.observe_at(remote, wall_millis());
    }

    /// [`HybridClock::tick`] at a given wall time, in milliseconds.
    pub fn tick_at(&self, wall: u64) -> u64 {
        let wall = wall << COUNTER_BITS;
        let step = |last: u64| Some(wall.max(last + 1));
        match self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step) {
            Ok(last) | Err(last) => wall.max(last + 1),
        }
    }

    /// [`HybridClock::observe`] at a given wall time, in milliseconds.
    pub fn observe_at(&self, remote: u64, wall: u64) {
        if remote >> COUNTER_BITS <= wall + MOST_AHEAD_MILLIS {
            self.last.fetch_max(remote, Ordering::AcqRel);
        }
    }
}

/// The wall time of a stamp, in milliseconds since 1970.
pub fn stamp_millis(stamp: u64) -> u64 {
    stamp >> COUNTER_BITS
}

/// Milliseconds since 1970.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
