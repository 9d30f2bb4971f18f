//! Changes of single keys that take effect at most once, also if answers of the store are lost.

use std::time::Duration;

use async_std::task;

use crate::backoff::Backoff;
use crate::client::{KeyRecord, StoreClient, StoreError};
use crate::value::{MAX_VALUE_BYTES, StoredValue, ValueVersion};

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A change of one key that an operator requests.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The key to change.
    pub key: String,
    /// The new text, or `None` to delete the key.
    pub text: Option<String>,
    /// The operator who requests the change.
    pub author: String,
    /// The unique id of the change.
    pub change: String,
    /// Time of the request, in milliseconds since 1970.
    pub changed_at: u64,
    /// The highest generation of the key that any box holds. It exceeds the store's own generation if
    /// the store was reset to an older state.
    pub fleet_generation: u64,
    /// The revision of the key on which the operator based the change. If it is set and the store has
    /// another revision, the change is a conflict.
    pub expected: Option<u64>,
    /// Maximum number of attempts; at least one is made.
    pub max_attempts: u32,
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change took effect.
    Accepted {
        /// The revision of the key, with this change or a later one.
        revision: u64,
        /// The generation that the change gave the key.
        generation: u64,
    },
    /// The change did not take effect because another change preceded it.
    Conflict {
        /// The value that the store holds now; `None` if the key does not exist.
        current: Option<StoredValue>,
    },
    /// A write was sent but its result could not be read: the change may have taken effect.
    Indeterminate(StoreError),
    /// The change did not take effect, for the given reason.
    Refused(String),
}

/// Makes a change with compare-and-swap. After a lost answer, the key is read back: if its value or its
/// history contains the id of the change, the change took effect.
pub async fn submit_change(
    store: &StoreClient,
    request: &ChangeRequest,
    random: &mut impl rand::Rng,
) -> ChangeOutcome {
    let mut backoff = Backoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    let mut basis: Option<u64> = request.expected;
    let mut sent = false;
    let mut last = StoreError::Indeterminate("no attempt was made".into());
    for _ in 0..request.max_attempts.max(1) {
        match attempt(store, request, &mut basis, &mut sent).await {
            Ok(outcome) => return outcome,
            Err(StoreError::Refused(reason)) if !sent => return ChangeOutcome::Refused(reason),
            Err(error) => last = error,
        }
        task::sleep(backoff.fail(random)).await;
    }
    if sent { ChangeOutcome::Indeterminate(last) } else { ChangeOutcome::Refused(last.to_string()) }
}

/// Makes one attempt: a read and a write. `basis` is the revision on which the first write was based. A
/// later write based on another revision could overwrite the change of another author, so that is a
/// conflict.
async fn attempt(
    store: &StoreClient,
    request: &ChangeRequest,
    basis: &mut Option<u64>,
    sent: &mut bool,
) -> Result<ChangeOutcome, StoreError> {
    let record = store.read_key(&request.key).await?;
    let stored = record.as_ref().map(parse_record).transpose()?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    if let (Some(stored), Some(record)) = (&stored, &record) {
        if stored.current.change == request.change {
            let generation = stored.current.generation;
            return Ok(ChangeOutcome::Accepted { revision: record.revision, generation });
        }
        if stored.history.iter().any(|version| version.change == request.change) {
            // The change took effect and was followed by another one.
            let earlier = stored.history.iter().find(|version| version.change == request.change);
            let generation = earlier.map_or(0, |version| version.generation);
            return Ok(ChangeOutcome::Accepted { revision: record.revision, generation });
        }
    }
    if *basis.get_or_insert(revision) != revision {
        return Ok(ChangeOutcome::Conflict { current: stored });
    }
    let value = next_value(request, stored.as_ref());
    let json = value.to_json();
    if json.len() > MAX_VALUE_BYTES {
        let reason = format!(
            "the value has {} bytes, more than the maximum of {MAX_VALUE_BYTES}",
            json.len()
        );
        return Ok(ChangeOutcome::Refused(reason));
    }
    *sent = true;
    let reply = store.write(&request.key, revision, &json).await?;
    if reply.written {
        let generation = value.current.generation;
        return Ok(ChangeOutcome::Accepted { revision: reply.revision, generation });
    }
    // The swap failed because of an earlier write of this change or because of another author's; the
    // next attempt reads the key and finds out which.
    Err(StoreError::Indeterminate("the key changed between the read and the write".into()))
}

fn next_value(request: &ChangeRequest, stored: Option<&StoredValue>) -> StoredValue {
    let stored_generation = stored.map_or(0, |value| value.current.generation);
    let version = ValueVersion {
        change: request.change.clone(),
        generation: stored_generation.max(request.fleet_generation) + 1,
        deleted: request.text.is_none(),
        author: request.author.clone(),
        changed_at: request.changed_at,
        text: request.text.clone().unwrap_or_default(),
    };
    StoredValue::after(stored, version)
}

fn parse_record(record: &KeyRecord) -> Result<StoredValue, StoreError> {
    StoredValue::from_json(&record.value).map_err(|error| {
        StoreError::Refused(format!(
            "the value of {} was not written by wingbridge: {error}",
            record.key
        ))
    })
}
