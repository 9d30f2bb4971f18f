//! The waiting queues of a box, one for each service: connects `wingbridge_decide::waiting` to the requests that wait,
//! and to the events that change the capacity of targets.

mod episode;
mod ticket;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Sender;
use wingbridge_decide::steer::{AttemptHandle, SteerCore, SteerOutcome};
use wingbridge_decide::waiting::{
    GUARD_TIME, QueueEntry, QueueSignals, RefusalCause, TargetRoom, TicketId, WaitingQueue,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};

use crate::context::lock;
use episode::WaitingEpisode;

pub(crate) use ticket::{QueueTicket, Turn};

/// Number of services above which those without recent attempts are dropped; deployments plan for 870.
const MAX_SERVICES: usize = 2000;
/// Ranks from this one on share one gauge, so that the number of gauges is bounded.
const MAX_RANK_LABEL: u32 = 9;

/// The waiting queues of a box. Their lock is never held across an await, and no other lock is taken under it.
#[derive(Debug)]
pub(crate) struct WaitingQueues {
    enabled: bool,
    /// Whether the box stops, so that nothing joins any more.
    closed: AtomicBool,
    started: Instant,
    /// Number of waiting requests over all services, so that events cost next to nothing while there are none.
    waiting: AtomicUsize,
    /// Number of changes of the capacity of any target. By it, a request that joins sees that capacity was freed
    /// between its choice of a target and its joining, when it could not be woken.
    changes: AtomicU64,
    services: Mutex<HashMap<Name, ServiceQueue>>,
}

/// The queue of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: WaitingQueue,
    waiters: HashMap<TicketId, Waiter>,
    gauges: BTreeMap<u32, metrics::Gauge>,
    wakes: HashMap<WakeCause, metrics::Counter>,
    /// The current period of waiting, if there is one.
    episode: Option<WaitingEpisode>,
}

/// Why a waiting request was woken, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WakeCause {
    /// An attempt of this box has ended.
    AttemptEnded,
    /// A peer reported the load of a target, or the listing changed.
    Report,
    /// A new request found room and left it to a waiting one.
    Yielded,
    /// The request that was woken before left or was placed.
    Next,
    /// Capacity changed while a request that joined or returned to its place was looking for a target.
    Missed,
    /// None was woken for the guard time.
    Guard,
}

impl WakeCause {
    fn as_str(self) -> &'static str {
        match self {
            WakeCause::AttemptEnded => "attempt-ended",
            WakeCause::Report => "report",
            WakeCause::Yielded => "yielded",
            WakeCause::Next => "next",
            WakeCause::Missed => "missed",
            WakeCause::Guard => "guard",
        }
    }
}

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    turns: Sender<Turn>,
    rank: u32,
    joined_at: Instant,
}

impl WaitingQueues {
    /// Creates the queues. Unless they are enabled, nothing joins them and nothing is recorded.
    pub(crate) fn new(enabled: bool) -> Arc<WaitingQueues> {
        Arc::new(WaitingQueues {
            enabled,
            closed: AtomicBool::new(false),
            started: Instant::now(),
            waiting: AtomicUsize::new(0),
            changes: AtomicU64::new(0),
            services: Mutex::default(),
        })
    }

