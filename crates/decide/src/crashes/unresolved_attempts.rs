//! Attempts of this box for which it is unknown whether their target ended while it ran them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Time within which a target must be found to have ended for an attempt at it to count. Refused
/// connections show the end immediately, the store's listing after some five seconds.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(10);
/// Upper bound on the number of attempts; the oldest are dropped first. They come from callers that hang
/// up: at 100 a second they cover ten seconds, in 30 KB.
const MAX_ATTEMPTS: usize = 1000;

/// An attempt with an outcome that this box has not seen.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnresolvedAttempt {
    pub(super) fingerprint: Fingerprint,
    target: TargetKey,
    at: TimePoint,
}

/// The most recent attempts with an unknown outcome, oldest first.
#[derive(Debug, Default)]
pub(super) struct UnresolvedAttempts {
    attempts: VecDeque<UnresolvedAttempt>,
}

impl UnresolvedAttempts {
    pub(super) fn add(&mut self, now: TimePoint, fingerprint: Fingerprint, target: TargetKey) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(UnresolvedAttempt { fingerprint, target, at: now });
    }

    /// Removes the attempts at `target` and returns those that are recent enough to count.
    pub(super) fn take(&mut self, now: TimePoint, target: TargetKey) -> Vec<UnresolvedAttempt> {
        while self.attempts.front().is_some_and(|attempt| now.since(attempt.at) > ATTEMPT_RETENTION)
        {
            self.attempts.pop_front();
        }
        if !self.attempts.iter().any(|attempt| attempt.target == target) {
            return Vec::new();
        }
        let (taken, remaining) =
            self.attempts.drain(..).partition(|attempt| attempt.target == target);
        self.attempts = remaining;
        Vec::from(taken)
    }
}
