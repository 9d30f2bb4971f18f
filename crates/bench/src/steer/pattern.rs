//! Load patterns: what happens to an emulated fleet besides its targets' episodes.
//!
//! Decisions that look alike under steady load differ at its worst. Each pattern has one thing
//! happen at a known time, so that two versions, or one with a part switched off, can be played
//! against each other under it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use wingbridge_decide::TimePoint;

/// When load is counted from: boxes have no slack for retries before.
pub(super) const COUNTED_FROM: TimePoint = TimePoint::from_micros(12_000_000);
/// When what a pattern is of begins, from then on.
const BEGINS: Duration = Duration::from_secs(10);
/// Rate in a burst, as a multiple of the usual one, and its length: the worst of the users'.
const BURST: f64 = 1.9;
const BURST_TIME: Duration = Duration::from_millis(3400);
/// Share of requests that each target refuses, and for how long.
const REFUSED: f64 = 0.55;
const REFUSED_TIME: Duration = Duration::from_millis(8500);
/// What targets ask for that refuse, and those whose queues are full: seconds, as the users' do.
const REST_TIME: Duration = Duration::from_secs(3);
const BURST_REST_TIME: Duration = Duration::from_secs(1);
/// Of each five targets two are slow, or refuse; how many times as slow, and for how long.
const AFFECTED_ONE_IN: usize = 5;
const AFFECTED_OF_THOSE: usize = 2;
const SLOW_TIMES: f64 = 12.0;
const SLOW_TIME: Duration = Duration::from_secs(9);

/// What happens to a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadPattern {
    /// Nothing: load that has run for a while.
    #[default]
    Steady,
    /// The first requests come 12 s after the boxes started.
    FirstLoad,
    /// 1.9 times the requests for 3.4 s.
    Burst,
    /// Each target refuses 55 in 100 requests for 8.5 s, and runs nothing of them.
    Refusals,
    /// Two in five targets work 12 times as long for 9 s.
    SlowTargets,
    /// Two in five targets refuse all requests for 8.5 s, and ask for rest each time.
    SomeBackoff,
    /// As [`LoadPattern::Refusals`], and each refusal asks for rest.
    AllBackoff,
    /// As [`LoadPattern::Burst`], and targets whose queues are full ask for rest.
    BurstBackoff,
    /// Two in five targets take a fifth of their usual load, and say so, from then on.
    SomeLimits,
    /// All targets take half of their usual load, and say so, from then on.
    AllLimits,
    /// As [`LoadPattern::Burst`], and targets whose queues were full take half of their usual load for
    /// 3 s, and say so.
    BurstLimits,
}

const NAMES: [(LoadPattern, &str); 11] = [
    (LoadPattern::Steady, "steady"),
    (LoadPattern::FirstLoad, "first-load"),
    (LoadPattern::Burst, "burst"),
    (LoadPattern::Refusals, "refusals"),
    (LoadPattern::SlowTargets, "slow-targets"),
    (LoadPattern::SomeBackoff, "some-rest"),
    (LoadPattern::AllBackoff, "all-rest"),
    (LoadPattern::BurstBackoff, "burst-rest"),
    (LoadPattern::SomeLimits, "some-limits"),
    (LoadPattern::AllLimits, "all-limits"),
    (LoadPattern::BurstLimits, "burst-limits"),
];

impl LoadPattern {
    /// The names, for messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }

    /// When the first request comes, from the start of the boxes.
    pub(super) fn first_request(self) -> Duration {
        match self {
            LoadPattern::FirstLoad => COUNTED_FROM.since(TimePoint::default()),
            _ => Duration::ZERO,
        }
    }

    /// The rate of requests, as a multiple of the usual one.
    pub(super) fn rate_factor(self, now: TimePoint) -> f64 {
        let is_burst = matches!(
            self,
            LoadPattern::Burst | LoadPattern::BurstBackoff | LoadPattern::BurstLimits
        );
        let bursts = is_burst && within(now, BURST_TIME);
        if bursts { BURST } else { 1.0 }
    }

    /// The share of requests that the target of that number refuses though it has room.
    pub(super) fn refused_share(self, now: TimePoint, target: usize) -> f64 {
        match self {
            _ if !within(now, REFUSED_TIME) => 0.0,
            LoadPattern::Refusals | LoadPattern::AllBackoff => REFUSED,
            LoadPattern::SomeBackoff if is_affected(target) => 1.0,
            _ => 0.0,
        }
    }

    /// For how long a target that refuses wants nothing.
    pub(super) fn rest_time(self) -> Option<Duration> {
        match self {
            LoadPattern::SomeBackoff | LoadPattern::AllBackoff => Some(REST_TIME),
            LoadPattern::BurstBackoff => Some(BURST_REST_TIME),
            _ => None,
        }
    }

    /// The limit that a target of that number names, as a part of its usual load. `full` is whether its
    /// queue was full within the last seconds.
    pub(super) fn limit_part(self, now: TimePoint, target: usize, full: bool) -> Option<f64> {
        let has_begun = now >= COUNTED_FROM + BEGINS;
        match self {
            LoadPattern::SomeLimits if has_begun && is_affected(target) => Some(0.2),
            LoadPattern::AllLimits if has_begun => Some(0.5),
            LoadPattern::BurstLimits if has_begun && full => Some(0.5),
            _ => None,
        }
    }

    /// How many times as long the target of that number works.
    pub(super) fn work_factor(self, now: TimePoint, target: usize) -> f64 {
        let slow = self == LoadPattern::SlowTargets && within(now, SLOW_TIME);
        if slow && is_affected(target) { SLOW_TIMES } else { 1.0 }
    }
}

/// Whether a target is one of those to which something happens where it doesn't happen to all.
fn is_affected(target: usize) -> bool {
    target % AFFECTED_ONE_IN < AFFECTED_OF_THOSE
}

fn within(now: TimePoint, time: Duration) -> bool {
    let begins = COUNTED_FROM + BEGINS;
    now >= begins && now.since(begins) < time
}

impl FromStr for LoadPattern {
    type Err = UnknownLoadPattern;

    fn from_str(text: &str) -> Result<LoadPattern, UnknownLoadPattern> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found
            .map(|(pattern, _)| *pattern)
            .ok_or_else(|| UnknownLoadPattern { name: text.to_string() })
    }
}

impl fmt::Display for LoadPattern {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = NAMES.iter().find(|(pattern, _)| pattern == self);
        out.write_str(named.map_or("", |(_, name)| name))
    }
}

/// A name that no pattern has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownLoadPattern {
    /// The name.
    pub name: String,
}

impl fmt::Display for UnknownLoadPattern {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "'{}' is no pattern; there are {}", self.name, LoadPattern::names())
    }
}

impl std::error::Error for UnknownLoadPattern {}
