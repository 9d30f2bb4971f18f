//! Requests that go to a peer, because this box has no paths to the targets.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingbridge_decide::Name;
use wingbridge_decide::paths::{PathRoute, PathState};
use wingbridge_wire::relay::RelayRequest;

use super::{RequestRun, home_regions};
use crate::answers::{CallerAnswer, CallerOutcome};
use crate::context::millis;
use crate::customers::PresentedKey;
use crate::relay::AttemptTotals;
use crate::relay::client::{RelayEnd, RelayedAnswer, offer};
use crate::requests::final_answers::forwarded_answer;

/// Maximum number of peers that are asked to handle one request.
const MAX_PEERS: usize = 3;
/// Time that is kept from the peer for the way of its answer to this box.
const RETURN_TIME: Duration = Duration::from_millis(15);

/// How a peer's part in a request ended.
enum PeerStep {
    /// The caller gets this answer.
    Answer(CallerAnswer),
    /// Another peer may handle the request.
    Next,
}

impl RequestRun {
    /// Returns whether the next attempt is to be made by a peer.
    pub(super) fn goes_to_peer(&self) -> bool {
        let (context, service) = (&self.context, &self.plan.service);
        let repeatable = self.plan.policy.repeatable;
        !self.is_relayed
            && context.paths.route(context.now(), service, repeatable) == PathRoute::Relay
    }

    /// Ends a request for which no target is left. If no target has received it and paths are failing, a peer may still
    /// reach one.
    pub(super) async fn end_without_target(&mut self, reason: &'static str) -> CallerAnswer {
        let is_undelivered = self.deliveries == 0 && !self.outgoing.is_body_consumed();
        let is_failing = self.context.paths.state(&self.plan.service) != PathState::Reaching;
        if is_undelivered
            && is_failing
            && !self.is_relayed
            && let Some(answer) = self.relay_to_peers().await
        {
            return answer;
        }
        self.give_up(reason)
    }

    /// Has a peer handle the request, or a second one if the first does not take it. Returns `None` if none did.
    pub(super) async fn relay_to_peers(&mut self) -> Option<CallerAnswer> {
        while self.asked_peers.len() < MAX_PEERS && !self.outgoing.is_body_consumed() {
            match self.relay_to_one().await? {
                PeerStep::Answer(answer) => return Some(answer),
                // The peer was asked to end the request; another one would have no time for it.
                PeerStep::Next if self.is_ending() => {
                    return Some(self.give_up_stopping(self.end_reason()));
                }
                PeerStep::Next => {}
            }
        }
        None
    }

    /// Has one peer handle the request. Returns `None` if there is none.
    async fn relay_to_one(&mut self) -> Option<PeerStep> {
        let context = Arc::clone(&self.context);
        let is_allowed = |peer| self.may_handle(peer);
        let guard = context.paths.choose_peer(context.now(), &self.plan.service, is_allowed)?;
        let peer = guard.peer;
        self.asked_peers.push(peer);
        if let Some(token) = &mut self.token {
            if self.possible_runs > 0 {
                token.record_resent();
            }
            token.record_sent();
        }
        let deadline = self.deadline();
        let agreed = match offer(&context, peer, self.relay_request(deadline), deadline).await {
            Ok(agreed) => agreed,
            Err(reason) => return Some(self.handle_declined(peer, &reason)),
        };
        self.trace.record_relayed_to(peer);
        self.peer_part.begin(&agreed);
        let end = agreed.handle(&self.outgoing, deadline).await;
        self.peer_part.end();
        drop(guard);
        Some(self.handle_relay_end(peer, end))
    }

    /// Returns whether the box at `peer` may handle the request. One in a region that is not a home must not receive its
    /// body.
    fn may_handle(&self, peer: IpAddr) -> bool {
        let settings = &self.context.settings;
        let region =
            self.context.peers().find(peer).map(|found| settings.region_of(&found.data_centre));
        let is_home = region.is_some_and(|region| home_regions(&self.plan).allow(&region));
        is_home && !self.asked_peers.contains(&peer)
    }

