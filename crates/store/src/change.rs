//! One change of one key, made exactly once whatever answers are lost.

use std::time::Duration;

use async_std::task;

use crate::backoff::Backoff;
use crate::client::{KeyRecord, StoreClient, StoreError};
use crate::value::{MAX_VALUE_BYTES, StoredValue, ValueVersion};

const FIRST_WAIT: Duration = Duration::from_millis(100);
const MOST_WAIT: Duration = Duration::from_secs(2);

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The key.
    pub key: String,
    /// The new text, or `None` to delete the key.
    pub text: Option<String>,
    /// Who asks.
    pub author: String,
    /// The change's id, unique to it.
    pub change: String,
    /// When, in milliseconds since 1970.
    pub changed_at: u64,
    /// The highest generation of the key that any box was found to hold. It may be
    /// above the store's own if the store went back to an older state.
    pub fleet_generation: u64,
    /// If set, the revision that the operator has seen; another one is a conflict.
    pub expected: Option<u64>,
    /// Tries before giving up.
    pub max_attempts: u32,
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It stands in the store.
    Accepted {
        /// The key's revision.
        revision: u64,
        /// The key's generation.
        generation: u64,
    },
    /// Another change came first; this one did not happen.
    Conflict {
        /// What stands there now.
        current: Option<StoredValue>,
    },
    /// The store could not be asked: whether it happened is not known.
    Indeterminate(StoreError),
    /// It did not happen.
    Refused(String),
}

/// Makes a change by compare-and-swap. An answer that is lost is resolved by
/// reading back whether the change's id stands in the value.
pub async fn submit_change(
    store: &StoreClient,
    request: &ChangeRequest,
    random: &mut impl rand::Rng,
) -> ChangeOutcome {
    let mut backoff = Backoff::new(FIRST_WAIT, MOST_WAIT);
    let mut basis: Option<u64> = request.expected;
    let mut sent = false;
    let mut last = StoreError::Indeterminate("not tried".into());
    for _ in 0..request.max_attempts.max(1) {
        match try_once(store, request, &mut basis, &mut sent).await {
            Ok(outcome) => return outcome,
            Err(StoreError::Refused(why)) if !sent => return ChangeOutcome::Refused(why),
            Err(error) => last = error,
        }
        task::sleep(backoff.fail(random)).await;
    }
    if sent { ChangeOutcome::Indeterminate(last) } else { ChangeOutcome::Refused(last.to_string()) }
}

/// One read and one write. `basis` is the revision the first write was made on: a
/// later write on another one could undo somebody's change, so it is a conflict.
async fn try_once(
    store: &StoreClient,
    request: &ChangeRequest,
    basis: &mut Option<u64>,
    sent: &mut bool,
) -> Result<ChangeOutcome, StoreError> {
    let record = store.read_key(&request.key).await?;
    let held = record.as_ref().map(parse_record).transpose()?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    if let (Some(held), Some(record)) = (&held, &record) {
        if held.current.change == request.change {
            let generation = held.current.generation;
            return Ok(ChangeOutcome::Accepted { revision: record.revision, generation });
        }
        if held.history.iter().any(|version| version.change == request.change) {
            // It took effect, and another change followed it.
            let past = held.history.iter().find(|version| version.change == request.change);
            let generation = past.map_or(0, |version| version.generation);
            return Ok(ChangeOutcome::Accepted { revision: record.revision, generation });
        }
    }
    if *basis.get_or_insert(revision) != revision {
        return Ok(ChangeOutcome::Conflict { current: held });
    }
    let value = next_value(request, held.as_ref());
    let json = value.to_json();
    if json.len() > MAX_VALUE_BYTES {
        let why = format!("the value of {} bytes is over {MAX_VALUE_BYTES}", json.len());
        return Ok(ChangeOutcome::Refused(why));
    }
    *sent = true;
    let reply = store.write(&request.key, revision, &json).await?;
    if reply.written {
        let generation = value.current.generation;
        return Ok(ChangeOutcome::Accepted { revision: reply.revision, generation });
    }
    // Refused by the swap: by our own earlier write, or by somebody else's. Reading tells.
    Err(StoreError::Indeterminate("the key changed meanwhile".into()))
}

fn next_value(request: &ChangeRequest, held: Option<&StoredValue>) -> StoredValue {
    let known = held.map_or(0, |value| value.current.generation);
    let version = ValueVersion {
        change: request.change.clone(),
        generation: known.max(request.fleet_generation) + 1,
        deleted: request.text.is_none(),
        author: request.author.clone(),
        changed_at: request.changed_at,
        text: request.text.clone().unwrap_or_default(),
    };
    StoredValue::after(held, version)
}

fn parse_record(record: &KeyRecord) -> Result<StoredValue, StoreError> {
    StoredValue::from_json(&record.value).map_err(|error| {
        StoreError::Refused(format!("the value of {} is foreign: {error}", record.key))
    })
}
