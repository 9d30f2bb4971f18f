//! Sends evidence to the outlier detectors, and relays verdicts and draining reports to other
//! boxes.

use std::sync::Arc;

use wingbridge_decide::TimePoint;
use wingbridge_spread::BoxIdentity;
use wingbridge_spread::members::MAX_POOLING_FLEET;
use wingbridge_wire::convert::{batches_of, service_evidence};
use wingbridge_wire::{Evidence, FrameBody, TargetDraining, VerdictMessage, Verdicts};

use super::{Exchange, UpdateId};

impl Exchange {
    /// Adds this box's evidence to the detectors of each service, here or in other boxes.
    pub(super) fn route_evidence(&mut self, now: TimePoint, evidence: &Evidence) {
        let (_, batches) = batches_of(evidence);
        let identity = self.parts.identity.clone();
        for batch in batches {
            for detector in self.reachable_detectors(&batch.service) {
                if detector == identity.box_id {
                    self.detector.add_batch(now, &source_of(&identity), &batch);
                } else {
                    self.outgoing.add(now, detector, &batch);
                }
            }
        }
    }

    /// Returns the boxes whose detectors receive evidence about `service`. In a small fleet these
    /// are all detectors. In a large one only the first that is up is used, since a second one
    /// would cost as many bytes again. If no other detector is reachable, the box runs the detector
    /// itself.
    pub(super) fn reachable_detectors(&self, service: &str) -> Vec<Arc<str>> {
        let identity = &self.parts.identity;
        let members = self.parts.core.members();
        let mut detectors = members.detectors(service, &identity.data_centre);
        detectors.retain(|detector| !self.parts.links.is_down(detector));
        if members.len() > MAX_POOLING_FLEET {
            detectors.truncate(1);
        }
        if detectors.is_empty() {
            detectors.push(identity.box_id.clone());
        }
        detectors
    }

    pub(super) fn send_evidence(&mut self, now: TimePoint) {
        let identity = self.parts.identity.clone();
        let boxes = self.parts.core.members().len();
        for (detector, batches) in self.outgoing.take_due(now, boxes) {
            let evidence = Evidence {
                box_id: identity.box_id.to_string(),
                data_centre: identity.data_centre.to_string(),
                services: batches.iter().map(service_evidence).collect(),
            };
            self.send(&detector, FrameBody::Evidence(evidence));
        }
    }

    pub(super) fn merge_evidence(&mut self, now: TimePoint, evidence: &Evidence) {
        let (source, batches) = batches_of(evidence);
        for batch in batches {
            self.detector.add_batch(now, &source, &batch);
        }
    }

    /// Relays a verdict, if it is new, to the proxy and to the neighbours in this data centre. It is
    /// not sent to other data centres, since it was reached for this one.
    pub(super) fn relay_verdict(
        &mut self,
        now: TimePoint,
        from: Option<&Arc<str>>,
        verdict: VerdictMessage,
    ) {
        let update = UpdateId::Verdict {
            service: verdict.service.clone(),
            target: verdict.target,
            stamp: verdict.stamp,
            convicted: verdict.convicted,
        };
        if !self.received_updates.insert(update) {
            return;
        }
        let body = FrameBody::Verdicts(Verdicts { verdicts: vec![verdict] });
        self.send_to_proxy(body.clone());
        self.recent_updates.push((now, body.clone()));
        let local = self.parts.identity.data_centre.clone();
        for peer in self.parts.core.neighbours(now.as_micros()) {
            let member = self.parts.core.members().get(&peer);
            if Some(&peer) != from && member.is_some_and(|member| *member.data_centre == *local) {
                self.send(&peer, body.clone());
            }
        }
    }

    /// Relays a draining report, if it is new, to all neighbours, since it holds in every data
    /// centre.
    pub(super) fn relay_draining(
        &mut self,
        now: TimePoint,
        from: Option<&Arc<str>>,
        draining: TargetDraining,
    ) {
        let update =
            UpdateId::Draining { origin: draining.origin.clone(), number: draining.number };
        if !self.received_updates.insert(update) {
            return;
        }
        let body = FrameBody::Draining(draining);
        if from.is_some() {
            self.send_to_proxy(body.clone());
        }
        self.recent_updates.push((now, body.clone()));
        for peer in self.parts.core.neighbours(now.as_micros()) {
            if Some(&peer) != from {
                self.send(&peer, body.clone());
            }
        }
    }
}

fn source_of(identity: &BoxIdentity) -> wingbridge_decide::EvidenceSource {
    wingbridge_decide::EvidenceSource {
        box_id: identity.box_id.clone(),
        data_centre: identity.data_centre.clone(),
    }
}
