//! A map of keys to their highest versions, with hashes by which two maps are compared.

use std::collections::BTreeMap;
use std::ops::Bound;

use wingbridge_wire::{Entry, KeyStamp};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets that keys are hashed into. With 4,000 keys, a differing bucket costs the
/// stamps of 63 keys.
pub const BUCKETS: usize = 64;

/// Keys with their highest versions. Deleted keys stay in the map, marked as deleted.
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
    /// Merges `entry` if its version is higher than the one in the map; returns whether it was.
    pub fn merge(&mut self, entry: &Entry) -> bool {
        let bucket = bucket_of(&entry.key);
        if let Some(current) = self.entries.get(&entry.key) {
            if current.stamp >= entry.stamp {
                return false;
            }
            self.hashes[bucket] ^= entry_hash(current);
        }
        self.hashes[bucket] ^= entry_hash(entry);
        self.entries.insert(entry.key.clone(), entry.clone());
        true
    }

    /// Returns the entry of `key`, which may be marked as deleted.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns all entries in the order of their keys, including deleted ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries whose keys start with `prefix`, without deleted ones.
    pub fn live<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let from = self.entries.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let within = from.take_while(move |(key, _)| key.starts_with(prefix));
        within.map(|(_, entry)| entry).filter(|entry| !entry.deleted)
    }

    /// Returns the number of entries, including deleted ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a hash of the complete map.
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self.hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Returns the hash of each bucket.
    pub fn hashes(&self) -> &[u64; BUCKETS] {
        &self.hashes
    }

    /// Returns the keys and versions of all entries in the given buckets.
    pub fn stamps(&self, buckets: &[u32]) -> Vec<KeyStamp> {
        let is_selected = |key: &str| buckets.contains(&(bucket_of(key) as u32));
        let entries = self.entries.values().filter(|entry| is_selected(&entry.key));
        entries.map(key_stamp).collect()
    }
}

/// Returns the key and version of an entry.
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
