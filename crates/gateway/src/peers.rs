//! The table of known boxes, and the roles that follow from it: which box of a data centre reads the store, and
//! which boxes coordinate quotas and permits.
//!
//! No complete list of boxes exists. A box asks its seeds, each box that replies lists peers, and heartbeats keep the
//! table current. Its content may differ between boxes: a box that is missing here costs at most an additional call to
//! the store or a lost update.

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

/// Time without a heartbeat after which a box of the own data centre is removed: three heartbeats.
const LOCAL_PEER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time without a heartbeat after which a box of the own data centre is suspected to be unreachable: more than one
/// heartbeat period.
const LOCAL_SUSPICION_TIME: Duration = Duration::from_millis(1600);
/// Time for which an unresponsive box is remembered as lost. Network partitions last about 12 s.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(30);
/// Time since a box of another data centre was last seen after which it is removed. It is longer than
/// [`LOCAL_PEER_TIMEOUT`], since this box learns of such boxes mostly from the random samples of peers that other boxes
/// send.
const REMOTE_PEER_TIMEOUT: Duration = Duration::from_secs(25);

/// A known box.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    pub(crate) host: IpAddr,
    pub(crate) data_centre: String,
    pub(crate) box_id: String,
    pub(crate) incarnation: u64,
    /// Capacity of the link of the box in megabits a second, 0 if unknown.
    pub(crate) link_mbps: u32,
    last_seen: Instant,
}

/// A report about a box, by the box itself or by another one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerInfo<'a> {
    pub(crate) host: IpAddr,
    pub(crate) box_id: &'a str,
    pub(crate) data_centre: &'a str,
    pub(crate) incarnation: u64,
    pub(crate) link_mbps: u32,
    pub(crate) last_seen: Instant,
}

/// The boxes that coordinate a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Coordinators {
    pub(crate) primary: CoordinatorLocation,
    /// Box that takes over where the primary is unreachable, `None` if this box knows no other box.
    pub(crate) standby: Option<CoordinatorLocation>,
}

/// The location of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorLocation {
    /// This box.
    Own,
    /// The peer at this address.
    Peer(IpAddr),
}

