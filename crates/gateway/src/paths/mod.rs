//! The paths from this box to the targets: records the contacts of its attempts, asks peers for theirs while none come
//! to one, and names the peers that handle requests while the paths are lost. The decisions are in
//! `wingbridge_decide::paths`.

mod watch;

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use wingbridge_decide::paths::{
    ContactCounts, ContactFailure, FailedAttempt, PathChange, PathMonitor, PathRoute, PathScope,
    PathState, PathStatement,
};
use wingbridge_decide::steer::{SteerCore, SteerOutcome};
use wingbridge_decide::{Name, TargetKey, TimePoint};
use wingbridge_wire::paths as wire;

use crate::context::{lock, millis};

pub(crate) use watch::watch_paths;

/// Tracks the contacts of this box with the targets.
#[derive(Debug)]
pub(crate) struct PathTracker {
    monitor: Mutex<PathMonitor>,
    /// Requests of this box that each peer is handling now.
    relayed: Mutex<HashMap<IpAddr, u32>>,
    /// Wakes the task that asks peers.
    wake: Sender<()>,
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
    /// Creates a tracker, and the channel on which it requests that peers are asked.
    pub(crate) fn new() -> (PathTracker, Receiver<()>) {
        let (wake, wakeups) = async_channel::bounded(1);
        let tracker = PathTracker { monitor: Mutex::default(), relayed: Mutex::default(), wake };
        (tracker, wakeups)
    }

    /// Records that the head of an answer has arrived from a target of `service`, to an attempt that began at
    /// `started`.
    pub(crate) fn record_contact(&self, now: TimePoint, started: TimePoint, service: &Name) {
        let changes = lock(&self.monitor).record_contact(started, service);
        log_changes(now, &changes);
    }

    /// Records the end of an attempt. Contacts were recorded when the answer began.
    pub(crate) fn record_end(
        &self,
        now: TimePoint,
        core: &SteerCore,
        attempt: TrackedAttempt<'_>,
        outcome: SteerOutcome,
    ) {
        match outcome {
            SteerOutcome::ConnectFailed => {
                self.record_failure(now, core, attempt, ContactFailure::NotConnected);
            }
            SteerOutcome::Incomplete | SteerOutcome::DeadlineExceeded => {
                self.record_failure(now, core, attempt, ContactFailure::Silent);
            }
            SteerOutcome::Good(_)
            | SteerOutcome::Failed
            | SteerOutcome::Shed
            | SteerOutcome::WrongTarget
            | SteerOutcome::Cancelled => {}
        }
    }

    /// Records that an attempt came to no contact.
    pub(crate) fn record_failure(
        &self,
        now: TimePoint,
        core: &SteerCore,
        attempt: TrackedAttempt<'_>,
        failure: ContactFailure,
    ) {
        let TrackedAttempt { service, target, started } = attempt;
        let kind = match failure {
            ContactFailure::NotConnected => "not-connected",
            ContactFailure::Silent => "silent",
        };
        metrics::counter!("wingbridge_attempts_without_contact", "kind" => kind).increment(1);
        let failed = FailedAttempt { target, started, failure };
        let listed = core.listed_targets(now, service);
        let mut monitor = lock(&self.monitor);
        let changes = monitor.record_failure(now, service, failed, listed);
        let is_watching = monitor.is_watching();
        drop(monitor);
        log_changes(now, &changes);
        if is_watching {
            // If the channel is full, the task is awake already.
            let _ = self.wake.try_send(());
        }
    }

    /// Returns whether the paths to the targets of `service` are lost.
    pub(crate) fn is_lost(&self, service: &Name) -> bool {
        self.state(service) == PathState::Lost
    }

    /// Returns whether what this box knows of targets was seen on sound paths.
    pub(crate) fn is_settled(&self, now: TimePoint) -> bool {
        lock(&self.monitor).is_settled(now)
    }

