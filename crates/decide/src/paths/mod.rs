//! Whether this box still has paths to the targets.
//!
//! A box that reaches no target while its peers do has lost its paths; if the peers reach none either, the targets
//! are down. The two look the same in the attempts of one box, so this module counts, by service and over all
//! services, how many attempts in a row came to no contact, and asks peers for their contacts since then. Any answer
//! is a contact, also a failure or a refusal. While its paths are lost, a box has its requests handled by peers that
//! stated contacts, and probes whether the paths are back.

mod peers;
mod probe;
mod recent;
mod run;
mod state;

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;

use crate::names::{Name, TargetKey};
use crate::time::TimePoint;
use peers::PeerStatements;
use probe::PathProbes;
use recent::RecentAttempts;
use run::FailureRun;
use state::PathEvent;

pub use peers::PathStatement;
pub use recent::ContactCounts;
pub use run::{ContactFailure, FailedAttempt};
pub use state::{PathState, check_chart};

/// Number of attempts in a row without a contact from which paths count as failing. Single failures are common.
pub const MIN_FAILING: u32 = 3;
/// Number of different targets without which no judgement is made, unless there are fewer.
const MIN_TARGETS: usize = 3;
/// Time between two rounds of questions while paths are failing, at first. It doubles with each round.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two rounds of questions while paths are failing.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two rounds of questions while paths are lost, by which the peers in use change.
const LOST_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last failure after which a run says nothing any more.
const RUN_LIFETIME: Duration = Duration::from_secs(10);
/// Time after which nothing that was seen on lost paths counts against a target any more: failure estimates fade in a few
/// seconds.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Contacts that peers had this shortly after the paths began to fail may be from before that, since the boxes lose
/// their paths at slightly different moments.
const CONTACT_MARGIN: Duration = Duration::from_millis(50);

/// The targets that a statement about paths applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PathScope {
    /// The targets of all services.
    All,
    /// The targets of one service.
    Service(Name),
}

impl PathScope {
    /// Returns the scope of a service by its name, which is empty for all services.
    pub fn of(service: &str) -> PathScope {
        if service.is_empty() { PathScope::All } else { PathScope::Service(service.into()) }
    }

    /// Returns the name of the service; empty for all services.
    pub fn service(&self) -> &str {
        match self {
            PathScope::All => "",
            PathScope::Service(name) => name,
        }
    }
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

/// A question to peers: their contacts since the paths of this box began to fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathQuestion {
    /// The targets that the question is about.
    pub scope: PathScope,
    /// Identifies the run of failures. Statements about an earlier run are dropped.
    pub run: u64,
    /// Time since the paths began to fail.
    pub age: Duration,
}

/// The numbers of targets that can be chosen now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedTargets {
    /// Those of the service.
    pub of_service: usize,
    /// Those of all services.
    pub all: usize,
}

/// How a request is to reach a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathRoute {
    /// By an attempt of this box.
    Direct,
    /// By a peer.
    Relay,
}

/// Judges whether this box has lost its paths to the targets.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// Scopes whose last attempt came to no contact. All others are reaching.
    scopes: HashMap<PathScope, ScopePaths>,
    recent: RecentAttempts,
    runs: u64,
    /// When paths were last known to be lost.
    lost_at: Option<TimePoint>,
}

/// The paths to the targets of a scope since the first of the attempts without a contact.
#[derive(Debug)]
struct ScopePaths {
    state: PathState,
    number: u64,
    run: FailureRun,
    statements: PeerStatements,
    ask_due: TimePoint,
    ask_interval: Duration,
    probes: PathProbes,
}

impl PathMonitor {
    /// Records that a target of `service` has answered, in whatever way, an attempt that began at `started`.
    pub fn record_contact(&mut self, started: TimePoint, service: &Name) -> Vec<PathChange> {
        self.recent.record(started, service, true);
        if self.scopes.is_empty() {
            return Vec::new();
        }
        // A connection from before the first failure may live on while new ones fail.
        let ends = |scope: &PathScope| {
            self.scopes.get(scope).is_some_and(|paths| started >= paths.run.since)
        };
        let ended = scopes_of(service).into_iter().filter(ends);
        let ended: Vec<PathScope> = ended.collect();
        ended.iter().filter_map(|scope| self.end_run(scope)).collect()
    }

