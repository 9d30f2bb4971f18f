//! Boxes of three data centres that share a retry budget over a network that delays and cuts, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::ledger::{RetryBounds, RetryCounts, RetryVerdict};
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::retry_share::{CreditGrant, CreditRequest};
use wingbridge_decide::steer::{RetryUse, SteerCore, SteerSetup};

pub const SERVICE: &str = "orders";
/// The window of the bound in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Number of data centres.
const CENTRES: usize = 3;
/// Milliseconds of one step of virtual time, after which reports are sent.
const STEP_MS: u64 = 25;
/// Milliseconds without a heartbeat after which boxes of the own and of other data centres are unknown.
const TIMEOUTS_MS: [u64; 2] = [3_500, 25_000];
/// Milliseconds between two heartbeats.
const HEARTBEAT_MS: u64 = 1_000;
/// Milliseconds for which a retry waits for credit.
const CREDIT_WAIT_MS: u64 = 80;
/// Retries that a request takes if it gets them.
const WANTED_RETRIES: usize = 3;

/// A period in milliseconds, without its end.
pub type Period = std::ops::Range<u64>;

/// The boxes to which callers send their requests.
#[derive(Debug, Clone, Copy)]
pub enum CallerPlace {
    /// All boxes of a data centre.
    Centre(usize),
    /// Every second box of each data centre: the first of each two for 0, the second for 1.
    Half(usize),
}

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub struct FleetCase {
    pub name: &'static str,
    pub boxes: usize,
    pub slack: f64,
    /// Requests a second of all boxes.
    pub per_second: f64,
    /// Milliseconds that a message takes.
    pub delay: u64,
    /// Share of the messages that are lost.
    pub lost: f64,
    /// While requests need retries.
    pub failing: Period,
    /// While no box hears another one.
    pub cut: Period,
    /// When all boxes start anew; 0 for never.
    pub restart: u64,
    /// When a half of the boxes of each data centre starts anew: the half of [`CallerPlace::Half`].
    pub half_restarts: &'static [(u64, usize)],
    /// When all callers of the first data centre move to the second one; 0 for never.
    pub shift: u64,
    /// The boxes that callers use from each of these times on; all boxes before the first one.
    pub places: &'static [(u64, CallerPlace)],
    /// Share of the boxes at which requests need retries.
    pub failing_share: f64,
}

impl Default for FleetCase {
    fn default() -> FleetCase {
        FleetCase {
            name: "",
            boxes: 36,
            slack: 58.0,
            per_second: 70.0,
            delay: 25,
            lost: 0.0,
            failing: 15_000..25_000,
            cut: 0..0,
            restart: 0,
            half_restarts: &[],
            shift: 0,
            places: &[],
            failing_share: 1.0,
        }
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct FleetResult {
    /// Times of requests in milliseconds.
    pub requests: Vec<u64>,
    /// Times of retries in milliseconds.
    pub retries: Vec<u64>,
    /// Requests that needed a retry and got none.
    pub without_retry: usize,
    /// Requests that needed a retry.
    pub needing: usize,
}

impl FleetResult {
    /// Returns the largest share of what the users allow that the retries of any window take.
    pub fn worst_share(&self, case: &FleetCase) -> f64 {
        let count = |times: &[u64], from: i64| {
            let below = |end: i64| times.partition_point(|time| (*time as i64) < end);
            below(from + WINDOW_MS as i64) - below(from)
        };
        let share = |from: &u64| {
            let from = *from as i64;
            let window = WINDOW_MS as i64;
            let starts = [from, from - window, from - window / 2];
            let requests = starts.map(|start| count(&self.requests, start));
            let requests = requests.into_iter().max().unwrap_or_default();
            count(&self.retries, from) as f64 / (0.2 * requests as f64 + case.slack)
        };
        self.retries.iter().map(share).fold(0.0, f64::max)
    }
}

/// A message between two boxes.
enum FleetMessage {
    Heartbeat,
    Counts(RetryCounts),
    CreditRequest(CreditRequest),
    CreditGrant(CreditGrant),
}

struct FleetBox {
    core: SteerCore,
    incarnation: u64,
    started: u64,
    /// When each other box was last heard.
    heard: BTreeMap<usize, u64>,
}

/// The fleet of a case.
pub struct RetryFleet<'a> {
    case: &'a FleetCase,
    boxes: Vec<FleetBox>,
    now: u64,
    messages: BTreeMap<u64, Vec<(usize, usize, FleetMessage)>>,
    random: SmallRng,
    incarnations: u64,
    waiting: Vec<WaitingRequest>,
    result: FleetResult,
}

/// A request whose next retry lacks credit.
struct WaitingRequest {
    number: usize,
    until: u64,
    wanted: usize,
}

impl<'a> RetryFleet<'a> {
    pub fn new(case: &'a FleetCase, seed: u64) -> RetryFleet<'a> {
        let random = SmallRng::seed_from_u64(seed);
        let mut fleet = RetryFleet {
            case,
            boxes: Vec::new(),
            now: 0,
            messages: BTreeMap::new(),
            random,
            incarnations: 0,
            waiting: Vec::new(),
            result: FleetResult::default(),
        };
        for number in 0..case.boxes {
            let started = fleet.new_box(number, 0);
            fleet.boxes.push(started);
        }
        fleet
    }

    /// Runs the case until two windows after the failures.
    pub fn run(mut self) -> FleetResult {
        let end = self.case.failing.end + 2 * WINDOW_MS;
        let mut arrivals = 0.0;
        while self.now < end {
            self.deliver();
            if self.case.restart > 0 && self.now == self.case.restart {
                self.restart_all();
            }
            for (at, half) in self.case.half_restarts {
                if *at == self.now {
                    self.restart_half(*half);
                }
            }
            if self.now.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats();
            }
            arrivals += self.case.per_second * STEP_MS as f64 / 1000.0;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.request();
            }
            for waiting in std::mem::take(&mut self.waiting) {
                self.take_retries(waiting);
            }
            self.send_reports();
            self.send_credit_requests();
            self.now += STEP_MS;
        }
        self.result
    }

