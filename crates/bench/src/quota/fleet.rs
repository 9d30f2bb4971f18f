//! A fleet in virtual time: callers that ask, boxes that admit, datagrams that are late or lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use wingbridge_decide::TimePoint;
use wingbridge_decide::quota::{Admission, QuotaLimit};

use super::QuotaBench;
use super::scenario::{LENGTH, QuotaScenario, TROUBLE_FROM, TROUBLE_UNTIL};

/// What a caller sends in a second, usually. Source: the users' sheets.
const CALLER_RATE: f64 = 0.7;
/// Time of a datagram on its way, in microseconds: within and between data centres.
const DELAY: std::ops::Range<u64> = 600..4_000;
/// Time between two looks of a box at what is due, in microseconds.
const TICK: u64 = 10_000;
/// A request waits for credit this long at most, in microseconds.
const WAIT: u64 = 250_000;
/// A box that can't be reached is dropped from the others' tables after this long.
const SILENCE: u64 = 3_500_000;
/// A box that is silent this long is missed, in microseconds.
const DOUBT: u64 = 1_600_000;
/// IP and UDP headers of a datagram, in bytes.
const PACKET_BYTES: usize = 28;

/// One box, in one way to hold a quota.
pub(crate) trait WayBox {
    /// What boxes tell each other.
    type Message: Clone;

    /// A box that starts at `now` as the one with that number among `boxes`.
    fn start(now: TimePoint, number: usize, life: u64, boxes: usize) -> Self;

    /// A request came, or looks again if `is_new` is false.
    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission;

    /// What is to be sent now. `ranks` are the boxes of this one's table, by their rank for the
    /// customer. Boxes of some ways tell each other nothing.
    fn due(
        &mut self,
        _now: TimePoint,
        _limit: QuotaLimit,
        _ranks: &[usize],
    ) -> Vec<(usize, Self::Message)> {
        Vec::new()
    }

    /// Takes a message; returns the answer.
    fn take(
        &mut self,
        _now: TimePoint,
        _from: (usize, u64),
        _message: &Self::Message,
        _limit: QuotaLimit,
        _table: &BoxTable,
    ) -> Option<Self::Message> {
        None
    }

    /// Another box ends as planned, and has told all.
    fn note_ended(&mut self, _: (usize, u64)) {}

    /// Bytes of a message without packet headers.
    fn bytes(_message: &Self::Message) -> usize {
        0
    }
}

/// The boxes that one knows.
pub(crate) struct BoxTable {
    /// By their rank for the customer.
    pub(crate) ranks: Vec<usize>,
    /// Whether none is missed.
    pub(crate) hears_all: bool,
}

/// What is drawn for a fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    scenario: QuotaScenario,
    seed: u64,
    boxes: usize,
    /// Boxes that join within the trouble.
    joining: usize,
    limit: QuotaLimit,
    loss: f64,
    /// All boxes, by their rank for the customer.
    ranks: Vec<usize>,
    /// Whether a box is on the smaller side of a cut.
    cut: Vec<bool>,
    /// The box of each caller, at first and once callers have moved.
    callers: Vec<(usize, usize)>,
}

/// What came of a fleet.
#[derive(Debug, Clone, Default)]
pub struct QuotaRun {
    /// When requests were admitted, in seconds.
    pub admitted: Vec<f64>,
    /// Requests that one bucket over all would have admitted.
    pub owed: usize,
    /// Requests that came.
    pub asked: usize,
    /// Datagrams sent.
    pub datagrams: usize,
    /// Their bytes.
    pub bytes: usize,
    /// The boxes that sent them.
    pub boxes: usize,
}

impl FleetPlan {
    /// Draws a fleet.
    pub(crate) fn draw(bench: &QuotaBench, scenario: QuotaScenario, seed: u64) -> FleetPlan {
        let mut random = SmallRng::seed_from_u64(seed);
        let joining = if scenario == QuotaScenario::Joining { bench.boxes * 83 / 100 } else { 0 };
        let all = bench.boxes + joining;
        let mut ranks: Vec<usize> = (0..all).collect();
        ranks.shuffle(&mut random);
        let cut = (0..all).map(|_| random.random_bool(1.0 / 3.0)).collect();
        let callers = (bench.limit.per_second / 1.6 / CALLER_RATE).ceil().max(2.0) as usize;
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
        let part = self.scenario.limit(seconds(time));
        let QuotaLimit { per_second, burst } = self.limit;
        QuotaLimit { per_second: per_second * part, burst: burst * part }
    }

    /// Whether two boxes can't reach each other at `time`.
    fn is_cut(&self, one: usize, other: usize, time: u64) -> bool {
        let cuts = matches!(self.scenario, QuotaScenario::Cut | QuotaScenario::CutAtTenTimes);
        cuts && is_troubled(time) && self.cut[one] != self.cut[other]
    }

