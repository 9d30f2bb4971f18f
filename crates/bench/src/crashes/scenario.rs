//! Scenarios of a fleet with and without a poison request.

use std::time::Duration;

/// What happens to a fleet during its run.
#[derive(Debug, Clone, Copy)]
pub struct CrashScenario {
    /// Name in reports.
    pub name: &'static str,
    /// Tries of the poison request per second, from 2 s on.
    pub poison_rate: f64,
    /// Whether the callers of the poison request hang up before their target ends.
    pub callers_hang_up: bool,
    /// Probability with which each target ends for another reason, every three seconds from 3 s on.
    pub unrelated_end_probability: f64,
    /// Share of the ordinary requests that have one common fingerprint.
    pub hot_share: f64,
    /// Time at which all boxes lose power, and with it their ledgers.
    pub power_cut_at: Option<Duration>,
    /// Share of the boxes that reach the store but no other box from 3 s to 15 s.
    pub cut_off_share: f64,
}

const POISON: CrashScenario = CrashScenario {
    name: "deadly",
    poison_rate: 2.0,
    callers_hang_up: false,
    unrelated_end_probability: 0.0,
    hot_share: 0.0,
    power_cut_at: None,
    cut_off_share: 0.0,
};

/// All scenarios.
pub const SCENARIOS: &[CrashScenario] = &[
    POISON,
    CrashScenario { name: "twenty a second", poison_rate: 20.0, ..POISON },
    CrashScenario { name: "callers hang up", callers_hang_up: true, ..POISON },
    CrashScenario { name: "power cut", power_cut_at: Some(Duration::from_secs(10)), ..POISON },
    CrashScenario { name: "boxes cut off", cut_off_share: 0.25, ..POISON },
    CrashScenario {
        name: "others end",
        poison_rate: 0.0,
        unrelated_end_probability: 0.3,
        ..POISON
    },
    CrashScenario {
        name: "others end, one hot",
        poison_rate: 0.0,
        unrelated_end_probability: 0.3,
        hot_share: 0.2,
        ..POISON
    },
    CrashScenario { name: "both", unrelated_end_probability: 0.15, hot_share: 0.1, ..POISON },
];
