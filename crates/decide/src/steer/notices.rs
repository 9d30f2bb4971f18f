//! The part of [`SteerCore`] that applies notices of targets and reports which targets they exclude from
//! selection.

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
    /// Applies the notice in a target's answer to this box; returns the part that was not known before.
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

    /// Records that a target is draining, as a peer reported; returns whether that is new.
    pub fn record_draining(&mut self, now: TimePoint, key: TargetKey) -> bool {
        self.record_notice(now, key, &TargetNotice { draining: true, backoff: None }).draining
    }

    /// Records the limit in a target's answer to a request that this box sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        sent_at: TimePoint,
        update: LimitUpdate,
    ) -> Option<LimitChange> {
        self.change_limit(now, key, |notices| notices.record_limit(now, sent_at, update))
    }

    /// Merges a target's limit that a peer received `age` ago. The rate is `None` if the limit was lifted.
    pub fn merge_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        rate: Option<RequestRate>,
        age: Duration,
    ) -> Option<LimitChange> {
        self.change_limit(now, key, |notices| notices.merge_limit(now, rate, age))
    }

    /// Returns the last limit report of a listed target.
    pub fn limit_report(&self, key: TargetKey) -> Option<LimitReport> {
        self.pool_of(key)?[key].notices.limit_report()
    }

    /// Returns the limit of a target over all boxes: the one that it reported, or, while the target is cold,
    /// the cold rate if that is lower.
    pub fn limit(&self, now: TimePoint, key: TargetKey) -> Option<RequestRate> {
        self.pool_of(key)?[key].limit(now)
    }

    /// Returns the limit that applies to a target while it is cold; `None` if it is not cold or not listed.
    pub fn cold_rate(&self, now: TimePoint, key: TargetKey) -> Option<RequestRate> {
        self.pool_of(key)?[key].cold_rate(now)
    }

    /// Records that a target is cold and accepts `rate` from all boxes together, as a peer reported.
    pub fn record_cold(&mut self, now: TimePoint, key: TargetKey, rate: RequestRate) {
        if let Some(record) = self.record_mut(key) {
            record.record_cold(now, rate);
        }
    }

    /// Returns whether operators have evacuated a target's data centre.
    pub fn is_evacuated(&self, key: TargetKey) -> bool {
        self.pool_of(key).is_some_and(|pool| pool[key].is_evacuated())
    }

    /// Records that no permit for the target is available before `until`.
    pub fn record_no_permit_until(&mut self, key: TargetKey, until: TimePoint) {
        if let Some(record) = self.record_mut(key) {
            record.record_no_permit_until(until);
        }
    }

    /// Returns the listed targets that reported a limit that is in force, with the report.
    pub fn limited_targets(&self) -> impl Iterator<Item = (TargetKey, LimitReport)> {
        let records = self.pools.values().flat_map(|pool| pool.all_records());
        let reports = records.filter_map(|record| Some((record, record.notices.limit_report()?)));
        let limited = reports.filter(|(_, report)| report.rate.is_some());
        limited.map(|(record, report)| (record.setup.key(), report))
    }

    /// Returns the name of a listed target.
    pub fn target_name(&self, key: TargetKey) -> Option<&Name> {
        Some(&self.pool_of(key)?[key].setup.id)
    }

    /// Returns the data centre of a listed target.
    pub fn data_centre_of(&self, key: TargetKey) -> Option<Name> {
        Some(self.pool_of(key)?[key].setup.data_centre.clone())
    }

    /// Returns whether a target of `service` in the regions `homes`, other than those in `tried`, is eligible.
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

    /// Returns the reason why a target must not be sent requests at `now`, by its own notices; `None` if there
    /// is no such reason or the target is not listed.
    pub fn ineligibility(&self, now: TimePoint, key: TargetKey) -> Option<Ineligibility> {
        self.pool_of(key)?[key].notices.ineligibility(now)
    }

    /// Counts the targets of `service` that are excluded from selection at `now`.
    pub fn excluded(&self, now: TimePoint, service: &str) -> ExcludedTargets {
        let pool = self.pools.get(service);
        let records = pool.into_iter().flat_map(|pool| pool.all_records());
        count_excluded(now, records)
    }

    /// Counts the targets of all services that are excluded from selection at `now`.
    pub fn all_excluded(&self, now: TimePoint) -> ExcludedTargets {
        count_excluded(now, self.pools.values().flat_map(|pool| pool.all_records()))
    }

    /// Shortens back-offs and waits for permits by `time`, which passed without being counted by the clock, makes counts of
    /// retries older by it, and drops the loads that other boxes reported before.
    pub fn advance_clocks(&mut self, time: Duration) {
        for pool in self.pools.values_mut() {
            pool.all_records_mut().for_each(|record| record.advance_clocks(time));
        }
        self.unlisted.advance_clocks(time);
        self.ledgers.values_mut().for_each(|ledger| ledger.advance_clocks(time));
        if let Some(placement) = &mut self.placement {
            placement.forget_reports();
        }
    }

    fn change_limit(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        apply: impl FnOnce(&mut NoticeState) -> Option<LimitChange>,
    ) -> Option<LimitChange> {
        let Some(record) = self.record_mut(key) else {
            return self.unlisted.update(now, key, apply);
        };
        let change = apply(&mut record.notices)?;
        record.clear_permit_wait();
        Some(change)
    }
}

fn count_excluded<'a>(
    now: TimePoint,
    records: impl Iterator<Item = &'a TargetRecord>,
) -> ExcludedTargets {
    let mut excluded = ExcludedTargets::default();
    for record in records {
        if record.is_replaced() {
            excluded.replaced += 1;
            continue;
        }
        if record.is_evacuated() {
            excluded.evacuated += 1;
            continue;
        }
        match record.notices.ineligibility(now) {
            Some(Ineligibility::Draining(_)) => excluded.draining += 1,
            Some(Ineligibility::BackingOff { .. }) => excluded.backing_off += 1,
            None => excluded.limited += usize::from(record.permit_wait(now).is_some()),
        }
    }
    excluded
}
