//! `wingbench decide`: measures detection times and false ejections of the decision core, compared with
//! baselines.
//!
//! Several real box cores and outlier detectors, which exchange the real messages, run in virtual time
//! against simulated targets and a simulated network. The baselines implement the same interface. There
//! is one service and no store.

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
