//! Names shared by many parts without copying.

use std::sync::Arc;

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// The name of a service, a box or a data centre.
pub type Name = Arc<str>;

/// A target's identity between boxes: a hash of its address that is the same in
/// every process and version. Eight bytes on the wire instead of the address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u64);

impl TargetKey {
    /// The key of the target at `address`.
    pub fn of(address: &str) -> TargetKey {
        TargetKey(xxh3_64(address.as_bytes()))
    }

    /// The key of one life of the target named `id`: it holds nothing of what was known of an
    /// earlier one. `born_ms` is its start in milliseconds since 1970; 0 if it is not known.
    pub fn of_incarnation(id: &str, born_ms: u64) -> TargetKey {
        if born_ms == 0 {
            return TargetKey::of(id);
        }
        // Not as the hash's seed: that is little more than added to a short name, and 4,096 lives of 64
        // targets named by their numbers had 3,534 keys. Two targets with one key share what is known of
        // either, and lose it with each listing.
        let mut hash = Xxh3::new();
        hash.update(&born_ms.to_le_bytes());
        hash.update(id.as_bytes());
        TargetKey(hash.digest())
    }
}

/// A number for `text` that is the same in every process.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// The weight of `member` for `subject` in rendezvous hashing: the members with
/// the highest weights take the subject, and the loss of one moves only its own.
pub fn rendezvous_weight(subject: &str, member: &str) -> u64 {
    rendezvous_weight_for_hash(stable_hash(subject), member)
}

/// The same where the subject's [`stable_hash`] is at hand.
pub fn rendezvous_weight_for_hash(subject: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), subject)
}
