//! Admission of requests, their attempts and retries, and their conclusion.

use std::time::Duration;

use crate::core::{ASSUMED_LATENCY, BoxCore, locate, not_run};
use crate::evidence::SampleKind;
use crate::messages::{
    AttemptOutcome, BoxCommand, Conclusion, RefuseReason, RequestId, RequestPlan,
};
use crate::names::TargetKey;
use crate::pick::{PickContext, pick_target};
use crate::requests::{OpenAttempt, RequestPhase, RequestState, TimedCheck};
use crate::time::TimePoint;

impl BoxCore {
    /// Admits a request and sends or queues it, or refuses it.
    pub(super) fn admit(
        &mut self,
        now: TimePoint,
        request: RequestId,
        plan: RequestPlan,
        commands: &mut Vec<BoxCommand>,
    ) {
        if let Some(reason) = self.refusal(now, &plan) {
            let retry_after = self.random_retry_after();
            commands.push(not_run(request, reason, retry_after));
            return;
        }
        let Some(service) = self.services.get_mut(&plan.service) else {
            return;
        };
        service.budget.earn();
        service.queue.hold(plan.caller);
        self.requests.schedule_check(plan.deadline, request, TimedCheck::Deadline);
        let full = service.open >= service.setup().limits.open;
        let mut state = RequestState {
            plan,
            phase: RequestPhase::Open(OpenAttempt::placeholder(now)),
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
        };
        if full {
            let position = service.queue.push(request, state.plan.priority);
            state.phase = RequestPhase::Queued(position);
            self.requests.insert(request, state);
            return;
        }
        service.open += 1;
        self.requests.insert(request, state);
        self.send_first_attempt(now, request, commands);
    }

    /// Returns the reason to refuse a request, or `None` to admit it.
    fn refusal(&self, now: TimePoint, plan: &RequestPlan) -> Option<RefuseReason> {
        let Some(service) = self.services.get(&plan.service) else {
            return Some(RefuseReason::UnknownService);
        };
        if service.eligible().is_empty() {
            return Some(RefuseReason::NoTarget);
        }
        let held = service.queue.held_by(plan.caller);
        if plan.caller_limit > 0 && held >= plan.caller_limit {
            return Some(RefuseReason::CallerLimit);
        }
        let limits = &service.setup().limits;
        let expected = self.expected_latency(&plan.service);
        if service.open < limits.open {
            return (now + expected / 2 > plan.deadline).then_some(RefuseReason::Deadline);
        }
        if service.queue.len() >= limits.queued {
            return Some(RefuseReason::Overloaded);
        }
        // Under overload, no caller may hold more than an equal share of the total capacity.
        let share = service.queue.fair_share(limits.open + limits.queued);
        if held >= share {
            return Some(RefuseReason::CallerLimit);
        }
        let rounds = 1.0 + (service.queue.len() + 1) as f64 / limits.open as f64;
        let answered_at = now + expected.mul_f64(rounds);
        (answered_at > plan.deadline).then_some(RefuseReason::Deadline)
    }

    /// Returns the median latency of a service, or an assumed one until enough latencies are recorded.
    pub(super) fn expected_latency(&self, service: &str) -> Duration {
        self.local_detector.typical_time(service).unwrap_or(ASSUMED_LATENCY)
    }

    /// Makes the first attempt of a request, or refuses the request if there is no target.
    pub(super) fn send_first_attempt(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        if !self.send_attempt(now, request, commands) {
            self.fail(now, request, RefuseReason::NoTarget, commands);
        }
    }