    /// Returns whether requests that find no capacity wait in queues.
    pub(crate) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns whether any request waits.
    pub(crate) fn has_waiting(&self) -> bool {
        // With the count of changes, this needs one order of all operations: of a request that joins and an event that
        // frees capacity, at least one must see the other.
        self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Returns the number of changes of capacity so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that wait for a service.
    pub(crate) fn waiting_for(&self, service: &Name) -> u32 {
        let services = lock(&self.services);
        services.get(service).map_or(0, |queue| queue.waiters.len() as u32)
    }

    /// Converts a time to the clock of the queues.
    pub(crate) fn time_point(&self, time: Instant) -> TimePoint {
        TimePoint::default() + time.saturating_duration_since(self.started)
    }

    /// Adds a request to the queue of its service. `seen` is the number of changes before it looked for a target.
    ///
    /// # Errors
    /// The request is refused at once.
    pub(crate) fn join(
        self: &Arc<Self>,
        service: &Name,
        entry: QueueEntry,
        seen: u64,
    ) -> Result<QueueTicket, RefusalCause> {
        let now = self.now();
        let joined = self.with_service(service, |queue| self.join_at(now, service, queue, entry));
        self.wake_if_changed(service, seen);
        joined
    }

    /// Wakes a request of the service if capacity has changed since the number of changes was `seen`.
    fn wake_if_changed(&self, service: &Name, seen: u64) {
        if self.changes() != seen {
            let now = self.now();
            self.update_service(service, WakeCause::Missed, |queue| queue.on_unknown_room(now));
        }
    }

    /// Adds a request that could use `room` to the queue if it must leave the room to a waiting one, which is woken.
    /// Returns `None` if the request may use the room itself.
    pub(crate) fn yield_room(
        self: &Arc<Self>,
        service: &Name,
        entry: QueueEntry,
        room: &TargetRoom,
    ) -> Option<Result<QueueTicket, RefusalCause>> {
        let now = self.now();
        self.with_service(service, |queue| {
            if !queue.queue.must_yield(now, &entry, room) {
                return None;
            }
            let joined = self.join_at(now, service, queue, entry);
            let signals = queue.queue.on_room(now, room);
            queue.deliver(service, signals, WakeCause::Yielded);
            Some(joined)
        })
    }

    /// Returns the room at a target for requests that wait. This is `None` without a look at the target if none
    /// wait.
    pub(crate) fn room_at(
        &self,
        core: &SteerCore,
        now: TimePoint,
        key: TargetKey,
    ) -> Option<TargetRoom> {
        if !self.has_waiting() {
            return None;
        }
        core.capacity_of(now, key)?.room
    }

    /// Returns the room at a target whose load has just changed, and counts the change.
    pub(crate) fn room_after_change(
        &self,
        core: &SteerCore,
        now: TimePoint,
        key: TargetKey,
    ) -> Option<TargetRoom> {
        if !self.enabled {
            return None;
        }
        self.changes.fetch_add(1, Ordering::SeqCst);
        self.room_at(core, now, key)
    }

    /// Wakes requests for the room at targets whose load or eligibility may have changed, one request for each. The
    /// core is unlocked first.
    pub(crate) fn offer_room(
        &self,
        core: MutexGuard<'_, SteerCore>,
        now: TimePoint,
        keys: impl IntoIterator<Item = TargetKey>,
    ) {
        if self.enabled {
            self.changes.fetch_add(1, Ordering::SeqCst);
        }
        if !self.has_waiting() {
            return;
        }
        let capacities = keys.into_iter().filter_map(|key| core.capacity_of(now, key));
        let rooms = capacities.filter_map(|capacity| Some((capacity.service, capacity.room?)));
        let rooms: Vec<(Name, TargetRoom)> = rooms.collect();
        drop(core);
        let now = self.now();
        for (service, room) in rooms {
            self.update_service(&service, WakeCause::Report, |queue| queue.on_room(now, &room));
        }
    }

    /// Records that an attempt of the service has begun.
    pub(crate) fn record_start(&self, service: &Name) {
        if self.enabled {
            self.with_service(service, |queue| queue.queue.record_start());
        }
    }

    /// Records that an attempt of the service has ended, and wakes a request for the room that its target has now.
    pub(crate) fn record_end(
        &self,
        service: &Name,
        handle: &AttemptHandle,
        outcome: SteerOutcome,
        room: Option<TargetRoom>,
    ) {
        if !self.enabled {
            return;
        }
        let (now, waited) = (self.now(), handle.slot_expected_at.since(handle.started));
        self.with_service(service, |queue| {
            match outcome {
                SteerOutcome::Good(time) => queue.queue.record_end(now, time, waited),
                SteerOutcome::Failed
                | SteerOutcome::Incomplete
                | SteerOutcome::DeadlineExceeded => queue.queue.record_unanswered(now),
                SteerOutcome::Shed
                | SteerOutcome::ConnectFailed
                | SteerOutcome::WrongTarget
                | SteerOutcome::Cancelled => queue.queue.record_withdrawn(),
            }
            // A target that refused, or that was not reached, has no more room than before.
            let frees = !matches!(
                outcome,
                SteerOutcome::Shed | SteerOutcome::ConnectFailed | SteerOutcome::WrongTarget
            );
            if let Some(room) = room.filter(|_| frees) {
                let signals = queue.queue.on_room(now, &room);
                queue.deliver(service, signals, WakeCause::AttemptEnded);
            }
        });
    }

    /// Refuses all waiting requests and those that would join, because the box stops.
    pub(crate) fn close(&self) {
        if !self.enabled {
            return;
        }
        // A join that does not see this has taken the lock before, and is refused below.
        self.closed.store(true, Ordering::Release);
        let services: Vec<Name> = lock(&self.services).keys().cloned().collect();
        for service in services {
            self.update_service(&service, WakeCause::Next, WaitingQueue::close);
        }
    }

    /// Checks all queues every [`GUARD_TIME`] until the task is dropped. One timer for all of them replaces a timer
    /// in each request: with 900 waiting requests these took 0.3 of a core.
    pub(crate) async fn run_guard(self: Arc<Self>) {
        if !self.enabled {
            return;
        }
        loop {
            async_std::task::sleep(GUARD_TIME).await;
            if !self.has_waiting() {
                continue;
            }
            let services = lock(&self.services);
            let waiting = services.iter().filter(|(_, queue)| !queue.waiters.is_empty());
            let waiting: Vec<Name> = waiting.map(|(service, _)| service.clone()).collect();
            drop(services);
            let now = self.now();
            for service in waiting {
                self.update_service(&service, WakeCause::Guard, |queue| queue.on_timer(now));
            }
        }
    }

    /// Logs the periods of waiting that have ended, and drops services without recent attempts if there are many.
    pub(crate) fn log_ended(&self) {
        if !self.enabled {
            return;
        }
        let (now, instant) = (self.now(), Instant::now());
        let mut services = lock(&self.services);
        for (service, queue) in services.iter_mut() {
            queue.episode.take_if(|episode| episode.log_if_ended(service, instant));
        }
        if services.len() > MAX_SERVICES {
            services.retain(|_, queue| queue.episode.is_some() || !queue.queue.is_unused(now));
        }
    }

    fn now(&self) -> TimePoint {
        self.time_point(Instant::now())
    }

    fn join_at(
        self: &Arc<Self>,
        now: TimePoint,
        service: &Name,
        queue: &mut ServiceQueue,
        entry: QueueEntry,
    ) -> Result<QueueTicket, RefusalCause> {
        if self.closed.load(Ordering::Acquire) {
            return Err(RefusalCause::Stopping);
        }
        let rank = entry.rank;
        let instant = Instant::now();
        queue.episode.get_or_insert_with(|| WaitingEpisode::begin(service, rank, instant));
        let (joined, signals) = queue.queue.join(now, entry);
        queue.deliver(service, signals, WakeCause::Next);
        match joined {
            Ok(id) => {
                // A wake-up and a refusal may be pending at the same time.
                let (turns, receiver) = async_channel::bounded(2);
                queue.add(service, id, Waiter { turns, rank, joined_at: instant });
                Ok(QueueTicket::new(Arc::clone(self), service.clone(), id, receiver))
            }
            Err(cause) => {
                queue.record_refused(service, cause);
                Err(cause)
            }
        }
    }

    /// Applies an operation to the queue of a service, and delivers its signals.
    fn update_service(
        &self,
        service: &Name,
        cause: WakeCause,
        operation: impl FnOnce(&mut WaitingQueue) -> QueueSignals,
    ) {
        self.with_service(service, |queue| {
            let signals = operation(&mut queue.queue);
            queue.deliver(service, signals, cause);
        });
    }

    fn with_service<T>(&self, service: &Name, use_queue: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = lock(&self.services);
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceQueue::default());
        }
        let queue = services.get_mut(service).expect("the queue was just inserted");
        let before = queue.waiters.len();
        let result = use_queue(queue);
        let after = queue.waiters.len();
        // The lock is held, so that the count changes in the order of the operations.
        self.waiting.fetch_add(after.wrapping_sub(before), Ordering::SeqCst);
        result
    }
}

