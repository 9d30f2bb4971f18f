//! Time for which this machine stood suspended, taken into account where ages and times left matter.
//!
//! [`Instant`] doesn't count it. A box that wakes would tell its peers that what it knew before was still right a
//! moment ago, and give targets time that callers don't have.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::context::lock;

/// Shorter ones count as none: two clocks are read one after the other.
const NOTICED: Duration = Duration::from_millis(20);
/// What comes within this after a box woke may have waited for it, so that its age is not known.
const WAKING: Duration = Duration::from_millis(200);

/// When something began, and how long the machine had been suspended by then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockSample {
    at: Instant,
    suspended: Duration,
}

impl ClockSample {
    /// A mark for now, `suspended` being the machine's whole suspended time.
    pub(crate) fn now(suspended: Duration) -> ClockSample {
        ClockSample { at: Instant::now(), suspended }
    }

    /// A time after this mark as it is on a clock that counted what was suspended since, up to `suspended`.
    pub(crate) fn correct(&self, time: Instant, suspended: Duration) -> Instant {
        let since = suspended.saturating_sub(self.suspended);
        let since = if since < NOTICED { Duration::ZERO } else { since };
        // A time before all that the clock can tell can't be corrected, and none has been seen.
        time.checked_sub(since).unwrap_or(time)
    }

    /// When it began, on that clock.
    pub(crate) fn corrected_time(&self, suspended: Duration) -> Instant {
        self.correct(self.at, suspended)
    }
}

/// Notices that the machine was suspended.
#[derive(Debug)]
pub(crate) struct SuspensionWatch {
    state: Mutex<WatchState>,
}

#[derive(Debug)]
struct WatchState {
    known: Duration,
    woke: Option<Instant>,
}

impl SuspensionWatch {
    /// A watch for what comes after `suspended`.
    pub(crate) fn new(suspended: Duration) -> SuspensionWatch {
        SuspensionWatch { state: Mutex::new(WatchState { known: suspended, woke: None }) }
    }

    /// How long the machine was suspended since the last call, if it was.
    pub(crate) fn newly(&self, suspended: Duration) -> Option<Duration> {
        let mut state = lock(&self.state);
        let time = suspended.checked_sub(state.known).filter(|time| *time >= NOTICED)?;
        state.known = suspended;
        state.woke = Some(Instant::now());
        Some(time)
    }

    /// Whether it woke a moment ago.
    pub(crate) fn recently_resumed(&self) -> bool {
        lock(&self.state).woke.is_some_and(|woke| woke.elapsed() < WAKING)
    }
}
