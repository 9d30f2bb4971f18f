//! Detection time and false ejections as a function of the bias that operators set.

use serde::Serialize;

use crate::decide::report::{DecideSetup, measure};
use crate::decide::site::SiteSetup;

/// The measured biases, in target-days between two false ejections.
pub const BIASES: [f64; 7] = [0.0001, 0.001, 0.01, 1.0, 100.0, 10_000.0, 1_000_000.0];

/// The measurement at one bias.
#[derive(Debug, Clone, Serialize)]
pub struct CurvePoint {
    /// The configured number of target-days between two false ejections.
    pub bias_days: f64,
    /// Median detection time of a stall in milliseconds.
    pub stall_p50_ms: Option<f64>,
    /// Median detection time of 20 % errors in milliseconds.
    pub errors_p50_ms: Option<f64>,
    /// Median detection time of a target that takes twice as long, in milliseconds.
    pub slow_p50_ms: Option<f64>,
    /// False ejections per 1,000 healthy target-days.
    pub false_per_1000_days: f64,
    /// Simulated healthy target-days in which these false ejections were counted.
    pub healthy_target_days: f64,
}

/// Measures each bias for one site, without the baselines.
pub fn measure_curve(setup: &DecideSetup) -> Vec<CurvePoint> {
    BIASES.iter().map(|bias| measure_bias(setup, *bias)).collect()
}

fn measure_bias(setup: &DecideSetup, bias_days: f64) -> CurvePoint {
    let site = SiteSetup { bias_days, ..setup.site.clone() };
    let report = measure(&DecideSetup { site, baselines: false, ..setup.clone() });
    let median_ms = |name: &str| {
        let row = report.faults.iter().find(|row| row.fault == name);
        row.and_then(|row| row.core.detection_p50_ms)
    };
    CurvePoint {
        bias_days,
        stall_p50_ms: median_ms("stall"),
        errors_p50_ms: median_ms("errors-20"),
        slow_p50_ms: median_ms("slow-2x"),
        false_per_1000_days: report.false_ejections as f64 * 1000.0 / report.healthy_target_days,
        healthy_target_days: report.healthy_target_days,
    }
}