    fn new_box(&mut self, number: usize, started: u64) -> FleetBox {
        self.incarnations += 1;
        let core = SteerCore::new(SteerSetup {
            data_centre: format!("centre-{}", centre_of(number)).into(),
            cross_cost: 0.01,
            retries: RetryBounds {
                share: 0.2,
                slack: self.case.slack,
                window: Duration::from_millis(WINDOW_MS),
            },
            seed: self.incarnations,
            mechanisms: MechanismSet::default(),
        });
        FleetBox { core, incarnation: self.incarnations, started, heard: BTreeMap::new() }
    }

    fn restart_all(&mut self) {
        self.messages.clear();
        self.waiting.clear();
        for number in 0..self.boxes.len() {
            self.boxes[number] = self.new_box(number, self.now);
        }
    }

    fn restart_half(&mut self, half: usize) {
        let is_restarted = |number: usize| (number / CENTRES) % 2 == half;
        self.waiting.retain(|waiting| !is_restarted(waiting.number));
        for number in (0..self.boxes.len()).filter(|number| is_restarted(*number)) {
            self.boxes[number] = self.new_box(number, self.now);
        }
    }

    fn request(&mut self) {
        let number = self.box_of_caller();
        let now = self.core_time(number);
        let core = &mut self.boxes[number].core;
        core.record_request(now, SERVICE);
        self.result.requests.push(self.now);
        let fails = (number as f64) < self.case.failing_share * self.case.boxes as f64;
        if !fails || !self.case.failing.contains(&self.now) {
            return;
        }
        self.result.needing += 1;
        let until = self.now + CREDIT_WAIT_MS;
        self.take_retries(WaitingRequest { number, until, wanted: WANTED_RETRIES });
    }

    /// Returns the box to which the next caller sends its request.
    fn box_of_caller(&mut self) -> usize {
        let mut number = self.random.random_range(0..self.boxes.len());
        if self.case.shift > 0 && self.now >= self.case.shift && centre_of(number) == 0 {
            number = (number + 1) % self.boxes.len();
        }
        let place = self.case.places.iter().rfind(|(from, _)| *from <= self.now);
        match place {
            None => number,
            Some((_, CallerPlace::Centre(centre))) => number - centre_of(number) + centre,
            Some((_, CallerPlace::Half(half))) => {
                let in_centre = number / CENTRES;
                let chosen = in_centre - in_centre % 2 + half;
                chosen * CENTRES + centre_of(number)
            }
        }
    }

