//! Small stand-ins for the systems around wingbridge: the platform's store and box list, and
//! targets. They can be given the faults of the real ones, through a handle within the process or
//! by `POST /v1/faults` from another process.

pub mod settings;
pub mod store;
pub mod store_state;
pub mod target;
pub mod target_faults;

pub use settings::{run_store, run_target, store_command, target_command};
pub use store::serve_store;
pub use store_state::{StoreFaults, StoreHandle};
pub use target::{TargetHandle, TargetSettings, serve_target};
pub use target_faults::TargetFaults;
