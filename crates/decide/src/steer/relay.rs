//! How news of failing targets reaches the boxes of other data centres.
//!
//! Load pattern: some hundred failures a second over all boxes, each of interest to each box, where bytes
//! between data centres are dear. With a datagram to each box elsewhere what crosses grows with the
//! square of the boxes. So a box tells two boxes of each other data centre, and these tell the others
//! of theirs, where bytes cost nothing: two, since one may be dead and nobody know it yet. Each
//! piece of news has a number, by which a box drops what it has heard already: counted twice, one
//! failure would weigh as two.

use std::collections::HashMap;

/// Boxes of another data centre that are told, to tell the others of theirs.
pub const RELAYS: usize = 2;
/// Numbers that are remembered below the newest one of a sender.
const REMEMBERED: u64 = 64;
/// Senders that are remembered; news of those that are forgotten may count twice.
const SENDERS: usize = 4096;

/// Which news of which sender were heard.
#[derive(Debug, Default)]
pub struct DuplicateFilter {
    /// The newest number, and a bit for each one below it.
    heard: HashMap<u64, (u64, u64)>,
}

impl DuplicateFilter {
    /// Notes the news `number` of the incarnation `sender`; returns whether they are new.
    pub fn insert(&mut self, sender: u64, number: u64) -> bool {
        if self.heard.len() >= SENDERS && !self.heard.contains_key(&sender) {
            self.heard.clear();
        }
        let (newest, bits) = self.heard.entry(sender).or_insert((number, 0));
        if number > *newest {
            let shift = number - *newest;
            *bits = if shift >= REMEMBERED { 0 } else { *bits << shift };
            *newest = number;
        }
        let below = *newest - number;
        if below >= REMEMBERED {
            // Too old to tell; it has been told by others long since.
            return false;
        }
        let bit = 1 << below;
        let is_new = *bits & bit == 0;
        *bits |= bit;
        is_new
    }
}
