//! When a long listing of targets is read in full although the store could be polled for its changes.

use std::time::{Duration, Instant};

/// Time after which a long listing is read in full, which adds changes that the polls may have missed.
pub const FULL_LISTING_PERIOD: Duration = Duration::from_secs(12);
/// Time without own reads after which a read counts as the start of a new series: this box has taken over the reads
/// for its data centre.
const READER_GAP: Duration = Duration::from_secs(5);

/// The times of a box's reads of the store.
#[derive(Debug, Default)]
pub struct ListingSchedule {
    /// Time from which the period counts; `None` before the first full listing.
    listed_at: Option<Instant>,
    /// Time at which this box last began to read the store.
    read_at: Option<Instant>,
}

impl ListingSchedule {
    /// Records a read that begins at `now`. Returns whether it must be a full one. `spread` is a random number from 0
    /// to 1.
    ///
    /// The first read of a box is a full one: listings of peers lack the notes in the store. A box that takes over the
    /// reads goes on from the listing of a peer, and lists at a random time within the period. So full listings come
    /// as often as the period says, also if the reader changes more often than that.
    pub fn begin_read(&mut self, now: Instant, spread: f64) -> bool {
        let read_at = self.read_at.replace(now);
        let Some(listed_at) = self.listed_at else {
            return true;
        };
        let takes_over = read_at.is_some_and(|read| now - read >= READER_GAP);
        if !takes_over {
            return now - listed_at >= FULL_LISTING_PERIOD;
        }
        let since = FULL_LISTING_PERIOD.mul_f64(spread);
        self.listed_at = Some(now.checked_sub(since).unwrap_or(now));
        false
    }

    /// Records a full listing whose read began at `now`.
    pub fn record_listing(&mut self, now: Instant) {
        self.listed_at = Some(now);
    }
}
