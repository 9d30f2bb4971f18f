//! Compares strategies that keep a poison request from crashing one target after the other.
//!
//! Fleets are drawn at random and run in virtual time. The report gives the targets lost to the
//! poison request, the ordinary requests that were refused by mistake, and the traffic between
//! boxes.

mod fleet;
mod scenario;

use serde::Serialize;
use wingbridge_decide::crashes::{NO_RETRY_THRESHOLD, REFUSAL_THRESHOLD};

pub use fleet::CrashRun;
use fleet::run_fleet;
pub use scenario::{CrashScenario, SCENARIOS};

/// A strategy to handle requests during which targets end.
#[derive(Debug, Clone, Copy)]
pub struct CrashStrategy {
    /// Name in reports.
    pub name: &'static str,
    /// Number of ended targets from which a request is refused.
    pub refusal_threshold: usize,
    /// Number of ended targets from which a box does not retry a request within one try of its
    /// caller.
    pub no_retry_threshold: usize,
    /// Whether boxes report ended targets to each other.
    pub reports: bool,
    /// Whether refused requests are written to the store.
    pub uses_store: bool,
    /// Whether attempts with an unknown outcome count once their target has ended.
    pub counts_unknown_outcomes: bool,
}

const CURRENT: CrashStrategy = CrashStrategy {
    name: "as it is",
    refusal_threshold: REFUSAL_THRESHOLD,
    no_retry_threshold: NO_RETRY_THRESHOLD,
    reports: true,
    uses_store: true,
    counts_unknown_outcomes: true,
};

/// All strategies: the one that boxes run, and variants that change a part of it.
pub const STRATEGIES: &[CrashStrategy] = &[
    CURRENT,
    CrashStrategy {
        name: "nothing",
        refusal_threshold: usize::MAX,
        no_retry_threshold: usize::MAX,
        ..CURRENT
    },
    CrashStrategy { name: "each box alone", reports: false, uses_store: false, ..CURRENT },
    CrashStrategy { name: "from one", refusal_threshold: 1, no_retry_threshold: 1, ..CURRENT },
    CrashStrategy { name: "from two", refusal_threshold: 2, ..CURRENT },
    CrashStrategy { name: "from four", refusal_threshold: 4, ..CURRENT },
    CrashStrategy { name: "sent again all the same", no_retry_threshold: usize::MAX, ..CURRENT },
    CrashStrategy { name: "never sent again", no_retry_threshold: 1, ..CURRENT },
    CrashStrategy { name: "without the store", uses_store: false, ..CURRENT },
    CrashStrategy { name: "ends seen alone", counts_unknown_outcomes: false, ..CURRENT },
];

/// Results of one strategy under one scenario, over all fleets.
#[derive(Debug, Serialize)]
pub struct CrashRow {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the strategy.
    #[serde(rename = "way")]
    pub strategy: &'static str,
    /// Mean number of targets that a fleet lost to the poison request.
    #[serde(rename = "lost")]
    pub mean_lost: f64,
    /// Maximum over the fleets of the targets lost to the poison request.
    #[serde(rename = "most_lost")]
    pub max_lost: u32,
    /// Maximum over the fleets of the sends of the poison request more than 3 s after the third
    /// target was lost.
    #[serde(rename = "most_late")]
    pub max_late_sends: u32,
    /// Ordinary tries that were refused by mistake, per 100,000.
    #[serde(rename = "mistaken")]
    pub wrongly_refused: f64,
    /// Mean bytes per second of the reports sent to a box.
    #[serde(rename = "bytes")]
    pub bytes_per_box_s: f64,
}

/// Runs `fleets` fleets of each scenario under each strategy, with the seeds from `seed` on.
pub fn measure_crashes(seed: u64, fleets: u64) -> Vec<CrashRow> {
    let rows = SCENARIOS.iter().flat_map(|scenario| {
        STRATEGIES.iter().map(move |strategy| {
            let runs: Vec<CrashRun> =
                (seed..seed + fleets).map(|seed| run_fleet(scenario, strategy, seed)).collect();
            summarize(scenario.name, strategy.name, &runs)
        })
    });
    rows.collect()
}

fn summarize(scenario: &'static str, strategy: &'static str, runs: &[CrashRun]) -> CrashRow {
    let sum =
        |count: fn(&CrashRun) -> u32| runs.iter().map(|run| f64::from(count(run))).sum::<f64>();
    let max = |count: fn(&CrashRun) -> u32| runs.iter().map(count).max().unwrap_or(0);
    let fleets = runs.len().max(1) as f64;
    CrashRow {
        scenario,
        strategy,
        mean_lost: sum(|run| run.targets_lost) / fleets,
        max_lost: max(|run| run.targets_lost),
        max_late_sends: max(|run| run.late_sends),
        wrongly_refused: 100_000.0 * sum(|run| run.wrongly_refused)
            / sum(|run| run.ordinary_tries).max(1.0),
        bytes_per_box_s: runs.iter().map(|run| run.bytes_per_box_s).sum::<f64>() / fleets,
    }
}
