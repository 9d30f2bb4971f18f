//! Compares strategies to hold a customer's quota, or the limit of a target, over all boxes
//! together.
//!
//! Fleets are drawn at random and run in virtual time. The report gives the requests admitted in
//! the worst window against the bound, the requests refused below the limit, and the traffic
//! between boxes.

mod customer_strategies;
mod fleet;
pub mod report;
pub mod scenario;
mod target_strategies;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use wingbridge_decide::quota::QuotaLimit;

use customer_strategies::{
    AllotmentBox, CoordinatorBox, EXCESS_SHARE, QUOTA_WINDOW, SLACK_REQUESTS, WindowSumBox,
};
pub use fleet::QuotaRun;
use fleet::{FleetPlan, run_fleet};
use report::{QuotaReport, QuotaRow};
use scenario::QuotaScenario;
use target_strategies::{EqualShareBox, HolderBox, PermitBox};

/// A strategy to hold a quota over all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaStrategy {
    /// One box holds the tokens of a customer and grants them to the others. Boxes run this one.
    Coordinators,
    /// Each box reports to all others what it admitted within the window, and limits the sum.
    WindowSums,
    /// Each box may spend a share of the rate, in proportion to its recent demand.
    Allotments,
    /// One box grants the permits of a target, one per send. Boxes run this one for limits.
    Permits,
    /// Each box sends its equal share of a target's limit, with a phase of its own.
    EqualShares,
    /// A few boxes divide the whole limit of a target among them.
    Holders,
}

/// All strategies, with their names in settings and reports.
pub const STRATEGIES: [(QuotaStrategy, &str); 6] = [
    (QuotaStrategy::Coordinators, "keepers"),
    (QuotaStrategy::WindowSums, "sums"),
    (QuotaStrategy::Allotments, "allotments"),
    (QuotaStrategy::Permits, "permits"),
    (QuotaStrategy::EqualShares, "shares"),
    (QuotaStrategy::Holders, "holders"),
];

impl fmt::Display for QuotaStrategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = STRATEGIES.iter().find(|(strategy, _)| strategy == self);
        f.write_str(named.map_or("", |(_, name)| name))
    }
}

/// Error for a name that is none of [`STRATEGIES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownStrategy;

impl FromStr for QuotaStrategy {
    type Err = UnknownStrategy;

    fn from_str(name: &str) -> Result<QuotaStrategy, UnknownStrategy> {
        STRATEGIES
            .iter()
            .find(|(_, known)| *known == name)
            .map(|(strategy, _)| *strategy)
            .ok_or(UnknownStrategy)
    }
}

/// Bound on the requests that are admitted within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowBound {
    /// Time over which requests are counted.
    pub window: Duration,
    /// Factor on the requests that the limit allows within the window.
    pub factor: f64,
    /// Whether the factor applies to the burst as well as to the rate.
    pub includes_burst: bool,
    /// Requests allowed on top of the product.
    pub extra_requests: f64,
}

impl WindowBound {
    /// Bound of customers' quotas.
    pub const CUSTOMERS: WindowBound = WindowBound {
        window: QUOTA_WINDOW,
        factor: 1.0 + EXCESS_SHARE,
        includes_burst: true,
        extra_requests: SLACK_REQUESTS,
    };
    /// Bound of targets' limits.
    pub const TARGETS: WindowBound = WindowBound {
        window: Duration::from_secs(4),
        factor: 1.5,
        includes_burst: false,
        extra_requests: 5.0,
    };
}

/// Settings of a comparison.
#[derive(Debug, Clone)]
pub struct QuotaBench {
    /// Seed of the first fleet; each further fleet takes the next number.
    pub seed: u64,
    /// Number of fleets in each row.
    pub fleets: usize,
    /// Number of boxes in each fleet.
    pub boxes: usize,
    /// Limit of the customer or target.
    pub limit: QuotaLimit,
    /// Share of the datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// Scenarios that each strategy runs under.
    pub scenarios: Vec<QuotaScenario>,
    /// Strategies that are compared.
    pub strategies: Vec<QuotaStrategy>,
    /// Bound that the windows are checked against.
    pub bound: WindowBound,
    /// Minimum number of callers; each of them uses one box.
    pub callers: usize,
}

/// Runs all fleets under each strategy and scenario.
pub fn measure_quota(bench: &QuotaBench) -> QuotaReport {
    let mut rows = Vec::new();
    for scenario in &bench.scenarios {
        for strategy in &bench.strategies {
            let runs = (0..bench.fleets as u64).map(|number| {
                run_one(*strategy, &FleetPlan::draw(bench, *scenario, bench.seed + number))
            });
            rows.push(QuotaRow::of(*scenario, *strategy, bench, &runs.collect::<Vec<_>>()));
        }
    }
    QuotaReport { seed: bench.seed, fleets: bench.fleets, boxes: bench.boxes, rows }
}

/// Runs one fleet under one strategy.
fn run_one(strategy: QuotaStrategy, plan: &FleetPlan) -> QuotaRun {
    match strategy {
        QuotaStrategy::Coordinators => run_fleet::<CoordinatorBox>(plan),
        QuotaStrategy::WindowSums => run_fleet::<WindowSumBox>(plan),
        QuotaStrategy::Allotments => run_fleet::<AllotmentBox>(plan),
        QuotaStrategy::Permits => run_fleet::<PermitBox>(plan),
        QuotaStrategy::EqualShares => run_fleet::<EqualShareBox>(plan),
        QuotaStrategy::Holders => run_fleet::<HolderBox>(plan),
    }
}
