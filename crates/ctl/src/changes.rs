//! Changes of configuration: accepted, then in force.

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

use crate::fleet::{BoxAnswer, BoxView, FleetClient, KeyView};

/// Tries against the store before a change is given up.
const TRIES: u32 = 8;
/// Between two looks at the boxes that lack a change; doubled each time.
const FIRST_POLL: Duration = Duration::from_millis(50);
const MOST_POLL: Duration = Duration::from_secs(2);
/// Data centres whose agents must hold a change before it counts as accepted.
const ACCEPTING_CENTRES: usize = 2;

/// Makes changes.
#[derive(Debug, Clone)]
pub struct Changer {
    /// The store.
    pub store: StoreClient,
    /// The agents.
    pub fleet: FleetClient,
    /// Who asks.
    pub author: String,
    /// How long to wait until it is in force everywhere.
    pub wait: Duration,
}

/// How a change went.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeReport {
    /// The key.
    pub key: String,
    /// Its generation.
    pub generation: u64,
    /// The store's revision.
    pub revision: u64,
    /// Whether it stands in the store and agents of two data centres (or of all) hold it.
    pub accepted: bool,
    /// Boxes that have it in force.
    pub in_force: usize,
    /// Boxes in all.
    pub boxes: usize,
    /// Boxes that lack it, and why.
    pub lacking: Vec<(String, String)>,
    /// Time from the store's acceptance until in force everywhere, or until the wait ended.
    pub waited_ms: u64,
}

impl ChangeReport {
    /// How the command ends for it.
    pub fn outcome(&self) -> Outcome {
        if self.accepted && self.lacking.is_empty() { Outcome::Done } else { Outcome::Partial }
    }

    /// In words.
    pub fn as_text(&self) -> String {
        let ChangeReport { key, generation, in_force, boxes, waited_ms, .. } = self;
        let accepted =
            if self.accepted { "accepted" } else { "in the store, not yet with two data centres" };
        let mut text = format!(
            "{key}: {accepted} as generation {generation}, in force in {in_force} of {boxes} boxes after {waited_ms} ms"
        );
        for (box_id, why) in &self.lacking {
            text.push_str(&format!("\n  {box_id}: {why}"));
        }
        text
    }
}

impl Changer {
    /// Puts `text` under `key` (`None` deletes it) and waits until it is in force.
    ///
    /// # Errors
    /// It was not accepted, with what stands there instead if another change came first.
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
            max_attempts: TRIES,
        };
        let mut random = StdRng::from_os_rng();
        match submit_change(&self.store, &request, &mut random).await {
            ChangeOutcome::Accepted { revision, generation } => {
                Ok(self.watch_spread(key, generation, revision).await)
            }
            ChangeOutcome::Conflict { current } => Err(conflict(key, text.as_deref(), current)),
            ChangeOutcome::Refused(why) => Err(eyre!("{key} was not changed: {why}")),
            ChangeOutcome::Indeterminate(why) => Err(eyre!(
                "{key}: whether it was changed is not known: {why}. Ask with 'history' when the \
                 store answers; making the same change again does no harm"
            )),
        }
    }

    /// The highest generation of a key that boxes hold. It exceeds the store's own after
    /// the store went back to an older state.
    async fn fleet_generation(&self, key: &str) -> u64 {
        let Ok(boxes) = self.fleet.boxes().await else {
            return 0;
        };
        let asked = one_of_each_centre(&boxes);
        let answers: Vec<BoxAnswer<Vec<KeyView>>> =
            self.fleet.ask_all(&asked, &keys_path(key)).await;
        let views = answers.into_iter().filter_map(|answer| answer.answer.ok()).flatten();
        let generations = views.filter(|view| view.key == key).map(|view| view.generation);
        generations.max().unwrap_or(0)
    }

    async fn watch_spread(&self, key: &str, generation: u64, revision: u64) -> ChangeReport {
        let started = Instant::now();
        let mut spread = SpreadView::default();
        let mut poll = FIRST_POLL;
        loop {
            self.look(key, generation, &mut spread).await;
            let report = spread.report(key, generation, revision, started.elapsed());
            let done = report.accepted && report.lacking.is_empty();
            if done || started.elapsed() >= self.wait {
                return report;
            }
            task::sleep(poll).await;
            poll = (poll * 2).min(MOST_POLL);
        }
    }

    /// Asks the boxes that were not seen to have it in force yet.
    async fn look(&self, key: &str, generation: u64, spread: &mut SpreadView) {
        let Ok(boxes) = self.fleet.boxes().await else { return };
        spread.lacking.clear();
        spread.in_force.retain(|known| boxes.iter().any(|one| one.box_id == *known));
        let open: Vec<BoxView> =
            boxes.iter().filter(|one| !spread.in_force.contains(&one.box_id)).cloned().collect();
        spread.boxes = boxes.len();
        spread.all_centres = boxes.into_iter().map(|one| one.data_centre).collect();
        let answers: Vec<BoxAnswer<Vec<KeyView>>> =
            self.fleet.ask_all(&open, &keys_path(key)).await;
        for BoxAnswer { asked, answer } in answers {
            let view = answer.map(|views| views.into_iter().find(|view| view.key == key));
            let why = match view {
                Err(error) => format!("its agent does not answer: {error}"),
                Ok(Some(view)) if view.generation >= generation => {
                    spread.holding_centres.insert(asked.data_centre);
                    if view.in_force {
                        spread.in_force.insert(asked.box_id);
                        continue;
                    }
                    "its agent has it, its proxy has not put it in force".into()
                }
                Ok(Some(view)) => format!("it still has generation {}", view.generation),
                Ok(None) => "it has not heard of it".into(),
            };
            spread.lacking.push((asked.box_id, why));
        }
    }
}

/// How far a change was seen to have spread.
#[derive(Debug, Default)]
struct SpreadView {
    boxes: usize,
    all_centres: BTreeSet<String>,
    holding_centres: BTreeSet<String>,
    in_force: BTreeSet<String>,
    lacking: Vec<(String, String)>,
}

impl SpreadView {
    fn report(&self, key: &str, generation: u64, revision: u64, waited: Duration) -> ChangeReport {
        let needed = self.all_centres.len().min(ACCEPTING_CENTRES);
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

fn one_of_each_centre(boxes: &[BoxView]) -> Vec<BoxView> {
    let mut seen = BTreeSet::new();
    let first = boxes.iter().filter(|one| seen.insert(one.data_centre.clone()));
    first.cloned().collect()
}

fn new_change_id() -> eyre::Result<String> {
    let mut bytes = [0; 12];
    getrandom::fill(&mut bytes).map_err(|error| eyre!("no random bytes: {error}"))?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn conflict(key: &str, text: Option<&str>, current: Option<StoredValue>) -> eyre::Report {
    let Some(current) = current else {
        return eyre!("{key} was not changed: another change came first and deleted it");
    };
    let version = &current.current;
    let diff = TextDiff::from_lines(version.text.as_str(), text.unwrap_or_default());
    eyre!(
        "{key} was not changed: {} changed it first (generation {}). The difference to yours:\n{}",
        version.author,
        version.generation,
        diff.unified_diff().header("in the store", "yours")
    )
}

/// Reads a key's value.
///
/// # Errors
/// The store does not answer, or the value is foreign.
pub async fn read_value(store: &StoreClient, key: &str) -> eyre::Result<(u64, StoredValue)> {
    let Some(record) = store.read_key(key).await? else {
        bail!("there is no {key}");
    };
    let value = StoredValue::from_json(&record.value)?;
    Ok((record.revision, value))
}
