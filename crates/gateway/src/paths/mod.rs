//! The paths from this box to the targets: records the contacts of its attempts, and logs when none come to one.
//! The decisions are in `wingbridge_decide::paths`.

use std::sync::Mutex;

use wingbridge_decide::paths::{ContactFailure, PathChange, PathMonitor, PathState};
use wingbridge_decide::steer::SteerOutcome;
use wingbridge_decide::{Name, TargetKey, TimePoint};

use crate::context::{lock, millis};

/// Tracks the contacts of this box with the targets.
#[derive(Debug, Default)]
pub(crate) struct PathTracker {
    monitor: Mutex<PathMonitor>,
}

/// An attempt whose contact with its target is recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrackedAttempt<'a> {
    pub(crate) service: &'a Name,
    pub(crate) target: TargetKey,
    /// When the attempt began.
    pub(crate) started: TimePoint,
}

impl PathTracker {
    /// Records that the head of an answer has arrived from a target of `service`.
    pub(crate) fn record_contact(&self, now: TimePoint, service: &Name) {
        let changes = lock(&self.monitor).record_contact(service);
        log_changes(now, &changes);
    }

    /// Records the end of an attempt. Contacts were recorded when the answer began.
    pub(crate) fn record_end(
        &self,
        now: TimePoint,
        attempt: TrackedAttempt<'_>,
        outcome: SteerOutcome,
    ) {
        match outcome {
            SteerOutcome::ConnectFailed => {
                self.record_failure(now, attempt, ContactFailure::NotConnected);
            }
            SteerOutcome::Incomplete | SteerOutcome::DeadlineExceeded => {
                self.record_silent(now, attempt);
            }
            SteerOutcome::Good(_)
            | SteerOutcome::Failed
            | SteerOutcome::Shed
            | SteerOutcome::WrongTarget
            | SteerOutcome::Cancelled => {}
        }
    }

    /// Records that nothing has come back over the connection of an attempt for longer than nearly all attempts take.
    pub(crate) fn record_silent(&self, now: TimePoint, attempt: TrackedAttempt<'_>) {
        self.record_failure(now, attempt, ContactFailure::Silent { started: attempt.started });
    }

    fn record_failure(&self, now: TimePoint, attempt: TrackedAttempt<'_>, failure: ContactFailure) {
        let TrackedAttempt { service, target, .. } = attempt;
        let kind = match failure {
            ContactFailure::NotConnected => "not-connected",
            ContactFailure::Silent { .. } => "silent",
        };
        metrics::counter!("wingbridge_attempts_without_contact", "kind" => kind).increment(1);
        let changes = lock(&self.monitor).record_failure(now, service, target, failure);
        log_changes(now, &changes);
    }
}

fn log_changes(now: TimePoint, changes: &[PathChange]) {
    for change in changes {
        let PathChange { scope, state, failures, targets, since } = change;
        let event = match state {
            PathState::Reaching => "paths-restored",
            PathState::Failing => "paths-failing",
        };
        let since_ms = millis(now.since(*since));
        log::warn!(service = scope.service(), failures, targets, since_ms; "{event}");
        metrics::counter!("wingbridge_path_changes", "event" => event).increment(1);
    }
}
