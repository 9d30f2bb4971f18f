//! The retry budget that boxes share.
//!
//! The bound applies to all boxes together, over a sliding window. A retry must pass two checks. What this box holds
//! for certain ([`RetryAllowance`], and credit of peers) keeps the sum of all boxes below the bound, whatever they hear
//! of each other and wherever callers go. The reports of the data centre's boxes are a second check, for a box that knows
//! too few others to tell its part of the slack. Boxes report totals instead of increments: the next message makes up for
//! one that was lost, and a box that has just started, or received nothing for a while, has the complete state at once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::steer::messages::RetryUse;
use crate::steer::retry_allowance::{RetryAllowance, SlackPart};
use crate::steer::retry_share::{CONSIDERED_PEERS, ONE_RETRY, RetryShare, lent_amount};
use crate::time::TimePoint;

/// Length of one interval of the window: the resolution with which old counts expire.
const INTERVAL: Duration = Duration::from_millis(500);
/// Share of the bound that is used by reports. The rest allows for retries of peers that were not reported yet.
const USED_SHARE: f64 = 0.85;
/// Time without a report after which a peer's requests no longer add to the budget: it may be partitioned
/// from this box and spend that budget itself. A box reports with each request, about once a second.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);

/// Bounds on the retries of all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed for each request, 0 to 1.
    pub share: f64,
    /// Retries allowed within the window in addition to the share, whatever the number of requests.
    pub slack: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries that a box counted for one service within the last window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryCounts {
    /// Requests that the box received.
    pub requests: u32,
    /// Sends beyond the first one of a request.
    pub retries: u32,
    /// Retries of boxes that reported to the sender within the window and have become unresponsive. A box
    /// that replaced one of them would not have received these counts.
    pub unresponsive_retries: u32,
}

/// Whether a retry may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// The retry is made and counted.
    Allowed,
    /// The budget has none left.
    Refused,
    /// This box holds too little, and a peer may have some: the retry may be allowed within moments.
    Lacking,
}

/// The boxes that share a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingBoxes {
    /// Boxes whose reports this box receives, itself included.
    pub reporting: usize,
    /// Boxes that are known now.
    pub all: usize,
    /// Largest number of boxes that were known lately: some may be unreachable and spend their parts.
    pub largest: usize,
}

/// Counts of one service over the window.
#[derive(Debug, Default)]
pub struct RetryLedger {
    intervals: VecDeque<WindowInterval>,
    /// Last report of each peer and when it was received, by the peer's incarnation.
    peers: HashMap<u64, (RetryCounts, TimePoint)>,
    /// Whether this box has counted anything since its last report.
    has_unreported: bool,
    /// What this box holds itself.
    allowance: RetryAllowance,
    /// Credit of peers.
    share: RetryShare,
    /// Credit in retries that peers got since the last status.
    lent: f64,
    /// Retries that were allowed and refused since the last status.
    decisions: RetryDecisions,
}

/// Numbers of retries that a box allowed and refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryDecisions {
    /// Retries that were within the bounds.
    pub allowed: u32,
    /// Retries that were not.
    pub refused: u32,
    /// Times at which a retry lacked credit. It is tried again once a peer gives some.
    pub lacking: u32,
}

/// What a box knew of the retry budget of one service, for its log.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LedgerStatus {
    /// Decisions since the last status.
    pub decisions: RetryDecisions,
    /// Counts of this box within the window.
    pub own: RetryCounts,
    /// Sums of the peers whose reports count.
    pub peers: RetryCounts,
    /// Number of these peers.
    pub reporting: usize,
    /// Time since the oldest of their reports.
    pub oldest_report: Duration,
    /// Credit in retries that peers got from this box since the last status.
    pub lent: f64,
    /// Credit in retries that this box borrowed and has not spent.
    pub borrowed: f64,
}

/// Counts of this box in one interval of the window.
#[derive(Debug)]
struct WindowInterval {
    started: TimePoint,
    requests: u32,
    retries: u32,
}

impl RetryLedger {
    /// Creates the ledger of a box that started at `started`.
    pub fn new(started: TimePoint, bounds: &RetryBounds, boxes: &SharingBoxes) -> RetryLedger {
        let allowance = RetryAllowance::new(started, slack_part(bounds, boxes));
        RetryLedger { allowance, ..RetryLedger::default() }
    }

    /// Counts a request of this box, which earns the `share` of a retry.
    pub fn record_request(&mut self, now: TimePoint, share: f64) {
        self.allowance.earn(now, share);
        self.current_interval(now).requests += 1;
        self.has_unreported = true;
    }

