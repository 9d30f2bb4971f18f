//! Attempts in a row that came to no contact with their targets.

use crate::names::TargetKey;
use crate::time::TimePoint;

/// Number of different targets that a run remembers; more are not needed for a judgement.
const MAX_TARGETS: usize = 8;

/// How an attempt came to no contact with its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactFailure {
    /// No connection was established.
    NotConnected,
    /// A connection was established, and nothing came back over it.
    Silent,
}

/// Attempts of this box in a row, none of which came to a contact with its target: no answer of any kind.
#[derive(Debug, Clone)]
pub(crate) struct FailureRun {
    /// When the first of the attempts failed.
    pub(crate) since: TimePoint,
    /// When the last of the attempts failed.
    pub(crate) last: TimePoint,
    /// Number of attempts.
    pub(crate) failures: u32,
    /// Number of attempts that began within the run and had a connection.
    pub(crate) silent: u32,
    /// Number of targets that could be chosen at the last failure.
    pub(crate) listed: usize,
    targets: Vec<TargetKey>,
}

/// An attempt that came to no contact.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// The target.
    pub target: TargetKey,
    /// When the attempt began.
    pub started: TimePoint,
    /// How it failed.
    pub failure: ContactFailure,
}

impl FailureRun {
    pub(crate) fn new(now: TimePoint) -> FailureRun {
        let targets = Vec::new();
        FailureRun { since: now, last: now, failures: 0, silent: 0, listed: 0, targets }
    }

    pub(crate) fn add(&mut self, now: TimePoint, attempt: &FailedAttempt, listed: usize) {
        self.failures = self.failures.saturating_add(1);
        self.last = now;
        self.listed = listed;
        // A connection that was open when the paths were lost may fall silent whatever new ones do.
        if attempt.failure == ContactFailure::Silent && attempt.started > self.since {
            self.silent += 1;
        }
        if self.targets.len() < MAX_TARGETS && !self.targets.contains(&attempt.target) {
            self.targets.push(attempt.target);
        }
    }

    /// Returns the number of different targets, [`MAX_TARGETS`] at most.
    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }
}
