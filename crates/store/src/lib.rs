//! Access to the platform's store and list of boxes.
//!
//! The store limits the rate of calls, can be unreachable for hours, and may lose the answer to a
//! write that took effect. Therefore each box bounds its calls with a [`CallBudget`] and waits between
//! failed calls with [`Backoff`], and each change carries an id inside its value, with which its
//! author finds out whether it took effect (see [`change`]).

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
