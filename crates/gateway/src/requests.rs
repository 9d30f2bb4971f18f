//! One planned request over as many attempts as it may take.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::{
    LoadReport, NoPick, SUSPECT_FROM, SteerOutcome, SteerPick, SteerRequest,
};

use crate::answers::{CallerAnswer, CallerOutcome};
use crate::attempt::{AttemptEnd, AttemptPlan, OutgoingRequest, TargetAnswer, attempt};
use crate::context::{BoxContext, log_replaced, note_suspicion};
use crate::request_log::RequestTrace;
use crate::routes::RouteKind;
use crate::routing::RequestPlan;

/// Targets that can be asked for one request, those that ran nothing counted.
const SENDS_MOST: u32 = 4;

/// Time between two looks for a target while all are crowded, on average: a few of them
/// fit the work of one request.
const HOLD_STEP: Duration = Duration::from_millis(60);

/// A request on its way.
pub(crate) struct RequestRun {
    context: Arc<BoxContext>,
    outgoing: OutgoingRequest,
    plan: RequestPlan,
    /// When its first byte was read.
    since: Instant,
    tried: Vec<TargetKey>,
    /// Targets that may have run it.
    runs: u32,
    /// Targets that got it, whether they ran it or not.
    arrivals: u32,
    /// A target's failure, for the caller if nothing better comes.
    fallback: Option<Box<TargetAnswer>>,
    trace: RequestTrace,
}

/// Tells the core that an attempt is over, also when its future is dropped.
struct OpenAttempt {
    context: Arc<BoxContext>,
    key: TargetKey,
    started: Instant,
    suspect: bool,
    ended: bool,
}

impl OpenAttempt {
    fn end(&mut self, outcome: SteerOutcome, load: Option<LoadReport>, bytes: usize) {
        self.ended = true;
        let now = self.context.now();
        let mut core = self.context.core();
        let change = core.end(now, self.key, outcome, bytes);
        if let Some(load) = load {
            core.note_load(now, self.key, load);
        }
        drop(core);
        note_suspicion(change, "own");
        self.context.sightings.note(self.key, outcome, load, self.suspect);
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.end(SteerOutcome::Dropped, None, 0);
        }
    }
}

/// What follows after an attempt.
enum NextStep {
    Answer(CallerAnswer),
    Again,
}