    /// Since when two boxes can't reach each other, at `time`.
    fn cut_since(&self, one: usize, other: usize, time: u64) -> Option<u64> {
        self.is_cut(one, other, time).then_some(micros(TROUBLE_FROM))
    }

    /// The moments at which a box is started, after which it was away for how long, in
    /// microseconds.
    fn starts(&self, number: usize) -> Vec<(u64, u64)> {
        let from = micros(TROUBLE_FROM);
        match self.scenario {
            _ if number >= self.boxes => vec![(from + number as u64 * 10_000, u64::MAX)],
            QuotaScenario::Power => vec![(from + 3_000_000, 1_000_000)],
            QuotaScenario::Killed if !self.cut[number] => {
                vec![(from + 1_000_000, 1_000_000), (from + 4_000_000, 1_000_000)]
            }
            QuotaScenario::Rolling => {
                let step = (micros(TROUBLE_UNTIL) - from) / self.boxes as u64;
                vec![(from + step * number as u64 + 500_000, 500_000)]
            }
            _ => Vec::new(),
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Request { caller: usize },
    Look { number: usize, until: u64 },
    Arrive { to: usize, from: usize, slot: usize },
    Tick,
    Stop { number: usize },
    Start { number: usize },
}

struct Fleet<'a, B: WayBox> {
    plan: &'a FleetPlan,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    events: u64,
    random: SmallRng,
    boxes: Vec<Option<B>>,
    lives: Vec<u64>,
    /// Since when a box is away.
    away: Vec<Option<u64>>,
    /// Messages on their way, with the life of their sender.
    messages: Vec<Option<(u64, B::Message)>>,
    run: QuotaRun,
    /// The bucket that an exact limit would have, and when it was filled.
    exact: (f64, u64),
}

/// Plays a fleet in one way.
pub(crate) fn play<B: WayBox>(plan: &FleetPlan) -> QuotaRun {
    let all = plan.boxes + plan.joining;
    let start = |number: usize| {
        (number < plan.boxes).then(|| B::start(TimePoint::default(), number, 0, plan.boxes))
    };
    let mut fleet: Fleet<'_, B> = Fleet {
        plan,
        now: 0,
        queue: BinaryHeap::new(),
        events: 0,
        random: SmallRng::seed_from_u64(plan.seed ^ 0x5eed),
        boxes: (0..all).map(start).collect(),
        lives: vec![0; all],
        away: (0..all).map(|number| (number >= plan.boxes).then_some(0)).collect(),
        messages: Vec::new(),
        run: QuotaRun { boxes: plan.boxes, ..QuotaRun::default() },
        exact: (plan.limit.burst, 0),
    };
    fleet.plan_all();
    fleet.run_all();
    fleet.run
}

