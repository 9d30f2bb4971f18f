//! Names shared by many parts without copying.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
}

/// A number for `text` that is the same in every process.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// The weight of `member` for `subject` in rendezvous hashing: the members with
/// the highest weights take the subject, and the loss of one moves only its own.
pub fn rendezvous_weight(subject: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(subject.as_bytes()))
}
