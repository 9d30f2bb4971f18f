//! The exchange: the one thread that decides for the agent.
//!
//! It drives the pure cores ([`SpreadCore`] for configuration and membership,
//! [`OutlierDetector`] for evidence) with what connections, the store, the timer and
//! operators put into its ring, and sends what they command.

mod evidence;
mod questions;

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
use wingbridge_spread::gossip::HeardNews;
use wingbridge_spread::{BoxIdentity, SpreadCommand, SpreadCore};
use wingbridge_trace::EventTrace;
use wingbridge_wire::convert::verdict_message;
use wingbridge_wire::{
    CaughtUp, Digest, Entries, Entry, Events, FrameBody, KeyStamp, ProxyState, Readiness, Stamp,
    VerdictMessage, Verdicts,
};

use crate::events::AgentEvent;
use crate::links::{PeerLinks, SEED_PREFIX};
use crate::outgoing::OutgoingEvidence;
use crate::self_suspicion::SelfSuspicion;
use crate::store_duty::StoreOrders;

/// Period of the exchange's timer.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Pieces of news that are remembered as heard.
const HEARD: usize = 4096;
/// Verdicts and leavings are told to boxes that join within this time.
const RECENT: Duration = Duration::from_secs(60);
/// Entries in one message to the proxy.
const ENTRIES_AT_ONCE: usize = 64;

/// What the exchange is made of.
pub(crate) struct ExchangeParts {
    pub(crate) identity: BoxIdentity,
    pub(crate) core: SpreadCore,
    pub(crate) links: PeerLinks,
    pub(crate) line: EventTrace,
    pub(crate) clock: ProcessClock,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) orders: StoreOrders,
}

/// The state of the exchange.
pub(crate) struct Exchange {
    parts: ExchangeParts,
    detector: OutlierDetector,
    suspicion: SelfSuspicion,
    proxy: Option<Sender<FrameBody>>,
    proxy_state: ProxyState,
    in_force: HashMap<String, Stamp>,
    outgoing: OutgoingEvidence,
    heard: HeardNews<NewsKey>,
    recent: Vec<(TimePoint, FrameBody)>,
    leavings: u64,
    store_reachable: Option<bool>,
    whole: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum NewsKey {
    Verdict { service: String, target: u64, stamp: u64, convicted: bool },
    Leaving { origin: String, number: u64 },
}

impl Exchange {
    pub(crate) fn new(mut parts: ExchangeParts) -> Exchange {
        let seeds = parts.seeds.iter().map(|seed| Arc::from(format!("{SEED_PREFIX}{seed}")));
        parts.core.set_extra_peers(seeds.collect());
        let detector = OutlierDetector::pooled(&parts.identity.data_centre);
        Exchange {
            parts,
            detector,
            suspicion: SelfSuspicion::default(),
            proxy: None,
            proxy_state: ProxyState::default(),
            in_force: HashMap::new(),
            outgoing: OutgoingEvidence::default(),
            heard: HeardNews::new(HEARD),
            recent: Vec::new(),
            leavings: 0,
            store_reachable: None,
            whole: false,
        }
    }

