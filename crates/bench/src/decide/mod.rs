//! Detection time and false ejections of the real decision core, against baselines.
//!
//! Several real box cores and detectors, with the real messages between them, run in
//! virtual time before a small fake of targets and network. The baselines stand
//! behind the same interface. Nothing here is a cluster: one service, no store.

pub mod baselines;
pub mod cost;
pub mod curve;
pub mod fleet;
pub mod report;
pub mod scenario;
pub mod site;
pub mod trial;
pub mod world;

pub use report::{DecideReport, DecideSetup, measure};