    /// Records that an attempt at a target of `service` came to no contact.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        service: &Name,
        attempt: FailedAttempt,
        listed: ListedTargets,
    ) -> Vec<PathChange> {
        self.recent.record(attempt.started, service, false);
        let [all, one] = scopes_of(service);
        let changes = [(all, listed.all), (one, listed.of_service)].map(|(scope, listed)| {
            let paths = self.scopes.entry(scope.clone()).or_insert_with(|| {
                self.runs += 1;
                ScopePaths::new(now, self.runs)
            });
            paths.run.add(now, &attempt, listed);
            paths.probes.record_failed(now);
            if paths.run.failures < MIN_FAILING {
                return None;
            }
            let change = paths.apply(&scope, PathEvent::Failed);
            paths.judge(now, &scope).or(change)
        });
        changes.into_iter().flatten().collect()
    }

    /// Returns the questions that are due to peers, and drops what says nothing any more.
    pub fn take_questions(&mut self, now: TimePoint) -> (Vec<PathQuestion>, Vec<PathChange>) {
        let mut changes = Vec::new();
        self.scopes.retain(|scope, paths| {
            let outlived = now.since(paths.run.last) >= RUN_LIFETIME;
            if paths.state == PathState::Lost && !paths.statements.has_reaching(now) {
                changes.extend(paths.apply(scope, PathEvent::PeersSilent));
            }
            let is_dropped = outlived && paths.state != PathState::Lost;
            if is_dropped {
                changes.extend(paths.change(scope, PathEvent::Outdated));
            }
            !is_dropped
        });
        if self.scopes.values().any(|paths| paths.state == PathState::Lost) {
            self.lost_at = Some(now);
        }
        // If no service is reached, the questions about all of them say the same as those about each.
        let only_all = self.state_of(&PathScope::All) != PathState::Reaching;
        let asked = self.scopes.iter_mut().filter(|(scope, paths)| {
            paths.state != PathState::Reaching && (!only_all || **scope == PathScope::All)
        });
        let questions = asked.filter_map(|(scope, paths)| paths.take_question(now, scope));
        (questions.collect(), changes)
    }

    /// Returns whether paths are failing or lost, so that peers are to be asked.
    pub fn is_watching(&self) -> bool {
        self.scopes.values().any(|paths| paths.state != PathState::Reaching)
    }

    /// Returns whether what this box knows of targets was seen on sound paths: its last attempt came to a contact, and no
    /// paths were lost within [`SETTLE_TIME`].
    pub fn is_settled(&self, now: TimePoint) -> bool {
        !self.scopes.contains_key(&PathScope::All)
            && !self.is_watching()
            && self.lost_at.is_none_or(|lost_at| now.since(lost_at) >= SETTLE_TIME)
    }

    /// Returns what this box states of its attempts within `age`, to a peer that asked.
    pub fn count_contacts(
        &self,
        now: TimePoint,
        scope: &PathScope,
        age: Duration,
    ) -> ContactCounts {
        self.recent.count(now, scope, age.saturating_sub(CONTACT_MARGIN))
    }

    /// Merges the statement of a peer about the run of failures that it was asked about.
    pub fn merge_statement(
        &mut self,
        now: TimePoint,
        peer: IpAddr,
        scope: &PathScope,
        run: u64,
        statement: PathStatement,
    ) -> Option<PathChange> {
        let paths = self.scopes.get_mut(scope).filter(|paths| paths.number == run)?;
        paths.statements.insert(now, peer, statement);
        paths.judge(now, scope)
    }

    /// Records that a peer did not handle a request for `service`. It is chosen again for that service after its next
    /// statement.
    pub fn record_declined(&mut self, peer: IpAddr, service: &Name) {
        self.scopes.values_mut().for_each(|paths| paths.statements.record_declined(peer, service));
    }

    /// Returns whether the paths to the targets of a scope are lost, also as a part of a wider one.
    pub fn is_lost(&self, scope: &PathScope) -> bool {
        [scope, &PathScope::All].iter().any(|scope| self.state_of(scope) == PathState::Lost)
    }

    /// Returns the state of the paths to the targets of `service`.
    pub fn state(&self, service: &Name) -> PathState {
        let scope = PathScope::Service(service.clone());
        if self.is_lost(&scope) { PathState::Lost } else { self.state_of(&scope) }
    }

    /// Decides how the next attempt of a request for `service` is to reach a target.
    pub fn route(&mut self, now: TimePoint, service: &Name, repeatable: bool) -> PathRoute {
        let Some(scope) = self.lost_scope(service) else {
            return PathRoute::Direct;
        };
        let paths = self.scopes.get_mut(&scope);
        if paths.is_some_and(|paths| paths.probes.take_trial(now, repeatable)) {
            return PathRoute::Direct;
        }
        PathRoute::Relay
    }

    /// Chooses a peer to handle a request for `service`; `None` if no allowed one has contacts. `open` returns how
    /// many requests of this box a peer is handling.
    pub fn choose_peer(
        &self,
        now: TimePoint,
        service: &Name,
        is_allowed: impl Fn(IpAddr) -> bool,
        open: impl Fn(IpAddr) -> u32,
        random: &mut impl Rng,
    ) -> Option<IpAddr> {
        let [all, one] = scopes_of(service);
        let scopes = [one, all].into_iter().filter_map(|scope| self.scopes.get(&scope));
        let mut chosen =
            scopes.map(|paths| paths.statements.choose(now, service, &is_allowed, &open, random));
        chosen.find_map(|peer| peer)
    }

    /// Returns the scopes whose lost paths are to be probed now.
    pub fn due_probes(&self, now: TimePoint) -> Vec<PathScope> {
        let is_due =
            |paths: &ScopePaths| paths.state == PathState::Lost && paths.probes.is_due(now);
        let due = self.scopes.iter().filter(|(_, paths)| is_due(paths));
        due.map(|(scope, _)| scope.clone()).collect()
    }

    /// Records whether a connection for a probe came up, of `listed` targets that could be probed.
    pub fn record_probe(
        &mut self,
        now: TimePoint,
        scope: &PathScope,
        target: TargetKey,
        connected: bool,
        listed: usize,
    ) -> Option<PathChange> {
        let paths = self.scopes.get_mut(scope).filter(|paths| paths.state == PathState::Lost)?;
        let is_enough = paths.probes.record(now, target, connected, listed);
        // Connections that come up prove nothing if they came up while nothing was answered.
        if !is_enough || paths.run.silent > 0 {
            return None;
        }
        self.end_run(scope)
    }

    /// Ends the run of a scope, since its paths are sound. Returns the change.
    fn end_run(&mut self, scope: &PathScope) -> Option<PathChange> {
        let paths = self.scopes.remove(scope)?;
        if *scope == PathScope::All && paths.state == PathState::Lost {
            // The failures of single services were those of all paths.
            self.scopes.retain(|_, paths| paths.state == PathState::Lost);
        }
        paths.change(scope, PathEvent::Contact)
    }

    fn lost_scope(&self, service: &Name) -> Option<PathScope> {
        scopes_of(service).into_iter().find(|scope| self.state_of(scope) == PathState::Lost)
    }

    fn state_of(&self, scope: &PathScope) -> PathState {
        self.scopes.get(scope).map_or(PathState::Reaching, |paths| paths.state)
    }
}

