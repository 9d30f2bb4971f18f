//! Turns the outcomes of attempts into evidence about targets, and sends it in batches.

use crate::core::health::change_health;
use crate::core::{BoxCore, MAX_BATCH_AGE, locate};
use crate::evidence::{EvidenceBatch, SampleKind, TargetSamples};
use crate::floor::EjectionRank;
use crate::health::{Ejection, HealthState, TargetHealth};
use crate::messages::{AttemptOutcome, BoxCommand, ReportedState, TargetReport, VerdictScope};
use crate::names::{Name, TargetKey};
use crate::requests::OpenAttempt;
use crate::service::is_draining;
use crate::sketch::LatencyBucket;
use crate::time::TimePoint;

/// Evidence about one service that has not been sent.
#[derive(Debug, Default)]
pub(super) struct PendingBatch {
    targets: Vec<TargetSamples>,
    /// Time of the first sample.
    started: TimePoint,
    /// Whether the batch contains a bad outcome, so that it is sent at the end of the current window.
    urgent: bool,
}

impl BoxCore {
    /// Records what a target reported about itself with an answer: its load, its state and its incarnation.
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
            service.update_eligible();
        } else if report.state == ReportedState::Cold {
            change_health(service, index, "it says it is cold", commands, |health| {
                health.mark_cold(chart, now)
            });
            service.update_eligible();
        }
        if is_draining(report) {
            self.mark_draining(now, name, key, true, commands);
        }
    }

    /// Adds the evidence that follows from the outcome of an attempt. A target that sheds load or drains is not
    /// failing, so its refusals are no evidence.
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

    /// Adds a sample to the batch of the service and to the self-check of the box and, if the target is on trial, to
    /// the results of the trial.
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

    /// Sends the batches that are due, and adds them to the local detector.
    pub(super) fn send_reports(&mut self, now: TimePoint, commands: &mut Vec<BoxCommand>) {
        let is_due =
            |batch: &PendingBatch| batch.urgent || now.since(batch.started) >= MAX_BATCH_AGE;
        let due = self.batches.iter().filter(|(_, batch)| is_due(batch));
        let due: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        for service in due {
            if let Some(batch) = self.batches.remove(&service) {
                let batch = EvidenceBatch { service, targets: batch.targets };
                self.local_detector.add_batch(now, &self.source, &batch);
                commands.push(BoxCommand::Report(batch));
            }
        }
    }
}

impl PendingBatch {
    /// Adds one sample. `load` is the target's recently reported load, 0 if there is none.
    fn add(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        kind: SampleKind,
        bucket: LatencyBucket,
        load: f32,
    ) {
        if self.targets.is_empty() {
            self.started = now;
        }
        self.urgent |= kind.is_bad();
        let known = self.targets.iter().position(|samples| samples.target == target);
        let index = known.unwrap_or_else(|| {
            self.targets.push(TargetSamples::new(target));
            self.targets.len() - 1
        });
        let samples = &mut self.targets[index];
        samples.load = samples.load.max(load);
        samples.add(kind, bucket);
    }
}

/// Returns the kind of evidence that an outcome gives about a target, if any. Draining is not a failure, and neither
/// is a slow answer after a cold start. An answer of a warming target therefore only shows that the target answers.
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
