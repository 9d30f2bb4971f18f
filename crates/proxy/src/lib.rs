//! The proxy of a box: between callers and targets.
//!
//! Duties: connections and requests on the I/O pool, decisions on one thread that
//! drives the core ([`decision`]), the link to the agent, the timer. The proxy
//! serves without its agent, by the last configuration and its own evidence.

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
