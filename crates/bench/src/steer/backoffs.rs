//! Strategies for targets that ask for a back-off, and what these targets receive under each.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;

/// Time within which requests that were in flight when a target asked for a back-off still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Length of the window in which arrivals at one target are counted.
const PEAK_WINDOW: Duration = Duration::from_millis(100);

/// What boxes do when a target asks one of them for a back-off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackoffStrategy {
    /// The box that was asked sends the target nothing, and refuses requests that no other target
    /// can take.
    #[default]
    Own,
    /// Boxes ignore the request for a back-off.
    Ignored,
    /// Like [`BackoffStrategy::Own`], in all boxes of the data centre.
    Shared,
    /// Like [`BackoffStrategy::Own`], with up to a quarter of the time added at random.
    Jittered,
    /// Like [`BackoffStrategy::Own`], but a request that no other target can take waits for the first
    /// target whose back-off ends within the request's goal.
    Held,
}

const NAMES: [(BackoffStrategy, &str); 5] = [
    (BackoffStrategy::Own, "own"),
    (BackoffStrategy::Ignored, "ignored"),
    (BackoffStrategy::Shared, "told"),
    (BackoffStrategy::Jittered, "spread"),
    (BackoffStrategy::Held, "held"),
];

impl BackoffStrategy {
    /// Returns the names of all strategies, separated by commas, for error messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for BackoffStrategy {
    type Err = UnknownBackoffStrategy;

    fn from_str(text: &str) -> Result<BackoffStrategy, UnknownBackoffStrategy> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found
            .map(|(strategy, _)| *strategy)
            .ok_or_else(|| UnknownBackoffStrategy { name: text.to_string() })
    }
}

/// The error for a name that no back-off strategy has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownBackoffStrategy {
    /// The name that was given.
    pub name: String,
}

impl fmt::Display for UnknownBackoffStrategy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "unknown back-off strategy '{}'; expected one of {}",
            self.name,
            BackoffStrategy::names()
        )
    }
}

impl std::error::Error for UnknownBackoffStrategy {}

/// Requests that were sent to targets which had asked for a back-off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackoffCounts {
    /// Back-offs that targets asked boxes for.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Requests that a box sent to a target which had asked it for a back-off, and that arrived half
    /// a second or more after that and before the back-off ended.
    #[serde(rename = "sent_in_rest")]
    pub sent_during_backoff: u64,
    /// The largest number of requests that one target received within 100 ms.
    pub peak: u64,
}

impl BackoffCounts {
    pub(super) fn add(&mut self, other: &BackoffCounts) {
        self.requested += other.requested;
        self.sent_during_backoff += other.sent_during_backoff;
        self.peak = self.peak.max(other.peak);
    }
}

/// Counts the back-offs that targets ask for, and the requests that reach targets.
#[derive(Debug, Default)]
pub(super) struct BackoffMonitor {
    pub(super) counts: BackoffCounts,
    /// Start and end of the back-off, by box and target.
    backoffs: HashMap<(usize, usize), (TimePoint, TimePoint)>,
    /// Start of the current window and the requests in it, by target.
    peaks: HashMap<usize, (TimePoint, u64)>,
}

impl BackoffMonitor {
    /// Records that a target asked a box for a back-off.
    pub(super) fn record_backoff(
        &mut self,
        now: TimePoint,
        box_number: usize,
        target: usize,
        backoff: Duration,
    ) {
        self.counts.requested += 1;
        self.backoffs.entry((box_number, target)).or_insert((now, now + backoff));
    }

    /// Records that a request of a box reached a target.
    pub(super) fn record_arrival(&mut self, now: TimePoint, box_number: usize, target: usize) {
        if let Some((since, until)) = self.backoffs.get(&(box_number, target)).copied() {
            if now >= until {
                self.backoffs.remove(&(box_number, target));
            } else if now.since(since) >= IN_FLIGHT_TIME {
                self.counts.sent_during_backoff += 1;
            }
        }
        let peak = self.peaks.entry(target).or_insert((now, 0));
        if now.since(peak.0) >= PEAK_WINDOW {
            *peak = (now, 0);
        }
        peak.1 += 1;
        self.counts.peak = self.counts.peak.max(peak.1);
    }
}
