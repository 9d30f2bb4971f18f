//! Answers to operators' queries, as serialized to JSON.

use serde::Serialize;
use wingbridge_wire::{KeyStamp, TargetState};

/// Answer of `/v1/status`.
#[derive(Debug, Serialize)]
pub(crate) struct StatusView {
    pub(crate) box_id: String,
    pub(crate) data_centre: String,
    #[serde(rename = "whole")]
    pub(crate) complete: bool,
    pub(crate) store_reachable: bool,
    pub(crate) watches_store: bool,
    pub(crate) proxy_connected: bool,
    pub(crate) proxy_ready: bool,
    #[serde(rename = "holds_itself_sick")]
    pub(crate) suspects_itself: bool,
    pub(crate) requests_held: u64,
    pub(crate) boxes_known: usize,
    pub(crate) peers_connected: usize,
    pub(crate) root: String,
    pub(crate) not_in_force: Vec<String>,
}

/// One row of the answer of `/v1/targets`.
#[derive(Debug, Serialize)]
pub(crate) struct TargetView {
    service: String,
    target: String,
    state: String,
    for_ms: u64,
    #[serde(rename = "why")]
    reason: String,
    scope: String,
    #[serde(rename = "kept_out")]
    excluded: bool,
    kept_by_floor: bool,
}

impl TargetView {
    pub(crate) fn of(state: &TargetState) -> TargetView {
        TargetView {
            service: state.service.clone(),
            target: state.target.clone(),
            state: state.state.clone(),
            for_ms: state.for_ms,
            reason: state.reason.clone(),
            scope: state.scope.clone(),
            excluded: state.excluded,
            kept_by_floor: state.kept_by_floor,
        }
    }
}

/// One row of the answer of `/v1/boxes`.
#[derive(Debug, Serialize)]
pub(crate) struct BoxView {
    pub(crate) box_id: String,
    pub(crate) data_centre: String,
    pub(crate) admin: String,
    pub(crate) leaving: bool,
}

/// One row of the answer of `/v1/keys`: the version that the agent holds, and whether the proxy has
/// put it in force.
#[derive(Debug, Serialize)]
pub(crate) struct KeyView {
    pub(crate) key: String,
    pub(crate) generation: u64,
    pub(crate) change: String,
    pub(crate) deleted: bool,
    pub(crate) in_force: bool,
}

impl KeyView {
    pub(crate) fn of(stamp: &KeyStamp, deleted: bool, in_force: bool) -> KeyView {
        KeyView {
            key: stamp.key.clone(),
            generation: stamp.stamp.generation,
            change: stamp.stamp.change.clone(),
            deleted,
            in_force,
        }
    }
}
