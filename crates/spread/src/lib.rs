//! The exchange between boxes: configuration, membership, which boxes run the outlier detectors, which watch the store.
//!
//! All that must agree is a map from keys to versions in which only the higher
//! version counts ([`SpreadMap`]). Merging is associative, commutative and
//! idempotent, so messages may be lost, repeated and reordered: boxes that reach
//! each other end with the same map, and no key's version ever goes down. The
//! core is pure; the agent gives it time, messages and a seed.

pub mod core;
pub mod duplicate_filter;
pub mod map;
pub mod members;

pub use crate::core::{SpreadCommand, SpreadCore, SpreadEvent, SpreadSetup};
pub use map::SpreadMap;
pub use members::{BoxIdentity, MemberList, MemberState, MemberValue};
