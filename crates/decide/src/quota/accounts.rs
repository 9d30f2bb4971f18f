//! Token accounts of one box: which requests it admits, and which tokens it owes and requests.
//!
//! While tokens are plentiful, a request is admitted at once and reported afterwards. The debt is
//! bounded, so that the coordinator's bucket lags by no more than a tenth of a second. Once tokens are
//! scarce, they are requested in advance: requests wait one round trip for the coordinator's grant, and
//! are refused at once for the time in which the coordinator expects to have no tokens.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::quota::bucket::TokenBucket;
use crate::quota::coordinator::{EARLY_FAILOVER_FRACTION, UNRESPONSIVE_AFTER};
use crate::quota::{QuotaLimit, SHARE_VALIDITY, TokenGrant, TokenRequest};
use crate::time::TimePoint;

/// Upper bound on the debt, as time at this box's own rate. A debt of one request is always allowed.
const MAX_DEBT_TIME: Duration = Duration::from_millis(100);
/// Tokens that are requested beyond those for waiting requests while tokens are scarce, as time at this
/// box's own rate.
const PREFETCH_TIME: Duration = Duration::from_millis(250);
/// Upper bound on the tokens in one request.
const MAX_WANTED: f64 = 64.0;
/// Time for which granted tokens are valid. Tokens that are kept for longer would be spent in a window
/// in which the coordinator has granted the same number again.
const TOKEN_VALIDITY: Duration = Duration::from_millis(500);
/// Time after a report of scarce tokens in which no box admits requests without a grant.
const SCARCE_TIME: Duration = Duration::from_secs(5);
/// Time after which an unanswered token request counts as lost: a round trip takes some milliseconds,
/// and boxes with a tenth of a core answer some tens of milliseconds late under load.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(80);
/// Number of unanswered requests after which the standby is used. With 1, and 9 in 100 datagrams lost,
/// coordinator and standby granted tokens for the same boxes, 1.05 of the bound.
const STANDBY_AFTER_FAILURES: u32 = 2;
/// Number of successive unanswered requests after which a box counts as cut off.
const CUT_OFF_AFTER_FAILURES: u32 = 3;
/// Time between two requests of a box that is cut off.
const CUT_OFF_RETRY_TIME: Duration = Duration::from_millis(300);
/// Time for which the standby is used in place of a coordinator that did not answer.
const FAILOVER_TIME: Duration = Duration::from_secs(1);
/// Fraction of its share that a box spends while it is cut off: shares are some seconds old.
const CUT_OFF_SHARE_FRACTION: f64 = 0.7;
/// Fraction of an equal share that a box spends while it is cut off and has no assigned share.
const EQUAL_SHARE_FRACTION: f64 = 0.25;
/// Lower bound on the assumed number of boxes. Deployments have 36 to 40 boxes.
const MIN_BOXES: usize = 40;
/// Decay time of the average of this box's request rate.
const RATE_DECAY_TIME: Duration = Duration::from_secs(1);
/// Time after which a box without requests of a customer reports that to the coordinator, so that its
/// share is assigned to others and not reserved for it. Without that report, 14 in 100 requests of a
/// small customer were lost after its callers had moved to other boxes.
const IDLE_REPORT_TIME: Duration = Duration::from_secs(3);
/// Smallest share, as a fraction of an equal one, for which a box reports that it is idle.
const MIN_REPORTED_SHARE: f64 = 0.5;
/// Accounts without requests for this long are removed.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Number of boxes that may grant tokens of a customer: the coordinator and its standby.
const COORDINATORS: u32 = 2;

/// Whether a request is within its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the quota.
    Admitted,
    /// The request should wait for the coordinator's next grant.
    Wait,
    /// The request exceeds the quota. Tokens may be available after this time.
    Refused(Duration),
}

/// A token request that is ready to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct DueRequest {
    /// The customer whose tokens are requested.
    pub customer: Name,
    /// Rank of the receiver for that customer: 0 for the coordinator, 1 for its standby.
    pub rank: u32,
    /// The request to send.
    pub request: TokenRequest,
}

/// The token accounts of one box, by customer.
#[derive(Debug, Default)]
pub struct TokenAccounts {
    accounts: HashMap<Name, TokenAccount>,
    boxes: usize,
    last_number: u64,
}

