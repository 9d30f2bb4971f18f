//! Requests and their attempts: taken or refused, sent, sent again, concluded.

use std::time::Duration;

use crate::core::{ASSUMED_SERVICE_TIME, BoxCore, locate, not_run};
use crate::evidence::SampleKind;
use crate::messages::{
    AttemptOutcome, BoxCommand, Conclusion, RefuseReason, RequestId, RequestPlan,
};
use crate::names::TargetKey;
use crate::pick::{PickContext, pick_target};
use crate::requests::{OpenAttempt, RequestPhase, RequestState, TimedCheck};
use crate::time::TimePoint;

impl BoxCore {
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
        self.requests.check_at(plan.deadline, request, TimedCheck::Deadline);
        let full = service.open >= service.setup().limits.open;
        let mut state = RequestState {
            plan,
            phase: RequestPhase::Open(OpenAttempt::none(now)),
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
        };
        if full {
            let place = service.queue.push(request, state.plan.priority);
            state.phase = RequestPhase::Queued(place);
            self.requests.insert(request, state);
            return;
        }
        service.open += 1;
        self.requests.insert(request, state);
        self.send_first_attempt(now, request, commands);
    }

    /// Why a request can't be taken, if it can't.
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
        let needed = self.service_time(&plan.service);
        if service.open < limits.open {
            return (now + needed / 2 > plan.deadline).then_some(RefuseReason::Deadline);
        }
        if service.queue.len() >= limits.queued {
            return Some(RefuseReason::Overloaded);
        }
        // Under overload no caller holds more than its part of all there is room for.
        let share = service.queue.fair_share(limits.open + limits.queued);
        if held >= share {
            return Some(RefuseReason::CallerLimit);
        }
        let rounds = 1.0 + (service.queue.len() + 1) as f64 / limits.open as f64;
        let ready = now + needed.mul_f64(rounds);
        (ready > plan.deadline).then_some(RefuseReason::Deadline)
    }

    pub(super) fn service_time(&self, service: &str) -> Duration {
        self.local_detector.typical_time(service).unwrap_or(ASSUMED_SERVICE_TIME)
    }

    pub(super) fn send_first_attempt(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        if !self.send_attempt(now, request, commands) {
            self.conclude_failed(now, request, RefuseReason::NoTarget, commands);
        }
    }

    /// Sends a request to a target that it has not been to; false if there is none.
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
            self.requests.check_at(now + after, request, check);
        }
        true
    }

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
            // An earlier attempt, given up in favour of this request's present one.
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

    /// What follows for the request after an attempt of it ended.
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
        let elsewhere = match outcome {
            AttemptOutcome::Answered(_) => false,
            AttemptOutcome::AnsweredError(_) | AttemptOutcome::Broken => repeatable,
            AttemptOutcome::Shed(_) | AttemptOutcome::NotSent => true,
        };
        if elsewhere && self.retry(now, request, commands) {
            return;
        }
        match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::AnsweredError(_) => {
                self.finish(now, request, Conclusion::Answered, commands);
            }
            _ => self.conclude_failed(now, request, RefuseReason::Refused, commands),
        }
    }

    /// Sends a request once more, if attempts, budget and targets allow it.
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
        // Nobody was asked, so nothing was spent.
        if let Some(service) = self.services.get_mut(&name) {
            service.budget.refund();
        }
        false
    }

    pub(super) fn conclude_failed(
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
        self.finish(now, request, conclusion, commands);
    }

    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        request: RequestId,
        conclusion: Conclusion,
        commands: &mut Vec<BoxCommand>,
    ) {
        commands.push(BoxCommand::Conclude { request, conclusion });
        self.remove_request(now, request, commands);
    }

    /// Takes a request off the books and lets the next one in.
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
        if let RequestPhase::Queued(place) = state.phase {
            service.queue.remove(place);
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

    pub(super) fn cancel(
        &mut self,
        now: TimePoint,
        request: RequestId,
        commands: &mut Vec<BoxCommand>,
    ) {
        self.abandon_attempt(request);
        self.remove_request(now, request, commands);
    }

    /// Counts an attempt that is still open as closed; the driver drops its connection.
    pub(super) fn abandon_attempt(&mut self, request: RequestId) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        if let RequestPhase::Open(open) = &state.phase {
            let (service, target) = (state.plan.service.clone(), open.target);
            self.close_attempt(&service, target);
        }
    }

    pub(super) fn close_attempt(&mut self, service: &str, target: TargetKey) {
        let Some((service, index)) = locate(&mut self.services, service, target) else {
            return;
        };
        let target = service.target_mut(index);
        target.open = target.open.saturating_sub(1);
    }

    /// An attempt that is open for longer than nearly all counts against its target
    /// now, before any deadline, and a request that may be repeated goes elsewhere.
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
            let no_threshold = self.local_detector.overdue_after(&service).is_none();
            if !open.overdue && no_threshold {
                self.add_evidence(now, &service, &open, SampleKind::Overdue, commands);
            }
        }
        self.abandon_attempt(request);
        self.conclude_failed(now, request, RefuseReason::Deadline, commands);
    }
}

impl OpenAttempt {
    /// The place of an attempt that is about to be made.
    fn none(now: TimePoint) -> OpenAttempt {
        OpenAttempt { target: TargetKey(0), started: now, overdue: false }
    }
}
