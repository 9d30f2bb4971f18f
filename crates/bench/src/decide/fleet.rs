//! A fleet of real cores: boxes, an outlier detector in each data centre, and the messages between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use prost::Message;
use wingbridge_decide::{
    BoxCommand, BoxCore, BoxEvent, EvidenceBatch, EvidenceSource, HealthChart, OutlierDetector,
    ServiceSetup, TimePoint,
};
use wingbridge_wire::convert::{batches_of, service_evidence, verdict_message, verdict_of};
use wingbridge_wire::{Evidence, VerdictMessage};

use crate::decide::site::SiteSetup;

/// Interval in which an agent forwards the evidence of its box and runs its detector.
const AGENT_INTERVAL: Duration = Duration::from_millis(50);
/// Latency between two agents, including the time in both processes.
const HOP_LATENCY: Duration = Duration::from_millis(2);
/// Number of hops of a verdict through a data centre.
const VERDICT_HOPS: u32 = 2;

/// The decisions of a fleet of boxes, by the core or by a baseline.
pub trait FleetDecider {
    /// Handles an event of one box and appends the resulting commands to `out`.
    fn handle(&mut self, now: TimePoint, number: usize, event: BoxEvent, out: &mut Vec<BoxCommand>);

    /// Delivers the messages between boxes that are due, and appends the resulting commands with the
    /// numbers of their boxes to `out`.
    fn deliver(&mut self, now: TimePoint, out: &mut Vec<(usize, BoxCommand)>);

    /// Returns the smallest number of slots in service over the boxes with enforced ejections, and the
    /// floor. A smaller number than the floor is a breach. Returns `None` if no box enforces an ejection.
    fn min_in_service(&self) -> Option<(u32, u32)>;
}

/// A fleet that runs the real cores.
pub struct CoreFleet {
    boxes: Vec<BoxCore>,
    detectors: Vec<OutlierDetector>,
    sources: Vec<EvidenceSource>,
    centres: Vec<usize>,
    in_flight: BinaryHeap<Reverse<QueuedMessage>>,
    sent: u64,
    setup: ServiceSetup,
    detectors_run_at: TimePoint,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedMessage {
    due: TimePoint,
    number: u64,
    to: Recipient,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Recipient {
    Detector(usize),
    Box(usize),
}

impl CoreFleet {
    /// Creates the boxes and detectors of `site`. Their random choices are seeded from `seed`.
    pub fn new(site: &SiteSetup, seed: u64) -> CoreFleet {
        let chart = HealthChart::load().expect("the bundled health chart is valid");
        let setup = site.service();
        let mut fleet = CoreFleet {
            boxes: Vec::new(),
            detectors: Vec::new(),
            sources: Vec::new(),
            centres: Vec::new(),
            in_flight: BinaryHeap::new(),
            sent: 0,
            setup: setup.clone(),
            detectors_run_at: TimePoint::default(),
        };
        for number in 0..site.boxes {
            let centre = site.centre_of(number);
            let source = EvidenceSource {
                box_id: format!("box-{number}").into(),
                data_centre: format!("dc-{centre}").into(),
            };
            let mut core = BoxCore::new(source.clone(), chart.clone(), seed + number as u64);
            let event = BoxEvent::ServiceConfigured(setup.clone());
            core.handle(TimePoint::default(), event, &mut Vec::new());
            fleet.boxes.push(core);
            fleet.sources.push(source);
            fleet.centres.push(centre);
        }
        for centre in 0..site.data_centres {
            let mut detector = OutlierDetector::pooled(&format!("dc-{centre}"));
            detector.configure(&setup);
            fleet.detectors.push(detector);
        }
        fleet
    }

    fn enqueue(&mut self, due: TimePoint, to: Recipient, bytes: Vec<u8>) {
        self.sent += 1;
        self.in_flight.push(Reverse(QueuedMessage { due, number: self.sent, to, bytes }));
    }

    fn send_evidence(&mut self, now: TimePoint, number: usize, batch: &EvidenceBatch) {
        let source = &self.sources[number];
        let evidence = Evidence {
            box_id: source.box_id.to_string(),
            data_centre: source.data_centre.to_string(),
            services: vec![service_evidence(batch)],
        };
        let bytes = evidence.encode_to_vec();
        // On average half of the agent's interval passes before it forwards the evidence.
        let due = now + AGENT_INTERVAL / 2 + HOP_LATENCY;
        for detector in 0..self.detectors.len() {
            self.enqueue(due, Recipient::Detector(detector), bytes.clone());
        }
    }

    fn run_detectors(&mut self, now: TimePoint) {
        for centre in 0..self.detectors.len() {
            for verdict in self.detectors[centre].tick(now) {
                let bytes = verdict_message(&verdict).encode_to_vec();
                for number in 0..self.boxes.len() {
                    if self.centres[number] == centre {
                        let due = now + HOP_LATENCY * VERDICT_HOPS;
                        self.enqueue(due, Recipient::Box(number), bytes.clone());
                    }
                }
            }
        }
    }
}

impl FleetDecider for CoreFleet {
    fn handle(
        &mut self,
        now: TimePoint,
        number: usize,
        event: BoxEvent,
        out: &mut Vec<BoxCommand>,
    ) {
        let first = out.len();
        self.boxes[number].handle(now, event, out);
        let mut index = first;
        while index < out.len() {
            if matches!(out[index], BoxCommand::Report(_)) {
                if let BoxCommand::Report(batch) = out.swap_remove(index) {
                    self.send_evidence(now, number, &batch);
                }
            } else {
                index += 1;
            }
        }
    }

    fn deliver(&mut self, now: TimePoint, out: &mut Vec<(usize, BoxCommand)>) {
        let mut commands = Vec::new();
        while self.in_flight.peek().is_some_and(|Reverse(queued)| queued.due <= now) {
            let Some(Reverse(queued)) = self.in_flight.pop() else { break };
            match queued.to {
                Recipient::Detector(detector) => {
                    let evidence =
                        Evidence::decode(&*queued.bytes).expect("a message that was encoded here");
                    let (source, batches) = batches_of(&evidence);
                    for batch in batches {
                        self.detectors[detector].add_batch(now, &source, &batch);
                    }
                }
                Recipient::Box(number) => {
                    let message = VerdictMessage::decode(&*queued.bytes)
                        .expect("a message that was encoded here");
                    let event = BoxEvent::VerdictReceived(verdict_of(&message));
                    self.boxes[number].handle(now, event, &mut commands);
                    out.extend(commands.drain(..).map(|command| (number, command)));
                }
            }
        }
        if now.since(self.detectors_run_at) >= AGENT_INTERVAL {
            self.detectors_run_at = now;
            self.run_detectors(now);
        }
    }

    fn min_in_service(&self) -> Option<(u32, u32)> {
        let total = self.setup.total_slots();
        let floor = wingbridge_decide::floor::floor_slots(total, self.setup.floor);
        let services = self.boxes.iter().filter_map(|core| core.service(&self.setup.name));
        let enforcing = services.filter(|service| {
            service
                .targets()
                .iter()
                .any(|target| target.ejection_enforced && target.health.counts_toward_floor())
        });
        enforcing.map(|service| (service.slots_in_service(), floor)).min()
    }
}
