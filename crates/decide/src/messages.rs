//! The events that the core of a box takes and the commands that it returns.

use std::time::Duration;

use crate::evidence::EvidenceBatch;
use crate::health::HealthState;
use crate::names::{Name, TargetKey};
use crate::setup::{ManualOverride, ServiceSetup};
use crate::time::TimePoint;

/// The number of a request, unique within one box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The decisions of the route's policy about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPlan {
    /// Service that handles the request.
    pub service: Name,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts, including the first one.
    pub attempts: u32,
    /// Identifies the caller, for fair shares under overload.
    pub caller: u64,
    /// Maximum number of the caller's requests that are open or queued in this box; 0 for no limit.
    pub caller_limit: usize,
    /// Priority in the queue; higher values come first.
    pub priority: u8,
}

/// The state that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedState {
    /// The target accepts requests.
    #[default]
    Ready,
    /// The target has just started.
    Cold,
    /// The target finishes its open requests and accepts no new ones.
    Draining,
}

/// The report that a target sends with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetReport {
    /// Load as a share of the target's slots, if reported; above 1 if requests wait for a slot.
    pub load: Option<f32>,
    /// State of the target.
    pub state: ReportedState,
    /// Number that changes when a new instance answers at the address, if reported.
    pub incarnation: Option<u64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// A complete answer that is not a server error.
    Answered(TargetReport),
    /// A complete answer with a server error (5xx).
    AnsweredError(TargetReport),
    /// The target refused the request before running any of it.
    Shed(TargetReport),
    /// No byte of the request reached the target.
    NotSent,
    /// Bytes of the request were sent, and no complete answer was received.
    Broken,
}

/// An event for the core of a box.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxEvent {
    /// A service was added or its configuration changed.
    ServiceConfigured(ServiceSetup),
    /// A service was removed.
    ServiceRemoved(Name),
    /// The manual overrides of a service were replaced.
    OverridesSet {
        /// Name of the service.
        service: Name,
        /// All overrides in force.
        overrides: Vec<ManualOverride>,
    },
    /// A request of a caller arrived.
    RequestArrived {
        /// Number of the request.
        request: RequestId,
        /// Decisions of the policy.
        plan: RequestPlan,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the request.
        request: RequestId,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller closed its connection before the request was concluded.
    RequestCancelled(RequestId),
    /// An answer was truncated after its forwarding to the caller had begun.
    AnswerBroken {
        /// Name of the service.
        service: Name,
        /// Key of the target.
        target: TargetKey,
    },
    /// A verdict of a pooled outlier detector was received.
    VerdictReceived(Verdict),
    /// Another box reported that a target is draining.
    DrainingReceived {
        /// Name of the service.
        service: Name,
        /// Key of the target.
        target: TargetKey,
    },
    /// A probe of a draining target ended.
    ProbeEnded {
        /// Name of the service.
        service: Name,
        /// Key of the target.
        target: TargetKey,
        /// State that the target reported; `None` if the probe was not answered.
        state: Option<ReportedState>,
    },
    /// The periodic timer fired.
    TimerFired,
}

/// A command of the core of a box to its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxCommand {
    /// Sends a request to a target. An earlier attempt of it that is still open is cancelled.
    Send {
        /// Number of the request.
        request: RequestId,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Address of the target.
        target: Name,
        /// Whether to open a new connection, because a failure of a pooled one would leave the outcome unknown.
        fresh_connection: bool,
    },
    /// Concludes a request.
    Conclude {
        /// Number of the request.
        request: RequestId,
        /// Result for the caller.
        conclusion: Conclusion,
    },
    /// Probes a draining target, to find out whether it accepts requests again.
    Probe {
        /// Name of the service.
        service: Name,
        /// Address of the target.
        target: Name,
    },
    /// Sends evidence to the outlier detectors of the service.
    Report(EvidenceBatch),
    /// Notifies all boxes that a target is draining.
    AnnounceDraining {
        /// Name of the service.
        service: Name,
        /// Key of the target.
        target: TargetKey,
    },
    /// Reports that the state of a target changed in this box.
    HealthChanged(HealthTransition),
    /// Reports that the box suspects itself to be failing, because nearly all its attempts fail (true), or that it no
    /// longer does (false).
    SelfSuspected(bool),
}

/// A change of a target's state, for logs and the event trace.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthTransition {
    /// Name of the service.
    pub service: Name,
    /// Address of the target.
    pub target: Name,
    /// Previous state.
    pub from: HealthState,
    /// New state.
    pub to: HealthState,
    /// Reason for the change, for operators.
    pub reason: &'static str,
}

/// The result of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The answer of the last attempt is forwarded to the caller.
    Answered,
    /// No target ran the request.
    NotRun {
        /// Reason for the refusal.
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// A target may have run the request.
    Unknown {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The reason why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The service is not configured.
    UnknownService,
    /// No target accepts requests.
    NoTarget,
    /// The limits of the service in this box are reached.
    Overloaded,
    /// The caller has its maximum number of requests open or queued.
    CallerLimit,
    /// The request can't be answered by its deadline.
    Deadline,
    /// All targets that were tried refused the request or could not be reached.
    Refused,
}

impl RefuseReason {
    /// Returns a one-line explanation for the caller.
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

/// The finding of an outlier detector about a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Name of the service.
    pub service: Name,
    /// Key of the target.
    pub target: TargetKey,
    /// Conviction or acquittal.
    pub kind: VerdictKind,
    /// Paths to the target that the verdict covers.
    pub scope: VerdictScope,
    /// Kind of failure with the strongest evidence.
    pub cause: VerdictCause,
    /// Number of recent ejections of the target, including this one.
    pub flaps: u32,
    /// Time of the finding on the detector's clock, in microseconds. It orders ejections in the floor guard, so that
    /// boxes with the same verdicts exclude the same targets.
    pub stamp: u64,
}

/// The kinds of verdicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictKind {
    /// The target fails.
    Convicted,
    /// The trial of the target succeeded.
    Acquitted,
}

/// The kind of failure with the strongest evidence for a verdict.
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
    /// All causes; the index of a cause is its number in messages.
    pub const ALL: [VerdictCause; 3] =
        [VerdictCause::Errors, VerdictCause::Stalls, VerdictCause::Slowness];

    /// Returns a description for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            VerdictCause::Errors => "a judge saw more errors than elsewhere",
            VerdictCause::Stalls => "a judge saw more stalls than elsewhere",
            VerdictCause::Slowness => "a judge saw slower answers than elsewhere",
        }
    }
}

/// The paths to a target that a verdict covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VerdictScope {
    /// The path from the box that found the failure.
    Path,
    /// The paths from the detector's data centre.
    DataCentre,
    /// All paths to the target.
    Target,
}
