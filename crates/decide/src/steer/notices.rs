//! The core's part of notices: taking them, and telling what they keep out.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::SteerCore;
use crate::steer::limit::{LimitChange, LimitReport, LimitUpdate, RequestRate};
use crate::steer::messages::HomeRegions;
use crate::steer::notice::{
    ExcludedTargets, Ineligibility, NoticeChange, NoticeState, TargetNotice,
};
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

impl SteerCore {
    /// Takes what a target's answer to this box says of it.
    pub fn record_notice(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        notice: &TargetNotice,
    ) -> NoticeChange {
        match self.record_mut(key) {
            Some(record) => record.notices.apply(now, notice),
            None => self.unlisted.apply(now, key, notice),
        }
    }

    /// Takes a peer's word that a target has said that it leaves; returns whether that is new.
    pub fn record_draining(&mut self, now: TimePoint, key: TargetKey) -> bool {
        self.record_notice(now, key, &TargetNotice { draining: true, backoff: None }).draining
    }

    /// Takes what a target's answer to a request of this box, sent at `asked`, says of its limit.
    pub fn receive_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        asked: TimePoint,
        said: LimitUpdate,
    ) -> Option<LimitChange> {
        self.change_limit(now, key, |notices| notices.receive_limit(now, asked, said))
    }

    /// Takes what a peer tells of a target's limit that heard it `age` ago; `None` for the end of one.
    pub fn merge_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<LimitChange> {
        self.change_limit(now, key, |notices| notices.merge_limit(now, rate, age))
    }

    /// What a listed target said last of its limit.
    pub fn limit_report(&self, key: TargetKey) -> Option<LimitReport> {
        self.pool_of(key)?[key].notices.limit_report()
    }

    /// The limit of a target over all boxes, if it has one now, by its own word or since it is cold.
    pub fn limit(&self, now: TimePoint, key: TargetKey) -> Option<RequestRate> {
        self.pool_of(key)?[key].limit(now)
    }

    /// The limit of a target that is cold; `None` if it is not, or not known.
    pub fn cold_rate(&self, now: TimePoint, key: TargetKey) -> Option<RequestRate> {
        self.pool_of(key)?[key].cold_rate(now)
    }

    /// Takes a peer's word that a target is cold and takes `rate` from all boxes together.
    pub fn record_cold(&mut self, now: TimePoint, key: TargetKey, rate: RequestRate) {
        if let Some(record) = self.record_mut(key) {
            record.record_cold(now, rate);
        }
    }

    /// Whether operators want nothing sent to a target's data centre.
    pub fn is_evacuated(&self, key: TargetKey) -> bool {
        self.pool_of(key).is_some_and(|pool| pool[key].is_evacuated())
    }

    /// Notes that there is no permit for a target until then.
    pub fn record_no_permit_until(&mut self, key: TargetKey, until: TimePoint) {
        if let Some(record) = self.record_mut(key) {
            record.record_no_permit_until(until);
        }
    }

    /// The listed targets that have a limit now, with what they said last of it.
    pub fn limited_targets(&self) -> impl Iterator<Item = (TargetKey, LimitReport)> {
        let records = self.pools.values().flat_map(|pool| pool.all_records());
        let words = records.filter_map(|record| Some((record, record.notices.limit_report()?)));
        let limited = words.filter(|(_, word)| word.rate.is_some());
        limited.map(|(record, word)| (record.setup.key(), word))
    }

    /// A target's name, if it is listed.
    pub fn target_name(&self, key: TargetKey) -> Option<&Name> {
        Some(&self.pool_of(key)?[key].setup.id)
    }

    /// The data centre of a listed target.
    pub fn data_centre_of(&self, key: TargetKey) -> Option<Name> {
        Some(self.pool_of(key)?[key].setup.data_centre.clone())
    }

    /// Whether a target in the regions `homes` could be chosen for a request of `service` beside those
    /// that were tried.
    pub fn has_eligible_target(
        &self,
        now: TimePoint,
        service: &str,
        tried: &[TargetKey],
        homes: HomeRegions<'_>,
    ) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.eligible_targets(now, tried, homes).next().is_some())
    }

    /// Why a target wants nothing at `now`, by its own word; `None` if it does, or is not known.
    pub fn ineligibility(&self, now: TimePoint, key: TargetKey) -> Option<Ineligibility> {
        self.pool_of(key)?[key].notices.ineligibility(now)
    }

    /// What is left out of each choice among the targets of `service`.
    pub fn excluded(&self, now: TimePoint, service: &str) -> ExcludedTargets {
        let pool = self.pools.get(service);
        let records = pool.into_iter().flat_map(|pool| pool.all_records());
        count(now, records)
    }

    /// The same over all services.
    pub fn all_excluded(&self, now: TimePoint) -> ExcludedTargets {
        count(now, self.pools.values().flat_map(|pool| pool.all_records()))
    }

    /// Counts `time`, which the clock did not, into what is left of rests.
    pub fn advance_clocks(&mut self, time: Duration) {
        for pool in self.pools.values_mut() {
            pool.all_records_mut().for_each(|record| record.advance_clocks(time));
        }
        self.unlisted.advance_clocks(time);
    }

    fn change_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        take: impl FnOnce(&mut NoticeState) -> Option<LimitChange>,
    ) -> Option<LimitChange> {
        let Some(record) = self.record_mut(key) else {
            return self.unlisted.update(now, key, take);
        };
        let change = take(&mut record.notices)?;
        record.clear_permit_wait();
        Some(change)
    }
}

fn count<'a>(now: TimePoint, records: impl Iterator<Item = &'a TargetRecord>) -> ExcludedTargets {
    let mut out = ExcludedTargets::default();
    for record in records {
        if record.is_replaced() {
            out.replaced += 1;
            continue;
        }
        if record.is_evacuated() {
            out.evacuated += 1;
            continue;
        }
        match record.notices.ineligibility(now) {
            Some(Ineligibility::Draining(_)) => out.draining += 1,
            Some(Ineligibility::BackingOff { .. }) => out.backing_off += 1,
            None => out.limited += usize::from(record.permit_wait(now).is_some()),
        }
    }
    out
}
