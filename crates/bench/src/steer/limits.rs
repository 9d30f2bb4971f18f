//! Strategies for targets that name a rate limit over all boxes, and what these targets receive under
//! each.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;
use wingbridge_decide::permits::{FallbackShare, PermitCoordinator};
use wingbridge_decide::steer::RequestRate;

/// Length of the window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a target has named a limit from which its arrivals are counted, so that all boxes have
/// received the limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Arrivals that are allowed in a window, as a multiple of what the limit comes to.
const ALLOWED_FACTOR: f64 = 1.5;
/// Arrivals that are allowed in a window beyond [`ALLOWED_FACTOR`].
const ALLOWED_EXTRA: f64 = 5.0;

/// What boxes do when a target names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitStrategy {
    /// One box coordinates the target's permits, and each request to the target needs one from it.
    #[default]
    Permits,
    /// Boxes ignore the limit.
    Ignored,
    /// Each box applies the full limit on its own.
    EachAlone,
    /// Each box sends half of its equal share, at random times.
    Shares,
}

const NAMES: [(LimitStrategy, &str); 4] = [
    (LimitStrategy::Permits, "permits"),
    (LimitStrategy::Ignored, "ignored"),
    (LimitStrategy::EachAlone, "each-alone"),
    (LimitStrategy::Shares, "shares"),
];

impl LimitStrategy {
    /// Returns the names of all strategies, separated by commas, for error messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for LimitStrategy {
    type Err = UnknownLimitStrategy;

    fn from_str(text: &str) -> Result<LimitStrategy, UnknownLimitStrategy> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found
            .map(|(strategy, _)| *strategy)
            .ok_or_else(|| UnknownLimitStrategy { name: text.to_string() })
    }
}

/// The error for a name that no limit strategy has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownLimitStrategy {
    /// The name that was given.
    pub name: String,
}

impl fmt::Display for UnknownLimitStrategy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "unknown limit strategy '{}'; expected one of {}",
            self.name,
            LimitStrategy::names()
        )
    }
}

impl std::error::Error for UnknownLimitStrategy {}

/// Requests that reached targets with a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitCounts {
    /// Windows of 4 s that were checked; one ends with each arrival.
    pub windows: u64,
    /// Windows with more arrivals than are allowed.
    #[serde(rename = "broken")]
    pub exceeded: u64,
    /// The most arrivals in a window, as a multiple of what is allowed.
    pub worst: f64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that the limits allow over the time in which they were named.
    pub allowed: f64,
}

impl LimitCounts {
    pub(super) fn add(&mut self, other: &LimitCounts) {
        self.windows += other.windows;
        self.exceeded += other.exceeded;
        self.worst = self.worst.max(other.worst);
        self.arrived += other.arrived;
        self.allowed += other.allowed;
    }
}

/// Counts the requests that reach targets with a limit, and holds the state of the limit strategies.
#[derive(Debug, Default)]
pub(super) struct LimitMonitor {
    /// The limits that are in force now and the arrivals under them, by target.
    spans: HashMap<usize, LimitSpan>,
    counts: LimitCounts,
    /// Grants the permits of all targets under [`LimitStrategy::Permits`].
    pub(super) coordinator: PermitCoordinator,
    /// Each box's own permits under [`LimitStrategy::EachAlone`], by box and target.
    pub(super) alone: HashMap<(usize, usize), PermitCoordinator>,
    /// Each box's share under [`LimitStrategy::Shares`], by box and target.
    pub(super) shares: HashMap<(usize, usize), FallbackShare>,
}

/// A period in which a target names a limit.
#[derive(Debug)]
struct LimitSpan {
    since: TimePoint,
    rate: RequestRate,
    /// Arrivals after [`PROPAGATION_TIME`].
    arrivals: Vec<TimePoint>,
}

impl LimitMonitor {
    /// Records the limit that a target names now, or that it names none.
    pub(super) fn record_limit(
        &mut self,
        now: TimePoint,
        target: usize,
        rate: Option<RequestRate>,
    ) {
        match rate {
            Some(rate) => {
                let span = LimitSpan { since: now, rate, arrivals: Vec::new() };
                self.spans.entry(target).or_insert(span);
            }
            None => {
                if let Some(span) = self.spans.remove(&target) {
                    span.add_to(&mut self.counts, now);
                }
            }
        }
    }

    /// Records that a request reached a target.
    pub(super) fn record_arrival(&mut self, now: TimePoint, target: usize) {
        if let Some(span) = self.spans.get_mut(&target)
            && now.since(span.since) >= PROPAGATION_TIME
        {
            span.arrivals.push(now);
        }
    }

    /// Returns the counts over all targets until `end`.
    pub(super) fn counts(&self, end: TimePoint) -> LimitCounts {
        let mut counts = self.counts;
        self.spans.values().for_each(|span| span.add_to(&mut counts, end));
        counts
    }
}

impl LimitSpan {
    fn add_to(&self, counts: &mut LimitCounts, end: TimePoint) {
        let rate = self.rate.per_second();
        let allowed = ALLOWED_FACTOR * rate * WINDOW.as_secs_f64() + ALLOWED_EXTRA;
        counts.allowed += rate * end.since(self.since + PROPAGATION_TIME).as_secs_f64();
        counts.arrived += self.arrivals.len() as u64;
        let mut first = 0;
        for (last, at) in self.arrivals.iter().enumerate() {
            while at.since(self.arrivals[first]) >= WINDOW {
                first += 1;
            }
            let ratio = (last + 1 - first) as f64 / allowed;
            counts.windows += 1;
            counts.exceeded += u64::from(ratio > 1.0);
            counts.worst = counts.worst.max(ratio);
        }
    }
}
