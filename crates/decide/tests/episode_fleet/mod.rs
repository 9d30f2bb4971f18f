//! Boxes of one data centre before targets that stall for a while and recover, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{
    AttemptHandle, HomeRegions, PeerSample, SteerCore, SteerOutcome, SteerRequest, SteerSetup,
};
use wingbridge_decide::{Name, TargetKey, TimePoint};

pub const SERVICE: &str = "orders";
const ROUTE: &str = "order";
const CENTRE: &str = "near";
/// Milliseconds until a report reaches the peers.
const REPORT_MS: u64 = 27;
/// Milliseconds after which a request without an answer is given up.
const ROUTE_TIME_MS: u64 = 1_500;
/// Share of requests that stall in an episode.
const STALLED_SHARE: f64 = 0.75;

/// The size of a fleet and how its targets fail.
#[derive(Debug, Clone)]
pub struct EpisodeCase {
    pub name: &'static str,
    pub boxes: usize,
    pub targets: usize,
    /// Requests a second of all boxes.
    pub per_second: f64,
    /// Mean milliseconds between two episodes of a target.
    pub healthy_ms: f64,
    /// Mean milliseconds of an episode.
    pub episode_ms: f64,
    pub seconds: u64,
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct EpisodeResult {
    /// Times in milliseconds at which each target got a request.
    pub arrivals: Vec<Vec<u64>>,
    /// Episodes of each target, from and until, in milliseconds.
    pub episodes: Vec<Vec<(u64, u64)>>,
    pub sent: usize,
    pub lost: usize,
    pub trials: usize,
}

impl EpisodeResult {
    /// Returns the share of the targets that got a request in the window from `from` on, of those that were healthy in
    /// the window and for `window` before it, and the number of these.
    pub fn reached(&self, from: u64, window: u64) -> (f64, usize) {
        let is_healthy = |target: &usize| {
            let harmed = |(start, end): &(u64, u64)| *start < from + window && *end + window > from;
            !self.episodes[*target].iter().any(harmed)
        };
        let healthy: Vec<usize> = (0..self.episodes.len()).filter(is_healthy).collect();
        let is_reached = |target: &&usize| {
            self.arrivals[**target].iter().any(|time| (from..from + window).contains(time))
        };
        let reached = healthy.iter().filter(is_reached).count();
        (reached as f64 / healthy.len().max(1) as f64, healthy.len())
    }
}

enum EpisodeEvent {
    Request,
    Overdue(usize),
    Ended(usize),
    Report { from: usize, key: TargetKey, sample: PeerSample },
}

#[derive(Clone, Copy)]
struct RunningAttempt {
    number: usize,
    handle: AttemptHandle,
    good: bool,
    ended: bool,
}

/// The fleet of a case.
pub struct EpisodeFleet<'a> {
    case: &'a EpisodeCase,
    boxes: Vec<SteerCore>,
    keys: Vec<TargetKey>,
    events: BTreeMap<(u64, u64), EpisodeEvent>,
    event_count: u64,
    attempts: Vec<RunningAttempt>,
    now: u64,
    random: SmallRng,
    route: Name,
    result: EpisodeResult,
}

impl<'a> EpisodeFleet<'a> {
    pub fn new(case: &'a EpisodeCase, seed: u64) -> EpisodeFleet<'a> {
        let mut random = SmallRng::seed_from_u64(seed);
        let targets: Vec<SteerTarget> = (0..case.targets).map(target).collect();
        let new_box = |number: usize| {
            let mut core = SteerCore::new(SteerSetup {
                data_centre: CENTRE.into(),
                cross_cost: 0.01,
                retries: RetryBounds { share: 0.2, slack: 58.0, window: Duration::from_secs(10) },
                seed: seed * 1000 + number as u64,
                mechanisms: MechanismSet::default(),
            });
            core.set_targets(at(0), targets.clone());
            core.set_boxes(case.boxes, case.boxes * 3);
            core
        };
        let boxes = (0..case.boxes).map(new_box).collect();
        let end = case.seconds * 1000;
        let episodes = (0..case.targets).map(|_| draw_episodes(case, end, &mut random)).collect();
        EpisodeFleet {
            case,
            boxes,
            keys: targets.iter().map(SteerTarget::key).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            attempts: Vec::new(),
            now: 0,
            random,
            route: ROUTE.into(),
            result: EpisodeResult {
                arrivals: vec![Vec::new(); case.targets],
                episodes,
                ..EpisodeResult::default()
            },
        }
    }

    pub fn run(mut self) -> EpisodeResult {
        self.schedule(0, EpisodeEvent::Request);
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time;
            match event {
                EpisodeEvent::Request => self.request(),
                EpisodeEvent::Overdue(attempt) => self.overdue(attempt),
                EpisodeEvent::Ended(attempt) => self.end(attempt),
                EpisodeEvent::Report { from, key, sample } => self.merge(from, key, &sample),
            }
        }
        self.result
    }

