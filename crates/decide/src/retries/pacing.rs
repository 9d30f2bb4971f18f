//! The rate at which the budget is spent while targets refuse many sends.
//!
//! Half of the budget is free at once, so that a short incident gets as many retries as it needs. The upper half is
//! spent no faster than evenly over the time that such an incident lasts, so that the callers of its last seconds
//! get retries as well.

use std::time::Duration;

use crate::retries::BudgetUse;
use crate::time::TimePoint;

/// Share of refused sends above which retries are paced: the users count a service as disturbed while more than
/// a tenth of its requests are not served.
const PACED_SHARE: f64 = 0.1;
/// Share of refused sends below which pacing ends. It is lower, so that chance does not switch pacing on and off.
const CALM_SHARE: f64 = 0.05;
/// Time constant of the share of refused sends. A box sends about ten requests a second to a service, so that
/// the share is known to a few hundredths.
const REFUSED_TIME: Duration = Duration::from_millis(1500);
/// Number of sends without a refusal that are assumed, so that one refusal at an idle service is no incident.
const ASSUMED_SENDS: f64 = 3.0;
/// Share of the budget that is free at once.
const FREE_SHARE: f64 = 0.5;

/// Share of the window over which the budget is spent. The refusals that this answers last 8 s of a window of 10 s. With
/// the whole window, a tenth of the budget was left when they ended, and 2 in 100 fewer requests were served.
const PACED_TIME_SHARE: f64 = 0.8;
/// Share of the free part below which the used retries must fall before that part counts as free again. The number
/// of requests varies by chance, and with it the free part: without this, the upper half was begun again and again,
/// and a third of the budget was left at the end.
const RENEWED_SHARE: f64 = 0.8;

/// The pace of one service's retries.
#[derive(Debug, Default)]
pub(crate) struct RetryPacing {
    refused: f64,
    sent: f64,
    updated: TimePoint,
    /// When the share of refused sends rose above [`PACED_SHARE`].
    started: Option<TimePoint>,
    /// When the free part of the budget was used up since.
    free_used_at: Option<TimePoint>,
}

impl RetryPacing {
    pub(crate) fn record_send(&mut self, now: TimePoint, refused: bool) {
        let decay = self.decay(now);
        self.refused = self.refused * decay + f64::from(u8::from(refused));
        self.sent = self.sent * decay + 1.0;
        self.updated = now;
        self.update(now);
    }

    /// Returns the number of retries that may be used at `now`.
    pub(crate) fn limit(&mut self, now: TimePoint, budget: BudgetUse, window: Duration) -> f64 {
        self.update(now);
        let Some(started) = self.started else {
            return budget.max;
        };
        let free = budget.max * FREE_SHARE;
        if budget.used < free * RENEWED_SHARE {
            self.free_used_at = None;
        }
        if budget.used + 1.0 <= free {
            return budget.max;
        }
        let paced_from = *self.free_used_at.get_or_insert(now);
        let left = window.mul_f64(PACED_TIME_SHARE).saturating_sub(paced_from.since(started));
        let passed = now.since(paced_from).as_secs_f64();
        let part = (passed / left.as_secs_f64().max(0.001)).min(1.0);
        free + (budget.max - free) * part
    }

    fn update(&mut self, now: TimePoint) {
        let decay = self.decay(now);
        let share = self.refused * decay / (self.sent * decay + ASSUMED_SENDS);
        if share > PACED_SHARE {
            self.started.get_or_insert(now);
        } else if share < CALM_SHARE {
            self.started = None;
            self.free_used_at = None;
        }
    }

    fn decay(&self, now: TimePoint) -> f64 {
        (-now.since(self.updated).as_secs_f64() / REFUSED_TIME.as_secs_f64()).exp()
    }
}
