//! The bucket of a customer's credit, at the box that keeps it for all.
//!
//! What a keeper gives out grows by the customer's rate, so that no window sees more than rate and
//! burst allow, whoever asks. The rate is split into shares that boxes hold, and a keeper speaks for
//! the shares of the boxes that it hears: one that is cut off goes on with its share, alone or with
//! a keeper on its side, and the keeper that does not hear it holds that share back. So both sides
//! of a cut together spend no more than before, however long it lasts and whoever takes itself for
//! the whole. A process that has just started does not know what ran before it: it begins with a
//! part of the burst and a smaller rate.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::Name;
use crate::quota::bucket::TokenBucket;
use crate::quota::{QuotaGrant, QuotaLimit, QuotaRequest, QuotaRequester, QuotaSlack, SHARE_TIME};
use crate::time::TimePoint;

/// What boxes asked counts for about this long in their shares: the users count in windows of 5 s.
const USE_TIME: Duration = Duration::from_secs(5);
/// A box that asks often is taken as cut off after this long without an ask.
pub(crate) const SILENT_AFTER: Duration = Duration::from_secs(1);
/// The same in multiples of the time between two of its asks, for boxes that ask rarely.
const SILENT_GAPS: f64 = 2.0;
/// No box is taken to ask less often than this in [`USE_TIME`].
const LEAST_ASKED: f64 = 0.5;
/// Part of the rate in the first window of a process: the keeper before it may still be asked by
/// boxes that have not heard of the new one.
const YOUNG_PART: f64 = 0.7;
/// Shares that a keeper finds again in a second while it hears all boxes that it knows of: those that
/// boxes held which have ended, and what its predecessor had not dealt.
const FOUND_PER_S: f64 = 0.5;
/// The same while it misses a box, which may be cut off with them: in a cut of 12 s both sides together
/// come to 1.24 of the rate, and without the burst, which is spent by then, 1.32 of it is within the bound.
const FOUND_PER_S_ALONE: f64 = 0.01;
/// They are found again this long after: a keeper that is cut off knows it by then.
const FOUND_LAG: Duration = Duration::from_secs(2);
/// Part of its shares that a box or a deputy spends while the first keeper may still give them to
/// others: datagrams that are lost look like a cut for some tenths of a second. With all of it, and
/// 9 in 100 datagrams lost, fleets of 4 to 6 boxes had up to 1.05 of the bound at ten times their usual.
pub(crate) const HASTY_PART: f64 = 0.25;
/// Part of the burst that a keeper begins with: the rest may have been given out by another one.
const FIRST_PART: f64 = 0.5;
/// Part of the burst that a deputy has: the first keeper may have given it out.
const DEPUTY_PART: f64 = 0.2;
/// Part of the operators' slack that is given out: the rest is for what boxes spend ahead.
const SLACK_PART: f64 = 0.25;
/// Credit is scarce below this part of the burst: at ten times the usual a bucket that holds a
/// second's credit is then empty some 50 ms later, in which all boxes hear of it.
const SCARCE_PART: f64 = 0.25;
/// Below so many requests it is scarce in any case.
const SCARCE_LEAST: f64 = 2.0;
/// Part of the rate while credit is scarce: what boxes spend before they hear of a cut comes on top.
/// On 18 fleets cut in three at ten times the usual load two had up to 1.03 of the bound without it.
const SCARCE_RATE_PART: f64 = 0.94;
/// Debt of more than this part of the burst is forgiven.
const DEBT_PART: f64 = 0.5;
/// Bounds on the time after which a box without credit asks again.
const WAIT_LEAST: Duration = Duration::from_millis(150);
const WAIT_MOST: Duration = Duration::from_secs(1);
/// Customers that rest this long are forgotten.
const REST_TIME: Duration = Duration::from_secs(60);

/// What a keeper is to the box that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorRole {
    /// The first by rank: where nobody holds shares yet, it has all of them to give.
    Primary,
    /// The second, for boxes that can't reach the first: it has what they bring.
    Standby,
}

/// Where a keeper stands when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorStatus {
    /// What it is to the box that asks.
    pub role: CoordinatorRole,
    /// Whether it hears all boxes of its data centre that it knows of and that did not end as planned.
    pub reaches_all: bool,
}

/// The buckets that this box keeps.
#[derive(Debug)]
pub struct QuotaCoordinator {
    started: TimePoint,
    slack: QuotaSlack,
    customers: HashMap<Name, KeptQuota>,
}

