//! Measures the time and memory of the decision core and of the outlier detector at several sizes, and
//! the size of evidence messages.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use prost::Message;
use serde::Serialize;
use wingbridge_decide::sketch::LatencyBucket;
use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxCore, BoxEvent, EvidenceBatch, EvidenceSource, HealthChart,
    LimitSetup, Name, OutlierDetector, RequestId, RequestPlan, SampleKind, ServiceSetup, TargetKey,
    TargetReport, TargetSamples, TargetSetup, TimePoint,
};
use wingbridge_wire::convert::service_evidence;
use wingbridge_wire::{Evidence, Frame, FrameBody};

use crate::memory::resident_bytes;

/// Bytes of the length prefix and the packet headers of one message.
const MESSAGE_OVERHEAD_BYTES: usize = 4 + 66;
/// Requests that are timed at each size.
const REQUESTS: u64 = 200_000;

/// Time and memory at one size.
#[derive(Debug, Clone, Serialize)]
pub struct CostRow {
    /// Targets over all services.
    pub targets: usize,
    /// Number of services.
    pub services: usize,
    /// Nanoseconds from the arrival of a request to the command that sends it.
    pub ns_per_pick: f64,
    /// Nanoseconds for the end of an attempt, with its evidence and the conclusion of the request.
    pub ns_per_event: f64,
    /// Nanoseconds for a timer tick on which no work is due.
    pub ns_per_idle_tick: f64,
    /// Memory of a box's core per target, in bytes.
    pub box_bytes_per_target: f64,
    /// Nanoseconds that a detector spends per sample, including the evaluation of its evidence.
    #[serde(rename = "judge_ns_per_sample")]
    pub detector_ns_per_sample: f64,
    /// Memory of a detector per target, in bytes.
    #[serde(rename = "judge_bytes_per_target")]
    pub detector_bytes_per_target: f64,
}

/// Measures the time and memory at each size.
pub fn measure_cost() -> Vec<CostRow> {
    // Targets and services.
    [(15, 1), (1000, 58), (5000, 290), (15_000, 870)].map(|(t, s)| measure_size(t, s)).to_vec()
}

/// The size of evidence on the wire, by the number of samples in a message.
#[derive(Debug, Clone, Serialize)]
pub struct EvidenceRow {
    /// Samples in one message, each of a different service.
    pub samples: usize,
    /// Bytes per sample, including packet headers.
    pub bytes_per_sample: f64,
}

/// Measures the size of encoded evidence messages.
pub fn measure_evidence() -> Vec<EvidenceRow> {
    [1, 5, 10, 50].map(evidence_row).to_vec()
}

fn evidence_row(samples: usize) -> EvidenceRow {
    let batch = |number: usize| EvidenceBatch {
        service: format!("service-{number}").into(),
        targets: vec![one_sample(TargetKey::of(&format!("10.0.0.{number}:80")))],
    };
    let evidence = Evidence {
        box_id: "box-1234".into(),
        data_centre: "zilina-1".into(),
        services: (0..samples).map(|number| service_evidence(&batch(number))).collect(),
    };
    let frame = Frame { clock: u64::MAX, body: Some(FrameBody::Evidence(evidence)) };
    let bytes = frame.encoded_len() + MESSAGE_OVERHEAD_BYTES;
    EvidenceRow { samples, bytes_per_sample: bytes as f64 / samples as f64 }
}

fn measure_size(targets: usize, services: usize) -> CostRow {
    let setups: Vec<ServiceSetup> =
        (0..services).map(|number| service_setup(number, targets / services)).collect();
    let before = resident_bytes();
    let mut core = box_core(&setups);
    let box_bytes = resident_bytes().saturating_sub(before);
    let (pick, event) = time_requests(&mut core, &setups);
    let idle = time_idle(&mut core);
    let before = resident_bytes();
    let mut detector = OutlierDetector::pooled("dc-0");
    for setup in &setups {
        detector.configure(setup);
    }
    let detector_ns = time_detector(&mut detector, &setups);
    let detector_bytes = resident_bytes().saturating_sub(before);
    CostRow {
        targets,
        services,
        ns_per_pick: pick,
        ns_per_event: event,
        ns_per_idle_tick: idle,
        box_bytes_per_target: box_bytes as f64 / targets as f64,
        detector_ns_per_sample: detector_ns,
        detector_bytes_per_target: detector_bytes as f64 / targets as f64,
    }
}

