//! Detection of a fault in this box itself, rather than in its targets.

use std::time::Duration;

use crate::time::TimePoint;

/// Half-life of the weight of past attempts.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Minimum number of recent attempts for a suspicion.
const MIN_ATTEMPTS: f64 = 20.0;
/// Share of failed attempts above which the box suspects itself.
const SUSPECT_RATE: f64 = 0.8;
/// Share of failed attempts at or below which the suspicion ends.
const TRUST_RATE: f64 = 0.4;

/// The share of this box's recent attempts that failed, over all services.
///
/// A high share only raises a suspicion. The agent decides, since it has the data of other boxes: if their
/// attempts fail as well, the targets are at fault and not this box.
#[derive(Debug, Default)]
pub(crate) struct SelfCheck {
    attempts: f64,
    failed: f64,
    decayed: TimePoint,
    suspected: bool,
}

impl SelfCheck {
    /// Counts an attempt that ended.
    pub(crate) fn record(&mut self, failed: bool) {
        self.attempts += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Decays the counts. Returns whether the box now suspects itself, or `None` if that has not changed.
    pub(crate) fn tick(&mut self, now: TimePoint) -> Option<bool> {
        let age = now.since(self.decayed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-age).exp2();
        self.attempts *= factor;
        self.failed *= factor;
        self.decayed = now;
        let rate = self.failed / self.attempts.max(1.0);
        let suspected = if self.suspected {
            // No minimum of attempts applies here, so that the suspicion also ends without any.
            rate > TRUST_RATE
        } else {
            self.attempts >= MIN_ATTEMPTS && rate > SUSPECT_RATE
        };
        let changed = suspected != self.suspected;
        self.suspected = suspected;
        changed.then_some(suspected)
    }
}
