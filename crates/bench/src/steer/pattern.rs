//! Load patterns: what happens to an emulated fleet besides the failure episodes of its targets.
//!
//! Strategies that perform alike under steady load differ under the worst load. In each pattern one
//! thing happens at a known time, so that two versions, or one version with and without a mechanism,
//! can be compared under it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use wingbridge_decide::TimePoint;

/// Time from which requests are measured. Before it boxes have no slack for retries yet.
pub(super) const MEASURED_FROM: TimePoint = TimePoint::from_micros(12_000_000);
/// Time from [`MEASURED_FROM`] to the start of the disturbance.
const DISTURBANCE_AFTER: Duration = Duration::from_secs(10);
/// Rate in a burst as a multiple of the typical one; the users' worst burst.
const BURST_FACTOR: f64 = 1.9;
/// Length of the users' worst burst.
const BURST_TIME: Duration = Duration::from_millis(3400);
/// Share of requests that each target refuses.
const REFUSED_SHARE: f64 = 0.55;
const REFUSAL_TIME: Duration = Duration::from_millis(8500);
/// Back-off that refusing targets ask for. The users' targets name seconds, too.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(3);
/// Back-off that targets with a full queue ask for.
const FULL_QUEUE_BACKOFF: Duration = Duration::from_secs(1);
/// Two of every five targets are affected by a disturbance that does not affect all.
const AFFECTED_GROUP: usize = 5;
const AFFECTED_PER_GROUP: usize = 2;
/// Factor on the processing time of slow targets.
const SLOW_FACTOR: f64 = 12.0;
const SLOW_TIME: Duration = Duration::from_secs(9);

/// The disturbance of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadPattern {
    /// No disturbance: load that has been running for a while.
    #[default]
    Steady,
    /// The first requests arrive 12 s after the start of the boxes.
    FirstLoad,
    /// The rate of requests is 1.9 times the typical one for 3.4 s.
    Burst,
    /// Each target refuses 55 % of its requests for 8.5 s without running them.
    Refusals,
    /// Two of every five targets take 12 times as long for 9 s.
    SlowTargets,
    /// Two of every five targets refuse all requests for 8.5 s, and ask for a back-off each time.
    SomeBackoff,
    /// Like [`LoadPattern::Refusals`], and each refusal asks for a back-off.
    AllBackoff,
    /// Like [`LoadPattern::Burst`], and targets with a full queue ask for a back-off.
    BurstBackoff,
    /// Two of every five targets name a limit of a fifth of their typical load, from the start of the
    /// disturbance to the end.
    SomeLimits,
    /// All targets name a limit of half of their typical load, from the start of the disturbance to the
    /// end.
    AllLimits,
    /// Like [`LoadPattern::Burst`], and targets whose queue was full name a limit of half of their
    /// typical load for 3 s.
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
    /// Returns the names of all patterns, separated by commas, for error messages.
    pub fn names() -> String {
        NAMES.map(|(_, name)| name).join(", ")
    }

    /// Returns the time from the start of the boxes to the first request.
    pub(super) fn first_request(self) -> Duration {
        match self {
            LoadPattern::FirstLoad => MEASURED_FROM.since(TimePoint::default()),
            _ => Duration::ZERO,
        }
    }

    /// Returns the rate of requests as a multiple of the typical one.
    pub(super) fn rate_factor(self, now: TimePoint) -> f64 {
        let is_burst = matches!(
            self,
            LoadPattern::Burst | LoadPattern::BurstBackoff | LoadPattern::BurstLimits
        );
        let in_burst = is_burst && within(now, BURST_TIME);
        if in_burst { BURST_FACTOR } else { 1.0 }
    }

    /// Returns the share of requests that a target refuses although its queue has room.
    pub(super) fn refused_share(self, now: TimePoint, target: usize) -> f64 {
        match self {
            _ if !within(now, REFUSAL_TIME) => 0.0,
            LoadPattern::Refusals | LoadPattern::AllBackoff => REFUSED_SHARE,
            LoadPattern::SomeBackoff if is_affected(target) => 1.0,
            _ => 0.0,
        }
    }

    /// Returns the back-off that a target asks for when it refuses a request.
    pub(super) fn backoff(self) -> Option<Duration> {
        match self {
            LoadPattern::SomeBackoff | LoadPattern::AllBackoff => Some(REFUSAL_BACKOFF),
            LoadPattern::BurstBackoff => Some(FULL_QUEUE_BACKOFF),
            _ => None,
        }
    }

    /// Returns the limit that a target names, as a share of its typical load. `full` says whether its
    /// queue was full within the last seconds.
    pub(super) fn limit_share(self, now: TimePoint, target: usize, full: bool) -> Option<f64> {
        let has_started = now >= MEASURED_FROM + DISTURBANCE_AFTER;
        match self {
            LoadPattern::SomeLimits if has_started && is_affected(target) => Some(0.2),
            LoadPattern::AllLimits if has_started => Some(0.5),
            LoadPattern::BurstLimits if has_started && full => Some(0.5),
            _ => None,
        }
    }

    /// Returns the factor on the processing time of a target.
    pub(super) fn work_factor(self, now: TimePoint, target: usize) -> f64 {
        let slow = self == LoadPattern::SlowTargets && within(now, SLOW_TIME);
        if slow && is_affected(target) { SLOW_FACTOR } else { 1.0 }
    }
}

/// Returns whether a disturbance that affects only some targets affects this one.
fn is_affected(target: usize) -> bool {
    target % AFFECTED_GROUP < AFFECTED_PER_GROUP
}

/// Returns whether `now` is within `time` after the start of the disturbance.
fn within(now: TimePoint, time: Duration) -> bool {
    let start = MEASURED_FROM + DISTURBANCE_AFTER;
    now >= start && now.since(start) < time
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

/// The error for a name that no load pattern has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownLoadPattern {
    /// The name that was given.
    pub name: String,
}

impl fmt::Display for UnknownLoadPattern {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "unknown load pattern '{}'; expected one of {}",
            self.name,
            LoadPattern::names()
        )
    }
}

impl std::error::Error for UnknownLoadPattern {}
