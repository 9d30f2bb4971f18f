//! The queue of one service in one box, and the number of requests that each caller holds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::messages::RequestId;

/// Minimum number of callers with requests at which each is limited to an equal share.
const MIN_CALLERS_FOR_SHARES: usize = 2;

/// The queued requests of one service, and the requests held by each of its callers.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    queued: BTreeMap<QueuePosition, RequestId>,
    /// Number of requests queued so far.
    arrivals: u64,
    /// Number of open and queued requests by caller.
    held: HashMap<u64, usize>,
}

/// A position in the queue. Higher priorities come first, then earlier arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    priority: Reverse<u8>,
    arrival: u64,
}

impl ServiceQueue {
    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Adds a request after all others of the same priority, and returns its position.
    pub(crate) fn push(&mut self, request: RequestId, priority: u8) -> QueuePosition {
        self.arrivals += 1;
        let position = QueuePosition { priority: Reverse(priority), arrival: self.arrivals };
        self.queued.insert(position, request);
        position
    }

    /// Removes and returns the first request.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        self.queued.pop_first().map(|(_, request)| request)
    }

    /// Removes the request at `position`.
    pub(crate) fn remove(&mut self, position: QueuePosition) {
        self.queued.remove(&position);
    }

    /// Counts one more open or queued request of `caller`.
    pub(crate) fn hold(&mut self, caller: u64) {
        *self.held.entry(caller).or_default() += 1;
    }

    /// Removes one open or queued request of `caller` from its count.
    pub(crate) fn release(&mut self, caller: u64) {
        let Some(count) = self.held.get_mut(&caller) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.held.remove(&caller);
        }
    }

    /// Returns the number of open and queued requests of `caller`.
    pub(crate) fn held_by(&self, caller: u64) -> usize {
        self.held.get(&caller).copied().unwrap_or_default()
    }

    /// Returns the number of requests that one caller may hold if the capacity for all callers is `capacity`.
    pub(crate) fn fair_share(&self, capacity: usize) -> usize {
        let callers = self.held.len();
        if callers < MIN_CALLERS_FOR_SHARES { capacity } else { (capacity / callers).max(1) }
    }
}
