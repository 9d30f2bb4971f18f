//! The simulation around a decider in virtual time: arrivals, network, and targets with slots.

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
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a connection that cannot be established is reported as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Waiting requests per slot from which on a target sheds requests.
const MAX_QUEUE_PER_SLOT: usize = 20;
/// Share of requests that may run more than once.
const REPEATABLE_SHARE: f64 = 0.95;
/// Processing time of a failing request as a share of that of a successful one.
const ERROR_TIME_SHARE: f64 = 0.2;

/// The settings of a simulation.
#[derive(Debug, Clone)]
pub struct WorldSetup {
    /// Sizes and rates of the simulated site.
    pub site: SiteSetup,
    /// Condition of the fleet.
    pub condition: FleetCondition,
    /// The fault, its target, and the time from the start of the simulation to the start of the fault.
    pub fault: Option<(TargetFault, usize, Duration)>,
    /// Length of the simulation.
    pub length: Duration,
    /// Seed of all random choices of the simulation.
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Debug, Clone, Default)]
pub struct WorldResult {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Requests that were served.
    pub good: u64,
    /// Ejections by all boxes, in the order of their times.
    pub ejections: Vec<Ejection>,
    /// Time from the start of the fault until nine in ten of the affected boxes had ejected its target.
    pub detected: Option<Duration>,
    /// Ticks on which a box had fewer slots in service than the floor because of ejections.
    pub floor_breaches: u64,
}

/// The ejection of a target by one box.
#[derive(Debug, Clone, Copy)]
pub struct Ejection {
    /// Virtual time of the ejection.
    pub time: TimePoint,
    /// Number of the box.
    pub box_number: usize,
    /// Number of the target.
    pub target: usize,
    /// Cause that the core names.
    pub reason: &'static str,
}

/// Simulates a fleet under `setup` whose decisions `decider` makes.
pub fn run_world(setup: &WorldSetup, decider: &mut dyn FleetDecider) -> WorldResult {
    let mut world = World::new(setup);
    world.run(decider);
    world.result
}