    /// Works until the ring closes.
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
                self.note_store(reachable);
                if reachable {
                    self.drive_core(now, SpreadEvent::StoreRead(entries));
                }
            }
            AgentEvent::PeerConnected { peer, ring } => self.welcome(now, peer, ring),
            AgentEvent::PeerClosed { peer } => self.parts.links.close(&peer),
            AgentEvent::Received { from, body } => self.receive(now, &from, body),
            AgentEvent::ProxyConnected { ring } => self.welcome_proxy(ring),
            AgentEvent::Asked { question, reply } => {
                // A closed reply is an operator who went away.
                let _ = reply.try_send(self.answer(question));
            }
        }
    }

    fn tick(&mut self, now: TimePoint) {
        self.drive_core(now, SpreadEvent::TimerFired);
        let identity = &self.parts.identity;
        let watches = self.parts.core.members().watches(identity);
        self.parts.orders.watch.store(watches, Ordering::Release);
        self.send_evidence(now);
        for verdict in self.detector.tick(now) {
            let message = verdict_message(&verdict);
            self.parts.line.record(
                "target-judged",
                &[
                    ("service", &verdict.service),
                    ("target", &format!("{:016x}", verdict.target.0)),
                    ("verdict", if message.convicted { "convicted" } else { "acquitted" }),
                    ("scope", scope_name(message.scope)),
                ],
            );
            self.pass_on_verdict(now, None, message);
        }
        if let Some(sick) = self.suspicion.tick(now) {
            self.set_readiness(!sick);
        }
        self.recent.retain(|(at, _)| now.since(*at) < RECENT);
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
        if !self.whole && self.parts.core.is_whole() {
            self.whole = true;
            self.parts.line.record("box-whole", &[]);
            self.to_proxy(FrameBody::CaughtUp(CaughtUp { complete: true }));
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
                self.parts.line.record("config-received", &fields);
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
            FrameBody::Evidence(evidence) => self.take_evidence(now, &evidence),
            FrameBody::Verdicts(verdicts) => {
                for verdict in verdicts.verdicts {
                    self.pass_on_verdict(now, Some(from), verdict);
                }
            }
            FrameBody::Draining(leaving) => self.pass_on_leaving(now, Some(from), leaving),
            body => {
                if let FrameBody::Digest(Digest { failing, .. }) = &body {
                    self.suspicion.note_peer(now, from, *failing);
                }
                self.drive_core(now, SpreadEvent::Received { from: from.clone(), body });
            }
        }
    }

    fn receive_from_proxy(&mut self, now: TimePoint, body: FrameBody) {
        match body {
            FrameBody::Evidence(evidence) => self.route_evidence(now, &evidence),
            FrameBody::Draining(mut leaving) => {
                self.leavings += 1;
                leaving.origin = self.parts.identity.box_id.to_string();
                // The start's time makes numbers of a box that was replaced new ones.
                leaving.number = now.as_micros().wrapping_add(self.leavings);
                self.pass_on_leaving(now, None, leaving);
            }
            FrameBody::InForce(stamps) => {
                for KeyStamp { key, stamp } in stamps.stamps {
                    self.in_force.insert(key, stamp);
                }
            }
            FrameBody::ProxyState(state) => {
                self.suspicion.note_own(state.failing);
                self.parts.core.set_failing(state.failing);
                self.proxy_state = state;
            }
            FrameBody::Events(events) => self.keep_events(events),
            _ => {}
        }
    }

    fn keep_events(&self, events: Events) {
        for event in events.events {
            if let Ok(event) = serde_json::from_str(&event) {
                self.parts.line.record_remote(event);
            }
        }
    }

    fn welcome(&mut self, now: TimePoint, peer: Arc<str>, ring: Sender<FrameBody>) {
        let same_centre = self
            .parts
            .core
            .members()
            .get(&peer)
            .is_none_or(|member| *member.data_centre == *self.parts.identity.data_centre);
        for (at, body) in &self.recent {
            let for_all = matches!(body, FrameBody::Draining(_));
            if now.since(*at) < RECENT && (for_all || same_centre) {
                let _ = ring.try_send(body.clone());
            }
        }
        self.parts.links.accept(peer, ring);
    }

    fn welcome_proxy(&mut self, ring: Sender<FrameBody>) {
        self.proxy = Some(ring);
        self.in_force.clear();
        self.parts.line.record("proxy-connected", &[]);
        self.send_config(self.parts.core.map().entries());
        for (_, body) in self.recent.clone() {
            self.to_proxy(body);
        }
        let standing: Vec<VerdictMessage> =
            self.detector.verdicts_in_force().iter().map(verdict_message).collect();
        if !standing.is_empty() {
            self.to_proxy(FrameBody::Verdicts(Verdicts { verdicts: standing }));
        }
        self.to_proxy(FrameBody::CaughtUp(CaughtUp { complete: self.whole }));
    }

    /// Hands the proxy what of `entries` is configuration, in messages of bounded length.
    fn send_config<'a>(&self, entries: impl Iterator<Item = &'a Entry>) {
        let config: Vec<Entry> = entries.filter(|entry| is_config(&entry.key)).cloned().collect();
        for part in config.chunks(ENTRIES_AT_ONCE) {
            let entries = part.to_vec();
            self.to_proxy(FrameBody::Entries(Entries { entries, push: false }));
        }
    }

    fn to_proxy(&self, body: FrameBody) {
        let Some(proxy) = &self.proxy else { return };
        // The proxy's ring is drained by a writer of its own; when it stays full the proxy
        // is stuck, and what it misses it gets whole on its next connection.
        if let Err(async_channel::TrySendError::Full(_)) = proxy.try_send(body) {
            proxy.close();
        }
    }

    fn set_readiness(&self, allowed: bool) {
        let why = if allowed { "" } else { "most attempts fail here and not in other boxes" };
        self.parts
            .line
            .record(if allowed { "box-well-again" } else { "box-holds-itself-sick" }, &[]);
        log::warn!(allowed; "box-readiness-changed");
        self.to_proxy(FrameBody::Readiness(Readiness { allowed, reason: why.into() }));
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

    fn note_store(&mut self, reachable: bool) {
        if self.store_reachable == Some(reachable) {
            return;
        }
        self.store_reachable = Some(reachable);
        let kind = if reachable { "store-reached" } else { "store-lost" };
        self.parts.line.record(kind, &[]);
        log::info!(reachable; "store-reachability-changed");
    }
}

/// Whether a key is the operators' configuration, which proxies put in force.
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