#[derive(Debug)]
struct TokenAccount {
    limit: QuotaLimit,
    /// Granted tokens that are not spent yet.
    tokens: u32,
    /// Time at which `tokens` expire.
    valid_until: TimePoint,
    /// Granted tokens that expired and were not reported yet.
    unused: u32,
    /// Requests that were admitted without a grant and not reported yet.
    debt: u32,
    /// Requests that wait for tokens.
    waiting: u32,
    outstanding: Option<OutstandingRequest>,
    /// Number of successive token requests without an answer.
    failures: u32,
    failed_at: TimePoint,
    /// Time at which the box became cut off, if it is.
    cut_off_since: TimePoint,
    /// Time until which the standby is used in place of the coordinator.
    failover_until: TimePoint,
    scarce_until: TimePoint,
    /// Time until which requests are refused, since no tokens are expected before.
    refused_until: TimePoint,
    /// The share that was assigned last, and the time of the assignment.
    share: Option<(f64, TimePoint)>,
    /// Tokens that this box spends while it is cut off.
    cut_off_bucket: TokenBucket,
    /// Exponentially decaying count of requests, with decay time [`RATE_DECAY_TIME`].
    recent_requests: f64,
    last_request: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingRequest {
    number: u64,
    debt: u32,
    wanted: u32,
    rank: u32,
    sent: TimePoint,
}

impl TokenAccounts {
    /// Sets the number of boxes, including this one.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Decides on a new request of the customer.
    pub fn admit(&mut self, now: TimePoint, customer: &Name, limit: QuotaLimit) -> Admission {
        let boxes = self.assumed_boxes();
        let account = self.account(now, customer, limit);
        account.record_request(now);
        account.admit(now, boxes)
    }

    /// Decides again on a request for which [`TokenAccounts::admit`] returned [`Admission::Wait`].
    pub fn admit_waiting(
        &mut self,
        now: TimePoint,
        customer: &Name,
        limit: QuotaLimit,
    ) -> Admission {
        let boxes = self.assumed_boxes();
        self.account(now, customer, limit).admit(now, boxes)
    }

    /// Returns the token of a request that was admitted and ran at no target.
    pub fn refund(&mut self, now: TimePoint, customer: &Name) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if account.debt > 0 {
            account.debt -= 1;
            return;
        }
        account.expire_tokens(now);
        account.tokens += 1;
        account.valid_until = account.valid_until.max(now + TOKEN_VALIDITY);
    }

    /// Charges one more token for a request that was admitted and may run a second time.
    pub fn charge(&mut self, customer: &Name) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.debt = account.debt.saturating_add(1);
        }
    }

    /// Returns the token requests that are to be sent now.
    pub fn due_requests(&mut self, now: TimePoint) -> Vec<DueRequest> {
        let boxes = self.assumed_boxes();
        let mut due = Vec::new();
        for (customer, account) in &mut self.accounts {
            account.expire_outstanding(now);
            if !account.is_due(now, boxes) {
                continue;
            }
            self.last_number += 1;
            let (rank, request) = account.start_request(now, self.last_number, boxes);
            due.push(DueRequest { customer: customer.clone(), rank, request });
        }
        due
    }

    /// Returns the time at which [`TokenAccounts::due_requests`] is to be called next, or `None` while
    /// no account has a request to send.
    pub fn next_due(&self, now: TimePoint) -> Option<TimePoint> {
        let boxes = self.assumed_boxes();
        self.accounts.values().filter_map(|account| account.next_due(now, boxes)).min()
    }

    /// Applies a coordinator's grant, unless its request has timed out.
    pub fn apply_grant(&mut self, now: TimePoint, customer: &Name, grant: &TokenGrant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.apply_grant(now, grant);
        }
    }

    /// Returns whether the box reaches neither the coordinator of the customer nor its standby.
    pub fn is_cut_off(&self, customer: &Name) -> bool {
        self.accounts.get(customer).is_some_and(TokenAccount::is_cut_off)
    }

    /// Removes the accounts of customers without recent requests.
    pub fn remove_idle(&mut self, now: TimePoint) {
        self.accounts.retain(|_, account| now.since(account.last_request) < IDLE_RETENTION);
    }

    fn assumed_boxes(&self) -> usize {
        self.boxes.max(MIN_BOXES)
    }

    fn account(&mut self, now: TimePoint, customer: &Name, limit: QuotaLimit) -> &mut TokenAccount {
        let account = self.accounts.entry(customer.clone());
        let account = account.or_insert_with(|| TokenAccount::new(now, limit));
        account.limit = limit;
        account
    }
}

