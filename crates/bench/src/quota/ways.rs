//! The ways themselves: what boxes run, and two that were weighed against it.

use std::collections::HashMap;
use std::time::Duration;

use wingbridge_decide::quota::bucket::TokenBucket;
use wingbridge_decide::quota::{
    Admission, CoordinatorRole, CoordinatorStatus, DueRequest, QuotaCoordinator, QuotaLimit,
    QuotaSlack, TokenAccounts, TokenGrant, TokenRequest, TokenRequester,
};
use wingbridge_decide::{Name, TimePoint};

use super::fleet::{BoxTable, WayBox};

/// The window in which requests are counted, and what is allowed above it. Source: the users' sheet.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
pub(crate) const SLACK: f64 = 20.0;
pub(crate) const EXCESS: f64 = 0.1;
/// Time between two tellings of a box in the ways that tell all.
const TELL_TIME: Duration = Duration::from_millis(200);
/// Length of a part of the window.
const PART: Duration = Duration::from_millis(250);
/// A box that told nothing for this long may be cut off.
const SILENT: Duration = Duration::from_secs(1);
/// Part of the rate that allotments hold back for boxes that are not heard.
const HELD_BACK: f64 = 0.05;

/// A box of the way that boxes run: keepers of credit.
pub(crate) struct KeeperBox {
    number: usize,
    /// For how long its process had run when it was started here.
    before: Duration,
    customer: Name,
    book: TokenAccounts,
    keeper: QuotaCoordinator,
    started: TimePoint,
}

#[derive(Clone)]
pub(crate) enum KeeperMessage {
    Ask(TokenRequest),
    Grant(TokenGrant),
}

impl KeeperBox {
    /// The time of its process, which counts from its start.
    fn own(&self, now: TimePoint) -> TimePoint {
        TimePoint::default() + self.before + now.since(self.started)
    }
}

impl WayBox for KeeperBox {
    type Message = KeeperMessage;

