//! The exchange: the thread that makes all decisions of the agent.
//!
//! It feeds the pure cores ([`SpreadCore`] for configuration and membership, [`OutlierDetector`]
//! for evidence) with events from connections, the store, the timer and operators, and executes the
//! commands that the cores return.

mod evidence;
mod queries;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use wingbridge_config::{OVERRIDES_PREFIX, POLICY_PREFIX, SERVICE_PREFIX, parse_service};
use wingbridge_decide::{OutlierDetector, TimePoint};
use wingbridge_process::ProcessClock;
use wingbridge_spread::core::SpreadEvent;
use wingbridge_spread::duplicate_filter::DuplicateFilter;
use wingbridge_spread::{BoxIdentity, SpreadCommand, SpreadCore};
use wingbridge_trace::EventTrace;
use wingbridge_wire::convert::verdict_message;
use wingbridge_wire::{
    CaughtUp, Digest, Entries, Entry, Events, FrameBody, KeyStamp, ProxyState, Readiness, Stamp,
    VerdictMessage, Verdicts,
};

use crate::events::AgentEvent;
use crate::links::{PeerLinks, SEED_PREFIX};
use crate::outgoing_evidence::OutgoingEvidence;
use crate::self_suspicion::SelfSuspicion;
use crate::store_sync::StoreControl;

/// Period of the exchange's timer.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of updates that are remembered as already received.
const MAX_RECEIVED_UPDATES: usize = 4096;
/// Time for which verdicts and draining reports are also sent to boxes that connect later.
const RECENT_UPDATE_PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of entries in one message to the proxy.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;

/// The components that the exchange is built from.
pub(crate) struct ExchangeParts {
    pub(crate) identity: BoxIdentity,
    pub(crate) core: SpreadCore,
    pub(crate) links: PeerLinks,
    pub(crate) trace: EventTrace,
    pub(crate) clock: ProcessClock,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) store_control: StoreControl,
}

/// The exchange with its state.
pub(crate) struct Exchange {
    parts: ExchangeParts,
    detector: OutlierDetector,
    suspicion: SelfSuspicion,
    proxy: Option<Sender<FrameBody>>,
    proxy_state: ProxyState,
    in_force: HashMap<String, Stamp>,
    outgoing: OutgoingEvidence,
    received_updates: DuplicateFilter<UpdateId>,
    recent_updates: Vec<(TimePoint, FrameBody)>,
    draining_reports: u64,
    store_reachable: Option<bool>,
    complete: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum UpdateId {
    Verdict { service: String, target: u64, stamp: u64, convicted: bool },
    Draining { origin: String, number: u64 },
}

impl Exchange {
    pub(crate) fn new(mut parts: ExchangeParts) -> Exchange {
        let seeds = parts.seeds.iter().map(|seed| Arc::from(format!("{SEED_PREFIX}{seed}")));
        parts.core.set_seed_peers(seeds.collect());
        let detector = OutlierDetector::pooled(&parts.identity.data_centre);
        Exchange {
            parts,
            detector,
            suspicion: SelfSuspicion::default(),
            proxy: None,
            proxy_state: ProxyState::default(),
            in_force: HashMap::new(),
            outgoing: OutgoingEvidence::default(),
            received_updates: DuplicateFilter::new(MAX_RECEIVED_UPDATES),
            recent_updates: Vec::new(),
            draining_reports: 0,
            store_reachable: None,
            complete: false,
        }
    }

