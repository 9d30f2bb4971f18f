//! A box's own side of customers' quotas: what it admits, owes and asks for.
//!
//! While credit is plentiful a request is admitted at once and told afterwards; a few may be
//! owed, so that the keeper's bucket is never behind by more than a tenth of a second. Once it is
//! scarce, credit comes first: requests wait for the keeper's answer, one round trip, and are refused
//! at once while it has said that there is none.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::quota::bucket::TokenBucket;
use crate::quota::coordinator::{HASTY_PART, SILENT_AFTER};
use crate::quota::{QuotaGrant, QuotaLimit, QuotaRequest, SHARE_TIME};
use crate::time::TimePoint;

/// Requests that are owed at most, in time of this box's usual rate; one is always allowed.
const AHEAD_TIME: Duration = Duration::from_millis(100);
/// What is wished for when credit is scarce, in time of this box's rate.
const WISH_TIME: Duration = Duration::from_millis(250);
/// Requests that are wished for at most.
const WISH_MOST: f64 = 64.0;
/// Credit that a keeper gave is good for this long: kept for longer it would be spent in a window
/// in which the keeper has given out as much again.
const CREDIT_TIME: Duration = Duration::from_millis(500);
/// No box spends ahead for this long after a keeper said that credit is scarce.
const SCARCE_TIME: Duration = Duration::from_secs(5);
/// An ask without an answer is given up after this long: a round trip takes some milliseconds, and
/// boxes with a tenth of a core answer some tens of milliseconds late when they are busy.
const ASK_TIME: Duration = Duration::from_millis(80);
/// Asks without an answer after which the first keeper's deputy is asked: with one, and 9 in 100
/// datagrams lost, both gave credit for the same boxes, 1.05 of the bound.
const FIRST_ASKS: u32 = 2;
/// Asks in a row without an answer after which a box counts itself as cut off.
const FAILED_ASKS: u32 = 3;
/// Time between two asks of a box that is cut off.
const CUT_PAUSE: Duration = Duration::from_millis(300);
/// A keeper that did not answer is passed over for this long.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// Part of its share that a box without a keeper spends: shares are some seconds old.
const SHARE_PART: f64 = 0.7;
/// The same of an equal share, where it was told none.
const EQUAL_PART: f64 = 0.25;
/// Fewer boxes are never assumed. Source: 36 to 40 boxes at either user.
const LEAST_BOXES: usize = 40;
/// Requests of this box are averaged over about this time.
const RATE_TIME: Duration = Duration::from_secs(1);
/// A keeper hears of a box that has nothing to do for a customer after this time, so that its share
/// goes to others and is not held back for it: without that, callers that had moved to other boxes
/// lost 14 in 100 requests of a small customer.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// A share below this part of an equal one is not worth telling.
const LEAST_SHARE: f64 = 0.5;
/// Accounts that rest this long are forgotten.
const REST_TIME: Duration = Duration::from_secs(60);
/// Keepers of one customer: the first by rank, and its deputy.
const KEEPERS: u32 = 2;

/// Whether a request is within its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// A keeper has to be asked: it had better wait for that.
    Wait,
    /// It is not; there may be credit after this time.
    Refused(Duration),
}

/// An ask that is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct DueRequest {
    /// The customer.
    pub customer: Name,
    /// The place of the keeper by rank: 0 for the first, 1 for its deputy.
    pub rank: u32,
    /// The ask.
    pub request: QuotaRequest,
}

/// A box's accounts with all customers.
#[derive(Debug, Default)]
pub struct TokenAccounts {
    accounts: HashMap<Name, TokenAccount>,
    boxes: usize,
    asks: u64,
}

#[derive(Debug)]
struct TokenAccount {
    limit: QuotaLimit,
    /// Requests that may be admitted, and until when.
    credit: u32,
    good_until: TimePoint,
    /// Requests that might have been admitted and were not in time.
    unused: u32,
    /// Requests that were admitted ahead and not told of.
    owed: u32,
    /// Requests that wait for credit.
    waiting: u32,
    outstanding: Option<OpenAsk>,
    /// Asks in a row that had no answer.
    failed: u32,
    failed_at: TimePoint,
    /// Since when it is cut off, if it is.
    cut_since: TimePoint,
    /// The first keeper is passed over until then.
    first_from: TimePoint,
    scarce_until: TimePoint,
    /// There is no credit before then.
    closed_until: TimePoint,
    share: Option<(f64, TimePoint)>,
    /// What this box spends while it is cut off.
    alone: TokenBucket,
    /// Requests of late, fading with [`RATE_TIME`].
    asked: f64,
    seen: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct OpenAsk {
    number: u64,
    owed: u32,
    wish: u32,
    place: u32,
    sent: TimePoint,
}

impl TokenAccounts {
    /// How many boxes there are, this one counted.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// A request of the customer came; whether it may go on.
    pub fn admit(&mut self, now: TimePoint, customer: &Name, limit: QuotaLimit) -> Admission {
        let boxes = self.counted_boxes();
        let account = self.account(now, customer, limit);
        account.note_request(now);
        account.admit(now, boxes)
    }

