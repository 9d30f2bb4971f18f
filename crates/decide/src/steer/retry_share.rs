//! The credit by which boxes hand on what they hold for retries.
//!
//! A box spends only what it holds for certain. Failures often reach a few boxes at a time: these ask peers for what a
//! retry lacks. The lender charges itself before the credit leaves, so a lost or late message makes the sum of all boxes
//! smaller, never larger.

use std::collections::VecDeque;
use std::time::Duration;

use crate::names::Name;
use crate::time::TimePoint;

/// Amount that a retry takes.
pub(crate) const ONE_RETRY: f64 = 1.0;
/// Smallest amount that is lent, in retries.
const MIN_LENT: f64 = 0.05;
/// Time after the request for it within which credit may be spent.
pub(crate) const CREDIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time without a reply after which another peer is asked. A late reply still counts.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after a retry that lacked credit for which the box goes on to ask for it, and after which it asks again once no
/// peer had any.
const DEMAND_TIME: Duration = Duration::from_millis(100);
/// Time for which a peer that lent nothing, or did not reply, is not asked again.
const DECLINED_PAUSE: Duration = Duration::from_secs(1);
/// Time after a retry that lacked credit for which a box lends none.
const LACKING_TIME: Duration = Duration::from_secs(1);
/// Number of peers that are considered for one request; the richest of them is asked.
pub(crate) const CONSIDERED_PEERS: usize = 3;

/// Requests for credit, and whether a service lacks credit for which no peer is left to be asked.
#[derive(Debug, Default, PartialEq)]
pub struct DueCredits {
    /// Each request with the incarnation of the peer to which it goes.
    pub requests: Vec<(u64, CreditRequest)>,
    /// Whether retries that wait for credit are now to be refused.
    pub is_exhausted: bool,
}

/// A request for credit, from a box in which a retry lacks it.
#[derive(Debug, Clone, PartialEq)]
pub struct CreditRequest {
    /// Service for whose retries the credit is.
    pub service: Name,
    /// Number that is unique among the requests of a box.
    pub number: u64,
    /// Wanted amount in retries.
    pub amount: f64,
}

/// The reply to a [`CreditRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct CreditGrant {
    /// Service for whose retries the credit is.
    pub service: Name,
    /// Number of the request.
    pub number: u64,
    /// Amount in retries that the sender has given up, 0 if it has none to spare.
    pub amount: f64,
}

/// Credit that was borrowed and not spent.
#[derive(Debug, Clone, Copy)]
struct Credit {
    amount: f64,
    until: TimePoint,
}

/// A request for credit that waits for its reply.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    number: u64,
    peer: u64,
    asked_at: TimePoint,
}

/// The credit that a box has borrowed for the retries of one service, and its requests for more.
#[derive(Debug, Default)]
pub(crate) struct RetryShare {
    /// Amounts that peers gave up for this box, the oldest first.
    borrowed: VecDeque<Credit>,
    /// Requests of the last moments without a reply, the latest last.
    open_requests: Vec<OpenRequest>,
    /// Peers that lent nothing, and when.
    declined: Vec<(u64, TimePoint)>,
    /// When a retry last lacked credit.
    wanted_at: Option<TimePoint>,
    /// When no peer was left to be asked.
    exhausted_at: Option<TimePoint>,
}

impl RetryShare {
    /// Returns the amount that this box has borrowed and may spend.
    pub(crate) fn borrowed(&self, now: TimePoint) -> f64 {
        self.borrowed.iter().filter(|credit| now < credit.until).map(|credit| credit.amount).sum()
    }

    /// Records that a retry lacks credit.
    pub(crate) fn record_demand(&mut self, now: TimePoint) {
        self.wanted_at = Some(now);
    }

    /// Pays one retry; returns the part of it that is paid with borrowed credit.
    pub(crate) fn pay(&mut self, now: TimePoint) -> f64 {
        self.borrowed.retain(|credit| now < credit.until);
        let mut paid = 0.0;
        while let Some(credit) = self.borrowed.front_mut() {
            let part = credit.amount.min(ONE_RETRY - paid);
            paid += part;
            credit.amount -= part;
            if credit.amount > 0.0 {
                break;
            }
            self.borrowed.pop_front();
        }
        paid
    }

