//! A whole small system in one process, from the same `run` functions as the
//! programs, with load, faults and a count of what must always hold.

pub mod caller;
pub mod experiment;
pub mod ledger;
pub mod settings;
pub mod system;

pub use caller::LoadCaller;
pub use ledger::{AnswerCounts, CallerLedger};
pub use system::{BoxHandle, ServicePlan, SmallSystem, SystemSetup};
