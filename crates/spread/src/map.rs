//! Keys and their highest versions, with hashes to compare two maps by.

use std::collections::BTreeMap;
use std::ops::Bound;

use wingbridge_wire::{Entry, KeyStamp};
use xxhash_rust::xxh3::xxh3_64;

/// Buckets that keys fall into. At 4,000 keys a differing one costs the stamps of 63.
pub const BUCKETS: usize = 64;

/// The map. Deleted keys stay in it as deleted.
#[derive(Debug, Clone)]
pub struct SpreadMap {
    entries: BTreeMap<String, Entry>,
    hashes: [u64; BUCKETS],
}

impl Default for SpreadMap {
    fn default() -> SpreadMap {
        SpreadMap { entries: BTreeMap::new(), hashes: [0; BUCKETS] }
    }
}

impl SpreadMap {
    /// Takes `entry` if its version is higher than the one held; says whether it was.
    pub fn merge(&mut self, entry: &Entry) -> bool {
        let bucket = bucket_of(&entry.key);
        if let Some(held) = self.entries.get(&entry.key) {
            if held.stamp >= entry.stamp {
                return false;
            }
            self.hashes[bucket] ^= entry_hash(held);
        }
        self.hashes[bucket] ^= entry_hash(entry);
        self.entries.insert(entry.key.clone(), entry.clone());
        true
    }

    /// The entry of `key`, which may be a deleted one.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries, deleted ones too, in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Entries whose keys start with `prefix`, without the deleted ones.
    pub fn live<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from = self.entries.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let within = from.take_while(move |(key, _)| key.starts_with(prefix));
        within.map(|(_, entry)| entry).filter(|entry| !entry.deleted)
    }

    /// How many entries there are, deleted ones too.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// One hash over the whole map.
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self.hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// The hash of each bucket.
    pub fn hashes(&self) -> &[u64; BUCKETS] {
        &self.hashes
    }

    /// The versions of all keys in some buckets.
    pub fn stamps(&self, buckets: &[u32]) -> Vec<KeyStamp> {
        let within = |key: &str| buckets.contains(&(bucket_of(key) as u32));
        let entries = self.entries.values().filter(|entry| within(&entry.key));
        entries.map(key_stamp).collect()
    }
}

/// An entry's key and version.
pub fn key_stamp(entry: &Entry) -> KeyStamp {
    KeyStamp { key: entry.key.clone(), stamp: entry.stamp.clone() }
}

fn bucket_of(key: &str) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

fn entry_hash(entry: &Entry) -> u64 {
    let stamp = &entry.stamp;
    let text = format!("{}\0{}\0{}\0{}", entry.key, stamp.generation, stamp.revision, stamp.change);
    xxh3_64(text.as_bytes())
}