impl ScopePaths {
    fn new(now: TimePoint, number: u64) -> ScopePaths {
        ScopePaths {
            state: PathState::Reaching,
            number,
            run: FailureRun::new(now),
            statements: PeerStatements::default(),
            ask_due: now,
            ask_interval: FIRST_ASK_INTERVAL,
            probes: PathProbes::new(now),
        }
    }

    /// Judges the paths as lost if peers have contacts and the run of failures is no chance.
    fn judge(&mut self, now: TimePoint, scope: &PathScope) -> Option<PathChange> {
        let has_targets = self.run.target_count() >= MIN_TARGETS.min(self.run.listed.max(1));
        let conclusive = self.statements.conclusive_failures(now)?;
        if self.state != PathState::Failing || !has_targets || self.run.failures < conclusive {
            return None;
        }
        self.probes = PathProbes::new(now);
        self.apply(scope, PathEvent::PeersReach)
    }

    fn take_question(&mut self, now: TimePoint, scope: &PathScope) -> Option<PathQuestion> {
        if now < self.ask_due {
            return None;
        }
        if self.state == PathState::Lost {
            self.ask_due = now + LOST_ASK_INTERVAL;
        } else {
            self.ask_due = now + self.ask_interval;
            self.ask_interval = (self.ask_interval * 2).min(MAX_ASK_INTERVAL);
        }
        let age = now.since(self.run.since);
        Some(PathQuestion { scope: scope.clone(), run: self.number, age })
    }

    /// Applies an event. Returns the change if the state is another one now.
    fn apply(&mut self, scope: &PathScope, event: PathEvent) -> Option<PathChange> {
        let change = self.change(scope, event)?;
        self.state = change.state;
        Some(change)
    }

    /// Returns the change that an event makes.
    fn change(&self, scope: &PathScope, event: PathEvent) -> Option<PathChange> {
        let state = self.state.next(event);
        let (failures, targets, since) =
            (self.run.failures, self.run.target_count(), self.run.since);
        let scope = scope.clone();
        (state != self.state).then_some(PathChange { scope, state, failures, targets, since })
    }
}

fn scopes_of(service: &Name) -> [PathScope; 2] {
    [PathScope::All, PathScope::Service(service.clone())]
}
