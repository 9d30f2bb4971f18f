//! Faults of a target.

use serde::{Deserialize, Serialize};

/// What is wrong with a target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// It takes requests and never answers; its health end point answers well.
    pub stall: bool,
    /// Its work takes this many times as long (0 and 1: as usual).
    pub slow: f64,
    /// The share of requests that it answers with an error, 0 to 1.
    pub error_share: f64,
    /// Requests from these boxes are stalled: a cut of one path.
    pub cut_from: Vec<String>,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
    /// It says that it has just started.
    pub cold: bool,
    /// It reports this load, whatever is true.
    pub reported_load: Option<f32>,
    /// It breaks off long answers after so many bytes (0: never).
    pub cut_answers_after: u64,
    /// It does the work of this many of the next requests and closes without an answer.
    pub lose_answers: u32,
}
