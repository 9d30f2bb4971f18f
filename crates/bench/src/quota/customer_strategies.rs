//! Strategies to hold a customer's quota: the one that boxes run, and two alternatives that it is
//! compared with.

use std::collections::HashMap;
use std::time::Duration;

use wingbridge_decide::quota::bucket::TokenBucket;
use wingbridge_decide::quota::{
    Admission, CoordinatorRole, CoordinatorStatus, DueRequest, QuotaCoordinator, QuotaLimit,
    QuotaSlack, TokenAccounts, TokenGrant, TokenRequest, TokenRequester,
};
use wingbridge_decide::{Name, TimePoint};

use super::fleet::{BoxTable, StrategyBox};

/// Window over which the requests of a customer are counted.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Requests that are allowed above the quota in a window, in addition to [`EXCESS_SHARE`].
pub(crate) const SLACK_REQUESTS: f64 = 20.0;
/// Share of the quota that is allowed on top of it in a window.
pub(crate) const EXCESS_SHARE: f64 = 0.1;
/// Time between two reports of a box to all others under [`WindowSumBox`].
const SUM_REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Length of the intervals into which a box divides the window to count its requests.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports of a box under [`AllotmentBox`]. A box that sent none for three times
/// as long may be cut off.
const DEMAND_REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Share of the rate that is reserved for boxes whose reports are missing.
const RESERVED_SHARE: f64 = 0.05;

/// A box of the strategy that boxes run: one coordinator per customer grants tokens to the other
/// boxes.
pub(crate) struct CoordinatorBox {
    number: usize,
    /// Time for which its process had run before the simulation started it.
    uptime_at_start: Duration,
    customer: Name,
    accounts: TokenAccounts,
    coordinator: QuotaCoordinator,
    started: TimePoint,
}

#[derive(Clone)]
pub(crate) enum CoordinatorMessage {
    Request(TokenRequest),
    Grant(TokenGrant),
}

impl CoordinatorBox {
    /// Returns the time of this box's process, which counts from the start of the process.
    fn process_time(&self, now: TimePoint) -> TimePoint {
        TimePoint::default() + self.uptime_at_start + now.since(self.started)
    }
}

impl StrategyBox for CoordinatorBox {
    type Message = CoordinatorMessage;

