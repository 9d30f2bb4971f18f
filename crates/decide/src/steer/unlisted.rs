//! Notices of targets that are not listed. Entries of the listing expire while the store is unreachable and
//! return later, and a target may answer before the box has received its entry.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::notice::{NoticeChange, NoticeState, TargetNotice};
use crate::time::TimePoint;

/// Time after which a target that is not listed is assumed not to return under the same incarnation. Expired
/// entries return within seconds.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of targets that are kept, at some 64 bytes each. Beyond this, the targets that have been
/// unlisted for longest are dropped.
const MAX_TARGETS: usize = 1024;

/// Notices of targets that are not listed now.
#[derive(Debug, Default)]
pub(crate) struct UnlistedNotices {
    targets: HashMap<TargetKey, UnlistedTarget>,
}

#[derive(Debug)]
struct UnlistedTarget {
    notices: NoticeState,
    since: TimePoint,
}

impl UnlistedNotices {
    /// Stores the notices of a target that is not listed any more.
    pub(crate) fn store(&mut self, now: TimePoint, key: TargetKey, notices: NoticeState) {
        if notices.is_empty() {
            return;
        }
        self.make_room(now);
        self.targets.insert(key, UnlistedTarget { notices, since: now });
    }

    /// Applies a notice of a target that is not listed.
    pub(crate) fn apply(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        notice: &TargetNotice,
    ) -> NoticeChange {
        self.update(now, key, |notices| notices.apply(now, notice))
    }

    /// Changes the notices of a target that is not listed, and returns the result of `update`.
    pub(crate) fn update<T>(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        update: impl FnOnce(&mut NoticeState) -> T,
    ) -> T {
        let mut notices = self.take(key);
        let change = update(&mut notices);
        self.store(now, key, notices);
        change
    }

    /// Removes and returns the notices of a target that is now listed.
    pub(crate) fn take(&mut self, key: TargetKey) -> NoticeState {
        self.targets.remove(&key).map(|target| target.notices).unwrap_or_default()
    }

    /// Ends back-offs earlier by `time`, which passed without being counted by the clock.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        self.targets.values_mut().for_each(|target| target.notices.advance_clocks(time));
    }

    fn make_room(&mut self, now: TimePoint) {
        if self.targets.len() < MAX_TARGETS {
            return;
        }
        self.targets.retain(|_, target| now.since(target.since) < RETENTION);
        let oldest = self.targets.iter().min_by_key(|(_, target)| target.since);
        let oldest = oldest.map(|(key, _)| *key).filter(|_| self.targets.len() >= MAX_TARGETS);
        if let Some(key) = oldest {
            self.targets.remove(&key);
        }
    }
}
