//! One emulated fleet: what its boxes, targets and callers do at each event.

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
use crate::steer::pattern::{COUNTED_FROM, LoadPattern};
use crate::steer::report::FleetResult;
use crate::steer::targets::{EmulatedTarget, WorkEnd};

/// How long a box gathers what it saw before it tells its data centre.
const TELL_AFTER: Duration = Duration::from_millis(25);
/// Within a data centre.
const NEAR: Duration = Duration::from_micros(200);
/// Time between two looks for a second attempt that could not be made.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Time between two looks for a target while all are saturated.
const HOLD_STEP: Duration = Duration::from_millis(60);
/// Attempts of a request at most.
const ATTEMPTS: usize = 3;
const RETRIES: RetryBounds =
    RetryBounds { share: 0.2, slack: 50.0, window: Duration::from_secs(10) };

struct World<'a> {
    plan: &'a FleetPlan,
    pattern: LoadPattern,
    backoff_strategy: BackoffStrategy,
    rests: BackoffMonitor,
    limit_strategy: LimitStrategy,
    limits: LimitMonitor,
    /// When a target's queue was full last.
    full_at: HashMap<usize, TimePoint>,
    random: SmallRng,
    events: EventQueue,
    boxes: Vec<SteerCore>,
    targets: Vec<(usize, EmulatedTarget)>,
    keys: HashMap<TargetKey, usize>,
    names: Vec<Name>,
    attempts: Vec<Attempt>,
    requests: Vec<Request>,
    messages: Vec<Option<Message>>,
    sums: FleetResult,
}

/// Plays a fleet for the seconds of traffic that are counted.
pub(super) fn play(plan: &FleetPlan, bench: &SteerBench, without: &MechanismSet) -> FleetResult {
    let mut world = World::new(plan, bench, without);
    let end = COUNTED_FROM + Duration::from_secs(bench.seconds);
    for service in 0..plan.services.len() {
        world.schedule_arrival(service, bench.pattern.first_request());
    }
    while let Some(event) = world.events.next(end) {
        world.handle(event);
    }
    world.sums.rests = world.rests.sums;
    world.sums.limits = world.limits.sums(end);
    world.sums
}