    fn start(now: TimePoint, number: usize, life: u64, boxes: usize) -> KeeperBox {
        let mut book = TokenAccounts::default();
        book.set_boxes(boxes);
        let slack = QuotaSlack { requests: SLACK, window: WINDOW };
        // The first boxes of a fleet have run for a while when traffic begins.
        let before = if life == 0 { WINDOW } else { Duration::ZERO };
        KeeperBox {
            number,
            before,
            customer: "customer".into(),
            book,
            keeper: QuotaCoordinator::new(TimePoint::default(), slack),
            started: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission {
        let now = self.own(now);
        if is_new {
            self.book.admit(now, &self.customer, limit)
        } else {
            self.book.admit_waiting(now, &self.customer, limit)
        }
    }

    fn due(
        &mut self,
        now: TimePoint,
        _: QuotaLimit,
        ranks: &[usize],
    ) -> Vec<(usize, KeeperMessage)> {
        let due = self.book.due_requests(self.own(now)).into_iter();
        let send = |due: DueRequest| {
            Some((*ranks.get(due.rank as usize)?, KeeperMessage::Ask(due.request)))
        };
        due.filter_map(send).collect()
    }

    fn take(
        &mut self,
        now: TimePoint,
        (from, life): (usize, u64),
        message: &KeeperMessage,
        limit: QuotaLimit,
        table: &BoxTable,
    ) -> Option<KeeperMessage> {
        let now = self.own(now);
        match message {
            KeeperMessage::Ask(ask) => {
                let is_first = table.ranks.first() == Some(&self.number);
                let role =
                    if is_first { CoordinatorRole::Primary } else { CoordinatorRole::Standby };
                let status = CoordinatorStatus { role, reaches_all: table.hears_all };
                let asker = TokenRequester { box_key: from as u64, incarnation: life };
                let grant = self.keeper.answer(now, asker, &self.customer, limit, ask, status);
                Some(KeeperMessage::Grant(grant))
            }
            KeeperMessage::Grant(grant) => {
                self.book.apply_grant(now, &self.customer, grant);
                None
            }
        }
    }

    fn note_ended(&mut self, (number, life): (usize, u64)) {
        self.keeper
            .record_box_stopped(TokenRequester { box_key: number as u64, incarnation: life });
    }

    fn bytes(message: &KeeperMessage) -> usize {
        // As the codec writes them, with names of boxes of 16 bytes and of customers of 8.
        match message {
            KeeperMessage::Ask(_) => 64,
            KeeperMessage::Grant(_) => 66,
        }
    }
}

/// What boxes that tell all others were told last, by box, and when.
type ToldByPeers = HashMap<usize, (f64, TimePoint)>;

/// The same `amount` for each box of a table but the one with the number `own`.
fn tell_others(ranks: &[usize], own: usize, amount: f64) -> Vec<(usize, f64)> {
    ranks.iter().filter(|other| **other != own).map(|other| (*other, amount)).collect()
}

/// Bytes of an amount that is told, without packet headers.
const TOLD_BYTES: usize = 50;

/// A box that tells all others what it admitted within the window.
pub(crate) struct SumsBox {
    boxes: usize,
    own: Vec<(TimePoint, f64)>,
    peers: ToldByPeers,
    told: TimePoint,
    untold: bool,
    number: usize,
}

impl SumsBox {
    fn own_sum(&mut self, now: TimePoint) -> f64 {
        self.own.retain(|(at, _)| now.since(*at) < WINDOW + PART);
        self.own.iter().map(|(_, count)| count).sum()
    }
}

impl WayBox for SumsBox {
    type Message = f64;

    fn start(now: TimePoint, number: usize, _: u64, boxes: usize) -> SumsBox {
        let (own, peers) = (Vec::new(), HashMap::new());
        SumsBox { boxes, own, peers, told: now, untold: false, number }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        let own = self.own_sum(now);
        self.peers.retain(|_, (_, told)| now.since(*told) < WINDOW);
        let others: f64 = self.peers.values().map(|(sum, _)| sum).sum();
        let most = limit.per_second * WINDOW.as_secs_f64() + limit.burst;
        // Who was never heard may spend as much as an equal share.
        let unheard = self.boxes.saturating_sub(self.peers.len() + 1) as f64 / self.boxes as f64;
        let is_alone = self.peers.is_empty();
        let part = if is_alone { 1.0 / self.boxes as f64 } else { 1.0 - unheard * HELD_BACK };
        if own + others + 1.0 > most * part + SLACK / 4.0 {
            return Admission::Refused(PART);
        }
        match self.own.last_mut() {
            Some((at, count)) if now.since(*at) < PART => *count += 1.0,
            _ => self.own.push((now, 1.0)),
        }
        self.untold = true;
        Admission::Admitted
    }

    fn due(&mut self, now: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, f64)> {
        if !self.untold || now.since(self.told) < TELL_TIME {
            return Vec::new();
        }
        (self.told, self.untold) = (now, false);
        let sum = self.own_sum(now);
        tell_others(ranks, self.number, sum)
    }

    fn take(
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
        TOLD_BYTES
    }
}

/// A box that spends a part of the rate, by what it and the others lately asked.
pub(crate) struct AllotmentBox {
    number: usize,
    boxes: usize,
    asked: f64,
    seen: TimePoint,
    peers: ToldByPeers,
    bucket: TokenBucket,
    told: TimePoint,
}

impl AllotmentBox {
    fn fade(&mut self, now: TimePoint) {
        let age = now.since(self.seen).as_secs_f64() / WINDOW.as_secs_f64();
        self.asked *= (-age).exp();
        self.seen = now;
    }
}

impl WayBox for AllotmentBox {
    type Message = f64;

    fn start(now: TimePoint, number: usize, _: u64, boxes: usize) -> AllotmentBox {
        AllotmentBox {
            number,
            boxes,
            asked: 0.0,
            seen: now,
            peers: HashMap::new(),
            bucket: TokenBucket::new(now, 1.0),
            told: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, is_new: bool) -> Admission {
        self.fade(now);
        self.asked += if is_new { 1.0 } else { 0.0 };
        // What a box that is not heard any more asked lately is left to it.
        self.peers.retain(|_, (_, told)| now.since(*told) < WINDOW * 6);
        let others: f64 = self.peers.values().map(|(asked, _)| asked).sum();
        let heard = self.peers.values().filter(|(_, told)| now.since(*told) < SILENT * 3).count();
        let share = if heard == 0 {
            1.0 / self.boxes as f64
        } else {
            self.asked / (self.asked + others).max(0.01)
        };
        let part = share * (1.0 - HELD_BACK);
        let rate = limit.per_second * part + SLACK * part / WINDOW.as_secs_f64() / 2.0;
        self.bucket.fill(now, rate, (limit.burst * part).max(1.0));
        if self.bucket.try_take_one() { Admission::Admitted } else { Admission::Refused(PART) }
    }

    fn due(&mut self, now: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, f64)> {
        if now.since(self.told) < SILENT || self.asked < 0.05 {
            return Vec::new();
        }
        self.told = now;
        self.fade(now);
        tell_others(ranks, self.number, self.asked)
    }

    fn take(
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
        TOLD_BYTES
    }
}
