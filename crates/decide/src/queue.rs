//! Limits of one service in one box: what is open, what waits, whose it is.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::messages::RequestId;

/// Callers with requests here from which on shares are counted.
const SHARED_FROM: usize = 2;

/// The requests of one service that wait, and the shares of its callers.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiting: BTreeMap<QueuePlace, RequestId>,
    arrivals: u64,
    held: HashMap<u64, usize>,
}

/// A place in the queue: higher priority first, then the earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePlace {
    priority: Reverse<u8>,
    arrival: u64,
}

impl ServiceQueue {
    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request at the end of its priority.
    pub(crate) fn push(&mut self, request: RequestId, priority: u8) -> QueuePlace {
        self.arrivals += 1;
        let place = QueuePlace { priority: Reverse(priority), arrival: self.arrivals };
        self.waiting.insert(place, request);
        place
    }

    /// Takes the first request.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Takes out a request that waits no more.
    pub(crate) fn remove(&mut self, place: QueuePlace) {
        self.waiting.remove(&place);
    }

    /// Counts one more open or waiting request of `caller`.
    pub(crate) fn hold(&mut self, caller: u64) {
        *self.held.entry(caller).or_default() += 1;
    }

    /// Counts one less.
    pub(crate) fn release(&mut self, caller: u64) {
        let Some(count) = self.held.get_mut(&caller) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.held.remove(&caller);
        }
    }

    /// Open and waiting requests of `caller`.
    pub(crate) fn held_by(&self, caller: u64) -> usize {
        self.held.get(&caller).copied().unwrap_or_default()
    }

    /// What one caller may hold when `room` requests have room in all.
    pub(crate) fn fair_share(&self, room: usize) -> usize {
        let callers = self.held.len();
        if callers < SHARED_FROM { room } else { (room / callers).max(1) }
    }
}
