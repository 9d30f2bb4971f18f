//! A complete small system in one process, built from the same `run` functions as the programs,
//! with load, faults and checks of the invariants.

pub mod caller;
pub mod experiment;
pub mod ledger;
pub mod settings;
pub mod system;

pub use caller::LoadCaller;
pub use ledger::{AnswerCounts, CallerLedger};
pub use system::{BoxHandle, ServicePlan, SmallSystem, SystemSetup};
