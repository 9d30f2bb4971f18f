//! The part of the budget that is kept for the retries that save most.
//!
//! A retry is worth the probability that a further send is served, times the probability that the request is lost
//! without it. A refused order has no other way to be served; a hedge is lost budget if the open attempt answers.

use std::time::Duration;

use crate::retries::RetryRequest;
use crate::steer::RetryUse;
use crate::time::TimePoint;

/// Time for which a use keeps its reserve after it last asked for a retry.
const RESERVE_TIME: Duration = Duration::from_secs(1);
/// Share of the budget that each use leaves to the uses above it while these ask for retries. Failures are
/// fewer than refusals in the load that this answers, so that a tenth for each step is enough to keep hedges
/// and repeats from taking what refused orders need, and leaves the lower uses most of a calm budget.
const RESERVED_SHARE: f64 = 0.1;
/// Time constant of the learned share of sends that are served.
const SERVED_TIME: Duration = Duration::from_millis(1500);
/// Number of served sends that are assumed before any was observed.
const ASSUMED_SERVED: f64 = 5.0;
/// Largest value of a hedge, relative to that of a retry that nothing else can replace, at which it leaves an
/// additional reserve: the open attempt is then as likely to answer as not.
const LOW_VALUE: f64 = 0.5;

/// The uses that asked for a retry, and what a retry is worth.
#[derive(Debug, Default)]
pub(crate) struct RetryReserve {
    refused_at: Option<TimePoint>,
    repeat_at: Option<TimePoint>,
    /// Largest probability of a loss of a retry that was asked for, and when.
    top_loss: Option<(TimePoint, f64)>,
    served: f64,
    sent: f64,
    updated: TimePoint,
}

impl RetryReserve {
    pub(crate) fn record_send(&mut self, now: TimePoint, served: bool) {
        let decay = self.decay(now);
        self.served = self.served * decay + f64::from(u8::from(served));
        self.sent = self.sent * decay + 1.0;
        self.updated = now;
    }

    /// Returns the expected number of requests that a retry with that probability of a loss saves.
    fn value(&self, now: TimePoint, loss: f64) -> f64 {
        let decay = self.decay(now);
        let served = (self.served * decay + ASSUMED_SERVED) / (self.sent * decay + ASSUMED_SERVED);
        served * loss.clamp(0.0, 1.0)
    }

    /// Returns the share of the budget that the retry may use, and records that it was asked for.
    pub(crate) fn limit(&mut self, now: TimePoint, request: &RetryRequest) -> f64 {
        let value = self.value(now, request.loss);
        let is_needed =
            |asked: Option<TimePoint>| asked.is_some_and(|at| now.since(at) < RESERVE_TIME);
        let above = match request.usage {
            RetryUse::Refused => {
                self.refused_at = Some(now);
                0
            }
            RetryUse::Repeat => {
                self.repeat_at = Some(now);
                u8::from(is_needed(self.refused_at))
            }
            RetryUse::Hedge => {
                u8::from(is_needed(self.refused_at)) + u8::from(is_needed(self.repeat_at))
            }
        };
        let top = self.top_loss.filter(|(at, _)| now.since(*at) < RESERVE_TIME);
        let is_low = top.is_some_and(|(_, top)| value < self.value(now, top) * LOW_VALUE);
        if top.is_none_or(|(_, top)| request.loss >= top) {
            self.top_loss = Some((now, request.loss));
        }
        request.usage.budget_share() - RESERVED_SHARE * f64::from(above + u8::from(is_low))
    }

    fn decay(&self, now: TimePoint) -> f64 {
        (-now.since(self.updated).as_secs_f64() / SERVED_TIME.as_secs_f64()).exp()
    }
}
