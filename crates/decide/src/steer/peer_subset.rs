//! The peers that receive full reports of what a box observes.
//!
//! If each box reported each attempt to every box of its data centre, the data that a box receives would grow
//! with the requests of the whole data centre, and the data that it sends with the number of boxes: at 88
//! boxes, 1,100 datagrams per second in each direction (calculated). In simulations of whole days, a quiet day
//! of 443 boxes took 585 s of processor time in that way and 466 s with 36 full-report peers for each box,
//! and as many requests were served. Failure estimates need no more, since a target in use is observed several
//! times a second.
//!
//! So each box sends full reports to a few peers, and failures alone to the others. The few stay the same,
//! so that a peer that received the start of an attempt also receives its end.

use crate::names::rendezvous_weight;

/// Number of peers to which a box sends full reports. In data centres with up to 36 boxes, the size for which
/// the failure estimates were validated, every peer receives full reports.
pub const PEER_SUBSET_SIZE: usize = 36;

/// Returns the [`PEER_SUBSET_SIZE`] of `others` to which box `own` sends full reports, spread evenly over the
/// boxes. Rendezvous hashing keeps the others in place when a box joins or leaves.
pub fn peer_subset<'a, T>(own: &str, others: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = others.iter().collect();
    if ranked.len() > PEER_SUBSET_SIZE {
        ranked.sort_by_cached_key(|other| std::cmp::Reverse(rendezvous_weight(own, name(other))));
        ranked.truncate(PEER_SUBSET_SIZE);
    }
    ranked
}

/// Returns the number of boxes whose full reports a box receives, in a data centre with `local` boxes. This
/// box is included in both numbers.
pub fn reporting_boxes(local: usize) -> usize {
    local.min(PEER_SUBSET_SIZE + 1)
}
