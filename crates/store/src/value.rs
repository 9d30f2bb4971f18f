//! The format of values in the store: a text with its author, time of change and earlier versions.

use serde::{Deserialize, Serialize};
use wingbridge_wire::{Entry, Stamp};

/// Maximum number of earlier versions that a value holds.
const MAX_HISTORY: usize = 8;
/// Maximum size of a value in bytes, below the store's limit of one megabyte. The oldest versions of
/// the history are dropped to keep within it.
pub const MAX_VALUE_BYTES: usize = 900_000;

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The version in force.
    pub current: ValueVersion,
    /// Earlier versions, newest first.
    pub history: Vec<ValueVersion>,
}

/// One version of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueVersion {
    /// The id of the change that wrote this version.
    pub change: String,
    /// Number of the version, which rises with each change of the key.
    pub generation: u64,
    /// Whether this version deletes the key.
    pub deleted: bool,
    /// The author of the change.
    pub author: String,
    /// Time of the change on the author's clock, in milliseconds since 1970.
    pub changed_at: u64,
    /// The text; empty if the key is deleted.
    pub text: String,
}

impl StoredValue {
    /// Returns the value with `version` in force and the versions of `earlier` as its history, shortened
    /// to [`MAX_VALUE_BYTES`].
    pub fn after(earlier: Option<&StoredValue>, version: ValueVersion) -> StoredValue {
        let mut history = Vec::new();
        if let Some(earlier) = earlier {
            history.push(earlier.current.clone());
            history.extend(earlier.history.iter().take(MAX_HISTORY - 1).cloned());
        }
        let mut value = StoredValue { current: version, history };
        while value.to_json().len() > MAX_VALUE_BYTES && value.history.pop().is_some() {}
        value
    }

    /// Parses a value.
    ///
    /// # Errors
    /// The text is not a value that wingbridge wrote.
    pub fn from_json(text: &str) -> Result<StoredValue, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the value as JSON, the form in which the store holds it.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("strings and numbers can be written as JSON")
    }

    /// Returns the entry that boxes exchange for this value. It contains no earlier versions.
    pub fn to_entry(&self, key: &str, revision: u64) -> Entry {
        let current = &self.current;
        Entry {
            key: key.to_string(),
            stamp: Stamp {
                generation: current.generation,
                revision,
                change: current.change.clone(),
            },
            deleted: current.deleted,
            text: current.text.clone(),
            author: current.author.clone(),
            changed_at: current.changed_at,
        }
    }
}
