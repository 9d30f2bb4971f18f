//! The real cores as a fleet: boxes, a detector in each data centre, messages between.

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

/// The agent's period, with which evidence leaves a box and is weighed.
const AGENT_TICK: Duration = Duration::from_millis(50);
/// Between two agents, with the way through both processes.
const HOP: Duration = Duration::from_millis(2);
/// Hops that a verdict takes through a data centre.
const VERDICT_HOPS: u32 = 2;

/// What decides for a fleet of boxes.
pub trait FleetDecider {
    /// Takes an event of one box.
    fn handle(&mut self, now: TimePoint, number: usize, event: BoxEvent, out: &mut Vec<BoxCommand>);

    /// Carries messages between boxes whose time has come: commands with their box.
    fn carry(&mut self, now: TimePoint, out: &mut Vec<(usize, BoxCommand)>);

    /// The least slots that any box has in service for as long as ejections limit
    /// others, with the floor: a breach if it is below.
    fn min_in_service(&self) -> Option<(u32, u32)>;
}

/// The real cores.
pub struct CoreFleet {
    boxes: Vec<BoxCore>,
    detectors: Vec<OutlierDetector>,
    sources: Vec<EvidenceSource>,
    centres: Vec<usize>,
    mail: BinaryHeap<Reverse<Letter>>,
    sent: u64,
    setup: ServiceSetup,
    detected_at: TimePoint,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Letter {
    due: TimePoint,
    number: u64,
    to: LetterTarget,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LetterTarget {
    Detector(usize),
    Box(usize),
}

impl CoreFleet {
    /// A fleet for `site`; its random choices are seeded by `seed`.
    pub fn new(site: &SiteSetup, seed: u64) -> CoreFleet {
        let chart = HealthChart::load().expect("the chart that ships is sound");
        let setup = site.service();
        let mut fleet = CoreFleet {
            boxes: Vec::new(),
            detectors: Vec::new(),
            sources: Vec::new(),
            centres: Vec::new(),
            mail: BinaryHeap::new(),
            sent: 0,
            setup: setup.clone(),
            detected_at: TimePoint::default(),
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

    fn post(&mut self, due: TimePoint, to: LetterTarget, bytes: Vec<u8>) {
        self.sent += 1;
        self.mail.push(Reverse(Letter { due, number: self.sent, to, bytes }));
    }

    fn send_evidence(&mut self, now: TimePoint, number: usize, batch: &EvidenceBatch) {
        let source = &self.sources[number];
        let evidence = Evidence {
            box_id: source.box_id.to_string(),
            data_centre: source.data_centre.to_string(),
            services: vec![service_evidence(batch)],
        };
        let bytes = evidence.encode_to_vec();
        // On average half of the agent's period passes before it is sent on.
        let due = now + AGENT_TICK / 2 + HOP;
        for detector in 0..self.detectors.len() {
            self.post(due, LetterTarget::Detector(detector), bytes.clone());
        }
    }

    fn run_detectors(&mut self, now: TimePoint) {
        for centre in 0..self.detectors.len() {
            for verdict in self.detectors[centre].tick(now) {
                let bytes = verdict_message(&verdict).encode_to_vec();
                for number in 0..self.boxes.len() {
                    if self.centres[number] == centre {
                        let due = now + HOP * VERDICT_HOPS;
                        self.post(due, LetterTarget::Box(number), bytes.clone());
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

    fn carry(&mut self, now: TimePoint, out: &mut Vec<(usize, BoxCommand)>) {
        let mut commands = Vec::new();
        while self.mail.peek().is_some_and(|Reverse(letter)| letter.due <= now) {
            let Some(Reverse(letter)) = self.mail.pop() else { break };
            match letter.to {
                LetterTarget::Detector(detector) => {
                    let evidence = Evidence::decode(&*letter.bytes).expect("our own encoding");
                    let (source, batches) = batches_of(&evidence);
                    for batch in batches {
                        self.detectors[detector].add_batch(now, &source, &batch);
                    }
                }
                LetterTarget::Box(number) => {
                    let message = VerdictMessage::decode(&*letter.bytes).expect("our own encoding");
                    let event = BoxEvent::VerdictReceived(verdict_of(&message));
                    self.boxes[number].handle(now, event, &mut commands);
                    out.extend(commands.drain(..).map(|command| (number, command)));
                }
            }
        }
        if now.since(self.detected_at) >= AGENT_TICK {
            self.detected_at = now;
            self.run_detectors(now);
        }
    }

    fn min_in_service(&self) -> Option<(u32, u32)> {
        let total = self.setup.total_slots();
        let floor = wingbridge_decide::floor::floor_slots(total, self.setup.floor);
        let services = self.boxes.iter().filter_map(|core| core.service(&self.setup.name));
        let limiting = services.filter(|service| {
            service
                .targets()
                .iter()
                .any(|target| target.ejection_enforced && target.health.counts_toward_floor())
        });
        limiting.map(|service| (service.slots_in_service(), floor)).min()
    }
}