    /// Returns the state of the paths to the targets of `service`.
    pub(crate) fn state(&self, service: &Name) -> PathState {
        lock(&self.monitor).state(service)
    }

    /// Decides how the next attempt of a request is to reach a target.
    pub(crate) fn route(&self, now: TimePoint, service: &Name, repeatable: bool) -> PathRoute {
        lock(&self.monitor).route(now, service, repeatable)
    }

    /// Chooses an allowed peer to handle a request for `service`, and counts the request there until the guard is
    /// dropped.
    pub(crate) fn choose_peer(
        &self,
        now: TimePoint,
        service: &Name,
        is_allowed: impl Fn(IpAddr) -> bool,
    ) -> Option<RelayedGuard<'_>> {
        let mut relayed = lock(&self.relayed);
        let open = |peer| relayed.get(&peer).copied().unwrap_or_default();
        let monitor = lock(&self.monitor);
        let peer = monitor.choose_peer(now, service, is_allowed, open, &mut rand::rng())?;
        *relayed.entry(peer).or_default() += 1;
        Some(RelayedGuard { tracker: self, peer })
    }

    /// Records that a peer did not handle a request for `service`.
    pub(crate) fn record_declined(&self, peer: IpAddr, service: &Name) {
        lock(&self.monitor).record_declined(peer, service);
    }

    /// Returns what this box states of its contacts, to a peer that asked.
    pub(crate) fn statement(
        &self,
        now: TimePoint,
        question: &wire::PathQuestion,
        busy: usize,
    ) -> wire::PathStatement {
        let scope = PathScope::of(&question.service);
        let age = Duration::from_millis(question.age_ms.into());
        let monitor = lock(&self.monitor);
        let counts = monitor.count_contacts(now, &scope, age);
        wire::PathStatement {
            service: question.service.clone(),
            run: question.run,
            contacts: counts.contacts,
            failures: counts.failures,
            is_lost: monitor.is_lost(&scope),
            busy: u32::try_from(busy).unwrap_or(u32::MAX),
        }
    }

    /// Merges the statement of a peer.
    pub(crate) fn merge_statement(
        &self,
        now: TimePoint,
        peer: IpAddr,
        is_local: bool,
        message: &wire::PathStatement,
    ) {
        let (contacts, failures) = (message.contacts, message.failures);
        let counts = ContactCounts { contacts, failures };
        let (is_lost, busy) = (message.is_lost, message.busy);
        let statement = PathStatement { counts, is_lost, busy, is_local };
        let scope = PathScope::of(&message.service);
        let change = lock(&self.monitor).merge_statement(now, peer, &scope, message.run, statement);
        log_changes(now, change.as_slice());
    }
}

/// A request that a peer is handling, counted until the guard is dropped.
pub(crate) struct RelayedGuard<'a> {
    tracker: &'a PathTracker,
    pub(crate) peer: IpAddr,
}

impl Drop for RelayedGuard<'_> {
    fn drop(&mut self) {
        let mut relayed = lock(&self.tracker.relayed);
        if let Some(open) = relayed.get_mut(&self.peer) {
            *open -= 1;
            if *open == 0 {
                relayed.remove(&self.peer);
            }
        }
    }
}

fn log_changes(now: TimePoint, changes: &[PathChange]) {
    for change in changes {
        let PathChange { scope, state, failures, targets, since } = change;
        let event = match state {
            PathState::Reaching => "paths-restored",
            PathState::Failing => "paths-failing",
            PathState::Lost => "paths-lost",
        };
        let since_ms = millis(now.since(*since));
        log::warn!(service = scope.service(), failures, targets, since_ms; "{event}");
        metrics::counter!("wingbridge_path_changes", "event" => event).increment(1);
        let lost = if *state == PathState::Lost { 1.0 } else { 0.0 };
        metrics::gauge!("wingbridge_paths_lost", "service" => scope.service().to_string())
            .set(lost);
    }
}
