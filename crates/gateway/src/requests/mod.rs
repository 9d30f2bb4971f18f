//! Handling of one planned request over all its attempts, which are made one after the other or, as hedges, two
//! at the same time.

mod admission;
mod ending;
mod final_answers;
mod queueing;
mod relaying;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::stream::{FuturesUnordered, StreamExt};
use wingbridge_decide::TargetKey;
use wingbridge_decide::crashes::{CrashVerdict, NO_RETRY_THRESHOLD};
use wingbridge_decide::returns::ReturnArrival;
use wingbridge_decide::steer::{
    HomeRegions, LoadReport, PickError, RetryUse, SteerOutcome, SteerPick, SteerRequest,
};

use crate::answers::{CallerAnswer, CallerOutcome};
use crate::attempt::{AttemptResult, CONNECTION_REFUSED, OutgoingRequest, TargetAnswer};
use crate::context::{BoxContext, log_ended, log_replaced};
use crate::latch::ReadyLatch;
use crate::open_attempt::{AttemptRequest, EndedAttempt, OpenAttempt};
use crate::permit_manager::{CoordinatorWait, NoPermit, SendPermit};
use crate::relay::AttemptTotals;
use crate::relay::client::PeerPart;
use crate::request_log::RequestTrace;
use crate::reserved_token::ReservedToken;
use crate::returns::RefusalSigns;
use crate::routes::RouteKind;
use crate::routing::RequestPlan;
use crate::steering::credits::spend_retry;
use crate::suspension::ClockSample;
use crate::waiting::QueueTicket;
use ending::RunEnd;
use final_answers::forwarded_answer;
use queueing::QueueOutcome;

pub(crate) use final_answers::poison_request_answer;

/// Maximum number of attempts for one request, including those that the target refused or did not receive.
const MAX_SENDS: u32 = 4;

/// Reason for the refusal of a request while this box has no paths to the targets.
const NO_PATHS: &str = "this box reaches no target, and no other box took it";

/// Reason for the refusal of a poison request.
const TARGETS_ENDED: &str = "targets have ended under it";

/// Average interval at which a request checks for a free target while all are saturated. It is a fraction of the
/// time that a target needs for one request.
const SATURATED_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between two tries to start a due hedge while there is no target or no retry for it. It is a fraction of
/// the time that a target needs for one request.
const HEDGE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A planned request while it is handled.
pub(crate) struct RequestRun {
    context: Arc<BoxContext>,
    outgoing: Arc<OutgoingRequest>,
    plan: RequestPlan,
    /// Token that was taken from the customer's quota.
    token: Option<ReservedToken>,
    /// Time at which the first byte of the request was read.
    received_at: Instant,
    /// Clock sample of the start of this run. A suspension of the machine after it extends the deadline.
    clock_sample: ClockSample,
    /// Targets of all attempts so far.
    tried: Vec<TargetKey>,
    /// Number of targets that may have run the request.
    possible_runs: u32,
    /// Number of targets that received the request, whether they ran it or not.
    deliveries: u32,
    /// Number of open attempts.
    open_attempts: u32,
    /// The part of a peer that agreed to handle the request and has given no result yet.
    peer_part: PeerPart,
    /// Opens when the peer that passed the request on wants it ended; `None` for a request of a caller.
    asked_to_end: Option<ReadyLatch>,
    /// Failure answer of a target, which the caller gets if no other attempt succeeds.
    fallback: Option<Box<TargetAnswer>>,
    /// Whether the request may still wait for the permit coordinator.
    coordinator_wait: CoordinatorWait,
    /// Whether a peer has this box handle the request. Such a request goes to targets alone: both boxes may believe that
    /// they have no paths.
    is_relayed: bool,
    /// Peers that were to handle the request.
    asked_peers: Vec<IpAddr>,
    /// Signs of the reason for a refusal.
    refusal_signs: RefusalSigns,
    /// Whether the caller comes when this box told it to. It then goes before new requests of its rank.
    due_return: bool,
    trace: RequestTrace,
}

/// How far a request has come that a peer passes on.
pub(crate) struct RelayedStart {
    /// The attempts before.
    pub(crate) totals: AttemptTotals,
    /// Whether the caller comes when a box told it to.
    pub(crate) due_return: bool,
    /// Opens when the peer wants the request ended.
    pub(crate) asked_to_end: ReadyLatch,
}

/// A request whose answer is decided.
#[derive(Debug)]
pub(crate) struct EndedRun {
    pub(crate) answer: CallerAnswer,
    pub(crate) trace: RequestTrace,
    /// The attempts over all boxes that handled the request.
    pub(crate) totals: AttemptTotals,
}

