//! A complete box in one process: a proxy between callers and targets that exchanges state with
//! peer boxes and reads its configuration and targets from a store.
//!
//! This crate does not depend on the format of the store or of the environment's messages: an
//! adapter implements [`ports::EnvironmentPort`] and provides [`settings::GatewaySettings`].
//! Connections and requests are tasks of the I/O pool. Background tasks do the rest:
//! [`store_sync`] keeps the listing of targets up to date, from the store or from peers;
//! [`config_sync`] does the same for a large configuration; [`gossip`] sends peers what this box
//! has observed; [`quota_manager`] admits requests according to their customers' quotas.
//! [`change_budget`] defines the time limits of these tasks. Decisions about targets are made in
//! `wingbridge_decide::steer`.

mod answers;
mod attempt;
mod caller_connections;
mod change_budget;
mod config_exchange;
pub mod config_source;
mod config_sync;
mod context;
mod copy_overrides;
mod crash_tracker;
pub mod customers;
mod duties;
mod gossip;
mod incarnations;
mod instants;
pub mod invalid_entries;
mod latch;
mod limit_reports;
mod listeners;
mod listing_history;
pub mod listing_schedule;
mod listing_source;
mod long_answers;
mod newer_config;
mod notices;
mod open_attempt;
mod passive_samples;
mod paths;
mod peers;
mod permit_manager;
pub mod placement;
mod policies;
pub mod ports;
mod quota_manager;
mod relay;
mod request_identity;
mod request_log;
mod requests;
mod reserved_token;
pub mod returns;
mod revision_history;
pub mod routes;
mod routing;
pub mod run;
pub mod settings;
pub mod source_address;
mod steering;
pub mod stop_schedule;
mod stopping;
mod store_backoff;
pub mod store_revision;
mod store_sync;
mod streamed_body;
mod suspension;
pub mod target_table;
pub mod text_patch;
mod transfer_slots;
pub mod view;
mod view_exchange;
mod waiting;

pub use run::run;
pub use settings::{GatewaySettings, OverloadControl, PlacementMode};
pub use wingbridge_decide::steer::mechanism::{Mechanism, MechanismSet};
