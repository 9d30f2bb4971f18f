//! A value as it stands in the store: the text, and who changed it when.

use serde::{Deserialize, Serialize};
use wingbridge_wire::{Entry, Stamp};

/// Earlier versions that are kept in the value.
const HISTORY: usize = 8;
/// Longest value, below the store's megabyte. Older history gives way first.
pub const MAX_VALUE_BYTES: usize = 900_000;

/// A key's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The version in force.
    pub current: ValueVersion,
    /// Earlier versions, the latest first.
    pub history: Vec<ValueVersion>,
}

/// One version of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueVersion {
    /// The change's id.
    pub change: String,
    /// Counts the changes of the key.
    pub generation: u64,
    /// Whether the key is deleted by it.
    pub deleted: bool,
    /// Who changed it.
    pub author: String,
    /// When, in milliseconds since 1970, on the author's clock.
    pub changed_at: u64,
    /// The text.
    pub text: String,
}

impl StoredValue {
    /// The value after `version`, with what was in force before as history.
    pub fn after(earlier: Option<&StoredValue>, version: ValueVersion) -> StoredValue {
        let mut history = Vec::new();
        if let Some(earlier) = earlier {
            history.push(earlier.current.clone());
            history.extend(earlier.history.iter().take(HISTORY - 1).cloned());
        }
        let mut value = StoredValue { current: version, history };
        while value.to_json().len() > MAX_VALUE_BYTES && value.history.pop().is_some() {}
        value
    }

    /// Reads a value.
    ///
    /// # Errors
    /// It is not one that wingbridge wrote.
    pub fn from_json(text: &str) -> Result<StoredValue, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Writes the value.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("strings and numbers can be written as JSON")
    }

    /// The entry that boxes exchange: without the history.
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
