//! What the boxes say: status and targets.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wingbridge_process::Outcome;

use crate::fleet::{BoxAnswer, BoxView, FleetClient};
use crate::output::{print, span, table};

/// A target, as one box holds it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetView {
    /// The service.
    pub service: String,
    /// The target's address.
    pub target: String,
    /// Its state.
    pub state: String,
    /// Milliseconds in that state.
    pub for_ms: u64,
    /// Why.
    pub why: String,
    /// For whom.
    pub scope: String,
    /// Whether the box sends it nothing.
    pub kept_out: bool,
    /// Whether the floor kept it in service.
    pub kept_by_floor: bool,
}

/// `wingctl boxes`.
///
/// # Errors
/// No agent answers.
pub async fn show_boxes(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    print(json, &boxes, || {
        let row = |one: &BoxView| {
            let state = if one.leaving { "leaving" } else { "live" };
            vec![one.box_id.clone(), one.data_centre.clone(), one.admin.clone(), state.into()]
        };
        table(&["box", "data centre", "admin", "state"], &boxes.iter().map(row).collect::<Vec<_>>())
    });
    Ok(Outcome::Done)
}

/// `wingctl status`.
///
/// # Errors
/// No agent answers.
pub async fn show_status(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    let answers: Vec<BoxAnswer<Value>> = fleet.ask_all(&boxes, "/v1/status").await;
    let silent = answers.iter().any(|answer| answer.answer.is_err());
    let shown: Vec<Value> = answers.iter().map(as_value).collect();
    print(json, &shown, || {
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
        table(&headings, &answers.iter().map(status_row).collect::<Vec<_>>())
    });
    Ok(if silent { Outcome::Partial } else { Outcome::Done })
}

/// `wingctl targets`.
///
/// # Errors
/// No agent answers.
pub async fn show_targets(fleet: &FleetClient, json: bool) -> eyre::Result<Outcome> {
    let boxes = fleet.boxes().await?;
    let answers: Vec<BoxAnswer<Vec<TargetView>>> = fleet.ask_all(&boxes, "/v1/targets").await;
    let silent = answers.iter().any(|answer| answer.answer.is_err());
    let mut found: Vec<(String, TargetView)> = Vec::new();
    for BoxAnswer { asked, answer } in answers {
        let targets = answer.unwrap_or_default();
        found.extend(targets.into_iter().map(|target| (asked.box_id.clone(), target)));
    }
    found.sort_by(|(_, one), (_, other)| {
        (&one.service, &one.target).cmp(&(&other.service, &other.target))
    });
    print(json, &found, || {
        if found.is_empty() {
            return "all targets are healthy in all boxes that answered".into();
        }
        let headings = ["service", "target", "box", "state", "for", "scope", "out", "floor", "why"];
        table(&headings, &found.iter().map(target_row).collect::<Vec<_>>())
    });
    Ok(if silent { Outcome::Partial } else { Outcome::Done })
}

fn as_value(answer: &BoxAnswer<Value>) -> Value {
    match &answer.answer {
        Ok(status) => status.clone(),
        Err(why) => serde_json::json!({ "box_id": answer.asked.box_id, "silent": why }),
    }
}

fn status_row(answer: &BoxAnswer<Value>) -> Vec<String> {
    let asked = &answer.asked;
    let Ok(status) = &answer.answer else {
        return vec![asked.box_id.clone(), asked.data_centre.clone(), "does not answer".into()];
    };
    let yes = |name: &str| if status[name] == Value::Bool(true) { "yes" } else { "NO" }.to_string();
    let number = |name: &str| status[name].as_u64().unwrap_or(0).to_string();
    let root = status["root"].as_str().unwrap_or_default();
    let lacking = status["not_in_force"].as_array().map_or(0, Vec::len);
    vec![
        asked.box_id.clone(),
        asked.data_centre.clone(),
        yes("proxy_ready"),
        yes("whole"),
        yes("store_reachable"),
        number("peers_connected"),
        number("requests_held"),
        root.get(..8).unwrap_or(root).to_string(),
        lacking.to_string(),
    ]
}

fn target_row((box_id, target): &(String, TargetView)) -> Vec<String> {
    let yes = |flag: bool| if flag { "yes" } else { "" }.to_string();
    vec![
        target.service.clone(),
        target.target.clone(),
        box_id.clone(),
        target.state.clone(),
        span(target.for_ms),
        target.scope.clone(),
        yes(target.kept_out),
        if target.kept_by_floor { "kept in".into() } else { String::new() },
        target.why.clone(),
    ]
}
