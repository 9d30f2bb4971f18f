//! News that is passed on once: which of it was heard before.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// The last pieces of update, so that none goes round for ever.
#[derive(Debug)]
pub struct DuplicateFilter<T> {
    known: HashSet<T>,
    order: VecDeque<T>,
    capacity: usize,
}

impl<T: Clone + Eq + Hash> DuplicateFilter<T> {
    /// Remembers the last `capacity` pieces.
    pub fn new(capacity: usize) -> DuplicateFilter<T> {
        DuplicateFilter { known: HashSet::new(), order: VecDeque::new(), capacity }
    }

    /// Notes a piece of update; true if it was not heard before.
    pub fn insert(&mut self, update: T) -> bool {
        if !self.known.insert(update.clone()) {
            return false;
        }
        self.order.push_back(update);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}
