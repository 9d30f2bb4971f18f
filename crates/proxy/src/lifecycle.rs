//! The lifecycle of a proxy, as types: starting, serving, leaving, drained.
//!
//! Each step consumes the one before, so none can be left out or taken twice,
//! and only [`Lifecycle<Serving>`] ever says that the box is ready.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use wingbridge_trace::EventTrace;

/// What the balancer is told.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadyFlag {
    serving: Arc<AtomicBool>,
    /// Set while the agent holds this box sick.
    suspended: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Whether the box is to get requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.serving.load(Ordering::Acquire) && !self.suspended.load(Ordering::Acquire)
    }

    /// The agent's word on it.
    pub(crate) fn suspend(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Release);
    }
}

/// It has no configuration yet.
pub(crate) struct Starting;
/// It takes requests.
pub(crate) struct Serving;
/// It finishes what it has.
pub(crate) struct Draining;

/// A proxy in one part of its lifecycle.
pub(crate) struct Lifecycle<S> {
    ready: ReadyFlag,
    trace: EventTrace,
    state: PhantomData<S>,
}

impl Lifecycle<Starting> {
    pub(crate) fn new(ready: ReadyFlag, trace: EventTrace) -> Lifecycle<Starting> {
        trace.record("box-starting", &[]);
        Lifecycle { ready, trace, state: PhantomData }
    }

    /// The configuration is whole.
    pub(crate) fn start_serving(self) -> Lifecycle<Serving> {
        self.trace.record("box-ready", &[]);
        self.ready.serving.store(true, Ordering::Release);
        self.step()
    }

    /// It is stopped before it ever served.
    pub(crate) fn abort_start(self) -> Lifecycle<Draining> {
        self.trace.record("box-leaving", &[]);
        self.step()
    }
}

impl Lifecycle<Serving> {
    /// A planned stop begins.
    pub(crate) fn start_draining(self) -> Lifecycle<Draining> {
        self.ready.serving.store(false, Ordering::Release);
        self.trace.record("box-leaving", &[]);
        self.step()
    }
}

impl Lifecycle<Draining> {
    /// All has ended; `whole` if nothing was cut.
    pub(crate) fn finish(self, complete: bool) {
        self.trace.record("box-drained", &[("cut", if complete { "nothing" } else { "some" })]);
    }
}

impl<S> Lifecycle<S> {
    fn step<T>(self) -> Lifecycle<T> {
        Lifecycle { ready: self.ready, trace: self.trace, state: PhantomData }
    }
}
