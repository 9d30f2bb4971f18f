//! What goes into the choice of a target and what comes out of it.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::failure_estimate::OutcomeSample;
use crate::steer::ledger::RetryBounds;
use crate::steer::limit::RequestRate;
use crate::steer::mechanism::MechanismSet;
use crate::steer::open::OpenAge;

/// How the core is set.
#[derive(Debug, Clone)]
pub struct SteerSetup {
    /// This box's data centre.
    pub data_centre: Name,
    /// What a kilobyte to or from another data centre costs, in worth of requests.
    pub cross_cost: f64,
    /// Bounds on the retries of all boxes together.
    pub retries: RetryBounds,
    /// Seeds the random choices.
    pub seed: u64,
    /// Parts of the pick that are switched off, for measurements.
    pub mechanisms: MechanismSet,
}

/// What a choice is made for.
#[derive(Debug, Clone)]
pub struct SteerRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The route that led there.
    pub route: &'a str,
    /// Whether it may run more than once, and another attempt is left.
    pub repeatable: bool,
    /// Whether its answer is large.
    pub large: bool,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// The time within which its answer is worth most.
    pub goal: Duration,
    /// The time that is left for it.
    pub remaining: Duration,
    /// Targets that were tried for it.
    pub tried: &'a [TargetKey],
    /// The regions that it may be served in.
    pub homes: HomeRegions<'a>,
}

/// The regions that a request may be served in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HomeRegions<'a> {
    /// All of them.
    #[default]
    Any,
    /// These alone; with none it can't be served at all.
    Only(&'a [Name]),
}

impl HomeRegions<'_> {
    /// Whether a request may be served in `region`.
    pub fn allow(self, region: &str) -> bool {
        match self {
            HomeRegions::Any => true,
            HomeRegions::Only(homes) => homes.iter().any(|home| **home == *region),
        }
    }
}

/// A chosen target, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct SteerPick {
    /// The target.
    pub key: TargetKey,
    /// Its instance's name, which the target checks.
    pub id: Name,
    /// Its address.
    pub address: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// How likely the attempt was taken to fail, 0 to 1.
    pub risk: f64,
    /// Requests that it was taken to hold.
    pub busy: f64,
    /// Whether it is a suspect that is tried again.
    pub trial: bool,
    /// The limit over all boxes that it has: nothing may be sent there without a permit.
    pub limit: Option<RequestRate>,
    /// Whether it is cold, and has that limit while it is.
    pub is_cold: bool,
}

/// What a retry is for. The budget is one for all, and some uses are worth more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryUse {
    /// The attempt before it failed or was refused: without a retry the request is lost.
    Repeat,
    /// A second attempt beside one that is open for long, which may still answer.
    Hedge,
}

impl RetryUse {
    /// The part of the budget that is there for it. What hedges leave is for requests that
    /// are lost for certain without a retry.
    pub(crate) fn budget_share(self) -> f64 {
        match self {
            RetryUse::Repeat => 1.0,
            RetryUse::Hedge => 0.9,
        }
    }
}

/// Why there is no choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// The service has no target that takes work, or each was tried.
    NoTarget,
    /// All targets of the service have said that they want nothing, or no more than they get: the
    /// first of them for this long yet.
    BackingOff(Duration),
    /// Each target is so full that the request can't be answered in time.
    Overloaded,
    /// Requests queue at each target, and this one has time to spare: it had better look
    /// again soon, and let those pass that have little.
    Saturated,
}

/// How an attempt ended, as far as it tells of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SteerOutcome {
    /// A whole answer that speaks well of it, after this time.
    Good(Duration),
    /// A whole answer that says that it failed.
    Failed,
    /// No whole answer came back.
    Incomplete,
    /// The request's time was over while it was open.
    DeadlineExceeded,
    /// The target refused before it ran anything.
    Shed,
    /// The connection did not come up.
    ConnectFailed,
    /// Another target listens at the address.
    WrongTarget,
    /// Dropped by us, for reasons of our own.
    Cancelled,
}

/// What the end of an attempt, or its age, told of its target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptEffect {
    /// Whether it counts as stalled, which peers should hear.
    pub stalled: bool,
    /// The time of a good answer without its wait, in multiples of what is usual for its
    /// route, if that is known.
    pub latency_ratio: Option<f64>,
    /// The change if the target became a suspect by it, or is none any more.
    pub change: Option<SuspicionChange>,
}

/// What a target says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on or that wait there.
    pub held: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// What some boxes saw of one target since they last told.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerSample {
    /// Attempts that went well.
    pub good: u32,
    /// Attempts that failed.
    pub bad: u32,
    /// Attempts that are open for too long.
    pub overdue: u32,
    /// Mean time of the good ones without their wait, in multiples of what is usual for
    /// their routes, if it is known.
    pub latency_ratio: Option<f64>,
    /// What the target last said it holds.
    pub held: Option<u32>,
    /// Attempts that the peer has open there now. `None` from one that does not tell this box
    /// all that it sees, but of failures and hardly of successes.
    pub open: Option<u32>,
    /// Those of them whose age tells of the target.
    pub informative: Vec<OpenAge>,
}

/// A target became a suspect, or is none any more.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspicionChange {
    /// The target.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// How likely the next attempt is to fail, 0 to 1.
    pub risk: f64,
    /// Whether it is a suspect now.
    pub suspect: bool,
}

impl SteerOutcome {
    /// What it says about failing, if it says anything by itself.
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
