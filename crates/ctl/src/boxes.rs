//! The commands `boxes`, `status` and `targets`, which query the agents of all boxes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wingbridge_process::Outcome;

use crate::fleet::{BoxReply, BoxView, FleetClient};
use crate::output::{format_duration, print, table};

/// The state of a target in one box, as listed under `/v1/targets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetView {
    /// Service that the target belongs to.
    pub service: String,
    /// Address of the target.
    pub target: String,
    /// Health state of the target.
    pub state: String,
    /// Time that the target has been in this state, in milliseconds.
    pub for_ms: u64,
    /// Reason for this state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Network paths to the target that the state applies to: from this box, from one data centre, or all.
    pub scope: String,
    /// Whether the box excludes the target from requests.
    #[serde(rename = "kept_out")]
    pub excluded: bool,
    /// Whether the target stays in service only because of the service's floor.
    pub kept_by_floor: bool,
}

/// Runs `wingctl boxes`: lists the boxes of the fleet.
///
/// # Errors
/// Fails if no agent answers.
pub async fn show_boxes(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    print(json, &boxes, || {
        let row = |view: &BoxView| {
            let state = if view.leaving { "leaving" } else { "live" };
            vec![view.box_id.clone(), view.data_centre.clone(), view.admin.clone(), state.into()]
        };
        table(&["box", "data centre", "admin", "state"], &boxes.iter().map(row).collect::<Vec<_>>())
    });
    Ok(Outcome::Done)
}

/// Runs `wingctl status`: prints the status of each box. The outcome is partial if an agent does not answer.
///
/// # Errors
/// Fails if no agent answers the request for the list of boxes.
pub async fn show_status(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    let replies: Vec<BoxReply<Value>> = fleet.query_all(&boxes, "/v1/status").await;
    let unresponsive = replies.iter().any(|reply| reply.result.is_err());
    let statuses: Vec<Value> = replies.iter().map(status_json).collect();
    print(json, &statuses, || {
        let headings = [
            "box",
            "data centre",
            "ready",
            "whole",
            "store",
            "peers",
            "held",
            "root",
            "not in force",
        ];
        table(&headings, &replies.iter().map(status_row).collect::<Vec<_>>())
    });
    Ok(if unresponsive { Outcome::Partial } else { Outcome::Done })
}

/// Runs `wingctl targets`: prints the targets that are not healthy in some box. The outcome is partial if an
/// agent does not answer.
///
/// # Errors
/// Fails if no agent answers the request for the list of boxes.
pub async fn show_targets(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    let replies: Vec<BoxReply<Vec<TargetView>>> = fleet.query_all(&boxes, "/v1/targets").await;
    let unresponsive = replies.iter().any(|reply| reply.result.is_err());
    let mut rows: Vec<(String, TargetView)> = Vec::new();
    for BoxReply { queried, result } in replies {
        let targets = result.unwrap_or_default();
        rows.extend(targets.into_iter().map(|target| (queried.box_id.clone(), target)));
    }
    rows.sort_by(|(_, left), (_, right)| {
        (&left.service, &left.target).cmp(&(&right.service, &right.target))
    });
    print(json, &rows, || {
        if rows.is_empty() {
            return "all targets are healthy in all boxes that answered".into();
        }
        let headings = ["service", "target", "box", "state", "for", "scope", "out", "floor", "why"];
        table(&headings, &rows.iter().map(target_row).collect::<Vec<_>>())
    });
    Ok(if unresponsive { Outcome::Partial } else { Outcome::Done })
}

fn status_json(reply: &BoxReply<Value>) -> Value {
    match &reply.result {
        Ok(status) => status.clone(),
        Err(reason) => serde_json::json!({ "box_id": reply.queried.box_id, "silent": reason }),
    }
}

fn status_row(reply: &BoxReply<Value>) -> Vec<String> {
    let queried = &reply.queried;
    let Ok(status) = &reply.result else {
        return vec![queried.box_id.clone(), queried.data_centre.clone(), "does not answer".into()];
    };
    let yes_or_no =
        |name: &str| if status[name] == Value::Bool(true) { "yes" } else { "NO" }.to_string();
    let number = |name: &str| status[name].as_u64().unwrap_or(0).to_string();
    let root = status["root"].as_str().unwrap_or_default();
    let not_in_force = status["not_in_force"].as_array().map_or(0, Vec::len);
    vec![
        queried.box_id.clone(),
        queried.data_centre.clone(),
        yes_or_no("proxy_ready"),
        yes_or_no("whole"),
        yes_or_no("store_reachable"),
        number("peers_connected"),
        number("requests_held"),
        root.get(..8).unwrap_or(root).to_string(),
        not_in_force.to_string(),
    ]
}

fn target_row((box_id, target): &(String, TargetView)) -> Vec<String> {
    let yes_or_blank = |flag: bool| if flag { "yes" } else { "" }.to_string();
    vec![
        target.service.clone(),
        target.target.clone(),
        box_id.clone(),
        target.state.clone(),
        format_duration(target.for_ms),
        target.scope.clone(),
        yes_or_blank(target.excluded),
        if target.kept_by_floor { "kept in".into() } else { String::new() },
        target.reason.clone(),
    ]
}