    /// Returns the status if a retry was allowed or refused since the last one.
    pub fn take_status(&mut self, now: TimePoint, window: Duration) -> Option<LedgerStatus> {
        let decisions = std::mem::take(&mut self.decisions);
        if decisions == RetryDecisions::default() {
            return None;
        }
        let own = self.own_counts(now, window);
        let ages = self.heard_peers(now).map(|(_, received)| now.since(*received));
        Some(LedgerStatus {
            decisions,
            own,
            peers: self.heard_counts(now),
            reporting: self.heard_peers(now).count(),
            oldest_report: ages.max().unwrap_or_default(),
            lent: std::mem::take(&mut self.lent),
            borrowed: self.share.borrowed(now),
        })
    }

    /// Counts a retry of this box.
    pub fn record_retry(&mut self, now: TimePoint) {
        self.current_interval(now).retries += 1;
        self.has_unreported = true;
        self.decisions.allowed += 1;
    }

    /// Stores the report of the peer with the incarnation `peer`, in place of its previous one.
    pub fn record_peer(&mut self, now: TimePoint, peer: u64, counts: RetryCounts) {
        self.peers.insert(peer, (counts, now));
    }

    /// Returns the report of this box to its peers, if it counted anything since the last one. Idle services
    /// are not reported again, since a large fleet has hundreds of them.
    pub fn take_unreported(&mut self, now: TimePoint, window: Duration) -> Option<RetryCounts> {
        let has_unreported = std::mem::take(&mut self.has_unreported);
        has_unreported.then(|| self.own_counts(now, window))
    }

    /// Returns the counts of this box within the window, and the retries of unresponsive boxes.
    pub fn own_counts(&mut self, now: TimePoint, window: Duration) -> RetryCounts {
        self.expire(now, window);
        let unresponsive =
            self.peers.values().filter(|(_, received)| is_unresponsive(now, *received));
        RetryCounts {
            requests: self.own_requests(now, window),
            retries: self.intervals.iter().map(|interval| interval.retries).sum(),
            unresponsive_retries: unresponsive.map(|(counts, _)| counts.retries).sum(),
        }
    }

    /// Makes a retry if it is within the `bounds` of the `boxes`.
    pub fn spend(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        boxes: &SharingBoxes,
        usage: RetryUse,
    ) -> RetryVerdict {
        let part = usage.budget_share();
        let reported =
            RetryBounds { slack: bounds.slack * part, share: bounds.share * part, ..*bounds };
        if !self.allows(now, &reported, boxes.reporting, boxes.all) {
            self.decisions.refused += 1;
            return RetryVerdict::Refused;
        }
        let slack = slack_part(bounds, boxes);
        let kept = (1.0 - part) * self.allowance.capacity(now, slack);
        if self.held_amount(now, bounds, boxes) < ONE_RETRY + kept {
            self.share.record_demand(now);
            self.decisions.lacking += 1;
            let is_exhausted = self.share.is_exhausted(now);
            return if is_exhausted { RetryVerdict::Refused } else { RetryVerdict::Lacking };
        }
        let borrowed = self.share.pay(now);
        self.allowance.take(now, slack, ONE_RETRY - borrowed);
        self.record_retry(now);
        RetryVerdict::Allowed
    }

    /// Returns whether this box is to ask a peer for credit, if it still lacks it.
    pub(crate) fn wants_credit(&self, now: TimePoint) -> bool {
        self.share.wants_credit(now)
    }

    /// Returns the amount that this box may spend now, in retries.
    pub(crate) fn held_amount(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        boxes: &SharingBoxes,
    ) -> f64 {
        self.own_amount(now, bounds, boxes) + self.share.borrowed(now)
    }

    /// Returns the richest of the first [`CONSIDERED_PEERS`] of `peers` that may be asked for credit, as far as they
    /// reported.
    pub(crate) fn choose_lender(
        &self,
        now: TimePoint,
        bounds: &RetryBounds,
        peers: impl Iterator<Item = u64>,
    ) -> Option<u64> {
        let amount = |peer: &u64| {
            let counts = self.peers.get(peer).map(|(counts, _)| *counts).unwrap_or_default();
            bounds.share * f64::from(counts.requests) - f64::from(counts.retries)
        };
        let may_lend = peers.filter(|peer| self.share.may_ask(now, *peer));
        may_lend.take(CONSIDERED_PEERS).max_by(|one, other| amount(one).total_cmp(&amount(other)))
    }

