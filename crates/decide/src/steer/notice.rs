//! Notices: what targets report about themselves in their answers. A target can report that it is draining,
//! request a back-off from the box that it answers, and limit the requests per second of all boxes
//! together.
//!
//! A notice comes from the target itself, so it applies without the store and overrides what the store
//! lists. It belongs to one incarnation of a target: the next one, under the same name or another, starts
//! without notices.

use std::time::Duration;

use crate::steer::limit::{LimitChange, LimitReport, LimitUpdate, RequestRate};
use crate::time::TimePoint;

/// Upper bound on a back-off. Targets request seconds. If one requests years by mistake, each box sends it
/// a request again after ten minutes, and backs off again if that request is refused with another back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// A repeated back-off whose end moves by no more than this is not reported as a change.
const SAME_END_TOLERANCE: Duration = Duration::from_millis(100);

/// The notice in one answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetNotice {
    /// Whether the target is draining.
    pub draining: bool,
    /// Time for which this box should send no requests to the target.
    pub backoff: Option<Duration>,
}

/// The part of a notice that was not known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoticeChange {
    /// Whether the target is now known to be draining and was not before.
    pub draining: bool,
    /// The back-off, if it is new or ends later than the known one.
    pub backoff: Option<Duration>,
}

/// The reason why a target must not be sent requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligibility {
    /// The target reported that it is draining, this long ago.
    Draining(Duration),
    /// The target asked the box to back off.
    BackingOff {
        /// Time since the target asked for it.
        since: Duration,
        /// Time until the back-off ends.
        remaining: Duration,
    },
}

/// Numbers of targets that are excluded from selection now, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExcludedTargets {
    /// Targets that are draining.
    pub draining: usize,
    /// Targets that asked this box to back off.
    pub backing_off: usize,
    /// Targets whose address another instance has taken.
    pub replaced: usize,
    /// Targets whose limit over all boxes is used up for now.
    pub limited: usize,
    /// Targets in data centres that operators have evacuated.
    pub evacuated: usize,
}

/// All notices of one target that are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct NoticeState {
    draining_since: Option<TimePoint>,
    backoff: Option<BackoffSpan>,
    limit: Option<LimitReport>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BackoffSpan {
    since: TimePoint,
    until: TimePoint,
}

impl NoticeState {
    /// Applies the notice of an answer. A shorter back-off does not end a longer one that has already
    /// begun.
    pub(crate) fn apply(&mut self, now: TimePoint, notice: &TargetNotice) -> NoticeChange {
        let draining = notice.draining && self.draining_since.is_none();
        if draining {
            self.draining_since = Some(now);
        }
        let backoff =
            notice.backoff.map(|time| time.min(MAX_BACKOFF)).filter(|time| !time.is_zero());
        let backoff = backoff.filter(|time| self.extend_backoff(now, *time));
        NoticeChange { draining, backoff }
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`.
    pub(crate) fn record_limit(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        update: LimitUpdate,
    ) -> Option<LimitChange> {
        let (report, change) = LimitReport::after_answer(self.limit, now, sent_at, update)?;
        self.limit = Some(report);
        change
    }

    /// Merges a limit that a peer received from the target `age` ago.
    pub(crate) fn merge_limit(
        &mut self,
        now: TimePoint,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<LimitChange> {
        let (report, change) = LimitReport::after_peer_report(self.limit, now, rate, age)?;
        self.limit = Some(report);
        change
    }

    /// Returns the target's last limit report.
    pub(crate) fn limit_report(&self) -> Option<LimitReport> {
        self.limit
    }

    /// Returns the limit that is in force.
    pub(crate) fn limit(&self) -> Option<RequestRate> {
        self.limit?.rate
    }

    /// Returns the reason why the target must not be sent requests at `now`, if there is one.
    pub(crate) fn ineligibility(&self, now: TimePoint) -> Option<Ineligibility> {
        if let Some(since) = self.draining_since {
            return Some(Ineligibility::Draining(now.since(since)));
        }
        let backoff = self.backoff.filter(|backoff| now < backoff.until)?;
        Some(Ineligibility::BackingOff {
            since: now.since(backoff.since),
            remaining: backoff.until.since(now),
        })
    }

    /// Returns whether the target has given no notice so far.
    pub(crate) fn is_empty(&self) -> bool {
        *self == NoticeState::default()
    }

    /// Ends the back-off earlier by `time`, which passed without being counted by the clock.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        if let Some(backoff) = &mut self.backoff {
            backoff.until = backoff.until.before(time);
        }
    }

    /// Records a back-off that starts at `now`; returns whether it ends later than the known one.
    fn extend_backoff(&mut self, now: TimePoint, time: Duration) -> bool {
        let until = now + time;
        let known = self.backoff.filter(|backoff| now < backoff.until);
        let Some(backoff) = known else {
            self.backoff = Some(BackoffSpan { since: now, until });
            return true;
        };
        self.backoff = Some(BackoffSpan { until: until.max(backoff.until), ..backoff });
        until > backoff.until + SAME_END_TOLERANCE
    }
}