    fn relay_request(&self, deadline: Instant) -> RelayRequest {
        let path = self.outgoing.target.split('?').next().unwrap_or_default();
        let key_digest = match self.plan.key {
            PresentedKey::Digest(digest) => digest.as_bytes().to_vec(),
            PresentedKey::Absent | PresentedKey::Malformed(_) => Vec::new(),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        RelayRequest {
            box_id: self.context.settings.box_id.clone(),
            host: self.plan.route.host.to_string(),
            path: path.to_string(),
            service: self.plan.service.to_string(),
            key_digest,
            remaining_ms: millis(remaining.saturating_sub(RETURN_TIME)),
            repeatable: self.plan.policy.repeatable,
            max_attempts: self.plan.policy.max_attempts,
            possible_runs: self.possible_runs,
            deliveries: self.deliveries,
            has_homes: self.plan.homes.is_some(),
            homes: self
                .plan
                .homes
                .iter()
                .flat_map(|homes| homes.iter())
                .map(Name::to_string)
                .collect(),
            due_return: self.due_return,
            age_ms: millis(self.received_at.elapsed()),
        }
    }

    fn handle_declined(&mut self, peer: IpAddr, reason: &str) -> PeerStep {
        self.context.paths.record_declined(peer, &self.plan.service);
        self.trace.record_relay_failure(peer, reason);
        metrics::counter!("wingbridge_relays", "result" => "declined").increment(1);
        PeerStep::Next
    }

    fn handle_relay_end(&mut self, peer: IpAddr, end: RelayEnd) -> PeerStep {
        let (result, step) = match end {
            RelayEnd::Broken(reason) => {
                self.context.paths.record_declined(peer, &self.plan.service);
                self.trace.record_relay_failure(peer, &reason);
                self.record_possible_runs_at_peer();
                let reason = "the box that handled it gave no whole answer";
                ("broken", PeerStep::Answer(self.give_up(reason)))
            }
            RelayEnd::Handled(handled) => self.handle_relayed_answer(peer, *handled),
        };
        metrics::counter!("wingbridge_relays", "result" => result).increment(1);
        step
    }

    fn handle_relayed_answer(
        &mut self,
        peer: IpAddr,
        handled: RelayedAnswer,
    ) -> (&'static str, PeerStep) {
        let RelayedAnswer { outcome, totals, answer } = handled;
        let before = self.deliveries;
        self.record_totals(totals);
        // The peer has found no path either, or no target that takes the request.
        if outcome == CallerOutcome::NotRun && totals.deliveries == before {
            self.context.paths.record_declined(peer, &self.plan.service);
            self.trace.record_relay_failure(peer, "it reached no target");
            if self.asked_peers.len() < MAX_PEERS {
                return ("not-run", PeerStep::Next);
            }
        }
        let reason = match outcome {
            CallerOutcome::Answered => "a target's answer, by way of another box",
            _ => "the answer of the box that handled it",
        };
        let answer = CallerAnswer { outcome, reason, ..forwarded_answer(answer) };
        (outcome.as_str(), PeerStep::Answer(answer))
    }

    /// Records that a peer got the request and gave no result. How many targets it has sent it to is not known: all
    /// that were allowed.
    pub(super) fn record_possible_runs_at_peer(&mut self) {
        self.record_possible_run();
        self.possible_runs = self.possible_runs.max(self.plan.policy.max_attempts);
    }

    /// Takes over the attempts that a peer has made. Each run beyond the first is charged to the customer.
    fn record_totals(&mut self, totals: AttemptTotals) {
        let charged = self.possible_runs.max(1);
        if let Some(token) = &self.token {
            (charged..totals.possible_runs).for_each(|_| token.record_resent());
        }
        self.possible_runs = self.possible_runs.max(totals.possible_runs);
        self.deliveries = self.deliveries.max(totals.deliveries);
    }
}
