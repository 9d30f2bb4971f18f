//! The record of one request.

use std::time::Duration;

use crate::crashes::{
    CrashChange, CrashReport, CrashVerdict, MAX_DOUBLINGS, REFUSAL_THRESHOLD, REFUSAL_TIME,
    TargetEnd,
};
use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Upper bound on the number of ended targets in a record, of which the latest are kept. The duration of a
/// refusal does not grow beyond this number.
const MAX_ENDS: usize = REFUSAL_THRESHOLD + MAX_DOUBLINGS as usize;

/// The targets that ended under one request, and its last success. Merging records gives the same result
/// in any order.
#[derive(Debug)]
pub(super) struct RequestRecord {
    fingerprint: Fingerprint,
    /// Targets that ended under the request, with the time of their end, earliest first.
    ends: Vec<(TimePoint, TargetKey)>,
    /// Time of the last success. Targets that ended before it do not count.
    succeeded: Option<TimePoint>,
    /// Time of the last change of this record.
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
        let wait = refusal_time(ended).saturating_sub(now.since(*last));
        if ended < REFUSAL_THRESHOLD || wait.is_zero() {
            return CrashVerdict::Suspected { ended };
        }
        CrashVerdict::Refused { ended, wait }
    }

    /// Adds a target that ended at `at`. Each target counts once.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        target: TargetKey,
    ) -> Option<CrashChange> {
        let is_known = self.ends.iter().any(|(_, known)| *known == target);
        let is_outdated = self.succeeded.is_some_and(|succeeded| at <= succeeded);
        if is_known || is_outdated {
            return None;
        }
        let before = self.verdict(now);
        let index = self.ends.partition_point(|(known, _)| *known <= at);
        self.ends.insert(index, (at, target));
        if self.ends.len() > MAX_ENDS {
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

    /// Records that the request succeeded at one of this box's targets.
    pub(super) fn record_success(&mut self, now: TimePoint) -> Option<CrashChange> {
        if self.ends.is_empty() {
            return None;
        }
        self.unreported = true;
        self.merge_success(now)
    }

    /// Merges a success of the request at `at`.
    pub(super) fn merge_success(&mut self, at: TimePoint) -> Option<CrashChange> {
        let is_newer = self.succeeded.is_none_or(|known| at > known);
        if !is_newer {
            return None;
        }
        let was_refused = self.ends.len() >= REFUSAL_THRESHOLD;
        self.succeeded = Some(at);
        self.changed = self.changed.max(at);
        self.ends.retain(|(ended, _)| *ended > at);
        let is_cleared = was_refused && self.ends.len() < REFUSAL_THRESHOLD;
        is_cleared.then_some(CrashChange::Cleared { fingerprint: self.fingerprint })
    }

    pub(super) fn set_unreported(&mut self) {
        self.unreported = true;
    }

    pub(super) fn take_unreported(&mut self) -> bool {
        std::mem::take(&mut self.unreported)
    }

    pub(super) fn report(&self, now: TimePoint) -> CrashReport {
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

    /// Returns whether the record is reported repeatedly: the request is refused, or the record changed
    /// within `period`.
    pub(super) fn is_repeated(&self, now: TimePoint, period: Duration) -> bool {
        let is_refused = matches!(self.verdict(now), CrashVerdict::Refused { .. });
        is_refused || now.since(self.changed) < period
    }

    /// Returns whether the record may be removed after a `retention` time without a change.
    pub(super) fn is_expired(&self, now: TimePoint, retention: Duration) -> bool {
        !self.is_repeated(now, retention)
    }

    /// Returns the order in which records are reported and kept: number of ended targets, then time of the
    /// last change.
    pub(super) fn rank(&self) -> (usize, TimePoint) {
        (self.ends.len(), self.changed)
    }
}

/// Returns the time for which a request is refused after the last of `ended` targets.
fn refusal_time(ended: usize) -> Duration {
    let further = u32::try_from(ended.saturating_sub(REFUSAL_THRESHOLD)).unwrap_or(MAX_DOUBLINGS);
    REFUSAL_TIME * 2_u32.pow(further.min(MAX_DOUBLINGS))
}
