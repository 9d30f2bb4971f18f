//! One planned request over as many attempts as it may take, one after the other or two
//! beside each other.

mod admission;
mod final_answers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::stream::{FuturesUnordered, StreamExt};
use wingbridge_decide::TargetKey;
use wingbridge_decide::crashes::{CrashVerdict, NO_RETRY_THRESHOLD};
use wingbridge_decide::steer::{
    HomeRegions, LoadReport, PickError, RetryUse, SteerOutcome, SteerPick, SteerRequest,
};

use crate::answers::CallerAnswer;
use crate::attempt::{AttemptEnd, CONNECTION_REFUSED, OutgoingRequest, TargetAnswer};
use crate::context::{BoxContext, log_ended, log_replaced};
use crate::open_attempt::{AttemptRequest, EndedAttempt, OpenAttempt};
use crate::permit_manager::{CoordinatorWait, NoPermit, SendPermit};
use crate::request_log::RequestTrace;
use crate::reserved_token::ReservedToken;
use crate::routes::RouteKind;
use crate::routing::RequestPlan;
use crate::suspension::ClockSample;
use final_answers::passed_on;

pub(crate) use final_answers::deadly_answer;

/// Targets that can be asked for one request, those that ran nothing counted.
const SENDS_MOST: u32 = 4;

/// Why a request goes to no target.
const ENDS_TARGETS: &str = "targets have ended under it";

/// Time between two looks for a target while all are saturated, on average: a few of them
/// fit the work of one request.
const HOLD_STEP: Duration = Duration::from_millis(60);

/// Time between two looks for a second attempt while there is no target or no retry for it:
/// a few of them fit the work of one request.
const HEDGE_STEP: Duration = Duration::from_millis(100);

/// A request on its way.
pub(crate) struct RequestRun {
    context: Arc<BoxContext>,
    outgoing: Arc<OutgoingRequest>,
    plan: RequestPlan,
    /// What it took of its customer's quota.
    credit: Option<ReservedToken>,
    /// When its first byte was read.
    since: Instant,
    /// From when on the time counts for which the machine is suspended.
    start: ClockSample,
    tried: Vec<TargetKey>,
    /// Targets that may have run it.
    runs: u32,
    /// Targets that got it, whether they ran it or not.
    arrivals: u32,
    /// Attempts that are open now.
    open: u32,
    /// A target's failure, for the caller if nothing better comes.
    fallback: Option<Box<TargetAnswer>>,
    /// Whether it may wait for a keeper of permits.
    keeper_wait: CoordinatorWait,
    trace: RequestTrace,
}

/// What follows after an attempt.
enum NextStep {
    Answer(CallerAnswer),
    Again,
}

/// What comes next while attempts of one request are open.
enum RaceEvent {
    Ended(Box<EndedAttempt>),
    HedgeDue,
}

