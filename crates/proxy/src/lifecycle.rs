//! The lifecycle of a proxy as types: starting, serving, draining, ended.
//!
//! Each step consumes the previous state, so that no step can be skipped or repeated, and only
//! [`Lifecycle<Serving>`] sets the box ready.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use wingbridge_trace::EventTrace;

/// Readiness of the box, as reported to the balancer.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadyFlag {
    serving: Arc<AtomicBool>,
    /// Set while the agent suspends this box, because the box itself seems to cause its failures.
    suspended: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Returns whether the box accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.serving.load(Ordering::Acquire) && !self.suspended.load(Ordering::Acquire)
    }

    /// Sets whether the agent suspends this box.
    pub(crate) fn suspend(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Release);
    }
}

/// State of a proxy without a complete configuration.
pub(crate) struct Starting;
/// State of a proxy that accepts requests.
pub(crate) struct Serving;
/// State of a proxy that only finishes its requests.
pub(crate) struct Draining;

/// A proxy in the state `S` of its lifecycle.
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

    /// Starts to serve, once the configuration is complete.
    pub(crate) fn start_serving(self) -> Lifecycle<Serving> {
        self.trace.record("box-ready", &[]);
        self.ready.serving.store(true, Ordering::Release);
        self.step()
    }

    /// Stops a proxy that has never served.
    pub(crate) fn abort_start(self) -> Lifecycle<Draining> {
        self.trace.record("box-leaving", &[]);
        self.step()
    }
}

impl Lifecycle<Serving> {
    /// Begins a planned stop: the box is no longer ready.
    pub(crate) fn start_draining(self) -> Lifecycle<Draining> {
        self.ready.serving.store(false, Ordering::Release);
        self.trace.record("box-leaving", &[]);
        self.step()
    }
}

impl Lifecycle<Draining> {
    /// Ends the lifecycle; `complete` if no request was interrupted.
    pub(crate) fn finish(self, complete: bool) {
        self.trace.record("box-drained", &[("cut", if complete { "nothing" } else { "some" })]);
    }
}

impl<S> Lifecycle<S> {
    fn step<T>(self) -> Lifecycle<T> {
        Lifecycle { ready: self.ready, trace: self.trace, state: PhantomData }
    }
}
