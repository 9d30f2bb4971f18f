//! Whether attempts failed as often as they were taken to.

use std::collections::BTreeMap;

use serde::Serialize;

use super::request_line::{LineEnd, RequestLine};

/// Upper bounds of the rows: close together where most attempts are.
const BOUNDS: [f64; 9] = [0.02, 0.03, 0.05, 0.08, 0.13, 0.2, 0.3, 0.5, 1.01];

/// Attempts of one service that were taken to fail about equally likely.
#[derive(Debug, Clone, Serialize)]
pub struct CalibrationRow {
    /// The service.
    pub service: String,
    /// Whether they were trials of a target that had got nothing for a while.
    pub trial: bool,
    /// How many.
    pub requests: usize,
    /// The mean of what was believed.
    pub believed: f64,
    /// The share that failed.
    pub failed: f64,
}

/// Requests with one attempt, whose end speaks of the attempt that was believed in.
#[derive(Debug, Default)]
pub(super) struct Calibration {
    rows: BTreeMap<(String, bool, usize), RowSum>,
}

#[derive(Debug, Default)]
struct RowSum {
    requests: usize,
    believed: f64,
    failed: usize,
}

impl Calibration {
    pub(super) fn note(&mut self, line: &RequestLine) {
        let Some(risk) = line.risk.filter(|_| line.attempts == 1) else { return };
        let row = BOUNDS.iter().position(|bound| risk < *bound).unwrap_or(BOUNDS.len() - 1);
        let sum = self.rows.entry((line.service.clone(), line.trial, row)).or_default();
        sum.requests += 1;
        sum.believed += risk;
        sum.failed += usize::from(line.end == LineEnd::Failed);
    }

    pub(super) fn rows(self) -> Vec<CalibrationRow> {
        let row = |((service, trial, _), sum): ((String, bool, usize), RowSum)| CalibrationRow {
            service,
            trial,
            requests: sum.requests,
            believed: sum.believed / sum.requests as f64,
            failed: sum.failed as f64 / sum.requests as f64,
        };
        self.rows.into_iter().map(row).collect()
    }
}
