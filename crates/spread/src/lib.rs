//! The exchange between boxes of configuration and membership, and the choice of the boxes that run
//! the outlier detectors and that watch the store.
//!
//! The state that all boxes must agree on is a map from keys to versions, in which only the highest
//! version of a key counts ([`SpreadMap`]). Merging is associative, commutative and idempotent, so
//! messages may be lost, repeated and reordered: boxes that reach each other converge to the same
//! map, and the version of a key never decreases. The core is pure; the agent supplies the time,
//! the messages and a seed.

pub mod core;
pub mod duplicate_filter;
pub mod map;
pub mod members;

pub use crate::core::{SpreadCommand, SpreadCore, SpreadEvent, SpreadSetup};
pub use map::SpreadMap;
pub use members::{BoxIdentity, MemberList, MemberState, MemberValue};
