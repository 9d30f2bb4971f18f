//! Events into the core of a box and commands out of it.

use std::time::Duration;

use crate::evidence::EvidenceBatch;
use crate::health::HealthState;
use crate::names::{Name, TargetKey};
use crate::setup::{ManualOverride, ServiceSetup};
use crate::time::TimePoint;

/// A request's number within one box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a policy decided about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// Which service works on it.
    pub service: Name,
    /// When the caller must have its answer.
    pub deadline: TimePoint,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Attempts at most, the first counted.
    pub attempts: u32,
    /// Whose request it is, for fair shares.
    pub caller: u64,
    /// Requests of the caller that may be open or queued here; 0 for no limit.
    pub caller_limit: usize,
    /// Higher goes first in the queue.
    pub priority: u8,
}

/// What a target says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedState {
    /// It takes work.
    #[default]
    Ready,
    /// It has just started.
    Cold,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// What came with an answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetReport {
    /// Busy share of its slots, 0 to 1 and above, if it said so.
    pub load: Option<f32>,
    /// Its state.
    pub state: ReportedState,
    /// A number that changes when the target at this address is another one.
    pub incarnation: Option<u64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer that speaks well of the target.
    Answered(TargetReport),
    /// A whole answer that says that the target failed (5xx).
    AnsweredError(TargetReport),
    /// The target itself refused before it ran anything.
    Shed(TargetReport),
    /// No byte of the request can have reached the target.
    NotSent,
    /// Bytes went out and no whole answer came back.
    Broken,
}

/// Events into the core of a box.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxEvent {
    /// A service is configured, or configured anew.
    ServiceConfigured(ServiceSetup),
    /// A service is gone.
    ServiceRemoved(Name),
    /// All orders by hand for a service.
    OverridesSet {
        /// The service.
        service: Name,
        /// The orders now in force.
        overrides: Vec<ManualOverride>,
    },
    /// A caller's request, with what the policy says.
    RequestArrived {
        /// Its number.
        request: RequestId,
        /// The policy's plan.
        plan: RequestPlan,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 1.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The caller hung up.
    RequestCancelled(RequestId),
    /// An answer that was already on its way to the caller broke off.
    AnswerBroken {
        /// The service.
        service: Name,
        /// The target.
        target: TargetKey,
    },
    /// A judge's verdict.
    VerdictReceived(Verdict),
    /// A peer saw that a target leaves.
    DrainingReceived {
        /// The service.
        service: Name,
        /// The target.
        target: TargetKey,
    },
    /// A probe of a leaving target ended; `None` if it was not answered.
    ProbeEnded {
        /// The service.
        service: Name,
        /// The target.
        target: TargetKey,
        /// What the target said.
        state: Option<ReportedState>,
    },
    /// Time has passed.
    TimerFired,
}

/// Commands out of the core of a box.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxCommand {
    /// Send the request to a target. An earlier attempt that is still open is dropped.
    Send {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 1.
        attempt: u32,
        /// The target's address.
        target: Name,
        /// Whether a pooled connection would risk an unknown outcome.
        fresh_connection: bool,
    },
    /// The request is finished.
    Conclude {
        /// The request.
        request: RequestId,
        /// How.
        conclusion: Conclusion,
    },
    /// Ask a leaving target whether it is back.
    Probe {
        /// The service.
        service: Name,
        /// The target's address.
        target: Name,
    },
    /// Send this to the service's judges.
    Report(EvidenceBatch),
    /// Tell all boxes that a target leaves.
    AnnounceDraining {
        /// The service.
        service: Name,
        /// The target.
        target: TargetKey,
    },
    /// A target's state changed here.
    HealthChanged(HealthTransition),
    /// The box holds itself sick (or well again): everything fails here.
    SelfSuspected(bool),
}

/// A target's change of state, for logs and the time line.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthTransition {
    /// The service.
    pub service: Name,
    /// The target's address.
    pub target: Name,
    /// The state before.
    pub from: HealthState,
    /// The state now.
    pub to: HealthState,
    /// Why.
    pub reason: &'static str,
}

/// How a request ended towards its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The last attempt's answer goes to the caller.
    Answered,
    /// It was not run, by any target.
    NotRun {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may or may not have run.
    Unknown {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// No such service is configured.
    UnknownService,
    /// No target takes work now.
    NoTarget,
    /// The service's limits in this box are reached.
    Overloaded,
    /// The caller has more than its share.
    CallerLimit,
    /// It can't be answered before its deadline.
    Deadline,
    /// Each target that was asked refused, or could not be reached.
    Refused,
}

impl RefuseReason {
    /// One line for the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            RefuseReason::UnknownService => "no such service is configured",
            RefuseReason::NoTarget => "no target takes work now",
            RefuseReason::Overloaded => "the service is at its limit in this box",
            RefuseReason::CallerLimit => "this caller has its share of requests open",
            RefuseReason::Deadline => "it can't be answered before its deadline",
            RefuseReason::Refused => "the targets that were asked refused it",
        }
    }
}

/// What a judge found about a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The service.
    pub service: Name,
    /// The target.
    pub target: TargetKey,
    /// What was found.
    pub kind: VerdictKind,
    /// For whom it counts.
    pub scope: VerdictScope,
    /// What speaks for it most.
    pub cause: VerdictCause,
    /// How often it was ejected lately, this time counted.
    pub flaps: u32,
    /// When it was found, on the judge's clock, in microseconds. Orders ejections
    /// in the floor guard, so that boxes with the same news choose the same.
    pub stamp: u64,
}

/// What was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictKind {
    /// It fails.
    Convicted,
    /// Its trial went well.
    Acquitted,
}

/// What speaks most for a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VerdictCause {
    /// Failed attempts.
    Errors,
    /// Attempts that stay open.
    Stalls,
    /// Slow answers.
    Slowness,
}

impl VerdictCause {
    /// All causes, in the order of their numbers on the wire.
    pub const ALL: [VerdictCause; 3] =
        [VerdictCause::Errors, VerdictCause::Stalls, VerdictCause::Slowness];

    /// In words, for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            VerdictCause::Errors => "a judge saw more errors than elsewhere",
            VerdictCause::Stalls => "a judge saw more stalls than elsewhere",
            VerdictCause::Slowness => "a judge saw slower answers than elsewhere",
        }
    }
}

/// For whom a verdict counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VerdictScope {
    /// The path from this box.
    Path,
    /// The paths from this data centre.
    DataCentre,
    /// The target itself.
    Target,
}
