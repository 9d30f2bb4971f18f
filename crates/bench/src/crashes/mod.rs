//! Ways to keep a request from ending target after target, on fleets drawn at random in virtual time:
//! targets lost to it, sound requests that are refused by mistake, and what boxes tell each other.

mod fleet;
mod scenario;

use serde::Serialize;
use wingbridge_decide::crashes::{NO_RETRY_THRESHOLD, REFUSAL_THRESHOLD};

pub use fleet::CrashRun;
use fleet::play;
pub use scenario::{CrashScenario, SCENARIOS};

/// A way to deal with requests under which targets end.
#[derive(Debug, Clone, Copy)]
pub struct CrashWay {
    /// Its name.
    pub name: &'static str,
    /// Ended targets from which on a request is refused.
    pub refused_from: usize,
    /// Ended targets from which on a box does not send it again within one try.
    pub repeated_below: usize,
    /// Whether boxes tell each other.
    pub told: bool,
    /// Whether refused requests stand in the store.
    pub stored: bool,
    /// Whether attempts count whose end a box did not see.
    pub marks: bool,
}

const KEPT: CrashWay = CrashWay {
    name: "as it is",
    refused_from: REFUSAL_THRESHOLD,
    repeated_below: NO_RETRY_THRESHOLD,
    told: true,
    stored: true,
    marks: true,
};

/// All ways.
pub const WAYS: &[CrashWay] = &[
    KEPT,
    CrashWay { name: "nothing", refused_from: usize::MAX, repeated_below: usize::MAX, ..KEPT },
    CrashWay { name: "each box alone", told: false, stored: false, ..KEPT },
    CrashWay { name: "from one", refused_from: 1, repeated_below: 1, ..KEPT },
    CrashWay { name: "from two", refused_from: 2, ..KEPT },
    CrashWay { name: "from four", refused_from: 4, ..KEPT },
    CrashWay { name: "sent again all the same", repeated_below: usize::MAX, ..KEPT },
    CrashWay { name: "never sent again", repeated_below: 1, ..KEPT },
    CrashWay { name: "without the store", stored: false, ..KEPT },
    CrashWay { name: "ends seen alone", marks: false, ..KEPT },
];

/// What came of one scenario under one way, over all fleets.
#[derive(Debug, Serialize)]
pub struct CrashRow {
    /// The scenario.
    pub scenario: &'static str,
    /// The way.
    pub way: &'static str,
    /// Targets that ended under the deadly request, a fleet.
    pub lost: f64,
    /// The most of any fleet.
    pub most_lost: u32,
    /// Sends of it that reached targets 3 s and more after the third target, in the worst fleet.
    pub most_late: u32,
    /// Sound tries that were refused by mistake, in 100,000.
    pub mistaken: f64,
    /// Bytes that a box was told, on the mean of the fleet's time, a second.
    pub bytes: f64,
}

/// Plays `fleets` fleets of each scenario under each way.
pub fn measure_crashes(seed: u64, fleets: u64) -> Vec<CrashRow> {
    let rows = SCENARIOS.iter().flat_map(|scenario| {
        WAYS.iter().map(move |way| {
            let runs: Vec<CrashRun> =
                (seed..seed + fleets).map(|seed| play(scenario, way, seed)).collect();
            sum_up(scenario.name, way.name, &runs)
        })
    });
    rows.collect()
}

fn sum_up(scenario: &'static str, way: &'static str, runs: &[CrashRun]) -> CrashRow {
    let sum =
        |count: fn(&CrashRun) -> u32| runs.iter().map(|run| f64::from(count(run))).sum::<f64>();
    let most = |count: fn(&CrashRun) -> u32| runs.iter().map(count).max().unwrap_or(0);
    let fleets = runs.len().max(1) as f64;
    CrashRow {
        scenario,
        way,
        lost: sum(|run| run.lost) / fleets,
        most_lost: most(|run| run.lost),
        most_late: most(|run| run.late),
        mistaken: 100_000.0 * sum(|run| run.mistaken) / sum(|run| run.sound).max(1.0),
        bytes: runs.iter().map(|run| run.bytes).sum::<f64>() / fleets,
    }
}
