//! Relaying of updates about failing targets to the boxes of other data centres.
//!
//! All boxes together see some hundred failures per second, each of interest to every box, and traffic between
//! data centres is expensive. If each box sent a datagram to every remote box, the traffic between data
//! centres would grow with the square of the number of boxes. So a box sends each update to two boxes of each
//! other data centre, and these relay it to the other boxes of their data centre, where traffic costs nothing.
//! There are two relays, since one may have failed undetected. Each update has a number, by which a box drops
//! updates that it has already received, since a failure that is counted twice would weigh as two.

use std::collections::HashMap;

/// Number of boxes of each other data centre that receive an update and relay it within their data centre.
pub const RELAYS: usize = 2;
/// Number of update numbers below the newest one of a sender for which duplicates are detected.
const DUPLICATE_WINDOW: u64 = 64;
/// Maximum number of senders that are tracked. Updates of a sender that was dropped may count twice.
const MAX_SENDERS: usize = 4096;

/// Detects updates that were received before, by sender and number.
#[derive(Debug, Default)]
pub struct DuplicateFilter {
    /// The newest number of each sender, and a bit for each of the numbers up to it.
    received: HashMap<u64, (u64, u64)>,
}

impl DuplicateFilter {
    /// Records the update `number` of the incarnation `sender`; returns whether it is new.
    pub fn insert(&mut self, sender: u64, number: u64) -> bool {
        if self.received.len() >= MAX_SENDERS && !self.received.contains_key(&sender) {
            self.received.clear();
        }
        let (newest, bits) = self.received.entry(sender).or_insert((number, 0));
        if number > *newest {
            let shift = number - *newest;
            *bits = if shift >= DUPLICATE_WINDOW { 0 } else { *bits << shift };
            *newest = number;
        }
        let distance = *newest - number;
        if distance >= DUPLICATE_WINDOW {
            // Too old to be tracked: it has almost certainly been received from another relay.
            return false;
        }
        let bit = 1 << distance;
        let is_new = *bits & bit == 0;
        *bits |= bit;
        is_new
    }
}
