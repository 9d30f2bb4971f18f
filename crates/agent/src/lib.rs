//! The agent of a box: it exchanges evidence about targets, the list of boxes and the configuration
//! with the agents of other boxes.
//!
//! Each of its tasks (the [`exchange`], which makes all decisions, the synchronization with the
//! store, and the timer) has a thread of its own; connections run on the I/O pool. Tasks
//! communicate over bounded queues. The agent is not needed to serve a request: the proxy continues
//! without it.

mod admin;
mod events;
mod exchange;
mod links;
pub mod outgoing_evidence;
pub mod run;
mod self_suspicion;
pub mod settings;
mod store_sync;
mod views;

pub use links::LinkFaults;
pub use run::{AgentAddresses, run, run_with};
pub use settings::{AgentSettings, agent_command, resolve};
