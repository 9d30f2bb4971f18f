//! A model of the boxes of one data centre, whose targets serve a constant number of requests a second.
//!
//! Boxes refuse what the targets can't begin in time, and tell each other once a second which returns they have told.
//! Callers return once, when they were told to, if that is within a third of the time that they have left.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::returns::{RefusalKind, ReturnSchedule, ToldReturns};
use wingbridge_decide::{Fingerprint, TimePoint};

/// Step of the model.
const STEP: Duration = Duration::from_millis(1);
/// Time that a request waits for a slot at most before it is refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(150);
/// Time from one report of a box to its next one.
const REPORT_PERIOD_MS: u64 = 1_000;
/// Time that a datagram takes.
const REPORT_DELAY: Duration = Duration::from_millis(3);
/// Time from an answer to the caller's receipt of it, and from its return to the box.
const CALLER_DELAY: Duration = Duration::from_millis(2);
/// Time before the load in which the boxes learn the capacity, at nine tenths of it.
const WARM_UP_MS: u64 = 5_000;

/// How callers come for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// By chance, at the rate of the load.
    SpreadOverTime,
    /// This many at once, at the end of the warm-up, and none after that.
    AllAtOnce(u32),
}

/// The box to which a refused caller returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnBox {
    /// The one that refused it, which recognizes it.
    Same,
    /// Any box.
    Any,
}

/// A load on the boxes of a data centre.
pub struct LoadCase {
    pub name: &'static str,
    pub boxes: usize,
    /// Requests that the targets serve per second.
    pub capacity: f64,
    /// Requests of callers at a second of the load, as a multiple of the capacity.
    pub load: fn(u64) -> f64,
    /// Share of the requests that targets refuse although they have free slots, at a second of the load.
    pub declined: fn(u64) -> f64,
    /// Whether boxes are told the capacity of the data centre.
    pub capacity_known: bool,
    pub callers: Callers,
    pub return_box: ReturnBox,
    /// Time that each caller has at its first try.
    pub remaining: Duration,
    pub goal: Duration,
    pub seconds: u64,
    /// Seconds of the load from which on, and before which, returns are measured.
    pub measured: (u64, u64),
    /// Minimum share of the returns that are served.
    pub min_served: Option<f64>,
    /// Maximum number of returns in any 100 ms, as a multiple of their mean.
    pub max_peak: Option<f64>,
}

/// What was observed of a load.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Refusals of first tries.
    pub refused: u32,
    /// Refused callers that were told to return in time.
    pub told: u32,
    /// Returns that came when told.
    pub came: u32,
    /// Returns that were served.
    pub served: u32,
    /// Largest number of returns in any 100 ms, as a multiple of the mean.
    pub peak: f64,
    /// Mean number of returns in 100 ms.
    pub mean: f64,
    /// Useful returns that were told for later than the bound: a third of the caller's time, or of its goal.
    pub too_late: u32,
}

/// A request that has come to a box.
#[derive(Debug, Clone, Copy)]
struct ModelRequest {
    fingerprint: Fingerprint,
    origin: usize,
    remaining: Duration,
    come_at: TimePoint,
    is_return: bool,
}

struct ModelBox {
    /// Time by which the clock of the box is ahead: each process has its own origin.
    clock_lead: Duration,
    schedule: ReturnSchedule,
    told: ToldReturns,
}

struct Model<'a> {
    case: &'a LoadCase,
    boxes: Vec<ModelBox>,
    /// Requests that wait for a slot: those that come when told, and all others.
    due: VecDeque<ModelRequest>,
    others: VecDeque<ModelRequest>,
    /// Callers on their way back.
    returning: BTreeMap<(TimePoint, u64), ModelRequest>,
    credit: f64,
    next_id: u64,
    arrivals: Vec<TimePoint>,
    result: LoadResult,
    random: SmallRng,
}

/// Runs a load and returns what was observed of it.
pub fn run_load(case: &LoadCase, seed: u64) -> LoadResult {
    let random = SmallRng::seed_from_u64(seed);
    let boxes = (0..case.boxes as u64).map(|number| ModelBox {
        clock_lead: Duration::from_micros(1_000_000 + number * 7_919),
        schedule: ReturnSchedule::new(seed * 1_000 + number),
        told: ToldReturns::default(),
    });
    let mut model = Model {
        case,
        boxes: boxes.collect(),
        due: VecDeque::new(),
        others: VecDeque::new(),
        returning: BTreeMap::new(),
        credit: 0.0,
        next_id: 0,
        arrivals: Vec::new(),
        result: LoadResult::default(),
        random,
    };
    let end = WARM_UP_MS + case.seconds * 1_000;
    for millis in 0..end {
        model.step(millis);
    }
    model.measure_peak();
    model.result
}

