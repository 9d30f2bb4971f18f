//! An attempt that is open: what it tells the core, from its beginning to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use wingbridge_decide::steer::{
    AttemptHandle, LoadReport, MIN_SUSPECT_RISK, SteerOutcome, SteerPick,
};
use wingbridge_decide::{Fingerprint, Name};

use crate::attempt::{AttemptEnd, AttemptPlan, OutgoingRequest, attempt};
use crate::context::{BoxContext, ObservedBy, log_suspicion};
use crate::notices::AttemptNotices;
use crate::passive_samples::ObservedOutcome;
use crate::permit_manager::SendPermit;

/// Tells the core that an attempt is over, also when its future is dropped.
pub(crate) struct OpenAttempt {
    context: Arc<BoxContext>,
    pub(crate) pick: SteerPick,
    pub(crate) started: Instant,
    /// Its permit, if the target has a limit.
    permit: Option<SendPermit>,
    route: Name,
    /// The customer whose request it is.
    customer: Option<Name>,
    fingerprint: Fingerprint,
    handle: AttemptHandle,
    ended: bool,
}

/// The request of an attempt, as far as it is noted with it.
pub(crate) struct AttemptRequest {
    /// Its permit, if the target has a limit.
    pub(crate) permit: Option<SendPermit>,
    pub(crate) route: Name,
    /// The customer whose request it is.
    pub(crate) customer: Option<Name>,
    pub(crate) fingerprint: Fingerprint,
    /// Whether all of it is there to be sent: how long it takes then is up to the target alone.
    pub(crate) sends_whole: bool,
}

/// An attempt that is over, as far as this box waits for it.
pub(crate) struct EndedAttempt {
    pub(crate) open: OpenAttempt,
    /// How it ended; `None` if the request's time was over before.
    pub(crate) end: Option<AttemptEnd>,
}

impl OpenAttempt {
    /// Begins an attempt at the chosen target.
    pub(crate) fn begin(
        context: Arc<BoxContext>,
        pick: SteerPick,
        request: AttemptRequest,
    ) -> OpenAttempt {
        let AttemptRequest { permit, route, customer, fingerprint, sends_whole } = request;
        let now = context.now();
        let handle = if sends_whole {
            context.core().begin(now, pick.key, &route)
        } else {
            context.core().begin_untimed(now, pick.key, &route)
        };
        context.passive_samples.record_open_attempts(pick.key);
        let started = Instant::now();
        OpenAttempt {
            context,
            pick,
            started,
            permit,
            route,
            customer,
            fingerprint,
            handle,
            ended: false,
        }
    }

    /// The time from its beginning from which on a second attempt is worth a retry, for a request
    /// that must be answered at `until`.
    pub(crate) fn hedge_after(&self, until: Instant) -> Option<Duration> {
        let context = &self.context;
        let left = until.saturating_duration_since(self.started);
        context.core().hedge_after(context.now(), &self.handle, left)
    }

    /// Makes the attempt, until its end or `until`.
    pub(crate) async fn run(self, request: Arc<OutgoingRequest>, until: Instant) -> EndedAttempt {
        let end = self.await_end(&request, until).await;
        EndedAttempt { open: self, end }
    }

    /// Notes how it ended.
    pub(crate) fn end(&mut self, outcome: SteerOutcome, load: Option<LoadReport>, bytes: usize) {
        self.ended = true;
        let key = self.pick.key;
        let now = self.context.now();
        let mut core = self.context.core();
        let news = core.end(now, &self.handle, &self.route, outcome, bytes);
        if let Some(load) = load {
            core.record_load(now, key, load);
        }
        drop(core);
        log_suspicion(news.change, ObservedBy::Own);
        let suspect = self.pick.risk >= MIN_SUSPECT_RISK;
        let seen = ObservedOutcome {
            outcome,
            load,
            suspect,
            stalled: news.stalled,
            latency_ratio: news.latency_ratio,
        };
        self.context.passive_samples.record_outcome(key, &seen);
    }

    async fn await_end(&self, request: &OutgoingRequest, until: Instant) -> Option<AttemptEnd> {
        let context = &self.context;
        let overdue = context.core().overdue_after(&self.handle);
        let plan = AttemptPlan {
            address: &self.pick.address,
            instance: &self.pick.id,
            customer: self.customer.as_deref(),
            until,
            names: &context.headers,
            notices: AttemptNotices::new(
                context,
                &self.pick,
                request.request_id.as_deref(),
                self.permit,
            ),
        };
        let mut work = std::pin::pin!(attempt(request, &plan));
        let left = until.saturating_duration_since(Instant::now());
        let first = overdue.min(left);
        match select(work.as_mut(), std::pin::pin!(async_std::task::sleep(first))).await {
            Either::Left((end, _)) => return Some(end),
            Either::Right(_) if overdue < left => self.note_overdue(),
            Either::Right(_) => return None,
        }
        let rest = until.saturating_duration_since(Instant::now());
        async_std::future::timeout(rest, work).await.ok()
    }

    fn note_overdue(&self) {
        let context = &self.context;
        let news = context.core().record_overdue(context.now(), &self.handle);
        log_suspicion(news.change, ObservedBy::Own);
        if news.stalled {
            context.passive_samples.record_stall(self.pick.key);
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if !self.ended {
            // Its caller hung up, or another attempt answered: its target may end under it unseen.
            self.context.crashes.record_unknown_outcome(self.fingerprint, self.pick.key);
            self.end(SteerOutcome::Cancelled, None, 0);
        }
    }
}
