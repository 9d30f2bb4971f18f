//! The limit that a target sets in its answers: the requests per second that it accepts from all boxes
//! together, until it reports another limit or none.
//!
//! Answers of one target reach different boxes, and not in the order in which the target sent them. So a
//! lower limit applies at once, whichever box received it. A higher limit, or the end of one, applies only
//! by the answer to a request that was sent after the lower limit was received: the target may have answered
//! an earlier request before it set the lower limit.

use std::fmt;
use std::time::Duration;

use crate::time::TimePoint;

/// A rate of requests, stored in millionths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestRate(u64);

/// The limit header of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitUpdate {
    /// The answer sets no limit.
    #[default]
    None,
    /// The answer has a limit that can't be parsed, so the known limit stays.
    Unreadable,
    /// The answer sets this limit.
    At(RequestRate),
}

/// The last limit that a target reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit; `None` if the target has lifted it.
    pub rate: Option<RequestRate>,
    /// Time at which a box received the limit from the target.
    pub received_at: TimePoint,
}

/// A change of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The target set its first limit, or a different one.
    Set(RequestRate),
    /// The target has no limit any more.
    Cleared,
}

impl RequestRate {
    /// Millionths in one request per second.
    const MILLIONTHS_PER_UNIT: f64 = 1e6;

    /// Converts requests per second. Returns `None` for NaN and negative numbers; a number above the
    /// largest rate gives the largest rate.
    pub fn new(per_second: f64) -> Option<RequestRate> {
        // A cast from float to integer saturates.
        (per_second >= 0.0)
            .then(|| RequestRate((per_second * RequestRate::MILLIONTHS_PER_UNIT).round() as u64))
    }

    /// Converts millionths of a request per second.
    pub const fn from_millionths(millionths: u64) -> RequestRate {
        RequestRate(millionths)
    }

    /// Returns the rate in millionths of a request per second.
    pub fn millionths(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / RequestRate::MILLIONTHS_PER_UNIT
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl LimitReport {
    /// Returns the report that is in force after an answer with `update` to a request that was sent at
    /// `sent_at`, and the change that it makes; `None` if the answer changes nothing.
    pub(crate) fn after_answer(
        known: Option<LimitReport>,
        now: TimePoint,
        sent_at: TimePoint,
        update: LimitUpdate,
    ) -> Option<(LimitReport, Option<LimitChange>)> {
        let rate = match update {
            LimitUpdate::None => None,
            LimitUpdate::Unreadable => return None,
            LimitUpdate::At(rate) => Some(rate),
        };
        let report = LimitReport { rate, received_at: now };
        let Some(known) = known else {
            return rate.map(|rate| (report, Some(LimitChange::Set(rate))));
        };
        if known.rate == rate {
            return Some((report, None));
        }
        let is_later = sent_at >= known.received_at;
        (report.is_lower_than(&known) || is_later).then(|| (report, Some(report.as_change())))
    }

    /// Returns the report that is in force after a peer reported a limit that it received `age` ago, and the
    /// change that it makes; `None` if the known report is as recent. The more recent report wins.
    pub(crate) fn after_peer_report(
        known: Option<LimitReport>,
        now: TimePoint,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<(LimitReport, Option<LimitChange>)> {
        let report = LimitReport { rate, received_at: now.before(age) };
        let Some(known) = known else {
            let change = rate.map(LimitChange::Set);
            return Some((report, change));
        };
        if report.received_at <= known.received_at {
            return None;
        }
        let change = (known.rate != rate).then(|| report.as_change());
        Some((report, change))
    }

    fn is_lower_than(&self, other: &LimitReport) -> bool {
        match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate < other,
            (rate, None) => rate.is_some(),
            (None, Some(_)) => false,
        }
    }

    fn as_change(self) -> LimitChange {
        self.rate.map_or(LimitChange::Cleared, LimitChange::Set)
    }
}
