//! What a box sends by itself to a target with a limit while no keeper answers it.

use std::time::Duration;

use crate::permits::PermitAnswer;
use crate::steer::RequestRate;
use crate::time::TimePoint;

/// Part of its equal share that a box spends: the keeper that it can't reach may give out all there is
/// to the others.
const SHARE_PART: f64 = 0.5;
/// Fewer boxes are never assumed: one that has just started knows few. Source: 36 to 40 boxes at either user.
const LEAST_BOXES: usize = 40;
/// The longest time between two sends.
const LONGEST_PAUSE: Duration = Duration::from_secs(3600);

/// The times at which a box may send while it is alone.
#[derive(Debug, Default)]
pub struct FallbackShare {
    next: Option<TimePoint>,
}

impl FallbackShare {
    /// Whether a request may be sent to a target that takes `rate` from `boxes` boxes. `drawn`, from 0 to 1, is
    /// where in its first turn the box begins, so that turns of boxes that fell alone together don't meet.
    pub fn acquire(
        &mut self,
        now: TimePoint,
        rate: RequestRate,
        boxes: usize,
        drawn: f64,
    ) -> PermitAnswer {
        let each = boxes.max(LEAST_BOXES) as f64 / (rate.per_second() * SHARE_PART);
        let pause = Duration::try_from_secs_f64(each).unwrap_or(LONGEST_PAUSE).min(LONGEST_PAUSE);
        let next = *self.next.get_or_insert_with(|| now + pause.mul_f64(drawn));
        if now < next {
            return PermitAnswer::Denied(next.since(now));
        }
        // Turns that were not used are gone: saved up, those of many boxes could be used at once.
        self.next = Some(now + pause);
        PermitAnswer::Granted
    }
}
