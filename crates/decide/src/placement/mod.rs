//! Placement of requests between data centres by what callers demand and what targets can finish.
//!
//! The choice of a target weighs a constant cost of leaving the data centre, so that a data centre that is short of
//! capacity held requests back while others had free slots: 481 of 827 held orders of one deployment were held in
//! the data centre with 36 of the 121 targets. Here each box knows by service the demand and the capacity of each
//! data centre, and sends the excess of its own to those with free capacity.
//!
//! [`PlacementPlan`] computes who sends how much to whom. [`PlacementTable`] keeps what a box knows of the load of
//! each service, and the damped plan.

mod demand;
mod plan;
mod service;
mod table;

pub use demand::DemandRate;
pub use plan::{CapacitySum, DataCentreLoad, MIN_THRESHOLD, PlacementLimits, PlacementPlan};
pub use service::{PlacementChange, ServicePlacement};
pub use table::{OwnFigures, PlacementTable, ServiceDemand, ServiceReport};
