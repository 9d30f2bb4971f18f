//! Detects updates that were received before, so that each is relayed once.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// The last updates that were received, which keeps updates from being relayed in circles.
#[derive(Debug)]
pub struct DuplicateFilter<T> {
    seen: HashSet<T>,
    order: VecDeque<T>,
    capacity: usize,
}

impl<T: Clone + Eq + Hash> DuplicateFilter<T> {
    /// Creates a filter that remembers the last `capacity` updates.
    pub fn new(capacity: usize) -> DuplicateFilter<T> {
        DuplicateFilter { seen: HashSet::new(), order: VecDeque::new(), capacity }
    }

    /// Records an update; returns whether it is new.
    pub fn insert(&mut self, update: T) -> bool {
        if !self.seen.insert(update.clone()) {
            return false;
        }
        self.order.push_back(update);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}
