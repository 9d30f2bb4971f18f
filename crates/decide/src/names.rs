//! Shared names, and hashes of names that are the same in every process.

use std::sync::Arc;

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// The name of a service, a box or a data centre, shared without copying.
pub type Name = Arc<str>;

/// A target's identity between boxes: a hash that is the same in every process and version, and takes eight
/// bytes on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u64);

impl TargetKey {
    /// Returns the key of the target at `address`.
    pub fn of(address: &str) -> TargetKey {
        TargetKey(xxh3_64(address.as_bytes()))
    }

    /// Returns the key of one incarnation of the target named `id`. Since each incarnation has its own key, the
    /// state of an earlier one is not applied to it. `started_ms` is the start of the incarnation in
    /// milliseconds since 1970; 0 if unknown.
    pub fn of_incarnation(id: &str, started_ms: u64) -> TargetKey {
        if started_ms == 0 {
            return TargetKey::of(id);
        }
        // The start must not be the seed of the hash: for short names the seed is little more than added to the
        // name, so that 4,096 incarnations of 64 numbered targets had only 3,534 keys. Two targets with the
        // same key share their state, and lose it with each listing.
        let mut hash = Xxh3::new();
        hash.update(&started_ms.to_le_bytes());
        hash.update(id.as_bytes());
        TargetKey(hash.digest())
    }
}

/// Returns a hash of `text` that is the same in every process.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns the weight of `member` for `subject` in rendezvous hashing. The members with the highest weights
/// are assigned to the subject, and the loss of a member affects only its own assignments.
pub fn rendezvous_weight(subject: &str, member: &str) -> u64 {
    rendezvous_weight_for_hash(stable_hash(subject), member)
}

/// Returns the [`rendezvous_weight`] for a subject whose [`stable_hash`] is `subject`.
pub fn rendezvous_weight_for_hash(subject: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), subject)
}
