//! The boxes that this one knows, and who of a data centre reads the store.
//!
//! There is no list of boxes to be had. A box asks its seeds, whoever answers names
//! those that it knows, and signs of life keep the table. Nobody has to agree on it:
//! a box that is missing here costs a call to the store or an item of news, no more.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use wingbridge_decide::TargetKey;
use wingbridge_decide::names::{rendezvous_weight, rendezvous_weight_for_hash, stable_hash};
use wingbridge_decide::steer::peer_subset::peer_subset;
use wingbridge_wire::gossip::PeerRecord;

use crate::context::millis;
use crate::settings::GatewaySettings;

/// A box of the own data centre that was silent this long is taken as gone: three beacons.
const NEAR_SILENCE: Duration = Duration::from_millis(3500);
/// A box of the own data centre may be cut off if it was silent this long: one beacon and more.
const NEAR_DOUBT: Duration = Duration::from_millis(1600);
/// A box that fell silent is missed for this long: cuts of the users last some 12 s.
const LOST_TIME: Duration = Duration::from_secs(30);
/// A box elsewhere, of which third boxes tell by chance, is taken as gone after this long.
const FAR_SILENCE: Duration = Duration::from_secs(25);

/// A known box.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    pub(crate) host: IpAddr,
    pub(crate) data_centre: String,
    pub(crate) box_id: String,
    pub(crate) incarnation: u64,
    /// What its link carries, in megabits a second; 0 if unknown.
    pub(crate) link_mbps: u32,
    last_seen: Instant,
}

/// What a box says of itself, or another one of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerInfo<'a> {
    pub(crate) host: IpAddr,
    pub(crate) box_id: &'a str,
    pub(crate) data_centre: &'a str,
    pub(crate) incarnation: u64,
    pub(crate) link_mbps: u32,
    pub(crate) last_seen: Instant,
}

/// Who keeps a customer's credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Coordinators {
    pub(crate) primary: CoordinatorSeat,
    /// Steps in where the first can't be reached; `None` if this box knows no other.
    pub(crate) standby: Option<CoordinatorSeat>,
}

/// A box that keeps credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorSeat {
    /// This one.
    Own,
    /// The one at this address.
    Peer(IpAddr),
}

/// The table of known boxes, this one left out.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own_host: IpAddr,
    own_id: String,
    own_centre: String,
    own_link_mbps: u32,
    peers: HashMap<IpAddr, PeerEntry>,
    /// Boxes of the own data centre that fell silent, and when that was noticed.
    lost: HashMap<IpAddr, Instant>,
    random: SmallRng,
}

