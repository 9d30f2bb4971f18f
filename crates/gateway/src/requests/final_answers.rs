//! The final answers to requests: answers of targets, and answers of the box if no target served the request.

use std::time::{Duration, Instant};

use wingbridge_decide::crashes::CrashVerdict;

use super::admission::AccessRevoked;
use super::{RequestRun, TARGETS_ENDED};
use crate::answers::{CallerAnswer, CallerOutcome};
use crate::attempt::TargetAnswer;
use crate::context::BoxContext;
use crate::returns::RefusedRequest;

impl RequestRun {
    /// Returns the answer to a request that is no longer allowed. The outcome of a request that may have run is
    /// unknown, not rejected.
    pub(super) fn reject_revoked(&mut self, revoked: AccessRevoked) -> CallerAnswer {
        if self.possible_runs > 0 {
            return self.give_up("it is not allowed any more");
        }
        match revoked {
            AccessRevoked::Denied(reason) => CallerAnswer::unauthorized(reason),
            AccessRevoked::RouteRemoved => {
                CallerAnswer::from_box(404, CallerOutcome::Rejected, "its route was taken away")
            }
        }
    }

    /// Returns the answer to a request under which too many targets have ended, which is accepted again after
    /// `wait`.
    pub(super) fn refuse_poison(&mut self, verdict: CrashVerdict, wait: Duration) -> CallerAnswer {
        self.trace.record_crashes(verdict);
        if self.possible_runs > 0 {
            return self.give_up(TARGETS_ENDED);
        }
        poison_request_answer(&self.context, wait)
    }

    /// Returns the answer while all targets back off. `remaining` is the time until the first of them is eligible
    /// again.
    pub(super) fn give_up_until(&mut self, remaining: Duration) -> CallerAnswer {
        const REASON: &str = "all targets want nothing for now";
        if self.fallback.is_some() || self.possible_runs > 0 {
            return self.give_up(REASON);
        }
        CallerAnswer::targets_backing_off(&self.context.headers.retry_after, remaining, REASON)
    }

    /// Returns the answer to a request that no target has served successfully: the failure of a target if there
    /// is one, otherwise an answer of the box with `reason`.
    pub(super) fn give_up(&mut self, reason: &'static str) -> CallerAnswer {
        if let Some(answer) = self.fallback.take() {
            return forwarded_answer(*answer);
        }
        if self.possible_runs == 0 {
            return self.refuse(reason);
        }
        self.outcome_unknown(reason)
    }

    /// Like [`Self::give_up`], for a box that is stopping: other boxes may serve the request at once, so its return
    /// does not depend on the capacity of the targets.
    pub(super) fn give_up_stopping(&mut self, reason: &'static str) -> CallerAnswer {
        if self.fallback.is_some() || self.possible_runs > 0 {
            return self.give_up(reason);
        }
        CallerAnswer::not_run(&self.context.headers.retry_after, reason)
    }

    /// Refuses a request that no target has run or will run.
    fn refuse(&mut self, reason: &'static str) -> CallerAnswer {
        let context = &self.context;
        let refused = RefusedRequest {
            service: &self.plan.service,
            fingerprint: self.outgoing.fingerprint,
            kind: self.refusal_signs.kind(),
            remaining: self.deadline().saturating_duration_since(Instant::now()),
            goal_left: self.plan.route.goal.saturating_sub(self.received_at.elapsed()),
        };
        let header_name = &context.headers.retry_after;
        if context.waiting.is_enabled() {
            let waiting = context.waiting.waiting_for(&self.plan.service);
            context.returns.set_waiting(context.now(), &self.plan.service, waiting);
        }
        match context.returns.plan(context.now(), &refused) {
            Some(planned) => {
                self.trace.record_return(planned);
                CallerAnswer::not_run_until(header_name, planned.time.wait, reason)
            }
            None => CallerAnswer::not_run(header_name, reason),
        }
    }

    /// Returns the answer to a request that a target may have run.
    fn outcome_unknown(&self, reason: &'static str) -> CallerAnswer {
        let status = if Instant::now() >= self.deadline() { 504 } else { 502 };
        CallerAnswer::from_box(status, CallerOutcome::Unknown, reason)
    }
}

/// Returns the answer to a poison request that has not run, and counts it. It is accepted again after `wait`.
pub(crate) fn poison_request_answer(context: &BoxContext, wait: Duration) -> CallerAnswer {
    metrics::counter!("wingbridge_deadly_refused").increment(1);
    CallerAnswer::poison_request(&context.headers.retry_after, wait, TARGETS_ENDED)
}

/// Converts the answer of a target to the answer to the caller.
pub(super) fn forwarded_answer(answer: TargetAnswer) -> CallerAnswer {
    let TargetAnswer { head, body, .. } = answer;
    CallerAnswer {
        status: head.status,
        headers: head.headers.forwarded(&[]),
        reason_phrase: head.reason,
        body,
        outcome: CallerOutcome::Answered,
        reason: "a target's answer",
    }
}
