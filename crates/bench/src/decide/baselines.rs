//! Common methods of detecting failing targets, as baselines behind the same interface.
//!
//! Each box decides on its own. It selects targets by the power of two choices over its own open
//! attempts and retries like the core, so that only the detection differs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::budget::RetryBudget;
use wingbridge_decide::messages::HealthTransition;
use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxEvent, Conclusion, HealthState, Name, RefuseReason, RequestId,
    RequestPlan, TimePoint,
};

use crate::decide::fleet::FleetDecider;
use crate::decide::site::SiteSetup;

/// Interval in which targets are compared and expired ejections end.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Length of a target's first ejection; the n-th one lasts n times as long.
const EJECTION_TIME: Duration = Duration::from_secs(30);
const EJECTION_FAILURES: u32 = 5;
const MAX_EJECTED_SHARE: f64 = 0.1;
const EJECTION_FAILED_PROBES: u32 = 3;
/// Attempts on a target between two sweeps below which it is not compared; also the smallest number of
/// targets that are compared.
const MIN_VOLUME: u32 = 5;
/// Standard deviations below the mean success rate at which a target is ejected.
const SUCCESS_DEVIATIONS: f64 = 1.9;
/// Standard deviations above the mean latency at which a target is ejected.
const LATENCY_DEVIATIONS: f64 = 3.0;

/// The detection method of a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineKind {
    /// Ejects a target after three failed probes in a row, until a probe succeeds.
    Probe,
    /// Ejects a target after five failures in a row, for 30 s times the number of its ejections. At most
    /// a tenth of the targets are ejected.
    Consecutive,
    /// Ejects a target whose success rate or latency deviates from the mean of all targets by some
    /// standard deviations.
    Deviation,
}

impl BaselineKind {
    /// All baselines with their names.
    pub const ALL: [(&'static str, BaselineKind); 3] = [
        ("probe", BaselineKind::Probe),
        ("consecutive", BaselineKind::Consecutive),
        ("deviation", BaselineKind::Deviation),
    ];
}

/// A fleet of baseline boxes.
pub struct BaselineFleet {
    boxes: Vec<BaselineBox>,
}

impl BaselineFleet {
    /// Creates the boxes of `site`. Their random choices are seeded from `seed`.
    pub fn new(site: &SiteSetup, kind: BaselineKind, seed: u64) -> BaselineFleet {
        let new = |number| BaselineBox::new(site, kind, seed + number as u64);
        BaselineFleet { boxes: (0..site.boxes).map(new).collect() }
    }
}

impl FleetDecider for BaselineFleet {
    fn handle(
        &mut self,
        now: TimePoint,
        number: usize,
        event: BoxEvent,
        out: &mut Vec<BoxCommand>,
    ) {
        self.boxes[number].handle(now, event, out);
    }

    fn deliver(&mut self, _now: TimePoint, _out: &mut Vec<(usize, BoxCommand)>) {}

