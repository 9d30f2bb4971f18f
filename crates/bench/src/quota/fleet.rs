//! Simulation of a fleet in virtual time: callers send requests, boxes admit or refuse them, and
//! the datagrams between boxes are delayed or lost.
//!
//! Times are in microseconds from the start of the run unless a name says otherwise.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use wingbridge_decide::TimePoint;
use wingbridge_decide::quota::{Admission, QuotaLimit};

use super::QuotaBench;
use super::scenario::{FAULT_END_S, FAULT_START_S, QuotaScenario, RUN_LENGTH_S};

/// Requests that a caller usually sends per second.
const CALLER_RATE_PER_S: f64 = 0.7;
/// Delay of a datagram in microseconds, within and between data centres.
const DELAY_US: std::ops::Range<u64> = 600..4_000;
/// Time between two checks of a box for messages that are due, in microseconds.
const TICK_US: u64 = 10_000;
/// Longest time that a request waits for a token, in microseconds.
const MAX_WAIT_US: u64 = 250_000;
/// Time after which an unreachable box is dropped from the tables of the others, in microseconds.
const DROP_AFTER_US: u64 = 3_500_000;
/// Time after which an unresponsive box counts as missing, in microseconds.
const MISSED_AFTER_US: u64 = 1_600_000;
/// IP and UDP headers of a datagram, in bytes.
const PACKET_HEADER_BYTES: usize = 28;

/// One box under one strategy to hold a quota.
pub(crate) trait StrategyBox {
    /// Message between boxes.
    type Message: Clone;

    /// Starts the box with this number, out of `boxes`, at `now`.
    fn start(now: TimePoint, number: usize, incarnation: u64, boxes: usize) -> Self;

    /// Decides on a request that has arrived, or on one that waits if `is_new` is false.
    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission;

    /// Returns the messages to send now, with their receivers. `ranks` lists the boxes of this
    /// box's table by their rank for the customer. Under some strategies boxes send no messages.
    fn due(
        &mut self,
        _now: TimePoint,
        _limit: QuotaLimit,
        _ranks: &[usize],
    ) -> Vec<(usize, Self::Message)> {
        Vec::new()
    }

    /// Handles a message from a box and its incarnation, and returns the answer if there is one.
    fn receive(
        &mut self,
        _now: TimePoint,
        _from: (usize, u64),
        _message: &Self::Message,
        _limit: QuotaLimit,
        _table: &BoxTable,
    ) -> Option<Self::Message> {
        None
    }

    /// Handles the planned stop of another box, which has announced it to all.
    fn on_box_stopped(&mut self, _: (usize, u64)) {}

    /// Returns the encoded size of a message in bytes, without packet headers.
    fn bytes(_message: &Self::Message) -> usize {
        0
    }
}

/// The boxes that one box can reach.
pub(crate) struct BoxTable {
    /// Box numbers by their rank for the customer.
    pub(crate) ranks: Vec<usize>,
    /// Whether no box counts as missing.
    pub(crate) reaches_all: bool,
}

/// Random choices that define a fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    scenario: QuotaScenario,
    seed: u64,
    boxes: usize,
    /// Boxes that join during the fault.
    joining: usize,
    limit: QuotaLimit,
    loss: f64,
    /// Numbers of all boxes, by their rank for the customer.
    ranks: Vec<usize>,
    /// Whether each box is on the smaller side of a network cut.
    cut: Vec<bool>,
    /// The box of each caller before and after callers have moved.
    callers: Vec<(usize, usize)>,
}

/// Counts from the run of one fleet.
#[derive(Debug, Clone, Default)]
pub struct QuotaRun {
    /// Times at which requests were admitted, in seconds.
    pub admitted: Vec<f64>,
    /// Requests that a single token bucket over all boxes would have admitted.
    pub ideally_admitted: usize,
    /// Requests that arrived at a box.
    pub requests: usize,
    /// Datagrams sent.
    pub datagrams: usize,
    /// Bytes of these datagrams, packet headers included.
    pub bytes: usize,
    /// Boxes that the fleet starts with.
    pub boxes: usize,
}

