//! Customers' quotas over all boxes together.
//!
//! Load pattern: a customer's callers are spread over all boxes, a few at each, and each box sees a
//! hundredth of what the customer asks. On most days a customer stays well below its limit; then one
//! sends ten times its usual from everywhere at once, and the bound must hold over any window,
//! also while boxes are cut off, restarted or slow.
//!
//! For each customer one box, the first by rendezvous, keeps a bucket of credit ([`coordinator`]); a
//! second one steps in for boxes that can't reach it. Each box spends ahead of the keeper's word
//! while credit is plentiful and tells what it spent ([`accounts`]), so that no request waits and the
//! keeper knows within a round trip. Once credit is scarce, boxes get it in advance, and a box
//! without credit refuses at once. A box that reaches no keeper lives on the share of the customer's
//! credit that it had before, which its keeper holds back for as long as it does not hear it.
//!
//! Sums of the window that each box tells all others were weighed against that: at 113 boxes
//! with 9 requests a second each they are 1,000 datagrams a second at each box.

pub mod accounts;
pub mod bucket;
pub mod coordinator;

use std::time::Duration;

pub use accounts::{Admission, DueRequest, TokenAccounts};
pub use coordinator::{CoordinatorRole, CoordinatorStatus, QuotaCoordinator};

/// For how long a box may live on the share that it was last told, and its keeper holds that back.
pub(crate) const SHARE_TIME: Duration = Duration::from_secs(30);

/// What a customer may ask, over all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests above that at once.
    pub burst: f64,
}

/// What the operators allow above a customer's limit, for what boxes can't know of each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// Requests within a window.
    pub requests: f64,
    /// The window in which requests are counted.
    pub window: Duration,
}

/// What a box tells a keeper, and wishes of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRequest {
    /// Another number for each ask of a box: the answer repeats it.
    pub number: u64,
    /// Requests that it admitted ahead of the keeper's word and has not told of.
    pub debt: u32,
    /// Requests that it was granted and did not use in time.
    pub unused: u32,
    /// Requests that it wants to admit soon.
    pub wanted: u32,
    /// Its share of the customer's credit, 0 to 1.
    pub share: f64,
    /// Whether a keeper told it that share. A box that has just begun brings an equal one.
    pub is_share_assigned: bool,
}

/// The box that asks a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRequester {
    /// A number for the box that outlasts its restarts.
    pub box_key: u64,
    /// Another number after each of its starts.
    pub incarnation: u64,
}

/// A keeper's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaGrant {
    /// The ask that it answers.
    pub number: u64,
    /// Requests that the box may admit.
    pub granted: u32,
    /// Whether credit runs low, so that no box may spend ahead.
    pub scarce: bool,
    /// When to ask again, if not all that was wished is granted.
    pub wait: Duration,
    /// The box's share of the customer's credit from now on, 0 to 1.
    pub share: f64,
}