    /// Handles events until the queue is closed.
    pub(crate) fn run(mut self, events: &Receiver<AgentEvent>) {
        while let Ok(event) = events.recv_blocking() {
            let now = TimePoint::from_micros(self.parts.clock.micros());
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: TimePoint, event: AgentEvent) {
        match event {
            AgentEvent::TimerFired => self.tick(now),
            AgentEvent::StoreRead { entries, reachable } => {
                self.set_store_reachable(reachable);
                if reachable {
                    self.drive_core(now, SpreadEvent::StoreRead(entries));
                }
            }
            AgentEvent::PeerConnected { peer, queue } => self.on_peer_connected(now, peer, queue),
            AgentEvent::PeerClosed { peer } => self.parts.links.close(&peer),
            AgentEvent::Received { from, body } => self.receive(now, &from, body),
            AgentEvent::ProxyConnected { queue } => self.on_proxy_connected(queue),
            AgentEvent::AdminRequest { query, reply } => {
                // The reply is closed if the operator has disconnected.
                let _ = reply.try_send(self.answer(query));
            }
        }
    }

    fn tick(&mut self, now: TimePoint) {
        self.drive_core(now, SpreadEvent::TimerFired);
        let identity = &self.parts.identity;
        let watches = self.parts.core.members().watches(identity);
        self.parts.store_control.watch.store(watches, Ordering::Release);
        self.send_evidence(now);
        for verdict in self.detector.tick(now) {
            let message = verdict_message(&verdict);
            self.parts.trace.record(
                "target-judged",
                &[
                    ("service", &verdict.service),
                    ("target", &format!("{:016x}", verdict.target.0)),
                    ("verdict", if message.convicted { "convicted" } else { "acquitted" }),
                    ("scope", scope_name(message.scope)),
                ],
            );
            self.relay_verdict(now, None, message);
        }
        if let Some(suspended) = self.suspicion.tick(now) {
            self.set_readiness(!suspended);
        }
        self.recent_updates.retain(|(at, _)| now.since(*at) < RECENT_UPDATE_PERIOD);
        self.parts.links.close_idle();
    }

    fn drive_core(&mut self, now: TimePoint, event: SpreadEvent) {
        let mut commands = Vec::new();
        self.parts.core.handle(now.as_micros(), event, &mut commands);
        let mut applied = Vec::new();
        for command in commands {
            match command {
                SpreadCommand::Send { to, body } => self.send(&to, body),
                SpreadCommand::Apply(entry) => applied.push(entry),
            }
        }
        if !applied.is_empty() {
            self.apply(&applied);
        }
        if !self.complete && self.parts.core.is_complete() {
            self.complete = true;
            self.parts.trace.record("box-whole", &[]);
            self.send_to_proxy(FrameBody::CaughtUp(CaughtUp { complete: true }));
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Some(name) = entry.key.strip_prefix(SERVICE_PREFIX) {
                self.configure_detector(name, entry);
            }
            if is_config(&entry.key) {
                let generation = entry.stamp.generation.to_string();
                let fields = [("key", entry.key.as_str()), ("generation", generation.as_str())];
                self.parts.trace.record("config-received", &fields);
            }
        }
        self.send_config(entries.iter());
    }

    fn configure_detector(&mut self, name: &str, entry: &Entry) {
        if entry.deleted {
            self.detector.remove(name);
            return;
        }
        match parse_service(&entry.text) {
            Ok(service) => self.detector.configure(&service.setup),
            Err(error) => {
                log::error!(key = entry.key.as_str(), reason:% = error; "config-refused");
            }
        }
    }

    fn receive(&mut self, now: TimePoint, from: &Arc<str>, body: FrameBody) {
        if **from == *self.parts.identity.box_id {
            return self.receive_from_proxy(now, body);
        }
        match body {
            FrameBody::Evidence(evidence) => self.merge_evidence(now, &evidence),
            FrameBody::Verdicts(verdicts) => {
                for verdict in verdicts.verdicts {
                    self.relay_verdict(now, Some(from), verdict);
                }
            }
            FrameBody::Draining(draining) => self.relay_draining(now, Some(from), draining),
            body => {
                if let FrameBody::Digest(Digest { failing, .. }) = &body {
                    self.suspicion.record_peer(now, from, *failing);
                }
                self.drive_core(now, SpreadEvent::Received { from: from.clone(), body });
            }
        }
    }

    fn receive_from_proxy(&mut self, now: TimePoint, body: FrameBody) {
        match body {
            FrameBody::Evidence(evidence) => self.route_evidence(now, &evidence),
            FrameBody::Draining(mut draining) => {
                self.draining_reports += 1;
                draining.origin = self.parts.identity.box_id.to_string();
                // The time keeps the numbers unique across restarts of this agent.
                draining.number = now.as_micros().wrapping_add(self.draining_reports);
                self.relay_draining(now, None, draining);
            }
            FrameBody::InForce(stamps) => {
                for KeyStamp { key, stamp } in stamps.stamps {
                    self.in_force.insert(key, stamp);
                }
            }
            FrameBody::ProxyState(state) => {
                self.suspicion.record_own(state.failing);
                self.parts.core.set_failing(state.failing);
                self.proxy_state = state;
            }
            FrameBody::Events(events) => self.record_events(events),
            _ => {}
        }
    }

    fn record_events(&self, events: Events) {
        for event in events.events {
            if let Ok(event) = serde_json::from_str(&event) {
                self.parts.trace.record_remote(event);
            }
        }
    }

    fn on_peer_connected(&mut self, now: TimePoint, peer: Arc<str>, queue: Sender<FrameBody>) {
        let same_data_centre = self
            .parts
            .core
            .members()
            .get(&peer)
            .is_none_or(|member| *member.data_centre == *self.parts.identity.data_centre);
        for (at, body) in &self.recent_updates {
            let fleet_wide = matches!(body, FrameBody::Draining(_));
            if now.since(*at) < RECENT_UPDATE_PERIOD && (fleet_wide || same_data_centre) {
                let _ = queue.try_send(body.clone());
            }
        }
        self.parts.links.accept(peer, queue);
    }

    fn on_proxy_connected(&mut self, queue: Sender<FrameBody>) {
        self.proxy = Some(queue);
        self.in_force.clear();
        self.parts.trace.record("proxy-connected", &[]);
        self.send_config(self.parts.core.map().entries());
        for (_, body) in self.recent_updates.clone() {
            self.send_to_proxy(body);
        }
        let verdicts: Vec<VerdictMessage> =
            self.detector.verdicts_in_force().iter().map(verdict_message).collect();
        if !verdicts.is_empty() {
            self.send_to_proxy(FrameBody::Verdicts(Verdicts { verdicts }));
        }
        self.send_to_proxy(FrameBody::CaughtUp(CaughtUp { complete: self.complete }));
    }

    /// Sends the proxy the entries that are configuration, in messages of bounded length.
    fn send_config<'a>(&self, entries: impl Iterator<Item = &'a Entry>) {
        let config: Vec<Entry> = entries.filter(|entry| is_config(&entry.key)).cloned().collect();
        for part in config.chunks(MAX_ENTRIES_PER_MESSAGE) {
            let entries = part.to_vec();
            self.send_to_proxy(FrameBody::Entries(Entries { entries, push: false }));
        }
    }

