//! Detection of poison requests: requests that end the targets that run them.
//!
//! Load pattern: one request ends each target that starts to run it, and is repeated, at any box, under
//! another id. Each box sees one or two of its attempts. The targets are back after seconds and end
//! again. Targets also end for other reasons while harmless requests are open at them.
//!
//! Boxes therefore report to each other under which requests which targets ended, as sets that can be
//! merged in any order and any number of times. A request under which [`REFUSAL_THRESHOLD`] targets ended
//! is refused by every box. A success of the request clears its record, since a request that ends its
//! targets never succeeds.
//!
//! A box may not see how an attempt ends, because its caller hangs up or its deadline passes. Such an
//! attempt is kept for a while and counts if its target turns out to have ended.

mod record;
mod unresolved_attempts;

use std::collections::HashMap;
use std::time::Duration;

use crate::crashes::record::RequestRecord;
use crate::crashes::unresolved_attempts::UnresolvedAttempts;
use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Minimum number of targets that ended under a request at which the request is sent to no target. Of 86
/// harmless requests that were open at targets which a poison request ended, 3 were hit twice and none
/// three times (at 40 boxes, while 18 targets ended).
pub const REFUSAL_THRESHOLD: usize = 3;
/// Minimum number of targets that ended under a request at which a box does not retry it. A harmless
/// request that was hit once is served by its second attempt.
pub const NO_RETRY_THRESHOLD: usize = 2;
/// Time for which a request is refused after the last target that ended under it. It doubles with each
/// further target. A poison request that is repeated continuously ends two targets in the first hour
/// after the third.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Upper bound on the number of doublings of [`REFUSAL_TIME`], which limits a refusal to some five hours.
const MAX_DOUBLINGS: u32 = 5;
/// Requests without a change for this long are removed first when there are too many.
const RECORD_RETENTION: Duration = Duration::from_secs(3600);
/// Upper bound on the number of requests with a record, some 200 KB. Each of them has ended a target or
/// was open at one that ended, so no caller fills this without ending as many targets.
const MAX_REQUESTS: usize = 1024;
/// Time for which a change is reported repeatedly, so that boxes that were cut off for some seconds
/// receive it.
const REPEAT_TIME: Duration = Duration::from_secs(30);

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target is known to have ended under the request.
    Clear,
    /// Targets ended under the request, fewer than [`REFUSAL_THRESHOLD`], or the refusal has expired.
    Suspected {
        /// Number of targets that ended under the request.
        ended: usize,
    },
    /// The request is sent to no target for `wait`.
    Refused {
        /// Number of targets that ended under the request.
        ended: usize,
        /// Time until the request is accepted again.
        wait: Duration,
    },
}

impl CrashVerdict {
    /// Returns the number of targets that ended under the request.
    pub fn ended(self) -> usize {
        match self {
            CrashVerdict::Clear => 0,
            CrashVerdict::Suspected { ended } | CrashVerdict::Refused { ended, .. } => ended,
        }
    }
}

/// A target that ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEnd {
    /// Key of the incarnation of the target that ended.
    pub target: TargetKey,
    /// Time since the target ended.
    pub age: Duration,
}

/// The record of one request, as boxes report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Targets that ended under the request.
    pub ends: Vec<TargetEnd>,
    /// Time since the request succeeded, if a success cleared an earlier record.
    pub succeeded: Option<Duration>,
}

/// A change of whether a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashChange {
    /// The request is refused from now on.
    Refused {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of targets that ended under the request.
        ended: usize,
        /// Time for which the request is refused.
        wait: Duration,
    },
    /// The request succeeded and is accepted again.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

/// The records of all requests under which targets ended, as known to one box.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<Fingerprint, RequestRecord>,
    unresolved: UnresolvedAttempts,
}

impl CrashLedger {
    /// Returns whether a request may be sent to a target.
    pub fn verdict(&self, now: TimePoint, fingerprint: Fingerprint) -> CrashVerdict {
        self.requests.get(&fingerprint).map_or(CrashVerdict::Clear, |record| record.verdict(now))
    }

