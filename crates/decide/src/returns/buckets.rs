//! Counts of told returns by the time for which they were told.

use std::time::Duration;

use crate::time::TimePoint;

/// Length of a bucket of the counts that boxes report to each other.
pub const BUCKET: Duration = Duration::from_millis(100);
/// Number of buckets that boxes report to each other.
pub const REPORTED_BUCKETS: usize = 16;
/// Number of slots in a bucket. With whole buckets as slots, returns of boxes that each have some in every second
/// bucket came in the same buckets: 1.7 times the mean.
pub(super) const SLOTS_PER_BUCKET: usize = 4;
/// Length of a slot of a schedule.
pub(super) const SLOT: Duration = Duration::from_millis(25);
/// Number of slots that a schedule plans ahead. Callers wait for a third of the time that they have left, which is
/// below this for all requests with less than 19 s.
pub(super) const PLANNED_SLOTS: usize = 256;

/// Counts of this box's told returns in each slot from the current one on.
#[derive(Debug, Clone)]
pub(super) struct ReturnSlots {
    /// Number of the first slot since the origin of the clock.
    first: u64,
    counts: [u16; PLANNED_SLOTS],
}

impl Default for ReturnSlots {
    fn default() -> ReturnSlots {
        ReturnSlots { first: 0, counts: [0; PLANNED_SLOTS] }
    }
}

impl ReturnSlots {
    /// Drops the slots before `now`. A clock that went backwards leaves the slots as they are.
    pub(super) fn advance(&mut self, now: TimePoint) {
        let first = slot_of(now);
        let passed = first.saturating_sub(self.first);
        let shift = usize::try_from(passed).unwrap_or(usize::MAX).min(PLANNED_SLOTS);
        self.counts.copy_within(shift.., 0);
        self.counts[PLANNED_SLOTS - shift..].fill(0);
        self.first = self.first.max(first);
    }

    /// Returns the counts, beginning with the slot of the last [`Self::advance`].
    pub(super) fn counts(&self) -> &[u16; PLANNED_SLOTS] {
        &self.counts
    }

    /// Returns whether no return is counted.
    pub(super) fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }

    /// Counts a return in the slot of `at`; one outside the planned slots is not counted.
    pub(super) fn add(&mut self, at: TimePoint) {
        if let Some(index) = self.index_of(at) {
            self.counts[index] = self.counts[index].saturating_add(1);
        }
    }

    /// Returns the sums of the next [`REPORTED_BUCKETS`] buckets.
    pub(super) fn bucket_sums(&self) -> [u32; REPORTED_BUCKETS] {
        let mut sums = [0; REPORTED_BUCKETS];
        for (sum, slots) in sums.iter_mut().zip(self.counts.chunks_exact(SLOTS_PER_BUCKET)) {
            *sum = slots.iter().map(|count| u32::from(*count)).sum();
        }
        sums
    }

    /// Returns the index of the slot of `at`, if it is a planned one.
    pub(super) fn index_of(&self, at: TimePoint) -> Option<usize> {
        let index = usize::try_from(slot_of(at).checked_sub(self.first)?).ok()?;
        (index < PLANNED_SLOTS).then_some(index)
    }

    /// Returns the start of the slot at `index`.
    pub(super) fn start(&self, index: usize) -> TimePoint {
        let number = self.first + index as u64;
        TimePoint::from_micros(number.saturating_mul(SLOT.as_micros() as u64))
    }
}

/// The counts that a peer has reported, with the time of its report.
#[derive(Debug)]
pub(super) struct PeerBuckets {
    pub(super) made: TimePoint,
    pub(super) counts: [u16; REPORTED_BUCKETS],
}

impl PeerBuckets {
    /// Adds the counts to the slots of `sums`, which begin with those of `own`.
    pub(super) fn add_to(&self, own: &ReturnSlots, sums: &mut [f64; PLANNED_SLOTS]) {
        for (bucket, count) in self.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            let start = self.made + BUCKET * bucket as u32;
            let part = f64::from(*count) / SLOTS_PER_BUCKET as f64;
            for slot in 0..SLOTS_PER_BUCKET as u32 {
                if let Some(index) = own.index_of(start + SLOT * slot) {
                    sums[index] += part;
                }
            }
        }
    }
}

fn slot_of(time: TimePoint) -> u64 {
    time.as_micros() / SLOT.as_micros() as u64
}
