//! Changes of the configuration: written to the store, then followed until they are in force in all boxes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_std::task;
use eyre::{bail, eyre};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use similar::TextDiff;
use wingbridge_process::Outcome;
use wingbridge_store::{ChangeOutcome, ChangeRequest, StoreClient, StoredValue, submit_change};
use wingbridge_trace::clock::wall_millis;

use crate::fleet::{BoxReply, BoxView, FleetClient, KeyView};

/// Maximum number of attempts to write a change to the store.
const MAX_STORE_ATTEMPTS: u32 = 8;
/// First interval between two queries of the boxes that lack a change. It doubles after each query.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the interval between two queries of the boxes that lack a change.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of data centres in which an agent must hold a change before the change counts as accepted.
/// A fleet with fewer data centres needs all of them.
const MIN_ACCEPTING_CENTRES: usize = 2;

/// Client that writes changes of the configuration and waits until they are in force.
#[derive(Debug, Clone)]
pub struct ChangeClient {
    /// Client of the store that holds the configuration.
    pub store: StoreClient,
    /// Client of the agents, which report the version that each box has in force.
    pub fleet: FleetClient,
    /// Author recorded in the history of a changed key.
    pub author: String,
    /// Maximum time to wait until a change is in force in all boxes.
    pub wait: Duration,
}

/// The result of a change, and how far it has reached the boxes.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeReport {
    /// Changed key, with its prefix.
    pub key: String,
    /// Generation of the new version.
    pub generation: u64,
    /// Revision of the store at which the change was written.
    pub revision: u64,
    /// Whether agents in two data centres hold the change (in all, if the fleet has fewer).
    pub accepted: bool,
    /// Number of boxes that have the change in force.
    pub in_force: usize,
    /// Number of all boxes.
    pub boxes: usize,
    /// Boxes that do not have the change in force, each with the reason.
    pub lacking: Vec<(String, String)>,
    /// Time from the write to the store until the change was in force in all boxes or the wait ended, in
    /// milliseconds.
    pub waited_ms: u64,
}

impl ChangeReport {
    /// Returns [`Outcome::Done`] if the change is accepted and in force in all boxes, otherwise
    /// [`Outcome::Partial`].
    pub fn outcome(&self) -> Outcome {
        if self.accepted && self.lacking.is_empty() { Outcome::Done } else { Outcome::Partial }
    }

    /// Returns the report as text: one line, and one for each box that lacks the change.
    pub fn as_text(&self) -> String {
        let ChangeReport { key, generation, in_force, boxes, waited_ms, .. } = self;
        let accepted = if self.accepted {
            "accepted"
        } else {
            "written to the store, but not yet held in two data centres"
        };
        let mut text = format!(
            "{key}: {accepted} as generation {generation}, in force in {in_force} of {boxes} boxes after {waited_ms} ms"
        );
        for (box_id, reason) in &self.lacking {
            text.push_str(&format!("\n  {box_id}: {reason}"));
        }
        text
    }
}

impl ChangeClient {
    /// Writes `text` under `key`, or deletes the key if `text` is `None`, and waits until the change is in
    /// force in all boxes. With `expected`, the change is written only if the key still has this revision.
    ///
    /// # Errors
    /// Fails if the store does not accept the change. If another change was written first, the error shows
    /// the difference to the stored version.
    pub async fn change(
        &self,
        key: &str,
        text: Option<String>,
        expected: Option<u64>,
    ) -> eyre::Result<ChangeReport> {
        let fleet_generation = self.fleet_generation(key).await;
        let request = ChangeRequest {
            key: key.to_string(),
            text: text.clone(),
            author: self.author.clone(),
            change: new_change_id()?,
            changed_at: wall_millis(),
            fleet_generation,
            expected,
            max_attempts: MAX_STORE_ATTEMPTS,
        };
        let mut random = StdRng::from_os_rng();
        match submit_change(&self.store, &request, &mut random).await {
            ChangeOutcome::Accepted { revision, generation } => {
                Ok(self.await_rollout(key, generation, revision).await)
            }
            ChangeOutcome::Conflict { current } => Err(conflict(key, text.as_deref(), current)),
            ChangeOutcome::Refused(reason) => Err(eyre!("{key} was not changed: {reason}")),
            ChangeOutcome::Indeterminate(reason) => Err(eyre!(
                "{key}: whether it was changed is not known: {reason}. Check with 'history' when the \
                 store answers again; repeating the same change is safe"
            )),
        }
    }

    /// Returns the highest generation of `key` that the queried boxes hold, 0 if there is none. It exceeds the
    /// generation in the store after the store was restored to an older state. One box per data centre is
    /// queried.
    async fn fleet_generation(&self, key: &str) -> u64 {
        let Ok(boxes) = self.fleet.boxes().await else {
            return 0;
        };
        let queried = one_box_per_centre(&boxes);
        let replies: Vec<BoxReply<Vec<KeyView>>> =
            self.fleet.query_all(&queried, &keys_path(key)).await;
        let views = replies.into_iter().filter_map(|reply| reply.result.ok()).flatten();
        let generations = views.filter(|view| view.key == key).map(|view| view.generation);
        generations.max().unwrap_or(0)
    }

