//! `wingctl`, the operators' command line.
//!
//! Changes of configuration are written to the platform's store. The admin endpoints of the
//! agents show which configuration each box has in force; `wingctl` only reads them and never
//! writes to a box.

pub mod boxes;
pub mod changes;
pub mod commands;
pub mod event_trace;
pub mod explain;
pub mod fleet;
pub mod output;
pub mod overrides;
pub mod run;
pub mod settings;

pub use changes::{ChangeClient, ChangeReport};
pub use fleet::FleetClient;
pub use run::run;
pub use settings::{CtlSettings, ctl_command};
