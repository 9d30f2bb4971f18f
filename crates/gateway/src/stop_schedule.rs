//! The times of a planned stop, each counted from its beginning.
//!
//! One of them, [`StopSchedule::answer_by`], both decides which requests are accepted and ends those that are open, so
//! that an accepted request is not ended before its own time.

use std::time::Duration;

/// Time after the first "not ready" answer until the balancer sends no more callers: two readiness
/// checks, a second apart, and a margin.
pub(crate) const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(3000);
/// Time by which a box may learn of its stop late: it waits for the next tenth of a second if its processor share is
/// used up.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);
/// Time before the end of a planned stop at which idle connections are closed.
const IDLE_CLOSE_LEAD: Duration = Duration::from_millis(900);
/// Time by which the process ends before the environment would kill it.
const END_LEAD: Duration = Duration::from_millis(150);
/// Time between the last answers and the end of the process. It is enough for them to reach callers over a slow link.
pub(crate) const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time within [`LAST_ANSWER_TIME`] in which a peer tells what has run of a request that this box ends. It takes a round
/// trip, of 24 ms between regions. The rest is more than the tenth of a second for which a box may wait for its processor.
pub(crate) const PEER_RESULT_TIME: Duration = Duration::from_millis(40);

/// The times of a planned stop, each counted from its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// From then on requests are refused that could take longer than until [`Self::answer_by`]. Before that the
    /// balancer still sends callers, most of which are answered long before.
    pub refuse_from: Duration,
    /// From then on no further request is read.
    pub idle_close: Duration,
    /// Time by which each request is answered. Those that are still open are ended.
    pub answer_by: Duration,
    /// Time at which the process ends.
    pub end: Duration,
}

impl StopSchedule {
    /// Returns the times of a stop after which the environment kills the process once `stop_time` is over.
    pub fn new(stop_time: Duration) -> StopSchedule {
        let end = stop_time.saturating_sub(END_LEAD);
        StopSchedule {
            refuse_from: BALANCER_DRAIN_TIME.min(stop_time / 2).saturating_sub(SIGNAL_DELAY),
            idle_close: stop_time.saturating_sub(IDLE_CLOSE_LEAD),
            answer_by: end.saturating_sub(LAST_ANSWER_TIME),
            end,
        }
    }

    /// Returns whether a request is refused that comes at `elapsed` and may take until `until`.
    pub fn refuses(&self, elapsed: Duration, until: Duration) -> bool {
        elapsed >= self.refuse_from && until > self.answer_by
    }
}
