//! Tracks the newest configuration that peers have and this box lacks, and the peers that have it.

use std::net::IpAddr;
use std::time::Instant;

use rand::seq::IndexedRandom;

use crate::store_revision::ConfigId;

/// Number of seeders that are remembered in each group, local and remote.
const MAX_SEEDERS: usize = 64;

/// The newest configuration that peers have reported, if it is newer than the one held here.
#[derive(Debug, Default)]
pub(crate) struct NewerConfig {
    id: ConfigId,
    /// Time at which this box first learned of a configuration newer than its own.
    learned_at: Option<Instant>,
    local: Vec<IpAddr>,
    remote: Vec<IpAddr>,
}

impl NewerConfig {
    /// Records that the box at `host` has the configuration `id`, which this box wants. Returns whether
    /// this is the first report of that configuration.
    pub(crate) fn record(&mut self, host: IpAddr, is_local: bool, id: ConfigId) -> bool {
        let first = id.is_newer_than(self.id);
        if !first && id != self.id {
            return false;
        }
        if first {
            *self = NewerConfig { id, learned_at: self.learned_at, ..NewerConfig::default() };
            self.learned_at.get_or_insert_with(Instant::now);
        }
        let seeders = if is_local { &mut self.local } else { &mut self.remote };
        if !seeders.contains(&host) && seeders.len() < MAX_SEEDERS {
            seeders.push(host);
        }
        first
    }

    /// Clears the record unless this box wants the configuration, as told by `is_wanted`.
    pub(crate) fn clear_unless(&mut self, is_wanted: impl Fn(ConfigId) -> bool) {
        if !is_wanted(self.id) {
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

    /// Returns when a newer configuration was first learned of, and the newest one; `None` if
    /// no newer one is known.
    pub(crate) fn pending(&self) -> Option<(Instant, ConfigId)> {
        self.learned_at.map(|learned_at| (learned_at, self.id))
    }
}
