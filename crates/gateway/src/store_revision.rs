//! Revisions of the store and of configurations, and which of two is newer.
//!
//! The store may come back from a copy that is some seconds old. It has then lost its last changes and gives
//! out their numbers again. All comparisons of what was read, from the store or from peers, go by the order
//! that is defined here.

use std::fmt;

/// A state of the store: later eras are newer, and within an era higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision {
    /// Number of times that the store came back from a copy; 0 if it does not report its era.
    pub era: u64,
    /// Number of the last change.
    pub number: u64,
}

/// Identifies a configuration between boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigId {
    /// The operators' version, which rises with each configuration; 0 if it is not known.
    pub version: u64,
    /// Revision of the store at which the configuration was written.
    pub revision: StoreRevision,
}

impl StoreRevision {
    /// The revision before the first change.
    pub const NONE: StoreRevision = StoreRevision { era: 0, number: 0 };
}

impl ConfigId {
    /// The identity of no configuration.
    pub const NONE: ConfigId = ConfigId { version: 0, revision: StoreRevision::NONE };

    /// Returns whether this configuration takes precedence over `held`.
    ///
    /// The operators' versions decide, because a store that came back from a copy may hold an older
    /// configuration at a newer revision. A peer of an earlier release reports no version.
    pub fn is_newer_than(self, held: ConfigId) -> bool {
        if self.version == 0 || held.version == 0 {
            return self.revision > held.revision;
        }
        (self.version, self.revision) > (held.version, held.revision)
    }
}

impl From<u64> for StoreRevision {
    /// Returns the revision with this number, of a store that does not report its era.
    fn from(number: u64) -> StoreRevision {
        StoreRevision { era: 0, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}
