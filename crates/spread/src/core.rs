//! The pure core of the exchange: decides which messages go to which peers, and when.
//!
//! Changes are pushed to neighbours, which push them on; each box pushes each version once. Changes
//! that a push has missed are found by digests. Once per period, each box compares one hash with
//! one neighbour. If the hashes differ, the two compare buckets, then versions, and then send each
//! other the newer entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_wire::{Buckets, Digest, Entries, Entry, Fetch, FrameBody, KeyStamp, Stamps};

use crate::map::{SpreadMap, key_stamp};
use crate::members::{BOX_PREFIX, BoxIdentity, MemberList};

/// Number of rings within the data centre of the box; each ring gives two neighbours.
const LOCAL_RINGS: usize = 3;
/// Number of rings over all boxes of the fleet.
const GLOBAL_RINGS: usize = 2;
/// Maximum number of bytes of values in one message.
const MAX_ENTRIES_BYTES: usize = 256 * 1024;
/// Maximum number of differing buckets that one exchange compares.
const MAX_BUCKETS_PER_EXCHANGE: usize = 16;
/// Maximum number of changed entries that are pushed on at once. A larger number does not come from
/// new changes but from a box that catches up.
const MAX_PUSHED_ENTRIES: usize = 8;
/// Number of peers whose map a new box must have matched before its own map is complete.
const SYNC_PEERS: usize = 3;

/// Settings of the exchange.
#[derive(Debug, Clone)]
pub struct SpreadSetup {
    /// Identity of this box.
    pub identity: BoxIdentity,
    /// Average time between two digests.
    pub digest_period: Duration,
    /// Time after which the neighbours are chosen anew.
    pub neighbour_period: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// An event that the core handles. Times are in microseconds of the driver's clock.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadEvent {
    /// Entries were read from the store, or from the platform's list of boxes.
    StoreRead(Vec<Entry>),
    /// A message was received from a peer.
    Received {
        /// Id of the peer.
        from: Arc<str>,
        /// The message.
        body: FrameBody,
    },
    /// The period of the driver's timer has elapsed.
    TimerFired,
}

/// A command that the driver executes.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadCommand {
    /// Send a message to a peer.
    Send {
        /// Id of the peer.
        to: Arc<str>,
        /// The message.
        body: FrameBody,
    },
    /// Apply a new version of a key.
    Apply(Entry),
}

/// The state of the exchange in one box.
#[derive(Debug)]
pub struct SpreadCore {
    setup: SpreadSetup,
    map: SpreadMap,
    members: MemberList,
    seed_peers: Vec<Arc<str>>,
    neighbours: Vec<Arc<str>>,
    /// Epoch that `neighbours` were chosen for; `None` after a change of the list.
    neighbours_epoch: Option<u64>,
    matched_peers: BTreeSet<Arc<str>>,
    store_read: bool,
    next_digest: u64,
    failing: bool,
    random: SmallRng,
}

impl SpreadCore {
    /// Creates an exchange with an empty map.
    pub fn new(setup: SpreadSetup) -> SpreadCore {
        let random = SmallRng::seed_from_u64(setup.seed);
        SpreadCore {
            setup,
            map: SpreadMap::default(),
            members: MemberList::default(),
            seed_peers: Vec::new(),
            neighbours: Vec::new(),
            neighbours_epoch: None,
            matched_peers: BTreeSet::new(),
            store_read: false,
            next_digest: 0,
            failing: false,
            random,
        }
    }

    /// Handles an event at `now` (in microseconds) and appends the resulting commands.
    pub fn handle(&mut self, now: u64, event: SpreadEvent, commands: &mut Vec<SpreadCommand>) {
        match event {
            SpreadEvent::StoreRead(entries) => {
                self.store_read = true;
                self.merge_all(now, &entries, None, true, commands);
            }
            SpreadEvent::Received { from, body } => self.receive(now, &from, body, commands),
            SpreadEvent::TimerFired => self.tick(now, commands),
        }
    }

    /// Returns the map of this box.
    pub fn map(&self) -> &SpreadMap {
        &self.map
    }