impl RequestRun {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        outgoing: OutgoingRequest,
        plan: RequestPlan,
        credit: Option<ReservedToken>,
        since: Instant,
        trace: RequestTrace,
    ) -> RequestRun {
        let start = context.clock_sample();
        RequestRun {
            context,
            start,
            outgoing: Arc::new(outgoing),
            plan,
            credit,
            since,
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            open: 0,
            fallback: None,
            keeper_wait: CoordinatorWait::default(),
            trace,
        }
    }

    /// Sees the request through.
    pub(crate) async fn finish(mut self) -> (CallerAnswer, RequestTrace) {
        let answer = self.follow().await;
        if self.runs == 0
            && let Some(credit) = &mut self.credit
        {
            credit.record_not_run();
        }
        (answer, self.trace)
    }

    async fn follow(&mut self) -> CallerAnswer {
        loop {
            let left = self.until().saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.give_up("the time is over");
            }
            if let Err(refusal) = self.judge_again() {
                return self.turn_away(refusal);
            }
            let verdict = self.context.crashes.verdict(self.outgoing.fingerprint);
            if let CrashVerdict::Refused { wait, .. } = verdict {
                return self.refuse_deadly(verdict, wait);
            }
            let pick = match self.pick(left) {
                Ok(pick) => pick,
                Err(PickError::NoTarget) => return self.give_up("no target takes it"),
                Err(PickError::BackingOff(left)) => return self.give_up_until(left),
                Err(PickError::Saturated) if self.context.stopping.is_stopping() => {
                    // Held on, it could be cut by the end of the process.
                    return self.give_up("this box ends and every target has a queue");
                }
                Err(PickError::Saturated) => {
                    let spread = 0.5 + rand::random::<f64>();
                    async_std::task::sleep(HOLD_STEP.mul_f64(spread)).await;
                    continue;
                }
                Err(PickError::Overloaded) => {
                    return self.give_up("no target could answer in time");
                }
            };
            let permit = match self.ask_permit(&pick).await {
                Ok(permit) => permit,
                // The target is no choice any more.
                Err(NoPermit) => continue,
            };
            match self.race(pick, permit).await {
                NextStep::Answer(answer) => return answer,
                NextStep::Again => {}
            }
        }
    }

    fn pick(&mut self, left: Duration) -> Result<SteerPick, PickError> {
        let repeatable =
            self.plan.policy.repeatable && self.runs + 1 < self.plan.policy.max_attempts;
        let request = SteerRequest {
            service: &self.plan.service,
            route: &self.plan.route.name,
            repeatable,
            large: self.plan.route.kind == RouteKind::Download,
            body_bytes: self.outgoing.body.len(),
            goal: self.plan.route.goal,
            remaining: left,
            tried: &self.tried,
            homes: home_regions(&self.plan),
        };
        let now = self.context.now();
        let mut core = self.context.core();
        let pick = core.pick(now, &request);
        let out = core.excluded(now, &self.plan.service);
        drop(core);
        self.trace.record_excluded(&out);
        pick
    }

    /// One attempt, and others beside it while it is open for too long. The first answer
    /// that a caller can have wins, and what is still open then is cancelled.
    async fn race(&mut self, first: SteerPick, permit: Option<SendPermit>) -> NextStep {
        let mut running = FuturesUnordered::new();
        let first = self.begin(first, permit);
        let mut hedge_at = self.hedge_time(&first);
        running.push(self.start(first));
        loop {
            let due = if running.len() > 1 { None } else { hedge_at };
            match next_event(&mut running, due).await {
                RaceEvent::Ended(ended) => {
                    self.open = running.len() as u32;
                    match self.take_end(*ended) {
                        NextStep::Answer(answer) => return NextStep::Answer(answer),
                        NextStep::Again if running.is_empty() => return NextStep::Again,
                        NextStep::Again => {}
                    }
                }
                RaceEvent::HedgeDue => match self.pick_hedge() {
                    Some(pick) => {
                        let second = self.begin(pick, None);
                        running.push(self.start(second));
                    }
                    None => hedge_at = Some(Instant::now() + HEDGE_STEP),
                },
            }
        }
    }

    fn begin(&mut self, pick: SteerPick, permit: Option<SendPermit>) -> OpenAttempt {
        self.tried.push(pick.key);
        self.trace.note_pick(&pick, self.since.elapsed());
        if let Some(credit) = &mut self.credit {
            if self.runs + self.open > 0 {
                credit.record_resent();
            }
            credit.record_sent();
        }
        self.open += 1;
        let route = self.plan.route.name.clone();
        let customer = self.plan.customer.as_ref().map(|customer| customer.name.clone());
        let fingerprint = self.outgoing.fingerprint;
        let sends_whole = self.outgoing.rest.is_none();
        let request = AttemptRequest { permit, route, customer, fingerprint, sends_whole };
        OpenAttempt::begin(Arc::clone(&self.context), pick, request)
    }

    fn start(&self, open: OpenAttempt) -> impl Future<Output = EndedAttempt> + use<> {
        open.run(Arc::clone(&self.outgoing), self.until())
    }

    /// When a second attempt beside the open one is worth a retry.
    fn hedge_time(&self, open: &OpenAttempt) -> Option<Instant> {
        if !self.plan.policy.repeatable {
            return None;
        }
        let after = open.hedge_after(self.until())?;
        Some(open.started + after).filter(|time| *time < self.until())
    }

    /// Another target for a request whose attempt is open for too long, if the request may
    /// have one and the budget has a retry for it.
    fn pick_hedge(&mut self) -> Option<SteerPick> {
        // A long body that was not held can't go to two targets.
        let allowed =
            self.runs + self.open < self.plan.policy.max_attempts && self.outgoing.rest.is_none();
        // Two targets at once would be lost before the first one tells.
        let is_clear =
            self.context.crashes.verdict(self.outgoing.fingerprint) == CrashVerdict::Clear;
        if !allowed
            || !is_clear
            || self.tried.len() as u32 >= SENDS_MOST
            || self.judge_again().is_err()
        {
            return None;
        }
        let left = self.until().saturating_duration_since(Instant::now());
        // Room at a target with a limit is for requests that have no other one.
        let pick = self.pick(left).ok().filter(|pick| pick.limit.is_none())?;
        let context = &self.context;
        let service = &self.plan.service;
        let spent = context.core().spend_retry(context.now(), service, RetryUse::Hedge);
        if !spent {
            self.trace.note_no_hedge();
            return None;
        }
        self.trace.note_hedge(self.since.elapsed());
        Some(pick)
    }

    fn take_end(&mut self, ended: EndedAttempt) -> NextStep {
        let EndedAttempt { mut open, end } = ended;
        let Some(end) = end else {
            // Time is over and the target still works: whether it will run to its end is unknown.
            self.note_sent();
            self.context.crashes.record_unknown_outcome(self.outgoing.fingerprint, open.pick.key);
            open.end(SteerOutcome::DeadlineExceeded, None, 0);
            return self.go_on("the time is over and a target was still at work");
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
                self.context.crashes.record_target_ended(open.pick.key);
                open.end(SteerOutcome::WrongTarget, None, 0);
                if self.context.core().record_replaced(open.pick.key) {
                    log_replaced(&open.pick.id, "own");
                }
                self.go_on("another instance has the address")
            }
            AttemptEnd::Withheld => {
                open.end(SteerOutcome::Cancelled, None, 0);
                self.go_on("it has said meanwhile that it wants nothing")
            }
            AttemptEnd::NotConnected(why) => {
                if why == CONNECTION_REFUSED {
                    self.context.crashes.record_target_ended(open.pick.key);
                }
                open.end(SteerOutcome::ConnectFailed, None, 0);
                self.go_on(why)
            }
            AttemptEnd::Broken(reason) => {
                self.note_sent();
                self.context
                    .crashes
                    .record_unknown_outcome(self.outgoing.fingerprint, open.pick.key);
                open.end(SteerOutcome::Incomplete, None, 0);
                self.go_on(&reason)
            }
            AttemptEnd::CallerLeft => {
                self.note_sent();
                open.end(SteerOutcome::Cancelled, None, 0);
                self.go_on("its caller left before all of it had come")
            }
            AttemptEnd::TargetEnded(reason) => {
                self.note_sent();
                log_ended(&open.pick.id, self.outgoing.fingerprint);
                // Before its end is told, so that both go in one datagram.
                self.context.crashes.record_crash(self.outgoing.fingerprint, open.pick.key);
                open.end(SteerOutcome::Incomplete, None, 0);
                self.go_on(&format!("{reason}, and the target has ended"))
            }
        }
    }

    fn take_answer(
        &mut self,
        answer: Box<TargetAnswer>,
        load: Option<LoadReport>,
        open: &mut OpenAttempt,
    ) -> NextStep {
        self.note_sent();
        let failed = answer.start.status >= 500;
        if (200..300).contains(&answer.start.status) {
            self.context.crashes.record_success(self.outgoing.fingerprint);
        }
        let outcome =
            if failed { SteerOutcome::Failed } else { SteerOutcome::Good(open.started.elapsed()) };
        open.end(outcome, load, answer.bytes);
        self.trace.note_target(&open.pick);
        if failed && (self.open > 0 || self.may_repeat()) {
            self.trace.note_failure(&format!("status {}", answer.start.status));
            self.fallback = Some(answer);
            return NextStep::Again;
        }
        NextStep::Answer(passed_on(*answer))
    }

    /// After an attempt without an answer: another one, or the end.
    fn go_on(&mut self, why: &str) -> NextStep {
        self.trace.note_failure(why);
        if self.open > 0 {
            // Another attempt may still answer.
            return NextStep::Again;
        }
        if Instant::now() >= self.until() && self.runs > 0 {
            return NextStep::Answer(
                self.give_up("the time is over and a target was still at work"),
            );
        }
        if self.tried.len() as u32 >= SENDS_MOST {
            return NextStep::Answer(self.give_up("each target that was asked failed or refused"));
        }
        if (self.arrivals == 0 && !self.outgoing.is_spent()) || self.may_repeat() {
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
        if self.runs >= self.plan.policy.max_attempts {
            return Some("its attempts are used up");
        }
        if self.outgoing.is_spent() {
            return Some("a part of its long body is gone");
        }
        if Instant::now() >= self.until() {
            return Some("its time is over");
        }
        if self.context.crashes.verdict(self.outgoing.fingerprint).ended() >= NO_RETRY_THRESHOLD {
            return Some(ENDS_TARGETS);
        }
        let (context, service) = (&self.context, &self.plan.service);
        let homes = home_regions(&self.plan);
        if !context.core().has_eligible_target(context.now(), service, &self.tried, homes) {
            return Some("there is no other target");
        }
        let spent = context.core().spend_retry(context.now(), service, RetryUse::Repeat);
        if spent {
            metrics::counter!("wingbridge_retries").increment(1);
        }
        (!spent).then_some("the retry budget is used up")
    }

    /// When the request must be answered.
    fn until(&self) -> Instant {
        self.context.correct(&self.start, self.plan.until)
    }

    fn note_sent(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }
}

fn home_regions(plan: &RequestPlan) -> HomeRegions<'_> {
    plan.homes.as_deref().map_or(HomeRegions::Any, HomeRegions::Only)
}

/// The next of the `running` attempts that ends, or the time of a second attempt.
async fn next_event<F>(running: &mut FuturesUnordered<F>, hedge_at: Option<Instant>) -> RaceEvent
where
    F: Future<Output = EndedAttempt>,
{
    let ended = running.select_next_some();
    let Some(hedge_at) = hedge_at else {
        return RaceEvent::Ended(Box::new(ended.await));
    };
    let wait = hedge_at.saturating_duration_since(Instant::now());
    match async_std::future::timeout(wait, ended).await {
        Ok(ended) => RaceEvent::Ended(Box::new(ended)),
        Err(_) => RaceEvent::HedgeDue,
    }
}
