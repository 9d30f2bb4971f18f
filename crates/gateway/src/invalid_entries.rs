//! Entries of a configuration that can't be used, each of which affects nothing but itself.
//!
//! When a configuration was refused as a whole because of one such entry, no change could take
//! effect any more, and a box that had just started answered no caller. The replacement for an
//! invalid entry depends on the configuration alone, so it is the same in every box, however the
//! configuration arrived there.

/// Maximum number of invalid entries that are logged individually; the others are only counted.
const MAX_LOGGED: usize = 16;
/// Number of characters kept of a name and of a reason: either may repeat the contents of the entry.
const MAX_TEXT_CHARS: usize = 200;

/// An entry of a configuration that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidEntry {
    /// Table of the configuration that contains the entry.
    pub table: &'static str,
    /// Name of the entry in its table; empty if the table itself is invalid.
    pub name: String,
    /// Reason why the entry can't be used.
    pub reason: String,
    /// Description of what is in force in its place.
    pub instead: &'static str,
}

/// The invalid entries of one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InvalidEntries {
    count: usize,
    logged: Vec<InvalidEntry>,
}

impl InvalidEntry {
    /// Creates an entry that is ignored, as if it were not in its table.
    pub fn excluded(table: &'static str, name: &str, reason: &str) -> InvalidEntry {
        InvalidEntry::replaced(table, name, reason, "nothing")
    }

    /// Creates an entry that is replaced by what `instead` describes.
    pub fn replaced(
        table: &'static str,
        name: &str,
        reason: &str,
        instead: &'static str,
    ) -> InvalidEntry {
        InvalidEntry { table, name: truncated(name), reason: truncated(reason), instead }
    }
}

impl InvalidEntries {
    /// Counts an entry, and keeps it for the log if there is room.
    pub fn add(&mut self, entry: InvalidEntry) {
        self.count += 1;
        if self.logged.len() < MAX_LOGGED {
            self.logged.push(entry);
        }
    }

    /// Returns the number of invalid entries, including those that are not logged individually.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the entries that are logged individually, at most the first 16.
    pub fn logged(&self) -> &[InvalidEntry] {
        &self.logged
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
