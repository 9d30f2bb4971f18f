//! Fingerprints, by which a request that is sent again is recognized.

use std::fmt;

/// A hash of a request's content that is the same in every box, process and version.
///
/// It is computed with a cryptographic hash. With a weaker one, a hostile caller could make a request that has
/// the fingerprint of another caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