impl TokenAccount {
    fn new(now: TimePoint, limit: QuotaLimit) -> TokenAccount {
        TokenAccount {
            limit,
            tokens: 0,
            valid_until: now,
            unused: 0,
            debt: 0,
            waiting: 0,
            outstanding: None,
            failures: 0,
            failed_at: now,
            cut_off_since: now,
            failover_until: now,
            scarce_until: now,
            refused_until: now,
            share: None,
            cut_off_bucket: TokenBucket::new(now, 1.0),
            recent_requests: 0.0,
            last_request: now,
        }
    }

    fn record_request(&mut self, now: TimePoint) {
        let age = now.since(self.last_request).as_secs_f64() / RATE_DECAY_TIME.as_secs_f64();
        self.recent_requests = self.recent_requests * (-age).exp() + 1.0;
        self.last_request = now;
    }

    /// Returns this box's rate in requests a second.
    fn rate(&self) -> f64 {
        self.recent_requests / RATE_DECAY_TIME.as_secs_f64()
    }

    fn admit(&mut self, now: TimePoint, boxes: usize) -> Admission {
        self.expire_tokens(now);
        if self.tokens > 0 {
            self.tokens -= 1;
            return Admission::Admitted;
        }
        if self.is_cut_off() {
            return self.admit_cut_off(now, boxes);
        }
        if now < self.refused_until {
            return Admission::Refused(self.refused_until.since(now));
        }
        let max_debt = (self.rate() * MAX_DEBT_TIME.as_secs_f64()).max(1.0);
        if now >= self.scarce_until && f64::from(self.unconfirmed_debt() + 1) <= max_debt {
            self.debt += 1;
            return Admission::Admitted;
        }
        self.waiting += 1;
        Admission::Wait
    }

    /// Returns the debt that the coordinator has not confirmed yet.
    fn unconfirmed_debt(&self) -> u32 {
        self.debt + self.outstanding.map_or(0, |outstanding| outstanding.debt)
    }

    fn admit_cut_off(&mut self, now: TimePoint, boxes: usize) -> Admission {
        let is_early = now.since(self.cut_off_since) < UNRESPONSIVE_AFTER;
        let fraction =
            self.own_fraction(now, boxes) * if is_early { EARLY_FAILOVER_FRACTION } else { 1.0 };
        let rate = self.limit.per_second * fraction;
        self.cut_off_bucket.fill(now, rate, rate.max(1.0));
        if self.cut_off_bucket.try_take_one() {
            return Admission::Admitted;
        }
        let missing = (1.0 - self.cut_off_bucket.tokens()) / rate.max(0.01);
        Admission::Refused(Duration::from_secs_f64(missing.min(SCARCE_TIME.as_secs_f64())))
    }

    /// Returns the fraction of the customer's rate that this box may spend while it is cut off.
    fn own_fraction(&self, now: TimePoint, boxes: usize) -> f64 {
        let equal = EQUAL_SHARE_FRACTION / boxes as f64;
        match self.share {
            Some((share, assigned)) if now.since(assigned) < SHARE_VALIDITY => {
                (share * CUT_OFF_SHARE_FRACTION).max(equal)
            }
            _ => equal,
        }
    }

    /// Returns when the box reports to the coordinator that it is idle, if it has a share to release.
    fn idle_report_due(&self, now: TimePoint, boxes: usize) -> Option<TimePoint> {
        let (share, assigned) = self.share?;
        let is_worthwhile = share * boxes as f64 >= MIN_REPORTED_SHARE
            && now.since(self.last_request) < SHARE_VALIDITY;
        is_worthwhile.then(|| assigned + IDLE_REPORT_TIME)
    }

