//! The event queue of an emulated fleet, and the records that its events refer to by index.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{AttemptHandle, PeerSample};
use wingbridge_decide::{TargetKey, TimePoint};

/// The pending events in the order of their times, and the current virtual time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    pub(super) now: TimePoint,
    queue: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules `event` at `after` from now. Events of the same time are returned in the order in
    /// which they were scheduled.
    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, event)));
    }

    /// Removes the next event and advances the virtual time to it. Returns `None` if the queue is
    /// empty or the event is not before `end`.
    pub(super) fn next(&mut self, end: TimePoint) -> Option<Event> {
        let Reverse((at, _, event)) = self.queue.pop()?;
        if at >= end {
            return None;
        }
        self.now = at;
        Some(event)
    }
}

/// The kind of a target's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AnswerKind {
    /// The request ran and succeeded.
    Good,
    /// The request ran and failed.
    Failure,
    /// The request did not run.
    Refusal,
}

/// An event in an emulated fleet. Attempts, requests and messages are given by their indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request arrives at some box.
    Arrival { service: usize },
    /// An attempt reaches its target.
    Reached { attempt: usize },
    /// A target finishes its work on an attempt.
    Done { attempt: usize },
    /// A target's answer reaches the box.
    Answered { attempt: usize, kind: AnswerKind },
    /// An attempt has been open for longer than its target typically needs.
    Overdue { attempt: usize },
    /// A second attempt may be sent beside an open one.
    HedgeDue { request: usize, attempt: usize },
    /// A request reaches its deadline.
    DeadlineReached { request: usize },
    /// A held request is tried again.
    SendAgain { request: usize },
    /// A message of a box reaches another one.
    MessageReceived { message: usize },
}

/// One attempt to send a request to a target.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) handle: AttemptHandle,
    pub(super) open: bool,
}

/// A caller's request.
pub(super) struct Request {
    pub(super) service: usize,
    pub(super) box_number: usize,
    pub(super) since: TimePoint,
    pub(super) attempts: Vec<usize>,
    pub(super) ended: bool,
}

/// A health sample and retry counts that a box sends to another one.
pub(super) struct Message {
    pub(super) to: usize,
    pub(super) from: u64,
    pub(super) key: TargetKey,
    pub(super) sample: PeerSample,
    pub(super) retry_counts: Vec<(usize, RetryCounts)>,
}
