//! Measures the time of one target selection, by the number of targets of the service.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use wingbridge_decide::placement::PlacementLimits;
use wingbridge_decide::placement::{CapacitySum, DataCentreLoad};
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{HomeRegions, PeerSample, SteerCore, SteerRequest, SteerSetup};
use wingbridge_decide::{TargetKey, TimePoint};
use wingctl::output::table;

/// Number of targets in each row: the users' smallest and largest services, and two sizes between
/// them.
const TARGET_COUNTS: [usize; 4] = [16, 119, 431, 1500];
/// Selections that are timed in each row.
const PICKS: u64 = 20_000;
/// Time between two selections. One peer sample arrives in each interval, so that all 1,500 targets
/// are reported within the time for which a failure estimate is kept.
const PICK_INTERVAL: Duration = Duration::from_millis(1);
/// Number of selections between two sums of each other data centre: a second.
const SUM_INTERVAL: u64 = 1_000;
const SERVICE: &str = "orders";
const DATA_CENTRES: usize = 5;

/// What placement between data centres does during the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlacementState {
    /// It is switched off.
    Off,
    /// The service is loaded, and nothing is known of other data centres.
    Loaded,
    /// Nearly all requests leave by a plan.
    Plan,
}

/// The time of target selections in a service with `targets` targets.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PickCost {
    /// Targets of the service.
    pub targets: usize,
    /// What placement between data centres did.
    pub placement: PlacementState,
    /// Median time of a selection in nanoseconds.
    pub median_ns: u64,
    /// 99th percentile of the time of a selection in nanoseconds.
    #[serde(rename = "high_ns")]
    pub p99_ns: u64,
}

/// Times target selections in services of different sizes, without and with placement, while peers report on all targets.
pub fn measure_picks() -> Vec<PickCost> {
    let states = [PlacementState::Off, PlacementState::Loaded, PlacementState::Plan];
    let of_size = |targets| states.map(|placement| measure(targets, placement));
    TARGET_COUNTS.into_iter().flat_map(of_size).collect()
}

/// Formats the measured times as a table.
pub fn pick_table(rows: &[PickCost]) -> String {
    let cells = |row: &PickCost| {
        let placement = match row.placement {
            PlacementState::Off => "off",
            PlacementState::Loaded => "loaded",
            PlacementState::Plan => "plan",
        };
        let numbers = [row.targets as u64, row.median_ns, row.p99_ns].map(|n| n.to_string());
        let [targets, median, high] = numbers;
        vec![targets, placement.to_string(), median, high]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table(&["targets", "placement", "ns, median", "ns, 99 in 100"], &rows)
}

fn measure(targets: usize, placement: PlacementState) -> PickCost {
    let mut core = core_with_targets(targets);
    if placement != PlacementState::Off {
        core.enable_placement(PlacementLimits::BALANCED);
    }
    /// Upper bound of the histogram: a selection takes far less than a second.
    const MAX_NS: u64 = 1_000_000_000;
    let times = Histogram::<u64>::new_with_bounds(1, MAX_NS, 3);
    let mut times = times.expect("the histogram accepts these bounds and three digits");
    let mut now = TimePoint::default();
    for number in 0..PICKS {
        now = now + PICK_INTERVAL;
        merge_sample(&mut core, now, number as usize % targets);
        core.record_request(now, SERVICE);
        if placement == PlacementState::Plan && number % SUM_INTERVAL == 0 {
            merge_sums(&mut core, now);
        }
        let request = request();
        let before = Instant::now();
        let pick = std::hint::black_box(core.pick(now, &request));
        let elapsed = u64::try_from(before.elapsed().as_nanos()).unwrap_or(u64::MAX);
        assert!(pick.is_ok(), "no target was selected although targets have free slots");
        times.saturating_record(elapsed.max(1));
    }
    let at = |share: f64| times.value_at_quantile(share);
    let is_active = core.placement(SERVICE).is_some_and(|state| state.is_active());
    assert_eq!(
        is_active,
        placement == PlacementState::Plan,
        "the plan is in force only where it is measured"
    );
    PickCost { targets, placement, median_ns: at(0.5), p99_ns: at(0.99) }
}

fn core_with_targets(targets: usize) -> SteerCore {
    let mut core = SteerCore::new(SteerSetup {
        data_centre: "c0".into(),
        cross_cost: 0.01,
        retries: RetryBounds { share: 0.2, slack: 100.0, window: Duration::from_secs(10) },
        seed: 1,
        mechanisms: MechanismSet::default(),
    });
    let target = |number: usize| SteerTarget {
        id: target_id(number).into(),
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

/// Merges the sums of the other data centres, two of which have free capacity.
fn merge_sums(core: &mut SteerCore, now: TimePoint) {
    for number in 1..DATA_CENTRES {
        let demand = if number <= 2 { 1_000.0 } else { 100_000.0 };
        let sum = CapacitySum { demand, open: 100, capacity: 100_000.0, boxes: 90 };
        let data_centre = format!("c{number}").into();
        core.merge_data_centre_load(
            now,
            SERVICE,
            DataCentreLoad { data_centre, sum, taken_at: now },
        );
    }
}

/// Merges one good sample of a peer about the target with that number.
fn merge_sample(core: &mut SteerCore, now: TimePoint, number: usize) {
    let sample = PeerSample {
        good: 1,
        latency_ratio: Some(1.0),
        held: Some(1),
        open: Some(1),
        ..PeerSample::default()
    };
    core.merge_peer_sample(now, number as u64 % 90, TargetKey::of(&target_id(number)), &sample);
}

fn target_id(number: usize) -> String {
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