impl ServiceQueue {
    fn add(&mut self, service: &Name, id: TicketId, waiter: Waiter) {
        self.gauge(service, waiter.rank).increment(1.0);
        self.waiters.insert(id, waiter);
        if let Some(episode) = &mut self.episode {
            episode.record_joined(self.waiters.len());
        }
    }

    /// Removes a request that has left.
    fn remove(&mut self, service: &Name, id: TicketId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        self.gauge(service, waiter.rank).decrement(1.0);
        if let Some(episode) = &mut self.episode {
            episode.record_left(self.waiters.len(), waiter.joined_at, Instant::now());
        }
        Some(waiter)
    }

    /// Passes signals on to the requests. `cause` is the reason of a wake-up.
    fn deliver(&mut self, service: &Name, signals: QueueSignals, cause: WakeCause) {
        for (id, cause) in signals.refused {
            if let Some(waiter) = self.remove(service, id) {
                // The request may have ended just now.
                let _ = waiter.turns.try_send(Turn::Refused(cause));
            }
            self.record_refused(service, cause);
        }
        if let Some(waiter) = signals.woken.and_then(|id| self.waiters.get(&id)) {
            let _ = waiter.turns.try_send(Turn::Pick);
            let counter = self.wakes.entry(cause).or_insert_with(|| {
                let labels = [("service", service.to_string()), ("cause", cause.as_str().into())];
                metrics::counter!("wingbridge_waiting_wakes", &labels)
            });
            counter.increment(1);
        }
    }

    fn record_refused(&mut self, service: &Name, cause: RefusalCause) {
        let cause = match cause {
            RefusalCause::TooLate => "too-late",
            RefusalCause::Full => "full",
            RefusalCause::Stopping => "stopping",
        };
        let labels = [("service", service.to_string()), ("cause", cause.to_string())];
        metrics::counter!("wingbridge_waiting_refused", &labels).increment(1);
        let waiting = self.waiters.len();
        if let Some(episode) = &mut self.episode {
            episode.record_refused(service, cause, waiting);
        }
    }

    /// Returns the gauge of the waiting requests of a rank. It is kept, since its lookup by name takes longer than
    /// joining the queue.
    fn gauge(&mut self, service: &Name, rank: u32) -> &metrics::Gauge {
        let rank = rank.min(MAX_RANK_LABEL);
        self.gauges.entry(rank).or_insert_with(|| {
            let labels = [("service", service.to_string()), ("rank", rank.to_string())];
            metrics::gauge!("wingbridge_waiting", &labels)
        })
    }
}

/// Returns the time between two instants.
fn since(earlier: Instant, later: Instant) -> Duration {
    later.saturating_duration_since(earlier)
}
