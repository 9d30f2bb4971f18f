//! Decides which targets are in service, by verdicts, manual overrides, draining targets and the timed transitions of
//! the health chart.

use crate::core::{BoxCore, PROBE_INTERVAL, locate};
use crate::floor::EjectionRank;
use crate::health::{Ejection, HealthState, TargetHealth};
use crate::messages::{
    BoxCommand, HealthTransition, ReportedState, Verdict, VerdictKind, VerdictScope,
};
use crate::names::TargetKey;
use crate::service::ServiceState;
use crate::setup::{ManualOverride, OverrideKind};
use crate::time::TimePoint;

impl BoxCore {
    /// Replaces the manual overrides of a service.
    pub(super) fn set_overrides(
        &mut self,
        now: TimePoint,
        service: &str,
        overrides: &[ManualOverride],
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let chart = &self.chart;
        for index in service.set_overrides(overrides) {
            let changed = |health: &mut TargetHealth| health.restore(chart, now);
            change_health(service, index, "restored by hand", commands, changed);
        }
        for index in 0..service.targets().len() {
            if service.target(index).manual_override == Some(OverrideKind::Drain) {
                let changed = |health: &mut TargetHealth| health.drain(chart, now);
                change_health(service, index, "drained by hand", commands, changed);
            }
        }
        service.update_eligible();
    }

    /// Marks a target as draining. If the target itself reported this (`reported_by_target`), the other boxes are
    /// notified.
    pub(super) fn mark_draining(
        &mut self,
        now: TimePoint,
        name: &str,
        key: TargetKey,
        reported_by_target: bool,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some((service, index)) = locate(&mut self.services, name, key) else {
            return;
        };
        let chart = &self.chart;
        let reason =
            if reported_by_target { "it says it is leaving" } else { "a peer saw it leaving" };
        let is_drained =
            change_health(service, index, reason, commands, |health| health.drain(chart, now));
        if !is_drained {
            return;
        }
        service.target_mut(index).probed_at = now;
        service.update_eligible();
        if reported_by_target {
            commands.push(BoxCommand::AnnounceDraining { service: name.into(), target: key });
        }
    }

    /// Handles the result of a probe of a draining target. `state` is `None` if the probe was not answered.
    pub(super) fn finish_probe(
        &mut self,
        now: TimePoint,
        name: &str,
        key: TargetKey,
        state: Option<ReportedState>,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some((service, index)) = locate(&mut self.services, name, key) else {
            return;
        };
        let has_returned = matches!(state, Some(ReportedState::Ready | ReportedState::Cold));
        if !has_returned || service.target(index).manual_override == Some(OverrideKind::Drain) {
            return;
        }
        let chart = &self.chart;
        change_health(service, index, "it says it is back", commands, |health| {
            health.restore(chart, now)
        });
        service.update_eligible();
    }

    /// Applies a verdict of a pooled detector.
    pub(super) fn apply_verdict(
        &mut self,
        now: TimePoint,
        verdict: &Verdict,
        commands: &mut Vec<BoxCommand>,
    ) {
        let key = verdict.target;
        let rank = EjectionRank { source: 1, stamp: verdict.stamp, key: key.0 };
        let ejection = Ejection { rank, scope: verdict.scope };
        match verdict.kind {
            VerdictKind::Convicted => {
                let reason = verdict.cause.as_str();
                self.convict(now, &verdict.service, key, ejection, verdict.flaps, reason, commands);
            }
            VerdictKind::Acquitted => self.acquit(now, &verdict.service, key, commands),
        }
    }

