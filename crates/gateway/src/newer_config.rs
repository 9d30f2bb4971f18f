//! A configuration that is newer than the one that this box holds, and who has it.

use std::net::IpAddr;
use std::time::Instant;

use rand::seq::IndexedRandom;

/// Boxes that are remembered for one configuration.
const HOLDERS: usize = 64;

/// The newest configuration that peers were heard to hold.
#[derive(Debug, Default)]
pub(crate) struct NewerConfig {
    revision: u64,
    /// When this box first heard that there is a newer one than its own.
    heard: Option<Instant>,
    near: Vec<IpAddr>,
    far: Vec<IpAddr>,
}

impl NewerConfig {
    /// Notes that the box at `host` holds the configuration of `revision`, while this box
    /// holds that of `held`. Returns whether it is the first to say so.
    pub(crate) fn record(&mut self, host: IpAddr, is_near: bool, revision: u64, held: u64) -> bool {
        self.settle(held);
        if revision <= held || revision < self.revision {
            return false;
        }
        let first = revision > self.revision;
        if first {
            *self = NewerConfig { revision, heard: self.heard, ..NewerConfig::default() };
            self.heard.get_or_insert_with(Instant::now);
        }
        let holders = if is_near { &mut self.near } else { &mut self.far };
        if !holders.contains(&host) && holders.len() < HOLDERS {
            holders.push(host);
        }
        first
    }

    /// Forgets what is no news for a box that holds the configuration of `held`.
    pub(crate) fn settle(&mut self, held: u64) {
        if self.revision <= held {
            *self = NewerConfig::default();
        }
    }

    /// Takes the box at `host` for one that can't hand it over now.
    pub(crate) fn remove_seeder(&mut self, host: IpAddr) {
        self.near.retain(|known| *known != host);
        self.far.retain(|known| *known != host);
    }

    /// A box to ask; one of another data centre only if there is none here and `far` allows it.
    pub(crate) fn pick(&self, far: bool) -> Option<IpAddr> {
        let near = self.near.choose(&mut rand::rng()).copied();
        near.or_else(|| self.far.choose(&mut rand::rng()).copied().filter(|_| far))
    }

    /// Since when a newer one is known, and its revision; `None` if there is none.
    pub(crate) fn pending(&self) -> Option<(Instant, u64)> {
        self.heard.map(|heard| (heard, self.revision))
    }
}
