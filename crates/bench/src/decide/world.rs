//! The fake around the deciders: arrivals, network, targets with slots, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxEvent, Conclusion, HealthState, Name, ReportedState, RequestId,
    RequestPlan, TargetKey, TargetReport, TimePoint,
};

use crate::decide::fleet::FleetDecider;
use crate::decide::scenario::{FleetCondition, TargetFault};
use crate::decide::site::SiteSetup;

const BOX_TICK: Duration = Duration::from_millis(10);
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Waiting requests for each slot from which on a target sheds.
const QUEUE_PER_SLOT: usize = 20;
/// Share of requests that may be repeated.
const REPEATABLE: f64 = 0.95;
/// Time of an error, as a part of the work.
const ERROR_TIME: f64 = 0.2;

/// What a stretch of time is run under.
#[derive(Debug, Clone)]
pub struct WorldSetup {
    /// The site.
    pub site: SiteSetup,
    /// What the fleet goes through.
    pub condition: FleetCondition,
    /// A fault, with its target and when it starts.
    pub fault: Option<(TargetFault, usize, Duration)>,
    /// How long.
    pub length: Duration,
    /// Seeds arrivals, work and chance.
    pub seed: u64,
}

/// What was seen.
#[derive(Debug, Clone, Default)]
pub struct WorldResult {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were made.
    pub attempts: u64,
    /// Requests that were answered well.
    pub good: u64,
    /// Ejections, by each box.
    pub ejections: Vec<Ejection>,
    /// When the fault's target was kept out by nine in ten of the boxes that it affects.
    pub detected: Option<Duration>,
    /// Moments in which a box had less than the floor in service by ejections.
    pub floor_breaches: u64,
}

/// One box ejected a target.
#[derive(Debug, Clone, Copy)]
pub struct Ejection {
    /// When.
    pub time: TimePoint,
    /// The box.
    pub box_number: usize,
    /// The target.
    pub target: usize,
    /// Why, in the core's words.
    pub why: &'static str,
}

/// Runs `decider` through `setup`.
pub fn run_world(setup: &WorldSetup, decider: &mut dyn FleetDecider) -> WorldResult {
    let mut world = World::new(setup);
    world.run(decider);
    world.record
}

