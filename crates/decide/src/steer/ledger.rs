//! The retry budget that boxes share.
//!
//! The bound holds for all boxes together, over a sliding window. A share fixed for each
//! box wastes most of it: a box gets one request a second, and failures come to a few at
//! a time. So boxes of a data centre tell each other what they got and what they sent
//! again in the last window, and each counts all of it. They tell sums and no steps: a
//! message that is lost is made good by the next one, and a box that has just come, or
//! was not heard for a while, knows at once what the others have spent. A box that hears
//! nobody has its own requests and a small share of the slack, so the sum stays below the
//! bound however boxes are cut off.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::TimePoint;

/// Length of a part of the window: how exactly old counts are dropped.
const PART: Duration = Duration::from_millis(500);
/// Part of the bound that is used: what peers did in the last moments is not known yet.
const USED_PART: f64 = 0.85;
/// Requests of a peer that was silent for this long earn nothing more: it may be cut off
/// and use them itself. A box tells with each request, and gets about one a second.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// Bounds on retries of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request, 0 to 1.
    pub share: f64,
    /// Retries ahead of that.
    pub slack: f64,
    /// The window in which both count.
    pub window: Duration,
}

/// What a box got and sent again of one service within the last window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryCounts {
    /// Requests.
    pub requests: u32,
    /// Sends beyond the first of a request.
    pub retries: u32,
    /// Retries of boxes that the teller heard of within the window and hears no more. A
    /// box that took the place of one of them would not know of them.
    pub unresponsive_retries: u32,
}

/// The tallies of one service over the window.
#[derive(Debug, Default)]
pub struct RetryLedger {
    parts: VecDeque<WindowPart>,
    /// What each peer told last, by its incarnation.
    peers: HashMap<u64, (RetryCounts, TimePoint)>,
    /// Whether this box did something that it has not told yet.
    untold: bool,
}

/// What this box did in a part of the window.
#[derive(Debug)]
struct WindowPart {
    since: TimePoint,
    requests: u32,
    retries: u32,
}

impl RetryLedger {
    /// Counts a request of this box.
    pub fn record_request(&mut self, now: TimePoint) {
        self.part(now).requests += 1;
        self.untold = true;
    }

    /// Counts a retry of this box.
    pub fn record_retry(&mut self, now: TimePoint) {
        self.part(now).retries += 1;
        self.untold = true;
    }

    /// Takes what the peer of that incarnation told.
    pub fn record_peer(&mut self, now: TimePoint, peer: u64, tally: RetryCounts) {
        self.peers.insert(peer, (tally, now));
    }

    /// What this box tells its peers, if it did something since it last told. Of services
    /// that rest nothing is told again and again: a large fleet has hundreds of them.
    pub fn take_unreported(&mut self, now: TimePoint, window: Duration) -> Option<RetryCounts> {
        let untold = std::mem::take(&mut self.untold);
        untold.then(|| self.own_counts(now, window))
    }

    /// What this box did within the window, and what silent boxes did.
    pub fn own_counts(&mut self, now: TimePoint, window: Duration) -> RetryCounts {
        self.forget_old(now, window);
        let silent = self.peers.values().filter(|(_, told)| is_silent(now, *told));
        RetryCounts {
            requests: self.parts.iter().map(|part| part.requests).sum(),
            retries: self.parts.iter().map(|part| part.retries).sum(),
            unresponsive_retries: silent.map(|(tally, _)| tally.retries).sum(),
        }
    }

    /// Whether one more retry is within the bounds, for a box that hears `heard` boxes of
    /// `all`, itself counted in both.
    pub fn allows(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        heard: usize,
        all: usize,
    ) -> bool {
        let own = self.own_counts(now, bounds.window);
        let (mut requests, mut retries) = (own.requests, own.retries);
        let mut silent = own.unresponsive_retries;
        for (tally, told) in self.peers.values() {
            if !is_silent(now, *told) {
                requests = requests.saturating_add(tally.requests);
                retries = retries.saturating_add(tally.retries);
                silent = silent.max(tally.unresponsive_retries);
            }
        }
        let slack = bounds.slack * heard as f64 / all.max(heard).max(1) as f64;
        let most = bounds.share * f64::from(requests) + slack;
        f64::from(retries) + f64::from(silent) + 1.0 <= most * USED_PART
    }

    fn part(&mut self, now: TimePoint) -> &mut WindowPart {
        if self.parts.back().is_none_or(|part| now.since(part.since) >= PART) {
            self.parts.push_back(WindowPart { since: now, requests: 0, retries: 0 });
        }
        self.parts.back_mut().expect("one was just put there")
    }

    fn forget_old(&mut self, now: TimePoint, window: Duration) {
        let old = |part: &WindowPart| now.since(part.since) >= window + PART;
        while self.parts.front().is_some_and(old) {
            self.parts.pop_front();
        }
        self.peers.retain(|_, (_, told)| now.since(*told) < window + PART);
    }
}

fn is_silent(now: TimePoint, told: TimePoint) -> bool {
    now.since(told) >= SILENT_AFTER
}
