//! Trials of one decider: of a fault, and of healthy stretches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::decide::baselines::{BaselineFleet, BaselineKind};
use crate::decide::fleet::{CoreFleet, FleetDecider};
use crate::decide::scenario::{FleetCondition, TargetFault};
use crate::decide::site::SiteSetup;
use crate::decide::world::{Ejection, WorldResult, WorldSetup, run_world};

/// Time before a fault starts.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time that a decider has to find a fault.
const FAULT_TIME: Duration = Duration::from_secs(30);
/// Two ejections of one target within this time are one.
const SAME_EJECTION: Duration = Duration::from_secs(60);

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeciderKind {
    /// The real core.
    Core,
    /// A baseline.
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

/// Whether a box that a fault does not harm ejected its target, or any box another one.
pub fn has_collateral_ejection(
    site: &SiteSetup,
    fault: TargetFault,
    target: usize,
    record: &WorldResult,
) -> bool {
    record.ejections.iter().any(|note| {
        note.target != target || !fault.affects(note.box_number, site.centre_of(note.box_number))
    })
}

/// The target that has the fault in the trial with `seed`.
pub fn faulty_target(site: &SiteSetup, seed: u64) -> usize {
    (seed as usize).wrapping_mul(31) % site.targets
}

/// Runs one trial of a fault; which target has it depends on the seed.
pub fn fault_trial(
    site: &SiteSetup,
    kind: DeciderKind,
    fault: TargetFault,
    seed: u64,
) -> WorldResult {
    // A fault early or late within a window must not matter.
    let start = WARM_UP + Duration::from_micros(seed.wrapping_mul(7919) % 50_000);
    let target = faulty_target(site, seed);
    let setup = WorldSetup {
        site: site.clone(),
        condition: FleetCondition::Calm,
        fault: Some((fault, target, start)),
        length: start + FAULT_TIME,
        seed,
    };
    run_world(&setup, &mut *kind.build(site, seed))
}

/// What a healthy stretch showed.
#[derive(Debug, Clone, Default)]
pub struct HealthyResult {
    /// Targets times days.
    pub target_days: f64,
    /// Healthy targets that were ejected, each episode once.
    pub false_ejections: u64,
    /// Boxes' ejections behind them, by cause in the core's words.
    pub causes: BTreeMap<&'static str, u64>,
    /// Moments in which a box had less than the floor in service by ejections.
    pub floor_breaches: u64,
    /// Requests.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests that were answered well.
    pub good: u64,
}

impl HealthyResult {
    /// Adds another stretch.
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

/// Runs a healthy stretch of `length` under `condition`.
pub fn healthy_trial(
    site: &SiteSetup,
    kind: DeciderKind,
    condition: FleetCondition,
    length: Duration,
    seed: u64,
) -> HealthyResult {
    let setup = WorldSetup { site: site.clone(), condition, fault: None, length, seed };
    let record = run_world(&setup, &mut *kind.build(site, seed));
    let false_ones = false_ejections(&record, condition);
    HealthyResult {
        target_days: length.as_secs_f64() * site.targets as f64 / 86_400.0,
        false_ejections: distinct_ejections(&false_ones),
        causes: causes_of(&false_ones),
        floor_breaches: record.floor_breaches,
        requests: record.requests,
        attempts: record.attempts,
        good: record.good,
    }
}

/// Ejections of healthy targets. What a sick box itself holds against the targets is
/// right for its own paths.
fn false_ejections(record: &WorldResult, condition: FleetCondition) -> Vec<Ejection> {
    let right = |note: &&Ejection| condition == FleetCondition::SickBox && note.box_number == 0;
    record.ejections.iter().filter(|note| !right(note)).copied().collect()
}

/// Those of one target in many boxes counted once.
fn distinct_ejections(notes: &[Ejection]) -> u64 {
    let period = SAME_EJECTION.as_micros() as u64;
    let episodes: BTreeSet<(usize, u64)> =
        notes.iter().map(|note| (note.target, note.time.as_micros() / period)).collect();
    episodes.len() as u64
}

fn causes_of(notes: &[Ejection]) -> BTreeMap<&'static str, u64> {
    let mut causes = BTreeMap::new();
    for note in notes {
        *causes.entry(note.why).or_default() += 1;
    }
    causes
}
