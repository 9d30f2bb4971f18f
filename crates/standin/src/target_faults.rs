//! Faults of the target stand-in.

use serde::{Deserialize, Serialize};

/// Faults of a target, as set by `/v1/faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// The target accepts requests and never answers them; its health end point still reports
    /// success.
    pub stall: bool,
    /// Factor by which processing takes longer; values up to 1 have no effect.
    pub slow: f64,
    /// Share of requests that are answered with an error, 0 to 1.
    pub error_share: f64,
    /// Boxes whose requests are never answered, as if the network path from them were cut.
    pub cut_from: Vec<String>,
    /// The target finishes the requests in flight and refuses new ones.
    pub draining: bool,
    /// The target reports that it has just started.
    pub cold: bool,
    /// Load that the target reports instead of its actual load.
    pub reported_load: Option<f32>,
    /// Number of bytes after which a download breaks off; 0 for never.
    pub cut_answers_after: u64,
    /// Number of next requests that are processed and whose connections then close without an
    /// answer.
    pub lose_answers: u32,
}
