//! The life of a proxy, as types: starting, serving, leaving, drained.
//!
//! Each step consumes the one before, so none can be left out or taken twice,
//! and only [`BoxLife<Serving>`] ever says that the box is ready.

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
pub(crate) struct Leaving;

/// A proxy in one part of its life.
pub(crate) struct BoxLife<S> {
    ready: ReadyFlag,
    line: EventTrace,
    state: PhantomData<S>,
}

impl BoxLife<Starting> {
    pub(crate) fn new(ready: ReadyFlag, line: EventTrace) -> BoxLife<Starting> {
        line.record("box-starting", &[]);
        BoxLife { ready, line, state: PhantomData }
    }

    /// The configuration is whole.
    pub(crate) fn serve(self) -> BoxLife<Serving> {
        self.line.record("box-ready", &[]);
        self.ready.serving.store(true, Ordering::Release);
        self.step()
    }

    /// It is stopped before it ever served.
    pub(crate) fn give_up(self) -> BoxLife<Leaving> {
        self.line.record("box-leaving", &[]);
        self.step()
    }
}

impl BoxLife<Serving> {
    /// A planned stop begins.
    pub(crate) fn leave(self) -> BoxLife<Leaving> {
        self.ready.serving.store(false, Ordering::Release);
        self.line.record("box-leaving", &[]);
        self.step()
    }
}

impl BoxLife<Leaving> {
    /// All has ended; `whole` if nothing was cut.
    pub(crate) fn drained(self, whole: bool) {
        self.line.record("box-drained", &[("cut", if whole { "nothing" } else { "some" })]);
    }
}

impl<S> BoxLife<S> {
    fn step<T>(self) -> BoxLife<T> {
        BoxLife { ready: self.ready, line: self.line, state: PhantomData }
    }
}
