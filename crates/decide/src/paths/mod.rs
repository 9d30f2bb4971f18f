//! Whether this box still has paths to the targets.
//!
//! A box that reaches no target while its peers do has lost its paths; if the peers reach none either, the targets
//! are down. The two look the same in the attempts of one box, so this module counts, by service and over all
//! services, how many attempts in a row came to no contact. Any answer is a contact, also a failure or a refusal.

mod run;

use std::collections::HashMap;

use crate::names::{Name, TargetKey};
use crate::time::TimePoint;
pub use run::ContactFailure;
use run::FailureRun;

/// Number of attempts in a row without a contact from which paths count as failing. Single failures are common.
pub const MIN_FAILING: u32 = 3;

/// The targets that a statement about paths applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PathScope {
    /// The targets of all services.
    All,
    /// The targets of one service.
    Service(Name),
}

impl PathScope {
    /// Returns the name of the service; empty for all services.
    pub fn service(&self) -> &str {
        match self {
            PathScope::All => "",
            PathScope::Service(name) => name,
        }
    }
}

/// The state of the paths to the targets of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// Attempts come to contacts.
    Reaching,
    /// The last attempts came to no contact.
    Failing,
}

/// A change of the state of paths, with its evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct PathChange {
    /// The targets that the change applies to.
    pub scope: PathScope,
    /// The new state.
    pub state: PathState,
    /// Number of attempts in a row without a contact before the change.
    pub failures: u32,
    /// Number of different targets of these attempts, 8 at most.
    pub targets: usize,
    /// When the first of these attempts failed.
    pub since: TimePoint,
}

/// Counts the attempts of this box that come to no contact with their targets.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// Scopes whose last attempt came to no contact. All others are reaching.
    runs: HashMap<PathScope, FailureRun>,
}

impl PathMonitor {
    /// Records that a target of `service` has answered, in whatever way.
    pub fn record_contact(&mut self, service: &Name) -> Vec<PathChange> {
        if self.runs.is_empty() {
            return Vec::new();
        }
        let scopes = [PathScope::All, PathScope::Service(service.clone())];
        scopes.into_iter().filter_map(|scope| self.end_run(scope)).collect()
    }

    /// Records that an attempt at a target of `service` came to no contact.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        service: &Name,
        target: TargetKey,
        failure: ContactFailure,
    ) -> Vec<PathChange> {
        let scopes = [PathScope::All, PathScope::Service(service.clone())];
        let add = |scope: PathScope| {
            let run = self.runs.entry(scope.clone()).or_insert_with(|| FailureRun::new(now));
            run.add(target, failure);
            (run.failures == MIN_FAILING).then(|| path_change(scope, PathState::Failing, run))
        };
        scopes.into_iter().filter_map(add).collect()
    }

    fn end_run(&mut self, scope: PathScope) -> Option<PathChange> {
        let run = self.runs.remove(&scope)?;
        (run.failures >= MIN_FAILING).then(|| path_change(scope, PathState::Reaching, &run))
    }
}

fn path_change(scope: PathScope, state: PathState, run: &FailureRun) -> PathChange {
    let (failures, targets, since) = (run.failures, run.target_count(), run.since);
    PathChange { scope, state, failures, targets, since }
}