    fn start(now: TimePoint, number: usize, incarnation: u64, boxes: usize) -> CoordinatorBox {
        let mut accounts = TokenAccounts::default();
        accounts.set_boxes(boxes);
        let slack = QuotaSlack { requests: SLACK_REQUESTS, window: QUOTA_WINDOW };
        // The initial boxes of a fleet have run for a whole window when traffic begins.
        let uptime_at_start = if incarnation == 0 { QUOTA_WINDOW } else { Duration::ZERO };
        CoordinatorBox {
            number,
            uptime_at_start,
            customer: "customer".into(),
            accounts,
            coordinator: QuotaCoordinator::new(TimePoint::default(), slack),
            started: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission {
        let now = self.process_time(now);
        if is_new {
            self.accounts.admit(now, &self.customer, limit)
        } else {
            self.accounts.admit_waiting(now, &self.customer, limit)
        }
    }

    fn due(
        &mut self,
        now: TimePoint,
        _: QuotaLimit,
        ranks: &[usize],
    ) -> Vec<(usize, CoordinatorMessage)> {
        let due = self.accounts.due_requests(self.process_time(now)).into_iter();
        let send = |due: DueRequest| {
            Some((*ranks.get(due.rank as usize)?, CoordinatorMessage::Request(due.request)))
        };
        due.filter_map(send).collect()
    }

    fn receive(
        &mut self,
        now: TimePoint,
        (from, incarnation): (usize, u64),
        message: &CoordinatorMessage,
        limit: QuotaLimit,
        table: &BoxTable,
    ) -> Option<CoordinatorMessage> {
        let now = self.process_time(now);
        match message {
            CoordinatorMessage::Request(request) => {
                let is_first = table.ranks.first() == Some(&self.number);
                let role =
                    if is_first { CoordinatorRole::Primary } else { CoordinatorRole::Standby };
                let status = CoordinatorStatus { role, reaches_all: table.reaches_all };
                let requester = TokenRequester { box_key: from as u64, incarnation };
                let grant =
                    self.coordinator.answer(now, requester, &self.customer, limit, request, status);
                Some(CoordinatorMessage::Grant(grant))
            }
            CoordinatorMessage::Grant(grant) => {
                self.accounts.apply_grant(now, &self.customer, grant);
                None
            }
        }
    }

    fn on_box_stopped(&mut self, (number, incarnation): (usize, u64)) {
        self.coordinator.record_box_stopped(TokenRequester { box_key: number as u64, incarnation });
    }

    fn bytes(message: &CoordinatorMessage) -> usize {
        // Encoded size, with box names of 16 bytes and customer names of 8 bytes.
        match message {
            CoordinatorMessage::Request(_) => 64,
            CoordinatorMessage::Grant(_) => 66,
        }
    }
}

/// The last amount that each peer reported, and when it arrived, by box number.
type PeerReports = HashMap<usize, (f64, TimePoint)>;

/// Returns one message with `amount` for each box of `ranks` except the box with the number `own`.
fn report_to_peers(ranks: &[usize], own: usize, amount: f64) -> Vec<(usize, f64)> {
    ranks.iter().filter(|other| **other != own).map(|other| (*other, amount)).collect()
}

/// Bytes of a report without packet headers.
const REPORT_BYTES: usize = 50;

/// A box that reports to all others how many requests it admitted within the window, and admits
/// requests up to the limit on the sum over all boxes.
pub(crate) struct WindowSumBox {
    boxes: usize,
    /// Requests that this box admitted, by the start of each [`COUNT_INTERVAL`].
    own: Vec<(TimePoint, f64)>,
    peers: PeerReports,
    reported_at: TimePoint,
    /// Whether requests were admitted after the last report.
    has_unreported: bool,
    number: usize,
}

impl WindowSumBox {
    fn own_sum(&mut self, now: TimePoint) -> f64 {
        self.own.retain(|(at, _)| now.since(*at) < QUOTA_WINDOW + COUNT_INTERVAL);
        self.own.iter().map(|(_, count)| count).sum()
    }
}

impl StrategyBox for WindowSumBox {
    type Message = f64;

    fn start(now: TimePoint, number: usize, _: u64, boxes: usize) -> WindowSumBox {
        let (own, peers) = (Vec::new(), HashMap::new());
        WindowSumBox { boxes, own, peers, reported_at: now, has_unreported: false, number }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        let own = self.own_sum(now);
        self.peers.retain(|_, (_, reported_at)| now.since(*reported_at) < QUOTA_WINDOW);
        let others: f64 = self.peers.values().map(|(sum, _)| sum).sum();
        let max_requests = limit.per_second * QUOTA_WINDOW.as_secs_f64() + limit.burst;
        // Boxes without a report may have admitted requests, too: a part of their equal shares is
        // reserved.
        let unreported_share =
            self.boxes.saturating_sub(self.peers.len() + 1) as f64 / self.boxes as f64;
        let is_alone = self.peers.is_empty();
        let share_of_limit = if is_alone {
            1.0 / self.boxes as f64
        } else {
            1.0 - unreported_share * RESERVED_SHARE
        };
        if own + others + 1.0 > max_requests * share_of_limit + SLACK_REQUESTS / 4.0 {
            return Admission::Refused(COUNT_INTERVAL);
        }
        match self.own.last_mut() {
            Some((at, count)) if now.since(*at) < COUNT_INTERVAL => *count += 1.0,
            _ => self.own.push((now, 1.0)),
        }
        self.has_unreported = true;
        Admission::Admitted
    }

    fn due(&mut self, now: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, f64)> {
        if !self.has_unreported || now.since(self.reported_at) < SUM_REPORT_PERIOD {
            return Vec::new();
        }
        (self.reported_at, self.has_unreported) = (now, false);
        let sum = self.own_sum(now);
        report_to_peers(ranks, self.number, sum)
    }

    fn receive(
        &mut self,
        now: TimePoint,
        (from, _): (usize, u64),
        message: &f64,
        _: QuotaLimit,
        _: &BoxTable,
    ) -> Option<f64> {
        self.peers.insert(from, (*message, now));
        None
    }

    fn bytes(_: &f64) -> usize {
        REPORT_BYTES
    }
}

/// A box that spends a share of the rate, in proportion to its recent demand and that of the other
/// boxes.
pub(crate) struct AllotmentBox {
    number: usize,
    boxes: usize,
    /// Recent requests, with an exponential decay over [`QUOTA_WINDOW`], as of `decayed_at`.
    demand: f64,
    decayed_at: TimePoint,
    peers: PeerReports,
    bucket: TokenBucket,
    reported_at: TimePoint,
}

impl AllotmentBox {
    fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.decayed_at).as_secs_f64() / QUOTA_WINDOW.as_secs_f64();
        self.demand *= (-age).exp();
        self.decayed_at = now;
    }
}

impl StrategyBox for AllotmentBox {
    type Message = f64;

    fn start(now: TimePoint, number: usize, _: u64, boxes: usize) -> AllotmentBox {
        AllotmentBox {
            number,
            boxes,
            demand: 0.0,
            decayed_at: now,
            peers: HashMap::new(),
            bucket: TokenBucket::new(now, 1.0),
            reported_at: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission {
        self.decay(now);
        self.demand += if is_new { 1.0 } else { 0.0 };
        // A box that has become unreachable keeps its share for six windows.
        self.peers.retain(|_, (_, reported_at)| now.since(*reported_at) < QUOTA_WINDOW * 6);
        let others: f64 = self.peers.values().map(|(demand, _)| demand).sum();
        let reporting_peers = self
            .peers
            .values()
            .filter(|(_, reported_at)| now.since(*reported_at) < DEMAND_REPORT_PERIOD * 3)
            .count();
        let share = if reporting_peers == 0 {
            1.0 / self.boxes as f64
        } else {
            self.demand / (self.demand + others).max(0.01)
        };
        let spendable_share = share * (1.0 - RESERVED_SHARE);
        let rate = limit.per_second * spendable_share
            + SLACK_REQUESTS * spendable_share / QUOTA_WINDOW.as_secs_f64() / 2.0;
        self.bucket.fill(now, rate, (limit.burst * spendable_share).max(1.0));
        if self.bucket.try_take_one() {
            Admission::Admitted
        } else {
            Admission::Refused(COUNT_INTERVAL)
        }
    }

    fn due(&mut self, now: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, f64)> {
        if now.since(self.reported_at) < DEMAND_REPORT_PERIOD || self.demand < 0.05 {
            return Vec::new();
        }
        self.reported_at = now;
        self.decay(now);
        report_to_peers(ranks, self.number, self.demand)
    }

    fn receive(
        &mut self,
        now: TimePoint,
        (from, _): (usize, u64),
        message: &f64,
        _: QuotaLimit,
        _: &BoxTable,
    ) -> Option<f64> {
        self.peers.insert(from, (*message, now));
        None
    }

    fn bytes(_: &f64) -> usize {
        REPORT_BYTES
    }
}