#[derive(Debug)]
struct KeptQuota {
    /// `None` before the first box has asked.
    bucket: Option<TokenBucket>,
    /// What boxes asked, by their keys.
    boxes: HashMap<u64, BoxUse>,
    /// The shares that boxes brought here, together: what is dealt anew among them.
    shares: f64,
    /// Whether a box has come with a share that a keeper had told it.
    is_dealt: bool,
    /// Up to when shares were found again.
    found_until: TimePoint,
    /// When it was asked first after a pause.
    since: TimePoint,
    /// When it was asked last.
    faded: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct BoxUse {
    /// The life of the box that was heard last.
    life: u64,
    /// Requests of late, fading with [`USE_TIME`].
    asked: f64,
    /// The same when it was heard last: by how often it asked then, its silence is told.
    pace: f64,
    /// The share that it was told last, and holds while it is cut off.
    share: f64,
    heard: TimePoint,
}

impl QuotaCoordinator {
    /// A keeper in a process that starts at `now`.
    pub fn new(now: TimePoint, slack: QuotaSlack) -> QuotaCoordinator {
        QuotaCoordinator { started: now, slack, customers: HashMap::new() }
    }

    /// Answers the box `asker`.
    pub fn answer(
        &mut self,
        now: TimePoint,
        requester: QuotaRequester,
        customer: &Name,
        limit: QuotaLimit,
        request: &QuotaRequest,
        status: CoordinatorStatus,
    ) -> QuotaGrant {
        let role = status.role;
        let is_young = now.since(self.started) < self.slack.window;
        let kept = self.customers.entry(customer.clone());
        let kept = kept.or_insert_with(|| KeptQuota::new(now));
        kept.find_shares(now, status);
        kept.fade(now);
        kept.record_requester(now, requester, request, role);
        let heard = kept.heard_shares(now);
        let part = match role {
            CoordinatorRole::Primary if is_young => heard * YOUNG_PART,
            CoordinatorRole::Primary => heard,
            // The first keeper holds nothing back for its askers yet.
            CoordinatorRole::Standby if now.since(kept.since) < SILENT_AFTER => heard * HASTY_PART,
            CoordinatorRole::Standby => heard,
        };
        let slack = self.slack.requests * SLACK_PART * part;
        let rate = limit.per_second * part + slack / self.slack.window.as_secs_f64().max(0.1);
        let burst = match role {
            CoordinatorRole::Primary => limit.burst,
            CoordinatorRole::Standby => limit.burst * DEPUTY_PART,
        };
        let most = burst * part + slack;
        let first = burst * part * FIRST_PART + slack;
        let bucket = kept.bucket.get_or_insert_with(|| TokenBucket::new(now, first));
        let least = (most * SCARCE_PART).max(SCARCE_LEAST);
        let filled = if bucket.tokens() < least { rate * SCARCE_RATE_PART } else { rate };
        bucket.fill(now, filled, most);
        bucket.refund(f64::from(request.unused), most);
        bucket.spend(f64::from(request.debt), -limit.burst * DEBT_PART);
        let scarce = bucket.tokens() < least;
        let granted = grant(bucket, request.wanted, scarce);
        let more = request.debt.saturating_add(granted);
        let share = kept.deal_share(now, requester.box_key, more, heard);
        QuotaGrant { number: request.number, granted, scarce, wait: kept.wait(rate), share }
    }

    /// A box ends as planned: its shares go to the others.
    pub fn record_box_stopped(&mut self, requester: QuotaRequester) {
        for kept in self.customers.values_mut() {
            if kept
                .boxes
                .get(&requester.box_key)
                .is_some_and(|used| used.life == requester.incarnation)
            {
                kept.boxes.remove(&requester.box_key);
            }
        }
    }

    /// Forgets customers of whom nobody asks any more.
    pub fn remove_idle(&mut self, now: TimePoint) {
        self.customers.retain(|_, kept| now.since(kept.faded) < REST_TIME);
    }
}

impl KeptQuota {
    fn new(now: TimePoint) -> KeptQuota {
        let boxes = HashMap::new();
        KeptQuota {
            bucket: None,
            boxes,
            shares: 0.0,
            is_dealt: false,
            found_until: now,
            since: now,
            faded: now,
        }
    }

    /// Takes shares that nobody holds any more for its own: they were lost with boxes that ended. After
    /// all boxes had been killed small customers were refused a third of their requests for 10 s.
    ///
    /// A deputy finds none: the first keeper has what it misses.
    fn find_shares(&mut self, now: TimePoint, status: CoordinatorStatus) {
        let (rate, until) = match status {
            CoordinatorStatus { role: CoordinatorRole::Standby, .. } => (0.0, now),
            CoordinatorStatus { reaches_all: false, .. } => (FOUND_PER_S_ALONE, now),
            _ => (FOUND_PER_S, now.before(FOUND_LAG).max(self.found_until)),
        };
        let passed = until.since(self.found_until).min(FOUND_LAG);
        self.shares = (self.shares + rate * passed.as_secs_f64()).min(1.0);
        self.found_until = until;
    }

