//! What happens in an emulated fleet: events in the order of their times, and what they are of.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{AttemptHandle, PeerSample};
use wingbridge_decide::{TargetKey, TimePoint};

/// Events to come, and now.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    pub(super) now: TimePoint,
    queue: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    queued: u64,
}

impl EventQueue {
    /// Has `event` happen after that time; of several at once the first one queued comes first.
    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((self.now + after, self.queued, event)));
    }

    /// The next event before `end`, at whose time it is now.
    pub(super) fn next(&mut self, end: TimePoint) -> Option<Event> {
        let Reverse((at, _, event)) = self.queue.pop()?;
        if at >= end {
            return None;
        }
        self.now = at;
        Some(event)
    }
}

/// What a target's answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AnswerKind {
    Good,
    /// It ran and failed.
    Failure,
    /// It did not run.
    Refusal,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival { service: usize },
    Reached { attempt: usize },
    Done { attempt: usize },
    Answered { attempt: usize, kind: AnswerKind },
    Overdue { attempt: usize },
    HedgeDue { request: usize, attempt: usize },
    TimeOver { request: usize },
    LookAgain { request: usize },
    Told { message: usize },
}

/// One sending of a request to a target.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) handle: AttemptHandle,
    pub(super) open: bool,
}

/// A caller's request.
pub(super) struct Request {
    pub(super) service: usize,
    pub(super) gateway: usize,
    pub(super) since: TimePoint,
    pub(super) attempts: Vec<usize>,
    pub(super) over: bool,
}

/// What a box tells another one.
pub(super) struct Message {
    pub(super) to: usize,
    pub(super) from: u64,
    pub(super) key: TargetKey,
    pub(super) sample: PeerSample,
    pub(super) retry_counts: Vec<(usize, RetryCounts)>,
}
