//! The steps of a planned stop, as all tasks see them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use crate::latch::ReadyLatch;

#[derive(Debug, Clone, Copy)]
struct StopTimes {
    careful: Instant,
    end: Instant,
}

/// How far a planned stop is.
#[derive(Debug, Clone)]
pub(crate) struct StopState {
    stopping: Arc<AtomicBool>,
    /// When the process ends, and from when on no request is taken that could outlast it.
    end: Arc<OnceLock<StopTimes>>,
    /// Connections of callers that are open.
    open: Arc<AtomicUsize>,
    /// Requests that are read and not yet answered.
    busy: Arc<AtomicUsize>,
    /// Opens when connections that rest are to be closed.
    closing: ReadyLatch,
}

impl StopState {
    pub(crate) fn new() -> StopState {
        StopState {
            stopping: Arc::default(),
            end: Arc::default(),
            open: Arc::default(),
            busy: Arc::default(),
            closing: ReadyLatch::default(),
        }
    }

    /// The stop begins: callers are told to go elsewhere, and are still served. At `end`
    /// the process is gone, so from `careful` on nothing is taken that could outlast it.
    pub(crate) fn begin(&self, careful: Instant, end: Instant) {
        self.end.get_or_init(|| StopTimes { careful, end });
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a request that may take until `until` could be cut by a planned stop.
    pub(crate) fn could_interrupt(&self, until: Instant) -> bool {
        self.end.get().is_some_and(|times| Instant::now() >= times.careful && until > times.end)
    }

    /// Whether a stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Connections that rest are closed from now on, and no further request is read.
    pub(crate) fn close_idle(&self) {
        self.closing.open();
    }

    /// Whether no further request is to be read.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_open()
    }

    /// Waits until [`StopState::close_idle`].
    pub(crate) async fn wait_closing(&self) {
        self.closing.wait_open().await;
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.open)
    }

    /// Counts a request until the guard is dropped.
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

/// Counts something while it lives.
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
