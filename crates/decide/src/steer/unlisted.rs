//! Notices of targets that are not listed: entries lapse while the store is away and come back, and
//! a target may answer before its box has it listed.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::notice::{NoticeChange, NoticeState, TargetNotice};
use crate::time::TimePoint;

/// A target that is not listed for so long does not come back under the same life: entries that
/// lapse return within seconds.
const KEPT_FOR: Duration = Duration::from_secs(600);
/// Targets that are remembered at most, some 64 bytes each; of more, those that were listed last.
const KEPT: usize = 1024;

/// What targets said that are not listed now.
#[derive(Debug, Default)]
pub(crate) struct UnlistedNotices {
    kept: HashMap<TargetKey, UnlistedTarget>,
}

#[derive(Debug)]
struct UnlistedTarget {
    notices: NoticeState,
    since: TimePoint,
}

impl UnlistedNotices {
    /// Keeps what a target said that is listed no more.
    pub(crate) fn store(&mut self, now: TimePoint, key: TargetKey, notices: NoticeState) {
        if notices.is_empty() {
            return;
        }
        self.make_room(now);
        self.kept.insert(key, UnlistedTarget { notices, since: now });
    }

    /// Takes a notice of a target that is not listed.
    pub(crate) fn apply(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        notice: &TargetNotice,
    ) -> NoticeChange {
        self.update(now, key, |notices| notices.apply(now, notice))
    }

    /// Changes what a target has said that is not listed.
    pub(crate) fn update<T>(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        take: impl FnOnce(&mut NoticeState) -> T,
    ) -> T {
        let mut notices = self.take(key);
        let change = take(&mut notices);
        self.store(now, key, notices);
        change
    }

    /// What a target said that is listed now.
    pub(crate) fn take(&mut self, key: TargetKey) -> NoticeState {
        self.kept.remove(&key).map(|unlisted| unlisted.notices).unwrap_or_default()
    }

    /// Ends rests sooner by `time`, which the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.kept.values_mut().for_each(|unlisted| unlisted.notices.advance_clocks(time));
    }

    fn make_room(&mut self, now: TimePoint) {
        if self.kept.len() < KEPT {
            return;
        }
        self.kept.retain(|_, unlisted| now.since(unlisted.since) < KEPT_FOR);
        let oldest = self.kept.iter().min_by_key(|(_, unlisted)| unlisted.since);
        let oldest = oldest.map(|(key, _)| *key).filter(|_| self.kept.len() >= KEPT);
        if let Some(key) = oldest {
            self.kept.remove(&key);
        }
    }
}