impl PeerTable {
    pub(crate) fn new(settings: &GatewaySettings, seed: u64) -> PeerTable {
        PeerTable {
            own_host: settings.host(),
            own_id: settings.box_id.clone(),
            own_centre: settings.data_centre.clone(),
            own_link_mbps: settings.link_mbps,
            peers: HashMap::new(),
            lost: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Notes a sign of life; returns whether the box was unknown.
    pub(crate) fn record_alive(&mut self, note: PeerInfo<'_>) -> bool {
        let PeerInfo { host, box_id, data_centre, incarnation, link_mbps, last_seen } = note;
        if host == self.own_host {
            return false;
        }
        self.lost.remove(&host);
        if let Some(peer) = self.peers.get_mut(&host)
            && peer.incarnation == incarnation
        {
            peer.last_seen = peer.last_seen.max(last_seen);
            peer.link_mbps = link_mbps;
            return false;
        }
        let entry = PeerEntry {
            host,
            data_centre: data_centre.to_string(),
            box_id: box_id.to_string(),
            incarnation,
            link_mbps,
            last_seen,
        };
        let known = self.peers.get(&host);
        if known.is_some_and(|peer| peer.last_seen > last_seen) {
            return false;
        }
        self.peers.insert(host, entry).is_none()
    }

    /// Takes what a peer told of another box; returns its host if it was unknown.
    pub(crate) fn merge_record(&mut self, now: Instant, told: &PeerRecord) -> Option<IpAddr> {
        let host = told.host.parse::<IpAddr>().ok()?;
        let age = Duration::from_millis(u64::from(told.age_ms));
        if age >= silence(&self.own_centre, &told.data_centre) {
            return None;
        }
        let last_seen = now.checked_sub(age)?;
        let new = self.record_alive(PeerInfo {
            host,
            box_id: &told.box_id,
            data_centre: &told.data_centre,
            incarnation: told.incarnation,
            link_mbps: told.link_mbps,
            last_seen,
        });
        new.then_some(host)
    }

    /// A box said that it ends.
    pub(crate) fn record_stopping(&mut self, host: IpAddr) {
        self.peers.remove(&host);
    }

    /// Forgets boxes that were silent for too long; returns their names.
    pub(crate) fn remove_unresponsive(&mut self, now: Instant) -> Vec<String> {
        let own = self.own_centre.as_str();
        let is_silent = |peer: &PeerEntry| {
            now.saturating_duration_since(peer.last_seen) >= silence(own, &peer.data_centre)
        };
        let gone = self.peers.extract_if(|_, peer| is_silent(peer)).map(|(_, peer)| peer);
        let gone: Vec<PeerEntry> = gone.collect();
        let near = gone.iter().filter(|peer| peer.data_centre == own);
        self.lost.extend(near.map(|peer| (peer.host, now)));
        self.lost.retain(|_, noticed| now.saturating_duration_since(*noticed) < LOST_TIME);
        gone.into_iter().map(|peer| peer.box_id).collect()
    }

    /// Boxes of the own data centre.
    pub(crate) fn local(&self) -> Vec<IpAddr> {
        self.local_peers().map(|peer| peer.host).collect()
    }

    /// Boxes of the own data centre that are told all that this one sees, and the others.
    pub(crate) fn full_report_peers(&self) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let near: Vec<&PeerEntry> = self.local_peers().collect();
        let told = peer_subset(&self.own_id, &near, |peer| peer.box_id.as_str());
        let told: Vec<IpAddr> = told.iter().map(|peer| peer.host).collect();
        let others = near.iter().map(|peer| peer.host).filter(|host| !told.contains(host));
        let others = others.collect();
        (told, others)
    }

    /// Boxes of other data centres.
    pub(crate) fn remote(&self) -> Vec<IpAddr> {
        let far = self.peers.values().filter(|peer| peer.data_centre != self.own_centre);
        far.map(|peer| peer.host).collect()
    }

    /// Some boxes of each other data centre, by chance, `most` of each at most.
    pub(crate) fn random_of_each_remote_centre(&mut self, most: usize) -> Vec<IpAddr> {
        let mut centres: HashMap<&str, Vec<IpAddr>> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.data_centre != self.own_centre) {
            centres.entry(&peer.data_centre).or_default().push(peer.host);
        }
        let random = &mut self.random;
        centres
            .into_values()
            .flat_map(|hosts| hosts.into_iter().choose_multiple(random, most))
            .collect()
    }

    /// A box of another data centre, by chance.
    pub(crate) fn random_remote(&mut self) -> Option<IpAddr> {
        let own = &self.own_centre;
        let far = self.peers.values().filter(|peer| peer.data_centre != *own);
        far.map(|peer| peer.host).choose(&mut self.random)
    }

    /// How many boxes are known, this one counted.
    pub(crate) fn boxes(&self) -> usize {
        self.peers.len() + 1
    }

    /// This box's place among those of its data centre that read the store: 0 reads
    /// for the others, the next one steps in when it hears nothing, and so on. Boxes whose
    /// links carry twice as much go first: at 10 Mbit/s a megabyte takes 1.1 s, at 200 0.05.
    pub(crate) fn read_priority(&self) -> usize {
        let weight = |link_mbps: u32, box_id: &str| {
            (link_mbps.checked_ilog2(), rendezvous_weight(&self.own_centre, box_id))
        };
        let own = weight(self.own_link_mbps, &self.own_id);
        self.local_peers().filter(|peer| weight(peer.link_mbps, &peer.box_id) > own).count()
    }

    /// Whether all boxes of the own data centre are heard that this one knows of and that did not
    /// say that they end: it is not cut off from a part of them.
    pub(crate) fn reaches_all(&self, now: Instant) -> bool {
        let is_reached =
            |peer: &PeerEntry| now.saturating_duration_since(peer.last_seen) < NEAR_DOUBT;
        self.lost.is_empty() && self.local_peers().all(is_reached)
    }

