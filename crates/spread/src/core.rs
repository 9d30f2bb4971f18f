//! The core of the exchange: what to tell whom, and when.
//!
//! News is pushed to neighbours, who push it on; each box passes a version on
//! once. Whatever a push misses, digests find: once a period each box compares one
//! hash with one neighbour, and where they differ the two compare buckets, then
//! versions, then send each other what is newer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_wire::{Buckets, Digest, Entries, Entry, Fetch, FrameBody, KeyStamp, Stamps};

use crate::map::{SpreadMap, key_stamp};
use crate::members::{BOX_PREFIX, BoxIdentity, MemberList};

/// Rings of the box's own data centre; each gives two neighbours.
const LOCAL_RINGS: usize = 3;
/// Rings of the whole fleet.
const GLOBAL_RINGS: usize = 2;
/// Bytes of values in one message at most.
const MAX_ENTRIES_BYTES: usize = 256 * 1024;
/// Differing buckets that are gone through in one exchange.
const MAX_BUCKETS_PER_EXCHANGE: usize = 16;
/// News of more entries than this is no change but a box catching up: not pushed on.
const MAX_PUSHED_ENTRIES: usize = 8;
/// Peers whose map a new box must have matched before it is whole.
const SYNC_PEERS: usize = 3;

/// How the exchange is set.
#[derive(Debug, Clone)]
pub struct SpreadSetup {
    /// This box.
    pub identity: BoxIdentity,
    /// Time between two digests.
    pub digest_period: Duration,
    /// Time for which the choice of neighbours holds.
    pub neighbour_period: Duration,
    /// Seeds the random choices.
    pub seed: u64,
}

/// Events into the core. Times are microseconds on the driver's clock.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadEvent {
    /// The store, or the box list, was read.
    StoreRead(Vec<Entry>),
    /// A peer sent something.
    Received {
        /// The peer.
        from: Arc<str>,
        /// What it sent.
        body: FrameBody,
    },
    /// Time has passed.
    TimerFired,
}

/// Commands out of the core.
#[derive(Debug, Clone, PartialEq)]
pub enum SpreadCommand {
    /// Send this to a peer.
    Send {
        /// The peer.
        to: Arc<str>,
        /// What to send.
        body: FrameBody,
    },
    /// A key has a new version.
    Apply(Entry),
}

/// The exchange as one box runs it.
#[derive(Debug)]
pub struct SpreadCore {
    setup: SpreadSetup,
    map: SpreadMap,
    members: MemberList,
    seed_peers: Vec<Arc<str>>,
    neighbours: Vec<Arc<str>>,
    /// The epoch that `neighbours` were chosen for, until the list changes.
    neighbours_of: Option<u64>,
    matched: BTreeSet<Arc<str>>,
    store_read: bool,
    next_digest: u64,
    failing: bool,
    random: SmallRng,
}

impl SpreadCore {
    /// An exchange that holds nothing yet.
    pub fn new(setup: SpreadSetup) -> SpreadCore {
        let random = SmallRng::seed_from_u64(setup.seed);
        SpreadCore {
            setup,
            map: SpreadMap::default(),
            members: MemberList::default(),
            seed_peers: Vec::new(),
            neighbours: Vec::new(),
            neighbours_of: None,
            matched: BTreeSet::new(),
            store_read: false,
            next_digest: 0,
            failing: false,
            random,
        }
    }

    /// Takes an event at `now` (microseconds) and adds the commands that follow.
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

    /// What is held.
    pub fn map(&self) -> &SpreadMap {
        &self.map
    }

    /// The boxes that are known.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Peers that are not on the list yet, by what the driver calls them.
    pub fn set_seed_peers(&mut self, peers: Vec<Arc<str>>) {
        self.seed_peers = peers;
        self.neighbours_of = None;
    }

    /// Whether most of what this box tries fails, told with each digest.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Whether this box may serve: it has the highest versions of several peers, and
    /// of the store if that answers. With the store away, peers are enough.
    pub fn is_complete(&self) -> bool {
        let others = self.members.iter().filter(|(id, _)| **id != self.setup.identity.box_id);
        let others = others.count();
        let wanted = others.min(SYNC_PEERS);
        if self.store_read {
            // Peers that the lagging list shows and that do not answer can't be waited for:
            // the store has what was accepted, so one peer fewer is enough.
            return self.matched.len() >= wanted.saturating_sub(1).min(1);
        }
        !self.matched.is_empty() && self.matched.len() >= wanted.max(1)
    }

    /// The boxes that this one gossips with now.
    pub fn neighbours(&mut self, now: u64) -> Vec<Arc<str>> {
        let period = self.setup.neighbour_period.as_micros().max(1) as u64;
        let epoch = now / period;
        if self.neighbours_of != Some(epoch) {
            let identity = &self.setup.identity;
            let mut peers = self.members.neighbours(identity, epoch, LOCAL_RINGS, GLOBAL_RINGS);
            peers.extend(self.seed_peers.iter().cloned());
            self.neighbours = peers;
            self.neighbours_of = Some(epoch);
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
            self.neighbours_of = None;
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
            self.matched.insert(from.clone());
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
        let some: Vec<u32> = differing.into_iter().take(MAX_BUCKETS_PER_EXCHANGE).collect();
        let stamps = Stamps { stamps: self.map.stamps(&some), buckets: some };
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
        // Once both have what the other had, the next comparison goes on from here.
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
        // Spread over the fleet, so that it does not compare in step.
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

/// Sends entries in messages of bounded size.
fn send_entries(to: &Arc<str>, entries: Vec<Entry>, commands: &mut Vec<SpreadCommand>) {
    let mut part: Vec<Entry> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes + entry.text.len() > MAX_ENTRIES_BYTES && !part.is_empty() {
            let entries = std::mem::take(&mut part);
            commands.push(send(to, FrameBody::Entries(Entries { entries, push: false })));
            bytes = 0;
        }
        bytes += entry.text.len();
        part.push(entry);
    }
    if !part.is_empty() {
        commands.push(send(to, FrameBody::Entries(Entries { entries: part, push: false })));
    }
}

fn stamp_among<'a>(stamps: &'a [KeyStamp], key: &str) -> Option<&'a wingbridge_wire::Stamp> {
    // Both sides list keys in their order, so this is a search and no scan.
    let found = stamps.binary_search_by(|known| known.key.as_str().cmp(key)).ok()?;
    Some(&stamps[found].stamp)
}

/// The versions of entries, for reports of what is in force.
pub fn stamps_of(entries: &[Entry]) -> Vec<KeyStamp> {
    entries.iter().map(key_stamp).collect()
}
