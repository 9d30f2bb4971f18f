//! One service in one box: its targets, who is in service, limits and budget.

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

/// A reported load is passed on as evidence if it is not older.
const MAX_EVIDENCE_LOAD_AGE: Duration = Duration::from_millis(100);

/// A service as one box holds it.
#[derive(Debug)]
pub struct ServiceState {
    setup: ServiceSetup,
    targets: Vec<TargetState>,
    index: HashMap<TargetKey, usize>,
    eligible: Vec<usize>,
    below_floor: bool,
    pub(crate) open: usize,
    pub(crate) queue: ServiceQueue,
    pub(crate) budget: RetryBudget,
}

/// A target as one box holds it.
#[derive(Debug)]
pub struct TargetState {
    /// What operators set.
    pub setup: TargetSetup,
    /// Its place in the chart.
    pub health: TargetHealth,
    /// What operators ordered about it.
    pub manual_override: Option<OverrideKind>,
    /// Whether the floor guard lets an ejection limit it.
    pub ejection_enforced: bool,
    /// Attempts of this box that are open.
    pub open: u32,
    /// The load that it last reported.
    pub load: f32,
    /// When it reported that.
    pub load_at: TimePoint,
    pub(crate) incarnation: Option<u64>,
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

    /// The load that it has just reported, or 0.
    pub(crate) fn recent_load(&self, now: TimePoint) -> f32 {
        if now.since(self.load_at) <= MAX_EVIDENCE_LOAD_AGE { self.load } else { 0.0 }
    }

    /// Whether this box sends it nothing because of an ejection.
    pub fn is_excluded(&self) -> bool {
        let ejected = self.health.state() == HealthState::Ejected;
        self.ejection_enforced && (ejected || self.manual_override == Some(OverrideKind::Eject))
    }

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
    /// A service that is new in this box: all its targets get their share at once.
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
        service.rebuild();
        service
    }

    /// Takes a new configuration. Targets that stay keep their state; new ones are cold.
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
        self.rebuild();
    }

    /// What operators set.
    pub fn setup(&self) -> &ServiceSetup {
        &self.setup
    }

    /// All targets.
    pub fn targets(&self) -> &[TargetState] {
        &self.targets
    }

    /// Whether less than the floor is in service, so that all that do not leave get their share.
    pub fn below_floor(&self) -> bool {
        self.below_floor
    }

    /// Slots of targets that are in service and not kept out or limited.
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

    pub(crate) fn find(&self, target: TargetKey) -> Option<usize> {
        self.index.get(&target).copied()
    }

    /// Indices of the targets that can be picked.
    pub(crate) fn eligible(&self) -> &[usize] {
        &self.eligible
    }

    /// The share of its usual requests that a target gets now.
    pub(crate) fn share(&self, index: usize, now: TimePoint) -> f64 {
        let target = &self.targets[index];
        let protected_by_floor = target.ejection_rank().is_some() && !target.ejection_enforced;
        if self.below_floor || protected_by_floor {
            return 1.0;
        }
        target.health.share(now, &self.setup.limits)
    }

    /// Sets all overrides by hand. Returns the targets that were drained before and are not now.
    pub(crate) fn set_overrides(&mut self, overrides: &[ManualOverride]) -> Vec<usize> {
        let mut released = Vec::new();
        for (index, target) in self.targets.iter_mut().enumerate() {
            let order = overrides.iter().find(|order| order.target == target.setup.address);
            let drained = target.manual_override == Some(OverrideKind::Drain);
            target.manual_override = order.map(|order| order.kind);
            if drained && target.manual_override != Some(OverrideKind::Drain) {
                released.push(index);
            }
        }
        released
    }

    /// Notes what a target said of itself and returns whether it is another target now.
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

    /// Decides anew who is in service, after any change of health, overrides or setup.
    pub(crate) fn rebuild(&mut self) {
        let numbered = self.targets.iter().enumerate();
        self.index = numbered.map(|(index, target)| (target.setup.key(), index)).collect();
        let floor = floor_slots(self.setup.total_slots(), self.setup.floor);
        let guarded: Vec<GuardedTarget> = self.targets.iter().map(TargetState::guarded).collect();
        for (target, limited) in self.targets.iter_mut().zip(guard_floor(&guarded, floor)) {
            target.ejection_enforced = limited;
        }
        self.below_floor = self.slots_in_service() < floor;
        let below_floor = self.below_floor;
        let eligible = self.targets.iter().enumerate().filter(|(_, target)| {
            let leaving = target.health.state() == HealthState::Draining;
            !leaving && (below_floor || !target.is_excluded())
        });
        self.eligible = eligible.map(|(index, _)| index).collect();
    }
}

/// Whether a report says that the target takes nothing new.
pub(crate) fn is_draining(report: &TargetReport) -> bool {
    report.state == ReportedState::Draining
}
