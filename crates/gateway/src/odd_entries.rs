//! Entries of a configuration that can't be used as they stand, each of which costs only itself.
//!
//! A configuration that was refused whole for one of them stopped every change for everybody, and a
//! box that had just started answered nobody. What an odd entry leads to is read off the
//! configuration alone, so that it is the same in each box, however the configuration came there.

/// Odd entries that are told one by one; of more, the count is.
const TOLD: usize = 16;
/// Signs of a name and of a reason that are kept: either may repeat what stands in the entry.
const TEXT_LENGTH: usize = 200;

/// An entry that can't be used as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OddEntry {
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
pub struct OddEntries {
    count: usize,
    first: Vec<OddEntry>,
}

impl OddEntry {
    /// One that is as if it did not stand there.
    pub fn left_out(table: &'static str, name: &str, reason: &str) -> OddEntry {
        OddEntry::replaced(table, name, reason, "nothing")
    }

    /// One with something else in its place.
    pub fn replaced(
        table: &'static str,
        name: &str,
        reason: &str,
        instead: &'static str,
    ) -> OddEntry {
        OddEntry { table, name: shortened(name), reason: shortened(reason), instead }
    }
}

impl OddEntries {
    /// Adds one.
    pub fn note(&mut self, entry: OddEntry) {
        self.count += 1;
        if self.first.len() < TOLD {
            self.first.push(entry);
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The first of them.
    pub fn told(&self) -> &[OddEntry] {
        &self.first
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(TEXT_LENGTH).collect()
}