/// The next step after an attempt.
enum NextStep {
    /// Answer the caller.
    Answer(CallerAnswer),
    /// No target is left to be asked, for this reason.
    EndWithoutTarget(&'static str),
    /// Wait for another open attempt or make a new one.
    Continue,
}

/// An event while attempts of a request are open.
enum RaceEvent {
    /// An attempt has ended.
    Ended(Box<EndedAttempt>),
    /// It is time for a hedge.
    HedgeDue,
}

impl RequestRun {
    /// Creates the run of a request that was received at `received_at`.
    pub(crate) fn new(
        context: Arc<BoxContext>,
        outgoing: OutgoingRequest,
        plan: RequestPlan,
        token: Option<ReservedToken>,
        received_at: Instant,
        mut trace: RequestTrace,
    ) -> RequestRun {
        let clock_sample = context.clock_sample();
        let arrival = context.returns.arrival(context.now(), outgoing.fingerprint);
        trace.record_arrival(arrival);
        RequestRun {
            context,
            clock_sample,
            outgoing: Arc::new(outgoing),
            plan,
            token,
            received_at,
            tried: Vec::new(),
            possible_runs: 0,
            deliveries: 0,
            open_attempts: 0,
            peer_part: PeerPart::default(),
            asked_to_end: None,
            fallback: None,
            is_relayed: false,
            asked_peers: Vec::new(),
            coordinator_wait: CoordinatorWait::default(),
            refusal_signs: RefusalSigns::default(),
            due_return: arrival == ReturnArrival::Kept,
            trace,
        }
    }

    /// Creates the run of a request that a peer passes on.
    pub(crate) fn relayed(
        context: Arc<BoxContext>,
        outgoing: OutgoingRequest,
        plan: RequestPlan,
        start: RelayedStart,
        trace: RequestTrace,
    ) -> RequestRun {
        let run = RequestRun::new(context, outgoing, plan, None, Instant::now(), trace);
        RequestRun {
            possible_runs: start.totals.possible_runs,
            deliveries: start.totals.deliveries,
            due_return: start.due_return,
            asked_to_end: Some(start.asked_to_end),
            is_relayed: true,
            ..run
        }
    }

    /// Handles the request until its answer is decided.
    pub(crate) async fn run(mut self) -> EndedRun {
        let answer = match self.run_until_end().await {
            RunEnd::Answered(answer) => answer,
            RunEnd::EndedEarly(answer) => {
                let answer = answer.unwrap_or_else(|| self.end_early());
                let remaining = self.deadline().saturating_duration_since(Instant::now());
                self.trace.record_ended_early(remaining);
                answer
            }
        };
        if self.due_return && answer.outcome == CallerOutcome::Answered {
            metrics::counter!("wingbridge_returns_served").increment(1);
        }
        if self.possible_runs == 0
            && let Some(token) = &mut self.token
        {
            token.record_not_run();
        }
        let (possible_runs, deliveries) = (self.possible_runs, self.deliveries);
        // A target whose attempt is dropped for another one's answer may have received the request as well.
        self.trace.record_deliveries(deliveries + self.open_attempts);
        let totals = AttemptTotals { possible_runs, deliveries };
        EndedRun { answer, trace: self.trace, totals }
    }

