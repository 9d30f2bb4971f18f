//! Ways to hold a customer's quota, or the limit of a target, over all boxes together, on fleets drawn at
//! random in virtual time: what ran in the worst window against the bound, what was refused below the limit, and what
//! boxes tell each other for it.

mod fleet;
pub mod report;
pub mod scenario;
mod target_ways;
mod ways;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use wingbridge_decide::quota::QuotaLimit;

pub use fleet::QuotaRun;
use fleet::{FleetPlan, play};
use report::{QuotaReport, QuotaRow};
use scenario::QuotaScenario;
use target_ways::{HolderBox, PermitBox, ShareBox};
use ways::{AllotmentBox, EXCESS, KeeperBox, SLACK, SumsBox, WINDOW};

/// A way to hold a quota over all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaWay {
    /// One box keeps the credit of a customer and grants it to the others: what boxes run.
    Keepers,
    /// Each box tells all others what it admitted within the window, and counts all of it.
    Sums,
    /// Each box may spend a part of the rate, by what it and the others lately asked.
    Allotments,
    /// One box keeps the permits of a target and is asked for each: what boxes run for limits.
    Permits,
    /// Each box sends its equal share of a target's limit, at moments that are drawn.
    Shares,
    /// A few boxes hold the whole limit of a target.
    Holders,
}

/// All ways, with their names.
pub const WAYS: [(QuotaWay, &str); 6] = [
    (QuotaWay::Keepers, "keepers"),
    (QuotaWay::Sums, "sums"),
    (QuotaWay::Allotments, "allotments"),
    (QuotaWay::Permits, "permits"),
    (QuotaWay::Shares, "shares"),
    (QuotaWay::Holders, "holders"),
];

impl fmt::Display for QuotaWay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = WAYS.iter().find(|(way, _)| way == self);
        f.write_str(named.map_or("", |(_, name)| name))
    }
}

/// A way that is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownWay;

impl FromStr for QuotaWay {
    type Err = UnknownWay;

    fn from_str(name: &str) -> Result<QuotaWay, UnknownWay> {
        WAYS.iter().find(|(_, known)| *known == name).map(|(way, _)| *way).ok_or(UnknownWay)
    }
}

/// What is allowed within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowBound {
    /// The time over which requests are counted.
    pub window: Duration,
    /// In multiples of what the limit comes to.
    pub times: f64,
    /// Whether the burst counts to that.
    pub with_burst: bool,
    /// Requests beyond that.
    pub more: f64,
}

impl WindowBound {
    /// That of customers' quotas. Source: the users' sheet.
    pub const OF_CUSTOMERS: WindowBound =
        WindowBound { window: WINDOW, times: 1.0 + EXCESS, with_burst: true, more: SLACK };
    /// That of targets' limits. Source: the users' rules.
    pub const OF_TARGETS: WindowBound =
        WindowBound { window: Duration::from_secs(4), times: 1.5, with_burst: false, more: 5.0 };
}

/// What is played.
#[derive(Debug, Clone)]
pub struct QuotaBench {
    /// The first fleet's seed.
    pub seed: u64,
    /// How many fleets.
    pub fleets: usize,
    /// How many boxes each has.
    pub boxes: usize,
    /// The customer's limit.
    pub limit: QuotaLimit,
    /// Datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// What happens.
    pub scenarios: Vec<QuotaScenario>,
    /// Ways that are compared.
    pub ways: Vec<QuotaWay>,
    /// What is allowed.
    pub bound: WindowBound,
    /// Callers at least; each comes by one box.
    pub callers: usize,
}

/// Plays all fleets in each way.
pub fn measure_quota(bench: &QuotaBench) -> QuotaReport {
    let mut rows = Vec::new();
    for scenario in &bench.scenarios {
        for way in &bench.ways {
            let runs = (0..bench.fleets as u64).map(|number| {
                play_one(*way, &FleetPlan::draw(bench, *scenario, bench.seed + number))
            });
            rows.push(QuotaRow::of(*scenario, *way, bench, &runs.collect::<Vec<_>>()));
        }
    }
    QuotaReport { seed: bench.seed, fleets: bench.fleets, boxes: bench.boxes, rows }
}

/// Plays one fleet in one way.
fn play_one(way: QuotaWay, plan: &FleetPlan) -> QuotaRun {
    match way {
        QuotaWay::Keepers => play::<KeeperBox>(plan),
        QuotaWay::Sums => play::<SumsBox>(plan),
        QuotaWay::Allotments => play::<AllotmentBox>(plan),
        QuotaWay::Permits => play::<PermitBox>(plan),
        QuotaWay::Shares => play::<ShareBox>(plan),
        QuotaWay::Holders => play::<HolderBox>(plan),
    }
}
