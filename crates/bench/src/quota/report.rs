//! The report of a comparison of quota strategies.

use serde::Serialize;

use super::fleet::QuotaRun;
use super::scenario::{FAULT_START_S, QuotaScenario, RUN_LENGTH_S};
use super::{QuotaBench, QuotaStrategy, WindowBound};

/// Results of one strategy under one scenario, over all fleets.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaRow {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the strategy.
    #[serde(rename = "way")]
    pub strategy: String,
    /// Number of windows; each admitted request ends one.
    pub windows: usize,
    /// Median over the windows of the admitted requests, as a fraction of the bound.
    pub median: f64,
    /// The 99th percentile over the windows, as a fraction of the bound.
    #[serde(rename = "nearly_all")]
    pub p99: f64,
    /// Maximum over the windows, as a fraction of the bound; above 1 the bound was broken.
    pub worst: f64,
    /// Fleets in which the bound was broken.
    pub broken: usize,
    /// Shortfall in percent of the requests that a single token bucket over all boxes would have
    /// admitted, after requests that were admitted beyond that bucket are set off.
    pub refused: f64,
    /// Datagrams per second and box.
    pub datagrams: f64,
    /// Bytes per second and box.
    pub bytes: f64,
}

/// Results of all scenarios and strategies.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaReport {
    /// Seed of the first fleet.
    pub seed: u64,
    /// Number of fleets in each row.
    pub fleets: usize,
    /// Number of boxes in each fleet.
    pub boxes: usize,
    /// One row for each scenario and strategy.
    pub rows: Vec<QuotaRow>,
}

impl QuotaRow {
    pub(super) fn of(
        scenario: QuotaScenario,
        strategy: QuotaStrategy,
        bench: &QuotaBench,
        runs: &[QuotaRun],
    ) -> QuotaRow {
        let windows = runs.iter().map(|run| window_fractions(scenario, bench, &run.admitted));
        let windows: Vec<Vec<f64>> = windows.collect();
        let is_broken = |fractions: &&Vec<f64>| fractions.iter().any(|fraction| *fraction > 1.0);
        let broken = windows.iter().filter(is_broken).count();
        let mut fractions: Vec<f64> = windows.into_iter().flatten().collect();
        fractions.sort_by(f64::total_cmp);
        let ideal: usize = runs.iter().map(|run| run.ideally_admitted).sum();
        let missing = |run: &QuotaRun| run.ideally_admitted.saturating_sub(run.admitted.len());
        let missing: usize = runs.iter().map(missing).sum();
        let box_seconds: f64 = runs.iter().map(|run| run.boxes as f64 * RUN_LENGTH_S).sum();
        let datagrams: usize = runs.iter().map(|run| run.datagrams).sum();
        let bytes: usize = runs.iter().map(|run| run.bytes).sum();
        QuotaRow {
            scenario: scenario.to_string(),
            strategy: strategy.to_string(),
            windows: fractions.len(),
            median: value_at(&fractions, 0.5),
            p99: value_at(&fractions, 0.99),
            worst: value_at(&fractions, 1.0),
            broken,
            refused: 100.0 * missing as f64 / ideal.max(1) as f64,
            datagrams: datagrams as f64 / box_seconds,
            bytes: bytes as f64 / box_seconds,
        }
    }
}

/// Returns the value at `quantile` of the sorted `fractions`, 0 if there are none.
fn value_at(fractions: &[f64], quantile: f64) -> f64 {
    let last = fractions.len().saturating_sub(1);
    fractions.get((last as f64 * quantile).round() as usize).copied().unwrap_or_default()
}

/// Returns the admitted requests of each window that ends with a request, as a fraction of the
/// bound at that time.
fn window_fractions(scenario: QuotaScenario, bench: &QuotaBench, admitted: &[f64]) -> Vec<f64> {
    let WindowBound { window, factor, includes_burst, extra_requests } = bench.bound;
    let (window, limit) = (window.as_secs_f64(), bench.limit);
    let burst = if includes_burst { limit.burst } else { 0.0 };
    let mut fractions = Vec::with_capacity(admitted.len());
    let mut first = 0;
    for (last, at) in admitted.iter().enumerate() {
        while admitted[first] <= at - window {
            first += 1;
        }
        // After the limit is lowered, the higher one still applies for one window. The check allows
        // for a second window, in which requests of that time still count.
        let counted_since = (at - window * 2.0).max(0.0);
        let limit_factor =
            if counted_since > FAULT_START_S { scenario.limit(*at) } else { scenario.limit(0.0) };
        let bound = (limit.per_second * window + burst) * limit_factor * factor + extra_requests;
        fractions.push((last + 1 - first) as f64 / bound);
    }
    fractions
}