    /// Makes attempts one after the other until an answer is decided.
    async fn run_attempts(&mut self) -> CallerAnswer {
        let mut ticket: Option<QueueTicket> = None;
        loop {
            let remaining = self.deadline().saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return self.give_up("the time is over");
            }
            if let Err(revoked) = self.recheck_access() {
                return self.reject_revoked(revoked);
            }
            let verdict = self.context.crashes.verdict(self.outgoing.fingerprint);
            if let CrashVerdict::Refused { wait, .. } = verdict {
                return self.refuse_poison(verdict, wait);
            }
            if self.goes_to_peer() {
                return match self.relay_to_peers().await {
                    Some(answer) => answer,
                    None => self.give_up(NO_PATHS),
                };
            }
            let seen = self.context.waiting.changes();
            let pick = match self.pick(remaining) {
                Ok(pick) if ticket.is_some() => pick,
                Ok(pick) => match self.yield_to_waiting(&pick, &mut ticket).await {
                    QueueOutcome::Proceed => pick,
                    QueueOutcome::PickAgain => continue,
                    QueueOutcome::Refused(answer) => return *answer,
                },
                Err(PickError::NoTarget) => {
                    return self.end_without_target("no target takes it").await;
                }
                Err(PickError::BackingOff(wait)) => return self.give_up_until(wait),
                Err(PickError::Saturated) if self.context.stopping.is_stopping() => {
                    // If the request continued to wait, the end of the process could cut it off.
                    return self.give_up_stopping("this box ends and every target has a queue");
                }
                Err(PickError::Saturated) if self.context.waiting.is_enabled() => {
                    match self.wait_in_queue(&mut ticket, seen).await {
                        QueueOutcome::Refused(answer) => return *answer,
                        QueueOutcome::Proceed | QueueOutcome::PickAgain => continue,
                    }
                }
                Err(PickError::Saturated) => {
                    let jitter = 0.5 + rand::random::<f64>();
                    async_std::task::sleep(SATURATED_POLL_INTERVAL.mul_f64(jitter)).await;
                    continue;
                }
                Err(PickError::Overloaded) => {
                    return self.give_up("no target could answer in time");
                }
            };
            let permit = match self.request_permit(&pick).await {
                Ok(permit) => permit,
                // The target is ineligible from now on, so another one is chosen.
                Err(NoPermit) => continue,
            };
            match self.race(pick, permit, ticket.take()).await {
                NextStep::Answer(answer) => return answer,
                NextStep::EndWithoutTarget(reason) => return self.end_without_target(reason).await,
                NextStep::Continue => {}
            }
        }
    }

    /// Chooses a target for the next attempt, for a request that has `remaining` time.
    fn pick(&mut self, remaining: Duration) -> Result<SteerPick, PickError> {
        let repeatable =
            self.plan.policy.repeatable && self.possible_runs + 1 < self.plan.policy.max_attempts;
        let request = SteerRequest {
            service: &self.plan.service,
            route: &self.plan.route.name,
            repeatable,
            large: self.plan.route.kind == RouteKind::Download,
            body_bytes: self.outgoing.body.len(),
            goal: self.plan.route.goal,
            remaining,
            tried: &self.tried,
            homes: home_regions(&self.plan),
        };
        let now = self.context.now();
        let mut core = self.context.core();
        let pick = core.pick(now, &request);
        let excluded = core.excluded(now, &self.plan.service);
        drop(core);
        self.trace.record_excluded(&excluded);
        pick
    }

    /// Makes an attempt, and hedges it if it is open for too long. The first answer that can go to the caller wins,
    /// and the other attempts are cancelled.
    async fn race(
        &mut self,
        first: SteerPick,
        permit: Option<SendPermit>,
        ticket: Option<QueueTicket>,
    ) -> NextStep {
        let mut running = FuturesUnordered::new();
        let key = first.key;
        let first = self.begin_attempt(first, permit);
        if let Some(ticket) = ticket {
            // The attempt counts as load of its target by now.
            let room = self.room_at(key);
            ticket.record_placed(room);
        }
        let mut hedge_at = self.hedge_time(&first);
        running.push(self.run_attempt(first));
        loop {
            let hedge_due = if running.len() > 1 { None } else { hedge_at };
            match next_event(&mut running, hedge_due).await {
                RaceEvent::Ended(ended) => {
                    self.open_attempts = running.len() as u32;
                    match self.handle_end(*ended).await {
                        NextStep::Answer(answer) => return NextStep::Answer(answer),
                        NextStep::EndWithoutTarget(reason) => {
                            return NextStep::EndWithoutTarget(reason);
                        }
                        NextStep::Continue if running.is_empty() => return NextStep::Continue,
                        NextStep::Continue => {}
                    }
                }
                RaceEvent::HedgeDue => match self.pick_hedge() {
                    Some(pick) => {
                        let second = self.begin_attempt(pick, None);
                        running.push(self.run_attempt(second));
                    }
                    None => hedge_at = Some(Instant::now() + HEDGE_POLL_INTERVAL),
                },
            }
        }
    }

    /// Records the start of an attempt at the chosen target.
    fn begin_attempt(&mut self, pick: SteerPick, permit: Option<SendPermit>) -> OpenAttempt {
        self.tried.push(pick.key);
        self.trace.record_pick(&pick, self.received_at.elapsed());
        if let Some(token) = &mut self.token {
            if self.possible_runs + self.open_attempts > 0 {
                token.record_resent();
            }
            token.record_sent();
        }
        self.open_attempts += 1;
        let service = self.plan.service.clone();
        let route = self.plan.route.name.clone();
        let customer = self.plan.customer.as_ref().map(|customer| customer.name.clone());
        let fingerprint = self.outgoing.fingerprint;
        let is_buffered = self.outgoing.body_stream.is_none();
        let request = AttemptRequest { permit, service, route, customer, fingerprint, is_buffered };
        OpenAttempt::begin(Arc::clone(&self.context), pick, request)
    }

