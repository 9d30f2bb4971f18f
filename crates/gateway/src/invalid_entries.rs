//! Entries of a configuration that can't be used as they stand, each of which costs only itself.
//!
//! A configuration that was refused whole for one of them stopped every change for everybody, and a
//! box that had just started answered nobody. What an odd entry leads to is read off the
//! configuration alone, so that it is the same in each box, however the configuration came there.

/// Odd entries that are told one by one; of more, the count is.
const MAX_LOGGED: usize = 16;
/// Signs of a name and of a reason that are kept: either may repeat what stands in the entry.
const TEXT_LENGTH: usize = 200;

/// An entry that can't be used as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidEntry {
    /// The table that it stands in.
    pub table: &'static str,
    /// Its name there.
    pub name: String,
    /// What is odd.
    pub reason: String,
    /// What is in force in its place.
    pub instead: &'static str,
}

/// The odd entries of one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InvalidEntries {
    count: usize,
    logged: Vec<InvalidEntry>,
}

impl InvalidEntry {
    /// One that is as if it did not stand there.
    pub fn excluded(table: &'static str, name: &str, reason: &str) -> InvalidEntry {
        InvalidEntry::replaced(table, name, reason, "nothing")
    }

    /// One with something else in its place.
    pub fn replaced(
        table: &'static str,
        name: &str,
        reason: &str,
        instead: &'static str,
    ) -> InvalidEntry {
        InvalidEntry { table, name: shortened(name), reason: shortened(reason), instead }
    }
}

impl InvalidEntries {
    /// Adds one.
    pub fn add(&mut self, entry: InvalidEntry) {
        self.count += 1;
        if self.logged.len() < MAX_LOGGED {
            self.logged.push(entry);
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The first of them.
    pub fn logged(&self) -> &[InvalidEntry] {
        &self.logged
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(TEXT_LENGTH).collect()
}