impl<B: WayBox> Fleet<'_, B> {
    fn plan_all(&mut self) {
        for caller in 0..self.plan.callers.len() {
            self.plan_request(caller);
        }
        for number in 0..self.boxes.len() {
            for (at, away) in self.plan.starts(number) {
                if away < at {
                    self.push(at - away, FleetEvent::Stop { number });
                }
                self.push(at, FleetEvent::Start { number });
            }
        }
        self.push(TICK, FleetEvent::Tick);
    }

    fn run_all(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > micros(LENGTH) {
                return;
            }
            self.now = at;
            match event {
                FleetEvent::Request { caller } => self.take_request(caller),
                FleetEvent::Look { number, until } => self.admit(number, until, false),
                FleetEvent::Arrive { to, from, slot } => self.take_message(to, from, slot),
                FleetEvent::Tick => {
                    (0..self.boxes.len()).for_each(|number| self.send_due(number));
                    self.push(self.now + TICK, FleetEvent::Tick);
                }
                FleetEvent::Stop { number } => {
                    self.stop(number);
                }
                FleetEvent::Start { number } => {
                    self.lives[number] += 1;
                    let (life, boxes) = (self.lives[number], self.boxes.len());
                    self.boxes[number] = Some(B::start(self.point(), number, life, boxes));
                    self.away[number] = None;
                }
            }
        }
    }

    fn stop(&mut self, number: usize) {
        self.boxes[number] = None;
        self.away[number] = Some(self.now);
        if self.plan.scenario == QuotaScenario::Rolling {
            let life = self.lives[number];
            for other in self.boxes.iter_mut().flatten() {
                other.note_ended((number, life));
            }
        }
    }

    fn plan_request(&mut self, caller: usize) {
        let demand = self.plan.scenario.demand(seconds(self.now));
        let rate = self.plan.limit.per_second * demand / self.plan.callers.len() as f64;
        let wait = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.push(self.now + micros(wait.min(LENGTH)), FleetEvent::Request { caller });
    }

    fn take_request(&mut self, caller: usize) {
        self.plan_request(caller);
        let (first, moved) = self.plan.callers[caller];
        let has_moved = self.plan.scenario == QuotaScenario::Moved && is_troubled(self.now);
        let home = if has_moved { moved } else { first };
        let all = self.boxes.len();
        let mut tried = (home..all).chain(0..home);
        // The balancer goes on to the next box if one is away.
        let Some(number) = tried.find(|number| self.boxes[*number].is_some()) else {
            return;
        };
        self.run.asked += 1;
        self.run.owed += usize::from(self.is_owed());
        self.admit(number, self.now + WAIT, true);
    }

    /// Whether one bucket over all boxes would have credit.
    fn is_owed(&mut self) -> bool {
        let limit = self.plan.limit_at(self.now);
        let (credit, filled) = self.exact;
        let grown = credit + limit.per_second * seconds(self.now - filled);
        let credit = grown.min(limit.burst);
        let owed = credit >= 1.0;
        self.exact = (if owed { credit - 1.0 } else { credit }, self.now);
        owed
    }

    fn admit(&mut self, number: usize, until: u64, is_new: bool) {
        let (now, limit) = (self.point(), self.plan.limit_at(self.now));
        let Some(asked) = &mut self.boxes[number] else {
            return;
        };
        match asked.admit(now, limit, is_new) {
            Admission::Admitted => self.run.admitted.push(seconds(self.now)),
            Admission::Refused(_) => {}
            Admission::Wait if self.now < until => {
                // It looks often enough for a grant to be used as it comes.
                self.push(self.now + 2_000, FleetEvent::Look { number, until });
            }
            Admission::Wait => {}
        }
        self.send_due(number);
    }

    /// The boxes that `number` has in its table, by rank.
    fn ranks(&self, number: usize) -> Vec<usize> {
        let known = |other: &&usize| {
            let cut = self.plan.cut_since(number, **other, self.now);
            let lost = cut.or(self.away[**other]);
            lost.is_none_or(|since| self.now - since < SILENCE && since > 0)
        };
        self.plan.ranks.iter().filter(known).copied().collect()
    }

    /// Whether `number` hears all boxes but those that ended as planned.
    fn hears_all(&self, number: usize) -> bool {
        let is_planned = self.plan.scenario == QuotaScenario::Rolling;
        let missed = |other: &usize| {
            let away = self.away[*other].filter(|since| !is_planned && *since > 0);
            let since = self.plan.cut_since(number, *other, self.now).or(away);
            since.is_some_and(|since| self.now - since >= DOUBT)
        };
        !(0..self.boxes.len()).any(|other| missed(&other))
    }

    fn send_due(&mut self, number: usize) {
        let ranks = self.ranks(number);
        let (now, limit) = (self.point(), self.plan.limit_at(self.now));
        let Some(sender) = &mut self.boxes[number] else {
            return;
        };
        for (to, message) in sender.due(now, limit, &ranks) {
            self.send(number, to, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: B::Message) {
        if from == to {
            let slot = self.keep(from, message);
            return self.take_message(to, from, slot);
        }
        self.run.datagrams += 1;
        self.run.bytes += B::bytes(&message) + PACKET_BYTES;
        let lost = self.random.random_bool(self.plan.loss) || self.plan.is_cut(from, to, self.now);
        if lost {
            return;
        }
        let slot = self.keep(from, message);
        let delay = self.random.random_range(DELAY);
        self.push(self.now + delay, FleetEvent::Arrive { to, from, slot });
    }

    fn keep(&mut self, from: usize, message: B::Message) -> usize {
        self.messages.push(Some((self.lives[from], message)));
        self.messages.len() - 1
    }

    fn take_message(&mut self, to: usize, from: usize, slot: usize) {
        let Some((life, message)) = self.messages[slot].take() else {
            return;
        };
        let table = BoxTable { ranks: self.ranks(to), hears_all: self.hears_all(to) };
        let (now, limit) = (self.point(), self.plan.limit_at(self.now));
        let Some(taker) = &mut self.boxes[to] else {
            return;
        };
        if let Some(answer) = taker.take(now, (from, life), &message, limit, &table) {
            self.send(to, from, answer);
        }
    }

    fn push(&mut self, at: u64, event: FleetEvent) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn point(&self) -> TimePoint {
        TimePoint::default() + Duration::from_micros(self.now)
    }
}

fn is_troubled(time: u64) -> bool {
    (micros(TROUBLE_FROM)..micros(TROUBLE_UNTIL)).contains(&time)
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}
