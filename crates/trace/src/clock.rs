//! A hybrid logical clock (Kulkarni et al., 2014): wall-clock time with a counter.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of low bits of a time stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;
/// Maximum offset of a remote time stamp ahead of the local clock, in milliseconds. Later ones
/// are ignored, so that one box with a wrong date can't advance the clocks of the whole fleet.
const MAX_AHEAD_MILLIS: u64 = 60_000;

/// A clock whose stamps increase, and are later than each remote stamp that it has observed.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that starts at the wall-clock time.
    pub fn new() -> HybridClock {
        HybridClock::default()
    }

    /// Returns a stamp that is later than all earlier ones.
    pub fn tick(&self) -> u64 {
        self.tick_at(wall_millis())
    }

    /// Advances the clock to a stamp of another process, unless that is over a minute ahead.
    pub fn observe(&self, remote: u64) {
        self.observe_at(remote, wall_millis());
    }

    /// Performs [`HybridClock::tick`] at the wall-clock time `wall`, in milliseconds since 1970.
    pub fn tick_at(&self, wall: u64) -> u64 {
        let wall = wall << COUNTER_BITS;
        let step = |last: u64| Some(wall.max(last + 1));
        match self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step) {
            Ok(last) | Err(last) => wall.max(last + 1),
        }
    }

    /// Performs [`HybridClock::observe`] at the wall-clock time `wall`, in milliseconds since 1970.
    pub fn observe_at(&self, remote: u64, wall: u64) {
        if remote >> COUNTER_BITS <= wall + MAX_AHEAD_MILLIS {
            self.last.fetch_max(remote, Ordering::AcqRel);
        }
    }
}

/// Returns the wall-clock part of a stamp, in milliseconds since 1970.
pub fn stamp_millis(stamp: u64) -> u64 {
    stamp >> COUNTER_BITS
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