struct World<'a> {
    setup: &'a WorldSetup,
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, WorldEvent)>>,
    sequence: u64,
    targets: Vec<SimulatedTarget>,
    addresses: HashMap<Name, usize>,
    attempts: HashMap<u64, SimulatedAttempt>,
    /// Id of the open attempt of each request.
    open_attempts: HashMap<RequestId, u64>,
    last_attempt_id: u64,
    /// Whether each box has ejected each target.
    ejected: Vec<Vec<bool>>,
    result: WorldResult,
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
    Answer(u64, SimulatedOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedOutcome {
    Good,
    Error,
    Shed,
    NotSent,
}

#[derive(Debug, Default)]
struct SimulatedTarget {
    busy: u32,
    waiting: VecDeque<u64>,
}

#[derive(Debug, Clone)]
struct SimulatedAttempt {
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
            targets: (0..site.targets).map(|_| SimulatedTarget::default()).collect(),
            addresses: addresses.map(|(index, target)| (target.address.clone(), index)).collect(),
            attempts: HashMap::new(),
            open_attempts: HashMap::new(),
            last_attempt_id: 0,
            ejected: vec![vec![false; site.targets]; site.boxes],
            result: WorldResult::default(),
            random: SmallRng::seed_from_u64(setup.seed),
            work: work.expect("the spread of a site is finite"),
        }
    }

    fn run(&mut self, decider: &mut dyn FleetDecider) {
        self.schedule(Duration::ZERO, WorldEvent::Arrival);
        self.schedule(BOX_TICK, WorldEvent::BoxTick);
        self.schedule(PROBE_INTERVAL, WorldEvent::Probe);
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
        let gap = Exp::new(rate).expect("the rate is positive").sample(&mut self.random);
        self.schedule(Duration::from_secs_f64(gap), WorldEvent::Arrival);
        let box_number = self.random.random_range(0..site.boxes);
        let request = RequestId(self.result.requests);
        self.result.requests += 1;
        let plan = RequestPlan {
            service: "browsing".into(),
            deadline: self.now + site.deadline,
            repeatable: self.random.random::<f64>() < REPEATABLE_SHARE,
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
            self.apply_command(box_number, command);
        }
    }

    fn apply_command(&mut self, box_number: usize, command: BoxCommand) {
        match command {
            BoxCommand::Send { request, attempt, target, .. } => {
                self.close_attempt(request);
                self.send(box_number, request, attempt, self.addresses[&target]);
            }
            BoxCommand::Conclude { request, conclusion } => {
                self.close_attempt(request);
                let _: Conclusion = conclusion;
            }
            BoxCommand::HealthChanged(transition) => {
                let target = self.addresses[&transition.target];
                let is_ejected = transition.to == HealthState::Ejected;
                if is_ejected {
                    let (time, reason) = (self.now, transition.reason);
                    self.result.ejections.push(Ejection { time, box_number, target, reason });
                }
                self.ejected[box_number][target] = is_ejected;
                self.check_detection();
            }
            _ => {}
        }
    }

    fn send(&mut self, box_number: usize, request: RequestId, attempt: u32, target: usize) {
        self.result.attempts += 1;
        self.last_attempt_id += 1;
        let id = self.last_attempt_id;
        let state =
            SimulatedAttempt { box_number, request, attempt, target, working: false, fails: false };
        self.attempts.insert(id, state);
        self.open_attempts.insert(request, id);
        if matches!(self.current_fault(target), Some(TargetFault::CutFromBox(cut)) if cut == box_number)
        {
            self.schedule(CONNECT_TIMEOUT, WorldEvent::Answer(id, SimulatedOutcome::NotSent));
            return;
        }
        self.schedule(self.setup.site.network, WorldEvent::AtTarget(id));
    }

    /// Closes the open attempt of a request, which cancels it at the target.
    fn close_attempt(&mut self, request: RequestId) {
        let Some(id) = self.open_attempts.remove(&request) else { return };
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if attempt.working {
            self.free_slot(attempt.target);
        }
    }

    fn current_fault(&self, target: usize) -> Option<TargetFault> {
        let (fault, faulty, from) = self.setup.fault?;
        let started = self.now.since(TimePoint::default()) >= from;
        (started && faulty == target).then_some(fault)
    }

    fn is_stalled(&self, target: usize, box_number: usize) -> bool {
        let Some((_, _, from)) = self.setup.fault else { return false };
        match self.current_fault(target) {
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
        if target.waiting.len() >= slots as usize * MAX_QUEUE_PER_SLOT {
            self.schedule(self.setup.site.network, WorldEvent::Answer(id, SimulatedOutcome::Shed));
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
            let fails = self.sample_failure(target, box_number);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.fails = fails;
            }
            let span = self.work_time(target);
            let span = if fails { span.mul_f64(ERROR_TIME_SHARE) } else { span };
            self.schedule(span, WorldEvent::Done(id));
        }
    }

    fn work_time(&mut self, target: usize) -> Duration {
        let second = self.second();
        let condition = self.setup.condition;
        let mut span = self.work.sample(&mut self.random);
        span *= condition.work_factor(second, target, &mut self.random);
        if let Some(TargetFault::Slow(factor)) = self.current_fault(target) {
            span *= factor;
        }
        Duration::from_secs_f64(span) + condition.pause(second, target)
    }

    fn finish_work(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.working = false;
        let attempt = attempt.clone();
        self.free_slot(attempt.target);
        let outcome = if attempt.fails { SimulatedOutcome::Error } else { SimulatedOutcome::Good };
        self.schedule(self.setup.site.network, WorldEvent::Answer(id, outcome));
    }

    /// Samples whether an attempt fails.
    fn sample_failure(&mut self, target: usize, box_number: usize) -> bool {
        let errors = match self.current_fault(target) {
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

    fn answer(&mut self, id: u64, outcome: SimulatedOutcome, decider: &mut dyn FleetDecider) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.open_attempts.remove(&attempt.request);
        if outcome == SimulatedOutcome::Good {
            self.result.good += 1;
        }
        let report = self.report(attempt.target);
        let outcome = match outcome {
            SimulatedOutcome::Good => AttemptOutcome::Answered(report),
            SimulatedOutcome::Error => AttemptOutcome::AnsweredError(report),
            SimulatedOutcome::Shed => AttemptOutcome::Shed(report),
            SimulatedOutcome::NotSent => AttemptOutcome::NotSent,
        };
        let SimulatedAttempt { box_number, request, attempt, .. } = attempt;
        let event = BoxEvent::AttemptEnded { request, attempt, outcome };
        self.handle(box_number, event, decider);
    }

    fn report(&mut self, target: usize) -> TargetReport {
        let state = &self.targets[target];
        let held = state.busy as usize + state.waiting.len();
        let mut load = held as f32 / self.setup.site.slots as f32;
        if self.setup.condition == FleetCondition::FalseLoads {
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
        decider.deliver(self.now, &mut commands);
        for (box_number, command) in commands {
            self.apply_command(box_number, command);
        }
        if let Some((in_service, floor)) = decider.min_in_service() {
            self.result.floor_breaches += u64::from(in_service < floor);
        }
    }

    /// Probes all targets. Every target that the box can reach succeeds, even if it fails requests.
    fn probe(&mut self, decider: &mut dyn FleetDecider) {
        self.schedule(PROBE_INTERVAL, WorldEvent::Probe);
        let addresses = self.addresses.clone();
        for box_number in 0..self.setup.site.boxes {
            for (address, target) in &addresses {
                let centre = self.setup.site.centre_of(box_number);
                let cut = match self.current_fault(*target) {
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

    fn check_detection(&mut self) {
        let Some((fault, target, from)) = self.setup.fault else { return };
        let start = TimePoint::default() + from;
        if self.result.detected.is_some() || self.now < start {
            return;
        }
        let site = &self.setup.site;
        let affected =
            (0..site.boxes).filter(|number| fault.affects(*number, site.centre_of(*number)));
        let affected: Vec<usize> = affected.collect();
        let ejected = affected.iter().filter(|number| self.ejected[**number][target]).count();
        if ejected * 10 >= affected.len() * 9 {
            self.result.detected = Some(self.now.since(start));
        }
    }
}
