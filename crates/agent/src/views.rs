//! What operators are shown, as JSON.

use serde::Serialize;
use wingbridge_wire::{KeyStamp, TargetState};

/// `/v1/status`.
#[derive(Debug, Serialize)]
pub(crate) struct StatusView {
    pub(crate) box_id: String,
    pub(crate) data_centre: String,
    pub(crate) whole: bool,
    pub(crate) store_reachable: bool,
    pub(crate) watches_store: bool,
    pub(crate) proxy_connected: bool,
    pub(crate) proxy_ready: bool,
    pub(crate) holds_itself_sick: bool,
    pub(crate) requests_held: u64,
    pub(crate) boxes_known: usize,
    pub(crate) peers_connected: usize,
    pub(crate) root: String,
    pub(crate) not_in_force: Vec<String>,
}

/// One row of `/v1/targets`.
#[derive(Debug, Serialize)]
pub(crate) struct TargetView {
    service: String,
    target: String,
    state: String,
    for_ms: u64,
    why: String,
    scope: String,
    kept_out: bool,
    kept_by_floor: bool,
}

impl TargetView {
    pub(crate) fn of(state: &TargetState) -> TargetView {
        TargetView {
            service: state.service.clone(),
            target: state.target.clone(),
            state: state.state.clone(),
            for_ms: state.for_ms,
            why: state.reason.clone(),
            scope: state.scope.clone(),
            kept_out: state.excluded,
            kept_by_floor: state.kept_by_floor,
        }
    }
}

/// One row of `/v1/boxes`.
#[derive(Debug, Serialize)]
pub(crate) struct BoxView {
    pub(crate) box_id: String,
    pub(crate) data_centre: String,
    pub(crate) admin: String,
    pub(crate) leaving: bool,
}

/// One row of `/v1/keys`: the version held, and whether the proxy has it in force.
#[derive(Debug, Serialize)]
pub(crate) struct KeyView {
    pub(crate) key: String,
    pub(crate) generation: u64,
    pub(crate) change: String,
    pub(crate) deleted: bool,
    pub(crate) in_force: bool,
}

impl KeyView {
    pub(crate) fn of(held: &KeyStamp, deleted: bool, in_force: bool) -> KeyView {
        KeyView {
            key: held.key.clone(),
            generation: held.stamp.generation,
            change: held.stamp.change.clone(),
            deleted,
            in_force,
        }
    }
}