    /// Ejects a target. `flaps` is the detector's count of recent ejections, 0 without a detector.
    #[expect(clippy::too_many_arguments, reason = "one private step, called from three places")]
    pub(super) fn convict(
        &mut self,
        now: TimePoint,
        name: &str,
        key: TargetKey,
        ejection: Ejection,
        flaps: u32,
        reason: &'static str,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some((service, index)) = locate(&mut self.services, name, key) else {
            return;
        };
        let chart = &self.chart;
        let limits = service.setup().limits.clone();
        change_health(service, index, reason, commands, |health| {
            health.convict(chart, now, ejection, flaps, &limits)
        });
        service.update_eligible();
    }

    /// Starts to warm up an ejected target after an acquittal by a pooled detector.
    pub(super) fn acquit(
        &mut self,
        now: TimePoint,
        name: &str,
        key: TargetKey,
        commands: &mut Vec<BoxCommand>,
    ) {
        let Some((service, index)) = locate(&mut self.services, name, key) else {
            return;
        };
        let scope = service.target(index).health.ejection().map(|ejection| ejection.scope);
        if scope == Some(VerdictScope::Path) {
            // Other boxes reach the target. Only the trial of this box shows whether its own path works again.
            return;
        }
        let chart = &self.chart;
        change_health(service, index, "a judge saw its trial go well", commands, |health| {
            health.acquit(chart, now)
        });
        service.update_eligible();
    }

    /// Applies the transitions that depend on time, and probes draining targets.
    pub(super) fn advance_health(&mut self, now: TimePoint, commands: &mut Vec<BoxCommand>) {
        let chart = &self.chart;
        for service in self.services.values_mut() {
            let mut changed = false;
            for index in 0..service.targets().len() {
                let health = &service.target(index).health;
                match health.state() {
                    HealthState::Healthy => continue,
                    HealthState::Draining => probe_draining(service, index, now, commands),
                    _ => {
                        let limits = service.setup().limits.clone();
                        changed |=
                            change_health(service, index, "time passed", commands, |health| {
                                health.tick(chart, now, &limits)
                            });
                    }
                }
            }
            if changed {
                service.update_eligible();
            }
        }
    }

    /// Applies the convictions of the local detector, which concern the path from this box only.
    pub(super) fn run_local_detector(&mut self, now: TimePoint, commands: &mut Vec<BoxCommand>) {
        for verdict in self.local_detector.tick(now) {
            if verdict.kind == VerdictKind::Acquitted {
                continue;
            }
            let key = verdict.target;
            let rank = EjectionRank { source: 2, stamp: verdict.stamp, key: key.0 };
            let ejection = Ejection { rank, scope: VerdictScope::Path };
            let reason = "it fails from here";
            self.convict(now, &verdict.service, key, ejection, verdict.flaps, reason, commands);
        }
    }
}

/// Applies `change` to a target's health and, if the state changed, adds a [`BoxCommand::HealthChanged`]. Returns
/// whether `change` returned true and the state changed.
pub(super) fn change_health(
    service: &mut ServiceState,
    index: usize,
    reason: &'static str,
    commands: &mut Vec<BoxCommand>,
    change: impl FnOnce(&mut TargetHealth) -> bool,
) -> bool {
    let name = service.setup().name.clone();
    let target = service.target_mut(index);
    let from = target.health.state();
    let changed = change(&mut target.health);
    let to = target.health.state();
    if from != to {
        let target = target.setup.address.clone();
        commands.push(BoxCommand::HealthChanged(HealthTransition {
            service: name,
            target,
            from,
            to,
            reason,
        }));
    }
    changed && from != to
}

/// Probes a draining target if a probe is due. A target that is drained by a manual override is not probed, since it
/// stays drained until the override is removed.
fn probe_draining(
    service: &mut ServiceState,
    index: usize,
    now: TimePoint,
    commands: &mut Vec<BoxCommand>,
) {
    let name = service.setup().name.clone();
    let target = service.target_mut(index);
    let drained = target.manual_override == Some(OverrideKind::Drain);
    if drained || now.since(target.probed_at) < PROBE_INTERVAL {
        return;
    }
    target.probed_at = now;
    commands.push(BoxCommand::Probe { service: name, target: target.setup.address.clone() });
}