    /// Sends a request to a target that it has not been sent to before. Returns false if there is none.
    pub(super) fn send_attempt(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) -> bool {
        let Some(state) = self.requests.get_mut(request) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&state.plan.service) else {
            return false;
        };
        let tried: Vec<usize> = state.tried.iter().filter_map(|key| service.find(*key)).collect();
        let repeatable = state.plan.repeatable;
        let context = PickContext { now, tried: &tried, repeatable };
        let Some(index) = pick_target(service, &context, &mut self.random) else {
            return false;
        };
        let target = service.target_mut(index);
        target.open += 1;
        let key = target.setup.key();
        state.attempts += 1;
        state.tried.push(key);
        state.phase = RequestPhase::Open(OpenAttempt { target: key, started: now, overdue: false });
        commands.push(BoxCommand::Send {
            request,
            attempt: state.attempts,
            target: target.setup.address.clone(),
            fresh_connection: !repeatable,
        });
        if let Some(after) = self.local_detector.overdue_after(&state.plan.service) {
            let check = TimedCheck::Overdue { attempt: state.attempts };
            self.requests.schedule_check(now + after, request, check);
        }
        true
    }

    /// Records the outcome of an attempt, and retries or concludes its request.
    pub(super) fn finish_attempt(
        &mut self,
        now: TimePoint,
        request: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let RequestPhase::Open(open) = state.phase.clone() else {
            return;
        };
        if state.attempts != attempt {
            // The outcome belongs to an earlier attempt, which the current one has replaced.
            return;
        }
        let ran = !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Shed(_));
        state.may_have_run |= ran;
        let service = state.plan.service.clone();
        self.close_attempt(&service, open.target);
        if let AttemptOutcome::Answered(report)
        | AttemptOutcome::AnsweredError(report)
        | AttemptOutcome::Shed(report) = outcome
        {
            self.record_report(now, &service, open.target, &report, commands);
        }
        self.record_outcome(now, &service, &open, outcome, commands);
        self.continue_request(now, request, outcome, commands);
    }

    /// Retries or concludes a request after an attempt has ended with `outcome`.
    pub(super) fn continue_request(
        &mut self,
        now: TimePoint,
        request: RequestId,
        outcome: AttemptOutcome,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let repeatable = state.plan.repeatable;
        let should_retry = match outcome {
            AttemptOutcome::Answered(_) => false,
            AttemptOutcome::AnsweredError(_) | AttemptOutcome::Broken => repeatable,
            AttemptOutcome::Shed(_) | AttemptOutcome::NotSent => true,
        };
        if should_retry && self.retry(now, request, commands) {
            return;
        }
        match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::AnsweredError(_) => {
                self.conclude(now, request, Conclusion::Answered, commands);
            }
            _ => self.fail(now, request, RefuseReason::Refused, commands),
        }
    }

    /// Makes another attempt of a request if its attempt limit, its deadline, the retry budget and the targets allow
    /// it. Returns whether another attempt was made.
    pub(super) fn retry(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) -> bool {
        let Some(state) = self.requests.get(request) else {
            return false;
        };
        if state.attempts >= state.plan.attempts || now >= state.plan.deadline {
            return false;
        }
        let name = state.plan.service.clone();
        let Some(service) = self.services.get_mut(&name) else {
            return false;
        };
        if !service.budget.spend() {
            return false;
        }
        if self.send_attempt(now, request, commands) {
            return true;
        }
        // No target was found, so the retry is returned to the budget.
        if let Some(service) = self.services.get_mut(&name) {
            service.budget.refund();
        }
        false
    }

    /// Concludes a request without an answer: as not run, or as unknown if a target may have run it.
    pub(super) fn fail(
        &mut self,
        now: TimePoint,
        request: RequestId,
        reason: RefuseReason,
        commands: &mut Vec<BoxCommand>,
    ) {
        let retry_after = self.random_retry_after();
        let may_have_run = self.requests.get(request).is_some_and(|state| state.may_have_run);
        let conclusion = if may_have_run {
            Conclusion::Unknown { retry_after }
        } else {
            Conclusion::NotRun { reason, retry_after }
        };
        self.conclude(now, request, conclusion, commands);
    }

    /// Concludes a request and removes it.
    pub(super) fn conclude(
        &mut self,
        now: TimePoint,
        request: RequestId,
        conclusion: Conclusion,
        commands: &mut Vec<BoxCommand>,
    ) {
        commands.push(BoxCommand::Conclude { request, conclusion });
        self.remove_request(now, request, commands);
    }

    /// Removes a request and sends the next queued one if that leaves room for it.
    pub(super) fn remove_request(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.remove(request) else {
            return;
        };
        let Some(service) = self.services.get_mut(&state.plan.service) else {
            return;
        };
        service.queue.release(state.plan.caller);
        if let RequestPhase::Queued(position) = state.phase {
            service.queue.remove(position);
            return;
        }
        service.open = service.open.saturating_sub(1);
        if service.open >= service.setup().limits.open {
            return;
        }
        if let Some(next) = service.queue.pop() {
            service.open += 1;
            self.send_first_attempt(now, next, commands);
        }
    }

    /// Handles the cancellation of a request by its caller.
    pub(super) fn cancel(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        self.abandon_attempt(request);
        self.remove_request(now, request, commands);
    }

    /// Counts the open attempt of a request, if any, as closed. The driver closes its connection.
    pub(super) fn abandon_attempt(&mut self, request: RequestId) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        if let RequestPhase::Open(open) = &state.phase {
            let (service, target) = (state.plan.service.clone(), open.target);
            self.close_attempt(&service, target);
        }
    }

    /// Counts an attempt at `target` as closed.
    pub(super) fn close_attempt(&mut self, service: &str, target: TargetKey) {
        let Some((service, index)) = locate(&mut self.services, service, target) else {
            return;
        };
        let target = service.target_mut(index);
        target.open = target.open.saturating_sub(1);
    }

    /// Handles an attempt that is still open when it becomes overdue. It counts as evidence against its target at
    /// once, not only at the deadline, and a repeatable request is sent to another target.
    pub(super) fn check_overdue(
        &mut self,
        now: TimePoint,
        request: RequestId,
        attempt: u32,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let current = state.attempts == attempt;
        let RequestPhase::Open(open) = &mut state.phase else {
            return;
        };
        if !current || open.overdue {
            return;
        }
        open.overdue = true;
        let open = open.clone();
        let service = state.plan.service.clone();
        let repeatable = state.plan.repeatable;
        self.add_evidence(now, &service, &open, SampleKind::Overdue, commands);
        if repeatable && self.retry(now, request, commands) {
            self.close_attempt(&service, open.target);
            if let Some(state) = self.requests.get_mut(request) {
                state.may_have_run = true;
            }
        }
    }

    /// Concludes a request whose deadline has passed.
    pub(super) fn expire_request(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if let RequestPhase::Open(open) = state.phase.clone() {
            state.may_have_run = true;
            let service = state.plan.service.clone();
            let has_no_threshold = self.local_detector.overdue_after(&service).is_none();
            if !open.overdue && has_no_threshold {
                self.add_evidence(now, &service, &open, SampleKind::Overdue, commands);
            }
        }
        self.abandon_attempt(request);
        self.fail(now, request, RefuseReason::Deadline, commands);
    }
}

impl OpenAttempt {
    /// Returns a placeholder for an attempt that is about to be made.
    fn placeholder(now: TimePoint) -> OpenAttempt {
        OpenAttempt { target: TargetKey(0), started: now, overdue: false }
    }
}
