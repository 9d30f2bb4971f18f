//! How fast a change is in force everywhere, and what the exchange costs.
//!
//! Up to [`REAL_MOST`] boxes run as real agents and proxies with a real (stand-in)
//! store in this process; more run as the agents' cores in virtual time, with delays
//! between data centres and messages lost on purpose.

pub mod cores;
pub mod real;

use serde::Serialize;

/// Boxes that run as real agents in one process.
pub const REAL_MOST: usize = 40;
/// Shares of messages that are lost, one row each.
pub const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

/// What is measured.
#[derive(Debug, Clone, Copy)]
pub struct SpreadBench {
    /// Boxes.
    pub boxes: usize,
    /// Data centres.
    pub centres: usize,
    /// Changes that are timed in each row.
    pub changes: usize,
    /// Keys that are there before.
    pub keys: usize,
    /// Fixes losses, delays and choices.
    pub seed: u64,
}

/// One row.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRow {
    /// `agents` or `cores`.
    pub kind: &'static str,
    /// Boxes.
    pub boxes: usize,
    /// Share of messages lost.
    pub loss: f64,
    /// Whether the store was cut off right after each acceptance.
    pub store_cut: bool,
    /// From accepted to in force in a box: median over boxes and changes, milliseconds.
    pub in_force_p50_ms: f64,
    /// The same for 99 in 100.
    pub in_force_p99_ms: f64,
    /// The same for all.
    pub in_force_max_ms: f64,
    /// Boxes that some change did not reach before the row's end.
    pub lacking: usize,
    /// Versions that went down.
    pub reverts: usize,
    /// Bytes that a box sends a second at rest, packet headers counted.
    pub bytes_per_box_s: f64,
    /// Messages that a box sends a second at rest.
    pub messages_per_box_s: f64,
    /// Bytes that a box sends for one change.
    pub bytes_per_change: f64,
    /// Calls to the store a second at rest, waiting watches counted once for each wait.
    pub store_calls_s: f64,
    /// Share of a core that a box takes, changes counted in.
    pub cpu_share: f64,
    /// Memory of the whole process, in MB.
    pub rss_mb: f64,
}

/// The value at `quantile` of sorted values, 0 if there is none.
fn at_quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(index.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}
