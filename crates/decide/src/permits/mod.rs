//! Permits to send requests to targets that have announced a limit over all boxes together.
//!
//! Load pattern: one target of many accepts one request a second, and each of a hundred boxes has a
//! request for it every few seconds. Each box sends about a hundredth of the limit, so no rule that a box
//! applies alone enforces it, and equal shares would mostly belong to boxes that have no request for the
//! target at the time.
//!
//! For each such target one box of its data centre, the first by rendezvous hashing, is the coordinator
//! and holds a token bucket of permits ([`coordinator`]). A box that picks the target for a request asks
//! the coordinator for a permit, which takes one round trip. If the permit is denied, the request goes
//! elsewhere and the target is not eligible at that box until its retry time. A box that receives no
//! answer from the coordinator uses a small share of its own ([`share`]).
//!
//! Customers' quotas have coordinators as well, but differ in the trade-off. Quotas are tens of requests
//! a second, boxes spend them before the coordinator grants them, and requests wait for tokens, since a
//! request cannot change its customer. A permit is requested each time, and a request never waits for one
//! while another target is free: at a limit of one request a second, forty boxes that spend in advance
//! would exceed it ten times over.

pub mod coordinator;
pub mod share;

use std::time::Duration;

pub use coordinator::PermitCoordinator;
pub use share::FallbackShare;

/// Whether a request may be sent to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted,
    /// The request may not be sent. A permit may be available after this time.
    Denied(Duration),
}
