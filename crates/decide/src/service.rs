//! The state of one service in one box: its targets, which of them are eligible for requests, its queue and its retry
//! budget.

use std::collections::HashMap;
use std::time::Duration;

use crate::budget::RetryBudget;
use crate::floor::{EjectionRank, GuardedTarget, floor_slots, guard_floor};
use crate::health::{HealthState, TargetHealth};
use crate::messages::{ReportedState, TargetReport};
use crate::names::TargetKey;
use crate::queue::ServiceQueue;
use crate::setup::{ManualOverride, OverrideKind, ServiceSetup, TargetSetup};
use crate::time::TimePoint;

/// Maximum age of a reported load that is sent with evidence.
const MAX_EVIDENCE_LOAD_AGE: Duration = Duration::from_millis(100);

/// The state of a service in one box.
#[derive(Debug)]
pub struct ServiceState {
    setup: ServiceSetup,
    targets: Vec<TargetState>,
    index: HashMap<TargetKey, usize>,
    /// Indices of the targets that can be picked.
    eligible: Vec<usize>,
    below_floor: bool,
    /// Number of requests that are not queued.
    pub(crate) open: usize,
    pub(crate) queue: ServiceQueue,
    pub(crate) budget: RetryBudget,
}

/// The state of a target in one box.
#[derive(Debug)]
pub struct TargetState {
    /// Configuration of the target.
    pub setup: TargetSetup,
    /// State in the health chart.
    pub health: TargetHealth,
    /// Manual override by an operator, if any.
    pub manual_override: Option<OverrideKind>,
    /// Whether the floor guard allows an ejection of the target to take effect.
    pub ejection_enforced: bool,
    /// Number of open attempts of this box.
    pub open: u32,
    /// Load that the target last reported, as a share of its slots.
    pub load: f32,
    /// Time at which the target last reported its load.
    pub load_at: TimePoint,
    /// Incarnation that the target last reported.
    pub(crate) incarnation: Option<u64>,
    /// Time of the last probe while draining.
    pub(crate) probed_at: TimePoint,
}

impl TargetState {
    fn new(setup: TargetSetup, health: TargetHealth) -> TargetState {
        TargetState {
            setup,
            health,
            manual_override: None,
            ejection_enforced: false,
            open: 0,
            load: 0.0,
            load_at: TimePoint::default(),
            incarnation: None,
            probed_at: TimePoint::default(),
        }
    }

    /// Returns the reported load if it is recent enough to be sent with evidence, otherwise 0.
    pub(crate) fn recent_load(&self, now: TimePoint) -> f32 {
        if now.since(self.load_at) <= MAX_EVIDENCE_LOAD_AGE { self.load } else { 0.0 }
    }

    /// Returns whether the target is excluded from requests by an ejection.
    pub fn is_excluded(&self) -> bool {
        let ejected = self.health.state() == HealthState::Ejected;
        self.ejection_enforced && (ejected || self.manual_override == Some(OverrideKind::Eject))
    }

    /// Returns the rank of the target's ejection, if it should be ejected.
    fn ejection_rank(&self) -> Option<EjectionRank> {
        if self.manual_override == Some(OverrideKind::Eject) {
            return Some(EjectionRank { source: 0, stamp: 0, key: self.setup.key().0 });
        }
        self.health.ejection().map(|ejection| ejection.rank)
    }

    fn guarded(&self) -> GuardedTarget {
        let slots = self.setup.slots;
        GuardedTarget {
            slots,
            in_service: self.health.counts_toward_floor(),
            ejection: self.ejection_rank(),
        }
    }
}

impl ServiceState {
    /// Creates a service that is new in this box. All its targets get their full share immediately.
    pub(crate) fn new(setup: ServiceSetup, now: TimePoint) -> ServiceState {
        let new =
            |target: &TargetSetup| TargetState::new(target.clone(), TargetHealth::healthy(now));
        let targets = setup.targets.iter().map(new).collect();
        let budget = RetryBudget::new(setup.limits.retry_share, setup.limits.retry_burst);
        let mut service = ServiceState {
            setup,
            targets,
            index: HashMap::new(),
            eligible: Vec::new(),
            below_floor: false,
            open: 0,
            queue: ServiceQueue::default(),
            budget,
        };
        service.update_eligible();
        service
    }

