//! Limit on the number of peers that a box sends long replies to at the same time.
//!
//! Sent to all peers at once, the replies would share the box's link and none would arrive in time.
//! Peers that have received one serve the others.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Minimum number of concurrent transfers. With three, the number of boxes that hold the data grows
/// fourfold in the time of three transfers, which is close to the optimum for one link.
const MIN_SLOTS: usize = 3;
/// Link capacity, in megabits per second, for each slot beyond the minimum. On links with less
/// capacity than this, sending replies one after the other is too slow.
const MBPS_PER_SLOT: u32 = 15;

/// Minimum time before a busy peer is asked again; the maximum is twice that.
pub(crate) const BUSY_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The transfer slots of a box.
#[derive(Debug)]
pub(crate) struct TransferSlots {
    in_use: AtomicUsize,
    max: usize,
}

/// A transfer slot that is held until this value is dropped.
#[derive(Debug)]
pub(crate) struct TransferSlot<'a> {
    slots: &'a TransferSlots,
}

impl TransferSlots {
    /// Creates the slots of a box whose link has `link_mbps`; 0 stands for an unknown capacity.
    pub(crate) fn new(link_mbps: u32) -> TransferSlots {
        TransferSlots {
            in_use: AtomicUsize::new(0),
            max: MIN_SLOTS + (link_mbps / MBPS_PER_SLOT) as usize,
        }
    }

    /// Acquires a slot. Returns `None` if all are in use.
    pub(crate) fn try_acquire(&self) -> Option<TransferSlot<'_>> {
        if self.in_use.fetch_add(1, Ordering::Relaxed) >= self.max {
            self.in_use.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(TransferSlot { slots: self })
    }
}

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        self.slots.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}
