//! Permits to send to targets that have named a limit over all boxes together.
//!
//! Load pattern: one target of many takes one request a second, and a hundred boxes would like to send it
//! one every few seconds each. What each may send by itself is a hundredth of the limit, so no rule that a box
//! keeps alone holds, and equal shares of it are mostly at boxes that have no use for them just then.
//!
//! For each such target one box of its data centre, the first by rendezvous, keeps a bucket of permits
//! ([`coordinator`]). A request whose choice falls on the target asks it, one round trip, and goes elsewhere if there is
//! none; the target then is no choice of that box until its turn. A box that the keeper does not answer lives on
//! a small share of its own ([`share`]).
//!
//! Customers' quotas are kept alike and differ in what decides: they are tens a second, spent ahead of the
//! keeper's word and waited for, since a request has no other customer to go to. A permit is asked for
//! each time and never waited for while another target is free; at one a second, what forty boxes would spend
//! ahead is ten times what is allowed.

pub mod coordinator;
pub mod share;

use std::time::Duration;

pub use coordinator::PermitCoordinator;
pub use share::FallbackShare;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// It may, now.
    Granted,
    /// It may not; there may be a permit after this time.
    Denied(Duration),
}
