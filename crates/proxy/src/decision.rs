//! The decision thread: feeds events to the core and executes the core's commands.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_std::task;
use wingbridge_decide::core::BoxCore;
use wingbridge_decide::messages::HealthTransition;
use wingbridge_decide::service::{ServiceState, TargetState};
use wingbridge_decide::{
    BoxCommand, BoxEvent, HealthState, Name, OverrideKind, RequestId, TargetKey, TimePoint,
    VerdictScope,
};
use wingbridge_wire::convert::service_evidence;
use wingbridge_wire::{Evidence, FrameBody, ProxyState, TargetDraining};

use crate::attempt::probe_target;
use crate::context::ProxyContext;
use crate::inputs::{DecisionInput, Directive};

/// The state of the decision thread.
pub(crate) struct DecisionLoop {
    context: Arc<ProxyContext>,
    core: BoxCore,
    directives: HashMap<RequestId, Sender<Directive>>,
    agent: Sender<FrameBody>,
    failing: bool,
    reasons: HashMap<(Name, Name), &'static str>,
}

impl DecisionLoop {
    pub(crate) fn new(
        context: Arc<ProxyContext>,
        core: BoxCore,
        agent: Sender<FrameBody>,
    ) -> DecisionLoop {
        let directives = HashMap::new();
        DecisionLoop { context, core, directives, agent, failing: false, reasons: HashMap::new() }
    }

    /// Handles inputs until the queue is closed.
    pub(crate) fn run(mut self, inputs: &Receiver<DecisionInput>) {
        let mut commands = Vec::new();
        while let Ok(input) = inputs.recv_blocking() {
            let now = TimePoint::from_micros(self.context.clock.micros());
            match input {
                DecisionInput::Arrived { request, plan, directives } => {
                    self.directives.insert(request, directives);
                    let event = BoxEvent::RequestArrived { request, plan };
                    self.core.handle(now, event, &mut commands);
                }
                DecisionInput::Event(event) => {
                    if let BoxEvent::RequestCancelled(request) = &event {
                        self.directives.remove(request);
                    }
                    self.core.handle(now, event, &mut commands);
                }
                DecisionInput::StateDue => self.report_state(now),
            }
            for command in commands.drain(..) {
                self.execute(command);
            }
        }
    }

    fn execute(&mut self, command: BoxCommand) {
        match command {
            BoxCommand::Send { request, attempt, target, fresh_connection } => {
                if let Some(directives) = self.directives.get(&request) {
                    // The queue is full or closed if the request's task has ended; its cancellation
                    // is then already queued.
                    let directive = Directive::Send { attempt, target, fresh_connection };
                    let _ = directives.try_send(directive);
                }
            }
            BoxCommand::Conclude { request, conclusion } => {
                if let Some(directives) = self.directives.remove(&request) {
                    let _ = directives.try_send(Directive::Conclude(conclusion));
                }
            }
            BoxCommand::Probe { service, target } => {
                task::spawn(probe_target(Arc::clone(&self.context), service, target));
            }
            BoxCommand::Report(batch) => {
                let settings = &self.context.settings;
                self.send_to_agent(FrameBody::Evidence(Evidence {
                    box_id: settings.box_id.clone(),
                    data_centre: settings.data_centre.clone(),
                    services: vec![service_evidence(&batch)],
                }));
            }
            BoxCommand::AnnounceDraining { service, target: TargetKey(target) } => {
                let service = service.to_string();
                let draining = TargetDraining { service, target, ..TargetDraining::default() };
                self.send_to_agent(FrameBody::Draining(draining));
            }
            BoxCommand::HealthChanged(transition) => self.on_health_changed(transition),
            BoxCommand::SelfSuspected(failing) => {
                self.failing = failing;
                let kind = if failing { "box-fails" } else { "box-works-again" };
                self.context.trace.record(kind, &[]);
                log::warn!(failing; "box-suspects-itself");
            }
        }
    }

    /// Sends a message to the agent. Without an agent, or with an overloaded one, the message is
    /// lost, and the box continues with its own evidence.
    fn send_to_agent(&self, body: FrameBody) {
        if self.agent.try_send(body).is_err() {
            metrics::counter!("wingbridge_reports_dropped").increment(1);
        }
    }

    fn on_health_changed(&mut self, transition: HealthTransition) {
        let HealthTransition { service, target, from, to, reason } = transition;
        let kind = match to {
            HealthState::Healthy => "target-healthy",
            HealthState::Ejected => "target-ejected",
            HealthState::Trial => "target-on-trial",
            HealthState::Warming => "target-warming",
            HealthState::Draining => "target-leaving",
        };
        let fields = [
            ("service", &*service),
            ("target", &*target),
            ("from", from.as_str()),
            ("why", reason),
        ];
        self.context.trace.record(kind, &fields);
        log::info!(service:% = service, target:% = target, from = from.as_str(), why = reason; "{kind}");
        let labels = [("service", service.to_string()), ("to", to.as_str().to_string())];
        metrics::counter!("wingbridge_target_changes", &labels).increment(1);
        if matches!(to, HealthState::Ejected | HealthState::Draining) {
            self.reasons.insert((service, target), reason);
        }
    }

    fn report_state(&self, now: TimePoint) {
        let services = self.core.services();
        let targets = services.flat_map(|service| {
            let notable = service.targets().iter().filter(|target| is_notable(target));
            notable.map(|target| self.target_view(now, service, target))
        });
        self.send_to_agent(FrameBody::ProxyState(ProxyState {
            targets: targets.collect(),
            requests_held: self.core.requests_held() as u64,
            ready: self.context.ready.is_ready(),
            failing: self.failing,
        }));
    }

    fn target_view(
        &self,
        now: TimePoint,
        service: &ServiceState,
        target: &TargetState,
    ) -> wingbridge_wire::TargetState {
        let name = service.setup().name.clone();
        let address = target.setup.address.clone();
        let reason =
            self.reasons.get(&(name.clone(), address.clone())).copied().unwrap_or_default();
        let scope =
            match (target.manual_override, target.health.ejection().map(|ejection| ejection.scope))
            {
                (Some(_), _) => "by hand",
                (None, Some(VerdictScope::Path)) => "path",
                (None, Some(VerdictScope::DataCentre)) => "data centre",
                (None, Some(VerdictScope::Target)) => "target",
                (None, None) => "",
            };
        let should_eject = target.health.ejection().is_some()
            || target.manual_override == Some(OverrideKind::Eject);
        wingbridge_wire::TargetState {
            service: name.to_string(),
            target: address.to_string(),
            state: target.health.state().as_str().to_string(),
            for_ms: now.since(target.health.since()).as_millis() as u64,
            reason: reason.to_string(),
            scope: scope.to_string(),
            excluded: target.is_excluded() && !service.below_floor(),
            kept_by_floor: should_eject && (!target.ejection_enforced || service.below_floor()),
        }
    }
}

fn is_notable(target: &TargetState) -> bool {
    target.health.state() != HealthState::Healthy || target.manual_override.is_some()
}
