//! Detection time against false ejections, over the operators' knob.

use serde::Serialize;

use crate::decide::report::{DecideSetup, measure};
use crate::decide::site::SiteSetup;

/// The biases that are tried, in target-days between two false ejections.
pub const BIASES: [f64; 7] = [0.0001, 0.001, 0.01, 1.0, 100.0, 10_000.0, 1_000_000.0];

/// One bias.
#[derive(Debug, Clone, Serialize)]
pub struct CurvePoint {
    /// Target-days between two false ejections that the operator asks for.
    pub bias_days: f64,
    /// Median detection of a stall, in milliseconds.
    pub stall_p50_ms: Option<f64>,
    /// Median detection of a fifth of errors, in milliseconds.
    pub errors_p50_ms: Option<f64>,
    /// Median detection of work that takes twice as long, in milliseconds.
    pub slow_p50_ms: Option<f64>,
    /// False ejections for 1,000 healthy target-days, as measured.
    pub false_per_1000_days: f64,
    /// The target-days behind that.
    pub healthy_target_days: f64,
}

/// Measures the curve of one site.
pub fn measure_curve(setup: &DecideSetup) -> Vec<CurvePoint> {
    BIASES.iter().map(|bias| measure_bias(setup, *bias)).collect()
}

fn measure_bias(setup: &DecideSetup, bias_days: f64) -> CurvePoint {
    let site = SiteSetup { bias_days, ..setup.site.clone() };
    let report = measure(&DecideSetup { site, baselines: false, ..setup.clone() });
    let of = |name: &str| {
        let row = report.faults.iter().find(|row| row.fault == name);
        row.and_then(|row| row.core.detection_p50_ms)
    };
    CurvePoint {
        bias_days,
        stall_p50_ms: of("stall"),
        errors_p50_ms: of("errors-20"),
        slow_p50_ms: of("slow-2x"),
        false_per_1000_days: report.false_ejections as f64 * 1000.0 / report.healthy_target_days,
        healthy_target_days: report.healthy_target_days,
    }
}
