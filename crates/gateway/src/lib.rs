//! A whole box in one process: callers on one side, targets on the other, its peers
//! beside it, and a store above that it only reads.
//!
//! What the store and the messages of the environment look like is not known here: an
//! adapter implements [`ports::EnvironmentPort`] and hands in [`settings::GatewaySettings`].
//! Duties: connections and requests are tasks of the I/O pool; [`store_sync`] keeps what is
//! known of targets fresh, alone or by peers, and [`config_duty`] a large configuration;
//! [`gossip`] tells peers what was seen, and [`quota_manager`] admits requests by customers' quotas. [`change_budget`] has the times of all of these.
//! Decisions about targets are in `wingbridge_decide::steer`.

mod answers;
mod attempt;
mod caller_connections;
mod change_budget;
mod config_duty;
mod config_exchange;
pub mod config_source;
mod context;
mod crash_tracker;
pub mod customers;
mod gossip;
mod incarnations;
pub mod invalid_entries;
mod latch;
mod limit_reports;
mod listing_history;
mod listing_source;
mod newer_config;
mod notices;
mod open_attempt;
mod passive_samples;
mod peers;
mod permit_manager;
mod policies;
pub mod ports;
mod quota_manager;
mod request_identity;
mod request_log;
mod requests;
mod reserved_token;
mod revision_history;
pub mod routes;
mod routing;
pub mod run;
pub mod settings;
mod stopping;
mod store_backoff;
mod store_sync;
mod streamed_body;
mod suspension;
pub mod target_table;
pub mod text_patch;
mod transfer_slots;
pub mod view;
mod view_exchange;

pub use run::run;
pub use settings::GatewaySettings;
pub use wingbridge_decide::steer::mechanism::{Mechanism, MechanismSet};
