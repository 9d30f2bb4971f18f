//! Who is told of all that a box sees.
//!
//! With each attempt told to every box of the data centre, what a box takes in grows with the
//! requests of the whole data centre, and what it sends with its boxes: at 88 boxes 1,100 datagrams
//! a second each way (worked out). A quiet day of 443 boxes took 585 s of processor time so, and 466 s
//! with 36 listeners a box (play of whole days), and as many requests were served. Beliefs need
//! no more: a target that is in use is seen several times a second. So each box tells all to a
//! few that stay the same, which hear of an attempt's end if they heard of its beginning, and to the
//! others failures alone.

use crate::names::rendezvous_weight;

/// Boxes that hear of all that one sees. Data centres of the users with 36 boxes and fewer, for
/// whom the beliefs were measured, tell everybody.
pub const PEER_SUBSET_SIZE: usize = 36;

/// The `PEER_SUBSET_SIZE` of `others` that box `own` tells all, chosen evenly over the boxes: who hears
/// whom changes only for the places of boxes that come and go.
pub fn peer_subset<'a, T>(own: &str, others: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = others.iter().collect();
    if ranked.len() > PEER_SUBSET_SIZE {
        ranked.sort_by_cached_key(|other| std::cmp::Reverse(rendezvous_weight(own, name(other))));
        ranked.truncate(PEER_SUBSET_SIZE);
    }
    ranked
}

/// Of `near` boxes of a data centre, the one that asks counted, how many tell it all, itself
/// counted.
pub fn reporting_boxes(near: usize) -> usize {
    near.min(PEER_SUBSET_SIZE + 1)
}