    /// The boxes that keep the credit of `customer`: the first by rank, and its deputy. Boxes
    /// whose links carry twice as much go first: there a keeper's answers cost a fifth of the
    /// processor's share that they cost on the small ones.
    pub(crate) fn coordinators(&self, customer: &str) -> Coordinators {
        let subject = stable_hash(customer);
        let weight = |link_mbps: u32, box_id: &str| {
            (link_mbps.checked_ilog2(), rendezvous_weight_for_hash(subject, box_id))
        };
        let own = (weight(self.own_link_mbps, &self.own_id), CoordinatorSeat::Own);
        let mut first = own;
        let mut deputy: Option<(_, CoordinatorSeat)> = None;
        for peer in self.peers.values() {
            let place = (weight(peer.link_mbps, &peer.box_id), CoordinatorSeat::Peer(peer.host));
            if place.0 > first.0 {
                deputy = Some(std::mem::replace(&mut first, place));
            } else if deputy.as_ref().is_none_or(|deputy| place.0 > deputy.0) {
                deputy = Some(place);
            }
        }
        Coordinators { primary: first.1, standby: deputy.map(|deputy| deputy.1) }
    }

    /// The box that keeps the permits of a target in `data_centre`: one there, which most requests for it come
    /// by, and of any other only where this box knows none there. Links count as for customers' credit.
    pub(crate) fn permit_coordinator(
        &self,
        data_centre: &str,
        target: TargetKey,
    ) -> CoordinatorSeat {
        let weight = |centre: &str, link_mbps: u32, box_id: &str| {
            let weight = rendezvous_weight_for_hash(target.0, box_id);
            (centre == data_centre, link_mbps.checked_ilog2(), weight)
        };
        let own = weight(&self.own_centre, self.own_link_mbps, &self.own_id);
        let peers = self.peers.values().map(|peer| {
            let weight = weight(&peer.data_centre, peer.link_mbps, &peer.box_id);
            (weight, CoordinatorSeat::Peer(peer.host))
        });
        let first = peers.max_by_key(|(weight, _)| *weight).filter(|(weight, _)| *weight > own);
        first.map_or(CoordinatorSeat::Own, |(_, seat)| seat)
    }

    /// The part of the boxes of the own data centre that this one hears, of those that did not say that they
    /// end.
    pub(crate) fn reachable_share(&self) -> f64 {
        let last_seen = self.local_peers().count() + 1;
        last_seen as f64 / (last_seen + self.lost.len()) as f64
    }

    /// Some boxes of the own data centre, by chance, `most` at most.
    pub(crate) fn random_local(&mut self, most: usize) -> Vec<IpAddr> {
        let own = &self.own_centre;
        let near = self.peers.values().filter(|peer| peer.data_centre == *own);
        near.map(|peer| peer.host).choose_multiple(&mut self.random, most)
    }

    /// Whether the box at `host` is one of the own data centre.
    pub(crate) fn is_local(&self, host: IpAddr) -> bool {
        self.peers.get(&host).is_some_and(|peer| peer.data_centre == self.own_centre)
    }

    /// Some known boxes for a message, `most` at most.
    pub(crate) fn sample_records(&mut self, now: Instant, most: usize) -> Vec<PeerRecord> {
        let record = |peer: &PeerEntry| PeerRecord {
            host: peer.host.to_string(),
            data_centre: peer.data_centre.clone(),
            box_id: peer.box_id.clone(),
            incarnation: peer.incarnation,
            link_mbps: peer.link_mbps,
            age_ms: u32::try_from(millis(now.saturating_duration_since(peer.last_seen)))
                .unwrap_or(u32::MAX),
        };
        let chosen = self.peers.values().choose_multiple(&mut self.random, most);
        chosen.into_iter().map(record).collect()
    }

    fn local_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values().filter(|peer| peer.data_centre == self.own_centre)
    }
}

/// After how long without a sign of life a box of `data_centre` is taken as gone, in `own`.
fn silence(own: &str, data_centre: &str) -> Duration {
    if data_centre == own { NEAR_SILENCE } else { FAR_SILENCE }
}
