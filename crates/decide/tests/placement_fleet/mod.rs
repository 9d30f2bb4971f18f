//! The boxes and targets of three data centres in virtual time: real steering cores, targets with slots and queues, and
//! messages that take time and may be lost.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::placement::PlacementLimits;
use wingbridge_decide::placement::{DataCentreLoad, ServiceDemand};
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{
    AttemptHandle, HomeRegions, LoadReport, PeerSample, PickError, SteerCore, SteerOutcome,
    SteerRequest, SteerSetup,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};

/// The service of all targets.
pub const SERVICE: &str = "orders";
const ROUTE: &str = "route";
/// Data centres of the fleet.
pub const CENTRES: [&str; 3] = ["c0", "c1", "c2"];
/// Mean work of a request in seconds at a target of normal speed.
pub const WORK: f64 = 0.3;
/// Slots of each target.
pub const SLOTS: u32 = 3;
/// Time that a sample of a peer takes.
const SAMPLE_DELAY: f64 = 0.02;
/// Time that a message between data centres takes.
const MESSAGE_DELAY: f64 = 0.005;
/// Requests that a target holds at most, as a multiple of its slots.
const HELD_FACTOR: usize = 5;
const GOAL: f64 = 1.5;
const DEADLINE: f64 = 4.0;

/// The settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSetup {
    /// Number of boxes in each data centre.
    pub boxes: usize,
    /// Times by which the targets of each data centre work longer than normal ones.
    pub slowdowns: [Vec<f64>; 3],
    /// Whether placement is on.
    pub places: bool,
    /// Utilizations from which placement acts.
    pub limits: PlacementLimits,
    /// Share of the messages about loads that is lost.
    pub loss: f64,
    /// Boxes of each data centre that send no messages about loads, as those of the previous release.
    pub silent: usize,
    pub seed: u64,
}

impl FleetSetup {
    /// Returns the setup of a fleet with that many targets of normal speed in each data centre.
    pub fn with_targets(targets: [usize; 3]) -> FleetSetup {
        FleetSetup {
            boxes: 4,
            slowdowns: targets.map(|count| vec![1.0; count]),
            places: true,
            limits: PlacementLimits::BALANCED,
            loss: 0.0,
            silent: 0,
            seed: 11,
        }
    }
}

/// What happened in a measured period.
#[derive(Debug, Clone, Default)]
pub struct FleetStats {
    pub seconds: f64,
    /// Requests of callers, by data centre.
    pub arrived: [f64; 3],
    /// Work that reached the targets of each data centre, relative to what they can do.
    pub utilization: [f64; 3],
    /// Number of requests that were sent to another data centre.
    pub crossed: f64,
    /// Time from the arrival to the answer of each served request in seconds.
    pub times: Vec<f64>,
    /// Number of requests that were refused or ran out of time.
    pub lost: usize,
    /// Number of times that a request was held back.
    pub held: usize,
    /// Hash of all chosen targets in their order.
    pub picks: u64,
}

impl FleetStats {
    /// Returns the time that `share` of the served requests do not exceed.
    pub fn time_at(&self, share: f64) -> f64 {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        times[((times.len() - 1) as f64 * share) as usize]
    }

    /// Returns the difference between the highest and the lowest utilization, relative to the highest.
    pub fn spread(&self) -> f64 {
        let highest = self.utilization.iter().copied().fold(0.0, f64::max);
        let lowest = self.utilization.iter().copied().fold(f64::INFINITY, f64::min);
        (highest - lowest) / highest
    }
}

#[derive(Debug)]
struct Target {
    id: String,
    centre: usize,
    slowdown: f64,
    running: usize,
    queue: VecDeque<Attempt>,
    listed: bool,
}

#[derive(Debug, Clone)]
struct Attempt {
    request: Request,
    handle: AttemptHandle,
}

#[derive(Debug, Clone)]
struct Request {
    box_index: usize,
    arrived: f64,
    tried: Vec<TargetKey>,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Retry(Request),
    Answer(usize, Attempt),
    Sample(usize, u64, TargetKey, PeerSample),
    Heartbeat(usize),
    Demands(usize, u64, Vec<ServiceDemand>),
    /// Loads for a box; whether it relays them in its data centre.
    Loads(usize, Vec<(Name, DataCentreLoad)>, bool),
}

