//! Waiting of a request in the queue of its service, while overload control is on.

use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::SteerPick;
use wingbridge_decide::waiting::{QueueEntry, RefusalCause, TargetRoom};

use super::RequestRun;
use crate::answers::CallerAnswer;
use crate::instants::later;
use crate::waiting::{QueueTicket, Turn};

/// What follows for a request that was checked against the queue of its service.
pub(super) enum QueueOutcome {
    /// It may use the chosen target.
    Proceed,
    /// It has waited, and is to choose again.
    PickAgain,
    /// It is refused.
    Refused(Box<CallerAnswer>),
}

impl RequestRun {
    /// Has the request wait if one that goes before it waits for the room at the chosen target.
    ///
    /// Trials don't yield, because the floor on targets in use depends on them. Neither do requests that were sent
    /// before, because a retry was spent on them.
    pub(super) async fn yield_to_waiting(
        &mut self,
        pick: &SteerPick,
        ticket: &mut Option<QueueTicket>,
    ) -> QueueOutcome {
        if pick.trial || !self.tried.is_empty() || !self.context.waiting.has_waiting() {
            return QueueOutcome::Proceed;
        }
        // A request with little time may choose a target without room, which is of no use to those that wait.
        let Some(room) = self.room_at(pick.key) else {
            return QueueOutcome::Proceed;
        };
        let joined = self.context.waiting.yield_room(&self.plan.service, self.queue_entry(), &room);
        match joined {
            None => QueueOutcome::Proceed,
            Some(Ok(joined)) => self.wait_for_turn(ticket.insert(joined)).await,
            Some(Err(cause)) => self.refuse_waiting(cause),
        }
    }

    /// Has the request, which found no capacity, wait for its turn, at its previous place if it has a ticket.
    /// `seen` is the number of changes of capacity before it looked for a target.
    pub(super) async fn wait_in_queue(
        &mut self,
        ticket: &mut Option<QueueTicket>,
        seen: u64,
    ) -> QueueOutcome {
        if let Some(ticket) = ticket {
            ticket.return_to_place(seen);
            return self.wait_for_turn(ticket).await;
        }
        match self.context.waiting.join(&self.plan.service, self.queue_entry(), seen) {
            Ok(joined) => self.wait_for_turn(ticket.insert(joined)).await,
            Err(cause) => self.refuse_waiting(cause),
        }
    }

    /// Returns the room at a target for requests that wait.
    pub(super) fn room_at(&self, key: TargetKey) -> Option<TargetRoom> {
        let (context, now) = (&self.context, self.context.now());
        context.waiting.room_at(&context.core(), now, key)
    }

    async fn wait_for_turn(&mut self, ticket: &QueueTicket) -> QueueOutcome {
        match ticket.wait().await {
            Turn::Pick => QueueOutcome::PickAgain,
            Turn::Refused(cause) => self.refuse_waiting(cause),
        }
    }

    fn refuse_waiting(&mut self, cause: RefusalCause) -> QueueOutcome {
        self.trace.record_refused_after(self.received_at.elapsed());
        let reason = match cause {
            RefusalCause::TooLate => "its service has no capacity for it in time",
            RefusalCause::Full => "too many requests wait for its service",
            RefusalCause::Stopping => {
                let reason = "this box ends and every target has a queue";
                return QueueOutcome::Refused(Box::new(self.give_up_stopping(reason)));
            }
        };
        self.refusal_signs.record_queue_refusal();
        QueueOutcome::Refused(Box::new(self.give_up(reason)))
    }

    fn queue_entry(&self) -> QueueEntry {
        let (service, route) = (&self.plan.service, &self.plan.route);
        let times = self.context.core().attempt_times(service, &route.name);
        let queues = &self.context.waiting;
        QueueEntry {
            rank: self.plan.rank,
            due_return: self.due_return,
            goal_at: queues.time_point(later(self.received_at, route.goal)),
            deadline: queues.time_point(self.deadline()),
            typical_time: times.typical,
            safe_time: times.safe,
            tried: self.tried.clone(),
            homes: self.plan.homes.clone(),
        }
    }
}