    fn send_to_proxy(&self, body: FrameBody) {
        let Some(proxy) = &self.proxy else { return };
        // The proxy's queue is drained by a writer of its own. A queue that stays full means that
        // the proxy is stuck; it receives everything it missed on its next connection.
        if let Err(async_channel::TrySendError::Full(_)) = proxy.try_send(body) {
            proxy.close();
        }
    }

    fn set_readiness(&self, allowed: bool) {
        let reason = if allowed { "" } else { "most attempts fail here and not in other boxes" };
        self.parts
            .trace
            .record(if allowed { "box-well-again" } else { "box-holds-itself-sick" }, &[]);
        log::warn!(allowed; "box-readiness-changed");
        self.send_to_proxy(FrameBody::Readiness(Readiness { allowed, reason: reason.into() }));
    }

    fn send(&mut self, to: &Arc<str>, body: FrameBody) {
        let address = match to.strip_prefix(SEED_PREFIX) {
            Some(address) => address.parse().ok(),
            None => {
                let member = self.parts.core.members().get(to);
                member.and_then(|member| member.address.parse().ok())
            }
        };
        self.parts.links.send(to, address, body);
    }

    fn set_store_reachable(&mut self, reachable: bool) {
        if self.store_reachable == Some(reachable) {
            return;
        }
        self.store_reachable = Some(reachable);
        let kind = if reachable { "store-reached" } else { "store-lost" };
        self.parts.trace.record(kind, &[]);
        log::info!(reachable; "store-reachability-changed");
    }
}

/// Returns whether `key` belongs to the operators' configuration, which proxies put in force.
fn is_config(key: &str) -> bool {
    [SERVICE_PREFIX, POLICY_PREFIX, OVERRIDES_PREFIX].iter().any(|prefix| key.starts_with(prefix))
}

fn scope_name(scope: u32) -> &'static str {
    match scope {
        0 => "path",
        1 => "data centre",
        _ => "target",
    }
}
