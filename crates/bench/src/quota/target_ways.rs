//! Ways to keep the limit that a target names: what boxes run, and two that were weighed against it.

use std::time::Duration;

use wingbridge_decide::permits::{FallbackShare, PermitAnswer, PermitCoordinator};
use wingbridge_decide::quota::bucket::TokenBucket;
use wingbridge_decide::quota::{Admission, QuotaLimit};
use wingbridge_decide::steer::RequestRate;
use wingbridge_decide::{TargetKey, TimePoint};

use super::fleet::{BoxTable, WayBox};

/// As boxes run it: an ask is given up after this long, a silent keeper is asked again after that, and
/// a box that has just started keeps nothing for a while.
const ASK_TIME: Duration = Duration::from_millis(80);
const SILENT_PAUSE: Duration = Duration::from_secs(1);
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The one target that is played.
const TARGET: TargetKey = TargetKey(1);
/// Boxes that hold a limit together.
const HOLDERS: usize = 4;

fn rate_of(limit: QuotaLimit) -> RequestRate {
    RequestRate::new(limit.per_second).unwrap_or_default()
}

/// A number from 0 to 1 that is another one at each box.
fn drawn_by(number: usize, life: u64) -> f64 {
    let mixed = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ life;
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// A box that asks the keeper of a target's permits each time.
pub(crate) struct PermitBox {
    number: usize,
    life: u64,
    boxes: usize,
    started: TimePoint,
    keeper: PermitCoordinator,
    share: FallbackShare,
    asks: u64,
    /// The ask that is open, and whether it was sent.
    open: Option<(u64, TimePoint, bool)>,
    is_granted: bool,
    used_up_until: TimePoint,
    silent_until: TimePoint,
}

#[derive(Clone)]
pub(crate) enum PermitMessage {
    Ask(u64),
    Reply(u64, PermitAnswer),
    Passed(u64),
}

impl PermitBox {
    fn is_settled(&self, now: TimePoint) -> bool {
        self.life == 0 || now.since(self.started) >= SETTLE_TIME
    }

    fn take_answer(&mut self, now: TimePoint, answer: PermitAnswer) {
        self.open = None;
        match answer {
            PermitAnswer::Granted => self.is_granted = true,
            PermitAnswer::Denied(wait) => self.used_up_until = now + wait,
        }
    }

    fn admit_alone(&mut self, now: TimePoint, limit: QuotaLimit) -> Admission {
        let drawn = drawn_by(self.number, self.life);
        match self.share.acquire(now, rate_of(limit), self.boxes, drawn) {
            PermitAnswer::Granted => Admission::Admitted,
            PermitAnswer::Denied(wait) => {
                self.used_up_until = now + wait.min(SILENT_PAUSE);
                Admission::Refused(wait)
            }
        }
    }
}

impl WayBox for PermitBox {
    type Message = PermitMessage;

    fn start(now: TimePoint, number: usize, life: u64, boxes: usize) -> PermitBox {
        PermitBox {
            number,
            life,
            boxes,
            started: now,
            keeper: PermitCoordinator::default(),
            share: FallbackShare::default(),
            asks: 0,
            open: None,
            is_granted: false,
            used_up_until: now,
            silent_until: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        if std::mem::take(&mut self.is_granted) {
            return Admission::Admitted;
        }
        if now < self.used_up_until {
            return Admission::Refused(self.used_up_until.since(now));
        }
        if let Some((_, sent, true)) = self.open
            && now.since(sent) >= ASK_TIME
        {
            self.open = None;
            self.silent_until = now + SILENT_PAUSE;
        }
        if now < self.silent_until || !self.is_settled(now) {
            return self.admit_alone(now, limit);
        }
        if self.open.is_none() {
            self.asks += 1;
            self.open = Some((self.asks, now, false));
        }
        Admission::Wait
    }

    fn due(&mut self, _: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, PermitMessage)> {
        let Some((number, _, is_sent)) = &mut self.open else {
            return Vec::new();
        };
        if std::mem::replace(is_sent, true) {
            return Vec::new();
        }
        ranks.first().map(|first| (*first, PermitMessage::Ask(*number))).into_iter().collect()
    }

    fn take(
        &mut self,
        now: TimePoint,
        _: (usize, u64),
        message: &PermitMessage,
        limit: QuotaLimit,
        table: &BoxTable,
    ) -> Option<PermitMessage> {
        match message {
            PermitMessage::Ask(number) => {
                let is_keeper = table.ranks.first() == Some(&self.number);
                if !is_keeper || !self.is_settled(now) {
                    return Some(PermitMessage::Passed(*number));
                }
                let heard = table.ranks.len() as f64 / self.boxes as f64;
                let part = if table.hears_all { 1.0 } else { heard.min(1.0) };
                let answer = self.keeper.answer(now, TARGET, rate_of(limit), part);
                Some(PermitMessage::Reply(*number, answer))
            }
            PermitMessage::Reply(number, answer) => {
                if self.open.is_some_and(|(open, ..)| open == *number) {
                    self.take_answer(now, *answer);
                }
                None
            }
            PermitMessage::Passed(number) => {
                if self.open.is_some_and(|(open, ..)| open == *number) {
                    self.open = None;
                    self.silent_until = now + SILENT_PAUSE;
                }
                None
            }
        }
    }

    fn bytes(_: &PermitMessage) -> usize {
        // As the codec writes them, with names of boxes of 16 bytes.
        72
    }
}

/// A box that sends its equal share, at moments that are drawn, and asks nobody.
pub(crate) struct ShareBox {
    number: usize,
    life: u64,
    boxes: usize,
    share: FallbackShare,
}

impl WayBox for ShareBox {
    type Message = ();

    fn start(_: TimePoint, number: usize, life: u64, boxes: usize) -> ShareBox {
        ShareBox { number, life, boxes, share: FallbackShare::default() }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        // A lone box spends half of its share; here it is all that there is.
        let rate = RequestRate::new(limit.per_second * 2.0).unwrap_or_default();
        match self.share.acquire(now, rate, self.boxes, drawn_by(self.number, self.life)) {
            PermitAnswer::Granted => Admission::Admitted,
            PermitAnswer::Denied(wait) => Admission::Refused(wait),
        }
    }
}

/// One of a few boxes that hold the whole limit; the others leave the target alone.
pub(crate) struct HolderBox {
    number: usize,
    /// Whether it is one of the first by rank, as far as it knows.
    is_holder: bool,
    bucket: TokenBucket,
}

impl WayBox for HolderBox {
    type Message = ();

    fn start(now: TimePoint, number: usize, _: u64, _: usize) -> HolderBox {
        HolderBox { number, is_holder: false, bucket: TokenBucket::new(now, 0.0) }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        let rate = limit.per_second / HOLDERS as f64;
        self.bucket.fill(now, rate, rate.max(1.0));
        if self.is_holder && self.bucket.try_take_one() {
            return Admission::Admitted;
        }
        Admission::Refused(SILENT_PAUSE)
    }

    fn due(&mut self, _: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, ())> {
        self.is_holder = ranks.iter().take(HOLDERS).any(|number| *number == self.number);
        Vec::new()
    }
}