impl FleetPlan {
    /// Draws a fleet from `seed`.
    pub(crate) fn draw(bench: &QuotaBench, scenario: QuotaScenario, seed: u64) -> FleetPlan {
        let mut random = SmallRng::seed_from_u64(seed);
        let joining = if scenario == QuotaScenario::Joining { bench.boxes * 83 / 100 } else { 0 };
        let all = bench.boxes + joining;
        let mut ranks: Vec<usize> = (0..all).collect();
        ranks.shuffle(&mut random);
        let cut = (0..all).map(|_| random.random_bool(1.0 / 3.0)).collect();
        let callers = (bench.limit.per_second / 1.6 / CALLER_RATE_PER_S).ceil().max(2.0) as usize;
        let callers = callers.max(bench.callers);
        let mut draw = || random.random_range(0..bench.boxes);
        let callers = (0..callers).map(|number| {
            let first = draw();
            (first, if number % 2 == 0 { draw() } else { first })
        });
        let callers = callers.collect();
        FleetPlan {
            scenario,
            seed,
            boxes: bench.boxes,
            joining,
            limit: bench.limit,
            loss: bench.loss,
            ranks,
            cut,
            callers,
        }
    }

    fn limit_at(&self, time: u64) -> QuotaLimit {
        let factor = self.scenario.limit(seconds(time));
        let QuotaLimit { per_second, burst } = self.limit;
        QuotaLimit { per_second: per_second * factor, burst: burst * factor }
    }

    /// Returns whether two boxes can't reach each other at `time`.
    fn is_cut(&self, one: usize, other: usize, time: u64) -> bool {
        let has_cut = matches!(self.scenario, QuotaScenario::Cut | QuotaScenario::CutAtTenTimes);
        has_cut && is_fault_time(time) && self.cut[one] != self.cut[other]
    }

    /// Returns the time since which two boxes can't reach each other, if they can't at `time`.
    fn cut_since(&self, one: usize, other: usize, time: u64) -> Option<u64> {
        self.is_cut(one, other, time).then_some(micros(FAULT_START_S))
    }

    /// Returns the times at which a box starts, each with the time for which it was down before, in
    /// microseconds.
    fn start_times(&self, number: usize) -> Vec<(u64, u64)> {
        let from = micros(FAULT_START_S);
        match self.scenario {
            _ if number >= self.boxes => vec![(from + number as u64 * 10_000, u64::MAX)],
            QuotaScenario::PowerCut => vec![(from + 3_000_000, 1_000_000)],
            QuotaScenario::Killed if !self.cut[number] => {
                vec![(from + 1_000_000, 1_000_000), (from + 4_000_000, 1_000_000)]
            }
            QuotaScenario::Rolling => {
                let step = (micros(FAULT_END_S) - from) / self.boxes as u64;
                vec![(from + step * number as u64 + 500_000, 500_000)]
            }
            _ => Vec::new(),
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A caller sends a request.
    Request {
        caller: usize,
    },
    /// A box decides again on a request that waits, for the last time at `until`.
    Recheck {
        number: usize,
        until: u64,
    },
    /// A message reaches a box; `slot` is its index in [`Fleet::messages`].
    Arrive {
        to: usize,
        from: usize,
        slot: usize,
    },
    /// All boxes send the messages that are due.
    Tick,
    Stop {
        number: usize,
    },
    Start {
        number: usize,
    },
}

struct Fleet<'a, B: StrategyBox> {
    plan: &'a FleetPlan,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    /// Number of scheduled events, which orders those at the same time.
    scheduled: u64,
    random: SmallRng,
    boxes: Vec<Option<B>>,
    incarnations: Vec<u64>,
    /// Time since which each box is down, if it is.
    down_since: Vec<Option<u64>>,
    /// Messages in transit, with the incarnation of their sender.
    messages: Vec<Option<(u64, B::Message)>>,
    run: QuotaRun,
    /// Tokens of a single bucket over all boxes, and when it was last filled.
    ideal_bucket: (f64, u64),
}

/// Runs a fleet under one strategy.
pub(crate) fn run_fleet<B: StrategyBox>(plan: &FleetPlan) -> QuotaRun {
    let all = plan.boxes + plan.joining;
    let start = |number: usize| {
        (number < plan.boxes).then(|| B::start(TimePoint::default(), number, 0, plan.boxes))
    };
    let mut fleet: Fleet<'_, B> = Fleet {
        plan,
        now: 0,
        queue: BinaryHeap::new(),
        scheduled: 0,
        random: SmallRng::seed_from_u64(plan.seed ^ 0x5eed),
        boxes: (0..all).map(start).collect(),
        incarnations: vec![0; all],
        down_since: (0..all).map(|number| (number >= plan.boxes).then_some(0)).collect(),
        messages: Vec::new(),
        run: QuotaRun { boxes: plan.boxes, ..QuotaRun::default() },
        ideal_bucket: (plan.limit.burst, 0),
    };
    fleet.schedule_all();
    fleet.run_all();
    fleet.run
}

