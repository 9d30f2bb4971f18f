//! Retries where they save most, while overload control is on.
//!
//! Answers a load in which targets refuse 0.55 of all requests for 8 s: with the budget first come, first served,
//! it was used up within 2 s, and 40 to 50 in 100 of the requests after that were refused. Three rules apply
//! within the budget:
//!
//! - [`window`]: the budget counts the requests of the window that the bound counts, not those of the last window
//!   alone, and holds for every window that contains the retry;
//! - [`pacing`]: while many sends are refused, half of the budget is free at once and the rest is spent evenly;
//! - [`reserve`]: a part of the budget is kept for retries that nothing else can replace.

pub mod pacing;
pub mod reserve;
pub mod window;

use crate::retries::pacing::RetryPacing;
use crate::retries::reserve::RetryReserve;
use crate::steer::RetryUse;
use crate::steer::ledger::RetryBounds;
use crate::time::TimePoint;

/// The reason why the budget gives no retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// The budget is used up.
    UsedUp,
    /// Many sends are refused, and the upper half of the budget is spent evenly over time.
    Paced,
    /// What is left is kept for retries that are worth more.
    Reserved,
}

impl RetryDenial {
    /// Returns the label of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryDenial::UsedUp => "used_up",
            RetryDenial::Paced => "paced",
            RetryDenial::Reserved => "reserved",
        }
    }
}

/// A retry that is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRequest {
    /// The purpose of the retry.
    pub usage: RetryUse,
    /// Probability that the request is lost without the retry: 1 if nothing else can serve it, otherwise the
    /// probability that the open attempt fails.
    pub loss: f64,
}

/// How much of the budget is available and used, in retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BudgetUse {
    pub(crate) max: f64,
    pub(crate) used: f64,
}

/// Decides which retries of one service are worth a part of the budget.
#[derive(Debug, Default)]
pub(crate) struct RetryPolicy {
    pacing: RetryPacing,
    reserve: RetryReserve,
}

impl RetryPolicy {
    /// Records the end of a send; `refused` states whether the target refused it, `served` whether it answered.
    pub(crate) fn record_send(&mut self, now: TimePoint, refused: bool, served: bool) {
        self.pacing.record_send(now, refused);
        self.reserve.record_send(now, served);
    }

    /// Returns why the retry is withheld within a budget that is not used up, if it is.
    pub(crate) fn denial(
        &mut self,
        now: TimePoint,
        request: &RetryRequest,
        budget: BudgetUse,
        bounds: &RetryBounds,
    ) -> Option<RetryDenial> {
        let after = budget.used + 1.0;
        if after > self.reserve.limit(now, request) * budget.max {
            return Some(RetryDenial::Reserved);
        }
        if after > self.pacing.limit(now, budget, bounds.window) {
            return Some(RetryDenial::Paced);
        }
        None
    }
}
