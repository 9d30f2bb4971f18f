//! The time budget of a change: how the time from a write to the store until the change is in force
//! in all boxes is divided into stages.
//!
//! It starts when the store confirms the write and ends when the last box applies the change:
//!
//! | stage | share of the time | of 2.5 s |
//! |---|---|---|
//! | until the first box reads the store | up to [`READ_SHARE`] | 0.88 s |
//! | the reading; boxes with much link capacity read first | 0.05 s at 200 Mbit/s for a megabyte | 0.05 s |
//! | a datagram notifies the data centre | one round trip | 0.01 s |
//! | peers fetch the change from any box that has it | up to [`FETCH_SHARE`] from one of them | 0.1 to 0.5 s |
//! | decoding and applying the change | processor time | 0.1 s |
//!
//! A change is therefore usually in force after at most 0.45 of its time. The rest is reserved for a
//! reader that fails: boxes whose view ages read the store themselves. The lower their read priority,
//! the later they read, but early enough that a long reading ends in time.

use std::time::Duration;

/// Age of the view at which the first box reads, as a share of the time budget. If the reading fails,
/// boxes of the next two read priorities can still read in time.
const READ_SHARE: f64 = 0.35;
/// Additional age of the view for each lower read priority, as a share of the time budget.
const PRIORITY_SHARE: f64 = 0.08;
/// Number of read priorities with ages of their own. All lower ones share one age, apart from the
/// spread.
const MAX_PRIORITIES: usize = 4;
/// Maximum random increase of the age, as a share of it, so that boxes of the same read priority don't
/// read at the same time.
const MAX_SPREAD: f64 = 0.1;
/// Timeout of one request to one peer, as a share of the time budget. A peer that takes longer is
/// overloaded, and by then another one has the change.
const FETCH_SHARE: f64 = 0.2;
/// Timeout for fetching a configuration from one peer, as a share of the time budget. A configuration
/// of a megabyte that is sent in full has about 250 KB; sent to three boxes at once, that takes a link
/// with 10 Mbit/s 0.6 s.
const CONFIG_FETCH_SHARE: f64 = 0.3;
/// Time in which a configuration is requested only from the peers that have it, before the store is
/// read as well, as a share of the time budget. At 10 Mbit/s, a third of a second carries 400 KB.
const PEERS_ONLY_SHARE: f64 = 0.15;
/// Time reserved after a reading for applying the change, as a share of the time budget.
const APPLY_SHARE: f64 = 0.15;
/// Age of the configuration at which boxes of other data centres are asked for it, as a share of the
/// time budget. Traffic between data centres has a cost, and by then the readings of the own data
/// centre have failed.
const REMOTE_SHARE: f64 = 0.7;
/// Bytes sent per byte of a value: the store encodes values in base64, four bytes for three.
const STORE_BYTES_PER_BYTE: f64 = 4.0 / 3.0;

/// The time within which a change must be in force, divided into stages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChangeBudget {
    total: Duration,
}

impl ChangeBudget {
    pub(crate) fn new(change_time: Duration) -> ChangeBudget {
        ChangeBudget { total: change_time }
    }

    /// Returns the time within which a change must be in force.
    pub(crate) fn total(self) -> Duration {
        self.total
    }

    /// Returns the age of the view at which a box with this read priority, 0 for the first, reads the
    /// store. `spread` is a random number from 0 to 1.
    pub(crate) fn read_age(self, priority: usize, spread: f64) -> Duration {
        let share = READ_SHARE + PRIORITY_SHARE * priority.min(MAX_PRIORITIES) as f64;
        let spread = if priority == 0 { 0.0 } else { MAX_SPREAD * spread };
        self.part(share * (1.0 + spread))
    }

    /// Returns the age at which a box reads a configuration whose reading takes `transfer`. It is
    /// [`read_age`](Self::read_age), but early enough for the reading to end in time, and not before
    /// the first boxes in read priority are due.
    pub(crate) fn config_read_age(
        self,
        priority: usize,
        spread: f64,
        transfer: Duration,
    ) -> Duration {
        let latest = self.total.saturating_sub(transfer + self.part(APPLY_SHARE));
        let earliest = self.read_age(priority.min(1), spread);
        self.read_age(priority, spread).min(latest).max(earliest)
    }

    /// Returns the time in which a configuration is requested only from peers, before the store is read.
    pub(crate) fn peers_only_time(self) -> Duration {
        self.part(PEERS_ONLY_SHARE)
    }

    /// Returns the timeout of one request to one peer.
    pub(crate) fn fetch_timeout(self) -> Duration {
        self.part(FETCH_SHARE)
    }

    /// Returns the timeout for fetching a configuration from one peer.
    pub(crate) fn config_fetch_timeout(self) -> Duration {
        self.part(CONFIG_FETCH_SHARE)
    }

    /// Returns the age of the configuration at which boxes of other data centres are asked for a newer
    /// one.
    pub(crate) fn remote_fetch_age(self) -> Duration {
        self.part(REMOTE_SHARE)
    }

    /// Returns the time for which a newer configuration that only boxes of other data centres have reported is
    /// left to the first two readers of the own data centre.
    pub(crate) fn remote_wait(self) -> Duration {
        self.read_age(1, 1.0)
    }

    fn part(self, share: f64) -> Duration {
        self.total.mul_f64(share)
    }
}

/// Returns the time that the store takes to send `bytes` over a link of `link_mbps`; zero if the
/// capacity of the link is not known.
pub(crate) fn transfer_time(bytes: usize, link_mbps: u32) -> Duration {
    if link_mbps == 0 {
        return Duration::ZERO;
    }
    let bits = bytes as f64 * STORE_BYTES_PER_BYTE * 8.0;
    Duration::from_secs_f64(bits / (f64::from(link_mbps) * 1e6))
}
