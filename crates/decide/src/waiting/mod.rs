//! The waiting queue of one service in one box: which of the requests that find no capacity goes next, and which
//! are refused because they can't be served in time.
//!
//! It answers loads above capacity for seconds: 1.5 times capacity, or a burst of 2.5 for 5 s. Before, each
//! held request slept and tried again, so that chance decided which one got a free slot, and a request that could
//! no longer be served was held until its deadline.

mod entry;
mod learned;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::TimePoint;
use entry::Position;
use learned::{AttemptStats, EventRate, JoinRates};

pub use entry::{LatestStart, QueueEntry, TargetRoom, TicketId};

/// Maximum number of requests that wait for one service in one box. With goals of some seconds at most, a queue of
/// this length is served in time only at some hundred requests a second, far above the rate of a box.
pub const MAX_WAITING: usize = 1024;
/// Of this many turns, one goes to the request of a lower rank that has waited longest. The first rank keeps nine
/// tenths of the capacity, and a lower rank gets a tenth whatever the first one asks for.
pub const AGED_TURN_INTERVAL: u32 = 10;
/// Time after the last wake-up after which the first request is woken without a known change of capacity. This
/// guards against lost wake-ups, and against capacity that returns without an event, as when the back-off of a
/// target ends.
pub const GUARD_TIME: Duration = Duration::from_millis(250);
/// Minimum time between two checks of all waiting requests. It bounds the cost of a check, which is proportional to
/// the number of requests, and is below an eighth of all goals from 80 ms on.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why a request is refused by a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The request can't be served before its deadline.
    TooLate,
    /// The queue is full.
    Full,
    /// The box stops.
    Stopping,
}

/// How a request leaves its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// An attempt was started for it.
    Placed,
    /// It is no longer to be served, because its caller left or its answer was decided otherwise.
    Abandoned,
}

/// What an operation on a queue means for the waiting requests.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct QueueSignals {
    /// The request that is to try for a target now.
    pub woken: Option<TicketId>,
    /// Requests that were removed from the queue and are to be refused.
    pub refused: Vec<(TicketId, RefusalCause)>,
}

/// A waiting request with its state.
#[derive(Debug)]
struct WaitingRequest {
    entry: QueueEntry,
    position: Position,
    wake: Option<Wake>,
}

/// The wake-up of a request that has not yet been placed.
#[derive(Debug, Clone)]
struct Wake {
    /// The capacity that caused it; `None` for the guard timer.
    room: Option<TargetRoom>,
    /// Whether the request was woken out of order because it had waited for long.
    aged: bool,
}

/// What goes before a waiting request.
#[derive(Debug)]
struct TurnsBefore {
    /// Number of requests before it in the order.
    requests: usize,
    /// Requests per second that join and go before it.
    joining: f64,
    /// Number of requests that get an aged turn before it; `None` for a request of the first rank or one that misses
    /// its goal, which get none.
    lower: Option<usize>,
    /// Whether aged turns are given.
    has_lower: bool,
}

impl TurnsBefore {
    /// Returns whether the turn of the request comes within `seconds`, at `capacity` turns per second.
    fn are_over_within(&self, seconds: f64, capacity: f64) -> bool {
        let (requests, interval) = (self.requests as f64, f64::from(AGED_TURN_INTERVAL));
        match self.lower {
            Some(lower) => {
                let in_order = requests <= seconds * (capacity - self.joining);
                in_order || (lower + 1) as f64 * interval <= seconds * capacity
            }
            None => {
                let in_order = if self.has_lower { (interval - 1.0) / interval } else { 1.0 };
                requests <= seconds * (capacity * in_order - self.joining)
            }
        }
    }
}

/// The requests that wait for capacity of one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    /// The order of the requests. A sorted vector gives the number of requests before a place, and moving a
    /// thousand positions on an insertion takes less than a microsecond.
    order: Vec<Position>,
    requests: BTreeMap<TicketId, WaitingRequest>,
    joined: u64,
    /// Turns since the last one that went to a lower rank.
    turns: u32,
    rate: EventRate,
    joins: JoinRates,
    attempts: AttemptStats,
    woken_at: TimePoint,
    checked_at: TimePoint,
    closed: bool,
}