struct Timed(u64, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

type Demand = Box<dyn Fn(usize, f64) -> f64>;

/// The boxes and targets, with the events to come.
pub struct Fleet {
    pub setup: FleetSetup,
    pub cores: Vec<SteerCore>,
    targets: Vec<Target>,
    by_key: BTreeMap<TargetKey, usize>,
    events: BinaryHeap<Timed>,
    number: u64,
    now: f64,
    demand: Demand,
    random: SmallRng,
    stats: FleetStats,
    /// Data centres whose messages about loads don't reach the others.
    pub cut_off: [bool; 3],
    /// Choice of a target with full knowledge, in place of the cores.
    pub best: bool,
}

/// Highest rate at which requests arrive in a data centre; lower ones are thinned out of it.
const MAX_DEMAND: f64 = 1500.0;

impl Fleet {
    /// Creates a fleet whose data centre `centre` gets `demand(centre, seconds)` requests a second.
    pub fn new(setup: FleetSetup, demand: impl Fn(usize, f64) -> f64 + 'static) -> Fleet {
        let mut targets = Vec::new();
        for (centre, slowdowns) in setup.slowdowns.iter().enumerate() {
            for (number, slowdown) in slowdowns.iter().enumerate() {
                targets.push(Target {
                    id: format!("t{centre}-{number}"),
                    centre,
                    slowdown: *slowdown,
                    running: 0,
                    queue: VecDeque::new(),
                    listed: true,
                });
            }
        }
        let by_key = |(index, target): (usize, &Target)| (TargetKey::of(&target.id), index);
        let mut fleet = Fleet {
            by_key: targets.iter().enumerate().map(by_key).collect(),
            cores: Vec::new(),
            targets,
            events: BinaryHeap::new(),
            number: 0,
            now: 0.0,
            demand: Box::new(demand),
            random: SmallRng::seed_from_u64(setup.seed),
            stats: FleetStats::default(),
            cut_off: [false; 3],
            best: false,
            setup,
        };
        for index in 0..3 * fleet.setup.boxes {
            let core = fleet.new_core(index);
            fleet.cores.push(core);
            let first = fleet.random.random::<f64>();
            fleet.push(first, Event::Heartbeat(index));
        }
        (0..3).for_each(|centre| fleet.push_arrival(centre));
        fleet
    }

    /// Replaces a box by one that has just started.
    pub fn restart(&mut self, index: usize) {
        self.cores[index] = self.new_core(index);
    }

    fn new_core(&self, index: usize) -> SteerCore {
        let mut core = SteerCore::new(SteerSetup {
            data_centre: CENTRES[self.centre_of(index)].into(),
            cross_cost: 0.015,
            retries: RetryBounds { share: 0.2, slack: 58.0, window: Duration::from_secs(10) },
            seed: self.setup.seed + index as u64,
            mechanisms: MechanismSet::default(),
        });
        if self.setup.places {
            core.enable_placement(self.setup.limits);
        }
        core.set_targets(self.time(), self.listing());
        core.set_boxes(self.setup.boxes, 3 * self.setup.boxes);
        core
    }

    fn listing(&self) -> Vec<SteerTarget> {
        let listed = self.targets.iter().filter(|target| target.listed);
        let entry = |target: &Target| SteerTarget {
            id: target.id.as_str().into(),
            started_ms: 0,
            address: target.id.as_str().into(),
            service: SERVICE.into(),
            data_centre: CENTRES[target.centre].into(),
            slots: SLOTS,
            cold_until: TimePoint::default(),
            region: "region".into(),
            evacuated: false,
            cold_rate: None,
        };
        listed.map(entry).collect()
    }

    /// Changes the speed of the targets of a data centre.
    pub fn set_slowdown(&mut self, centre: usize, slowdown: f64) {
        let targets = self.targets.iter_mut().filter(|target| target.centre == centre);
        targets.for_each(|target| target.slowdown = slowdown);
    }

    /// Removes every `nth` target of a data centre from the listing.
    pub fn remove_targets(&mut self, centre: usize, nth: usize) {
        let targets = self.targets.iter_mut().filter(|target| target.centre == centre);
        targets.step_by(nth).for_each(|target| target.listed = false);
        let (now, listing) = (self.time(), self.listing());
        self.cores.iter_mut().for_each(|core| core.set_targets(now, listing.clone()));
    }

    /// Returns the time on the clock of the cores.
    pub fn time(&self) -> TimePoint {
        TimePoint::from_micros((self.now * 1e6) as u64)
    }

    /// Returns the share of its demand that a data centre sends away, on average over its boxes.
    pub fn leaving(&self, centre: usize) -> f64 {
        let cores = self.cores.iter().skip(centre * self.setup.boxes).take(self.setup.boxes);
        let leaving =
            cores.map(|core| core.placement(SERVICE).map_or(0.0, |service| service.leaving()));
        leaving.sum::<f64>() / self.setup.boxes as f64
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: f64) {
        while self.events.peek().is_some_and(|next| next.0 as f64 / 1e6 <= until) {
            let Timed(micros, _, event) = self.events.pop().expect("there is a next event");
            self.now = micros as f64 / 1e6;
            self.handle(event);
        }
        self.now = until;
    }

    /// Runs from the present until `until` and returns what happened in that time.
    pub fn measure(&mut self, until: f64) -> FleetStats {
        let from = self.now;
        self.stats = FleetStats::default();
        self.run(until);
        let mut stats = std::mem::take(&mut self.stats);
        stats.seconds = until - from;
        for (centre, work) in stats.utilization.iter_mut().enumerate() {
            let listed = self.targets.iter().filter(|target| target.listed);
            let capacity: f64 = listed
                .filter(|target| target.centre == centre)
                .map(|target| f64::from(SLOTS) / (WORK * target.slowdown))
                .sum();
            *work /= capacity * stats.seconds;
        }
        stats
    }

    fn push(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Timed((at * 1e6) as u64, self.number, event));
    }

    fn push_arrival(&mut self, centre: usize) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / MAX_DEMAND;
        self.push(self.now + gap, Event::Arrival(centre));
    }

    fn centre_of(&self, box_index: usize) -> usize {
        box_index / self.setup.boxes
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrival(centre) => {
                self.push_arrival(centre);
                let demand = (self.demand)(centre, self.now);
                if self.random.random::<f64>() * MAX_DEMAND < demand {
                    let box_index =
                        centre * self.setup.boxes + self.random.random_range(0..self.setup.boxes);
                    self.stats.arrived[centre] += 1.0;
                    self.cores[box_index].record_request(now, SERVICE);
                    self.send(Request { box_index, arrived: self.now, tried: Vec::new() });
                }
            }
            Event::Retry(request) => self.send(request),
            Event::Answer(index, attempt) => self.answer(index, &attempt),
            Event::Sample(to, from, key, sample) => {
                self.cores[to].merge_peer_sample(now, from, key, &sample);
            }
            Event::Heartbeat(index) => self.heartbeat(index),
            Event::Demands(to, from, rows) => {
                for row in rows {
                    assert!(self.cores[to].merge_service_demand(now, from, &row));
                }
            }
            Event::Loads(to, loads, relay) => {
                if relay {
                    let peers = self.peers_of(to);
                    for peer in peers {
                        self.push_message(MESSAGE_DELAY, Event::Loads(peer, loads.clone(), false));
                    }
                }
                for (service, load) in loads {
                    assert!(self.cores[to].merge_data_centre_load(now, &service, load));
                }
            }
        }
    }

    fn peers_of(&self, index: usize) -> Vec<usize> {
        let first = self.centre_of(index) * self.setup.boxes;
        (first..first + self.setup.boxes).filter(|peer| *peer != index).collect()
    }

    fn push_message(&mut self, delay: f64, event: Event) {
        if self.random.random::<f64>() >= self.setup.loss {
            self.push(self.now + delay, event);
        }
    }

    fn heartbeat(&mut self, index: usize) {
        self.push(self.now + 1.0, Event::Heartbeat(index));
        let (now, centre, boxes) = (self.time(), self.centre_of(index), self.setup.boxes);
        if index % boxes >= boxes - self.setup.silent {
            return;
        }
        let rows = self.cores[index].service_demands(now);
        for peer in self.peers_of(index) {
            self.push_message(MESSAGE_DELAY, Event::Demands(peer, index as u64, rows.clone()));
        }
        if index % boxes >= 2 {
            return;
        }
        let loads = self.cores[index].data_centre_loads(now);
        for other in (0..3).filter(|other| *other != centre) {
            let to = other * boxes + self.random.random_range(0..boxes);
            if !self.cut_off[centre] && !self.cut_off[other] && !loads.is_empty() {
                self.push_message(MESSAGE_DELAY, Event::Loads(to, loads.clone(), true));
            }
        }
    }

    fn send(&mut self, mut request: Request) {
        let (now, box_index) = (self.time(), request.box_index);
        let remaining = DEADLINE - (self.now - request.arrived);
        if remaining <= 0.0 || request.tried.len() >= 4 {
            self.stats.lost += 1;
            return;
        }
        let key = if self.best {
            Ok(self.best_target(self.centre_of(box_index)))
        } else {
            let steer_request = SteerRequest {
                service: SERVICE,
                route: ROUTE,
                repeatable: false,
                large: false,
                body_bytes: 500,
                goal: Duration::from_secs_f64(GOAL),
                remaining: Duration::from_secs_f64(remaining),
                tried: &request.tried,
                homes: HomeRegions::Any,
            };
            self.cores[box_index].pick(now, &steer_request).map(|pick| pick.key)
        };
        let key = match key {
            Ok(key) => key,
            Err(PickError::Saturated) => {
                self.stats.held += 1;
                let pause = 0.06 * (0.5 + self.random.random::<f64>());
                self.push(self.now + pause, Event::Retry(request));
                return;
            }
            Err(_) => {
                self.stats.lost += 1;
                return;
            }
        };
        request.tried.push(key);
        self.stats.picks = self.stats.picks.wrapping_mul(31).wrapping_add(key.0);
        let handle = self.cores[box_index].begin(now, key, &ROUTE.into());
        self.report(box_index, key, &PeerSample::default());
        let index = self.by_key[&key];
        let attempt = Attempt { request, handle };
        let target = &mut self.targets[index];
        if target.running + target.queue.len() >= SLOTS as usize * HELD_FACTOR {
            let held = (target.running + target.queue.len()) as u32;
            self.end(&attempt, SteerOutcome::Shed, held);
            self.send(attempt.request);
            return;
        }
        if target.running < SLOTS as usize {
            self.start(index, attempt);
        } else {
            target.queue.push_back(attempt);
        }
    }

    /// Returns the target of a data centre at which a request is done first, by the true state of all of them.
    fn best_target(&self, centre: usize) -> TargetKey {
        let time = |target: &Target| {
            let held = target.running + target.queue.len();
            let rounds = (held as f64 + 1.0 - f64::from(SLOTS)).max(0.0) / f64::from(SLOTS);
            target.slowdown * (1.0 + rounds)
        };
        let listed = self.targets.iter().filter(|target| target.listed && target.centre == centre);
        let best = listed.min_by(|left, right| time(left).total_cmp(&time(right)));
        TargetKey::of(&best.expect("there is a target").id)
    }

    fn start(&mut self, index: usize, attempt: Attempt) {
        let varied = 0.6 + 0.8 * self.random.random::<f64>();
        let target = &mut self.targets[index];
        target.running += 1;
        let centre = target.centre;
        let done = self.now + WORK * target.slowdown * varied;
        let home = self.centre_of(attempt.request.box_index);
        self.stats.utilization[centre] += 1.0;
        self.stats.crossed += f64::from(u8::from(centre != home));
        self.push(done, Event::Answer(index, attempt));
    }

    fn answer(&mut self, index: usize, attempt: &Attempt) {
        let target = &mut self.targets[index];
        target.running -= 1;
        let next = target.queue.pop_front();
        if let Some(next) = next {
            self.start(index, next);
        }
        let target = &self.targets[index];
        let held = (target.running + target.queue.len()) as u32;
        let time = self.time().since(attempt.handle.started);
        self.end(attempt, SteerOutcome::Good(time), held);
        let taken = self.now - attempt.request.arrived;
        if taken > DEADLINE {
            self.stats.lost += 1;
        } else {
            self.stats.times.push(taken);
        }
    }

    fn end(&mut self, attempt: &Attempt, outcome: SteerOutcome, held: u32) {
        let (now, key, box_index) = (self.time(), attempt.handle.key, attempt.request.box_index);
        let core = &mut self.cores[box_index];
        let effect = core.end(now, &attempt.handle, &ROUTE.into(), outcome, 400);
        core.record_load(now, key, LoadReport { held, slots: SLOTS });
        let good = u32::from(matches!(outcome, SteerOutcome::Good(_)));
        let latency_ratio = effect.latency_ratio;
        let sample = PeerSample { good, latency_ratio, held: Some(held), ..PeerSample::default() };
        self.report(box_index, key, &sample);
    }

    /// Sends a sample with the open attempts of a box to its peers.
    fn report(&mut self, box_index: usize, key: TargetKey, sample: &PeerSample) {
        let (count, informative) = self.cores[box_index].open_attempts_at(key);
        let sample = PeerSample { open: Some(count), informative, ..sample.clone() };
        for peer in self.peers_of(box_index) {
            let event = Event::Sample(peer, box_index as u64, key, sample.clone());
            self.push(self.now + SAMPLE_DELAY, event);
        }
    }
}
