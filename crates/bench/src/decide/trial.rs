//! Runs one decider through a fault trial or a healthy run, and evaluates its ejections.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::decide::baselines::{BaselineFleet, BaselineKind};
use crate::decide::fleet::{CoreFleet, FleetDecider};
use crate::decide::scenario::{FleetCondition, TargetFault};
use crate::decide::site::SiteSetup;
use crate::decide::world::{Ejection, WorldResult, WorldSetup, run_world};

/// Time from the start of a trial to the start of its fault.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time within which a decider has to detect a fault.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(30);
/// Length of the periods in which all ejections of one target count as one.
const EJECTION_PERIOD: Duration = Duration::from_secs(60);

/// The decider under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeciderKind {
    /// The real decision core.
    Core,
    /// One of the baselines.
    Baseline(BaselineKind),
}

impl DeciderKind {
    fn build(self, site: &SiteSetup, seed: u64) -> Box<dyn FleetDecider> {
        match self {
            DeciderKind::Core => Box::new(CoreFleet::new(site, seed)),
            DeciderKind::Baseline(kind) => Box::new(BaselineFleet::new(site, kind, seed)),
        }
    }
}

/// Returns whether a box that the fault does not affect ejected the faulty target, or any box ejected
/// another target.
pub fn has_collateral_ejection(
    site: &SiteSetup,
    fault: TargetFault,
    target: usize,
    result: &WorldResult,
) -> bool {
    result.ejections.iter().any(|ejection| {
        ejection.target != target
            || !fault.affects(ejection.box_number, site.centre_of(ejection.box_number))
    })
}

/// Returns the target that has the fault in the trial with `seed`.
pub fn faulty_target(site: &SiteSetup, seed: u64) -> usize {
    (seed as usize).wrapping_mul(31) % site.targets
}

/// Runs one trial of a fault on the target that [`faulty_target`] returns.
pub fn fault_trial(
    site: &SiteSetup,
    kind: DeciderKind,
    fault: TargetFault,
    seed: u64,
) -> WorldResult {
    // The fault starts at different offsets within a window, since the offset must not matter.
    let start = WARM_UP + Duration::from_micros(seed.wrapping_mul(7919) % 50_000);
    let target = faulty_target(site, seed);
    let setup = WorldSetup {
        site: site.clone(),
        condition: FleetCondition::Calm,
        fault: Some((fault, target, start)),
        length: start + MAX_DETECTION_TIME,
        seed,
    };
    run_world(&setup, &mut *kind.build(site, seed))
}

/// The result of healthy runs.
#[derive(Debug, Clone, Default)]
pub struct HealthyResult {
    /// Number of targets times the simulated days.
    pub target_days: f64,
    /// Ejections of healthy targets; all ejections of a target within 60 s count as one.
    pub false_ejections: u64,
    /// Ejections by single boxes, by the cause that the core names.
    pub causes: BTreeMap<&'static str, u64>,
    /// Ticks on which a box had fewer slots in service than the floor because of ejections.
    pub floor_breaches: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Requests that were served.
    pub good: u64,
}

impl HealthyResult {
    /// Adds the result of another run.
    pub fn add(&mut self, other: &HealthyResult) {
        self.target_days += other.target_days;
        self.false_ejections += other.false_ejections;
        for (cause, count) in &other.causes {
            *self.causes.entry(cause).or_default() += count;
        }
        self.floor_breaches += other.floor_breaches;
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.good += other.good;
    }
}

/// Runs a fleet without a fault for `length` under `condition`.
pub fn healthy_trial(
    site: &SiteSetup,
    kind: DeciderKind,
    condition: FleetCondition,
    length: Duration,
    seed: u64,
) -> HealthyResult {
    let setup = WorldSetup { site: site.clone(), condition, fault: None, length, seed };
    let result = run_world(&setup, &mut *kind.build(site, seed));
    let ejections = false_ejections(&result, condition);
    HealthyResult {
        target_days: length.as_secs_f64() * site.targets as f64 / 86_400.0,
        false_ejections: distinct_ejections(&ejections),
        causes: causes_of(&ejections),
        floor_breaches: result.floor_breaches,
        requests: result.requests,
        attempts: result.attempts,
        good: result.good,
    }
}

/// Returns the ejections of healthy targets. Ejections by a sick box are left out, since its own paths do
/// fail.
fn false_ejections(result: &WorldResult, condition: FleetCondition) -> Vec<Ejection> {
    let is_justified =
        |ejection: &&Ejection| condition == FleetCondition::SickBox && ejection.box_number == 0;
    result.ejections.iter().filter(|ejection| !is_justified(ejection)).copied().collect()
}

/// Counts the ejections of one target in many boxes as one.
fn distinct_ejections(ejections: &[Ejection]) -> u64 {
    let period = EJECTION_PERIOD.as_micros() as u64;
    let episodes: BTreeSet<(usize, u64)> = ejections
        .iter()
        .map(|ejection| (ejection.target, ejection.time.as_micros() / period))
        .collect();
    episodes.len() as u64
}

fn causes_of(ejections: &[Ejection]) -> BTreeMap<&'static str, u64> {
    let mut causes = BTreeMap::new();
    for ejection in ejections {
        *causes.entry(ejection.reason).or_default() += 1;
    }
    causes
}