/// The table of known boxes, without this one.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own_host: IpAddr,
    own_id: String,
    own_centre: String,
    own_link_mbps: u32,
    peers: HashMap<IpAddr, PeerEntry>,
    /// Boxes of the own data centre that became unresponsive, with the time at which this was noticed.
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

    /// Records that a box is running. Returns whether the box was unknown.
    pub(crate) fn record_alive(&mut self, info: PeerInfo<'_>) -> bool {
        let PeerInfo { host, box_id, data_centre, incarnation, link_mbps, last_seen } = info;
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

    /// Merges what a peer reported about another box. Returns the host of that box if it was unknown.
    pub(crate) fn merge_record(&mut self, now: Instant, record: &PeerRecord) -> Option<IpAddr> {
        let host = record.host.parse::<IpAddr>().ok()?;
        let age = Duration::from_millis(u64::from(record.age_ms));
        if age >= peer_timeout(&self.own_centre, &record.data_centre) {
            return None;
        }
        let last_seen = now.checked_sub(age)?;
        let is_new = self.record_alive(PeerInfo {
            host,
            box_id: &record.box_id,
            data_centre: &record.data_centre,
            incarnation: record.incarnation,
            link_mbps: record.link_mbps,
            last_seen,
        });
        is_new.then_some(host)
    }

    /// Removes a box that announced that it is stopping. It does not count as lost.
    pub(crate) fn record_stopping(&mut self, host: IpAddr) {
        self.peers.remove(&host);
    }

    /// Removes the boxes that have been unresponsive for too long, and returns their names.
    pub(crate) fn remove_unresponsive(&mut self, now: Instant) -> Vec<String> {
        let own = self.own_centre.as_str();
        let is_unresponsive = |peer: &PeerEntry| {
            now.saturating_duration_since(peer.last_seen) >= peer_timeout(own, &peer.data_centre)
        };
        let removed = self.peers.extract_if(|_, peer| is_unresponsive(peer)).map(|(_, peer)| peer);
        let removed: Vec<PeerEntry> = removed.collect();
        let local = removed.iter().filter(|peer| peer.data_centre == own);
        self.lost.extend(local.map(|peer| (peer.host, now)));
        self.lost
            .retain(|_, noticed| now.saturating_duration_since(*noticed) < LOST_PEER_RETENTION);
        removed.into_iter().map(|peer| peer.box_id).collect()
    }

    /// Returns the boxes of the own data centre.
    pub(crate) fn local(&self) -> Vec<IpAddr> {
        self.local_peers().map(|peer| peer.host).collect()
    }

    /// Returns the incarnations and addresses of the boxes of the own data centre.
    pub(crate) fn local_incarnations(&self) -> HashMap<u64, IpAddr> {
        self.local_peers().map(|peer| (peer.incarnation, peer.host)).collect()
    }

    /// Returns the boxes of the own data centre that receive all samples of this box, and the other ones.
    pub(crate) fn full_report_peers(&self) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let local: Vec<&PeerEntry> = self.local_peers().collect();
        let chosen = peer_subset(&self.own_id, &local, |peer| peer.box_id.as_str());
        let chosen: Vec<IpAddr> = chosen.iter().map(|peer| peer.host).collect();
        let others = local.iter().map(|peer| peer.host).filter(|host| !chosen.contains(host));
        let others = others.collect();
        (chosen, others)
    }

    /// Returns the boxes of other data centres.
    pub(crate) fn remote(&self) -> Vec<IpAddr> {
        let remote = self.peers.values().filter(|peer| peer.data_centre != self.own_centre);
        remote.map(|peer| peer.host).collect()
    }

    /// Returns a random selection of at most `max` boxes from each other data centre.
    pub(crate) fn random_of_each_remote_centre(&mut self, max: usize) -> Vec<IpAddr> {
        let mut centres: HashMap<&str, Vec<IpAddr>> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.data_centre != self.own_centre) {
            centres.entry(&peer.data_centre).or_default().push(peer.host);
        }
        let random = &mut self.random;
        centres
            .into_values()
            .flat_map(|hosts| hosts.into_iter().choose_multiple(random, max))
            .collect()
    }

    /// Returns a random box of another data centre.
    pub(crate) fn random_remote(&mut self) -> Option<IpAddr> {
        let own = &self.own_centre;
        let remote = self.peers.values().filter(|peer| peer.data_centre != *own);
        remote.map(|peer| peer.host).choose(&mut self.random)
    }

    /// Returns the number of known boxes, this one included.
    pub(crate) fn boxes(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the read priority of this box in its data centre. The box with priority 0 reads the store for the
    /// others, the box with priority 1 takes over when it receives nothing from the first, and so on. Boxes with at
    /// least twice the link capacity come first: a megabyte takes 1.1 s at 10 Mbit/s, and 0.05 s at 200 Mbit/s.
    pub(crate) fn read_priority(&self) -> usize {
        let weight = |link_mbps: u32, box_id: &str| {
            (link_mbps.checked_ilog2(), rendezvous_weight(&self.own_centre, box_id))
        };
        let own = weight(self.own_link_mbps, &self.own_id);
        self.local_peers().filter(|peer| weight(peer.link_mbps, &peer.box_id) > own).count()
    }

    /// Returns the rank of this box among those of its data centre that send the sums of its load to others. Another
    /// subject than that of [`PeerTable::read_priority`] gives the two tasks to different boxes.
    pub(crate) fn sum_rank(&self) -> usize {
        let subject = format!("load sums of {}", self.own_centre);
        let own = rendezvous_weight(&subject, &self.own_id);
        self.local_peers().filter(|peer| rendezvous_weight(&subject, &peer.box_id) > own).count()
    }

    /// Returns whether this box receives heartbeats from all known boxes of its data centre, except those that
    /// announced that they are stopping. If so, it is not partitioned from a part of them.
    pub(crate) fn reaches_all(&self, now: Instant) -> bool {
        let is_reached =
            |peer: &PeerEntry| now.saturating_duration_since(peer.last_seen) < LOCAL_SUSPICION_TIME;
        self.lost.is_empty() && self.local_peers().all(is_reached)
    }

    /// Returns the primary and the standby coordinator of a customer's quota. Boxes with at least twice the link
    /// capacity come first: there the work of a coordinator takes a fifth of the processor share that it takes on small
    /// boxes.
    pub(crate) fn coordinators(&self, customer: &str) -> Coordinators {
        let subject = stable_hash(customer);
        let weight = |link_mbps: u32, box_id: &str| {
            (link_mbps.checked_ilog2(), rendezvous_weight_for_hash(subject, box_id))
        };
        let own = (weight(self.own_link_mbps, &self.own_id), CoordinatorLocation::Own);
        let mut primary = own;
        let mut standby: Option<(_, CoordinatorLocation)> = None;
        for peer in self.peers.values() {
            let candidate =
                (weight(peer.link_mbps, &peer.box_id), CoordinatorLocation::Peer(peer.host));
            if candidate.0 > primary.0 {
                standby = Some(std::mem::replace(&mut primary, candidate));
            } else if standby.as_ref().is_none_or(|standby| candidate.0 > standby.0) {
                standby = Some(candidate);
            }
        }
        Coordinators { primary: primary.1, standby: standby.map(|standby| standby.1) }
    }

    /// Returns the box that coordinates the permits of a target in `data_centre`. It is a box of that data centre,
    /// through which most requests to the target pass, unless this box knows none there. Boxes with at least twice the
    /// link capacity come first, as for the coordinators of quotas.
    pub(crate) fn permit_coordinator(
        &self,
        data_centre: &str,
        target: TargetKey,
    ) -> CoordinatorLocation {
        let weight = |centre: &str, link_mbps: u32, box_id: &str| {
            let weight = rendezvous_weight_for_hash(target.0, box_id);
            (centre == data_centre, link_mbps.checked_ilog2(), weight)
        };
        let own = weight(&self.own_centre, self.own_link_mbps, &self.own_id);
        let peers = self.peers.values().map(|peer| {
            let weight = weight(&peer.data_centre, peer.link_mbps, &peer.box_id);
            (weight, CoordinatorLocation::Peer(peer.host))
        });
        let first = peers.max_by_key(|(weight, _)| *weight).filter(|(weight, _)| *weight > own);
        first.map_or(CoordinatorLocation::Own, |(_, location)| location)
    }

    /// Returns the share of the boxes of the own data centre that this box can reach, among those that did not announce
    /// that they are stopping.
    pub(crate) fn reachable_share(&self) -> f64 {
        let reachable = self.local_peers().count() + 1;
        reachable as f64 / (reachable + self.lost.len()) as f64
    }

    /// Returns a random selection of at most `max` boxes of the own data centre.
    pub(crate) fn random_local(&mut self, max: usize) -> Vec<IpAddr> {
        let own = &self.own_centre;
        let local = self.peers.values().filter(|peer| peer.data_centre == *own);
        local.map(|peer| peer.host).choose_multiple(&mut self.random, max)
    }

    /// Returns a random selection of at most `max` boxes of the own data centre, and as many of the other ones.
    pub(crate) fn random_local_and_remote(&mut self, max: usize) -> Vec<IpAddr> {
        let own = &self.own_centre;
        let remote = self.peers.values().filter(|peer| peer.data_centre != *own);
        let remote = remote.map(|peer| peer.host).choose_multiple(&mut self.random, max);
        let mut selected = self.random_local(max);
        selected.extend(remote);
        selected
    }

    /// Returns the box at `host`, if it is known.
    pub(crate) fn find(&self, host: IpAddr) -> Option<&PeerEntry> {
        self.peers.get(&host)
    }

    /// Returns whether the box at `host` is known and in the own data centre.
    pub(crate) fn is_local(&self, host: IpAddr) -> bool {
        self.peers.get(&host).is_some_and(|peer| peer.data_centre == self.own_centre)
    }

    /// Returns the records of at most `max` random peers, for a message.
    pub(crate) fn sample_records(&mut self, now: Instant, max: usize) -> Vec<PeerRecord> {
        let record = |peer: &PeerEntry| PeerRecord {
            host: peer.host.to_string(),
            data_centre: peer.data_centre.clone(),
            box_id: peer.box_id.clone(),
            incarnation: peer.incarnation,
            link_mbps: peer.link_mbps,
            age_ms: u32::try_from(millis(now.saturating_duration_since(peer.last_seen)))
                .unwrap_or(u32::MAX),
        };
        let chosen = self.peers.values().choose_multiple(&mut self.random, max);
        chosen.into_iter().map(record).collect()
    }

    fn local_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values().filter(|peer| peer.data_centre == self.own_centre)
    }
}

/// Returns the time since it was last seen after which a box of `data_centre` is removed by a box of the data centre
/// `own`.
fn peer_timeout(own: &str, data_centre: &str) -> Duration {
    if data_centre == own { LOCAL_PEER_TIMEOUT } else { REMOTE_PEER_TIMEOUT }
}
