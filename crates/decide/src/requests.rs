//! The requests that a box works on.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::messages::{RequestId, RequestPlan};
use crate::names::TargetKey;
use crate::queue::QueuePlace;
use crate::time::TimePoint;

/// One request on its way.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) plan: RequestPlan,
    pub(crate) phase: RequestPhase,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<TargetKey>,
    /// Whether a target may have run it.
    pub(crate) may_have_run: bool,
}

/// Where a request is.
#[derive(Debug, Clone)]
pub(crate) enum RequestPhase {
    /// It waits in its service's queue.
    Queued(QueuePlace),
    /// It is at a target.
    Open(OpenAttempt),
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenAttempt {
    pub(crate) target: TargetKey,
    pub(crate) started: TimePoint,
    /// Whether it has been counted as overdue.
    pub(crate) overdue: bool,
}

/// What is looked at when its time comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimedCheck {
    /// Whether this attempt is still open.
    Overdue {
        /// Which attempt.
        attempt: u32,
    },
    /// Whether the request is still here.
    Deadline,
}

/// All requests of a box, with what is due when.
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

    pub(crate) fn check_at(&mut self, time: TimePoint, request: RequestId, check: TimedCheck) {
        self.due.push(Reverse((time, request, check)));
    }

    /// Takes the next check whose time has come. Those of finished requests are passed over.
    pub(crate) fn take_due(&mut self, now: TimePoint) -> Option<(RequestId, TimedCheck)> {
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
