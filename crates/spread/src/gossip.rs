//! News that is passed on once: which of it was heard before.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// The last pieces of news, so that none goes round for ever.
#[derive(Debug)]
pub struct HeardNews<T> {
    known: HashSet<T>,
    order: VecDeque<T>,
    capacity: usize,
}

impl<T: Clone + Eq + Hash> HeardNews<T> {
    /// Remembers the last `capacity` pieces.
    pub fn new(capacity: usize) -> HeardNews<T> {
        HeardNews { known: HashSet::new(), order: VecDeque::new(), capacity }
    }

    /// Notes a piece of news; true if it was not heard before.
    pub fn note(&mut self, news: T) -> bool {
        if !self.known.insert(news.clone()) {
            return false;
        }
        self.order.push_back(news);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}
