//! Whether this box fails rather than its targets.

use std::time::Duration;

use crate::time::TimePoint;

const HALF_LIFE: Duration = Duration::from_secs(3);
const LEAST_ATTEMPTS: f64 = 20.0;
const SICK_RATE: f64 = 0.8;
const WELL_RATE: f64 = 0.4;

/// The share of this box's attempts that failed lately, over all services.
///
/// It only raises a suspicion: whether other boxes fail as well, so that it is
/// the targets and not the box, is known to the agent.
#[derive(Debug, Default)]
pub(crate) struct SelfCheck {
    attempts: f64,
    failed: f64,
    decayed: TimePoint,
    suspected: bool,
}

impl SelfCheck {
    /// Counts an attempt.
    pub(crate) fn record(&mut self, failed: bool) {
        self.attempts += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Forgets what time has passed over, and says what changed.
    pub(crate) fn tick(&mut self, now: TimePoint) -> Option<bool> {
        let age = now.since(self.decayed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-age).exp2();
        self.attempts *= factor;
        self.failed *= factor;
        self.decayed = now;
        let rate = self.failed / self.attempts.max(1.0);
        let suspected = if self.suspected {
            // With nothing to go by it is not held sick for ever.
            rate > WELL_RATE
        } else {
            self.attempts >= LEAST_ATTEMPTS && rate > SICK_RATE
        };
        let changed = suspected != self.suspected;
        self.suspected = suspected;
        changed.then_some(suspected)
    }
}