    fn fade(&mut self, now: TimePoint) {
        if now.since(self.faded) >= SILENT_AFTER {
            self.since = now;
        }
        let age = now.since(self.faded).as_secs_f64() / USE_TIME.as_secs_f64();
        let kept = (-age).exp();
        for used in self.boxes.values_mut() {
            used.asked *= kept;
        }
        self.boxes.retain(|_, used| now.since(used.heard) < SHARE_TIME);
        self.faded = now;
    }

    /// Notes that a box asks. One that is new here brings its share; one that has started again
    /// has that of its life before, of which it knows nothing.
    fn record_requester(
        &mut self,
        now: TimePoint,
        requester: QuotaRequester,
        request: &QuotaRequest,
        role: CoordinatorRole,
    ) {
        let QuotaRequester { box_key, incarnation: life } = requester;
        if let Some(used) = self.boxes.get_mut(&box_key) {
            (used.life, used.heard) = (life, now);
            return;
        }
        if request.is_share_assigned && !self.is_dealt {
            // All was there to give while nobody had a share. It is not any more.
            self.shares = self.dealt();
            self.is_dealt = true;
        }
        let brought = request.share.clamp(0.0, 1.0);
        let used = BoxUse { life, asked: 0.0, pace: 0.0, share: brought, heard: now };
        self.boxes.insert(box_key, used);
        let all_are_new = !self.is_dealt && role == CoordinatorRole::Primary;
        self.shares = if all_are_new { 1.0 } else { (self.shares + brought).min(1.0) };
    }

    /// The shares that boxes hold by what they were told here.
    fn dealt(&self) -> f64 {
        self.boxes.values().map(|used| used.share).sum()
    }

    /// The shares of the boxes that are heard. Those of the others are held back for them.
    fn heard_shares(&self, now: TimePoint) -> f64 {
        let silent = self.boxes.values().filter(|used| used.is_silent(now));
        let held: f64 = silent.map(|used| used.share).sum();
        (self.shares - held).max(0.0)
    }

    /// Notes that a box had `more` requests; returns the share that it holds from now on, by its
    /// part of what the boxes that are `heard` asked.
    ///
    /// A share only grows by what others have given up: dealt anew all at once, those that had not
    /// asked again held theirs beside it, and cut off together they spent 2.6 times what was theirs.
    fn deal_share(&mut self, now: TimePoint, box_key: u64, more: u32, heard: f64) -> f64 {
        let left = (self.shares - self.dealt()).max(0.0);
        if let Some(used) = self.boxes.get_mut(&box_key) {
            used.asked += f64::from(more);
            used.pace = used.asked;
        }
        let active = self.boxes.values().filter(|used| !used.is_silent(now));
        let all: f64 = active.map(|used| used.asked).sum();
        let Some(used) = self.boxes.get_mut(&box_key) else {
            return 0.0;
        };
        if all > 0.0 {
            used.share = (heard * used.asked / all).min(used.share + left);
        }
        used.share
    }

    /// The time in which there is one request for each box that asks.
    fn wait(&self, rate: f64) -> Duration {
        let boxes = self.boxes.len().max(1) as f64;
        let wait = Duration::from_secs_f64((boxes / rate.max(0.1)).min(WAIT_MOST.as_secs_f64()));
        wait.clamp(WAIT_LEAST, WAIT_MOST)
    }
}

impl BoxUse {
    /// Whether it asked nothing for so long that it may be cut off.
    fn is_silent(&self, now: TimePoint) -> bool {
        let gap = USE_TIME.as_secs_f64() / self.pace.max(LEAST_ASKED);
        now.since(self.heard) >= SILENT_AFTER + Duration::from_secs_f64(gap * SILENT_GAPS)
    }
}

/// Takes what is wished for out of a bucket, and half of what there is at most while it is scarce, so
/// that boxes that ask next get some.
fn grant(bucket: &mut TokenBucket, wish: u32, scarce: bool) -> u32 {
    let there = bucket.tokens().max(0.0);
    let most = if scarce { (there / 2.0).ceil().min(there.floor()) } else { there.floor() };
    let granted = f64::from(wish).min(most);
    bucket.spend(granted, 0.0);
    granted as u32
}