    /// The same for a request that has waited.
    pub fn admit_waiting(
        &mut self,
        now: TimePoint,
        customer: &Name,
        limit: QuotaLimit,
    ) -> Admission {
        let boxes = self.counted_boxes();
        self.account(now, customer, limit).admit(now, boxes)
    }

    /// A request that was admitted ran nowhere.
    pub fn refund(&mut self, now: TimePoint, customer: &Name) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if account.owed > 0 {
            account.owed -= 1;
            return;
        }
        account.drop_stale(now);
        account.credit += 1;
        account.good_until = account.good_until.max(now + CREDIT_TIME);
    }

    /// A request that was admitted may run once more.
    pub fn charge(&mut self, customer: &Name) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.owed = account.owed.saturating_add(1);
        }
    }

    /// Asks that are to be sent now.
    pub fn due_requests(&mut self, now: TimePoint) -> Vec<DueRequest> {
        let boxes = self.counted_boxes();
        let mut due = Vec::new();
        for (customer, account) in &mut self.accounts {
            account.give_up_late(now);
            if !account.is_due(now, boxes) {
                continue;
            }
            self.asks += 1;
            let (rank, request) = account.ask(now, self.asks, boxes);
            due.push(DueRequest { customer: customer.clone(), rank, request });
        }
        due
    }

    /// When to look again for asks that are due or late; `None` while nothing is open.
    pub fn next_due(&self, now: TimePoint) -> Option<TimePoint> {
        let boxes = self.counted_boxes();
        self.accounts.values().filter_map(|account| account.next_due(now, boxes)).min()
    }

    /// Takes a keeper's answer, if it is waited for.
    pub fn apply_grant(&mut self, now: TimePoint, customer: &Name, grant: &QuotaGrant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.apply_grant(now, grant);
        }
    }

    /// Whether the box reaches no keeper of that customer.
    pub fn is_cut_off(&self, customer: &Name) -> bool {
        self.accounts.get(customer).is_some_and(TokenAccount::is_cut_off)
    }

    /// Forgets customers that rest.
    pub fn remove_idle(&mut self, now: TimePoint) {
        self.accounts.retain(|_, account| now.since(account.seen) < REST_TIME);
    }

    fn counted_boxes(&self) -> usize {
        self.boxes.max(LEAST_BOXES)
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
            credit: 0,
            good_until: now,
            unused: 0,
            owed: 0,
            waiting: 0,
            outstanding: None,
            failed: 0,
            failed_at: now,
            cut_since: now,
            first_from: now,
            scarce_until: now,
            closed_until: now,
            share: None,
            alone: TokenBucket::new(now, 1.0),
            asked: 0.0,
            seen: now,
        }
    }

    fn note_request(&mut self, now: TimePoint) {
        let age = now.since(self.seen).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.asked = self.asked * (-age).exp() + 1.0;
        self.seen = now;
    }

    /// Requests a second.
    fn rate(&self) -> f64 {
        self.asked / RATE_TIME.as_secs_f64()
    }

    fn admit(&mut self, now: TimePoint, boxes: usize) -> Admission {
        self.drop_stale(now);
        if self.credit > 0 {
            self.credit -= 1;
            return Admission::Admitted;
        }
        if self.is_cut_off() {
            return self.admit_alone(now, boxes);
        }
        if now < self.closed_until {
            return Admission::Refused(self.closed_until.since(now));
        }
        let ahead = (self.rate() * AHEAD_TIME.as_secs_f64()).max(1.0);
        if now >= self.scarce_until && f64::from(self.told_late() + 1) <= ahead {
            self.owed += 1;
            return Admission::Admitted;
        }
        self.waiting += 1;
        Admission::Wait
    }

    /// Requests that the keeper does not know of yet.
    fn told_late(&self) -> u32 {
        self.owed + self.outstanding.map_or(0, |open| open.owed)
    }

    fn admit_alone(&mut self, now: TimePoint, boxes: usize) -> Admission {
        let is_hasty = now.since(self.cut_since) < SILENT_AFTER;
        let part = self.own_part(now, boxes) * if is_hasty { HASTY_PART } else { 1.0 };
        let rate = self.limit.per_second * part;
        self.alone.fill(now, rate, rate.max(1.0));
        if self.alone.try_take_one() {
            return Admission::Admitted;
        }
        let missing = (1.0 - self.alone.tokens()) / rate.max(0.01);
        Admission::Refused(Duration::from_secs_f64(missing.min(SCARCE_TIME.as_secs_f64())))
    }

    /// The part of the customer's rate that this box may spend by itself.
    fn own_part(&self, now: TimePoint, boxes: usize) -> f64 {
        let equal = EQUAL_PART / boxes as f64;
        match self.share {
            Some((share, told)) if now.since(told) < SHARE_TIME => (share * SHARE_PART).max(equal),
            _ => equal,
        }
    }

    /// When the keeper is to hear that this box has nothing to do, if it has a share.
    fn idle_due(&self, now: TimePoint, boxes: usize) -> Option<TimePoint> {
        let (share, told) = self.share?;
        let is_worth = share * boxes as f64 >= LEAST_SHARE && now.since(self.seen) < SHARE_TIME;
        is_worth.then(|| told + IDLE_TIME)
    }

    fn is_cut_off(&self) -> bool {
        self.failed >= FAILED_ASKS
    }

    fn drop_stale(&mut self, now: TimePoint) {
        if now >= self.good_until {
            self.unused = self.unused.saturating_add(std::mem::take(&mut self.credit));
        }
    }

    fn give_up_late(&mut self, now: TimePoint) {
        let Some(open) = self.outstanding.filter(|open| now.since(open.sent) >= ASK_TIME) else {
            return;
        };
        self.outstanding = None;
        self.owed = self.owed.saturating_add(open.owed);
        self.failed = self.failed.saturating_add(1);
        self.failed_at = now;
        if self.failed == FAILED_ASKS {
            // Its share counts from now on: filled from before, it came on top of what it was granted.
            self.alone = TokenBucket::new(now, 1.0);
            self.cut_since = now;
        }
        if open.place == 0 && self.failed >= FIRST_ASKS {
            self.first_from = now + PASSED_OVER;
        }
    }

    fn is_due(&self, now: TimePoint, boxes: usize) -> bool {
        if self.outstanding.is_some() {
            return false;
        }
        if self.is_cut_off() {
            return now.since(self.failed_at) >= CUT_PAUSE;
        }
        let is_idle = || self.idle_due(now, boxes).is_some_and(|due| now >= due);
        self.owed > 0 || self.waiting > 0 || is_idle()
    }

    fn next_due(&self, now: TimePoint, boxes: usize) -> Option<TimePoint> {
        if let Some(open) = self.outstanding {
            return Some(open.sent + ASK_TIME);
        }
        if self.is_cut_off() {
            return Some(self.failed_at + CUT_PAUSE);
        }
        if self.owed == 0 && self.waiting == 0 {
            return self.idle_due(now, boxes);
        }
        Some(now)
    }

    fn ask(&mut self, now: TimePoint, number: u64, boxes: usize) -> (u32, QuotaRequest) {
        let is_passed = now < self.first_from || self.failed >= FIRST_ASKS;
        // A box that is cut off tries both by turns.
        let turn = self.failed.saturating_sub(FIRST_ASKS) % KEEPERS;
        let place = u32::from(is_passed && turn == 0);
        let wish = if self.waiting > 0 {
            // What is wished for too much comes back too late for others.
            let soon = (self.rate() * WISH_TIME.as_secs_f64()).floor();
            (f64::from(self.waiting) + soon).min(WISH_MOST) as u32
        } else {
            0
        };
        self.drop_stale(now);
        let owed = std::mem::take(&mut self.owed);
        let unused = std::mem::take(&mut self.unused);
        self.waiting = 0;
        self.outstanding = Some(OpenAsk { number, owed, wish, place, sent: now });
        let equal = 1.0 / boxes as f64;
        let told = self.share.filter(|(_, told)| now.since(*told) < SHARE_TIME);
        let share = told.map_or(equal, |(share, _)| share);
        let is_told = told.is_some();
        (
            place,
            QuotaRequest {
                number,
                debt: owed,
                unused,
                wanted: wish,
                share,
                is_share_assigned: is_told,
            },
        )
    }

    fn apply_grant(&mut self, now: TimePoint, grant: &QuotaGrant) {
        let Some(open) = self.outstanding.take_if(|open| open.number == grant.number) else {
            return;
        };
        // What it spent alone was held back for it, and is not told.
        self.failed = 0;
        self.share = Some((grant.share, now));
        self.drop_stale(now);
        self.credit += grant.granted;
        self.good_until = now + CREDIT_TIME;
        if grant.scarce {
            self.scarce_until = now + SCARCE_TIME;
        }
        if grant.granted < open.wish {
            self.closed_until = now + grant.wait;
        }
    }
}
