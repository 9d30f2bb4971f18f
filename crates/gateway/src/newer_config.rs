//! Tracks the newest configuration that peers have and this box lacks, and the peers that have it.

use std::net::IpAddr;
use std::time::Instant;

use rand::seq::IndexedRandom;

/// Number of seeders that are remembered in each group, local and remote.
const MAX_SEEDERS: usize = 64;

/// The newest configuration that peers have reported, if it is newer than the one held here.
#[derive(Debug, Default)]
pub(crate) struct NewerConfig {
    revision: u64,
    /// Time at which this box first learned of a configuration newer than its own.
    learned_at: Option<Instant>,
    local: Vec<IpAddr>,
    remote: Vec<IpAddr>,
}

impl NewerConfig {
    /// Records that the box at `host` has the configuration of `revision`, while this box has the
    /// configuration of the revision `held`. Returns whether this is the first report of that
    /// revision.
    pub(crate) fn record(
        &mut self,
        host: IpAddr,
        is_local: bool,
        revision: u64,
        held: u64,
    ) -> bool {
        self.clear_if_held(held);
        if revision <= held || revision < self.revision {
            return false;
        }
        let first = revision > self.revision;
        if first {
            *self = NewerConfig { revision, learned_at: self.learned_at, ..NewerConfig::default() };
            self.learned_at.get_or_insert_with(Instant::now);
        }
        let seeders = if is_local { &mut self.local } else { &mut self.remote };
        if !seeders.contains(&host) && seeders.len() < MAX_SEEDERS {
            seeders.push(host);
        }
        first
    }

    /// Clears the record if the configuration of this box, of the revision `held`, is at least as
    /// new.
    pub(crate) fn clear_if_held(&mut self, held: u64) {
        if self.revision <= held {
            *self = NewerConfig::default();
        }
    }

    /// Removes the box at `host` from the seeders because it could not deliver the configuration.
    pub(crate) fn remove_seeder(&mut self, host: IpAddr) {
        self.local.retain(|known| *known != host);
        self.remote.retain(|known| *known != host);
    }

    /// Chooses a seeder at random: one in this data centre, or, if there is none and
    /// `allow_remote` is set, one in another data centre.
    pub(crate) fn choose_seeder(&self, allow_remote: bool) -> Option<IpAddr> {
        let local = self.local.choose(&mut rand::rng()).copied();
        local.or_else(|| self.remote.choose(&mut rand::rng()).copied().filter(|_| allow_remote))
    }

    /// Returns when a newer configuration was first learned of, and its newest revision; `None` if
    /// no newer one is known.
    pub(crate) fn pending(&self) -> Option<(Instant, u64)> {
        self.learned_at.map(|learned_at| (learned_at, self.revision))
    }
}