    /// Records that no peer is left to be asked.
    pub(crate) fn record_exhausted(&mut self, now: TimePoint) {
        self.exhausted_at = Some(now);
    }

    /// Returns whether peers were asked in vain just before.
    pub(crate) fn is_exhausted(&self, now: TimePoint) -> bool {
        self.exhausted_at.is_some_and(|exhausted| now.since(exhausted) < DEMAND_TIME)
    }

    /// Returns whether a request for credit waits for its reply.
    fn is_asking(&self, now: TimePoint) -> bool {
        let latest = self.open_requests.last();
        latest.is_some_and(|open| now.since(open.asked_at) < REPLY_TIMEOUT)
    }

    /// Returns whether a retry of this box lacked credit lately.
    pub(crate) fn lacked_lately(&self, now: TimePoint) -> bool {
        self.wanted_at.is_some_and(|wanted| now.since(wanted) < LACKING_TIME)
    }

    /// Returns whether credit is to be asked for now, if this box still lacks it.
    pub(crate) fn wants_credit(&self, now: TimePoint) -> bool {
        let is_wanted = self.wanted_at.is_some_and(|wanted| now.since(wanted) < DEMAND_TIME);
        is_wanted && !self.is_asking(now) && !self.is_exhausted(now)
    }

    /// Returns whether `peer` may be asked: it has not declined, or been asked without a reply, just before.
    pub(crate) fn may_ask(&self, now: TimePoint, peer: u64) -> bool {
        let is_open = |open: &OpenRequest| open.peer == peer && is_recent(now, open.asked_at);
        let has_declined = |(one, at): &(u64, TimePoint)| *one == peer && is_recent(now, *at);
        !self.open_requests.iter().any(is_open) && !self.declined.iter().any(has_declined)
    }

    /// Records that `peer` is asked by the request `number`, by a box that holds `held`; returns the amount to ask for.
    pub(crate) fn record_request(
        &mut self,
        now: TimePoint,
        peer: u64,
        number: u64,
        held: f64,
    ) -> f64 {
        self.open_requests.retain(|open| is_recent(now, open.asked_at));
        self.open_requests.push(OpenRequest { number, peer, asked_at: now });
        (ONE_RETRY - held).clamp(MIN_LENT, 2.0 * ONE_RETRY)
    }

    /// Records the reply to the request `number`. A second reply is dropped.
    pub(crate) fn record_grant(&mut self, now: TimePoint, number: u64, amount: f64) {
        let Some(index) = self.open_requests.iter().position(|open| open.number == number) else {
            return;
        };
        let open = self.open_requests.remove(index);
        if amount.is_nan() || amount < MIN_LENT {
            self.decline(now, open.peer);
            return;
        }
        self.exhausted_at = None;
        // The lender counts from when it received the request, which is not before it was sent.
        self.borrowed.push_back(Credit { amount, until: open.asked_at + CREDIT_LIFETIME });
    }

    /// Ends credits earlier by `time`, which passed without being counted by the clock.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.borrowed.iter_mut().for_each(|credit| credit.until = credit.until.before(time));
    }

    fn decline(&mut self, now: TimePoint, peer: u64) {
        self.declined.retain(|(_, at)| is_recent(now, *at));
        self.declined.push((peer, now));
    }
}

/// Returns how much of the amount `own` a box lends to a peer that wants `wanted`, in retries.
pub(crate) fn lent_amount(wanted: f64, own: f64) -> f64 {
    // A part of a retry is of no use here, and may be what the peer lacks.
    let spare = (own / 2.0).max(own.min(ONE_RETRY));
    let amount = wanted.min(spare);
    if amount.is_nan() || amount < MIN_LENT { 0.0 } else { amount }
}

/// Returns whether a peer that was asked at `time` is not asked again yet.
fn is_recent(now: TimePoint, time: TimePoint) -> bool {
    now.since(time) < DECLINED_PAUSE
}
