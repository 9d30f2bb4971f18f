//! The plan of one service: how much of the demand of a data centre goes to which other one.

use crate::names::Name;
use crate::time::TimePoint;

/// Utilization up to which a data centre serves its own demand under [`PlacementLimits::BALANCED`]. Below it requests
/// hardly ever wait for a slot, so that leaving gains nothing.
pub const MIN_THRESHOLD: f64 = 0.7;
/// A plan is made only while the utilization of some data centre is below this share of the highest one. With smaller
/// differences requests would cross both ways by chance.
const MAX_UTILIZATION_RATIO: f64 = 0.9;
/// Utilization up to which requests that would be held at home may be sent to a data centre beyond the plan. The rest
/// is left for the error of its sums.
const OVERFLOW_UTILIZATION: f64 = 0.95;
/// Upper bound of the sums that count as possible. The largest deployments have some 100,000 requests a second.
const MAX_RATE: f64 = 1e9;

/// The utilizations of a data centre from which placement acts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementLimits {
    /// Utilization of some data centre above which a plan is made.
    pub planned_above: f64,
    /// Utilization up to which a data centre serves its own demand, once a plan is made.
    pub level: f64,
    /// Utilization of the own data centre above which targets are weighed by their learned times, as they are while a
    /// plan is in force. `None`: never, except for requests that leave by a plan.
    pub weighed_above: Option<f64>,
}

impl PlacementLimits {
    /// Requests leave as soon as some may wait, for deployments where bytes between data centres cost little.
    pub const BALANCED: PlacementLimits = PlacementLimits {
        planned_above: MIN_THRESHOLD,
        level: MIN_THRESHOLD,
        weighed_above: Some(MIN_THRESHOLD),
    };
    /// Requests leave once most would wait at home. Below that, the bytes cost more than the time that is gained.
    /// For requests that stay, targets are not weighed by their times: that sends more requests to those that fail
    /// fast, and fewer healthy targets get any.
    pub const FRUGAL: PlacementLimits =
        PlacementLimits { planned_above: 0.9, level: 0.85, weighed_above: None };
}

/// The load of one service in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CapacitySum {
    /// Requests a second that callers sent.
    pub demand: f64,
    /// Number of open attempts.
    pub open: u32,
    /// Requests a second that the data centre's targets can finish.
    pub capacity: f64,
    /// Number of boxes whose demand is known.
    pub boxes: u32,
}

impl CapacitySum {
    /// Returns the demand relative to the capacity: 0 without demand, infinite without capacity.
    pub fn utilization(&self) -> f64 {
        if self.demand <= 0.0 {
            return 0.0;
        }
        if self.capacity > 0.0 { self.demand / self.capacity } else { f64::INFINITY }
    }

    /// Returns whether the figures can be true.
    pub fn is_possible(&self) -> bool {
        let is_rate = |rate: f64| (0.0..=MAX_RATE).contains(&rate);
        is_rate(self.demand) && is_rate(self.capacity)
    }
}

/// The load of one service in a named data centre, with its age.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: Name,
    /// Its load.
    pub sum: CapacitySum,
    /// When the oldest figure in the sum was taken.
    pub taken_at: TimePoint,
}

/// Where the demand of one data centre for one service is to be served.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPlan {
    /// Utilization above which a data centre sends its excess to others.
    pub threshold: f64,
    /// Share of the own demand that goes to each other data centre. The rest stays.
    pub shares: Vec<(Name, f64)>,
    /// Capacity that the plan leaves free in each other data centre, in requests a second, for requests that would be
    /// held at home.
    pub spare: Vec<(Name, f64)>,
}

impl PlacementPlan {
    /// Computes the plan for the data centre `own` by water-filling: demand above a common utilization goes to the
    /// data centres below it, in proportion to what each has free. Returns `None` if placement is not called for, or
    /// the own load is unknown.
    pub fn new(
        own: &str,
        loads: &[DataCentreLoad],
        limits: &PlacementLimits,
    ) -> Option<PlacementPlan> {
        let possible = loads.iter().filter(|load| load.sum.is_possible());
        let loads: Vec<&DataCentreLoad> = possible.collect();
        let home = loads.iter().find(|load| *load.data_centre == *own)?;
        let utilizations = || loads.iter().map(|load| load.sum.utilization());
        let highest = utilizations().fold(0.0, f64::max);
        let lowest = utilizations().fold(f64::INFINITY, f64::min);
        let is_called_for =
            highest > limits.planned_above && lowest < highest * MAX_UTILIZATION_RATIO;
        let demand: f64 = loads.iter().map(|load| load.sum.demand).sum();
        let capacity: f64 = loads.iter().map(|load| load.sum.capacity).sum();
        if !is_called_for || capacity <= 0.0 {
            return None;
        }
        let threshold = (demand / capacity).max(limits.level);
        let limit = |load: &DataCentreLoad| threshold * load.sum.capacity;
        let excess_of = |load: &DataCentreLoad| (load.sum.demand - limit(load)).max(0.0);
        let free_of = |load: &DataCentreLoad| (limit(load) - load.sum.demand).max(0.0);
        let free: f64 = loads.iter().map(|load| free_of(load)).sum();
        let excess: f64 = loads.iter().map(|load| excess_of(load)).sum();
        let others = || loads.iter().filter(|load| *load.data_centre != *own);
        // The free capacity is at least the excess, except for rounding.
        let filled = if free > 0.0 { (excess / free).min(1.0) } else { 0.0 };
        let leaving = if home.sum.demand > 0.0 && free > 0.0 {
            excess_of(home).min(free) / home.sum.demand
        } else {
            0.0
        };
        let shares = others().filter(|load| leaving > 0.0 && free_of(load) > 0.0);
        let shares =
            shares.map(|load| (load.data_centre.clone(), leaving * free_of(load) / free)).collect();
        let planned = |load: &DataCentreLoad| {
            (load.sum.demand + filled * free_of(load)).min(limit(load).max(0.0))
        };
        let spare_of = |load: &DataCentreLoad| {
            (load.sum.capacity * OVERFLOW_UTILIZATION - planned(load)).max(0.0)
        };
        let spare = others()
            .filter(|load| spare_of(load) > 0.0)
            .map(|load| (load.data_centre.clone(), spare_of(load)))
            .collect();
        Some(PlacementPlan { threshold, shares, spare })
    }

    /// Returns the share of the own demand that leaves.
    pub fn leaving(&self) -> f64 {
        self.shares.iter().fold(0.0, |sum, (_, share)| sum + share)
    }
}
