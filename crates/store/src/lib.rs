//! The platform's store and box list, as wingbridge uses them.
//!
//! The store is rate-limited, goes away for hours, and may lose the answer to a
//! write that took effect. So each box has a [`CallBudget`], waits between failed
//! calls with [`Backoff`], and each change carries an id inside its value by which
//! its author finds out whether it happened (see [`change`]).

pub mod backoff;
pub mod budget;
pub mod change;
pub mod client;
pub mod value;

pub use backoff::Backoff;
pub use budget::CallBudget;
pub use change::{ChangeOutcome, ChangeRequest, submit_change};
pub use client::{
    BoxListing, BoxRecord, KeyListing, KeyRecord, StoreClient, StoreError, WriteReply,
};
pub use value::StoredValue;