    /// Returns the boxes on the member list.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Sets peers that are not on the member list yet, under the names that the driver uses for
    /// them.
    pub fn set_seed_peers(&mut self, peers: Vec<Arc<str>>) {
        self.seed_peers = peers;
        self.neighbours_epoch = None;
    }

    /// Sets whether most attempts of this box fail, which each digest reports.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Returns whether the map is complete, so that this box may serve. It is if it has matched the
    /// map of one peer since a reading of the store; this is not required if there is at most one
    /// other box. Without a reading of the store, the maps of [`SYNC_PEERS`] peers must match, or
    /// of all others if these are fewer, and at least one.
    pub fn is_complete(&self) -> bool {
        let others = self.members.iter().filter(|(id, _)| **id != self.setup.identity.box_id);
        let others = others.count();
        let required = others.min(SYNC_PEERS);
        if self.store_read {
            // The list may still contain peers that have stopped and do not answer, so the box must
            // not wait for all of them. The store has all accepted changes, so a match with one
            // peer is enough.
            return self.matched_peers.len() >= required.saturating_sub(1).min(1);
        }
        !self.matched_peers.is_empty() && self.matched_peers.len() >= required.max(1)
    }

    /// Returns the boxes with which this one gossips at `now`.
    pub fn neighbours(&mut self, now: u64) -> Vec<Arc<str>> {
        let period = self.setup.neighbour_period.as_micros().max(1) as u64;
        let epoch = now / period;
        if self.neighbours_epoch != Some(epoch) {
            let identity = &self.setup.identity;
            let mut peers = self.members.neighbours(identity, epoch, LOCAL_RINGS, GLOBAL_RINGS);
            peers.extend(self.seed_peers.iter().cloned());
            self.neighbours = peers;
            self.neighbours_epoch = Some(epoch);
        }
        self.neighbours.clone()
    }

    fn receive(
        &mut self,
        now: u64,
        from: &Arc<str>,
        body: FrameBody,
        commands: &mut Vec<SpreadCommand>,
    ) {
        match body {
            FrameBody::Entries(entries) => {
                let push = entries.push && entries.entries.len() <= MAX_PUSHED_ENTRIES;
                self.merge_all(now, &entries.entries, Some(from), push, commands);
            }
            FrameBody::Digest(digest) => self.compare_roots(from, &digest, commands),
            FrameBody::Buckets(buckets) => self.compare_buckets(from, &buckets, commands),
            FrameBody::Stamps(stamps) => self.compare_stamps(from, &stamps, commands),
            FrameBody::Fetch(fetch) => {
                let keys = fetch.keys.iter();
                let entries = keys.filter_map(|key| self.map.get(key)).cloned().collect();
                send_entries(from, entries, commands);
            }
            _ => {}
        }
    }

    fn merge_all(
        &mut self,
        now: u64,
        entries: &[Entry],
        from: Option<&Arc<str>>,
        push: bool,
        commands: &mut Vec<SpreadCommand>,
    ) {
        let mut changes: Vec<Entry> = Vec::new();
        for entry in entries {
            if self.map.merge(entry) {
                changes.push(entry.clone());
            }
        }
        if changes.iter().any(|entry| entry.key.starts_with(BOX_PREFIX)) {
            self.members = MemberList::read(&self.map);
            self.neighbours_epoch = None;
        }
        if push && !changes.is_empty() && changes.len() <= MAX_PUSHED_ENTRIES {
            for peer in self.neighbours(now) {
                if Some(&peer) != from {
                    let body = Entries { entries: changes.clone(), push: true };
                    commands.push(SpreadCommand::Send { to: peer, body: FrameBody::Entries(body) });
                }
            }
        }
        commands.extend(changes.into_iter().map(SpreadCommand::Apply));
    }

    fn compare_roots(
        &mut self,
        from: &Arc<str>,
        digest: &Digest,
        commands: &mut Vec<SpreadCommand>,
    ) {
        let root = self.map.root();
        if digest.root == root {
            self.matched_peers.insert(from.clone());
            if !digest.answer {
                commands.push(send(from, FrameBody::Digest(self.digest(true))));
            }
            return;
        }
        let hashes = self.map.hashes().to_vec();
        commands.push(send(from, FrameBody::Buckets(Buckets { hashes })));
    }

