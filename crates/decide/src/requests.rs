//! The open and queued requests of a box, and the checks scheduled for them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::messages::{RequestId, RequestPlan};
use crate::names::TargetKey;
use crate::queue::QueuePosition;
use crate::time::TimePoint;

/// A request that has not been concluded.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) plan: RequestPlan,
    pub(crate) phase: RequestPhase,
    /// Number of attempts made.
    pub(crate) attempts: u32,
    /// Targets that the attempts went to.
    pub(crate) tried: Vec<TargetKey>,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
}

/// The phase of a request.
#[derive(Debug, Clone)]
pub(crate) enum RequestPhase {
    /// The request waits in the queue of its service.
    Queued(QueuePosition),
    /// An attempt is open.
    Open(OpenAttempt),
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenAttempt {
    pub(crate) target: TargetKey,
    pub(crate) started: TimePoint,
    /// Whether the attempt has been counted as overdue.
    pub(crate) overdue: bool,
}

/// A check that is scheduled for a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimedCheck {
    /// Checks whether an attempt is still open.
    Overdue {
        /// Number of the attempt, counted from 1.
        attempt: u32,
    },
    /// Checks whether the request has not been concluded at its deadline.
    Deadline,
}

/// All requests of a box, and their scheduled checks.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestState>,
    due: BinaryHeap<Reverse<(TimePoint, RequestId, TimedCheck)>>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, request: RequestId, state: RequestState) {
        self.requests.insert(request, state);
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&RequestState> {
        self.requests.get(&request)
    }

    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&request)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<RequestState> {
        self.requests.remove(&request)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn schedule_check(
        &mut self,
        time: TimePoint,
        request: RequestId,
        check: TimedCheck,
    ) {
        self.due.push(Reverse((time, request, check)));
    }

    /// Removes and returns the next check that is due. Checks of concluded requests are discarded.
    pub(crate) fn pop_due(&mut self, now: TimePoint) -> Option<(RequestId, TimedCheck)> {
        while let Some(Reverse((time, request, check))) = self.due.peek().copied() {
            if time > now {
                return None;
            }
            self.due.pop();
            if self.requests.contains_key(&request) {
                return Some((request, check));
            }
        }
        None
    }
}
