//! Attempts of this box of which it doesn't know whether their target ended.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// A mark counts if its target is known to have ended within this time: by refused connections at once,
/// by the store's list after some five seconds.
const MARK_TIME: Duration = Duration::from_secs(10);
/// Marks at once, at most; older ones give way. Callers that hang up make them: at 100 a second they
/// reach back ten seconds, in 30 KB.
const MARKS_KEPT: usize = 1000;

/// An attempt whose end was not seen.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenAttemptMark {
    pub(super) fingerprint: Fingerprint,
    target: TargetKey,
    at: TimePoint,
}

/// The last such attempts.
#[derive(Debug, Default)]
pub(super) struct OpenAttemptRing {
    marks: VecDeque<OpenAttemptMark>,
}

impl OpenAttemptRing {
    pub(super) fn add(&mut self, now: TimePoint, fingerprint: Fingerprint, target: TargetKey) {
        if self.marks.len() >= MARKS_KEPT {
            self.marks.pop_front();
        }
        self.marks.push_back(OpenAttemptMark { fingerprint, target, at: now });
    }

    /// Takes out the marks at `target` that are young enough to count.
    pub(super) fn take(&mut self, now: TimePoint, target: TargetKey) -> Vec<OpenAttemptMark> {
        while self.marks.front().is_some_and(|mark| now.since(mark.at) > MARK_TIME) {
            self.marks.pop_front();
        }
        if !self.marks.iter().any(|mark| mark.target == target) {
            return Vec::new();
        }
        let (taken, left) = self.marks.drain(..).partition(|mark| mark.target == target);
        self.marks = left;
        Vec::from(taken)
    }
}
