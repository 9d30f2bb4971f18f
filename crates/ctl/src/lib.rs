//! `wingctl`, the operators' command line.
//!
//! It talks to the platform's store, where configuration lasts, and to the agents'
//! end points, where it is seen what is in force. It never writes to a box.

pub mod boxes;
pub mod changes;
pub mod commands;
pub mod explain;
pub mod fleet;
pub mod output;
pub mod overrides;
pub mod run;
pub mod settings;
pub mod timeline;

pub use changes::{ChangeReport, Changer};
pub use fleet::FleetClient;
pub use run::run;
pub use settings::{CtlSettings, ctl_command};
