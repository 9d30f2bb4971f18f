//! The core's part of notices: taking them, and telling what they keep out.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::SteerCore;
use crate::steer::limit::{LimitChange, LimitSaid, LimitWord, RequestRate};
use crate::steer::notice::{LeftOut, NoticeBar, NoticeChange, TargetNotice};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

impl SteerCore {
    /// Takes what a target's answer to this box says of it.
    pub fn note_notice(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        notice: &TargetNotice,
    ) -> NoticeChange {
        match self.record_mut(key) {
            Some(record) => record.notices.take(now, notice),
            None => self.parted.take(now, key, notice),
        }
    }

    /// Takes a peer's word that a target has said that it leaves; returns whether that is new.
    pub fn note_leaving(&mut self, now: TimePoint, key: TargetKey) -> bool {
        self.note_notice(now, key, &TargetNotice { leaves: true, rest: None }).leaves
    }

    /// Takes what a target's answer to a request of this box, sent at `asked`, says of its limit.
    pub fn hear_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        asked: TimePoint,
        said: LimitSaid,
    ) -> Option<LimitChange> {
        match self.record_mut(key) {
            Some(record) => record.notices.hear_limit(now, asked, said),
            None => self.parted.hear_limit(now, key, asked, said),
        }
    }

    /// What a listed target said last of its limit.
    pub fn limit_word(&self, key: TargetKey) -> Option<LimitWord> {
        self.pool_of(key)?[key].notices.limit()
    }

    /// The limit of a target, if it has one now.
    pub fn limit(&self, key: TargetKey) -> Option<RequestRate> {
        self.limit_word(key)?.rate
    }

    /// How many listed targets have a limit now.
    pub fn limited_targets(&self) -> usize {
        let records = self.pools.values().flat_map(|pool| pool.all_records());
        records
            .filter(|record| record.notices.limit().is_some_and(|word| word.rate.is_some()))
            .count()
    }

    /// A target's name, if it is listed.
    pub fn target_name(&self, key: TargetKey) -> Option<&Name> {
        Some(&self.pool_of(key)?[key].setup.id)
    }

    /// Whether a target could be chosen for a request of `service` beside those that were tried.
    pub fn has_choice(&self, now: TimePoint, service: &str, tried: &[TargetKey]) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.in_draw(now).any(|(key, _)| !tried.contains(&key)))
    }

    /// Why a target wants nothing at `now`, by its own word; `None` if it does, or is not known.
    pub fn notice_bar(&self, now: TimePoint, key: TargetKey) -> Option<NoticeBar> {
        self.pool_of(key)?[key].notices.bar(now)
    }

    /// What is left out of each choice among the targets of `service`.
    pub fn left_out(&self, now: TimePoint, service: &str) -> LeftOut {
        let pool = self.pools.get(service);
        let records = pool.into_iter().flat_map(|pool| pool.all_records());
        count(now, records)
    }

    /// The same over all services.
    pub fn all_left_out(&self, now: TimePoint) -> LeftOut {
        count(now, self.pools.values().flat_map(|pool| pool.all_records()))
    }

    /// Counts `time`, which the clock did not, into what is left of rests.
    pub fn grow_older(&mut self, time: Duration) {
        for pool in self.pools.values_mut() {
            pool.all_records_mut().for_each(|record| record.notices.grow_older(time));
        }
        self.parted.grow_older(time);
    }
}

fn count<'a>(now: TimePoint, records: impl Iterator<Item = &'a TargetRecord>) -> LeftOut {
    let mut out = LeftOut::default();
    for record in records {
        if record.is_replaced() {
            out.replaced += 1;
            continue;
        }
        match record.notices.bar(now) {
            Some(NoticeBar::Leaving(_)) => out.leaving += 1,
            Some(NoticeBar::Resting { .. }) => out.resting += 1,
            None => {}
        }
    }
    out
}
