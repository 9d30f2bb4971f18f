//! What outcomes say of targets, gathered and sent.

use crate::core::health::change_health;
use crate::core::{BoxCore, REPORT_INTERVAL, locate};
use crate::evidence::{EvidenceBatch, SampleKind, TargetSamples};
use crate::floor::EjectionRank;
use crate::health::{Ejection, HealthState, TargetHealth};
use crate::messages::{AttemptOutcome, BoxCommand, ReportedState, TargetReport, VerdictScope};
use crate::names::{Name, TargetKey};
use crate::requests::OpenAttempt;
use crate::service::is_draining;
use crate::sketch::LatencyBucket;
use crate::time::TimePoint;

/// Evidence of one service that waits to be sent.
#[derive(Debug, Default)]
pub(super) struct PendingBatch {
    targets: Vec<TargetSamples>,
    since: TimePoint,
    urgent: bool,
}

impl BoxCore {
    pub(super) fn record_report(
        &mut self,
        now: TimePoint,
        name: &str,
        key: TargetKey,
        report: &TargetReport,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some((service, index)) = locate(&mut self.services, name, key) else {
            return;
        };
        let chart = &self.chart;
        if service.record_report(index, now, report) {
            self.local_detector.reset_target(name, key);
            change_health(service, index, "another target answers there", commands, |health| {
                health.replace(now);
                true
            });
            service.rebuild();
        } else if report.state == ReportedState::Cold {
            change_health(service, index, "it says it is cold", commands, |health| {
                health.mark_cold(chart, now)
            });
            service.rebuild();
        }
        if is_draining(report) {
            self.mark_draining(now, name, key, true, commands);
        }
    }

    /// Turns an outcome into evidence.
    pub(super) fn record_outcome(
        &mut self,
        now: TimePoint,
        service: &Name,
        open: &OpenAttempt,
        outcome: AttemptOutcome,
        commands: &mut Vec<BoxCommand>,
    ) {
        let kind = match outcome {
            AttemptOutcome::Shed(_) => return,
            AttemptOutcome::Answered(_) if open.overdue => SampleKind::Late,
            AttemptOutcome::Answered(_) => SampleKind::Good,
            AttemptOutcome::AnsweredError(report) if is_draining(&report) => return,
            AttemptOutcome::AnsweredError(_) | AttemptOutcome::NotSent | AttemptOutcome::Broken => {
                SampleKind::Error
            }
        };
        self.add_evidence(now, service, open, kind, commands);
    }

    pub(super) fn add_evidence(
        &mut self,
        now: TimePoint,
        name: &Name,
        open: &OpenAttempt,
        kind: SampleKind,
        commands: &mut Vec<BoxCommand>,
    ) {
        let good = !kind.is_bad();
        self.self_check.record(!good);
        let Some((service, index)) = locate(&mut self.services, name, open.target) else {
            return;
        };
        let Some(kind) = evidence_kind(&service.target(index).health, kind) else { return };
        let bucket = LatencyBucket::of(now.since(open.started));
        let batch = self.batches.entry(name.clone()).or_default();
        let load = service.target(index).recent_load(now);
        batch.add(now, open.target, kind, bucket, load);
        let chart = &self.chart;
        let mut failed = false;
        change_health(service, index, "its trial went well", commands, |health| {
            failed = health.record_trial_result(chart, now, good);
            true
        });
        if failed {
            let rank = EjectionRank { source: 2, stamp: now.as_micros(), key: open.target.0 };
            let ejection = Ejection { rank, scope: VerdictScope::Path };
            self.convict(now, name, open.target, ejection, 0, "its trial failed here", commands);
        }
    }

    pub(super) fn send_reports(&mut self, now: TimePoint, commands: &mut Vec<BoxCommand>) {
        let due = |batch: &PendingBatch| batch.urgent || now.since(batch.since) >= REPORT_INTERVAL;
        let ready = self.batches.iter().filter(|(_, batch)| due(batch));
        let ready: Vec<Name> = ready.map(|(name, _)| name.clone()).collect();
        for service in ready {
            if let Some(batch) = self.batches.remove(&service) {
                let batch = EvidenceBatch { service, targets: batch.targets };
                self.local_detector.add_batch(now, &self.source, &batch);
                commands.push(BoxCommand::Report(batch));
            }
        }
    }
}

impl PendingBatch {
    fn add(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        kind: SampleKind,
        bucket: LatencyBucket,
        load: f32,
    ) {
        if self.targets.is_empty() {
            self.since = now;
        }
        self.urgent |= kind.is_bad();
        let known = self.targets.iter().position(|samples| samples.target == target);
        let index = known.unwrap_or_else(|| {
            self.targets.push(TargetSamples::new(target));
            self.targets.len() - 1
        });
        let seen = &mut self.targets[index];
        seen.load = seen.load.max(load);
        seen.add(kind, bucket);
    }
}

/// What an outcome says of a target's health. Draining is no sickness, and neither is
/// the slowness of a cold start: what it answers says only that it answers.
fn evidence_kind(health: &TargetHealth, kind: SampleKind) -> Option<SampleKind> {
    match (health.state(), kind) {
        (HealthState::Draining, _) => None,
        (HealthState::Warming, SampleKind::Overdue) if health.ejection().is_none() => None,
        (HealthState::Warming, SampleKind::Good) if health.ejection().is_none() => {
            Some(SampleKind::Late)
        }
        _ => Some(kind),
    }
}
