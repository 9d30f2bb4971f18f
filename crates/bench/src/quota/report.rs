//! What a comparison of the ways says.

use serde::Serialize;
use wingbridge_decide::quota::QuotaLimit;

use super::QuotaWay;
use super::fleet::QuotaRun;
use super::scenario::{LENGTH, QuotaScenario, TROUBLE_FROM};
use super::ways::{EXCESS, SLACK, WINDOW};

/// One way under one scenario, over all fleets.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaRow {
    /// What happened.
    pub scenario: String,
    /// The way.
    pub way: String,
    /// The most that ran in a window, as a part of the bound; above 1 it was broken.
    pub worst: f64,
    /// Fleets in which the bound was broken.
    pub broken: usize,
    /// Of 100 requests that one bucket over all boxes would have admitted, those that were refused
    /// and that nothing else made up for.
    pub refused: f64,
    /// Datagrams a second and box.
    pub datagrams: f64,
    /// Bytes a second and box.
    pub bytes: f64,
}

/// All rows.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaReport {
    /// The first fleet's seed.
    pub seed: u64,
    /// Fleets a row.
    pub fleets: usize,
    /// Boxes a fleet.
    pub boxes: usize,
    /// The rows.
    pub rows: Vec<QuotaRow>,
}

impl QuotaRow {
    pub(super) fn of(
        scenario: QuotaScenario,
        way: QuotaWay,
        limit: QuotaLimit,
        runs: &[QuotaRun],
    ) -> QuotaRow {
        let parts: Vec<f64> =
            runs.iter().map(|run| worst_window(scenario, limit, &run.admitted)).collect();
        let owed: usize = runs.iter().map(|run| run.owed).sum();
        let missing = |run: &QuotaRun| run.owed.saturating_sub(run.admitted.len());
        let missing: usize = runs.iter().map(missing).sum();
        let box_seconds: f64 = runs.iter().map(|run| run.boxes as f64 * LENGTH).sum();
        let datagrams: usize = runs.iter().map(|run| run.datagrams).sum();
        let bytes: usize = runs.iter().map(|run| run.bytes).sum();
        QuotaRow {
            scenario: scenario.to_string(),
            way: way.to_string(),
            worst: parts.iter().copied().fold(0.0, f64::max),
            broken: parts.iter().filter(|part| **part > 1.0).count(),
            refused: 100.0 * missing as f64 / owed.max(1) as f64,
            datagrams: datagrams as f64 / box_seconds,
            bytes: bytes as f64 / box_seconds,
        }
    }
}

/// The most that was admitted in any window, as a part of the bound there.
pub(super) fn worst_window(scenario: QuotaScenario, limit: QuotaLimit, admitted: &[f64]) -> f64 {
    let window = WINDOW.as_secs_f64();
    let mut worst: f64 = 0.0;
    let mut first = 0;
    for (last, at) in admitted.iter().enumerate() {
        while admitted[first] <= at - window {
            first += 1;
        }
        // A lower limit binds one window after it is known; until then the higher one does.
        let since = (at - window * 2.0).max(0.0);
        let part = if since > TROUBLE_FROM { scenario.limit(*at) } else { scenario.limit(0.0) };
        let most = (limit.per_second * window + limit.burst) * part;
        let bound = most * (1.0 + EXCESS) + SLACK;
        worst = worst.max((last + 1 - first) as f64 / bound);
    }
    worst
}