    fn is_cut_off(&self) -> bool {
        self.failures >= CUT_OFF_AFTER_FAILURES
    }

    fn expire_tokens(&mut self, now: TimePoint) {
        if now >= self.valid_until {
            self.unused = self.unused.saturating_add(std::mem::take(&mut self.tokens));
        }
    }

    fn expire_outstanding(&mut self, now: TimePoint) {
        let Some(outstanding) =
            self.outstanding.filter(|outstanding| now.since(outstanding.sent) >= REQUEST_TIMEOUT)
        else {
            return;
        };
        self.outstanding = None;
        self.debt = self.debt.saturating_add(outstanding.debt);
        self.failures = self.failures.saturating_add(1);
        self.failed_at = now;
        if self.failures == CUT_OFF_AFTER_FAILURES {
            // The share refills from now on. If it refilled from an earlier time, it would add to the
            // tokens that the box has been granted since then.
            self.cut_off_bucket = TokenBucket::new(now, 1.0);
            self.cut_off_since = now;
        }
        if outstanding.rank == 0 && self.failures >= STANDBY_AFTER_FAILURES {
            self.failover_until = now + FAILOVER_TIME;
        }
    }

    fn is_due(&self, now: TimePoint, boxes: usize) -> bool {
        if self.outstanding.is_some() {
            return false;
        }
        if self.is_cut_off() {
            return now.since(self.failed_at) >= CUT_OFF_RETRY_TIME;
        }
        let is_idle = || self.idle_report_due(now, boxes).is_some_and(|due| now >= due);
        self.debt > 0 || self.waiting > 0 || is_idle()
    }

    fn next_due(&self, now: TimePoint, boxes: usize) -> Option<TimePoint> {
        if let Some(outstanding) = self.outstanding {
            return Some(outstanding.sent + REQUEST_TIMEOUT);
        }
        if self.is_cut_off() {
            return Some(self.failed_at + CUT_OFF_RETRY_TIME);
        }
        if self.debt == 0 && self.waiting == 0 {
            return self.idle_report_due(now, boxes);
        }
        Some(now)
    }

    fn start_request(&mut self, now: TimePoint, number: u64, boxes: usize) -> (u32, TokenRequest) {
        let is_failover = now < self.failover_until || self.failures >= STANDBY_AFTER_FAILURES;
        // A box that is cut off alternates between the coordinator and its standby.
        let alternation = self.failures.saturating_sub(STANDBY_AFTER_FAILURES) % COORDINATORS;
        let rank = u32::from(is_failover && alternation == 0);
        let wanted = if self.waiting > 0 {
            // Only few tokens are prefetched, because unused ones are returned too late for other
            // boxes.
            let prefetched = (self.rate() * PREFETCH_TIME.as_secs_f64()).floor();
            (f64::from(self.waiting) + prefetched).min(MAX_WANTED) as u32
        } else {
            0
        };
        self.expire_tokens(now);
        let debt = std::mem::take(&mut self.debt);
        let unused = std::mem::take(&mut self.unused);
        self.waiting = 0;
        self.outstanding = Some(OutstandingRequest { number, debt, wanted, rank, sent: now });
        let equal = 1.0 / boxes as f64;
        let assigned = self.share.filter(|(_, assigned)| now.since(*assigned) < SHARE_VALIDITY);
        let share = assigned.map_or(equal, |(share, _)| share);
        let is_share_assigned = assigned.is_some();
        (rank, TokenRequest { number, debt, unused, wanted, share, is_share_assigned })
    }

    fn apply_grant(&mut self, now: TimePoint, grant: &TokenGrant) {
        let Some(outstanding) =
            self.outstanding.take_if(|outstanding| outstanding.number == grant.number)
        else {
            return;
        };
        // The tokens that the box spent while it was cut off are not reported: the coordinator has
        // reserved its share.
        self.failures = 0;
        self.share = Some((grant.share, now));
        self.expire_tokens(now);
        self.tokens += grant.granted;
        self.valid_until = now + TOKEN_VALIDITY;
        if grant.scarce {
            self.scarce_until = now + SCARCE_TIME;
        }
        if grant.granted < outstanding.wanted {
            self.refused_until = now + grant.wait;
        }
    }
}
