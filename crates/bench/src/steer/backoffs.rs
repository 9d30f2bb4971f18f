//! Targets that ask for rest: ways to take that, and what targets get under each.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;

/// What was on its way when a target asked for rest arrives within this. Source: the users' pages.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Arrivals at one target are counted over this time.
const PEAK_TIME: Duration = Duration::from_millis(100);

/// What boxes do when a target asks one of them for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BackoffStrategy {
    /// The box that was asked sends it nothing, and refuses what no other target takes.
    #[default]
    Own,
    /// Nothing.
    Ignored,
    /// As [`BackoffStrategy::Own`], and all boxes of the data centre do the same.
    Shared,
    /// As [`BackoffStrategy::Own`], for up to a quarter of the time longer, drawn anew each time.
    Jittered,
    /// As [`BackoffStrategy::Own`], and what no other target takes waits for the first one if that is back
    /// within the request's goal.
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
    /// The names, for messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for BackoffStrategy {
    type Err = UnknownBackoffStrategy;

    fn from_str(text: &str) -> Result<BackoffStrategy, UnknownBackoffStrategy> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(way, _)| *way).ok_or_else(|| UnknownBackoffStrategy { name: text.to_string() })
    }
}

/// A name that no way has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownBackoffStrategy {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownBackoffStrategy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "'{}' is no way to take rests; there are {}",
            self.name,
            BackoffStrategy::names()
        )
    }
}

impl std::error::Error for UnknownBackoffStrategy {}

/// What targets got that had asked for rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackoffCounts {
    /// Rests that targets asked boxes for.
    pub asked: u64,
    /// Requests of a box that was asked, half a second after that or later and before its end.
    #[serde(rename = "sent_in_rest")]
    pub sent_during_backoff: u64,
    /// The most requests that one target got within 100 ms.
    pub peak: u64,
}

impl BackoffCounts {
    pub(super) fn add(&mut self, other: &BackoffCounts) {
        self.asked += other.asked;
        self.sent_during_backoff += other.sent_during_backoff;
        self.peak = self.peak.max(other.peak);
    }
}

/// Watches what targets get.
#[derive(Debug, Default)]
pub(super) struct BackoffMonitor {
    pub(super) sums: BackoffCounts,
    /// By box and target: when rest was asked for, and until when.
    rests: HashMap<(usize, usize), (TimePoint, TimePoint)>,
    /// By target: the current span, and the requests in it.
    peaks: HashMap<usize, (TimePoint, u64)>,
}

impl BackoffMonitor {
    /// Notes that a target asked a box for rest.
    pub(super) fn note_asked(
        &mut self,
        now: TimePoint,
        gateway: usize,
        target: usize,
        rest: Duration,
    ) {
        self.sums.asked += 1;
        self.rests.entry((gateway, target)).or_insert((now, now + rest));
    }

    /// Notes that a request of a box reached a target.
    pub(super) fn note_arrival(&mut self, now: TimePoint, gateway: usize, target: usize) {
        if let Some((since, until)) = self.rests.get(&(gateway, target)).copied() {
            if now >= until {
                self.rests.remove(&(gateway, target));
            } else if now.since(since) >= ON_THE_WAY {
                self.sums.sent_during_backoff += 1;
            }
        }
        let peak = self.peaks.entry(target).or_insert((now, 0));
        if now.since(peak.0) >= PEAK_TIME {
            *peak = (now, 0);
        }
        peak.1 += 1;
        self.sums.peak = self.sums.peak.max(peak.1);
    }
}
