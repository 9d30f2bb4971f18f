//! Which requests end the targets that run them.
//!
//! Load pattern: one request ends each target that begins to run it, and comes again, at any box,
//! under another id. Each box sees one or two of its tries; the targets are back after seconds and
//! end again. Targets also end for other reasons, with sound requests open at them.
//!
//! So boxes tell each other under which requests which targets ended, as sets that can be merged in
//! any order and as often as one likes. A request under which [`REFUSED_FROM`] targets ended is refused
//! by every box; a success of it takes all back, since a request that ends its targets never has one.
//!
//! A box may not see how an attempt ends: its caller hangs up, or its time is over. The target's name
//! is kept for a while as a mark, and counts once the target is known to have ended.

mod open_attempts;
mod record;

use std::collections::HashMap;
use std::time::Duration;

use crate::crashes::open_attempts::OpenAttemptRing;
use crate::crashes::record::RequestRecord;
use crate::fingerprint::Fingerprint;
use crate::names::TargetKey;
use crate::time::TimePoint;

/// Targets that ended under a request from which on it goes to no target. Of 86 sound requests that
/// were open at targets which another one ended, 3 were hit twice and none three times (request lines of
/// 40 boxes in a storm of 18 ended targets).
pub const REFUSED_FROM: usize = 3;
/// Targets that ended under a request from which on a box makes no further attempt of one try:
/// a sound one that was hit once is served by its second attempt.
pub const REPEATED_BELOW: usize = 2;
/// A request is refused for this long after the last target that ended under it, and twice as long
/// with each further one. Asked for without pause, it ends two targets in the first hour after the third.
pub const REFUSED_FOR: Duration = Duration::from_secs(600);
/// Doublings of that time, at most: some five hours.
const DOUBLINGS: u32 = 5;
/// While there are too many, requests of which nothing was new for this long go first.
const REMEMBERED_FOR: Duration = Duration::from_secs(3600);
/// Requests that are remembered, at most: some 200 KB. Each has ended a target or was open at one
/// that ended, so that no caller fills this without ending as many.
const REQUESTS_KEPT: usize = 1024;
/// What is new is told again for this long: boxes that were cut off for seconds hear of it then.
const RETOLD_FOR: Duration = Duration::from_secs(30);

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target is known to have ended under it.
    Clear,
    /// So many ended, too few to refuse it.
    Suspected {
        /// Targets that ended.
        ended: usize,
    },
    /// It goes to no target for `wait`.
    Refused {
        /// Targets that ended.
        ended: usize,
        /// Time until it may be asked again.
        wait: Duration,
    },
}

impl CrashVerdict {
    /// Targets that ended under the request.
    pub fn ended(self) -> usize {
        match self {
            CrashVerdict::Clear => 0,
            CrashVerdict::Suspected { ended } | CrashVerdict::Refused { ended, .. } => ended,
        }
    }
}

/// A target that ended while it had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetEnd {
    /// The target's life that ended.
    pub target: TargetKey,
    /// How long ago.
    pub age: Duration,
}

/// What is known of one request, as boxes tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended under it.
    pub ends: Vec<TargetEnd>,
    /// How long ago it succeeded, if that took back what was known before.
    pub succeeded: Option<Duration>,
}

/// What became of a request by something new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashChange {
    /// It is refused from now on.
    Refused {
        /// The request.
        fingerprint: Fingerprint,
        /// Targets that ended under it.
        ended: usize,
        /// For how long.
        wait: Duration,
    },
    /// It is taken again: it succeeded.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// What a box knows of requests that end targets.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<Fingerprint, RequestRecord>,
    marks: OpenAttemptRing,
}

impl CrashLedger {
    /// Whether a request may be sent.
    pub fn verdict(&self, now: TimePoint, fingerprint: Fingerprint) -> CrashVerdict {
        self.requests.get(&fingerprint).map_or(CrashVerdict::Clear, |record| record.verdict(now))
    }

