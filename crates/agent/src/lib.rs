//! The agent of a box: evidence, membership and configuration, with its peers.
//!
//! Duties, each its own thread joined to the others by bounded rings: the
//! exchange (all decisions: [`exchange`]), the store, the timer, and connections
//! on the I/O pool. Nothing here is needed to serve a request: the proxy goes on
//! without its agent.

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
