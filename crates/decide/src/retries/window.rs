//! The windows in which a retry counts, and the requests that the bound counts for each of them.
//!
//! The bound holds for every window of 10 s. It counts the requests of the window, of the window before it, or of
//! the window that began half a window earlier, whichever is most. A retry is in all windows that begin within the
//! last 10 s, so it is checked against each of them. A check of the last window alone, with the largest of the
//! three counts, breaks the bound once demand falls: a window that begins later counts none of the requests by
//! which the retry was allowed.
//!
//! Peers report sums over the last window alone. Each sum is divided here over the time since the report before it,
//! so that counts of earlier windows are known as well.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::steer::ledger::RetryCounts;
use crate::time::TimePoint;

/// Length of a slot, the resolution in time, also of the reports to peers. A window may begin anywhere in a slot, so
/// the bound counts only the requests of whole slots. With slots of 250 ms and reports at 500 ms the budget was 8 %
/// smaller.
pub(crate) const SLOT: Duration = Duration::from_millis(125);
/// Time by which the oldest count in a report may precede the window: peers report whole slots.
const REPORT_OVERLAP: Duration = SLOT;
/// Time after which nearly all peers have received a report.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Retries and requests of one window that contains the present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowUse {
    /// Requests in the window up to now.
    pub within: u64,
    /// Requests in the window before it.
    pub before: u64,
    /// Requests up to now in the window that began half a window earlier.
    pub half_before: u64,
    /// Retries in the window up to now.
    pub retries: u64,
}

impl WindowUse {
    /// Returns the requests that the bound counts, for boxes that see those of all boxes.
    pub fn largest(&self) -> f64 {
        self.within.max(self.before).max(self.half_before) as f64
    }

    /// Returns the part of these boxes in the requests that the bound counts, for boxes that see only some of all.
    ///
    /// The bound counts the largest sum over all boxes, and a sum of largest counts may exceed that: with demand out
    /// of step between three data centres, by ±95 % over 20 s, there were 1.26 times as many retries as the bound
    /// allows. A mean with fixed weights does not, whatever the others count. The window before weighs most, since
    /// it is complete at the beginning of an incident; the others leave something to a service that was idle.
    pub fn part(&self) -> f64 {
        0.1 * self.within as f64 + 0.8 * self.before as f64 + 0.1 * self.half_before as f64
    }
}

/// Requests and retries of one service over time, of this box and of its peers.
#[derive(Debug)]
pub struct RetryHistory {
    window: Duration,
    own: CountSeries,
    /// The counts of each peer and when it last reported, by the peer's incarnation.
    peers: HashMap<u64, (CountSeries, TimePoint)>,
}

/// Counts in slots of time; slots without counts are left out.
#[derive(Debug, Default)]
struct CountSeries {
    slots: VecDeque<SlotCounts>,
}

#[derive(Debug, Clone, Copy)]
struct SlotCounts {
    slot: u64,
    requests: u32,
    retries: u32,
}

impl RetryHistory {
    /// Creates a history without counts for windows of that length.
    pub fn new(window: Duration) -> RetryHistory {
        RetryHistory { window, own: CountSeries::default(), peers: HashMap::new() }
    }

    /// Counts a request of this box.
    pub fn record_request(&mut self, now: TimePoint) {
        self.own.at(slot_of(now)).requests += 1;
        self.own.expire(self.first_slot(now));
    }

    /// Counts a retry of this box.
    pub fn record_retry(&mut self, now: TimePoint) {
        self.own.at(slot_of(now)).retries += 1;
    }

    /// Returns the retries of this box that some peers may not have received yet, because the report is late.
    pub fn own_recent_retries(&self, now: TimePoint) -> u32 {
        self.own.sums(slot_of(now.before(REPORT_DELAY))).1
    }

    /// Merges a report of the peer with the incarnation `peer`.
    ///
    /// New requests are divided evenly over the time since its last report. New retries count as made now, so that
    /// no window counts too few of them. Counts that the peer no longer reports have left its window: its retries are
    /// removed, or new ones would not be noticed, and its requests are kept for the windows before.
    pub fn record_peer(&mut self, now: TimePoint, peer: u64, counts: RetryCounts) {
        let first = self.first_slot(now);
        let oldest = slot_of(now.before(self.window + REPORT_OVERLAP));
        let begin = now.before(self.window);
        if !self.peers.contains_key(&peer) {
            // Restarted peers have new incarnations. The old ones must not stay for ever.
            self.drop_silent_peers(now);
        }
        let (series, received) = self.peers.entry(peer).or_insert((CountSeries::default(), begin));
        let (requests, retries) = series.sums(oldest);
        let (from, to) = (slot_of((*received).max(begin)), slot_of(now));
        series.add_evenly(from, to, counts.requests.saturating_sub(requests));
        series.at(to).retries += counts.retries.saturating_sub(retries);
        series.remove_oldest_retries(oldest, retries.saturating_sub(counts.retries));
        series.expire(first);
        *received = now;
    }

