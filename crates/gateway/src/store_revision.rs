//! Revisions of the store.

use std::cmp::Ordering;
use std::fmt;

/// A state of the store. Its changes are numbered, and the number rises with each of them, until the store
/// comes back from an older copy: it then begins a new era and gives out numbers again.
///
/// Two revisions compare by their numbers alone.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreRevision {
    /// Number of times that the store came back from a copy; 0 if it does not report its era.
    pub era: u64,
    /// Number of the last change.
    pub number: u64,
}

impl StoreRevision {
    /// The revision before the first change.
    pub const NONE: StoreRevision = StoreRevision { era: 0, number: 0 };
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

impl PartialEq for StoreRevision {
    fn eq(&self, other: &StoreRevision) -> bool {
        self.number == other.number
    }
}

impl Eq for StoreRevision {}

impl PartialOrd for StoreRevision {
    fn partial_cmp(&self, other: &StoreRevision) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StoreRevision {
    fn cmp(&self, other: &StoreRevision) -> Ordering {
        self.number.cmp(&other.number)
    }
}
