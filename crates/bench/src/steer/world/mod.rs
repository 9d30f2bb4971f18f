//! The simulation of one fleet: handles the events of its boxes, targets and callers.

mod limits;
mod reports;

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{
    AttemptEffect, HomeRegions, PickError, RetryUse, SteerCore, SteerOutcome, SteerRequest,
    SteerSetup,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};

use crate::steer::SteerBench;
use crate::steer::backoffs::{BackoffMonitor, BackoffStrategy};
use crate::steer::event::{AnswerKind, Attempt, Event, EventQueue, Message, Request};
use crate::steer::fleet::{FleetPlan, ServicePlan};
use crate::steer::limits::{LimitMonitor, LimitStrategy};
use crate::steer::pattern::{LoadPattern, MEASURED_FROM};
use crate::steer::report::FleetResult;
use crate::steer::targets::{EmulatedTarget, WorkOutcome};

/// Time for which a box gathers samples before it sends them to its data centre.
const REPORT_DELAY: Duration = Duration::from_millis(25);
/// One-way latency within a data centre.
const LOCAL_LATENCY: Duration = Duration::from_micros(200);
/// Time after which a hedge that could not be sent is tried again.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a request is tried again while all targets are saturated.
const SATURATED_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Attempts of a request at most.
const MAX_ATTEMPTS: usize = 3;
const RETRIES: RetryBounds =
    RetryBounds { share: 0.2, slack: 50.0, window: Duration::from_secs(10) };

struct World<'a> {
    plan: &'a FleetPlan,
    pattern: LoadPattern,
    backoff_strategy: BackoffStrategy,
    backoffs: BackoffMonitor,
    limit_strategy: LimitStrategy,
    limits: LimitMonitor,
    /// When the queue of a target was last full, by target.
    full_at: HashMap<usize, TimePoint>,
    random: SmallRng,
    events: EventQueue,
    boxes: Vec<SteerCore>,
    targets: Vec<(usize, EmulatedTarget)>,
    /// Target indices by key.
    keys: HashMap<TargetKey, usize>,
    /// Names of the services.
    names: Vec<Name>,
    attempts: Vec<Attempt>,
    requests: Vec<Request>,
    messages: Vec<Option<Message>>,
    result: FleetResult,
}

/// Simulates a fleet until the end of the measured seconds, and returns its result.
pub(super) fn simulate(
    plan: &FleetPlan,
    bench: &SteerBench,
    without: &MechanismSet,
) -> FleetResult {
    let mut world = World::new(plan, bench, without);
    let end = MEASURED_FROM + Duration::from_secs(bench.seconds);
    for service in 0..plan.services.len() {
        world.schedule_arrival(service, bench.pattern.first_request());
    }
    while let Some(event) = world.events.next(end) {
        world.handle(event);
    }
    world.result.backoffs = world.backoffs.counts;
    world.result.limits = world.limits.counts(end);
    world.result
}

