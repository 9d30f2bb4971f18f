//! The time line: what happened, in every process, in the order of causes.
//!
//! Each process keeps its last events in a bounded ring. A hybrid logical clock
//! stamps them; messages between processes carry it, so that an effect is never
//! stamped before its cause, however far the boxes' clocks are apart.

pub mod clock;
pub mod event;
pub mod page;

pub use clock::HybridClock;
pub use event::{EventTrace, TraceEvent, merge_events};
