//! The event trace: the events of all processes in causal order.
//!
//! Each process keeps its most recent events in a bounded buffer. A hybrid logical clock stamps
//! them, and messages between processes carry its stamps, so that an effect is stamped after its
//! cause if no box's clock is over a minute ahead of another's.

pub mod clock;
pub mod event;
pub mod page;

pub use clock::HybridClock;
pub use event::{EventTrace, TraceEvent, merge_events};
