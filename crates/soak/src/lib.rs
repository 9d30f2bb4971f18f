//! A randomized soak test of real boxes.
//!
//! It starts `wingbridge-box` as separate processes on loopback, with stand-ins for the platform's
//! store and for targets behind relays. Callers make requests and use their connections until the
//! process has ended. Faults are drawn from a seed and injected from outside: signals, relays that
//! delay, hold back or close connections, and faulty stand-ins. Afterwards the observations of
//! callers and targets are checked against the promises ([`checks`]). The same seed gives the same
//! plan; scheduling by the operating system still varies between runs.

pub mod callers;
pub mod checks;
pub mod driver;
pub mod environment;
pub mod fleet;
pub mod handlers;
mod limits;
mod notices;
pub mod plan;
pub mod relay;
pub mod report;
pub mod run;
pub mod settings;
pub mod spans;
pub mod starvation;

pub use report::SoakReport;
pub use run::run_seed;
pub use settings::SoakSettings;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