    /// Requests that are refused now.
    pub fn refused_count(&self, now: TimePoint) -> usize {
        let is_refused =
            |record: &&RequestRecord| matches!(record.verdict(now), CrashVerdict::Refused { .. });
        self.requests.values().filter(is_refused).count()
    }

    /// A target ended under a request: it closed the connection and takes no other one.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
        target: TargetKey,
    ) -> Vec<CrashChange> {
        self.marks.add(now, fingerprint, target);
        self.record_target_ended(now, target)
    }

    /// An attempt ended and this box doesn't know how.
    pub fn record_unknown_outcome(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
        target: TargetKey,
    ) {
        self.marks.add(now, fingerprint, target);
    }

    /// A target has ended: what it had of this box's requests a moment before counts.
    pub fn record_target_ended(&mut self, now: TimePoint, target: TargetKey) -> Vec<CrashChange> {
        let marked = self.marks.take(now, target);
        marked.into_iter().filter_map(|mark| self.add_end(now, mark.fingerprint, target)).collect()
    }

    /// A target ran a request to a good end.
    pub fn record_success(
        &mut self,
        now: TimePoint,
        fingerprint: Fingerprint,
    ) -> Option<CrashChange> {
        let record = self.requests.get_mut(&fingerprint)?;
        record.record_success(now)
    }

    /// Takes what a peer told. Targets of which it tells have ended, so that marks of this box count.
    pub fn merge_report(&mut self, now: TimePoint, news: &CrashReport) -> Vec<CrashChange> {
        let mut changes = Vec::new();
        let record = self.record(now, news.fingerprint);
        if let Some(age) = news.succeeded {
            changes.extend(record.take_success(now.before(age)));
        }
        for end in &news.ends {
            changes.extend(record.add(now, now.before(end.age), end.target));
        }
        for end in &news.ends {
            changes.extend(self.record_target_ended(now, end.target));
        }
        changes
    }

    /// What is new since the last call.
    pub fn take_unreported(&mut self, now: TimePoint) -> Vec<CrashReport> {
        let unreported = self
            .requests
            .values_mut()
            .filter_map(|record| record.take_unreported().then_some(record));
        unreported.map(|record| record.news(now)).collect()
    }

    /// What is told again and again, `most` requests at most: those that are refused, by the number of targets that
    /// ended, and those of which something was new lately.
    pub fn reports_to_repeat(&self, now: TimePoint, most: usize) -> Vec<CrashReport> {
        let mut told: Vec<&RequestRecord> =
            self.requests.values().filter(|record| record.is_retold(now, RETOLD_FOR)).collect();
        told.sort_by_key(|record| std::cmp::Reverse(record.rank()));
        told.into_iter().take(most).map(|record| record.news(now)).collect()
    }

    /// What is known of requests that are refused now, `most` of them at most, those under which most targets
    /// ended first.
    pub fn refused_reports(&self, now: TimePoint, most: usize) -> Vec<CrashReport> {
        let mut news = self.reports_to_repeat(now, REQUESTS_KEPT);
        news.retain(|news| {
            matches!(self.verdict(now, news.fingerprint), CrashVerdict::Refused { .. })
        });
        news.truncate(most);
        news
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

    /// The record of a request, a new one in place of the least known if there are too many.
    fn record(&mut self, now: TimePoint, fingerprint: Fingerprint) -> &mut RequestRecord {
        if self.requests.len() >= REQUESTS_KEPT && !self.requests.contains_key(&fingerprint) {
            self.requests.retain(|_, record| !record.is_over(now, REMEMBERED_FOR));
            if self.requests.len() >= REQUESTS_KEPT {
                let least = self.requests.iter().min_by_key(|(_, record)| record.rank());
                let least = least.map(|(fingerprint, _)| *fingerprint);
                least.and_then(|fingerprint| self.requests.remove(&fingerprint));
            }
        }
        self.requests.entry(fingerprint).or_insert_with(|| RequestRecord::new(fingerprint))
    }
}