    fn compare_buckets(
        &mut self,
        from: &Arc<str>,
        remote: &Buckets,
        commands: &mut Vec<SpreadCommand>,
    ) {
        let pairs = self.map.hashes().iter().zip(&remote.hashes).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        let differing: Vec<u32> = differing.map(|(bucket, _)| bucket as u32).collect();
        if differing.is_empty() {
            commands.push(send(from, FrameBody::Digest(self.digest(true))));
            return;
        }
        let compared: Vec<u32> = differing.into_iter().take(MAX_BUCKETS_PER_EXCHANGE).collect();
        let stamps = Stamps { stamps: self.map.stamps(&compared), buckets: compared };
        commands.push(send(from, FrameBody::Stamps(stamps)));
    }

    fn compare_stamps(
        &mut self,
        from: &Arc<str>,
        remote: &Stamps,
        commands: &mut Vec<SpreadCommand>,
    ) {
        let missing: Vec<String> = remote
            .stamps
            .iter()
            .filter(|other| self.held_stamp(&other.key) < Some(&other.stamp))
            .map(|other| other.key.clone())
            .collect();
        let own = self.map.stamps(&remote.buckets);
        let newer =
            own.iter().filter(|own| stamp_among(&remote.stamps, &own.key) < Some(&own.stamp));
        let newer: Vec<Entry> = newer.filter_map(|own| self.map.get(&own.key)).cloned().collect();
        if !missing.is_empty() {
            commands.push(send(from, FrameBody::Fetch(Fetch { keys: missing })));
        }
        send_entries(from, newer, commands);
        // After both sides have sent what the other lacked, a new digest continues the comparison.
        commands.push(send(from, FrameBody::Digest(self.digest(false))));
    }

    fn held_stamp(&self, key: &str) -> Option<&wingbridge_wire::Stamp> {
        self.map.get(key).map(|entry| &entry.stamp)
    }

    fn tick(&mut self, now: u64, commands: &mut Vec<SpreadCommand>) {
        if now < self.next_digest {
            return;
        }
        let period = self.setup.digest_period.as_micros() as u64;
        // Random, so that the boxes of the fleet do not send digests at the same time.
        self.next_digest = now + period / 2 + self.random.random_range(0..=period);
        let peers = self.neighbours(now);
        if !self.is_complete() {
            for peer in peers {
                commands.push(send(&peer, FrameBody::Digest(self.digest(false))));
            }
            return;
        }
        if peers.is_empty() {
            return;
        }
        let peer = &peers[self.random.random_range(0..peers.len())];
        commands.push(send(peer, FrameBody::Digest(self.digest(false))));
    }

    fn digest(&self, answer: bool) -> Digest {
        Digest { root: self.map.root(), failing: self.failing, answer }
    }
}

fn send(to: &Arc<str>, body: FrameBody) -> SpreadCommand {
    SpreadCommand::Send { to: to.clone(), body }
}

/// Sends entries in messages of at most [`MAX_ENTRIES_BYTES`], unless a single entry is longer.
fn send_entries(to: &Arc<str>, entries: Vec<Entry>, commands: &mut Vec<SpreadCommand>) {
    let mut batch: Vec<Entry> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes + entry.text.len() > MAX_ENTRIES_BYTES && !batch.is_empty() {
            let entries = std::mem::take(&mut batch);
            commands.push(send(to, FrameBody::Entries(Entries { entries, push: false })));
            bytes = 0;
        }
        bytes += entry.text.len();
        batch.push(entry);
    }
    if !batch.is_empty() {
        commands.push(send(to, FrameBody::Entries(Entries { entries: batch, push: false })));
    }
}

fn stamp_among<'a>(stamps: &'a [KeyStamp], key: &str) -> Option<&'a wingbridge_wire::Stamp> {
    // Both sides list the keys in order, which allows a binary search.
    let found = stamps.binary_search_by(|stamp| stamp.key.as_str().cmp(key)).ok()?;
    Some(&stamps[found].stamp)
}

/// Returns the keys and versions of entries.
pub fn stamps_of(entries: &[Entry]) -> Vec<KeyStamp> {
    entries.iter().map(key_stamp).collect()
}
