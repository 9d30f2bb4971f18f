//! The report of a run.

use serde::Serialize;

/// A promise that was broken, with the observed cases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the promise.
    pub promise: &'static str,
    /// Number of cases.
    pub count: usize,
    /// Descriptions of the first cases.
    pub cases: Vec<String>,
}

impl Violation {
    /// Number of cases that a report describes.
    const MAX_CASES: usize = 5;

    /// Returns a violation with these cases, or `None` if there are at most `allowed`.
    pub fn of(promise: &'static str, cases: Vec<String>, allowed: usize) -> Option<Violation> {
        if cases.len() <= allowed {
            return None;
        }
        let count = cases.len();
        Some(Violation { promise, count, cases: cases.into_iter().take(Self::MAX_CASES).collect() })
    }
}

/// The report of a run, printed as one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SoakReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of faults in the plan.
    pub faults: usize,
    /// Number of requests that callers made.
    pub requests: usize,
    /// Number of requests with a complete and correct answer of status 200.
    pub served: usize,
    /// Number of requests that were refused with the promise that they have not run.
    pub refused: usize,
    /// Number of answered probes for the configuration that is in force.
    pub probes: usize,
    /// Number of configurations that were written.
    pub configs: u32,
    /// Longest delay with which a thread of this program was woken, in milliseconds. Time bounds
    /// are extended in proportion to it.
    pub late_ms: u64,
    /// Longest time that a thread of a box waited for a processor between two measurements, in
    /// milliseconds. A box counts as disturbed while it waited long.
    pub starved_ms: u64,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Directory of the logs and the event trace, if they were kept.
    pub directory: Option<String>,
}
