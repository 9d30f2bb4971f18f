//! Measures how fast a change takes effect in all boxes, and the cost of the exchange between them.
//!
//! Up to [`MAX_REAL_BOXES`] boxes run in this process as real agents and proxies with a stand-in
//! store. Larger fleets run as the agents' cores in virtual time, with simulated delays between
//! data centres and simulated message loss.

pub mod cores;
pub mod real;

use serde::Serialize;

/// Maximum number of boxes that run as real agents in one process.
pub const MAX_REAL_BOXES: usize = 40;
/// Shares of messages that are lost; each has a row with the store reachable and one with it cut
/// off.
pub const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

/// Settings of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct SpreadBench {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of data centres.
    pub centres: usize,
    /// Number of timed changes in each row.
    pub changes: usize,
    /// Number of keys that exist before the first change.
    pub keys: usize,
    /// Seed of losses, delays and random choices in virtual time.
    pub seed: u64,
}

/// Results for one loss rate, with or without the store.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadRow {
    /// What ran: `agents` or `cores`.
    pub kind: &'static str,
    /// Number of boxes.
    pub boxes: usize,
    /// Share of messages lost.
    pub loss: f64,
    /// Whether the store was cut off right after it accepted each change.
    pub store_cut: bool,
    /// Time from the acceptance of a change until it is in force in a box: median over boxes and
    /// changes, in milliseconds.
    pub in_force_p50_ms: f64,
    /// The 99th percentile of this time, in milliseconds.
    pub in_force_p99_ms: f64,
    /// The maximum of this time, in milliseconds.
    pub in_force_max_ms: f64,
    /// Number of pairs of a change and a box that it did not reach before the end of the row.
    #[serde(rename = "lacking")]
    pub unreached: usize,
    /// Number of times that a box replaced a version by an older one; cores count the same one,
    /// too.
    pub reverts: usize,
    /// Bytes per second that a box sends while idle, packet headers included.
    pub bytes_per_box_s: f64,
    /// Messages per second that a box sends while idle.
    pub messages_per_box_s: f64,
    /// Bytes that a box sends for one change, in addition to the idle traffic.
    pub bytes_per_change: f64,
    /// Calls to the store per second by all boxes while idle; a watch counts once for each wait.
    pub store_calls_s: f64,
    /// Share of a processor core that a box takes: idle for agents, while changes spread for cores.
    pub cpu_share: f64,
    /// Resident memory of the whole process, in MB.
    pub rss_mb: f64,
}

/// Returns the value at `quantile` of sorted values, 0 if there are none.
fn value_at_quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(index.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}