    /// Queries the boxes until the change is accepted and in force in all of them, or until `wait` has passed.
    async fn await_rollout(&self, key: &str, generation: u64, revision: u64) -> ChangeReport {
        let started = Instant::now();
        let mut rollout = RolloutState::default();
        let mut poll_interval = MIN_POLL_INTERVAL;
        loop {
            self.poll_boxes(key, generation, &mut rollout).await;
            let report = rollout.report(key, generation, revision, started.elapsed());
            let done = report.accepted && report.lacking.is_empty();
            if done || started.elapsed() >= self.wait {
                return report;
            }
            task::sleep(poll_interval).await;
            poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
        }
    }

    /// Queries the boxes that have not reported the change as in force yet, and updates `rollout`.
    async fn poll_boxes(&self, key: &str, generation: u64, rollout: &mut RolloutState) {
        let Ok(boxes) = self.fleet.boxes().await else { return };
        rollout.lacking.clear();
        rollout.in_force.retain(|box_id| boxes.iter().any(|view| view.box_id == *box_id));
        let pending: Vec<BoxView> =
            boxes.iter().filter(|view| !rollout.in_force.contains(&view.box_id)).cloned().collect();
        rollout.boxes = boxes.len();
        rollout.all_centres = boxes.into_iter().map(|view| view.data_centre).collect();
        let replies: Vec<BoxReply<Vec<KeyView>>> =
            self.fleet.query_all(&pending, &keys_path(key)).await;
        for BoxReply { queried, result } in replies {
            let view = result.map(|views| views.into_iter().find(|view| view.key == key));
            let reason = match view {
                Err(error) => format!("its agent did not answer: {error}"),
                Ok(Some(view)) if view.generation >= generation => {
                    rollout.holding_centres.insert(queried.data_centre);
                    if view.in_force {
                        rollout.in_force.insert(queried.box_id);
                        continue;
                    }
                    "its agent holds the change, its proxy has not put it in force yet".into()
                }
                Ok(Some(view)) => format!("it still holds generation {}", view.generation),
                Ok(None) => "it has not received the key".into(),
            };
            rollout.lacking.push((queried.box_id, reason));
        }
    }
}

/// The boxes and data centres that a change has reached, according to their last replies.
#[derive(Debug, Default)]
struct RolloutState {
    boxes: usize,
    all_centres: BTreeSet<String>,
    holding_centres: BTreeSet<String>,
    in_force: BTreeSet<String>,
    lacking: Vec<(String, String)>,
}

impl RolloutState {
    fn report(&self, key: &str, generation: u64, revision: u64, waited: Duration) -> ChangeReport {
        let needed = self.all_centres.len().min(MIN_ACCEPTING_CENTRES);
        let holding = self.holding_centres.len();
        ChangeReport {
            key: key.to_string(),
            generation,
            revision,
            accepted: holding > 0 && holding >= needed,
            in_force: self.in_force.len(),
            boxes: self.boxes,
            lacking: self.lacking.clone(),
            waited_ms: waited.as_millis() as u64,
        }
    }
}

fn keys_path(key: &str) -> String {
    format!("/v1/keys?prefix={key}")
}

fn one_box_per_centre(boxes: &[BoxView]) -> Vec<BoxView> {
    let mut seen = BTreeSet::new();
    let first = boxes.iter().filter(|view| seen.insert(view.data_centre.clone()));
    first.cloned().collect()
}

fn new_change_id() -> eyre::Result<String> {
    let mut bytes = [0; 12];
    getrandom::fill(&mut bytes)
        .map_err(|error| eyre!("can't generate a change id, no random bytes: {error}"))?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn conflict(key: &str, text: Option<&str>, current: Option<StoredValue>) -> eyre::Report {
    let Some(current) = current else {
        return eyre!("{key} was not changed: another change deleted it first");
    };
    let version = &current.current;
    let diff = TextDiff::from_lines(version.text.as_str(), text.unwrap_or_default());
    eyre!(
        "{key} was not changed: {} changed it first (generation {}). Difference to your version:\n{}",
        version.author,
        version.generation,
        diff.unified_diff().header("in the store", "yours")
    )
}

/// Reads the value under `key`, and returns it with its revision.
///
/// # Errors
/// Fails if the store does not answer, has no such key, or has a value that `wingctl` can't decode.
pub async fn read_value(store: &StoreClient, key: &str) -> eyre::Result<(u64, StoredValue)> {
    let Some(record) = store.read_key(key).await? else {
        bail!("the store has no key {key}");
    };
    let value = StoredValue::from_json(&record.value)?;
    Ok((record.revision, value))
}