    fn min_in_service(&self) -> Option<(u32, u32)> {
        None
    }
}

struct BaselineBox {
    kind: BaselineKind,
    service: Name,
    targets: Vec<BaselineTarget>,
    requests: HashMap<RequestId, BaselineRequest>,
    deadlines: BinaryHeap<Reverse<(TimePoint, RequestId)>>,
    budget: RetryBudget,
    swept_at: TimePoint,
    random: SmallRng,
}

struct BaselineTarget {
    address: Name,
    open: u32,
    failures: u32,
    attempts: u32,
    good: u32,
    latency: f64,
    ejections: u32,
    ejected_until: Option<TimePoint>,
}

struct BaselineRequest {
    plan: RequestPlan,
    target: usize,
    attempt: u32,
    started: TimePoint,
    ran: bool,
}

impl BaselineBox {
    fn new(site: &SiteSetup, kind: BaselineKind, seed: u64) -> BaselineBox {
        let setup = site.service();
        let target = |address: &Name| BaselineTarget {
            address: address.clone(),
            open: 0,
            failures: 0,
            attempts: 0,
            good: 0,
            latency: 0.0,
            ejections: 0,
            ejected_until: None,
        };
        BaselineBox {
            kind,
            service: setup.name.clone(),
            targets: setup.targets.iter().map(|setup| target(&setup.address)).collect(),
            requests: HashMap::new(),
            deadlines: BinaryHeap::new(),
            budget: RetryBudget::new(setup.limits.retry_share, setup.limits.retry_burst),
            swept_at: TimePoint::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn handle(&mut self, now: TimePoint, event: BoxEvent, out: &mut Vec<BoxCommand>) {
        match event {
            BoxEvent::RequestArrived { request, plan } => {
                self.budget.earn();
                self.deadlines.push(Reverse((plan.deadline, request)));
                let state =
                    BaselineRequest { plan, target: 0, attempt: 0, started: now, ran: false };
                self.requests.insert(request, state);
                self.send(now, request, None, out);
            }
            BoxEvent::AttemptEnded { request, attempt, outcome } => {
                self.end_attempt(now, request, attempt, outcome, out);
            }
            BoxEvent::ProbeEnded { target, state, .. } => {
                let index = self
                    .targets
                    .iter()
                    .position(|known| wingbridge_decide::TargetKey::of(&known.address) == target);
                if let Some(index) = index {
                    self.record_probe(now, index, state.is_some(), out);
                }
            }
            BoxEvent::TimerFired => self.tick(now, out),
            _ => {}
        }
    }

    fn send(
        &mut self,
        now: TimePoint,
        request: RequestId,
        excluded: Option<usize>,
        out: &mut Vec<BoxCommand>,
    ) {
        let index = self.pick(excluded);
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.target = index;
        state.attempt += 1;
        state.started = now;
        self.targets[index].open += 1;
        out.push(BoxCommand::Send {
            request,
            attempt: state.attempt,
            target: self.targets[index].address.clone(),
            fresh_connection: false,
        });
    }

    fn pick(&mut self, excluded: Option<usize>) -> usize {
        let usable = |index: &usize| {
            self.targets[*index].ejected_until.is_none() && Some(*index) != excluded
        };
        let indices: Vec<usize> = (0..self.targets.len()).filter(usable).collect();
        let indices = if indices.is_empty() { (0..self.targets.len()).collect() } else { indices };
        let one = indices[self.random.random_range(0..indices.len())];
        let other = indices[self.random.random_range(0..indices.len())];
        if self.targets[other].open < self.targets[one].open { other } else { one }
    }

    fn end_attempt(
        &mut self,
        now: TimePoint,
        request: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        out: &mut Vec<BoxCommand>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        if state.attempt != attempt {
            return;
        }
        let index = state.target;
        let latency = now.since(state.started);
        let shed = matches!(outcome, AttemptOutcome::Shed(_));
        let good = matches!(outcome, AttemptOutcome::Answered(_));
        state.ran |= !shed && outcome != AttemptOutcome::NotSent;
        let may_repeat = state.plan.repeatable || !state.ran;
        let attempts_remain = state.attempt < state.plan.attempts;
        self.targets[index].open = self.targets[index].open.saturating_sub(1);
        if !shed {
            self.record_outcome(now, index, good, latency, out);
        }
        if !good && may_repeat && attempts_remain && self.budget.spend() {
            self.send(now, request, Some(index), out);
            return;
        }
        self.requests.remove(&request);
        let conclusion = match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::AnsweredError(_) => Conclusion::Answered,
            AttemptOutcome::Broken => Conclusion::Unknown { retry_after: SWEEP_INTERVAL },
            AttemptOutcome::Shed(_) | AttemptOutcome::NotSent => {
                Conclusion::NotRun { reason: RefuseReason::Refused, retry_after: SWEEP_INTERVAL }
            }
        };
        out.push(BoxCommand::Conclude { request, conclusion });
    }

    fn record_outcome(
        &mut self,
        now: TimePoint,
        index: usize,
        good: bool,
        latency: Duration,
        out: &mut Vec<BoxCommand>,
    ) {
        let target = &mut self.targets[index];
        target.attempts += 1;
        target.good += u32::from(good);
        target.latency += latency.as_secs_f64();
        target.failures = if good { 0 } else { target.failures + 1 };
        if self.kind == BaselineKind::Consecutive && target.failures >= EJECTION_FAILURES {
            self.eject(now, index, out);
        }
    }

    fn record_probe(
        &mut self,
        now: TimePoint,
        index: usize,
        good: bool,
        out: &mut Vec<BoxCommand>,
    ) {
        if self.kind != BaselineKind::Probe {
            return;
        }
        let target = &mut self.targets[index];
        if good {
            target.failures = 0;
            if target.ejected_until.take().is_some() {
                self.change_state(index, HealthState::Healthy, out);
            }
            return;
        }
        target.failures += 1;
        if target.failures >= EJECTION_FAILED_PROBES && target.ejected_until.is_none() {
            target.ejected_until = Some(now);
            self.change_state(index, HealthState::Ejected, out);
        }
    }

    fn eject(&mut self, now: TimePoint, index: usize, out: &mut Vec<BoxCommand>) {
        let max_ejected = ((self.targets.len() as f64 * MAX_EJECTED_SHARE) as usize).max(1);
        let ejected = self.targets.iter().filter(|target| target.ejected_until.is_some()).count();
        if ejected >= max_ejected || self.targets[index].ejected_until.is_some() {
            return;
        }
        let target = &mut self.targets[index];
        target.ejections += 1;
        target.failures = 0;
        target.ejected_until = Some(now + EJECTION_TIME * target.ejections);
        self.change_state(index, HealthState::Ejected, out);
    }

    fn change_state(&self, index: usize, to: HealthState, out: &mut Vec<BoxCommand>) {
        let target = self.targets[index].address.clone();
        let service = self.service.clone();
        let from = HealthState::Healthy;
        out.push(BoxCommand::HealthChanged(HealthTransition {
            service,
            target,
            from,
            to,
            reason: "",
        }));
    }

    fn tick(&mut self, now: TimePoint, out: &mut Vec<BoxCommand>) {
        while let Some(Reverse((due, request))) = self.deadlines.peek().copied() {
            if due > now {
                break;
            }
            self.deadlines.pop();
            if let Some(state) = self.requests.remove(&request) {
                self.targets[state.target].open -= 1;
                let latency = now.since(state.started);
                self.record_outcome(now, state.target, false, latency, out);
                let conclusion = Conclusion::Unknown { retry_after: SWEEP_INTERVAL };
                out.push(BoxCommand::Conclude { request, conclusion });
            }
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now, out);
        }
    }

