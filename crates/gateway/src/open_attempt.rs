//! An open attempt, which reports its start, its stalls and its end to the decision core.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use wingbridge_decide::paths::{ContactFailure, PathState};
use wingbridge_decide::steer::{
    AttemptHandle, LoadReport, MIN_SUSPECT_RISK, SteerOutcome, SteerPick,
};
use wingbridge_decide::{Fingerprint, Name};

use crate::attempt::{AttemptPlan, AttemptResult, OutgoingRequest, attempt};
use crate::context::{BoxContext, ObservedBy, log_suspicion};
use crate::notices::AttemptNotices;
use crate::passive_samples::ObservedOutcome;
use crate::paths::TrackedAttempt;
use crate::permit_manager::SendPermit;

/// An attempt that was started. Its end is reported to the core, also if its future is dropped.
pub(crate) struct OpenAttempt {
    context: Arc<BoxContext>,
    pub(crate) pick: SteerPick,
    pub(crate) started: Instant,
    /// Permit for the attempt, if the target has a rate limit.
    permit: Option<SendPermit>,
    service: Name,
    route: Name,
    /// Name of the customer whose request it is.
    customer: Option<Name>,
    fingerprint: Fingerprint,
    handle: AttemptHandle,
    /// Whether the end of the attempt was reported.
    ended: bool,
}

/// The properties of a request that are recorded with its attempt.
pub(crate) struct AttemptRequest {
    /// Permit for the attempt, if the target has a rate limit.
    pub(crate) permit: Option<SendPermit>,
    pub(crate) service: Name,
    pub(crate) route: Name,
    /// Name of the customer whose request it is.
    pub(crate) customer: Option<Name>,
    pub(crate) fingerprint: Fingerprint,
    /// Whether the complete body is buffered, so that the duration of the attempt depends on the target alone.
    pub(crate) is_buffered: bool,
}

/// An attempt that this box no longer waits for.
pub(crate) struct EndedAttempt {
    pub(crate) open: OpenAttempt,
    /// Result of the attempt; `None` if the request's deadline passed before.
    pub(crate) result: Option<AttemptResult>,
}

impl OpenAttempt {
    /// Records the start of an attempt at the chosen target.
    pub(crate) fn begin(
        context: Arc<BoxContext>,
        pick: SteerPick,
        request: AttemptRequest,
    ) -> OpenAttempt {
        let AttemptRequest { permit, service, route, customer, fingerprint, is_buffered } = request;
        let now = context.now();
        let handle = if is_buffered {
            context.core().begin(now, pick.key, &route)
        } else {
            context.core().begin_untimed(now, pick.key, &route)
        };
        context.passive_samples.record_open_attempts(pick.key);
        context.waiting.record_start(&service);
        let started = Instant::now();
        OpenAttempt {
            context,
            pick,
            started,
            permit,
            service,
            route,
            customer,
            fingerprint,
            handle,
            ended: false,
        }
    }

    /// Returns the age of this attempt at which a hedge is worth a retry, for a request that must be answered by
    /// `deadline`.
    pub(crate) fn hedge_after(&self, deadline: Instant) -> Option<Duration> {
        let context = &self.context;
        let remaining = deadline.saturating_duration_since(self.started);
        context.core().hedge_after(context.now(), &self.handle, remaining)
    }

    /// Runs the attempt until its end or `deadline`.
    pub(crate) async fn run(
        self,
        request: Arc<OutgoingRequest>,
        deadline: Instant,
    ) -> EndedAttempt {
        let result = self.wait_for_result(&request, deadline).await;
        EndedAttempt { open: self, result }
    }

    /// Reports to the core and to the passive samples how the attempt ended. `bytes` is the length of the body that
    /// was read.
    pub(crate) fn end(&mut self, outcome: SteerOutcome, load: Option<LoadReport>, bytes: usize) {
        self.ended = true;
        let key = self.pick.key;
        let now = self.context.now();
        let mut core = self.context.core();
        self.context.paths.record_end(now, &core, self.tracked(), outcome);
        let effect = core.end(now, &self.handle, &self.route, outcome, bytes);
        if let Some(load) = load {
            core.record_load(now, key, load);
        }
        let room = self.context.waiting.room_after_change(&core, now, key);
        drop(core);
        self.context.waiting.record_end(&self.service, &self.handle, outcome, room);
        log_suspicion(effect.change, ObservedBy::Own);
        let suspect = self.pick.risk >= MIN_SUSPECT_RISK;
        let observed = ObservedOutcome {
            outcome,
            load,
            suspect,
            stalled: effect.stalled,
            latency_ratio: effect.latency_ratio,
        };
        if !self.is_path_fault(outcome) {
            self.context.passive_samples.record_outcome(key, &observed);
        }
    }

    /// Makes the attempt and reports it to the core once it is overdue. Returns `None` if the deadline passes.
    async fn wait_for_result(
        &self,
        request: &OutgoingRequest,
        deadline: Instant,
    ) -> Option<AttemptResult> {
        let context = &self.context;
        let overdue = context.core().overdue_after(&self.handle);
        let plan = AttemptPlan {
            port: &*context.port,
            address: &self.pick.address,
            instance: &self.pick.id,
            customer: self.customer.as_deref(),
            deadline,
            header_names: &context.headers,
            notices: AttemptNotices::new(
                context,
                &self.pick,
                &self.service,
                request.request_id.as_deref(),
                self.permit,
            ),
        };
        let mut attempt = std::pin::pin!(attempt(request, &plan));
        let remaining = deadline.saturating_duration_since(Instant::now());
        let first_wait = overdue.min(remaining);
        match select(attempt.as_mut(), std::pin::pin!(async_std::task::sleep(first_wait))).await {
            Either::Left((result, _)) => return Some(result),
            Either::Right(_) if overdue < remaining => {
                self.report_overdue(plan.notices.is_head_read())
            }
            Either::Right(_) => return None,
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        async_std::future::timeout(remaining, attempt).await.ok()
    }

    /// Reports to the core that the attempt is overdue. `is_answered` tells whether the head of its answer has arrived.
    fn report_overdue(&self, is_answered: bool) {
        let context = &self.context;
        let now = context.now();
        let mut core = context.core();
        let effect = core.record_overdue(now, &self.handle);
        if effect.stalled && !is_answered {
            context.paths.record_failure(now, &core, self.tracked(), ContactFailure::Silent);
        }
        drop(core);
        log_suspicion(effect.change, ObservedBy::Own);
        let paths = context.paths.state(&self.service);
        if effect.stalled && paths != PathState::Lost {
            log::info!(
                target:% = self.pick.id, service:% = self.service, paths = paths.as_str();
                "stall-told"
            );
            context.passive_samples.record_stall(self.pick.key);
        }
    }

    /// Returns whether an attempt failed on a path that this box alone has lost. Peers that heard of it would avoid a
    /// healthy target.
    fn is_path_fault(&self, outcome: SteerOutcome) -> bool {
        let is_failure =
            matches!(outcome, SteerOutcome::Incomplete | SteerOutcome::DeadlineExceeded);
        is_failure && self.context.paths.is_lost(&self.service)
    }

    fn tracked(&self) -> TrackedAttempt<'_> {
        let (service, target) = (&self.service, self.pick.key);
        TrackedAttempt { service, target, started: self.handle.started }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if !self.ended {
            // The caller disconnected or another attempt answered. If the target ends while it still runs the
            // request, this box does not observe it.
            self.context.crashes.record_unknown_outcome(self.fingerprint, self.pick.key);
            self.end(SteerOutcome::Cancelled, None, 0);
        }
    }
}
