//! What is known of one request.

use std::time::Duration;

use crate::crashes::{
    CrashChange, CrashReport, CrashVerdict, DOUBLINGS, REFUSED_FOR, REFUSED_FROM, TargetEnd,
};
use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Ended targets that are kept of one request, the last ones: the time of a refusal stops growing with
/// them.
const ENDS_KEPT: usize = REFUSED_FROM + DOUBLINGS as usize;

/// What is known of one request. Merging two of them gives the same in any order.
#[derive(Debug)]
pub(super) struct RequestRecord {
    fingerprint: Fingerprint,
    /// Targets that ended under it, and when, the earliest first.
    ends: Vec<(TimePoint, TargetKey)>,
    /// When it succeeded last; what is older doesn't count.
    succeeded: Option<TimePoint>,
    /// When something new became known of it.
    changed: TimePoint,
    unreported: bool,
}

impl RequestRecord {
    pub(super) fn new(fingerprint: Fingerprint) -> RequestRecord {
        RequestRecord {
            fingerprint,
            ends: Vec::new(),
            succeeded: None,
            changed: TimePoint::default(),
            unreported: false,
        }
    }

    pub(super) fn verdict(&self, now: TimePoint) -> CrashVerdict {
        let ended = self.ends.len();
        let Some((last, _)) = self.ends.last() else {
            return CrashVerdict::Clear;
        };
        let wait = refused_for(ended).saturating_sub(now.since(*last));
        if ended < REFUSED_FROM || wait.is_zero() {
            return CrashVerdict::Suspected { ended };
        }
        CrashVerdict::Refused { ended, wait }
    }

    /// Adds a target that ended at `at`; the same one counts once.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        target: TargetKey,
    ) -> Option<CrashChange> {
        let is_known = self.ends.iter().any(|(_, known)| *known == target);
        let is_older = self.succeeded.is_some_and(|succeeded| at <= succeeded);
        if is_known || is_older {
            return None;
        }
        let before = self.verdict(now);
        let place = self.ends.partition_point(|(known, _)| *known <= at);
        self.ends.insert(place, (at, target));
        if self.ends.len() > ENDS_KEPT {
            self.ends.remove(0);
        }
        self.changed = now;
        match (before, self.verdict(now)) {
            (CrashVerdict::Refused { .. }, _) => None,
            (_, CrashVerdict::Refused { ended, wait }) => {
                Some(CrashChange::Refused { fingerprint: self.fingerprint, ended, wait })
            }
            _ => None,
        }
    }

    /// It succeeded at one of this box's targets.
    pub(super) fn record_success(&mut self, now: TimePoint) -> Option<CrashChange> {
        if self.ends.is_empty() {
            return None;
        }
        self.unreported = true;
        self.take_success(now)
    }

    /// It succeeded at `at`.
    pub(super) fn take_success(&mut self, at: TimePoint) -> Option<CrashChange> {
        let is_newer = self.succeeded.is_none_or(|known| at > known);
        if !is_newer {
            return None;
        }
        let was_refused = self.ends.len() >= REFUSED_FROM;
        self.succeeded = Some(at);
        self.changed = self.changed.max(at);
        self.ends.retain(|(ended, _)| *ended > at);
        let is_cleared = was_refused && self.ends.len() < REFUSED_FROM;
        is_cleared.then_some(CrashChange::Cleared { fingerprint: self.fingerprint })
    }

    pub(super) fn set_unreported(&mut self) {
        self.unreported = true;
    }

    pub(super) fn take_unreported(&mut self) -> bool {
        std::mem::take(&mut self.unreported)
    }

    pub(super) fn news(&self, now: TimePoint) -> CrashReport {
        let end = |(at, target): &(TimePoint, TargetKey)| TargetEnd {
            target: *target,
            age: now.since(*at),
        };
        CrashReport {
            fingerprint: self.fingerprint,
            ends: self.ends.iter().map(end).collect(),
            succeeded: self.succeeded.map(|at| now.since(at)),
        }
    }

    /// Whether it is told again: it is refused, or something of it was new lately.
    pub(super) fn is_retold(&self, now: TimePoint, lately: Duration) -> bool {
        let is_refused = matches!(self.verdict(now), CrashVerdict::Refused { .. });
        is_refused || now.since(self.changed) < lately
    }

    /// Whether it is of no use any more.
    pub(super) fn is_over(&self, now: TimePoint, remembered: Duration) -> bool {
        !self.is_retold(now, remembered)
    }

    /// How much is known of it: the targets that ended, and when the last did.
    pub(super) fn rank(&self) -> (usize, TimePoint) {
        (self.ends.len(), self.changed)
    }
}

/// How long a request is refused after the last of `ended` targets.
fn refused_for(ended: usize) -> Duration {
    let further = u32::try_from(ended.saturating_sub(REFUSED_FROM)).unwrap_or(DOUBLINGS);
    REFUSED_FOR * 2_u32.pow(further.min(DOUBLINGS))
}
