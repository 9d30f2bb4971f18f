//! Corrects ages and remaining times for the time during which this machine was suspended.
//!
//! [`Instant`] does not count that time. Without the correction, a box that resumes would report to its peers that
//! old data was valid a moment ago, and would give targets time that callers no longer have.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::context::lock;

/// Shortest suspension that is taken into account: the suspended time is the difference of two clocks that are
/// read one after the other, and is inaccurate by less than this.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);
/// Time after a resume within which received data may have been waiting since before, so that its age is unknown.
const RESUME_GRACE: Duration = Duration::from_millis(200);

/// A point in time, together with how long the machine had been suspended until then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockSample {
    at: Instant,
    suspended: Duration,
}

impl ClockSample {
    /// Takes a sample of the current time; `suspended` is the total suspended time of the machine.
    pub(crate) fn now(suspended: Duration) -> ClockSample {
        ClockSample { at: Instant::now(), suspended }
    }

    /// Returns `time`, a time after this sample, corrected for the suspensions since the sample, which the clock
    /// did not count. `suspended` is the total suspended time until now.
    pub(crate) fn correct(&self, time: Instant, suspended: Duration) -> Instant {
        let missing = suspended.saturating_sub(self.suspended);
        let missing = if missing < MIN_SUSPENSION { Duration::ZERO } else { missing };
        // A time that the clock can't represent is left uncorrected; this has not been observed.
        time.checked_sub(missing).unwrap_or(time)
    }

    /// Returns the time of the sample itself, corrected in the same way as by [`ClockSample::correct`].
    pub(crate) fn corrected_time(&self, suspended: Duration) -> Instant {
        self.correct(self.at, suspended)
    }
}

/// Detects that the machine was suspended.
#[derive(Debug)]
pub(crate) struct SuspensionWatch {
    state: Mutex<WatchState>,
}

#[derive(Debug)]
struct WatchState {
    counted: Duration,
    resumed_at: Option<Instant>,
}

impl SuspensionWatch {
    /// Creates a watch for suspensions after the total suspended time `suspended`.
    pub(crate) fn new(suspended: Duration) -> SuspensionWatch {
        SuspensionWatch { state: Mutex::new(WatchState { counted: suspended, resumed_at: None }) }
    }

    /// Returns how long the machine was suspended since the last call, or `None` if it was not.
    pub(crate) fn newly_suspended(&self, suspended: Duration) -> Option<Duration> {
        let mut state = lock(&self.state);
        let time = suspended.checked_sub(state.counted).filter(|time| *time >= MIN_SUSPENSION)?;
        state.counted = suspended;
        state.resumed_at = Some(Instant::now());
        Some(time)
    }

    /// Returns whether the machine resumed less than 200 ms ago.
    pub(crate) fn recently_resumed(&self) -> bool {
        lock(&self.state).resumed_at.is_some_and(|resumed_at| resumed_at.elapsed() < RESUME_GRACE)
    }
}