impl<B: StrategyBox> Fleet<'_, B> {
    fn schedule_all(&mut self) {
        for caller in 0..self.plan.callers.len() {
            self.schedule_request(caller);
        }
        for number in 0..self.boxes.len() {
            for (at, downtime) in self.plan.start_times(number) {
                if downtime < at {
                    self.schedule(at - downtime, FleetEvent::Stop { number });
                }
                self.schedule(at, FleetEvent::Start { number });
            }
        }
        self.schedule(TICK_US, FleetEvent::Tick);
    }

    fn run_all(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > micros(RUN_LENGTH_S) {
                return;
            }
            self.now = at;
            match event {
                FleetEvent::Request { caller } => self.on_request(caller),
                FleetEvent::Recheck { number, until } => self.admit(number, until, false),
                FleetEvent::Arrive { to, from, slot } => self.deliver(to, from, slot),
                FleetEvent::Tick => {
                    (0..self.boxes.len()).for_each(|number| self.send_due(number));
                    self.schedule(self.now + TICK_US, FleetEvent::Tick);
                }
                FleetEvent::Stop { number } => {
                    self.stop(number);
                }
                FleetEvent::Start { number } => {
                    self.incarnations[number] += 1;
                    let (incarnation, boxes) = (self.incarnations[number], self.boxes.len());
                    self.boxes[number] =
                        Some(B::start(self.time_point(), number, incarnation, boxes));
                    self.down_since[number] = None;
                }
            }
        }
    }

    fn stop(&mut self, number: usize) {
        self.boxes[number] = None;
        self.down_since[number] = Some(self.now);
        if self.plan.scenario == QuotaScenario::Rolling {
            let incarnation = self.incarnations[number];
            for other in self.boxes.iter_mut().flatten() {
                other.on_box_stopped((number, incarnation));
            }
        }
    }

    fn schedule_request(&mut self, caller: usize) {
        let demand = self.plan.scenario.demand(seconds(self.now));
        let rate = self.plan.limit.per_second * demand / self.plan.callers.len() as f64;
        let wait = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule(self.now + micros(wait.min(RUN_LENGTH_S)), FleetEvent::Request { caller });
    }

    fn on_request(&mut self, caller: usize) {
        self.schedule_request(caller);
        let (first, moved) = self.plan.callers[caller];
        let has_moved = self.plan.scenario == QuotaScenario::Moved && is_fault_time(self.now);
        let assigned = if has_moved { moved } else { first };
        let all = self.boxes.len();
        let mut candidates = (assigned..all).chain(0..assigned);
        // The load balancer in front of the boxes skips boxes that are down.
        let Some(number) = candidates.find(|number| self.boxes[*number].is_some()) else {
            return;
        };
        self.run.requests += 1;
        self.run.ideally_admitted += usize::from(self.is_ideally_admitted());
        self.admit(number, self.now + MAX_WAIT_US, true);
    }

    /// Returns whether a single bucket over all boxes has a token for a request now, and takes it.
    fn is_ideally_admitted(&mut self) -> bool {
        let limit = self.plan.limit_at(self.now);
        let (tokens, filled_at) = self.ideal_bucket;
        let refilled = tokens + limit.per_second * seconds(self.now - filled_at);
        let tokens = refilled.min(limit.burst);
        let is_admitted = tokens >= 1.0;
        self.ideal_bucket = (if is_admitted { tokens - 1.0 } else { tokens }, self.now);
        is_admitted
    }

    fn admit(&mut self, number: usize, until: u64, is_new: bool) {
        let (now, limit) = (self.time_point(), self.plan.limit_at(self.now));
        let Some(admitting) = &mut self.boxes[number] else {
            return;
        };
        match admitting.admit(now, limit, is_new) {
            Admission::Admitted => self.run.admitted.push(seconds(self.now)),
            Admission::Refused(_) => {}
            Admission::Wait if self.now < until => {
                // 2 ms is short enough for a grant to be used soon after it arrives.
                self.schedule(self.now + 2_000, FleetEvent::Recheck { number, until });
            }
            Admission::Wait => {}
        }
        self.send_due(number);
    }

    /// Returns the boxes in the table of the box `number`, by rank.
    fn ranks(&self, number: usize) -> Vec<usize> {
        let is_listed = |other: &&usize| {
            let cut = self.plan.cut_since(number, **other, self.now);
            let unreachable = cut.or(self.down_since[**other]);
            unreachable.is_none_or(|since| self.now - since < DROP_AFTER_US && since > 0)
        };
        self.plan.ranks.iter().filter(is_listed).copied().collect()
    }

    /// Returns whether the box `number` reaches all boxes except those with a planned stop.
    fn reaches_all(&self, number: usize) -> bool {
        let is_planned = self.plan.scenario == QuotaScenario::Rolling;
        let is_missing = |other: &usize| {
            let down_since = self.down_since[*other].filter(|since| !is_planned && *since > 0);
            let since = self.plan.cut_since(number, *other, self.now).or(down_since);
            since.is_some_and(|since| self.now - since >= MISSED_AFTER_US)
        };
        !(0..self.boxes.len()).any(|other| is_missing(&other))
    }

    fn send_due(&mut self, number: usize) {
        let ranks = self.ranks(number);
        let (now, limit) = (self.time_point(), self.plan.limit_at(self.now));
        let Some(sender) = &mut self.boxes[number] else {
            return;
        };
        for (to, message) in sender.due(now, limit, &ranks) {
            self.send(number, to, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: B::Message) {
        if from == to {
            let slot = self.store_message(from, message);
            return self.deliver(to, from, slot);
        }
        self.run.datagrams += 1;
        self.run.bytes += B::bytes(&message) + PACKET_HEADER_BYTES;
        let lost = self.random.random_bool(self.plan.loss) || self.plan.is_cut(from, to, self.now);
        if lost {
            return;
        }
        let slot = self.store_message(from, message);
        let delay = self.random.random_range(DELAY_US);
        self.schedule(self.now + delay, FleetEvent::Arrive { to, from, slot });
    }

    fn store_message(&mut self, from: usize, message: B::Message) -> usize {
        self.messages.push(Some((self.incarnations[from], message)));
        self.messages.len() - 1
    }

    fn deliver(&mut self, to: usize, from: usize, slot: usize) {
        let Some((incarnation, message)) = self.messages[slot].take() else {
            return;
        };
        let table = BoxTable { ranks: self.ranks(to), reaches_all: self.reaches_all(to) };
        let (now, limit) = (self.time_point(), self.plan.limit_at(self.now));
        let Some(receiver) = &mut self.boxes[to] else {
            return;
        };
        if let Some(answer) = receiver.receive(now, (from, incarnation), &message, limit, &table) {
            self.send(to, from, answer);
        }
    }

    fn schedule(&mut self, at: u64, event: FleetEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn time_point(&self) -> TimePoint {
        TimePoint::default() + Duration::from_micros(self.now)
    }
}

fn is_fault_time(time: u64) -> bool {
    (micros(FAULT_START_S)..micros(FAULT_END_S)).contains(&time)
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}
