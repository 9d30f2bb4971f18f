//! The proxy of a box: passes requests of callers to targets.
//!
//! Connections and requests run on the I/O pool. One thread makes all decisions by driving the core
//! ([`decision`]); the link to the agent and the timer have threads of their own. Without its agent
//! the proxy continues to serve, with the last configuration and its own evidence.

mod active_config;
mod admin;
mod agent_link;
mod answers;
mod attempt;
mod context;
mod decision;
mod headers;
mod inputs;
mod lifecycle;
mod pool;
mod requests;
pub mod run;
mod serve;
pub mod settings;
mod streaming;

pub use run::{ProxyAddresses, run};
pub use settings::{ProxySettings, proxy_command, resolve};
