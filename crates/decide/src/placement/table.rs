//! The services whose load a box knows.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::names::Name;
use crate::placement::plan::{CapacitySum, DataCentreLoad, PlacementLimits};
use crate::placement::service::{MAX_SUM_AGE, PlacementChange, ServicePlacement};
use crate::time::TimePoint;

/// Time after which the figures and the plan of a service are computed again. It is a fraction of the time constant of
/// the shares, and keeps the cost of a pick low.
const REFRESH_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of services, three times what deployments plan for.
const MAX_SERVICES: usize = 3_000;

/// What a box knows of the targets of its own data centre, and of its own attempts, for one service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OwnFigures {
    /// Requests a second that the targets of the data centre finish.
    pub capacity: f64,
    /// Number of attempts that this box has open.
    pub open: u32,
    /// Mean time that these targets take for a request.
    pub work: Duration,
}

/// The demand for one service at one box, as it is sent to the boxes of its data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Name,
    /// Requests a second that callers send to the box.
    pub demand: f64,
    /// Number of attempts that the box has open.
    pub open: u32,
}

/// The plan for one service and the loads that it follows from, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReport {
    /// The service.
    pub service: Name,
    /// Share of the own demand that leaves.
    pub leaving: f64,
    /// Utilization of each data centre that is known, the own one first.
    pub utilizations: Vec<(Name, f64)>,
    /// Number of requests that left by the plan since the last report, by destination.
    pub placed: Vec<(Name, u64)>,
}

/// The load and the plan of each service that a box uses.
///
/// It has a random source of its own, so that the choices of targets are the same with and without it as long as no
/// request leaves by a plan.
#[derive(Debug)]
pub struct PlacementTable {
    own: Name,
    limits: PlacementLimits,
    services: BTreeMap<Name, ServicePlacement>,
    random: SmallRng,
}

impl PlacementTable {
    /// Creates the table of a box in the data centre `own`.
    pub fn new(own: Name, limits: PlacementLimits, seed: u64) -> PlacementTable {
        let random = SmallRng::seed_from_u64(seed);
        PlacementTable { own, limits, services: BTreeMap::new(), random }
    }

    /// Returns the data centre of the box.
    pub fn own(&self) -> &Name {
        &self.own
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: TimePoint, service: &str) {
        if let Some(placement) = self.entry(service) {
            placement.record_request(now);
        }
    }

    /// Records the figures of a peer of the own data centre. Returns false if they are impossible.
    pub fn record_peer(&mut self, now: TimePoint, peer: u64, row: &ServiceDemand) -> bool {
        let sum = CapacitySum { demand: row.demand, ..CapacitySum::default() };
        if !sum.is_possible() {
            return false;
        }
        if let Some(placement) = self.entry(&row.service) {
            placement.record_peer(now, peer, row.demand, row.open);
        }
        true
    }

    /// Records the sum of another data centre, of whose capacity at most `max_capacity` is believed. Returns false if
    /// the sum is impossible.
    pub fn record_sum(
        &mut self,
        now: TimePoint,
        service: &str,
        load: DataCentreLoad,
        max_capacity: f64,
    ) -> bool {
        if !load.sum.is_possible() || max_capacity.is_nan() {
            return false;
        }
        let is_current = now.since(load.taken_at) < MAX_SUM_AGE && load.data_centre != self.own;
        if is_current && let Some(placement) = self.entry(service) {
            placement.record_sum(load, max_capacity);
        }
        true
    }

    /// Computes the figures and the plan of a service again, if that is due. `figures` is called only then.
    pub fn refresh(
        &mut self,
        now: TimePoint,
        service: &str,
        boxes: usize,
        figures: impl FnOnce() -> OwnFigures,
    ) {
        let Some(placement) = self.services.get_mut(service) else {
            return;
        };
        if !placement.is_fresh(now, REFRESH_PERIOD) {
            placement.refresh(now, &self.own, &figures(), boxes, &self.limits);
        }
    }

    /// Returns the state of a service.
    pub fn get(&self, service: &str) -> Option<&ServicePlacement> {
        self.services.get(service)
    }

    /// Returns the names of all services in the table.
    pub fn services(&self) -> Vec<Name> {
        self.services.keys().cloned().collect()
    }

    /// Draws whether a request leaves by the plan of its service, and where to.
    pub fn sample(&mut self, service: &str) -> Option<Name> {
        let placement =
            self.services.get(service).filter(|service| !service.shares().is_empty())?;
        placement.sample(self.random.random())
    }

    /// Draws where a request that would be held at home goes by the plan of its service.
    pub fn sample_spare(&mut self, service: &str) -> Option<Name> {
        let placement = self.services.get(service).filter(|service| service.is_active())?;
        placement.sample_spare(self.random.random())
    }

    /// Counts a request that left by the plan.
    pub fn record_placed(&mut self, service: &str, destination: &Name) {
        if let Some(placement) = self.services.get_mut(service) {
            placement.record_placed(destination);
        }
    }

    /// Drops what other boxes reported, because its age is not known any more.
    pub fn forget_reports(&mut self) {
        self.services.values_mut().for_each(ServicePlacement::forget_reports);
    }

    /// Drops the services that are not in use.
    pub fn drop_idle(&mut self, now: TimePoint) {
        self.services.retain(|_, placement| !placement.is_idle(now));
    }

    /// Returns the next change of a plan that is worth a log line. It is called once a second, so that at most one
    /// line a second is written; the other changes follow in the next seconds.
    pub fn take_change(&mut self) -> Option<PlacementChange> {
        self.services.iter_mut().find_map(|(service, placement)| placement.take_change(service))
    }

    /// Returns the plans and loads of all services in the table.
    pub fn take_reports(&mut self) -> Vec<ServiceReport> {
        let own = &self.own;
        let reported = self.services.iter_mut().map(|(service, placement)| {
            let placed = placement.take_placed();
            let others = placement.sums().iter();
            let others = others.map(|load| (load.data_centre.clone(), load.sum.utilization()));
            let home = (own.clone(), placement.own_load().0.utilization());
            let utilizations = std::iter::once(home).chain(others).collect();
            let leaving = placement.leaving();
            ServiceReport { service: service.clone(), leaving, utilizations, placed }
        });
        reported.collect()
    }

    fn entry(&mut self, service: &str) -> Option<&mut ServicePlacement> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.into(), ServicePlacement::default());
        }
        self.services.get_mut(service)
    }
}
