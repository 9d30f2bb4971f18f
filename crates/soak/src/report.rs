//! What a run found.

use serde::Serialize;

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which promise.
    pub promise: &'static str,
    /// How often.
    pub count: usize,
    /// The first few cases.
    pub cases: Vec<String>,
}

impl Violation {
    /// Cases that are shown.
    const SHOWN: usize = 5;

    /// A violation by these cases, or `None` if there are no more than `allowed`.
    pub fn of(promise: &'static str, cases: Vec<String>, allowed: usize) -> Option<Violation> {
        if cases.len() <= allowed {
            return None;
        }
        let count = cases.len();
        Some(Violation { promise, count, cases: cases.into_iter().take(Self::SHOWN).collect() })
    }
}

/// A run's report, one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Faults in the plan.
    pub faults: usize,
    /// Requests of callers.
    pub requests: usize,
    /// Those that were answered well.
    pub served: usize,
    /// Those that were refused truly.
    pub refused: usize,
    /// Questions which configuration is in force.
    pub probes: usize,
    /// Configurations that were written.
    pub configs: u32,
    /// The longest time by which this program was woken late, in milliseconds: bounds are
    /// stretched by it.
    pub late_ms: u64,
    /// The longest time by which the machine kept a box from running within one look, in
    /// milliseconds. Boxes that waited long count as disturbed.
    pub starved_ms: u64,
    /// Promises that were not kept.
    pub violations: Vec<Violation>,
    /// Where logs and time line are, if they were kept.
    pub directory: Option<String>,
}