impl RequestRun {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        outgoing: OutgoingRequest,
        plan: RequestPlan,
        since: Instant,
        trace: RequestTrace,
    ) -> RequestRun {
        RequestRun {
            context,
            outgoing,
            plan,
            since,
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            fallback: None,
            trace,
        }
    }

    /// Sees the request through.
    pub(crate) async fn finish(mut self) -> (CallerAnswer, RequestTrace) {
        let answer = self.follow().await;
        (answer, self.trace)
    }

    async fn follow(&mut self) -> CallerAnswer {
        loop {
            let left = self.plan.until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.give_up("the time is over");
            }
            let pick = match self.pick(left) {
                Ok(pick) => pick,
                Err(NoPick::NoTarget) => return self.give_up("no target takes it"),
                Err(NoPick::Crowded) if self.context.stopping.is_stopping() => {
                    // Held on, it could be cut by the end of the process.
                    return self.give_up("this box ends and every target has a queue");
                }
                Err(NoPick::Crowded) => {
                    let spread = 0.5 + rand::random::<f64>();
                    async_std::task::sleep(HOLD_STEP.mul_f64(spread)).await;
                    continue;
                }
                Err(NoPick::Overloaded) => return self.give_up("no target could answer in time"),
            };
            match self.try_target(&pick).await {
                NextStep::Answer(answer) => return answer,
                NextStep::Again => {}
            }
        }
    }

    fn pick(&mut self, left: Duration) -> Result<SteerPick, NoPick> {
        let repeatable = self.plan.policy.repeatable && self.runs + 1 < self.plan.policy.attempts;
        let request = SteerRequest {
            service: &self.plan.service,
            repeatable,
            large: self.plan.route.kind == RouteKind::Download,
            goal: self.plan.route.goal,
            left,
            tried: &self.tried,
        };
        self.context.core().pick(self.context.now(), &request)
    }

    async fn try_target(&mut self, pick: &SteerPick) -> NextStep {
        self.tried.push(pick.key);
        self.trace.note_pick(pick, self.since.elapsed());
        let context = Arc::clone(&self.context);
        context.core().begin(context.now(), pick.key);
        context.sightings.note_open(pick.key);
        let mut open = OpenAttempt {
            context,
            key: pick.key,
            started: Instant::now(),
            suspect: pick.risk >= SUSPECT_FROM,
            ended: false,
        };
        let Some(end) = self.await_end(pick).await else {
            // Time is over and the target still works: whether it will run to its end is unknown.
            self.note_sent();
            // A route with little time says nothing of the target; a stall was noted as overdue.
            open.end(SteerOutcome::Dropped, None, 0);
            return NextStep::Answer(
                self.give_up("the time is over and a target was still at work"),
            );
        };
        match end {
            AttemptEnd::Answered(answer, load) => self.take_answer(answer, load, &mut open),
            AttemptEnd::Refused(load) => {
                self.arrivals += 1;
                open.end(SteerOutcome::Shed, load, 0);
                self.go_on("refused by the target")
            }
            AttemptEnd::WrongTarget => {
                self.arrivals += 1;
                open.end(SteerOutcome::WrongTarget, None, 0);
                if self.context.core().note_replaced(pick.key) {
                    log_replaced(&pick.id, "own");
                }
                self.go_on("another instance has the address")
            }
            AttemptEnd::NotConnected(why) => {
                open.end(SteerOutcome::NotConnected, None, 0);
                self.go_on(why)
            }
            AttemptEnd::Broken(reason) => {
                self.note_sent();
                open.end(SteerOutcome::Broken, None, 0);
                self.go_on(&reason)
            }
        }
    }

    /// The attempt's end, or `None` if the request's time is over before.
    async fn await_end(&self, pick: &SteerPick) -> Option<AttemptEnd> {
        let context = &self.context;
        let overdue = context.core().overdue_after(&self.plan.service);
        let plan = AttemptPlan {
            address: &pick.address,
            instance: &pick.id,
            until: self.plan.until,
            names: &context.headers,
        };
        let mut work = std::pin::pin!(attempt(&self.outgoing, &plan));
        let left = self.plan.until.saturating_duration_since(Instant::now());
        let first = overdue.min(left);
        match select(work.as_mut(), std::pin::pin!(async_std::task::sleep(first))).await {
            Either::Left((end, _)) => return Some(end),
            Either::Right(_) if overdue < left => self.note_overdue(pick),
            Either::Right(_) => return None,
        }
        let rest = self.plan.until.saturating_duration_since(Instant::now());
        async_std::future::timeout(rest, work).await.ok()
    }

    fn note_overdue(&self, pick: &SteerPick) {
        let context = &self.context;
        let change = context.core().end(context.now(), pick.key, SteerOutcome::Overdue, 0);
        note_suspicion(change, "own");
        context.sightings.note(pick.key, SteerOutcome::Overdue, None, false);
    }

    fn take_answer(
        &mut self,
        answer: Box<TargetAnswer>,
        load: Option<LoadReport>,
        open: &mut OpenAttempt,
    ) -> NextStep {
        self.note_sent();
        let failed = answer.start.status >= 500;
        let outcome =
            if failed { SteerOutcome::Failed } else { SteerOutcome::Good(open.started.elapsed()) };
        open.end(outcome, load, answer.bytes);
        if failed && self.may_repeat() {
            self.trace.note_failure(&format!("status {}", answer.start.status));
            self.fallback = Some(answer);
            return NextStep::Again;
        }
        NextStep::Answer(passed_on(*answer))
    }

    /// After an attempt without an answer: another one, or the end.
    fn go_on(&mut self, why: &str) -> NextStep {
        self.trace.note_failure(why);
        if self.tried.len() as u32 >= SENDS_MOST {
            return NextStep::Answer(self.give_up("each target that was asked failed or refused"));
        }
        if self.arrivals == 0 || self.may_repeat() {
            return NextStep::Again;
        }
        NextStep::Answer(self.give_up("no further attempt is allowed"))
    }

    /// Whether the request may go to another target, after it has reached one. Takes a
    /// retry from the budget.
    fn may_repeat(&mut self) -> bool {
        let refusal = self.repeat_refusal();
        if let Some(reason) = refusal {
            self.trace.note_end(reason);
        }
        refusal.is_none()
    }

    fn repeat_refusal(&self) -> Option<&'static str> {
        if self.runs > 0 && !self.plan.policy.repeatable {
            return Some("it may run once only");
        }
        if self.runs >= self.plan.policy.attempts {
            return Some("its attempts are used up");
        }
        if Instant::now() >= self.plan.until {
            return Some("its time is over");
        }
        let context = &self.context;
        let spent = context.core().spend_retry(context.now(), &self.plan.service);
        (!spent).then_some("the retry budget is used up")
    }

    fn note_sent(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    /// The answer when no target's success is to be had.
    fn give_up(&mut self, why: &'static str) -> CallerAnswer {
        if let Some(answer) = self.fallback.take() {
            return passed_on(*answer);
        }
        if self.runs == 0 {
            return CallerAnswer::not_run(&self.context.headers.retry_after, why);
        }
        let status = if Instant::now() >= self.plan.until { 504 } else { 502 };
        CallerAnswer::own(status, CallerOutcome::Unknown, why)
    }
}

fn passed_on(answer: TargetAnswer) -> CallerAnswer {
    let TargetAnswer { start, body, .. } = answer;
    CallerAnswer {
        status: start.status,
        headers: start.headers.passed_on(&[]),
        reason: start.reason,
        body,
        outcome: CallerOutcome::Answered,
        why: "a target's answer",
    }
}
