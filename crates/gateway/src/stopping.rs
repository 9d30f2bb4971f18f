//! Progress of a planned stop, shared by all tasks.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use futures::future::{Either, select};

use crate::latch::ReadyLatch;
use crate::stop_schedule::StopSchedule;
use crate::suspension::ClockSample;

/// A stop that has begun.
#[derive(Debug, Clone, Copy)]
struct BegunStop {
    clock: ClockSample,
    schedule: StopSchedule,
}

/// Progress of a planned stop. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct StopState {
    begun: Arc<OnceLock<BegunStop>>,
    /// Number of open connections of callers.
    open: Arc<AtomicUsize>,
    /// Number of requests that have been read and not yet answered.
    busy: Arc<AtomicUsize>,
    /// Opens when idle connections are to be closed.
    closing: ReadyLatch,
    /// Opens shortly before the process ends, when each open request is to be answered.
    ending: ReadyLatch,
}

impl StopState {
    pub(crate) fn new() -> StopState {
        StopState {
            begun: Arc::default(),
            open: Arc::default(),
            busy: Arc::default(),
            closing: ReadyLatch::default(),
            ending: ReadyLatch::default(),
        }
    }

    /// Begins the stop: callers are asked to connect elsewhere, and are still served.
    pub(crate) fn begin(&self, schedule: StopSchedule, clock: ClockSample) {
        self.begun.get_or_init(|| BegunStop { clock, schedule });
    }

    /// Returns whether a planned stop refuses a request that may take until `until`, because it could interrupt it.
    /// `suspended` gives the total suspended time of the machine, and is asked within a stop alone.
    pub(crate) fn refuses(&self, until: Instant, suspended: impl FnOnce() -> Duration) -> bool {
        self.begun.get().is_some_and(|stop| {
            let begun = stop.clock.corrected_time(suspended());
            stop.schedule.refuses(begun.elapsed(), until.saturating_duration_since(begun))
        })
    }

    /// Returns how long ago the stop began, with the time for which the machine was suspended since: the
    /// environment's clock did not stand still. `suspended` gives the total suspended time of the machine, and is asked
    /// within a stop alone. `None` if no stop has begun.
    pub(crate) fn elapsed(&self, suspended: impl FnOnce() -> Duration) -> Option<Duration> {
        self.begun.get().map(|stop| stop.clock.corrected_time(suspended()).elapsed())
    }

    /// Returns whether a stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Closes idle connections from now on; no further request is read.
    pub(crate) fn close_idle(&self) {
        self.closing.open();
    }

    /// Returns whether no further request is to be read.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_open()
    }

    /// Waits until [`StopState::close_idle`] is called.
    pub(crate) async fn wait_closing(&self) {
        self.closing.wait_open().await;
    }

    /// Has all open requests answered from now on, because the process is about to end.
    pub(crate) fn end_requests(&self) {
        self.ending.open();
    }

    /// Returns whether open requests are to be answered now.
    pub(crate) fn is_ending(&self) -> bool {
        self.ending.is_open()
    }

    /// Waits until [`StopState::end_requests`] is called.
    pub(crate) async fn wait_ending(&self) {
        self.ending.wait_open().await;
    }

    /// Runs `work`, a stage of a request, to its end. Returns `None` if [`StopState::end_requests`] is called before
    /// that: the request is to be answered then, or the caller would see a closed connection and could not know
    /// whether the request may be sent again.
    pub(crate) async fn before_end<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let work = std::pin::pin!(work);
        let ending = std::pin::pin!(self.wait_ending());
        match select(work, ending).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    }

    /// Counts an open connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.open)
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.busy)
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    pub(crate) fn busy_requests(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }
}

/// Counts a connection or a request until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    count: Arc<AtomicUsize>,
}

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> CountGuard {
        count.fetch_add(1, Ordering::AcqRel);
        CountGuard { count: Arc::clone(count) }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
