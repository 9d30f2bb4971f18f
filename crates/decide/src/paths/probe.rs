//! Probes of lost paths: connections without a request, and then single requests.

use std::time::Duration;

use crate::names::TargetKey;
use crate::time::TimePoint;

/// Time between two probes while they fail, at first.
const FIRST_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two probes while they fail.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two probes while they succeed.
const NEXT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of different targets to which connections must come up, or all if there are fewer.
pub(crate) const PROBED_TARGETS: usize = 3;
/// Time between two requests that are tried on paths whose connections come up again.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a repeatable request is awaited for the trial. After that one is tried that may run once only.
const REPEATABLE_WAIT: Duration = Duration::from_secs(3);

/// The probes of lost paths.
#[derive(Debug)]
pub(crate) struct PathProbes {
    due: TimePoint,
    interval: Duration,
    connected: Vec<TargetKey>,
    /// When connections to enough targets had come up.
    connected_at: Option<TimePoint>,
    trial_due: TimePoint,
}

impl PathProbes {
    pub(crate) fn new(now: TimePoint) -> PathProbes {
        PathProbes {
            due: now + FIRST_INTERVAL,
            interval: FIRST_INTERVAL,
            connected: Vec::new(),
            connected_at: None,
            trial_due: now,
        }
    }

    pub(crate) fn is_due(&self, now: TimePoint) -> bool {
        self.connected_at.is_none() && now >= self.due
    }

    /// Records the result of a probe, of `listed` targets that could be probed. Returns whether connections to enough
    /// of them have come up.
    pub(crate) fn record(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        connected: bool,
        listed: usize,
    ) -> bool {
        if !connected {
            self.record_failed(now);
            return false;
        }
        if !self.connected.contains(&target) {
            self.connected.push(target);
        }
        self.due = now + NEXT_INTERVAL;
        let is_enough = self.connected.len() >= PROBED_TARGETS.min(listed.max(1));
        if is_enough {
            self.connected_at.get_or_insert(now);
        }
        is_enough
    }

    /// Records that a probe or a tried request came to no contact.
    pub(crate) fn record_failed(&mut self, now: TimePoint) {
        self.connected.clear();
        self.connected_at = None;
        self.interval = self.interval.mul_f64(1.5).min(MAX_INTERVAL);
        self.due = now + self.interval;
    }

    /// Returns whether a request may be tried on the paths now, and counts it.
    pub(crate) fn take_trial(&mut self, now: TimePoint, repeatable: bool) -> bool {
        let Some(connected_at) = self.connected_at else {
            return false;
        };
        let may_run_twice = repeatable || now.since(connected_at) >= REPEATABLE_WAIT;
        let is_due = now >= self.trial_due && may_run_twice;
        if is_due {
            self.trial_due = now + TRIAL_INTERVAL;
        }
        is_due
    }
}