fn service_setup(number: usize, targets: usize) -> ServiceSetup {
    let target = |index: usize| TargetSetup {
        address: format!("10.{}.{}.{index}:80", number / 250, number % 250).into(),
        slots: 3,
    };
    ServiceSetup {
        name: format!("service-{number}").into(),
        targets: (0..targets).map(target).collect(),
        floor: 0.6,
        false_alarm_days: 10_000.0,
        limits: LimitSetup::default(),
    }
}

fn box_core(setups: &[ServiceSetup]) -> BoxCore {
    let source = EvidenceSource { box_id: "box-0".into(), data_centre: "dc-0".into() };
    let chart = HealthChart::load().expect("the bundled health chart is valid");
    let mut core = BoxCore::new(source, chart, 1);
    for setup in setups {
        let event = BoxEvent::ServiceConfigured(setup.clone());
        core.handle(TimePoint::default(), event, &mut Vec::new());
    }
    core
}

/// Returns the nanoseconds per arrival of a request and per end of an attempt.
fn time_requests(core: &mut BoxCore, setups: &[ServiceSetup]) -> (f64, f64) {
    let names: Vec<Name> = setups.iter().map(|setup| setup.name.clone()).collect();
    let mut commands = Vec::new();
    let mut arrival_time = Duration::ZERO;
    let mut end_time = Duration::ZERO;
    let mut now = TimePoint::default();
    for number in 0..REQUESTS {
        now = now + Duration::from_micros(500);
        let plan = RequestPlan {
            service: names[number as usize % names.len()].clone(),
            deadline: now + Duration::from_secs(2),
            repeatable: true,
            attempts: 3,
            caller: number % 1000,
            caller_limit: 0,
            priority: 0,
        };
        let request = RequestId(number);
        let started = Instant::now();
        core.handle(now, BoxEvent::RequestArrived { request, plan }, &mut commands);
        arrival_time += started.elapsed();
        let ended = now + Duration::from_millis(20);
        let outcome = AttemptOutcome::Answered(TargetReport::default());
        let started = Instant::now();
        let event = BoxEvent::AttemptEnded { request, attempt: 1, outcome };
        core.handle(ended, event, &mut commands);
        end_time += started.elapsed();
        commands.clear();
        if number % 100 == 0 {
            core.handle(now, BoxEvent::TimerFired, &mut commands);
            commands.clear();
        }
    }
    let per_request = |span: Duration| span.as_nanos() as f64 / REQUESTS as f64;
    (per_request(arrival_time), per_request(end_time))
}

fn time_idle(core: &mut BoxCore) -> f64 {
    const TICKS: u32 = 2000;
    let mut commands: Vec<BoxCommand> = Vec::new();
    let mut now = TimePoint::from_micros(1 << 40);
    // The first tick sends what the timed requests left to report, and is not timed.
    core.handle(now, BoxEvent::TimerFired, &mut commands);
    let started = Instant::now();
    for _ in 0..TICKS {
        now = now + Duration::from_millis(50);
        core.handle(now, BoxEvent::TimerFired, &mut commands);
    }
    started.elapsed().as_nanos() as f64 / f64::from(TICKS)
}

/// Returns the nanoseconds per sample. The samples arrive from 20 boxes, in batches of five targets of a
/// service.
fn time_detector(detector: &mut OutlierDetector, setups: &[ServiceSetup]) -> f64 {
    const WINDOWS: u64 = 400;
    const BATCHES: usize = 100;
    let keys: HashMap<Name, Vec<TargetKey>> = setups
        .iter()
        .map(|setup| (setup.name.clone(), setup.targets.iter().map(TargetSetup::key).collect()))
        .collect();
    let mut samples = 0u64;
    let started = Instant::now();
    for window in 0..WINDOWS {
        let now = TimePoint::from_micros(window * 50_000);
        for number in 0..BATCHES {
            let setup = &setups[(number * 7 + window as usize) % setups.len()];
            let targets = keys[&setup.name].iter().skip(number % 3).take(5);
            let batch = EvidenceBatch {
                service: setup.name.clone(),
                targets: targets.map(|target| one_sample(*target)).collect(),
            };
            samples += batch.targets.len() as u64;
            let source = EvidenceSource {
                box_id: format!("box-{}", number % 20).into(),
                data_centre: "dc-0".into(),
            };
            detector.add_batch(now, &source, &batch);
        }
        let verdicts = detector.tick(now);
        assert!(verdicts.is_empty(), "good samples led to a verdict");
    }
    started.elapsed().as_nanos() as f64 / samples as f64
}

fn one_sample(target: TargetKey) -> TargetSamples {
    let mut samples = TargetSamples::new(target);
    samples.add(SampleKind::Good, LatencyBucket::of(Duration::from_millis(20)));
    samples
}
