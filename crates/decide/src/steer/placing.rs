//! The placement plans of the services, as far as the choice of a target uses them, and the figures that boxes exchange
//! for them.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::names::{Name, TargetKey};
use crate::placement::{
    CapacitySum, DataCentreLoad, OwnFigures, PlacementChange, PlacementLimits, PlacementTable,
    ServiceDemand, ServicePlacement, ServiceReport,
};
use crate::steer::choose::{Weighing, candidates, sample_candidate};
use crate::steer::messages::{SteerPick, SteerRequest, SteerSetup};
use crate::steer::pool::TargetPool;
use crate::steer::{MIN_SATURATED_WAIT, SteerCore};
use crate::time::TimePoint;

/// Factor by which the targets of another data centre may be faster than this box believes. A sum that claims more is
/// counted as this much.
const MAX_SPEED_FACTOR: f64 = 4.0;
/// Time within which a target must have answered for a sum without capacity to be impossible.
const ANSWER_TIME: Duration = Duration::from_secs(4);
/// Difference of the seed of the placement from the one of the choices, so that both draw different numbers.
const SEED_OFFSET: u64 = 0x9e37_79b9_7f4a_7c15;

impl SteerCore {
    /// Turns placement between data centres on. Without this call nothing is counted, drawn or sent for it.
    pub fn enable_placement(&mut self, limits: PlacementLimits) {
        let seed = self.setup.seed ^ SEED_OFFSET;
        let own = self.setup.data_centre.clone();
        self.placement = Some(PlacementTable::new(own, limits, seed));
    }

    /// Returns the load and the plan of a service; `None` if placement is off or the service is not in use.
    pub fn placement(&self, service: &str) -> Option<&ServicePlacement> {
        self.placement.as_ref()?.get(service)
    }

    /// Returns the demand of this box for each service whose load calls for the exchange of figures, to be sent to the
    /// peers of the own data centre.
    pub fn service_demands(&mut self, now: TimePoint) -> Vec<ServiceDemand> {
        let sending = self.sending_services(now);
        let demand = |service: Name| {
            let pool = self.pools.get(&service)?;
            let demand = self.placement.as_ref()?.get(&service)?.own_demand(now);
            Some(ServiceDemand { demand, open: pool.own_open(), service })
        };
        sending.into_iter().filter_map(demand).collect()
    }

    /// Returns the loads of the own data centre for each service whose load calls for the exchange of figures, to be
    /// sent to the other data centres.
    pub fn data_centre_loads(&mut self, now: TimePoint) -> Vec<(Name, DataCentreLoad)> {
        let sending = self.sending_services(now);
        let load = |service: Name| {
            let table = self.placement.as_ref()?;
            let (sum, taken_at) = table.get(&service)?.own_load();
            Some((service, DataCentreLoad { data_centre: table.own().clone(), sum, taken_at }))
        };
        sending.into_iter().filter_map(load).collect()
    }

    /// Records the demand at the peer with the incarnation `peer`, in the own data centre. Returns false if it is
    /// impossible.
    pub fn merge_service_demand(&mut self, now: TimePoint, peer: u64, row: &ServiceDemand) -> bool {
        // A box that does not list the service has no use for its load.
        if !self.pools.contains_key(&row.service) {
            return true;
        }
        self.placement.as_mut().is_none_or(|table| table.record_peer(now, peer, row))
    }

    /// Records the load of another data centre. Returns false if it is impossible.
    pub fn merge_data_centre_load(
        &mut self,
        now: TimePoint,
        service: &str,
        load: DataCentreLoad,
    ) -> bool {
        let (Some(pool), Some(table)) = (self.pools.get(service), &mut self.placement) else {
            return true;
        };
        let CapacitySum { capacity, .. } = load.sum;
        if capacity <= 0.0 && pool.has_answered(now, &load.data_centre, ANSWER_TIME) {
            return false;
        }
        let bound = pool.listed_capacity(now, &load.data_centre) * MAX_SPEED_FACTOR;
        table.record_sum(now, service, load, bound)
    }

    /// Returns the next change of a plan that is worth a log line, at most one for each call.
    pub fn take_placement_change(&mut self) -> Option<PlacementChange> {
        self.placement.as_mut()?.take_change()
    }

    /// Returns the plans and loads of the services in use, for metrics.
    pub fn take_placement_reports(&mut self) -> Vec<ServiceReport> {
        self.placement.as_mut().map(PlacementTable::take_reports).unwrap_or_default()
    }

    /// Returns the services whose load calls for the exchange of figures.
    fn sending_services(&mut self, now: TimePoint) -> Vec<Name> {
        let services = match &mut self.placement {
            Some(table) => {
                table.drop_idle(now);
                table.services()
            }
            None => return Vec::new(),
        };
        services.iter().for_each(|service| self.refresh_placement(now, service));
        let is_sending =
            |service: &Name| self.placement(service).is_some_and(|state| state.is_sending(now));
        services.into_iter().filter(is_sending).collect()
    }

    /// Computes the figures and the plan of a service again, if that is due.
    pub(super) fn refresh_placement(&mut self, now: TimePoint, service: &str) {
        let Some(table) = &mut self.placement else {
            return;
        };
        let pool = self.pools.get(service);
        let own = &self.setup.data_centre;
        table.refresh(now, service, self.local_boxes, || {
            pool.map_or_else(OwnFigures::default, |pool| pool.figures(now, own))
        });
    }

    /// Returns the mean time of the targets of the own data centre, if they are so loaded that their unequal speeds
    /// matter.
    pub(super) fn loaded_work(&self, now: TimePoint, service: &str) -> Option<Duration> {
        self.placement(service)?.loaded_work(now)
    }

    /// Draws whether a request leaves by the plan of its service, and where to.
    pub(super) fn sample_destination(&mut self, service: &str) -> Option<Name> {
        self.placement.as_mut()?.sample(service)
    }

    /// Marks and counts a pick of a request that leaves by the plan of `service`.
    pub(super) fn place(&mut self, pick: SteerPick, service: &str) -> SteerPick {
        if let Some(table) = &mut self.placement {
            table.record_placed(service, &pick.data_centre);
        }
        SteerPick { placed: true, ..pick }
    }
}

/// Chooses a target in another data centre. Returns `None` if none may get the request, or the chosen one would let it
/// wait: the plan may be wrong about the free capacity there.
pub(super) fn sample_in(
    now: TimePoint,
    pool: &TargetPool,
    request: &SteerRequest<'_>,
    typical: Duration,
    setup: &SteerSetup,
    destination: &Name,
    random: &mut SmallRng,
) -> Option<TargetKey> {
    let weighing = Weighing { destination: Some(destination), by_rate: Some(typical) };
    let candidates = candidates(now, pool, request, typical, setup, None, weighing);
    let chosen = sample_candidate(&candidates, random)?;
    let has_room = chosen.wait <= MIN_SATURATED_WAIT.min(request.remaining);
    has_room.then_some(chosen.key)
}