    /// Returns what this box holds for certain, apart from borrowed credit, in retries.
    fn own_amount(&mut self, now: TimePoint, bounds: &RetryBounds, boxes: &SharingBoxes) -> f64 {
        self.allowance.amount(now, slack_part(bounds, boxes))
    }

    /// Lends at most `wanted` to a peer; returns the lent amount in retries.
    pub(crate) fn lend(
        &mut self,
        now: TimePoint,
        wanted: f64,
        bounds: &RetryBounds,
        boxes: &SharingBoxes,
    ) -> f64 {
        // Boxes that all lack credit would hand it back and forth until it expires.
        if self.share.lacked_lately(now) {
            return 0.0;
        }
        let amount = lent_amount(wanted, self.own_amount(now, bounds, boxes));
        if amount > 0.0 {
            self.allowance.take(now, slack_part(bounds, boxes), amount);
            self.lent += amount;
        }
        amount
    }

    /// Returns the share of this box, in which credits are recorded.
    pub(crate) fn share_mut(&mut self) -> &mut RetryShare {
        &mut self.share
    }

    /// Makes all counts older by `time`, which passed without being counted by the clock.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.intervals.iter_mut().for_each(|one| one.started = one.started.before(time));
        self.peers.values_mut().for_each(|(_, received)| *received = received.before(time));
        self.allowance.advance_clocks(time);
        self.share.advance_clocks(time);
    }

    /// Returns whether one more retry is within the bounds by what the peers reported, for a box that receives the reports of
    /// `reporting` of `all` boxes, itself included in both numbers.
    pub fn allows(
        &mut self,
        now: TimePoint,
        bounds: &RetryBounds,
        reporting: usize,
        all: usize,
    ) -> bool {
        let own = self.own_counts(now, bounds.window);
        let peers = self.heard_counts(now);
        let requests = own.requests.saturating_add(peers.requests);
        let retries = own.retries.saturating_add(peers.retries);
        let unresponsive = own.unresponsive_retries.max(peers.unresponsive_retries);
        let slack = bounds.slack * reporting as f64 / all.max(reporting).max(1) as f64;
        let max = bounds.share * f64::from(requests) + slack;
        f64::from(retries) + f64::from(unresponsive) + 1.0 <= max * USED_SHARE
    }

    /// Returns the sums of the peers whose reports count, and the most retries of unresponsive boxes that one of them told.
    fn heard_counts(&self, now: TimePoint) -> RetryCounts {
        let mut sum = RetryCounts::default();
        for (counts, _) in self.heard_peers(now) {
            // The numbers come from datagrams.
            sum.requests = sum.requests.saturating_add(counts.requests);
            sum.retries = sum.retries.saturating_add(counts.retries);
            sum.unresponsive_retries = sum.unresponsive_retries.max(counts.unresponsive_retries);
        }
        sum
    }

    /// Returns the last reports of the peers that are responsive, and when they were received.
    fn heard_peers(&self, now: TimePoint) -> impl Iterator<Item = &(RetryCounts, TimePoint)> {
        self.peers.values().filter(move |(_, received)| !is_unresponsive(now, *received))
    }

    /// Returns the requests of this box within the window. Intervals that have left it in part count for retries alone.
    fn own_requests(&self, now: TimePoint, window: Duration) -> u32 {
        let within = self.intervals.iter().filter(|one| now.since(one.started) < window);
        within.map(|interval| interval.requests).sum()
    }

    fn current_interval(&mut self, now: TimePoint) -> &mut WindowInterval {
        if self.intervals.back().is_none_or(|last| now.since(last.started) >= INTERVAL) {
            self.intervals.push_back(WindowInterval { started: now, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("an interval was just added")
    }

    fn expire(&mut self, now: TimePoint, window: Duration) {
        let is_expired =
            |interval: &WindowInterval| now.since(interval.started) >= window + INTERVAL;
        while self.intervals.front().is_some_and(is_expired) {
            self.intervals.pop_front();
        }
        self.peers.retain(|_, (_, received)| now.since(*received) < window + INTERVAL);
    }
}

/// Returns the part of one of the `boxes` of the slack.
fn slack_part(bounds: &RetryBounds, boxes: &SharingBoxes) -> SlackPart {
    SlackPart { amount: bounds.slack / boxes.largest.max(1) as f64, window: bounds.window }
}

fn is_unresponsive(now: TimePoint, received: TimePoint) -> bool {
    now.since(received) >= UNRESPONSIVE_AFTER
}
