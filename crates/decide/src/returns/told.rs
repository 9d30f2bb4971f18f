//! Recognition of callers that come back, in the box that refused them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::time::TimePoint;

/// Maximum number of refusals that are remembered.
pub const MAX_TOLD: usize = 4096;
/// Time before the told one from which on a return counts as kept. The caller's clock and this box's may differ in
/// resolution.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
/// Time after the told one up to which a return counts as kept. The answer and the request take some time, and a
/// loaded caller returns late.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// How a request relates to earlier refusals of this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnArrival {
    /// No return of it is expected.
    New,
    /// It comes when it was told to.
    Kept,
    /// It comes earlier than it was told to.
    Early,
}

/// The refusals of a box, by which it recognizes returns.
///
/// Requests with the same content have the same fingerprint. Each refusal gives precedence to one return.
#[derive(Debug, Default)]
pub struct ToldReturns {
    /// Times for which returns were told.
    expected: HashMap<Fingerprint, Vec<TimePoint>>,
    /// All refusals, oldest first, including those whose return has come.
    order: VecDeque<(Fingerprint, TimePoint)>,
    missed: u64,
}

impl ToldReturns {
    /// Records that the caller of a request was told to return at `at`.
    pub fn record(&mut self, now: TimePoint, fingerprint: Fingerprint, at: TimePoint) {
        self.expire(now);
        if self.order.len() >= MAX_TOLD {
            self.drop_oldest();
        }
        self.order.push_back((fingerprint, at));
        self.expected.entry(fingerprint).or_default().push(at);
    }

    /// Returns whether a request comes when it was told to. Each told return is kept once.
    pub fn is_due(&mut self, now: TimePoint, fingerprint: Fingerprint) -> bool {
        self.arrival(now, fingerprint) == ReturnArrival::Kept
    }

    /// Returns how a request relates to earlier refusals. Each told return is kept once.
    pub fn arrival(&mut self, now: TimePoint, fingerprint: Fingerprint) -> ReturnArrival {
        self.expire(now);
        let Some(times) = self.expected.get_mut(&fingerprint) else {
            return ReturnArrival::New;
        };
        let is_kept =
            |at: &TimePoint| now >= at.before(EARLY_TOLERANCE) && now <= *at + LATE_TOLERANCE;
        if let Some(index) = times.iter().position(is_kept) {
            times.swap_remove(index);
            if times.is_empty() {
                self.expected.remove(&fingerprint);
            }
            return ReturnArrival::Kept;
        }
        let is_early = times.iter().any(|at| now < *at);
        if is_early { ReturnArrival::Early } else { ReturnArrival::New }
    }

    /// Returns the number of returns since the last call that did not come to this box in time. They may have come
    /// to other boxes.
    pub fn take_missed(&mut self) -> u64 {
        std::mem::take(&mut self.missed)
    }

    /// Returns the number of refusals that are remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn expire(&mut self, now: TimePoint) {
        while self.order.front().is_some_and(|(_, at)| now > *at + LATE_TOLERANCE) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((fingerprint, at)) = self.order.pop_front() else {
            return;
        };
        let Some(times) = self.expected.get_mut(&fingerprint) else {
            return;
        };
        if let Some(index) = times.iter().position(|known| *known == at) {
            times.swap_remove(index);
            self.missed += 1;
        }
        if times.is_empty() {
            self.expected.remove(&fingerprint);
        }
    }
}