impl Model<'_> {
    fn step(&mut self, millis: u64) {
        let now = at(millis);
        let is_loaded = millis >= WARM_UP_MS;
        let second = millis.saturating_sub(WARM_UP_MS) / 1_000;
        for number in 0..self.boxes.len() {
            // Boxes report at different times.
            let phase = number as u64 * REPORT_PERIOD_MS / self.boxes.len() as u64;
            if millis % REPORT_PERIOD_MS == phase {
                self.report(now, number);
            }
        }
        let declined = if is_loaded { (self.case.declined)(second) } else { 0.0 };
        let is_measured =
            is_loaded && (self.case.measured.0..self.case.measured.1).contains(&second);
        while let Some(entry) = self.returning.first_entry().filter(|entry| entry.key().0 <= now) {
            let request = entry.remove();
            if is_measured {
                self.result.came += 1;
                self.arrivals.push(now);
            }
            self.arrive(now, request, declined);
        }
        let multiple = match self.case.callers {
            Callers::SpreadOverTime if is_loaded => (self.case.load)(second),
            Callers::AllAtOnce(_) if is_loaded => 0.0,
            _ => 0.9,
        };
        let mut expected = multiple * self.case.capacity * STEP.as_secs_f64();
        if let Callers::AllAtOnce(count) = self.case.callers
            && millis == WARM_UP_MS
        {
            expected = f64::from(count);
        }
        let arrivals =
            expected.floor() as u32 + u32::from(self.random.random::<f64>() < expected.fract());
        for _ in 0..arrivals {
            self.next_id += 1;
            let request = ModelRequest {
                fingerprint: Fingerprint(self.next_id),
                origin: self.random.random_range(0..self.boxes.len()),
                remaining: self.case.remaining,
                come_at: now,
                is_return: false,
            };
            self.arrive(now, request, declined);
        }
        self.serve(now, is_measured);
    }

    fn arrive(&mut self, now: TimePoint, mut request: ModelRequest, declined: f64) {
        request.come_at = now;
        if request.is_return && self.case.return_box == ReturnBox::Any {
            request.origin = self.random.random_range(0..self.boxes.len());
        }
        if self.random.random::<f64>() < declined {
            self.refuse(now, request, RefusalKind::Declined);
            return;
        }
        let at_box = &mut self.boxes[request.origin];
        let is_due = at_box.told.is_due(now + at_box.clock_lead, request.fingerprint);
        let ahead = if is_due { self.due.len() } else { self.due.len() + self.others.len() };
        let wait = Duration::from_secs_f64(ahead as f64 / self.case.capacity);
        if wait > MAX_QUEUE_WAIT {
            self.refuse(now, request, RefusalKind::NoRoom);
        } else if is_due {
            self.due.push_back(request);
        } else {
            self.others.push_back(request);
        }
    }

    fn refuse(&mut self, now: TimePoint, request: ModelRequest, kind: RefusalKind) {
        if request.is_return {
            return;
        }
        self.result.refused += 1;
        let remaining = request.remaining.saturating_sub(now.since(request.come_at));
        let goal_left = self.case.goal.saturating_sub(now.since(request.come_at));
        let refusing = &mut self.boxes[request.origin];
        let box_now = now + refusing.clock_lead;
        let told = refusing.schedule.plan(box_now, kind, remaining, goal_left);
        let bound = match kind {
            RefusalKind::NoRoom => remaining / 3,
            RefusalKind::Declined => (remaining / 3).min(goal_left / 3),
        };
        if !told.is_useful {
            return;
        }
        self.result.told += 1;
        self.result.too_late += u32::from(told.wait > bound);
        refusing.told.record(box_now, request.fingerprint, box_now + told.wait);
        let returns_at = now + told.wait + CALLER_DELAY;
        let returning = ModelRequest {
            remaining: remaining.saturating_sub(told.wait),
            is_return: true,
            ..request
        };
        self.returning.insert((returns_at, request.fingerprint.0), returning);
    }

    /// Serves waiting requests, and refuses those that have waited too long.
    fn serve(&mut self, now: TimePoint, is_measured: bool) {
        let is_late = |request: &&ModelRequest| now.since(request.come_at) > MAX_QUEUE_WAIT;
        while self.others.front().as_ref().is_some_and(is_late) {
            let request = self.others.pop_front().expect("a request waits");
            self.refuse(now, request, RefusalKind::NoRoom);
        }
        self.credit = (self.credit + self.case.capacity * STEP.as_secs_f64()).min(8.0);
        while self.credit >= 1.0 {
            let Some(request) = self.due.pop_front().or_else(|| self.others.pop_front()) else {
                return;
            };
            self.credit -= 1.0;
            let serving = &mut self.boxes[request.origin];
            serving.schedule.record_answer(now + serving.clock_lead);
            if request.is_return && is_measured {
                self.result.served += 1;
            }
        }
    }

    fn report(&mut self, now: TimePoint, from: usize) {
        let boxes = self.boxes.len() as u32;
        let reporting = &mut self.boxes[from];
        let box_now = now + reporting.clock_lead;
        if self.case.capacity_known {
            assert!(reporting.schedule.set_capacity(box_now, self.case.capacity, boxes));
        }
        let counts = reporting.schedule.report(box_now);
        for (number, receiving) in self.boxes.iter_mut().enumerate() {
            if number != from {
                let box_now = now + REPORT_DELAY + receiving.clock_lead;
                let merged =
                    receiving.schedule.merge_peer(box_now, from as u64, REPORT_DELAY, &counts);
                assert!(merged, "a report of a box is possible");
            }
        }
    }

    fn measure_peak(&mut self) {
        let (Some(first), Some(last)) = (self.arrivals.first(), self.arrivals.last()) else {
            return;
        };
        let span = last.since(*first).as_secs_f64().max(0.1);
        self.result.mean = self.arrivals.len() as f64 / span * 0.1;
        let mut most = 0;
        let mut begin = 0;
        for (index, time) in self.arrivals.iter().enumerate() {
            while time.since(self.arrivals[begin]) >= Duration::from_millis(100) {
                begin += 1;
            }
            most = most.max(index + 1 - begin);
        }
        self.result.peak = most as f64 / self.result.mean;
    }
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1_000)
}
