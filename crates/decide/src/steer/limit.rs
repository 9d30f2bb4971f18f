//! The limit that a target names in its answers: the requests a second that it takes from all boxes
//! together, for as long as it says so.
//!
//! Answers of one target come back by different boxes, and not in the order in which it gave them. So a
//! lower limit counts at once, whoever heard it, and a higher one or none only by the answer to a request
//! that was sent after the lower one was heard: what had been under way may have been answered before.

use std::fmt;
use std::time::Duration;

use crate::time::TimePoint;

/// Requests a second, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RequestRate(u64);

/// What an answer says of its target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitSaid {
    /// It names none.
    #[default]
    None,
    /// It names one that can't be read, which changes nothing of what is known.
    Unclear,
    /// It names this one.
    At(RequestRate),
}

/// What a target said last of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWord {
    /// The limit; `None` if it has none any more.
    pub rate: Option<RequestRate>,
    /// When a box heard it.
    pub said: TimePoint,
}

/// What is new of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// It has this one, or another one than before.
    Named(RequestRate),
    /// It has none any more.
    Ended,
}

impl RequestRate {
    /// One request a second.
    const ONE: f64 = 1e6;

    /// So many requests a second. `None` if that is no number from 0 on; more than a rate can hold
    /// is the largest one.
    pub fn new(per_second: f64) -> Option<RequestRate> {
        // The cast keeps to the bounds of the number.
        (per_second >= 0.0).then(|| RequestRate((per_second * RequestRate::ONE).round() as u64))
    }

    /// A rate in millionths of a request a second.
    pub const fn from_millionths(millionths: u64) -> RequestRate {
        RequestRate(millionths)
    }

    /// The rate in millionths of a request a second.
    pub fn millionths(self) -> u64 {
        self.0
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / RequestRate::ONE
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl LimitWord {
    /// The word that holds once an answer to a request that was sent at `asked` has said `said`, with
    /// what is new by it; `None` if the answer changes nothing.
    pub(crate) fn heard(
        known: Option<LimitWord>,
        now: TimePoint,
        asked: TimePoint,
        said: LimitSaid,
    ) -> Option<(LimitWord, Option<LimitChange>)> {
        let rate = match said {
            LimitSaid::None => None,
            LimitSaid::Unclear => return None,
            LimitSaid::At(rate) => Some(rate),
        };
        let word = LimitWord { rate, said: now };
        let Some(known) = known else {
            return rate.map(|rate| (word, Some(LimitChange::Named(rate))));
        };
        if known.rate == rate {
            return Some((word, None));
        }
        let is_later = asked >= known.said;
        (word.is_lower_than(&known) || is_later).then(|| (word, Some(word.as_change())))
    }

    /// The same for what a peer tells that heard it `age` ago: the later word holds.
    pub(crate) fn told(
        known: Option<LimitWord>,
        now: TimePoint,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<(LimitWord, Option<LimitChange>)> {
        let word = LimitWord { rate, said: now.before(age) };
        let Some(known) = known else {
            let change = rate.map(LimitChange::Named);
            return Some((word, change));
        };
        if word.said <= known.said {
            return None;
        }
        let change = (known.rate != rate).then(|| word.as_change());
        Some((word, change))
    }

    fn is_lower_than(&self, other: &LimitWord) -> bool {
        match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate < other,
            (rate, None) => rate.is_some(),
            (None, Some(_)) => false,
        }
    }

    fn as_change(self) -> LimitChange {
        self.rate.map_or(LimitChange::Ended, LimitChange::Named)
    }
}
