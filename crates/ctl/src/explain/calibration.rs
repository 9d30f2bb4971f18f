//! Calibration: whether attempts failed as often as the boxes predicted.

use std::collections::BTreeMap;

use serde::Serialize;

use super::log_line::{RequestEnd, RequestLine};

/// Upper bounds of the predicted failure probability of the rows. They are close together where most attempts
/// are.
const UPPER_BOUNDS: [f64; 9] = [0.02, 0.03, 0.05, 0.08, 0.13, 0.2, 0.3, 0.5, 1.01];

/// The attempts of one service with about the same predicted failure probability.
#[derive(Debug, Clone, Serialize)]
pub struct CalibrationRow {
    /// Name of the service.
    pub service: String,
    /// Whether the attempts were trials, which probe a target that received no requests for some time.
    pub trial: bool,
    /// Number of requests with such an attempt.
    pub requests: usize,
    /// Mean predicted failure probability, 0 to 1.
    #[serde(rename = "believed")]
    pub predicted: f64,
    /// Share of the requests that failed, 0 to 1.
    pub failed: f64,
}

/// Accumulates the requests with exactly one attempt. Only their outcome is the outcome of the attempt that
/// the logged prediction is for.
#[derive(Debug, Default)]
pub(super) struct Calibration {
    rows: BTreeMap<(String, bool, usize), RowSum>,
}

#[derive(Debug, Default)]
struct RowSum {
    requests: usize,
    predicted: f64,
    failed: usize,
}

impl Calibration {
    pub(super) fn record(&mut self, line: &RequestLine) {
        let Some(risk) = line.risk.filter(|_| line.attempts == 1) else { return };
        let row =
            UPPER_BOUNDS.iter().position(|bound| risk < *bound).unwrap_or(UPPER_BOUNDS.len() - 1);
        let sum = self.rows.entry((line.service.clone(), line.trial, row)).or_default();
        sum.requests += 1;
        sum.predicted += risk;
        sum.failed += usize::from(line.end == RequestEnd::Failed);
    }

    pub(super) fn rows(self) -> Vec<CalibrationRow> {
        let row = |((service, trial, _), sum): ((String, bool, usize), RowSum)| CalibrationRow {
            service,
            trial,
            requests: sum.requests,
            predicted: sum.predicted / sum.requests as f64,
            failed: sum.failed as f64 / sum.requests as f64,
        };
        self.rows.into_iter().map(row).collect()
    }
}
