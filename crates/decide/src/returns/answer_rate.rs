//! The rate at which attempts at the targets of a service end with an answer.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::TimePoint;

/// Length of one interval of the window: the resolution with which old counts expire.
const INTERVAL: Duration = Duration::from_millis(500);
/// Number of intervals in the window, with the current one. Services are short of capacity for 3 to 20 s, so a window
/// of more than 4 s would give the capacity from before that. A box gets about one request a second, so a shorter one
/// would count too few.
const INTERVALS: u64 = 8;
/// Minimum time over which a rate is computed. A single answer right after a start gave a rate of thousands a second.
const MIN_TIME: Duration = Duration::from_secs(1);

/// Counts of answers within the last seconds.
#[derive(Debug, Default)]
pub(super) struct AnswerRate {
    /// Number and count of each interval with an answer, oldest first.
    intervals: VecDeque<(u64, u32)>,
    /// When the first answer was counted after a time without any.
    counting_since: TimePoint,
}

impl AnswerRate {
    /// Counts an answer.
    pub(super) fn record(&mut self, now: TimePoint) {
        self.expire(now);
        if self.intervals.is_empty() {
            self.counting_since = now;
        }
        let current = interval_of(now);
        match self.intervals.back_mut() {
            Some((number, count)) if *number >= current => *count = count.saturating_add(1),
            _ => self.intervals.push_back((current, 1)),
        }
    }

    /// Returns the answers per second, or `None` if there was none within the window.
    pub(super) fn per_second(&mut self, now: TimePoint) -> Option<f64> {
        self.expire(now);
        if self.intervals.is_empty() {
            return None;
        }
        let total: f64 = self.intervals.iter().map(|(_, count)| f64::from(*count)).sum();
        let first = (interval_of(now) + 1).saturating_sub(INTERVALS);
        let window_start = TimePoint::from_micros(first * INTERVAL.as_micros() as u64);
        let counted = now.since(window_start.max(self.counting_since)).max(MIN_TIME);
        Some(total / counted.as_secs_f64())
    }

    fn expire(&mut self, now: TimePoint) {
        let current = interval_of(now);
        let is_expired = |(number, _): &(u64, u32)| number + INTERVALS <= current;
        while self.intervals.front().is_some_and(is_expired) {
            self.intervals.pop_front();
        }
    }
}

fn interval_of(time: TimePoint) -> u64 {
    time.as_micros() / INTERVAL.as_micros() as u64
}
