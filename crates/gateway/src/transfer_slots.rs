//! How many peers a box sends something long to at once.
//!
//! All of them at once would share its link so that none has it in time; those that have it first hand it on.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Peers at once, at least. With three the holders grow fourfold in the time of three transfers, which is
/// near the best that one link can do.
const PLACES: usize = 3;
/// One more for each such part of the link, in megabits a second: boxes with less room than
/// this are the ones for which sending one after the other is too slow.
const MBPS_EACH: u32 = 15;

/// Wait before a peer is asked again that sends to others, at least; twice that at most.
pub(crate) const BUSY_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The places of a box.
#[derive(Debug)]
pub(crate) struct TransferSlots {
    taken: AtomicUsize,
    most: usize,
}

/// A place that is taken until it is dropped.
#[derive(Debug)]
pub(crate) struct TransferSlot<'a> {
    slots: &'a TransferSlots,
}

impl TransferSlots {
    /// The places of a box with a link of `link_mbps`.
    pub(crate) fn new(link_mbps: u32) -> TransferSlots {
        TransferSlots {
            taken: AtomicUsize::new(0),
            most: PLACES + (link_mbps / MBPS_EACH) as usize,
        }
    }

    /// A place, unless all are taken.
    pub(crate) fn try_acquire(&self) -> Option<TransferSlot<'_>> {
        if self.taken.fetch_add(1, Ordering::Relaxed) >= self.most {
            self.taken.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(TransferSlot { slots: self })
    }
}

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        self.slots.taken.fetch_sub(1, Ordering::Relaxed);
    }
}
