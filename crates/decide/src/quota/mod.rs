//! Customers' quotas, enforced over all boxes together.
//!
//! Load pattern: a customer's callers are spread over all boxes, a few at each, and each box sees a
//! hundredth of the customer's requests. On most days a customer stays well below its limit. Then it
//! sends ten times its typical rate through all boxes at once, and the limit must hold over any window,
//! also while boxes are partitioned, restarted or slow.
//!
//! For each customer one box, the first by rendezvous hashing, is the coordinator and holds a token
//! bucket ([`coordinator`]). The second one is the standby for boxes that cannot reach the coordinator.
//! While tokens are plentiful, a box admits requests before the coordinator grants them and reports
//! what it spent ([`accounts`]), so that no request waits and the coordinator has the figure within a
//! round trip. Once tokens are scarce, boxes request them in advance, and a box without tokens refuses
//! at once. A box that reaches neither coordinator nor standby spends its last assigned share of the
//! customer's rate, which the coordinator reserves for as long as it receives nothing from that box.
//!
//! The alternative in which each box broadcasts its sum over the window was rejected: at 113 boxes
//! with 9 requests a second each it costs 1,000 datagrams a second at each box.

pub mod accounts;
pub mod bucket;
pub mod coordinator;

use std::time::Duration;

pub use accounts::{Admission, DueRequest, TokenAccounts};
pub use coordinator::{CoordinatorRole, CoordinatorStatus, QuotaCoordinator};

/// Time for which a box may spend its last assigned share while it is cut off, and for which the
/// coordinator reserves that share.
pub(crate) const SHARE_VALIDITY: Duration = Duration::from_secs(30);

/// The rate limit of a customer, over all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Sustained rate in requests a second.
    pub per_second: f64,
    /// Maximum number of requests above the sustained rate that a customer may send at once.
    pub burst: f64,
}

/// The excess over a customer's limit that the operators tolerate, since boxes have incomplete
/// information about each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// Number of requests above the limit within a window.
    pub requests: f64,
    /// Length of the window in which requests are counted.
    pub window: Duration,
}

/// A request for tokens from a box to a coordinator, with a report of the tokens that it spent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRequest {
    /// Number that is unique among the requests of a box. The grant repeats it.
    pub number: u64,
    /// Number of requests that the box admitted without a grant and has not reported before.
    pub debt: u32,
    /// Number of granted tokens that the box did not use before they expired.
    pub unused: u32,
    /// Number of requests that the box is about to admit.
    pub wanted: u32,
    /// The box's share of the customer's rate, from 0 to 1.
    pub share: f64,
    /// Whether a coordinator assigned that share. A box that has just started reports an equal share.
    pub is_share_assigned: bool,
}

/// The box that sends a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequester {
    /// Identifier of the box that stays the same across restarts.
    pub box_key: u64,
    /// Identifier of the box's process, different after each start.
    pub incarnation: u64,
}

/// A coordinator's answer to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenGrant {
    /// Number of the request that this answers.
    pub number: u64,
    /// Number of requests that the box may admit.
    pub granted: u32,
    /// Whether tokens are scarce, so that no box may admit requests without a grant.
    pub scarce: bool,
    /// Time after which the box may request tokens again, if it was granted less than it wanted.
    pub wait: Duration,
    /// The box's share of the customer's rate from now on, from 0 to 1.
    pub share: f64,
}