    /// Makes the retries of a request until it has all, none is left, or it has to wait for credit.
    fn take_retries(&mut self, mut waiting: WaitingRequest) {
        while waiting.wanted > 0 {
            let now = self.core_time(waiting.number);
            let core = &mut self.boxes[waiting.number].core;
            match core.decide_retry(now, SERVICE, RetryUse::Repeat) {
                RetryVerdict::Allowed => {
                    waiting.wanted -= 1;
                    waiting.until = self.now + CREDIT_WAIT_MS;
                    self.result.retries.push(self.now);
                }
                RetryVerdict::Lacking if self.now < waiting.until => {
                    self.waiting.push(waiting);
                    return;
                }
                RetryVerdict::Lacking | RetryVerdict::Refused => break,
            }
        }
        self.result.without_retry += usize::from(waiting.wanted == WANTED_RETRIES);
    }

    fn send_reports(&mut self) {
        for number in 0..self.boxes.len() {
            let now = self.core_time(number);
            for (_, counts) in self.boxes[number].core.unreported_retry_counts(now) {
                for other in
                    self.others(number).filter(|other| centre_of(*other) == centre_of(number))
                {
                    self.send(number, other, FleetMessage::Counts(counts));
                }
            }
        }
    }

    fn send_credit_requests(&mut self) {
        for number in 0..self.boxes.len() {
            let now = self.core_time(number);
            let known = self.known_boxes(number);
            let local = known.into_iter().filter(|other| centre_of(*other) == centre_of(number));
            let peers: BTreeMap<u64, usize> =
                local.map(|other| (self.boxes[other].incarnation, other)).collect();
            let incarnations: Vec<u64> = peers.keys().copied().collect();
            let due = self.boxes[number].core.due_credit_requests(now, &incarnations);
            for (peer, request) in due.requests {
                self.send(number, peers[&peer], FleetMessage::CreditRequest(request));
            }
        }
    }

    /// Returns the boxes that a box has heard lately.
    fn known_boxes(&self, number: usize) -> Vec<usize> {
        let is_known = |other: &usize| {
            let timeout = TIMEOUTS_MS[usize::from(centre_of(*other) != centre_of(number))];
            let heard = self.boxes[number].heard.get(other);
            heard.is_some_and(|heard| self.now - heard < timeout)
        };
        self.others(number).filter(is_known).collect()
    }

    fn send_heartbeats(&mut self) {
        for number in 0..self.boxes.len() {
            for other in self.others(number) {
                self.send(number, other, FleetMessage::Heartbeat);
            }
            let known = self.known_boxes(number);
            let local =
                known.iter().filter(|other| centre_of(**other) == centre_of(number)).count();
            self.boxes[number].core.set_boxes(local + 1, known.len() + 1);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: FleetMessage) {
        let is_lost = self.case.lost > 0.0 && self.random.random::<f64>() < self.case.lost;
        if !is_lost && !self.case.cut.contains(&self.now) {
            let due = self.now + self.case.delay.max(STEP_MS);
            self.messages.entry(due).or_default().push((from, to, message));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if *entry.key() > self.now {
                return;
            }
            for (from, to, message) in entry.remove() {
                let now = self.core_time(to);
                let peer = self.boxes[from].incarnation;
                match message {
                    FleetMessage::Heartbeat => {
                        self.boxes[to].heard.insert(from, self.now);
                    }
                    FleetMessage::Counts(counts) => {
                        self.boxes[to].core.merge_retry_counts(now, peer, SERVICE, counts);
                    }
                    FleetMessage::CreditRequest(request) => {
                        let grant = self.boxes[to].core.lend_credit(now, &request);
                        self.send(to, from, FleetMessage::CreditGrant(grant));
                    }
                    FleetMessage::CreditGrant(grant) => {
                        self.boxes[to].core.record_credit(now, &grant);
                    }
                }
            }
        }
    }

    fn others(&self, number: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.boxes.len()).filter(move |other| *other != number)
    }

    fn core_time(&self, number: usize) -> TimePoint {
        TimePoint::from_micros((self.now - self.boxes[number].started) * 1000)
    }
}

fn centre_of(number: usize) -> usize {
    number % CENTRES
}
