//! Scenarios of a fleet while a customer sends requests.

use std::fmt;
use std::str::FromStr;

/// What happens to a fleet from [`FAULT_START_S`] on, most of it until [`FAULT_END_S`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaScenario {
    /// Nothing happens.
    Steady,
    /// The customer sends ten times its usual rate.
    TenTimes,
    /// Half of the callers move to boxes drawn anew.
    Moved,
    /// A third of the boxes is cut off from the others.
    Cut,
    /// A third of the boxes is cut off while the customer sends ten times its usual rate.
    CutAtTenTimes,
    /// All boxes lose power for a second while the customer sends three times its usual rate.
    PowerCut,
    /// Two thirds of the boxes are killed and start again a second later, twice.
    Killed,
    /// Boxes are restarted one after the other while the customer sends three times its usual rate.
    Rolling,
    /// 83 % more boxes join while the customer sends three times its usual rate.
    Joining,
    /// The limit falls to a third and stays there.
    Lowered,
}

/// All scenarios, with their names in settings and reports.
pub const SCENARIOS: [(QuotaScenario, &str); 10] = [
    (QuotaScenario::Steady, "steady"),
    (QuotaScenario::TenTimes, "ten-times"),
    (QuotaScenario::Moved, "moved"),
    (QuotaScenario::Cut, "cut"),
    (QuotaScenario::CutAtTenTimes, "cut-at-ten-times"),
    (QuotaScenario::PowerCut, "power"),
    (QuotaScenario::Killed, "killed"),
    (QuotaScenario::Rolling, "rolling"),
    (QuotaScenario::Joining, "joining"),
    (QuotaScenario::Lowered, "lowered"),
];

/// Length of a run in seconds.
pub(crate) const RUN_LENGTH_S: f64 = 30.0;
/// Time at which the fault begins, in seconds from the start of the run.
pub(crate) const FAULT_START_S: f64 = 9.0;
/// Time at which the fault ends, in seconds from the start of the run.
pub(crate) const FAULT_END_S: f64 = 21.0;
/// Usual demand of a customer as a fraction of its limit: 1 in 1.6.
const USUAL_DEMAND: f64 = 0.625;

impl QuotaScenario {
    /// Returns the demand of the customer at `time`, as a fraction of its initial limit.
    pub(crate) fn demand(self, time: f64) -> f64 {
        let is_fault_time = (FAULT_START_S..FAULT_END_S).contains(&time);
        let factor = match self {
            QuotaScenario::TenTimes | QuotaScenario::CutAtTenTimes if is_fault_time => 10.0,
            QuotaScenario::PowerCut | QuotaScenario::Rolling | QuotaScenario::Joining
                if is_fault_time =>
            {
                3.0
            }
            _ => 1.0,
        };
        USUAL_DEMAND * factor
    }

    /// Returns the limit at `time`, as a fraction of the initial limit.
    pub(crate) fn limit(self, time: f64) -> f64 {
        if self == QuotaScenario::Lowered && time >= FAULT_START_S { 1.0 / 3.0 } else { 1.0 }
    }
}

impl fmt::Display for QuotaScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = SCENARIOS.iter().find(|(scenario, _)| scenario == self);
        f.write_str(named.map_or("", |(_, name)| name))
    }
}

/// Error for a name that is none of [`SCENARIOS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownScenario;

impl FromStr for QuotaScenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<QuotaScenario, UnknownScenario> {
        let found = SCENARIOS.iter().find(|(_, known)| *known == name);
        found.map(|(scenario, _)| *scenario).ok_or(UnknownScenario)
    }
}