impl WaitingQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a request, or refuses it at once. Another one is refused in its place if the queue is full and that one
    /// comes last.
    pub fn join(
        &mut self,
        now: TimePoint,
        entry: QueueEntry,
    ) -> (Result<TicketId, RefusalCause>, QueueSignals) {
        let mut signals = self.check_at_interval(now);
        let ticket = self.insert(now, entry, &mut signals);
        (ticket, signals)
    }

    fn insert(
        &mut self,
        now: TimePoint,
        entry: QueueEntry,
        signals: &mut QueueSignals,
    ) -> Result<TicketId, RefusalCause> {
        if self.closed {
            return Err(RefusalCause::Stopping);
        }
        self.joined += 1;
        let wait = self.attempts.mean_wait();
        let mut position = Position::new(&entry, entry.latest_start(now, wait), self.joined);
        let mut index = self.order.partition_point(|other| *other < position);
        self.joins.record(now, position.rank);
        if !position.is_late() && self.comes_too_late(now, &position, index) {
            position = position.postponed(entry.late_start(wait));
            index = self.order.partition_point(|other| *other < position);
        }
        if position.is_late() && self.comes_too_late(now, &position, index) {
            return Err(RefusalCause::TooLate);
        }
        if self.order.len() >= MAX_WAITING {
            let Some(last) = self.last_replaceable().filter(|last| *last > position) else {
                return Err(RefusalCause::Full);
            };
            self.remove(last.id);
            signals.refused.push((last.id, RefusalCause::Full));
        }
        if self.order.is_empty() {
            // The guard time of an empty queue has not begun.
            self.woken_at = now;
        }
        self.order.insert(index, position);
        self.requests.insert(position.id, WaitingRequest { entry, position, wake: None });
        Ok(position.id)
    }

    /// Records that an attempt of the service has begun in this box.
    pub fn record_start(&mut self) {
        self.attempts.record_start();
    }

    /// Records that an attempt was answered after `time`. When it began, it was expected to wait for
    /// `waited` at its target.
    pub fn record_end(&mut self, now: TimePoint, time: Duration, waited: Duration) {
        self.rate.record(now);
        self.attempts.record_end(time, waited);
    }

    /// Records that an attempt has ended without an answer or with a failure.
    pub fn record_unanswered(&mut self, now: TimePoint) {
        self.rate.record(now);
        self.attempts.record_other_end();
    }

    /// Records that an attempt has ended that is no evidence about the capacity: its target refused or never received
    /// it, or this box cancelled it.
    pub fn record_withdrawn(&mut self) {
        self.attempts.record_other_end();
    }

    /// Handles a change of capacity: wakes the request whose turn it is among those that may be placed there, and
    /// refuses requests that can't be served in time.
    pub fn on_room(&mut self, now: TimePoint, room: &TargetRoom) -> QueueSignals {
        let mut signals = self.check_at_interval(now);
        signals.woken = self.wake_next(now, Some(room));
        signals
    }

    /// Handles a change of capacity at an unknown target: wakes the request whose turn it is.
    pub fn on_unknown_room(&mut self, now: TimePoint) -> QueueSignals {
        QueueSignals { woken: self.wake_next(now, None), refused: Vec::new() }
    }

    /// Returns a woken request that found no capacity to its place.
    pub fn return_to_place(&mut self, now: TimePoint, id: TicketId) -> QueueSignals {
        if let Some(wake) = self.take_wake(id) {
            self.give_turn_back(&wake);
        }
        self.check_at_interval(now)
    }

    /// Removes a request. If it was woken and left without an attempt, the capacity for which it was woken goes to the
    /// next one. Room that is left after an attempt has begun is passed to [`WaitingQueue::on_room`].
    pub fn leave(&mut self, now: TimePoint, id: TicketId, departure: Departure) -> QueueSignals {
        let mut signals = QueueSignals::default();
        let wake = self.take_wake(id);
        if !self.remove(id) {
            return signals;
        }
        if let Some(wake) = wake.filter(|_| departure == Departure::Abandoned) {
            self.give_turn_back(&wake);
            signals.woken = self.wake_next(now, wake.room.as_ref());
        }
        signals
    }

    /// Refuses requests that can't be served in time, and wakes the first one if none was woken for the guard time.
    /// This is to be called every guard time while requests wait, and when [`WaitingQueue::time_left`] of one is over.
    pub fn on_timer(&mut self, now: TimePoint) -> QueueSignals {
        let mut signals = self.check_at_interval(now);
        if now.since(self.woken_at) >= GUARD_TIME {
            signals.woken = self.wake_next(now, None);
        }
        signals
    }

    /// Returns the time after which a waiting request can't be served in time, and is refused by the next check;
    /// `None` if it has left.
    pub fn time_left(&self, now: TimePoint, id: TicketId) -> Option<Duration> {
        let request = self.requests.get(&id)?;
        // The check comes after the latest start, and not before the next one is due.
        Some(request.position.latest_start.since(now) + CHECK_INTERVAL)
    }

    /// Returns whether a request that has just arrived must leave `room` to one that waits and goes before it.
    pub fn must_yield(&self, now: TimePoint, entry: &QueueEntry, room: &TargetRoom) -> bool {
        let latest_start = entry.latest_start(now, self.attempts.mean_wait());
        // Of equal places, the one that waits goes first.
        let place = Position::new(entry, latest_start, u64::MAX);
        let goes_before = |other: &&Position| **other < place;
        let mut before = self.order.iter().take_while(goes_before);
        before.any(|other| self.requests[&other.id].entry.may_use(room))
    }

    /// Refuses all requests, those that wait and those that would join, because the box stops.
    pub fn close(&mut self) -> QueueSignals {
        self.closed = true;
        self.order.clear();
        let refused = std::mem::take(&mut self.requests).into_keys();
        QueueSignals {
            woken: None,
            refused: refused.map(|id| (id, RefusalCause::Stopping)).collect(),
        }
    }

    /// Returns whether nothing of the service was seen for so long that the queue can be dropped.
    pub fn is_unused(&self, now: TimePoint) -> bool {
        self.is_empty() && !self.closed && self.rate.upper_estimate(now).is_none()
    }

    /// Wakes the request whose turn it is, if it may use `room`, else the first after it that may.
    fn wake_next(&mut self, now: TimePoint, room: Option<&TargetRoom>) -> Option<TicketId> {
        let may_wake = |request: &WaitingRequest| {
            request.wake.is_none() && room.is_none_or(|room| request.entry.may_use(room))
        };
        let first =
            self.order.iter().find(|position| may_wake(&self.requests[&position.id])).copied()?;
        let is_aged_turn = self.turns + 1 >= AGED_TURN_INTERVAL;
        let is_lower = |request: &WaitingRequest| {
            request.position.rank > first.rank && !request.position.is_late()
        };
        let mut by_age = self.requests.values().filter(|_| is_aged_turn);
        let aged = by_age.find(|request| is_lower(request) && may_wake(request));
        let aged = aged.map(|request| request.position.id);
        self.turns = if aged.is_some() { 0 } else { (self.turns + 1).min(AGED_TURN_INTERVAL - 1) };
        let id = aged.unwrap_or(first.id);
        let wake = Wake { room: room.cloned(), aged: aged.is_some() };
        self.requests.get_mut(&id)?.wake = Some(wake);
        self.woken_at = now;
        Some(id)
    }

    fn take_wake(&mut self, id: TicketId) -> Option<Wake> {
        self.requests.get_mut(&id)?.wake.take()
    }

    /// Undoes the count of a turn that was not used.
    fn give_turn_back(&mut self, wake: &Wake) {
        self.turns = if wake.aged { AGED_TURN_INTERVAL - 1 } else { self.turns.saturating_sub(1) };
    }

    fn check_at_interval(&mut self, now: TimePoint) -> QueueSignals {
        if self.order.is_empty() || now.since(self.checked_at) < CHECK_INTERVAL {
            return QueueSignals::default();
        }
        QueueSignals { woken: None, refused: self.check(now) }
    }

    /// Removes and returns the requests that can't be served before their deadline by what waits before them. Those
    /// that can't meet their goal move behind the others of their rank. A woken request stays, since it is being
    /// placed.
    fn check(&mut self, now: TimePoint) -> Vec<(TicketId, RefusalCause)> {
        self.checked_at = now;
        let (mut refused, mut late) = (Vec::new(), Vec::new());
        let wait = self.attempts.mean_wait();
        let (mut kept, mut lower) = (0, 0);
        let first_rank = self.order.first().map_or(0, |first| first.rank);
        let has_lower = self.has_lower_rank(first_rank);
        let capacity = self.capacity(now);
        let mut order = std::mem::take(&mut self.order);
        order.retain(|position| {
            let is_lower = position.rank > first_rank && !position.is_late();
            let joining = self.joining_before(now, position, first_rank);
            let lower_before = is_lower.then_some(lower);
            let before = TurnsBefore { requests: kept, joining, lower: lower_before, has_lower };
            let request = &self.requests[&position.id];
            if is_too_late(now, position, &before, capacity) && request.wake.is_none() {
                let late_start = request.entry.late_start(wait);
                if !position.is_late() && late_start.at >= now {
                    late.push(position.postponed(late_start));
                } else {
                    refused.push((position.id, RefusalCause::TooLate));
                }
                return false;
            }
            kept += 1;
            lower += usize::from(is_lower);
            true
        });
        self.order = order;
        for (id, _) in &refused {
            self.requests.remove(id);
        }
        for position in late {
            let index = self.order.partition_point(|other| *other < position);
            self.order.insert(index, position);
            if let Some(request) = self.requests.get_mut(&position.id) {
                request.position = position;
            }
        }
        refused
    }

    /// Returns whether a request that joins at `index` of the order can't start by its latest start.
    fn comes_too_late(&self, now: TimePoint, position: &Position, index: usize) -> bool {
        is_too_late(now, position, &self.turns_before(now, position, index), self.capacity(now))
    }

    /// Returns the requests per second that join and go before `position`.
    fn joining_before(&self, now: TimePoint, position: &Position, first_rank: u32) -> f64 {
        let has_before = position.is_late() || position.rank > first_rank;
        if has_before { self.joins.before(now, position.rank) } else { 0.0 }
    }

    /// Returns whether requests of a lower rank than `first_rank` get aged turns.
    fn has_lower_rank(&self, first_rank: u32) -> bool {
        let in_time = self.order.partition_point(|position| !position.is_late());
        self.order[..in_time].last().is_some_and(|last| last.rank > first_rank)
    }

    /// Returns the learned capacity of the service for this box in requests per second, if it is known. At the
    /// beginning of an overload it is higher than the rate of the past seconds, and the open attempts show it.
    fn capacity(&self, now: TimePoint) -> Option<f64> {
        let rate = self.rate.upper_estimate(now)?;
        Some(self.attempts.expected_rate().map_or(rate, |expected| expected.max(rate)))
    }

    /// Returns what goes before a request that joins at `index` of the order.
    fn turns_before(&self, now: TimePoint, position: &Position, index: usize) -> TurnsBefore {
        let first_rank = self.order.first().map_or(position.rank, |first| first.rank);
        let first_rank_end = self.order.partition_point(|other| other.rank <= first_rank);
        let in_time = self.order.partition_point(|other| !other.is_late());
        let lower = in_time.saturating_sub(first_rank_end);
        let is_lower = position.rank > first_rank && !position.is_late();
        TurnsBefore {
            requests: index,
            joining: self.joining_before(now, position, first_rank),
            lower: is_lower.then_some(lower),
            has_lower: lower > 0,
        }
    }

    /// Returns the last request that is not being placed.
    fn last_replaceable(&self) -> Option<Position> {
        let mut from_last = self.order.iter().rev();
        from_last.find(|position| self.requests[&position.id].wake.is_none()).copied()
    }

    fn remove(&mut self, id: TicketId) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        let found = self.order.binary_search(&request.position);
        self.order.remove(found.expect("each request has a place in the order"));
        true
    }
}

/// Returns whether a request can't be served in time, by the learned capacity and what goes before it.
fn is_too_late(
    now: TimePoint,
    position: &Position,
    before: &TurnsBefore,
    capacity: Option<f64>,
) -> bool {
    if now > position.latest_start {
        return true;
    }
    // The first request may be woken at any moment, however low the capacity is.
    let Some(capacity) = capacity.filter(|_| before.requests > 0) else {
        return false;
    };
    !before.are_over_within(position.latest_start.since(now).as_secs_f64(), capacity)
}
