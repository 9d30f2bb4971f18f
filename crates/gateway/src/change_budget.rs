//! How the time that a change has is spent, stage by stage, in one place.
//!
//! From the store's word that it took a change until the last box works by it:
//!
//! | stage | part of the time | of 2.5 s |
//! |---|---|---|
//! | until the first box reads the store | up to [`READ_SHARE`] | 0.88 s |
//! | the reading; boxes with much room read first | 0.05 s at 200 Mbit/s for a megabyte | 0.05 s |
//! | a datagram tells the data centre | one round trip | 0.01 s |
//! | peers fetch what is new, from whoever has it | up to [`FETCH_SHARE`] from one of them | 0.1 to 0.5 s |
//! | taken apart and put in force | processor time | 0.1 s |
//!
//! So a change is usually in force at 0.45 of its time at the latest. The rest is for a reader
//! that fails: boxes that see the age of what they know grow read for themselves, later ones
//! first if their reading takes long, so that it ends in time.

use std::time::Duration;

/// Age of the view at which the first box reads, as a share of the time by which a change
/// must be in force: a reading may fail and be made by two more ranks in time.
const READ_SHARE: f64 = 0.35;
/// How much older the view may be at each further rank, as a share of the same.
const RANK_SHARE: f64 = 0.08;
/// Ranks that are told apart; all further ones read at the same age, with the spread below.
const RANKS: usize = 4;
/// Ages are spread by up to this share, so that boxes of a rank do not read in step.
const SPREAD: f64 = 0.1;
/// Part of the time for one question to one peer: one that takes longer is overloaded, and
/// another one has it by then.
const FETCH_SHARE: f64 = 0.2;
/// The same for a configuration: a megabyte that is sent whole has some 250 KB, which take a
/// link with 10 Mbit/s 0.6 s for three boxes at once.
const WHOLE_SHARE: f64 = 0.3;
/// Part of the time in which peers are asked alone for a configuration that they have, before
/// the store is asked as well: at 10 Mbit/s a third of a second carries 400 KB.
const PEERS_SHARE: f64 = 0.15;
/// Part of the time that is left at the end of a reading, to put it in force.
const APPLY_SHARE: f64 = 0.15;
/// Part of the time after which boxes of other data centres are asked for a configuration,
/// where bytes have a price: readings of the own one have failed by then.
const FAR_SHARE: f64 = 0.7;
/// The store sends values in base64: four bytes for three.
const STORE_BYTES_PER_BYTE: f64 = 4.0 / 3.0;

/// The time by which a change must be in force, and its parts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChangeBudget {
    whole: Duration,
}

impl ChangeBudget {
    pub(crate) fn new(change_time: Duration) -> ChangeBudget {
        ChangeBudget { whole: change_time }
    }

    /// All of it.
    pub(crate) fn total(self) -> Duration {
        self.whole
    }

    /// The age of the view at which the box of `rank` reads; `spread` is from 0 to 1.
    pub(crate) fn read_age(self, rank: usize, spread: f64) -> Duration {
        let share = READ_SHARE + RANK_SHARE * rank.min(RANKS) as f64;
        let spread = if rank == 0 { 0.0 } else { SPREAD * spread };
        self.part(share * (1.0 + spread))
    }

    /// The same for a configuration of which a reading takes `transfer`: no later than it must
    /// begin to end in time, and not before the first two ranks have had their turn.
    pub(crate) fn config_read_age(self, rank: usize, spread: f64, transfer: Duration) -> Duration {
        let latest = self.whole.saturating_sub(transfer + self.part(APPLY_SHARE));
        let earliest = self.read_age(rank.min(1), spread);
        self.read_age(rank, spread).min(latest).max(earliest)
    }

    /// How long peers that have a configuration are asked for it before the store is.
    pub(crate) fn peers_only_time(self) -> Duration {
        self.part(PEERS_SHARE)
    }

    /// Time for one question to one peer.
    pub(crate) fn fetch_timeout(self) -> Duration {
        self.part(FETCH_SHARE)
    }

    /// Time for a configuration from one peer.
    pub(crate) fn config_fetch_timeout(self) -> Duration {
        self.part(WHOLE_SHARE)
    }

    /// Age of the configuration at which boxes of other data centres are asked for a newer one.
    pub(crate) fn remote_fetch_age(self) -> Duration {
        self.part(FAR_SHARE)
    }

    fn part(self, share: f64) -> Duration {
        self.whole.mul_f64(share)
    }
}

/// How long the store takes to send `bytes` over a link of `link_mbps`; nothing if the link's
/// room is not known.
pub(crate) fn transfer_time(bytes: usize, link_mbps: u32) -> Duration {
    if link_mbps == 0 {
        return Duration::ZERO;
    }
    let bits = bytes as f64 * STORE_BYTES_PER_BYTE * 8.0;
    Duration::from_secs_f64(bits / (f64::from(link_mbps) * 1e6))
}
