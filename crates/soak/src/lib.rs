//! A randomized soak of real boxes.
//!
//! It starts `wingbridge-box` as separate processes on loopback, with stand-ins of the
//! platform's store and of targets behind relays, puts load on them from callers that use
//! their connections until the process is gone, and injects faults from outside, drawn
//! from a seed: signals, relays that delay, cut or silence, and stand-ins that misbehave.
//! What callers and targets saw is then held against the promises ([`checks`]). The same
//! seed gives the same plan; the operating system still schedules as it likes.

pub mod callers;
pub mod checks;
pub mod driver;
pub mod fleet;
mod limits;
mod notices;
pub mod plan;
pub mod relay;
pub mod report;
pub mod run;
pub mod settings;
pub mod spans;
pub mod starvation;
pub mod world;

pub use report::SoakReport;
pub use run::run_seed;
pub use settings::SoakSettings;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
