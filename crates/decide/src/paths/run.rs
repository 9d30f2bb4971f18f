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
    Silent {
        /// When the attempt began.
        started: TimePoint,
    },
}

/// Attempts of this box in a row, none of which came to a contact with its target: no answer of any kind.
#[derive(Debug, Clone)]
pub(crate) struct FailureRun {
    /// When the first of the attempts failed.
    pub(crate) since: TimePoint,
    /// Number of attempts.
    pub(crate) failures: u32,
    /// Number of attempts that began within the run and had a connection.
    pub(crate) silent: u32,
    targets: Vec<TargetKey>,
}

impl FailureRun {
    pub(crate) fn new(now: TimePoint) -> FailureRun {
        FailureRun { since: now, failures: 0, silent: 0, targets: Vec::new() }
    }

    pub(crate) fn add(&mut self, target: TargetKey, failure: ContactFailure) {
        self.failures = self.failures.saturating_add(1);
        // A connection that was open when the paths were lost may fall silent whatever new ones do.
        if matches!(failure, ContactFailure::Silent { started } if started > self.since) {
            self.silent += 1;
        }
        if self.targets.len() < MAX_TARGETS && !self.targets.contains(&target) {
            self.targets.push(target);
        }
    }

    /// Returns the number of different targets, [`MAX_TARGETS`] at most.
    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }
}
