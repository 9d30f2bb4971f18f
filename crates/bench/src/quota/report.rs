//! What a comparison of the ways says.

use serde::Serialize;

use super::fleet::QuotaRun;
use super::scenario::{LENGTH, QuotaScenario, TROUBLE_FROM};
use super::{QuotaBench, QuotaWay, WindowBound};

/// One way under one scenario, over all fleets.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaRow {
    /// What happened.
    pub scenario: String,
    /// The way.
    pub way: String,
    /// Windows that end with a request.
    pub windows: usize,
    /// What ran in half of them at most, as a part of the bound.
    pub median: f64,
    /// The same for 99 in 100.
    pub nearly_all: f64,
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
        bench: &QuotaBench,
        runs: &[QuotaRun],
    ) -> QuotaRow {
        let played = runs.iter().map(|run| window_parts(scenario, bench, &run.admitted));
        let played: Vec<Vec<f64>> = played.collect();
        let breaks = |parts: &&Vec<f64>| parts.iter().any(|part| *part > 1.0);
        let broken = played.iter().filter(breaks).count();
        let mut parts: Vec<f64> = played.into_iter().flatten().collect();
        parts.sort_by(f64::total_cmp);
        let owed: usize = runs.iter().map(|run| run.owed).sum();
        let missing = |run: &QuotaRun| run.owed.saturating_sub(run.admitted.len());
        let missing: usize = runs.iter().map(missing).sum();
        let box_seconds: f64 = runs.iter().map(|run| run.boxes as f64 * LENGTH).sum();
        let datagrams: usize = runs.iter().map(|run| run.datagrams).sum();
        let bytes: usize = runs.iter().map(|run| run.bytes).sum();
        QuotaRow {
            scenario: scenario.to_string(),
            way: way.to_string(),
            windows: parts.len(),
            median: share_of(&parts, 0.5),
            nearly_all: share_of(&parts, 0.99),
            worst: share_of(&parts, 1.0),
            broken,
            refused: 100.0 * missing as f64 / owed.max(1) as f64,
            datagrams: datagrams as f64 / box_seconds,
            bytes: bytes as f64 / box_seconds,
        }
    }
}

/// The value that this share of the sorted `parts` does not exceed; 0 if there are none.
fn share_of(parts: &[f64], share: f64) -> f64 {
    let last = parts.len().saturating_sub(1);
    parts.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
}

/// What was admitted in each window that ends with a request, as a part of the bound there.
fn window_parts(scenario: QuotaScenario, bench: &QuotaBench, admitted: &[f64]) -> Vec<f64> {
    let WindowBound { window, times, with_burst, more } = bench.bound;
    let (window, limit) = (window.as_secs_f64(), bench.limit);
    let burst = if with_burst { limit.burst } else { 0.0 };
    let mut parts = Vec::with_capacity(admitted.len());
    let mut first = 0;
    for (last, at) in admitted.iter().enumerate() {
        while admitted[first] <= at - window {
            first += 1;
        }
        // A lower limit binds one window after it is known; until then the higher one does.
        let since = (at - window * 2.0).max(0.0);
        let part = if since > TROUBLE_FROM { scenario.limit(*at) } else { scenario.limit(0.0) };
        let bound = (limit.per_second * window + burst) * part * times + more;
        parts.push((last + 1 - first) as f64 / bound);
    }
    parts
}