    /// Returns the number of requests that are refused at `now`.
    pub fn refused_count(&self, now: TimePoint) -> usize {
        let is_refused =
            |record: &&RequestRecord| matches!(record.verdict(now), CrashVerdict::Refused { .. });
        self.requests.values().filter(is_refused).count()
    }

    /// Records that a target ended under a request: it closed the connection and accepts no new one.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
        target: TargetKey,
    ) -> Vec<CrashChange> {
        self.unresolved.add(now, fingerprint, target);
        self.record_target_ended(now, target)
    }

    /// Records that an attempt ended with an outcome that this box has not seen.
    pub fn record_unknown_outcome(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
        target: TargetKey,
    ) {
        self.unresolved.add(now, fingerprint, target);
    }

    /// Records that a target has ended. This box's attempts that had an unknown outcome at that target a
    /// moment before count as crashes.
    pub fn record_target_ended(&mut self, now: TimePoint, target: TargetKey) -> Vec<CrashChange> {
        let attempts = self.unresolved.take(now, target);
        attempts
            .into_iter()
            .filter_map(|attempt| self.add_end(now, attempt.fingerprint, target))
            .collect()
    }

    /// Records that a target completed a request.
    pub fn record_success(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
    ) -> Option<CrashChange> {
        let record = self.requests.get_mut(&fingerprint)?;
        record.record_success(now)
    }

    /// Merges a peer's report. The targets in it have ended, so this box's unresolved attempts at them
    /// count as crashes as well.
    pub fn merge_report(&mut self, now: TimePoint, report: &CrashReport) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        let record = self.record(now, report.fingerprint);
        if let Some(age) = report.succeeded {
            changes.extend(record.merge_success(now.before(age)));
        }
        for end in &report.ends {
            changes.extend(record.add(now, now.before(end.age), end.target));
        }
        for end in &report.ends {
            changes.extend(self.record_target_ended(now, end.target));
        }
        changes
    }

    /// Returns the records that this box has changed since the last call.
    pub fn take_unreported(&mut self, now: TimePoint) -> Vec<CrashReport> {
        let unreported = self
            .requests
            .values_mut()
            .filter_map(|record| record.take_unreported().then_some(record));
        unreported.map(|record| record.report(now)).collect()
    }

    /// Returns the records that are reported repeatedly: those of refused requests and those with a recent
    /// change, at most `max` of them, those with the most ended targets first.
    pub fn reports_to_repeat(&self, now: TimePoint, max: usize) -> Vec<CrashReport> {
        let mut repeated: Vec<&RequestRecord> =
            self.requests.values().filter(|record| record.is_repeated(now, REPEAT_TIME)).collect();
        repeated.sort_by_key(|record| std::cmp::Reverse(record.rank()));
        repeated.into_iter().take(max).map(|record| record.report(now)).collect()
    }

    /// Returns the records of requests that are refused at `now`, at most `max` of them, those with the
    /// most ended targets first.
    pub fn refused_reports(&self, now: TimePoint, max: usize) -> Vec<CrashReport> {
        let mut reports = self.reports_to_repeat(now, MAX_REQUESTS);
        reports.retain(|report| {
            matches!(self.verdict(now, report.fingerprint), CrashVerdict::Refused { .. })
        });
        reports.truncate(max);
        reports
    }

    fn add_end(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
        target: TargetKey,
    ) -> Option<CrashChange> {
        let record = self.record(now, fingerprint);
        let change = record.add(now, now, target);
        record.set_unreported();
        change
    }

    /// Returns the record of a request. A new one replaces the record with the lowest rank if there are
    /// too many.
    fn record(&mut self, now: TimePoint, fingerprint: Fingerprint) -> &mut RequestRecord {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&fingerprint) {
            self.requests.retain(|_, record| !record.is_expired(now, RECORD_RETENTION));
            if self.requests.len() >= MAX_REQUESTS {
                let lowest = self.requests.iter().min_by_key(|(_, record)| record.rank());
                let lowest = lowest.map(|(fingerprint, _)| *fingerprint);
                lowest.and_then(|fingerprint| self.requests.remove(&fingerprint));
            }
        }
        self.requests.entry(fingerprint).or_insert_with(|| RequestRecord::new(fingerprint))
    }
}
