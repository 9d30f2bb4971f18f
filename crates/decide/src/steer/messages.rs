//! Inputs and results of the choice of a target, and of the attempts that follow it.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::failure_estimate::OutcomeSample;
use crate::steer::ledger::RetryBounds;
use crate::steer::limit::RequestRate;
use crate::steer::mechanism::MechanismSet;
use crate::steer::open::OpenAge;

/// Settings of the [`SteerCore`](crate::steer::SteerCore).
#[derive(Debug, Clone)]
pub struct SteerSetup {
    /// Data centre of this box.
    pub data_centre: Name,
    /// Cost of a kilobyte that crosses to or from another data centre, in units of the value of one request.
    pub cross_cost: f64,
    /// Bounds on the retries of all boxes together.
    pub retries: RetryBounds,
    /// Seed of the random choices.
    pub seed: u64,
    /// Mechanisms of the choice that are in use; measurements switch some of them off.
    pub mechanisms: MechanismSet,
}

/// The request for which a target is chosen.
#[derive(Debug, Clone)]
pub struct SteerRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Route by which the request reached the service.
    pub route: &'a str,
    /// Whether the request may run more than once and another attempt is allowed.
    pub repeatable: bool,
    /// Whether a large answer is expected.
    pub large: bool,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// Time within which the answer has its full value; a later answer is worth less.
    pub goal: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Targets that have already been tried for the request.
    pub tried: &'a [TargetKey],
    /// Regions in which the request may be served.
    pub homes: HomeRegions<'a>,
}

/// The regions that a request may be served in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HomeRegions<'a> {
    /// Every region.
    #[default]
    Any,
    /// Only these regions. If there are none, the request can't be served at all.
    Only(&'a [Name]),
}

impl HomeRegions<'_> {
    /// Returns whether a request may be served in `region`.
    pub fn allow(self, region: &str) -> bool {
        match self {
            HomeRegions::Any => true,
            HomeRegions::Only(homes) => homes.iter().any(|home| **home == *region),
        }
    }
}

/// A chosen target, with the estimates that the choice was based on.
#[derive(Debug, Clone, PartialEq)]
pub struct SteerPick {
    /// Identity of the target between boxes.
    pub key: TargetKey,
    /// Name of the target's instance, which is sent with the request and checked by the target.
    pub id: Name,
    /// Address at which the target listens.
    pub address: Name,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Estimated probability that the attempt fails, 0 to 1.
    pub risk: f64,
    /// Estimated number of requests that the target is working on or has queued.
    pub busy: f64,
    /// Whether the attempt is a trial of a target that got no request for a while.
    pub trial: bool,
    /// Whether the request left the data centre by the placement plan of its service.
    pub placed: bool,
    /// Limit of the target over all boxes. If there is one, the attempt needs a permit.
    pub limit: Option<RequestRate>,
    /// Whether the target is cold, so that a limit applies until it is warm.
    pub is_cold: bool,
}

/// The purpose of a retry. All uses share one budget, and some are worth more than others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryUse {
    /// A further attempt after one that failed or was refused. Without it the request is lost.
    Repeat,
    /// A hedge: a second attempt while the first one has been open for a long time and may still be answered.
    Hedge,
}

impl RetryUse {
    /// Returns the share of the budget that this use may take. Hedges leave a part for requests that are
    /// certainly lost without a retry.
    pub(crate) fn budget_share(self) -> f64 {
        match self {
            RetryUse::Repeat => 1.0,
            RetryUse::Hedge => 0.9,
        }
    }
}

/// The reason why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// The service has no eligible target, or each one has been tried.
    NoTarget,
    /// All targets of the service asked the box to back off or have used up their limits. The first of them
    /// is eligible again after this time.
    BackingOff(Duration),
    /// The queue of each target is so long that the request can't be answered in time.
    Overloaded,
    /// Requests queue at each target, and this request has time to spare. The caller should try again soon,
    /// so that requests with less time go first.
    Saturated,
}

/// The outcome of an attempt, as far as it is evidence about the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SteerOutcome {
    /// A complete answer without a sign of failure arrived after this time.
    Good(Duration),
    /// A complete answer reported a failure.
    Failed,
    /// No complete answer arrived.
    Incomplete,
    /// The request's deadline passed while the attempt was open.
    DeadlineExceeded,
    /// The target refused the request before it ran anything.
    Shed,
    /// No connection to the target could be established.
    ConnectFailed,
    /// Another instance listens at the target's address.
    WrongTarget,
    /// This box cancelled the attempt for reasons that have nothing to do with the target.
    Cancelled,
}

/// The effect of an attempt's end, or of its age, on the estimates about its target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptEffect {
    /// Whether the attempt counts as stalled, which is to be reported to peers.
    pub stalled: bool,
    /// Ratio of a good answer's time, without the wait for a slot, to the typical time of its route, if that
    /// is known.
    pub latency_ratio: Option<f64>,
    /// The change, if the target became a suspect or stopped being one.
    pub change: Option<SuspicionChange>,
}

/// The load that a target reports in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the target is working on or has queued.
    pub held: u32,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
}

/// Observations of one target that a peer reports: all since its last report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerSample {
    /// Number of successful attempts.
    pub good: u32,
    /// Number of failed attempts.
    pub bad: u32,
    /// Number of attempts that have been open for longer than nearly all attempts take.
    pub overdue: u32,
    /// Mean ratio of the time of the successful attempts, without the wait for a slot, to the typical time of
    /// their routes, if known.
    pub latency_ratio: Option<f64>,
    /// Number of requests that the target was working on or had queued, as it last reported.
    pub held: Option<u32>,
    /// Number of attempts that the peer has open at the target. `None` from a peer that sends this box no full
    /// reports: its reports contain failures and hardly any successes.
    pub open: Option<u32>,
    /// Ages of the open attempts whose age is evidence about the target.
    pub informative: Vec<OpenAge>,
}

/// The event that a target became a suspect or stopped being one.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspicionChange {
    /// Name of the target.
    pub id: Name,
    /// Service of the target.
    pub service: Name,
    /// Estimated probability that the next attempt fails, 0 to 1.
    pub risk: f64,
    /// Whether the target is a suspect now.
    pub suspect: bool,
}

impl SteerOutcome {
    /// Returns the outcome as a sample for the failure estimate, if it is evidence by itself.
    pub(crate) fn as_sample(self) -> Option<OutcomeSample> {
        match self {
            SteerOutcome::Good(_) => Some(OutcomeSample::Good),
            SteerOutcome::Failed | SteerOutcome::Incomplete => Some(OutcomeSample::Bad),
            SteerOutcome::DeadlineExceeded
            | SteerOutcome::Shed
            | SteerOutcome::ConnectFailed
            | SteerOutcome::WrongTarget
            | SteerOutcome::Cancelled => None,
        }
    }
}
