//! What happens to a fleet while a customer asks.

use std::fmt;
use std::str::FromStr;

/// What happens from [`TROUBLE_FROM`] on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaScenario {
    /// Nothing.
    Steady,
    /// The customer sends ten times its usual.
    TenTimes,
    /// Half of the callers come by other boxes.
    Moved,
    /// A third of the boxes is cut off from the others.
    Cut,
    /// The same while the customer sends ten times its usual.
    CutAtTenTimes,
    /// All boxes lose power for a second, while the customer sends three times its usual.
    Power,
    /// Two thirds of the boxes are killed and back a second later, twice.
    Killed,
    /// Boxes are stopped and started in turn, while the customer sends three times its usual.
    Rolling,
    /// As many boxes again, less some, join, while the customer sends three times its usual.
    Joining,
    /// The limit falls to a third.
    Lowered,
}

/// All scenarios, with their names.
pub const SCENARIOS: [(QuotaScenario, &str); 10] = [
    (QuotaScenario::Steady, "steady"),
    (QuotaScenario::TenTimes, "ten-times"),
    (QuotaScenario::Moved, "moved"),
    (QuotaScenario::Cut, "cut"),
    (QuotaScenario::CutAtTenTimes, "cut-at-ten-times"),
    (QuotaScenario::Power, "power"),
    (QuotaScenario::Killed, "killed"),
    (QuotaScenario::Rolling, "rolling"),
    (QuotaScenario::Joining, "joining"),
    (QuotaScenario::Lowered, "lowered"),
];

/// Seconds of a run.
pub(crate) const LENGTH: f64 = 30.0;
/// When the trouble begins and ends, in seconds.
pub(crate) const TROUBLE_FROM: f64 = 9.0;
pub(crate) const TROUBLE_UNTIL: f64 = 21.0;
/// What a customer usually asks, as a part of its limit. Source: the users' sheet, 1 in 1.6.
const USUAL: f64 = 0.625;

impl QuotaScenario {
    /// What the customer asks at `time`, as a part of its limit.
    pub(crate) fn demand(self, time: f64) -> f64 {
        let troubled = (TROUBLE_FROM..TROUBLE_UNTIL).contains(&time);
        let times = match self {
            QuotaScenario::TenTimes | QuotaScenario::CutAtTenTimes if troubled => 10.0,
            QuotaScenario::Power | QuotaScenario::Rolling | QuotaScenario::Joining if troubled => {
                3.0
            }
            _ => 1.0,
        };
        USUAL * times
    }

    /// The limit at `time`, as a part of that at first.
    pub(crate) fn limit(self, time: f64) -> f64 {
        if self == QuotaScenario::Lowered && time >= TROUBLE_FROM { 1.0 / 3.0 } else { 1.0 }
    }
}

impl fmt::Display for QuotaScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = SCENARIOS.iter().find(|(scenario, _)| scenario == self);
        f.write_str(named.map_or("", |(_, name)| name))
    }
}

/// A scenario that is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownScenario;

impl FromStr for QuotaScenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<QuotaScenario, UnknownScenario> {
        let found = SCENARIOS.iter().find(|(_, known)| *known == name);
        found.map(|(scenario, _)| *scenario).ok_or(UnknownScenario)
    }
}