impl World<'_> {
    fn new<'a>(plan: &'a FleetPlan, bench: &SteerBench, without: &MechanismSet) -> World<'a> {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let mut targets = Vec::new();
        let mut steer_targets = Vec::new();
        for (service, service_plan) in plan.services.iter().enumerate() {
            for number in 0..service_plan.targets {
                steer_targets.push(SteerTarget {
                    id: format!("t{service}-{number}").into(),
                    started_ms: 0,
                    address: format!("10.0.{service}.{number}:1").into(),
                    service: format!("s{service}").into(),
                    data_centre: format!("c{}", number % plan.centres).into(),
                    slots: service_plan.slots,
                    cold_until: TimePoint::default(),
                    region: "region".into(),
                    evacuated: false,
                    cold_rate: None,
                });
                targets.push((service, EmulatedTarget::new(service_plan, &mut random)));
            }
        }
        let all = plan.boxes * plan.centres;
        let make_box = |number: usize| {
            let mut core = SteerCore::new(SteerSetup {
                data_centre: format!("c{}", number % plan.centres).into(),
                cross_cost: plan.cross_cost,
                retries: RETRIES,
                seed: plan.seed + number as u64,
                mechanisms: without.clone(),
            });
            core.set_targets(TimePoint::default(), steer_targets.clone());
            core.set_boxes(plan.boxes, all);
            core
        };
        let key_of = |(index, target): (usize, &SteerTarget)| (target.key(), index);
        World {
            plan,
            pattern: bench.pattern,
            backoff_strategy: bench.backoff_strategy,
            backoffs: BackoffMonitor::default(),
            limit_strategy: bench.limit_strategy,
            limits: LimitMonitor::default(),
            full_at: HashMap::new(),
            random,
            events: EventQueue::default(),
            boxes: (0..all).map(make_box).collect(),
            keys: steer_targets.iter().enumerate().map(key_of).collect(),
            names: (0..plan.services.len()).map(|service| format!("s{service}").into()).collect(),
            targets,
            attempts: Vec::new(),
            requests: Vec::new(),
            messages: Vec::new(),
            result: FleetResult::new(plan),
        }
    }

    /// Schedules the next request for a service at `after` from now plus a random gap.
    fn schedule_arrival(&mut self, service: usize, after: Duration) {
        let factor = self.pattern.rate_factor(self.events.now);
        let rate = self.plan.services[service].rate * factor;
        let gap = Exp::new(rate).map_or(1.0 / rate, |gap| gap.sample(&mut self.random));
        self.events.schedule(after + Duration::from_secs_f64(gap), Event::Arrival { service });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { service } => {
                self.schedule_arrival(service, Duration::ZERO);
                self.begin_request(service);
            }
            Event::Reached { attempt } => self.reach(attempt),
            Event::Done { attempt } => self.finish_work(attempt),
            Event::Answered { attempt, kind } => self.handle_answer(attempt, kind),
            Event::Overdue { attempt } => self.handle_overdue(attempt),
            Event::HedgeDue { request, attempt } => self.hedge(request, attempt),
            Event::DeadlineReached { request } => self.end_request(request, None),
            Event::SendAgain { request } => {
                if !self.requests[request].ended {
                    self.send(request);
                }
            }
            Event::MessageReceived { message } => self.receive_message(message),
        }
    }

    fn service_plan(&self, service: usize) -> &ServicePlan {
        &self.plan.services[service]
    }

    fn begin_request(&mut self, service: usize) {
        let box_number = self.random.random_range(0..self.boxes.len());
        let request = self.requests.len();
        self.requests.push(Request {
            service,
            box_number,
            since: self.events.now,
            attempts: Vec::new(),
            ended: false,
        });
        self.boxes[box_number].record_request(self.events.now, &self.names[service]);
        let timeout = self.service_plan(service).timeout;
        self.events.schedule(timeout, Event::DeadlineReached { request });
        self.send(request);
    }

    /// Sends a request to a target. The request is held while all targets are saturated, or back off
    /// under a strategy that waits for them; it ends if there is no target and no open attempt.
    fn send(&mut self, request: usize) {
        match self.try_send(request) {
            Err(PickError::Saturated) => {
                self.events.schedule(SATURATED_RETRY_INTERVAL, Event::SendAgain { request })
            }
            Err(PickError::BackingOff(remaining)) if self.may_hold(request, remaining) => {
                self.events.schedule(remaining, Event::SendAgain { request });
            }
            Err(_) if self.open_attempts(request) == 0 => self.end_request(request, None),
            Ok(()) | Err(_) => {}
        }
    }

    fn try_send(&mut self, request: usize) -> Result<(), PickError> {
        let Request { service, box_number, since, .. } = self.requests[request];
        let plan = &self.plan.services[service];
        let tried: Vec<TargetKey> = self.requests[request]
            .attempts
            .iter()
            .map(|attempt| self.attempts[*attempt].handle.key)
            .collect();
        let name = self.names[service].clone();
        let steer_request = SteerRequest {
            service: &name,
            route: &name,
            repeatable: plan.repeatable && tried.len() + 1 < MAX_ATTEMPTS,
            large: false,
            body_bytes: 0,
            goal: plan.goal,
            remaining: plan.timeout.saturating_sub(self.events.now.since(since)),
            tried: &tried,
            homes: HomeRegions::Any,
        };
        let pick = loop {
            let pick = self.boxes[box_number].pick(self.events.now, &steer_request)?;
            if self.has_permit(box_number, &pick) {
                break pick;
            }
        };
        let handle = self.boxes[box_number].begin(self.events.now, pick.key, &name);
        let target = self.keys[&pick.key];
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, target, handle, open: true });
        self.requests[request].attempts.push(attempt);
        let remote = *pick.data_centre != *format!("c{}", box_number % self.plan.centres);
        self.result.record_attempt(service, remote, pick.trial);
        if pick.trial {
            self.result.seconds.record_trial(self.events.now);
        }
        let latency = if remote { self.plan.remote_latency } else { LOCAL_LATENCY };
        self.events.schedule(latency, Event::Reached { attempt });
        let overdue = self.boxes[box_number].overdue_after(&handle);
        self.events.schedule(overdue, Event::Overdue { attempt });
        let remaining = plan.timeout.saturating_sub(self.events.now.since(since));
        if plan.repeatable
            && let Some(after) =
                self.boxes[box_number].hedge_after(self.events.now, &handle, remaining)
        {
            self.events.schedule(after, Event::HedgeDue { request, attempt });
        }
        self.report_attempt(box_number, pick.key, None, &AttemptEffect::default());
        Ok(())
    }

    fn open_attempts(&self, request: usize) -> usize {
        let attempts = &self.requests[request].attempts;
        attempts.iter().filter(|attempt| self.attempts[**attempt].open).count()
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { target, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let box_number = self.requests[self.attempts[attempt].request].box_number;
        self.backoffs.record_arrival(self.events.now, box_number, target);
        self.limits.record_arrival(self.events.now, target);
        let refused = self.pattern.refused_share(self.events.now, target);
        let refuses = refused > 0.0 && self.random.random_bool(refused);
        if !refuses && self.targets[target].1.enqueue(attempt) {
            self.start_work(target);
        } else {
            self.full_at.insert(target, self.events.now);
            self.events
                .schedule(LOCAL_LATENCY, Event::Answered { attempt, kind: AnswerKind::Refusal });
        }
    }

    fn start_work(&mut self, target: usize) {
        while let Some(attempt) = self.targets[target].1.start_next() {
            let service = self.targets[target].0;
            let plan = &self.plan.services[service];
            match self.targets[target].1.sample_outcome(self.events.now, plan, &mut self.random) {
                WorkOutcome::Good(time) => {
                    let time = time.mul_f64(self.pattern.work_factor(self.events.now, target));
                    self.events.schedule(time, Event::Done { attempt });
                    self.events.schedule(
                        time + LOCAL_LATENCY,
                        Event::Answered { attempt, kind: AnswerKind::Good },
                    );
                }
                WorkOutcome::Failed(time) => {
                    self.events.schedule(time, Event::Done { attempt });
                    self.events.schedule(
                        time + LOCAL_LATENCY,
                        Event::Answered { attempt, kind: AnswerKind::Failure },
                    );
                }
                WorkOutcome::Stalled => {}
            }
        }
    }

    fn finish_work(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].1.remove_attempt(attempt);
        self.start_work(target);
    }

    fn handle_answer(&mut self, attempt: usize, kind: AnswerKind) {
        let Attempt { request, handle, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let outcome = match kind {
            AnswerKind::Good => SteerOutcome::Good(self.events.now.since(handle.started)),
            AnswerKind::Failure => SteerOutcome::Failed,
            AnswerKind::Refusal => {
                self.apply_backoff(attempt);
                SteerOutcome::Shed
            }
        };
        self.receive_limit(attempt);
        self.end_attempt(attempt, outcome);
        if kind == AnswerKind::Good {
            self.end_request(request, Some(self.events.now.since(self.requests[request].since)));
            return;
        }
        let Request { service, box_number, .. } = self.requests[request];
        let ran = kind == AnswerKind::Failure;
        let plan = self.service_plan(service);
        let may_retry =
            (plan.repeatable || !ran) && self.requests[request].attempts.len() < MAX_ATTEMPTS;
        if self.open_attempts(request) > 0 {
            return;
        }
        if may_retry && self.spend(box_number, service, RetryUse::Repeat) {
            self.send(request);
        } else {
            self.end_request(request, None);
        }
    }

    fn spend(&mut self, box_number: usize, service: usize, usage: RetryUse) -> bool {
        let (now, name) = (self.events.now, self.names[service].clone());
        let mut spent = self.boxes[box_number].spend_retry(now, &name, usage);
        while self.exchange_credit(box_number) && !spent {
            // A box waits for the credit that it lacks.
            spent = self.boxes[box_number].spend_retry(now, &name, usage);
        }
        if spent {
            self.result.record_retry(service);
        }
        spent
    }

    fn hedge(&mut self, request: usize, attempt: usize) {
        let Request { service, box_number, ended, .. } = self.requests[request];
        let sent = self.requests[request].attempts.len();
        let only_open = self.open_attempts(request) == 1 && self.attempts[attempt].open;
        if ended || !only_open || sent >= MAX_ATTEMPTS {
            return;
        }
        if !self.spend(box_number, service, RetryUse::Hedge) || self.try_send(request).is_err() {
            self.events.schedule(HEDGE_RETRY_INTERVAL, Event::HedgeDue { request, attempt });
        }
    }

    fn handle_overdue(&mut self, attempt: usize) {
        let Attempt { request, handle, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let box_number = self.requests[request].box_number;
        let effect = self.boxes[box_number].record_overdue(self.events.now, &handle);
        self.record_suspicion(&handle, &effect);
        self.report_attempt(box_number, handle.key, None, &effect);
    }

    fn end_attempt(&mut self, attempt: usize, outcome: SteerOutcome) {
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        self.attempts[attempt].open = false;
        let Request { service, box_number, .. } = self.requests[request];
        let name = self.names[service].clone();
        let core = &mut self.boxes[box_number];
        let effect = core.end(self.events.now, &handle, &name, outcome, 400);
        if matches!(outcome, SteerOutcome::Good(_) | SteerOutcome::Failed | SteerOutcome::Shed) {
            core.record_load(self.events.now, handle.key, self.targets[target].1.load());
        }
        self.record_suspicion(&handle, &effect);
        self.report_attempt(box_number, handle.key, Some(outcome), &effect);
    }

    /// Ends a request, with its latency if it was served, and cancels its open attempts.
    fn end_request(&mut self, request: usize, served: Option<Duration>) {
        if self.requests[request].ended {
            return;
        }
        self.requests[request].ended = true;
        let outcome =
            if served.is_some() { SteerOutcome::Cancelled } else { SteerOutcome::DeadlineExceeded };
        for attempt in self.requests[request].attempts.clone() {
            if self.attempts[attempt].open {
                self.end_attempt(attempt, outcome);
                self.finish_work(attempt);
            }
        }
        let Request { service, since, .. } = self.requests[request];
        if since >= MEASURED_FROM {
            let goal = self.service_plan(service).goal;
            self.result.record_request(service, served, goal);
            self.result.seconds.record_request(since, served, goal);
        }
    }
}