    /// Returns the windows that contain `now`, the one that ends now first. Only requests of peers count for which
    /// `is_responsive` returns true.
    pub fn windows(
        &mut self,
        now: TimePoint,
        is_responsive: impl Fn(u64) -> bool,
    ) -> Vec<WindowUse> {
        let first = self.first_slot(now);
        self.drop_silent_peers(now);
        let length = (slot_of(now) - first + 1) as usize;
        let mut requests = vec![0_u64; length];
        let mut retries = vec![0_u64; length];
        let peers = self.peers.iter().filter(|(peer, _)| is_responsive(**peer));
        for series in peers.map(|(_, (series, _))| series).chain([&self.own]) {
            for counts in series.slots.iter().filter(|counts| counts.slot >= first) {
                let index = ((counts.slot - first) as usize).min(length - 1);
                requests[index] += u64::from(counts.requests);
                retries[index] += u64::from(counts.retries);
            }
        }
        let requests = PrefixSums::of(&requests);
        let retries = PrefixSums::of(&retries);
        let slots = self.window_slots() as i64;
        let last = length as i64 - 1;
        // The window begins somewhere in the slot `begin`, so that only the slots after it are whole.
        let use_of = |begin: i64| WindowUse {
            within: requests.between(begin + 1, last),
            before: requests.between(begin - slots + 1, begin - 1),
            half_before: requests.between(begin - slots / 2 + 1, last.min(begin + slots / 2 - 1)),
            retries: retries.between(begin, last),
        };
        ((last - slots).max(0)..=last).map(use_of).collect()
    }

    fn drop_silent_peers(&mut self, now: TimePoint) {
        let window = self.window;
        self.peers.retain(|_, (_, received)| now.since(*received) < window + REPORT_OVERLAP);
    }

    fn window_slots(&self) -> u64 {
        (self.window.as_micros() / SLOT.as_micros()) as u64
    }

    /// Returns the first slot whose counts are needed: that of the window before the last one.
    fn first_slot(&self, now: TimePoint) -> u64 {
        slot_of(now).saturating_sub(2 * self.window_slots() + 1)
    }
}

impl CountSeries {
    /// Returns the counts of a slot, which is the newest one or one of the newest.
    fn at(&mut self, slot: u64) -> &mut SlotCounts {
        let index = self.slots.partition_point(|counts| counts.slot < slot);
        if self.slots.get(index).is_none_or(|counts| counts.slot != slot) {
            self.slots.insert(index, SlotCounts { slot, requests: 0, retries: 0 });
        }
        &mut self.slots[index]
    }

    /// Adds requests evenly to the slots after `from`, up to `to`.
    fn add_evenly(&mut self, from: u64, to: u64, requests: u32) {
        if requests == 0 {
            return;
        }
        let slots = to.saturating_sub(from).max(1);
        let until = |number: u64| u64::from(requests) * number / slots;
        for number in 0..slots {
            let part = until(number + 1) - until(number);
            if part > 0 {
                self.at(to - (slots - 1 - number).min(to)).requests += part as u32;
            }
        }
    }

    /// Removes `count` retries from the oldest slots that are not before `oldest`.
    fn remove_oldest_retries(&mut self, oldest: u64, mut count: u32) {
        for slot in self.slots.iter_mut().filter(|slot| slot.slot >= oldest) {
            let part = slot.retries.min(count);
            slot.retries -= part;
            count -= part;
        }
    }

    /// Returns the sums of requests and retries from the slot `first` on.
    fn sums(&self, first: u64) -> (u32, u32) {
        let recent = self.slots.iter().rev().take_while(|counts| counts.slot >= first);
        recent.fold((0, 0), |(requests, retries), counts| {
            (requests + counts.requests, retries + counts.retries)
        })
    }

    fn expire(&mut self, first: u64) {
        while self.slots.front().is_some_and(|counts| counts.slot < first) {
            self.slots.pop_front();
        }
    }
}

/// Sums of the first elements of a list.
struct PrefixSums(Vec<u64>);

impl PrefixSums {
    fn of(values: &[u64]) -> PrefixSums {
        let mut sum = 0;
        let sums = values.iter().map(|value| {
            sum += value;
            sum
        });
        PrefixSums([0].into_iter().chain(sums).collect())
    }

    /// Returns the sum of the elements from `first` to `last`, without those that are out of the list.
    fn between(&self, first: i64, last: i64) -> u64 {
        let index = |number: i64| number.clamp(0, self.0.len() as i64 - 1) as usize;
        self.0[index(last + 1)].saturating_sub(self.0[index(first)])
    }
}

fn slot_of(time: TimePoint) -> u64 {
    time.as_micros() / SLOT.as_micros() as u64
}