    fn run_attempt(&self, attempt: OpenAttempt) -> impl Future<Output = EndedAttempt> + use<> {
        attempt.run(Arc::clone(&self.outgoing), self.deadline())
    }

    /// Returns the time at which a hedge of the open attempt is worth a retry; `None` if that time is not before
    /// the deadline or the request is not repeatable.
    fn hedge_time(&self, open: &OpenAttempt) -> Option<Instant> {
        if !self.plan.policy.repeatable {
            return None;
        }
        let after = open.hedge_after(self.deadline())?;
        Some(open.started + after).filter(|time| *time < self.deadline())
    }

    /// Chooses a target for a hedge, if the request may be hedged, and takes a retry from the budget for it.
    fn pick_hedge(&mut self) -> Option<SteerPick> {
        // A streamed body can't be sent to two targets.
        let may_hedge = self.possible_runs + self.open_attempts < self.plan.policy.max_attempts
            && self.outgoing.body_stream.is_none();
        // A request that ends targets would end two of them before the end of the first one is known.
        let is_clear =
            self.context.crashes.verdict(self.outgoing.fingerprint) == CrashVerdict::Clear;
        if !may_hedge
            || !is_clear
            || self.tried.len() as u32 >= MAX_SENDS
            || self.recheck_access().is_err()
        {
            return None;
        }
        let remaining = self.deadline().saturating_duration_since(Instant::now());
        // A hedge uses no target with a rate limit: its capacity is reserved for requests that have no other
        // target.
        let pick = self.pick(remaining).ok().filter(|pick| pick.limit.is_none())?;
        let context = &self.context;
        let service = &self.plan.service;
        if !context.core().spend_retry(context.now(), service, RetryUse::Hedge) {
            self.trace.record_no_hedge();
            return None;
        }
        self.trace.record_hedge(self.received_at.elapsed());
        Some(pick)
    }

    /// Reports the end of an attempt and decides what follows.
    async fn handle_end(&mut self, ended: EndedAttempt) -> NextStep {
        let EndedAttempt { mut open, result } = ended;
        let Some(result) = result else {
            // The deadline has passed while the target still works: whether it will complete is unknown.
            self.record_possible_run();
            self.context.crashes.record_unknown_outcome(self.outgoing.fingerprint, open.pick.key);
            open.end(SteerOutcome::DeadlineExceeded, None, 0);
            return self.after_failure("the time is over and a target was still at work").await;
        };
        match result {
            AttemptResult::Answered(answer, load) => {
                self.handle_answer(answer, load, &mut open).await
            }
            AttemptResult::Refused(load) => {
                self.deliveries += 1;
                let has_free_slots = self.refusal_signs.record_refused(load);
                let (context, service) = (&self.context, &self.plan.service);
                context.returns.record_target_refusal(context.now(), service, has_free_slots);
                open.end(SteerOutcome::Shed, load, 0);
                self.after_failure("refused by the target").await
            }
            AttemptResult::WrongTarget => {
                self.deliveries += 1;
                self.context.crashes.record_target_ended(open.pick.key);
                open.end(SteerOutcome::WrongTarget, None, 0);
                if self.context.core().record_replaced(open.pick.key) {
                    log_replaced(&open.pick.id, "own");
                }
                self.after_failure("another instance has the address").await
            }
            AttemptResult::Withheld => {
                open.end(SteerOutcome::Cancelled, None, 0);
                self.after_failure("it has said meanwhile that it wants nothing").await
            }
            AttemptResult::NotConnected(reason) => {
                if reason == CONNECTION_REFUSED {
                    self.context.crashes.record_target_ended(open.pick.key);
                }
                open.end(SteerOutcome::ConnectFailed, None, 0);
                self.after_failure(reason).await
            }
            AttemptResult::NoValidAnswer(reason) => {
                self.record_possible_run();
                self.context
                    .crashes
                    .record_unknown_outcome(self.outgoing.fingerprint, open.pick.key);
                open.end(SteerOutcome::Incomplete, None, 0);
                self.after_failure(&reason).await
            }
            AttemptResult::CallerDisconnected => {
                self.record_possible_run();
                open.end(SteerOutcome::Cancelled, None, 0);
                self.after_failure("its caller left before all of it had come").await
            }
            AttemptResult::TargetEnded(reason) => {
                self.record_possible_run();
                log_ended(&open.pick.id, self.outgoing.fingerprint);
                // The crash is recorded before the end of the attempt, so that one datagram reports both.
                self.context.crashes.record_crash(self.outgoing.fingerprint, open.pick.key);
                open.end(SteerOutcome::Incomplete, None, 0);
                self.after_failure(&format!("{reason}, and the target has ended")).await
            }
        }
    }