    fn sweep(&mut self, now: TimePoint, out: &mut Vec<BoxCommand>) {
        if self.kind == BaselineKind::Probe {
            return;
        }
        for index in 0..self.targets.len() {
            if self.targets[index].ejected_until.is_some_and(|until| until <= now) {
                self.targets[index].ejected_until = None;
                self.change_state(index, HealthState::Healthy, out);
            }
        }
        if self.kind == BaselineKind::Deviation {
            self.eject_outliers(now, out);
        }
        for target in &mut self.targets {
            target.attempts = 0;
            target.good = 0;
            target.latency = 0.0;
        }
    }

    fn eject_outliers(&mut self, now: TimePoint, out: &mut Vec<BoxCommand>) {
        let has_volume = |target: &&BaselineTarget| target.attempts >= MIN_VOLUME;
        let success = |target: &BaselineTarget| f64::from(target.good) / f64::from(target.attempts);
        let latency = |target: &BaselineTarget| target.latency / f64::from(target.attempts);
        let rates: Vec<f64> = self.targets.iter().filter(has_volume).map(success).collect();
        let times: Vec<f64> = self.targets.iter().filter(has_volume).map(latency).collect();
        if rates.len() < MIN_VOLUME as usize {
            return;
        }
        let (rate_mean, rate_deviation) = mean_and_deviation(&rates);
        let (time_mean, time_deviation) = mean_and_deviation(&times);
        let outliers: Vec<usize> = (0..self.targets.len())
            .filter(|index| {
                let target = &self.targets[*index];
                target.attempts >= MIN_VOLUME
                    && (success(target) < rate_mean - SUCCESS_DEVIATIONS * rate_deviation
                        || latency(target) > time_mean + LATENCY_DEVIATIONS * time_deviation)
            })
            .collect();
        for index in outliers {
            self.eject(now, index, out);
        }
    }
}

fn mean_and_deviation(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count;
    (mean, variance.sqrt())
}