    /// Applies a new configuration. Targets that remain keep their state; new ones start with a warm-up.
    pub(crate) fn configure(&mut self, setup: ServiceSetup, now: TimePoint) {
        let mut known: HashMap<TargetKey, TargetState> =
            self.targets.drain(..).map(|target| (target.setup.key(), target)).collect();
        for target in &setup.targets {
            let mut state = known
                .remove(&target.key())
                .unwrap_or_else(|| TargetState::new(target.clone(), TargetHealth::cold(now)));
            state.setup = target.clone();
            self.targets.push(state);
        }
        let limits = &setup.limits;
        if *limits != self.setup.limits {
            self.budget = RetryBudget::new(limits.retry_share, limits.retry_burst);
        }
        self.setup = setup;
        self.update_eligible();
    }

    /// Returns the configuration of the service.
    pub fn setup(&self) -> &ServiceSetup {
        &self.setup
    }

    /// Returns all targets, in the order of the configuration.
    pub fn targets(&self) -> &[TargetState] {
        &self.targets
    }

    /// Returns whether fewer slots than the floor are in service. If so, all targets that don't drain get their full
    /// share.
    pub fn below_floor(&self) -> bool {
        self.below_floor
    }

    /// Returns the number of slots of all targets that are in service without an enforced ejection.
    pub fn slots_in_service(&self) -> u32 {
        let counted = self.targets.iter().filter(|target| target.health.counts_toward_floor());
        counted.filter(|target| !target.ejection_enforced).map(|target| target.setup.slots).sum()
    }

    pub(crate) fn target(&self, index: usize) -> &TargetState {
        &self.targets[index]
    }

    pub(crate) fn target_mut(&mut self, index: usize) -> &mut TargetState {
        &mut self.targets[index]
    }

    /// Returns the index of a target.
    pub(crate) fn find(&self, target: TargetKey) -> Option<usize> {
        self.index.get(&target).copied()
    }

    /// Returns the indices of the targets that can be picked.
    pub(crate) fn eligible(&self) -> &[usize] {
        &self.eligible
    }

    /// Returns the share of its normal traffic that a target gets now, 0 to 1.
    pub(crate) fn share(&self, index: usize, now: TimePoint) -> f64 {
        let target = &self.targets[index];
        let protected_by_floor = target.ejection_rank().is_some() && !target.ejection_enforced;
        if self.below_floor || protected_by_floor {
            return 1.0;
        }
        target.health.share(now, &self.setup.limits)
    }

    /// Replaces all manual overrides. Returns the indices of the targets that are no longer drained by one.
    pub(crate) fn set_overrides(&mut self, overrides: &[ManualOverride]) -> Vec<usize> {
        let mut released = Vec::new();
        for (index, target) in self.targets.iter_mut().enumerate() {
            let found = overrides.iter().find(|known| known.target == target.setup.address);
            let drained = target.manual_override == Some(OverrideKind::Drain);
            target.manual_override = found.map(|known| known.kind);
            if drained && target.manual_override != Some(OverrideKind::Drain) {
                released.push(index);
            }
        }
        released
    }

    /// Records the load and the incarnation that a target reported. Returns whether the incarnation has changed, so
    /// that a new instance answers at the address.
    pub(crate) fn record_report(
        &mut self,
        index: usize,
        now: TimePoint,
        report: &TargetReport,
    ) -> bool {
        let target = &mut self.targets[index];
        if let Some(load) = report.load {
            target.load = load;
            target.load_at = now;
        }
        let Some(incarnation) = report.incarnation else {
            return false;
        };
        let earlier = target.incarnation.replace(incarnation);
        earlier.is_some_and(|earlier| earlier != incarnation)
    }

    /// Recomputes which targets are in service. It must be called after any change of health, overrides or
    /// configuration.
    pub(crate) fn update_eligible(&mut self) {
        let indexed = self.targets.iter().enumerate();
        self.index = indexed.map(|(index, target)| (target.setup.key(), index)).collect();
        let floor = floor_slots(self.setup.total_slots(), self.setup.floor);
        let guarded: Vec<GuardedTarget> = self.targets.iter().map(TargetState::guarded).collect();
        for (target, is_ejected) in self.targets.iter_mut().zip(guard_floor(&guarded, floor)) {
            target.ejection_enforced = is_ejected;
        }
        self.below_floor = self.slots_in_service() < floor;
        let below_floor = self.below_floor;
        let eligible = self.targets.iter().enumerate().filter(|(_, target)| {
            let draining = target.health.state() == HealthState::Draining;
            !draining && (below_floor || !target.is_excluded())
        });
        self.eligible = eligible.map(|(index, _)| index).collect();
    }
}

/// Returns whether a target reports that it accepts no new requests.
pub(crate) fn is_draining(report: &TargetReport) -> bool {
    report.state == ReportedState::Draining
}
