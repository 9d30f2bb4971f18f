//! Requests that a box sends on its own to a target with a limit while no coordinator answers it.

use std::time::Duration;

use crate::permits::PermitAnswer;
use crate::steer::RequestRate;
use crate::time::TimePoint;

/// Fraction of its equal share that a box spends: the coordinator that it cannot reach may grant the
/// whole limit to the other boxes.
const SHARE_FRACTION: f64 = 0.5;
/// Lower bound on the assumed number of boxes, since a box that has just started has learned of few of
/// them. Deployments have 36 to 40 boxes.
const MIN_BOXES: usize = 40;
/// Upper bound on the time between two requests.
const MAX_INTERVAL: Duration = Duration::from_secs(3600);

/// The schedule of requests from one box to one target while the coordinator does not answer.
#[derive(Debug, Default)]
pub struct FallbackShare {
    next: Option<TimePoint>,
}

impl FallbackShare {
    /// Decides whether a request may be sent to a target that accepts `rate` from `boxes` boxes together.
    ///
    /// `jitter`, from 0 to 1, is the position of the first send within the first interval, so that boxes
    /// that lost the coordinator at the same time do not send at the same time.
    pub fn acquire(
        &mut self,
        now: TimePoint,
        rate: RequestRate,
        boxes: usize,
        jitter: f64,
    ) -> PermitAnswer {
        let seconds = boxes.max(MIN_BOXES) as f64 / (rate.per_second() * SHARE_FRACTION);
        let interval =
            Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL);
        let next = *self.next.get_or_insert_with(|| now + interval.mul_f64(jitter));
        if now < next {
            return PermitAnswer::Denied(next.since(now));
        }
        // Unused intervals are lost. If they were saved, many boxes could use theirs at the same time.
        self.next = Some(now + interval);
        PermitAnswer::Granted
    }
}
