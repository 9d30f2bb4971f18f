//! The place of one request in a queue.

use std::sync::Arc;

use async_channel::Receiver;
use wingbridge_decide::Name;
use wingbridge_decide::waiting::{Departure, RefusalCause, TargetRoom, TicketId};

use super::{WaitingQueues, WakeCause};

/// The end of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The request is to choose a target.
    Pick,
    /// The request is refused, and has left the queue.
    Refused(RefusalCause),
}

/// The place of a request in the queue of its service. The request leaves the queue when the ticket is dropped.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    queues: Arc<WaitingQueues>,
    service: Name,
    id: TicketId,
    turns: Receiver<Turn>,
    departure: Departure,
    /// The room that is left at the target after an attempt was started.
    remaining_room: Option<TargetRoom>,
}

impl QueueTicket {
    pub(super) fn new(
        queues: Arc<WaitingQueues>,
        service: Name,
        id: TicketId,
        turns: Receiver<Turn>,
    ) -> QueueTicket {
        let departure = Departure::Abandoned;
        QueueTicket { queues, service, id, turns, departure, remaining_room: None }
    }

    /// Waits until the request is to choose a target, or is refused.
    pub(crate) async fn wait(&self) -> Turn {
        loop {
            let left = self.queues.with_service(&self.service, |service| {
                service.queue.time_left(self.queues.now(), self.id)
            });
            // A request that has left has its refusal in the channel.
            let left = left.unwrap_or_default();
            match async_std::future::timeout(left, self.turns.recv()).await {
                Ok(Ok(turn)) => return turn,
                Ok(Err(_)) => return Turn::Refused(RefusalCause::Stopping),
                Err(_) => {
                    let now = self.queues.now();
                    self.queues.update_service(&self.service, WakeCause::Guard, |queue| {
                        queue.on_timer(now)
                    });
                }
            }
        }
    }

    /// Returns the request to its place, because it found no capacity on its turn. `seen` is the number of changes
    /// before it looked for a target.
    pub(crate) fn return_to_place(&self, seen: u64) {
        let now = self.queues.now();
        self.queues.update_service(&self.service, WakeCause::Next, |queue| {
            queue.return_to_place(now, self.id)
        });
        self.queues.wake_if_changed(&self.service, seen);
    }

    /// Leaves the queue, because an attempt was started. The next request is woken only if the target still has
    /// room: a request with little time may be sent to a target without room, and if each one woke the next, the
    /// whole queue would follow.
    pub(crate) fn record_placed(mut self, remaining_room: Option<TargetRoom>) {
        self.departure = Departure::Placed;
        self.remaining_room = remaining_room;
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let now = self.queues.now();
        self.queues.with_service(&self.service, |service| {
            service.remove(&self.service, self.id);
            let signals = service.queue.leave(now, self.id, self.departure);
            service.deliver(&self.service, signals, WakeCause::Next);
            if let Some(room) = &self.remaining_room {
                let signals = service.queue.on_room(now, room);
                service.deliver(&self.service, signals, WakeCause::Next);
            }
        });
    }
}
