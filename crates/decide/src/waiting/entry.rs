//! The requests in a waiting queue, and their order.

use std::sync::Arc;
use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::HomeRegions;
use crate::time::TimePoint;

/// Identity of a waiting request within its queue. Later requests have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub(crate) u64);

/// A request that waits for capacity of its service.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// Rank of the request; 0 goes first.
    pub rank: u32,
    /// Whether its caller was refused before and comes when it was told to. It goes before new requests of its rank.
    pub due_return: bool,
    /// Time by which the answer has its full value.
    pub goal_at: TimePoint,
    /// Time by which the request must be answered.
    pub deadline: TimePoint,
    /// Time that an attempt typically takes, without the wait at its target.
    pub typical_time: Duration,
    /// Time that nearly all attempts take at most, without the wait at their target.
    pub safe_time: Duration,
    /// Targets that were tried for the request and are not chosen again.
    pub tried: Vec<TargetKey>,
    /// Regions in which the request may be served; `None` for all regions.
    pub homes: Option<Arc<[Name]>>,
}

/// Capacity at one target that a waiting request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRoom {
    /// The target.
    pub key: TargetKey,
    /// The region of the target.
    pub region: Name,
}

impl QueueEntry {
    /// Returns the latest moment at which a start still meets the goal with a margin, or without one if `now` is
    /// too late for the margin. Returns the latest start that meets the deadline if the goal is out of reach. `wait`
    /// is the expected wait at the target.
    ///
    /// Under overload requests start close to this moment. Without the margin, about half of them would take
    /// longer than typical and miss their goal.
    pub fn latest_start(&self, now: TimePoint, wait: Duration) -> LatestStart {
        let goal_at = self.goal_at.min(self.deadline);
        let starts = [self.safe_time, self.typical_time].map(|time| goal_at.before(time + wait));
        let reachable = starts.into_iter().find(|start| *start >= now);
        let in_goal = reachable.map(|at| LatestStart { at, is_late: false });
        in_goal.unwrap_or_else(|| self.late_start(wait))
    }

    /// Returns the latest moment at which a start still meets the deadline, for a request that misses its goal.
    pub(super) fn late_start(&self, wait: Duration) -> LatestStart {
        LatestStart { at: self.deadline.before(self.typical_time + wait), is_late: true }
    }

    /// Returns whether the request may be placed at the target.
    pub fn may_use(&self, room: &TargetRoom) -> bool {
        let homes = self.homes.as_deref().map_or(HomeRegions::Any, HomeRegions::Only);
        !self.tried.contains(&room.key) && homes.allow(&room.region)
    }
}

/// The latest moment at which a request is to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestStart {
    /// The moment.
    pub at: TimePoint,
    /// Whether a start then meets the deadline alone, because the goal is out of reach.
    pub is_late: bool,
}

/// First of the ranks of requests that miss their goal. They get the capacity that those in time leave, whatever their
/// own ranks: a late answer is worth less to its caller.
const LATE_RANKS: u32 = 1 << 31;

/// The place of a request in the order of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Rank of the request, [`LATE_RANKS`] and more for one that misses its goal.
    pub(super) rank: u32,
    /// Whether it is not a return at the told time.
    pub(super) is_new: bool,
    pub(super) latest_start: TimePoint,
    pub(super) deadline: TimePoint,
    pub(super) id: TicketId,
}

impl Position {
    /// Returns the place of a request with the number `id` that is to start by `start`.
    pub(super) fn new(entry: &QueueEntry, start: LatestStart, id: u64) -> Position {
        let position = Position {
            rank: entry.rank.min(LATE_RANKS - 1),
            is_new: !entry.due_return,
            latest_start: start.at,
            deadline: entry.deadline,
            id: TicketId(id),
        };
        if start.is_late { position.postponed(start) } else { position }
    }

    /// Returns whether the request misses its goal.
    pub(super) fn is_late(&self) -> bool {
        self.rank >= LATE_RANKS
    }

    /// Returns the place of the request once it misses its goal and is to start by `start`.
    pub(super) fn postponed(self, start: LatestStart) -> Position {
        Position { rank: self.rank | LATE_RANKS, latest_start: start.at, ..self }
    }
}