    /// Reports the end of an attempt with an answer and decides whether the caller gets that answer.
    async fn handle_answer(
        &mut self,
        answer: Box<TargetAnswer>,
        load: Option<LoadReport>,
        open: &mut OpenAttempt,
    ) -> NextStep {
        self.record_possible_run();
        self.context.returns.record_answer(self.context.now(), &self.plan.service);
        let failed = answer.head.status >= 500;
        if (200..300).contains(&answer.head.status) {
            self.context.crashes.record_success(self.outgoing.fingerprint);
        }
        let outcome =
            if failed { SteerOutcome::Failed } else { SteerOutcome::Good(open.started.elapsed()) };
        open.end(outcome, load, answer.bytes);
        self.trace.record_target(&open.pick);
        if !failed {
            return NextStep::Answer(forwarded_answer(*answer));
        }
        self.trace.record_failure(&format!("status {}", answer.head.status));
        // It is kept before the wait for a retry: a stop may end the request in that wait.
        self.fallback = Some(answer);
        if self.open_attempts > 0 || self.may_retry().await {
            return NextStep::Continue;
        }
        NextStep::Answer(self.give_up("no further attempt is allowed"))
    }

    /// Decides what follows an attempt without an answer: a further attempt or the final answer.
    async fn after_failure(&mut self, reason: &str) -> NextStep {
        self.trace.record_failure(reason);
        if self.open_attempts > 0 {
            // Another attempt may still answer.
            return NextStep::Continue;
        }
        if Instant::now() >= self.deadline() && self.possible_runs > 0 {
            return NextStep::Answer(
                self.give_up("the time is over and a target was still at work"),
            );
        }
        if self.tried.len() as u32 >= MAX_SENDS {
            return NextStep::EndWithoutTarget("each target that was asked failed or refused");
        }
        if (self.deliveries == 0 && !self.outgoing.is_body_consumed()) || self.may_retry().await {
            return NextStep::Continue;
        }
        NextStep::Answer(self.give_up("no further attempt is allowed"))
    }

    /// Returns whether the request may be sent to another target after one has received it. If so, this takes a
    /// retry from the budget.
    async fn may_retry(&mut self) -> bool {
        let refusal = self.retry_refusal().await;
        if let Some(reason) = refusal {
            self.trace.record_no_retry(reason);
        }
        refusal.is_none()
    }

    /// Returns the reason why the request may not be sent to another target. If there is none, this takes a retry
    /// from the budget.
    async fn retry_refusal(&mut self) -> Option<&'static str> {
        if self.possible_runs > 0 && !self.plan.policy.repeatable {
            return Some("it may run once only");
        }
        if self.possible_runs >= self.plan.policy.max_attempts {
            return Some("its attempts are used up");
        }
        if self.outgoing.is_body_consumed() {
            return Some("a part of its long body is gone");
        }
        if Instant::now() >= self.deadline() {
            return Some("its time is over");
        }
        if self.context.crashes.verdict(self.outgoing.fingerprint).ended() >= NO_RETRY_THRESHOLD {
            return Some(TARGETS_ENDED);
        }
        let (context, service) = (&self.context, &self.plan.service);
        let homes = home_regions(&self.plan);
        if !context.core().has_eligible_target(context.now(), service, &self.tried, homes) {
            return Some("there is no other target");
        }
        if spend_retry(context, service, self.deadline()).await {
            metrics::counter!("wingbridge_retries").increment(1);
            return None;
        }
        self.refusal_signs.record_no_retry();
        Some("the retry budget is used up")
    }

    /// Returns the time by which the request must be answered, corrected for suspensions of the machine.
    fn deadline(&self) -> Instant {
        self.context.correct(&self.clock_sample, self.plan.deadline)
    }

    /// Records that a target has received the request and may have run it.
    fn record_possible_run(&mut self) {
        self.deliveries += 1;
        self.possible_runs += 1;
    }
}

/// Returns the regions in which targets may be chosen for a request.
fn home_regions(plan: &RequestPlan) -> HomeRegions<'_> {
    plan.homes.as_deref().map_or(HomeRegions::Any, HomeRegions::Only)
}

/// Waits for the end of one of the `running` attempts, or until a hedge is due.
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
