//! Targets that name a limit over all boxes: ways to keep it, and what targets get under each.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingbridge_decide::TimePoint;
use wingbridge_decide::permits::{FallbackShare, PermitCoordinator};
use wingbridge_decide::steer::RequestRate;

/// The time over which arrivals are counted, and from when on after a limit was named. Source: the users' pages.
const WINDOW: Duration = Duration::from_secs(4);
const NEWS_TIME: Duration = Duration::from_secs(3);
/// Arrivals that are allowed in it, in multiples of what the limit allows, and beyond that.
const ALLOWED_TIMES: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// What boxes do when a target names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitStrategy {
    /// One box keeps the target's permits; each request that would go there asks it.
    #[default]
    Permits,
    /// Nothing.
    Ignored,
    /// Each box keeps the whole limit by itself.
    EachAlone,
    /// Each box sends half of its equal share, at moments that are drawn.
    Shares,
}

const NAMES: [(LimitStrategy, &str); 4] = [
    (LimitStrategy::Permits, "permits"),
    (LimitStrategy::Ignored, "ignored"),
    (LimitStrategy::EachAlone, "each-alone"),
    (LimitStrategy::Shares, "shares"),
];

impl LimitStrategy {
    /// The names, for messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }
}

impl FromStr for LimitStrategy {
    type Err = UnknownLimitStrategy;

    fn from_str(text: &str) -> Result<LimitStrategy, UnknownLimitStrategy> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(way, _)| *way).ok_or_else(|| UnknownLimitStrategy { name: text.to_string() })
    }
}

/// A name that no way has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownLimitStrategy {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownLimitStrategy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "'{}' is no way to keep limits; there are {}",
            self.name,
            LimitStrategy::names()
        )
    }
}

impl std::error::Error for UnknownLimitStrategy {}

/// What targets got that had named a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitCounts {
    /// Windows of 4 s, each ending with an arrival.
    pub windows: u64,
    /// Those in which more came than is allowed.
    pub broken: u64,
    /// The most that came in one, as a part of what is allowed.
    pub worst: f64,
    /// Requests that came.
    pub arrived: u64,
    /// Requests that the limits come to over the time in which they were named.
    pub allowed: f64,
}

impl LimitCounts {
    pub(super) fn add(&mut self, other: &LimitCounts) {
        self.windows += other.windows;
        self.broken += other.broken;
        self.worst = self.worst.max(other.worst);
        self.arrived += other.arrived;
        self.allowed += other.allowed;
    }
}

/// Watches what targets with a limit get, and keeps what boxes know of permits.
#[derive(Debug, Default)]
pub(super) struct LimitMonitor {
    /// The limits that are named now, and what came since they were, by target.
    spans: HashMap<usize, LimitSpan>,
    sums: LimitCounts,
    /// The box that keeps permits for all.
    pub(super) keeper: PermitCoordinator,
    /// What each box does alone, by box and target.
    pub(super) alone: HashMap<(usize, usize), PermitCoordinator>,
    pub(super) shares: HashMap<(usize, usize), FallbackShare>,
}

/// A time in which a target names a limit.
#[derive(Debug)]
struct LimitSpan {
    since: TimePoint,
    rate: RequestRate,
    /// What came once boxes had had time to hear of it.
    arrivals: Vec<TimePoint>,
}

impl LimitMonitor {
    /// Notes that a target names that limit, or none.
    pub(super) fn note_named(&mut self, now: TimePoint, target: usize, rate: Option<RequestRate>) {
        match rate {
            Some(rate) => {
                let span = LimitSpan { since: now, rate, arrivals: Vec::new() };
                self.spans.entry(target).or_insert(span);
            }
            None => {
                if let Some(span) = self.spans.remove(&target) {
                    span.add_to(&mut self.sums, now);
                }
            }
        }
    }

    /// Notes that a request reached a target.
    pub(super) fn note_arrival(&mut self, now: TimePoint, target: usize) {
        if let Some(span) = self.spans.get_mut(&target)
            && now.since(span.since) >= NEWS_TIME
        {
            span.arrivals.push(now);
        }
    }

    /// What all of them got until `end`.
    pub(super) fn sums(&self, end: TimePoint) -> LimitCounts {
        let mut sums = self.sums;
        self.spans.values().for_each(|span| span.add_to(&mut sums, end));
        sums
    }
}

impl LimitSpan {
    fn add_to(&self, sums: &mut LimitCounts, end: TimePoint) {
        let rate = self.rate.per_second();
        let allowed = ALLOWED_TIMES * rate * WINDOW.as_secs_f64() + ALLOWED_MORE;
        sums.allowed += rate * end.since(self.since + NEWS_TIME).as_secs_f64();
        sums.arrived += self.arrivals.len() as u64;
        let mut first = 0;
        for (last, at) in self.arrivals.iter().enumerate() {
            while at.since(self.arrivals[first]) >= WINDOW {
                first += 1;
            }
            let part = (last + 1 - first) as f64 / allowed;
            sums.windows += 1;
            sums.broken += u64::from(part > 1.0);
            sums.worst = sums.worst.max(part);
        }
    }
}