struct World<'a> {
    setup: &'a WorldSetup,
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, WorldEvent)>>,
    sequence: u64,
    targets: Vec<FakeTarget>,
    addresses: HashMap<Name, usize>,
    attempts: HashMap<u64, FakeAttempt>,
    /// The attempt that is open for each request.
    open: HashMap<RequestId, u64>,
    next: u64,
    out: Vec<Vec<bool>>,
    record: WorldResult,
    random: SmallRng,
    work: LogNormal<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrival,
    BoxTick,
    Probe,
    AtTarget(u64),
    Done(u64),
    Answer(u64, FakeOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FakeOutcome {
    Good,
    Error,
    Shed,
    NotSent,
}

#[derive(Debug, Default)]
struct FakeTarget {
    busy: u32,
    waiting: VecDeque<u64>,
}

#[derive(Debug, Clone)]
struct FakeAttempt {
    box_number: usize,
    request: RequestId,
    attempt: u32,
    target: usize,
    working: bool,
    fails: bool,
}

impl<'a> World<'a> {
    fn new(setup: &'a WorldSetup) -> World<'a> {
        let site = &setup.site;
        let service = site.service();
        let addresses = service.targets.iter().enumerate();
        let work = LogNormal::new(site.work.as_secs_f64().ln(), site.spread);
        World {
            setup,
            now: TimePoint::default(),
            events: BinaryHeap::new(),
            sequence: 0,
            targets: (0..site.targets).map(|_| FakeTarget::default()).collect(),
            addresses: addresses.map(|(index, target)| (target.address.clone(), index)).collect(),
            attempts: HashMap::new(),
            open: HashMap::new(),
            next: 0,
            out: vec![vec![false; site.targets]; site.boxes],
            record: WorldResult::default(),
            random: SmallRng::seed_from_u64(setup.seed),
            work: work.expect("a sound spread"),
        }
    }

    fn run(&mut self, decider: &mut dyn FleetDecider) {
        self.schedule(Duration::ZERO, WorldEvent::Arrival);
        self.schedule(BOX_TICK, WorldEvent::BoxTick);
        self.schedule(PROBE_PERIOD, WorldEvent::Probe);
        let end = TimePoint::default() + self.setup.length;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                return;
            }
            self.now = time;
            self.step(event, decider);
        }
    }

    fn step(&mut self, event: WorldEvent, decider: &mut dyn FleetDecider) {
        match event {
            WorldEvent::Arrival => self.arrive(decider),
            WorldEvent::BoxTick => self.tick_boxes(decider),
            WorldEvent::Probe => self.probe(decider),
            WorldEvent::AtTarget(id) => self.reach_target(id),
            WorldEvent::Done(id) => self.finish_work(id),
            WorldEvent::Answer(id, outcome) => self.answer(id, outcome, decider),
        }
    }

    fn second(&self) -> f64 {
        self.now.as_micros() as f64 / 1e6
    }

    fn schedule(&mut self, after: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn arrive(&mut self, decider: &mut dyn FleetDecider) {
        let site = &self.setup.site;
        let load = self.setup.condition.load(self.second()).max(0.05);
        let rate = site.rate * site.targets as f64 * load;
        let gap = Exp::new(rate).expect("a rate above 0").sample(&mut self.random);
        self.schedule(Duration::from_secs_f64(gap), WorldEvent::Arrival);
        let box_number = self.random.random_range(0..site.boxes);
        let request = RequestId(self.record.requests);
        self.record.requests += 1;
        let plan = RequestPlan {
            service: "browsing".into(),
            deadline: self.now + site.deadline,
            repeatable: self.random.random::<f64>() < REPEATABLE,
            attempts: 3,
            caller: self.random.random_range(0..500),
            caller_limit: 0,
            priority: 0,
        };
        let event = BoxEvent::RequestArrived { request, plan };
        self.handle(box_number, event, decider);
    }

    fn handle(&mut self, box_number: usize, event: BoxEvent, decider: &mut dyn FleetDecider) {
        let mut commands = Vec::new();
        decider.handle(self.now, box_number, event, &mut commands);
        for command in commands {
            self.obey(box_number, command);
        }
    }

    fn obey(&mut self, box_number: usize, command: BoxCommand) {
        match command {
            BoxCommand::Send { request, attempt, target, .. } => {
                self.drop_attempt(request);
                self.send(box_number, request, attempt, self.addresses[&target]);
            }
            BoxCommand::Conclude { request, conclusion } => {
                self.drop_attempt(request);
                let _: Conclusion = conclusion;
            }
            BoxCommand::HealthChanged(transition) => {
                let target = self.addresses[&transition.target];
                let kept_out = transition.to == HealthState::Ejected;
                if kept_out {
                    let (time, why) = (self.now, transition.reason);
                    self.record.ejections.push(Ejection { time, box_number, target, why });
                }
                self.out[box_number][target] = kept_out;
                self.look_for_detection();
            }
            _ => {}
        }
    }

    fn send(&mut self, box_number: usize, request: RequestId, attempt: u32, target: usize) {
        self.record.attempts += 1;
        self.next += 1;
        let id = self.next;
        let state =
            FakeAttempt { box_number, request, attempt, target, working: false, fails: false };
        self.attempts.insert(id, state);
        self.open.insert(request, id);
        if matches!(self.fault_of(target), Some(TargetFault::CutFromBox(cut)) if cut == box_number)
        {
            self.schedule(CONNECT_TIME, WorldEvent::Answer(id, FakeOutcome::NotSent));
            return;
        }
        self.schedule(self.setup.site.network, WorldEvent::AtTarget(id));
    }

    /// The caller's side of an attempt is closed, which cancels it at the target.
    fn drop_attempt(&mut self, request: RequestId) {
        let Some(id) = self.open.remove(&request) else { return };
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if attempt.working {
            self.free_slot(attempt.target);
        }
    }

    fn fault_of(&self, target: usize) -> Option<TargetFault> {
        let (fault, faulty, from) = self.setup.fault?;
        let started = self.now.since(TimePoint::default()) >= from;
        (started && faulty == target).then_some(fault)
    }

    fn is_stalled(&self, target: usize, box_number: usize) -> bool {
        let Some((_, _, from)) = self.setup.fault else { return false };
        match self.fault_of(target) {
            Some(TargetFault::Stall) => true,
            Some(TargetFault::Flap(period)) => {
                let since = self.now.since(TimePoint::default() + from);
                since.as_micros() % period.as_micros() < period.as_micros() / 2
            }
            Some(TargetFault::CutToCentre(cut)) => self.setup.site.centre_of(box_number) == cut,
            _ => false,
        }
    }

    fn reach_target(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).cloned() else { return };
        if self.is_stalled(attempt.target, attempt.box_number) {
            return;
        }
        let slots = self.setup.site.slots;
        let target = &mut self.targets[attempt.target];
        if target.waiting.len() >= slots as usize * QUEUE_PER_SLOT {
            self.schedule(self.setup.site.network, WorldEvent::Answer(id, FakeOutcome::Shed));
            return;
        }
        target.waiting.push_back(id);
        self.start_work(attempt.target);
    }

    fn start_work(&mut self, target: usize) {
        while self.targets[target].busy < self.setup.site.slots {
            let Some(id) = self.targets[target].waiting.pop_front() else { return };
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            attempt.working = true;
            let box_number = attempt.box_number;
            self.targets[target].busy += 1;
            let fails = self.draw_failure(target, box_number);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.fails = fails;
            }
            let span = self.work_time(target);
            let span = if fails { span.mul_f64(ERROR_TIME) } else { span };
            self.schedule(span, WorldEvent::Done(id));
        }
    }

    fn work_time(&mut self, target: usize) -> Duration {
        let second = self.second();
        let condition = self.setup.condition;
        let mut span = self.work.sample(&mut self.random);
        span *= condition.slowness(second, target, &mut self.random);
        if let Some(TargetFault::Slow(factor)) = self.fault_of(target) {
            span *= factor;
        }
        Duration::from_secs_f64(span) + condition.pause(second, target)
    }

    fn finish_work(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.working = false;
        let attempt = attempt.clone();
        self.free_slot(attempt.target);
        let outcome = if attempt.fails { FakeOutcome::Error } else { FakeOutcome::Good };
        self.schedule(self.setup.site.network, WorldEvent::Answer(id, outcome));
    }

    /// Whether the work of an attempt will end in an error.
    fn draw_failure(&mut self, target: usize, box_number: usize) -> bool {
        let errors = match self.fault_of(target) {
            Some(TargetFault::Errors(share)) => share,
            _ => 0.0,
        };
        let second = self.second();
        self.random.random::<f64>() < errors
            || self.setup.condition.fails(second, box_number, &mut self.random)
    }

    fn free_slot(&mut self, target: usize) {
        self.targets[target].busy -= 1;
        self.start_work(target);
    }

    fn answer(&mut self, id: u64, outcome: FakeOutcome, decider: &mut dyn FleetDecider) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.open.remove(&attempt.request);
        if outcome == FakeOutcome::Good {
            self.record.good += 1;
        }
        let report = self.report(attempt.target);
        let outcome = match outcome {
            FakeOutcome::Good => AttemptOutcome::Answered(report),
            FakeOutcome::Error => AttemptOutcome::AnsweredError(report),
            FakeOutcome::Shed => AttemptOutcome::Shed(report),
            FakeOutcome::NotSent => AttemptOutcome::NotSent,
        };
        let FakeAttempt { box_number, request, attempt, .. } = attempt;
        let event = BoxEvent::AttemptEnded { request, attempt, outcome };
        self.handle(box_number, event, decider);
    }

    fn report(&mut self, target: usize) -> TargetReport {
        let state = &self.targets[target];
        let present = state.busy as usize + state.waiting.len();
        let mut load = present as f32 / self.setup.site.slots as f32;
        if self.setup.condition == FleetCondition::LyingLoads {
            load = self.random.random();
        }
        let cold = self.setup.condition.is_cold(self.second(), target, self.targets.len());
        let state = if cold { ReportedState::Cold } else { ReportedState::Ready };
        TargetReport { load: Some(load), state, incarnation: None }
    }

    fn tick_boxes(&mut self, decider: &mut dyn FleetDecider) {
        self.schedule(BOX_TICK, WorldEvent::BoxTick);
        for box_number in 0..self.setup.site.boxes {
            self.handle(box_number, BoxEvent::TimerFired, decider);
        }
        let mut commands = Vec::new();
        decider.carry(self.now, &mut commands);
        for (box_number, command) in commands {
            self.obey(box_number, command);
        }
        if let Some((in_service, floor)) = decider.min_in_service() {
            self.record.floor_breaches += u64::from(in_service < floor);
        }
    }

    /// Probes are answered well by all that is there, whatever it does to real work.
    fn probe(&mut self, decider: &mut dyn FleetDecider) {
        self.schedule(PROBE_PERIOD, WorldEvent::Probe);
        let addresses = self.addresses.clone();
        for box_number in 0..self.setup.site.boxes {
            for (address, target) in &addresses {
                let centre = self.setup.site.centre_of(box_number);
                let cut = match self.fault_of(*target) {
                    Some(fault @ (TargetFault::CutFromBox(_) | TargetFault::CutToCentre(_))) => {
                        fault.affects(box_number, centre)
                    }
                    _ => false,
                };
                let state = (!cut).then_some(ReportedState::Ready);
                let target = TargetKey::of(address);
                let event = BoxEvent::ProbeEnded { service: "browsing".into(), target, state };
                self.handle(box_number, event, decider);
            }
        }
    }

    fn look_for_detection(&mut self) {
        let Some((fault, target, from)) = self.setup.fault else { return };
        let start = TimePoint::default() + from;
        if self.record.detected.is_some() || self.now < start {
            return;
        }
        let site = &self.setup.site;
        let harmed =
            (0..site.boxes).filter(|number| fault.affects(*number, site.centre_of(*number)));
        let harmed: Vec<usize> = harmed.collect();
        let out = harmed.iter().filter(|number| self.out[**number][target]).count();
        if out * 10 >= harmed.len() * 9 {
            self.record.detected = Some(self.now.since(start));
        }
    }
}