    fn request(&mut self) {
        if self.now >= self.case.seconds * 1000 {
            return;
        }
        let pause = -self.random.random::<f64>().max(1e-9).ln() * 1000.0 / self.case.per_second;
        self.schedule(pause as u64, EpisodeEvent::Request);
        let number = self.random.random_range(0..self.boxes.len());
        let now = at(self.now);
        let core = &mut self.boxes[number];
        core.record_request(now, SERVICE);
        self.result.sent += 1;
        let Ok(pick) = core.pick(now, &order()) else {
            self.result.lost += 1;
            return;
        };
        self.result.trials += usize::from(pick.trial);
        let handle = core.begin(now, pick.key, &self.route);
        let overdue = core.overdue_after(&handle).as_millis() as u64;
        let target = self.keys.iter().position(|key| *key == pick.key).expect("a listed target");
        self.result.arrivals[target].push(self.now);
        let is_failing = |(start, end): &(u64, u64)| (*start..*end).contains(&self.now);
        let stalls = self.result.episodes[target].iter().any(is_failing)
            && self.random.random::<f64>() < STALLED_SHARE;
        let work = 160.0 * (0.4 + 1.2 * self.random.random::<f64>());
        let time = if stalls { ROUTE_TIME_MS } else { work as u64 };
        let attempt = self.attempts.len();
        self.attempts.push(RunningAttempt { number, handle, good: !stalls, ended: false });
        self.schedule(time, EpisodeEvent::Ended(attempt));
        self.schedule(overdue, EpisodeEvent::Overdue(attempt));
        self.report(number, pick.key, &PeerSample::default());
    }

    fn overdue(&mut self, attempt: usize) {
        let RunningAttempt { number, handle, ended, .. } = self.attempts[attempt];
        if !ended && self.boxes[number].record_overdue(at(self.now), &handle).stalled {
            let stalled = PeerSample { overdue: 1, ..PeerSample::default() };
            self.report(number, handle.key, &stalled);
        }
    }

    fn end(&mut self, attempt: usize) {
        let RunningAttempt { number, handle, good, .. } = self.attempts[attempt];
        self.attempts[attempt].ended = true;
        let now = at(self.now);
        let outcome = if good {
            SteerOutcome::Good(now.since(handle.started))
        } else {
            SteerOutcome::DeadlineExceeded
        };
        self.result.lost += usize::from(!good);
        let core = &mut self.boxes[number];
        core.record_result(now, SERVICE, good);
        let effect = core.end(now, &handle, &self.route, outcome, 400);
        let sample = PeerSample {
            good: u32::from(good),
            overdue: u32::from(effect.stalled),
            latency_ratio: effect.latency_ratio,
            ..PeerSample::default()
        };
        self.report(number, handle.key, &sample);
    }

    fn report(&mut self, from: usize, key: TargetKey, sample: &PeerSample) {
        let (open, informative) = self.boxes[from].open_attempts_at(key);
        let sample = PeerSample { open: Some(open), informative, ..sample.clone() };
        self.schedule(REPORT_MS, EpisodeEvent::Report { from, key, sample });
    }

    fn merge(&mut self, from: usize, key: TargetKey, sample: &PeerSample) {
        let now = at(self.now);
        for (number, core) in self.boxes.iter_mut().enumerate() {
            if number != from {
                core.merge_peer_sample(now, from as u64, key, sample);
            }
        }
    }

    fn schedule(&mut self, delay: u64, event: EpisodeEvent) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }
}

fn order() -> SteerRequest<'static> {
    SteerRequest {
        service: SERVICE,
        route: ROUTE,
        repeatable: false,
        large: false,
        body_bytes: 4000,
        goal: Duration::from_millis(800),
        remaining: Duration::from_millis(ROUTE_TIME_MS),
        tried: &[],
        homes: HomeRegions::Any,
    }
}

fn target(number: usize) -> SteerTarget {
    SteerTarget {
        id: format!("t-{number}").into(),
        started_ms: 0,
        address: format!("10.0.0.1:{}", 1000 + number).into(),
        service: SERVICE.into(),
        data_centre: CENTRE.into(),
        slots: 2,
        cold_until: TimePoint::default(),
        region: "region".into(),
        evacuated: false,
        cold_rate: None,
    }
}

fn draw_episodes(case: &EpisodeCase, end: u64, random: &mut SmallRng) -> Vec<(u64, u64)> {
    let mut draw = |mean: f64| (-random.random::<f64>().max(1e-9).ln() * mean) as u64;
    let mut episodes = Vec::new();
    let mut time = draw(case.healthy_ms);
    while time < end {
        let until = time + draw(case.episode_ms);
        episodes.push((time, until));
        time = until + draw(case.healthy_ms);
    }
    episodes
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1000)
}
