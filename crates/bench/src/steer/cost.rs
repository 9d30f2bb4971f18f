//! What one choice costs: time, by the number of targets of the service.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{HomeRegions, PeerSample, SteerCore, SteerRequest, SteerSetup};
use wingbridge_decide::{TargetKey, TimePoint};
use wingctl::output::table;

/// Targets of the service in each row: the users' smallest and largest, and ones between.
const TARGETS: [usize; 4] = [16, 119, 431, 1500];
/// Choices that are timed in each row.
const PICKS: u64 = 20_000;
/// Between two of them, in which a peer tells of one more target: all 1,500 are told of within
/// the time that beliefs last.
const PAUSE: Duration = Duration::from_millis(1);
const SERVICE: &str = "orders";
const DATA_CENTRES: usize = 5;

/// The cost of choices among so many targets.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PickCost {
    /// Targets of the service.
    pub targets: usize,
    /// Nanoseconds of a choice at the median.
    pub median_ns: u64,
    /// The same at the 99th percentile.
    pub high_ns: u64,
}

/// Times choices among few and many targets that peers tell of.
pub fn measure_picks() -> Vec<PickCost> {
    TARGETS.map(measure).to_vec()
}

/// A table for people.
pub fn pick_table(rows: &[PickCost]) -> String {
    let cells =
        |row: &PickCost| [row.targets as u64, row.median_ns, row.high_ns].map(|n| n.to_string());
    let rows: Vec<Vec<String>> = rows.iter().map(|row| cells(row).to_vec()).collect();
    table(&["targets", "ns, median", "ns, 99 in 100"], &rows)
}

fn measure(targets: usize) -> PickCost {
    let mut core = core_of(targets);
    /// No choice takes a second.
    const LONGEST_NS: u64 = 1_000_000_000;
    let times = Histogram::<u64>::new_with_bounds(1, LONGEST_NS, 3);
    let mut times = times.expect("the bounds and three digits are allowed");
    let mut now = TimePoint::default();
    for number in 0..PICKS {
        now = now + PAUSE;
        tell(&mut core, now, number as usize % targets);
        core.record_request(now, SERVICE);
        let asked = request();
        let before = Instant::now();
        let pick = std::hint::black_box(core.pick(now, &asked));
        let taken = u64::try_from(before.elapsed().as_nanos()).unwrap_or(u64::MAX);
        assert!(pick.is_ok(), "there are targets with room");
        times.saturating_record(taken.max(1));
    }
    let at = |share: f64| times.value_at_quantile(share);
    PickCost { targets, median_ns: at(0.5), high_ns: at(0.99) }
}

fn core_of(targets: usize) -> SteerCore {
    let mut core = SteerCore::new(SteerSetup {
        data_centre: "c0".into(),
        cross_cost: 0.01,
        retries: RetryBounds { share: 0.2, slack: 100.0, window: Duration::from_secs(10) },
        seed: 1,
        mechanisms: MechanismSet::default(),
    });
    let target = |number: usize| SteerTarget {
        id: id(number).into(),
        started_ms: 0,
        address: format!("10.0.{}.{}:1", number / 250, number % 250).into(),
        service: SERVICE.into(),
        data_centre: format!("c{}", number % DATA_CENTRES).into(),
        slots: 3,
        cold_until: TimePoint::default(),
        region: "region".into(),
        evacuated: false,
        cold_rate: None,
    };
    core.set_targets(TimePoint::default(), (0..targets).map(target).collect());
    core.set_boxes(90, 443);
    core
}

fn tell(core: &mut SteerCore, now: TimePoint, number: usize) {
    let sample = PeerSample {
        good: 1,
        latency_ratio: Some(1.0),
        held: Some(1),
        open: Some(1),
        ..PeerSample::default()
    };
    core.merge_peer_sample(now, number as u64 % 90, TargetKey::of(&id(number)), &sample);
}

fn id(number: usize) -> String {
    format!("t{number}")
}

fn request() -> SteerRequest<'static> {
    SteerRequest {
        service: SERVICE,
        route: "route",
        repeatable: false,
        large: false,
        body_bytes: 1200,
        goal: Duration::from_millis(1200),
        remaining: Duration::from_secs(4),
        tried: &[],
        homes: HomeRegions::Any,
    }
}
