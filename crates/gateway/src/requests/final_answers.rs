//! The answers to requests that no target served.

use std::time::{Duration, Instant};

use wingbridge_decide::crashes::CrashVerdict;

use super::admission::TurnedAway;
use super::{ENDS_TARGETS, RequestRun};
use crate::answers::{CallerAnswer, CallerOutcome};
use crate::attempt::TargetAnswer;
use crate::context::BoxContext;

impl RequestRun {
    /// The answer to a request that is not allowed any more. What may have run is not called
    /// rejected.
    pub(super) fn turn_away(&mut self, refusal: TurnedAway) -> CallerAnswer {
        if self.runs > 0 {
            return self.give_up("it is not allowed any more");
        }
        match refusal {
            TurnedAway::NoEntrance(why) => CallerAnswer::no_entrance(why),
            TurnedAway::NoRoute => {
                CallerAnswer::own(404, CallerOutcome::Rejected, "its route was taken away")
            }
        }
    }

    /// The answer to a request under which too many targets have ended.
    pub(super) fn refuse_deadly(&mut self, verdict: CrashVerdict, wait: Duration) -> CallerAnswer {
        self.trace.note_crashes(verdict);
        if self.runs > 0 {
            return self.give_up(ENDS_TARGETS);
        }
        deadly_answer(&self.context, wait)
    }

    /// The answer while all targets rest, the first of them for `left` yet.
    pub(super) fn give_up_until(&mut self, left: Duration) -> CallerAnswer {
        const WHY: &str = "all targets want nothing for now";
        if self.fallback.is_some() || self.runs > 0 {
            return self.give_up(WHY);
        }
        CallerAnswer::not_run_before(&self.context.headers.retry_after, left, WHY)
    }

    /// The answer when no target's success is to be had.
    pub(super) fn give_up(&mut self, why: &'static str) -> CallerAnswer {
        if let Some(answer) = self.fallback.take() {
            return passed_on(*answer);
        }
        if self.runs == 0 {
            return CallerAnswer::not_run(&self.context.headers.retry_after, why);
        }
        let status = if Instant::now() >= self.until() { 504 } else { 502 };
        CallerAnswer::own(status, CallerOutcome::Unknown, why)
    }
}

/// Refuses a request that ends targets, until it may be asked again. It has not run.
pub(crate) fn deadly_answer(context: &BoxContext, wait: Duration) -> CallerAnswer {
    metrics::counter!("wingbridge_deadly_refused").increment(1);
    CallerAnswer::not_before(&context.headers.retry_after, wait, ENDS_TARGETS)
}

pub(super) fn passed_on(answer: TargetAnswer) -> CallerAnswer {
    let TargetAnswer { start, body, .. } = answer;
    CallerAnswer {
        status: start.status,
        headers: start.headers.forwarded(&[]),
        reason: start.reason,
        body,
        outcome: CallerOutcome::Answered,
        why: "a target's answer",
    }
}
