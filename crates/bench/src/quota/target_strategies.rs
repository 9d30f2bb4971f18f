//! Strategies to hold a target's limit: the one that boxes run, and two alternatives that it is
//! compared with.

use std::time::Duration;

use wingbridge_decide::permits::{FallbackShare, PermitAnswer, PermitCoordinator};
use wingbridge_decide::quota::bucket::TokenBucket;
use wingbridge_decide::quota::{Admission, QuotaLimit};
use wingbridge_decide::steer::RequestRate;
use wingbridge_decide::{TargetKey, TimePoint};

use super::fleet::{BoxTable, StrategyBox};

// Timing of the boxes' own implementation.

/// Time after which a permit request counts as unanswered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(80);
/// Time after which a box sends a request again to a coordinator that did not answer or rejected
/// one.
const COORDINATOR_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a box that has just started neither coordinates permits nor requests any.
const START_DELAY: Duration = Duration::from_secs(3);
/// The only target of the simulation.
const TARGET: TargetKey = TargetKey(1);
/// Number of boxes among which [`HolderBox`] divides a limit.
const HOLDERS: usize = 4;

fn rate_of(limit: QuotaLimit) -> RequestRate {
    RequestRate::new(limit.per_second).unwrap_or_default()
}

/// Returns a number from 0 to 1 that differs between boxes and their incarnations.
fn seeded_phase(number: usize, incarnation: u64) -> f64 {
    let mixed = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ incarnation;
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// A box that requests a permit from the target's coordinator for each send.
pub(crate) struct PermitBox {
    number: usize,
    incarnation: u64,
    boxes: usize,
    started: TimePoint,
    coordinator: PermitCoordinator,
    share: FallbackShare,
    requests_sent: u64,
    /// Number of the open request, when it was made, and whether it was sent.
    open_request: Option<(u64, TimePoint, bool)>,
    /// Whether a permit was granted that no request has used yet.
    is_granted: bool,
    /// Time until which the last denial applies.
    denied_until: TimePoint,
    /// Time until which the box sends its fallback share instead of requests to the coordinator.
    alone_until: TimePoint,
}

#[derive(Clone)]
pub(crate) enum PermitMessage {
    Request(u64),
    Answer(u64, PermitAnswer),
    /// The receiver of the request is not the coordinator or has just started.
    Rejected(u64),
}

impl PermitBox {
    fn is_past_start_delay(&self, now: TimePoint) -> bool {
        self.incarnation == 0 || now.since(self.started) >= START_DELAY
    }

    fn apply_answer(&mut self, now: TimePoint, answer: PermitAnswer) {
        self.open_request = None;
        match answer {
            PermitAnswer::Granted => self.is_granted = true,
            PermitAnswer::Denied(wait) => self.denied_until = now + wait,
        }
    }

    fn admit_alone(&mut self, now: TimePoint, limit: QuotaLimit) -> Admission {
        let phase = seeded_phase(self.number, self.incarnation);
        match self.share.acquire(now, rate_of(limit), self.boxes, phase) {
            PermitAnswer::Granted => Admission::Admitted,
            PermitAnswer::Denied(wait) => {
                self.denied_until = now + wait.min(COORDINATOR_RETRY_DELAY);
                Admission::Refused(wait)
            }
        }
    }
}

impl StrategyBox for PermitBox {
    type Message = PermitMessage;

    fn start(now: TimePoint, number: usize, incarnation: u64, boxes: usize) -> PermitBox {
        PermitBox {
            number,
            incarnation,
            boxes,
            started: now,
            coordinator: PermitCoordinator::default(),
            share: FallbackShare::default(),
            requests_sent: 0,
            open_request: None,
            is_granted: false,
            denied_until: now,
            alone_until: now,
        }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        if std::mem::take(&mut self.is_granted) {
            return Admission::Admitted;
        }
        if now < self.denied_until {
            return Admission::Refused(self.denied_until.since(now));
        }
        if let Some((_, sent, true)) = self.open_request
            && now.since(sent) >= REQUEST_TIMEOUT
        {
            self.open_request = None;
            self.alone_until = now + COORDINATOR_RETRY_DELAY;
        }
        if now < self.alone_until || !self.is_past_start_delay(now) {
            return self.admit_alone(now, limit);
        }
        if self.open_request.is_none() {
            self.requests_sent += 1;
            self.open_request = Some((self.requests_sent, now, false));
        }
        Admission::Wait
    }

    fn due(&mut self, _: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, PermitMessage)> {
        let Some((number, _, is_sent)) = &mut self.open_request else {
            return Vec::new();
        };
        if std::mem::replace(is_sent, true) {
            return Vec::new();
        }
        ranks.first().map(|first| (*first, PermitMessage::Request(*number))).into_iter().collect()
    }

    fn receive(
        &mut self,
        now: TimePoint,
        _: (usize, u64),
        message: &PermitMessage,
        limit: QuotaLimit,
        table: &BoxTable,
    ) -> Option<PermitMessage> {
        match message {
            PermitMessage::Request(number) => {
                let is_coordinator = table.ranks.first() == Some(&self.number);
                if !is_coordinator || !self.is_past_start_delay(now) {
                    return Some(PermitMessage::Rejected(*number));
                }
                let reachable = table.ranks.len() as f64 / self.boxes as f64;
                let share_of_limit = if table.reaches_all { 1.0 } else { reachable.min(1.0) };
                let answer = self.coordinator.answer(now, TARGET, rate_of(limit), share_of_limit);
                Some(PermitMessage::Answer(*number, answer))
            }
            PermitMessage::Answer(number, answer) => {
                if self.open_request.is_some_and(|(open_number, ..)| open_number == *number) {
                    self.apply_answer(now, *answer);
                }
                None
            }
            PermitMessage::Rejected(number) => {
                if self.open_request.is_some_and(|(open_number, ..)| open_number == *number) {
                    self.open_request = None;
                    self.alone_until = now + COORDINATOR_RETRY_DELAY;
                }
                None
            }
        }
    }

    fn bytes(_: &PermitMessage) -> usize {
        // Encoded size, with box names of 16 bytes.
        72
    }
}

/// A box that sends its equal share of the limit, with a phase of its own and without coordination.
pub(crate) struct EqualShareBox {
    number: usize,
    incarnation: u64,
    boxes: usize,
    share: FallbackShare,
}

impl StrategyBox for EqualShareBox {
    type Message = ();

    fn start(_: TimePoint, number: usize, incarnation: u64, boxes: usize) -> EqualShareBox {
        EqualShareBox { number, incarnation, boxes, share: FallbackShare::default() }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        // `FallbackShare` admits half of an equal share. Here boxes have no permits besides, so the
        // rate is doubled to make it a whole share.
        let rate = RequestRate::new(limit.per_second * 2.0).unwrap_or_default();
        match self.share.acquire(now, rate, self.boxes, seeded_phase(self.number, self.incarnation))
        {
            PermitAnswer::Granted => Admission::Admitted,
            PermitAnswer::Denied(wait) => Admission::Refused(wait),
        }
    }
}

/// A box under the strategy that divides the whole limit among the first [`HOLDERS`] boxes by rank;
/// the other boxes send nothing to the target.
pub(crate) struct HolderBox {
    number: usize,
    /// Whether this box is among the first [`HOLDERS`] boxes of its own table.
    holds_share: bool,
    bucket: TokenBucket,
}

impl StrategyBox for HolderBox {
    type Message = ();

    fn start(now: TimePoint, number: usize, _: u64, _: usize) -> HolderBox {
        HolderBox { number, holds_share: false, bucket: TokenBucket::new(now, 0.0) }
    }

    fn admit(&mut self, now: TimePoint, limit: QuotaLimit, _: bool) -> Admission {
        let rate = limit.per_second / HOLDERS as f64;
        self.bucket.fill(now, rate, rate.max(1.0));
        if self.holds_share && self.bucket.try_take_one() {
            return Admission::Admitted;
        }
        Admission::Refused(COORDINATOR_RETRY_DELAY)
    }

    fn due(&mut self, _: TimePoint, _: QuotaLimit, ranks: &[usize]) -> Vec<(usize, ())> {
        self.holds_share = ranks.iter().take(HOLDERS).any(|number| *number == self.number);
        Vec::new()
    }
}