impl World<'_> {
    fn new<'a>(plan: &'a FleetPlan, bench: &SteerBench, without: &MechanismSet) -> World<'a> {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let mut targets = Vec::new();
        let mut steered = Vec::new();
        for (service, service_plan) in plan.services.iter().enumerate() {
            for number in 0..service_plan.targets {
                steered.push(SteerTarget {
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
            core.set_targets(TimePoint::default(), steered.clone());
            core.set_boxes(plan.boxes, all);
            core
        };
        let key_of = |(index, target): (usize, &SteerTarget)| (target.key(), index);
        World {
            plan,
            pattern: bench.pattern,
            backoff_strategy: bench.backoff_strategy,
            rests: BackoffMonitor::default(),
            limit_strategy: bench.limit_strategy,
            limits: LimitMonitor::default(),
            full_at: HashMap::new(),
            random,
            events: EventQueue::default(),
            boxes: (0..all).map(make_box).collect(),
            keys: steered.iter().enumerate().map(key_of).collect(),
            names: (0..plan.services.len()).map(|service| format!("s{service}").into()).collect(),
            targets,
            attempts: Vec::new(),
            requests: Vec::new(),
            messages: Vec::new(),
            sums: FleetResult::new(plan),
        }
    }

    /// Has the next request for a service come, that time from now and a random one more.
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
            Event::Answered { attempt, kind } => self.take_answer(attempt, kind),
            Event::Overdue { attempt } => self.note_overdue(attempt),
            Event::HedgeDue { request, attempt } => self.hedge(request, attempt),
            Event::TimeOver { request } => self.end_request(request, None),
            Event::LookAgain { request } => {
                if !self.requests[request].over {
                    self.send(request);
                }
            }
            Event::Told { message } => self.take_message(message),
        }
    }

    fn service_plan(&self, service: usize) -> &ServicePlan {
        &self.plan.services[service]
    }

    fn begin_request(&mut self, service: usize) {
        let gateway = self.random.random_range(0..self.boxes.len());
        let request = self.requests.len();
        self.requests.push(Request {
            service,
            gateway,
            since: self.events.now,
            attempts: Vec::new(),
            over: false,
        });
        self.boxes[gateway].record_request(self.events.now, &self.names[service]);
        let timeout = self.service_plan(service).timeout;
        self.events.schedule(timeout, Event::TimeOver { request });
        self.send(request);
    }

    /// Sends a request to a target; ends it if there is none, and holds it while all have
    /// queues and it has time to spare.
    fn send(&mut self, request: usize) {
        match self.try_send(request) {
            Err(PickError::Saturated) => {
                self.events.schedule(HOLD_STEP, Event::LookAgain { request })
            }
            Err(PickError::BackingOff(left)) if self.may_hold(request, left) => {
                self.events.schedule(left, Event::LookAgain { request });
            }
            Err(_) if self.open_attempts(request) == 0 => self.end_request(request, None),
            Ok(()) | Err(_) => {}
        }
    }

    fn try_send(&mut self, request: usize) -> Result<(), PickError> {
        let Request { service, gateway, since, .. } = self.requests[request];
        let plan = &self.plan.services[service];
        let tried: Vec<TargetKey> = self.requests[request]
            .attempts
            .iter()
            .map(|attempt| self.attempts[*attempt].handle.key)
            .collect();
        let name = self.names[service].clone();
        let asked = SteerRequest {
            service: &name,
            route: &name,
            repeatable: plan.repeatable && tried.len() + 1 < ATTEMPTS,
            large: false,
            body_bytes: 0,
            goal: plan.goal,
            remaining: plan.timeout.saturating_sub(self.events.now.since(since)),
            tried: &tried,
            homes: HomeRegions::Any,
        };
        let pick = loop {
            let pick = self.boxes[gateway].pick(self.events.now, &asked)?;
            if self.has_permit(gateway, &pick) {
                break pick;
            }
        };
        let handle = self.boxes[gateway].begin(self.events.now, pick.key, &name);
        let target = self.keys[&pick.key];
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, target, handle, open: true });
        self.requests[request].attempts.push(attempt);
        let away = *pick.data_centre != *format!("c{}", gateway % self.plan.centres);
        self.sums.note_attempt(service, away, pick.trial);
        if pick.trial {
            self.sums.seconds.note_trial(self.events.now);
        }
        let way = if away { self.plan.between } else { NEAR };
        self.events.schedule(way, Event::Reached { attempt });
        let overdue = self.boxes[gateway].overdue_after(&handle);
        self.events.schedule(overdue, Event::Overdue { attempt });
        let left = plan.timeout.saturating_sub(self.events.now.since(since));
        if plan.repeatable
            && let Some(after) = self.boxes[gateway].hedge_after(self.events.now, &handle, left)
        {
            self.events.schedule(after, Event::HedgeDue { request, attempt });
        }
        self.tell(gateway, pick.key, None, &AttemptEffect::default());
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
        let gateway = self.requests[self.attempts[attempt].request].gateway;
        self.rests.note_arrival(self.events.now, gateway, target);
        self.limits.note_arrival(self.events.now, target);
        let refused = self.pattern.refused_share(self.events.now, target);
        let refuses = refused > 0.0 && self.random.random_bool(refused);
        if !refuses && self.targets[target].1.take(attempt) {
            self.begin_work(target);
        } else {
            self.full_at.insert(target, self.events.now);
            self.events.schedule(NEAR, Event::Answered { attempt, kind: AnswerKind::Refusal });
        }
    }

    fn begin_work(&mut self, target: usize) {
        while let Some(attempt) = self.targets[target].1.begin_next() {
            let service = self.targets[target].0;
            let plan = &self.plan.services[service];
            match self.targets[target].1.draw_end(self.events.now, plan, &mut self.random) {
                WorkEnd::Good(time) => {
                    let time = time.mul_f64(self.pattern.work_factor(self.events.now, target));
                    self.events.schedule(time, Event::Done { attempt });
                    self.events
                        .schedule(time + NEAR, Event::Answered { attempt, kind: AnswerKind::Good });
                }
                WorkEnd::Failed(time) => {
                    self.events.schedule(time, Event::Done { attempt });
                    self.events.schedule(
                        time + NEAR,
                        Event::Answered { attempt, kind: AnswerKind::Failure },
                    );
                }
                WorkEnd::Stalled => {}
            }
        }
    }

    fn finish_work(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].1.drop_attempt(attempt);
        self.begin_work(target);
    }

    fn take_answer(&mut self, attempt: usize, kind: AnswerKind) {
        let Attempt { request, handle, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let outcome = match kind {
            AnswerKind::Good => SteerOutcome::Good(self.events.now.since(handle.started)),
            AnswerKind::Failure => SteerOutcome::Failed,
            AnswerKind::Refusal => {
                self.take_rest(attempt);
                SteerOutcome::Shed
            }
        };
        self.receive_limit(attempt);
        self.end_attempt(attempt, outcome);
        if kind == AnswerKind::Good {
            self.end_request(request, Some(self.events.now.since(self.requests[request].since)));
            return;
        }
        let Request { service, gateway, .. } = self.requests[request];
        let ran = kind == AnswerKind::Failure;
        let plan = self.service_plan(service);
        let may = (plan.repeatable || !ran) && self.requests[request].attempts.len() < ATTEMPTS;
        if self.open_attempts(request) > 0 {
            return;
        }
        if may && self.spend(gateway, service, RetryUse::Repeat) {
            self.send(request);
        } else {
            self.end_request(request, None);
        }
    }

    fn spend(&mut self, gateway: usize, service: usize, usage: RetryUse) -> bool {
        let spent = self.boxes[gateway].spend_retry(self.events.now, &self.names[service], usage);
        if spent {
            self.sums.note_retry(service);
        }
        spent
    }

    fn hedge(&mut self, request: usize, attempt: usize) {
        let Request { service, gateway, over, .. } = self.requests[request];
        let sent = self.requests[request].attempts.len();
        let only = self.open_attempts(request) == 1 && self.attempts[attempt].open;
        if over || !only || sent >= ATTEMPTS {
            return;
        }
        if !self.spend(gateway, service, RetryUse::Hedge) || self.try_send(request).is_err() {
            self.events.schedule(LOOK_AGAIN, Event::HedgeDue { request, attempt });
        }
    }

    fn note_overdue(&mut self, attempt: usize) {
        let Attempt { request, handle, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let gateway = self.requests[request].gateway;
        let news = self.boxes[gateway].record_overdue(self.events.now, &handle);
        self.note_suspect(&handle, &news);
        self.tell(gateway, handle.key, None, &news);
    }

    fn end_attempt(&mut self, attempt: usize, outcome: SteerOutcome) {
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        self.attempts[attempt].open = false;
        let Request { service, gateway, .. } = self.requests[request];
        let name = self.names[service].clone();
        let core = &mut self.boxes[gateway];
        let news = core.end(self.events.now, &handle, &name, outcome, 400);
        if matches!(outcome, SteerOutcome::Good(_) | SteerOutcome::Failed | SteerOutcome::Shed) {
            core.record_load(self.events.now, handle.key, self.targets[target].1.load());
        }
        self.note_suspect(&handle, &news);
        self.tell(gateway, handle.key, Some(outcome), &news);
    }

    /// A request's end, with its time if it was served. What is open of it is cancelled.
    fn end_request(&mut self, request: usize, served: Option<Duration>) {
        if self.requests[request].over {
            return;
        }
        self.requests[request].over = true;
        let outcome =
            if served.is_some() { SteerOutcome::Cancelled } else { SteerOutcome::DeadlineExceeded };
        for attempt in self.requests[request].attempts.clone() {
            if self.attempts[attempt].open {
                self.end_attempt(attempt, outcome);
                self.finish_work(attempt);
            }
        }
        let Request { service, since, .. } = self.requests[request];
        if since >= COUNTED_FROM {
            let goal = self.service_plan(service).goal;
            self.sums.note_request(service, served, goal);
            self.sums.seconds.note_request(since, served, goal);
        }
    }
}
