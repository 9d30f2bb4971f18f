//! The plan of a service for any loads, and the choices that it binds.

mod steering;

use std::time::Duration;

use proptest::prelude::*;
use steering::{PICKS, SERVICE, at, core_with_healthy_targets, request, target};
use wingbridge_decide::TargetKey;
use wingbridge_decide::placement::{
    CapacitySum, DataCentreLoad, MIN_THRESHOLD, PlacementLimits, PlacementPlan, ServiceDemand,
};
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{HomeRegions, LoadReport, PickError, SteerCore, SteerRequest};

const NAMES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];

fn load(data_centre: &str, demand: f64, capacity: f64, taken_at_ms: u64) -> DataCentreLoad {
    let sum = CapacitySum { demand, open: 0, capacity, boxes: 4 };
    DataCentreLoad { data_centre: data_centre.into(), sum, taken_at: at(taken_at_ms) }
}

/// A rate as a message may contain it: ordinary, zero, or impossible.
fn any_rate() -> impl Strategy<Value = f64> {
    prop_oneof![
        6 => 0.0..2_000.0,
        1 => Just(0.0),
        1 => prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-5.0), Just(1e300)],
    ]
}

proptest! {
    /// Guards against plans that send more away than the excess, fill a data centre beyond the common utilization, or
    /// contain shares that are no numbers, whatever the messages say.
    #[test]
    fn plans_add_up(rates in prop::collection::vec((any_rate(), any_rate()), 2..=5)) {
        let loads: Vec<DataCentreLoad> =
            rates.iter().zip(NAMES).map(|((demand, capacity), name)| load(name, *demand, *capacity, 0)).collect();
        let possible: Vec<&DataCentreLoad> =
            loads.iter().filter(|load| load.sum.is_possible()).collect();
        let demand: f64 = possible.iter().map(|load| load.sum.demand).sum();
        let capacity: f64 = possible.iter().map(|load| load.sum.capacity).sum();
        let mut received = [0.0; 5];
        let index = |name: &str| NAMES.iter().position(|known| *known == name).expect("known");
        for home in &loads {
            let Some(plan) = PlacementPlan::new(&home.data_centre, &loads, &PlacementLimits::BALANCED) else {
                continue;
            };
            prop_assert!(home.sum.is_possible());
            prop_assert!(plan.threshold.is_finite() && plan.threshold >= MIN_THRESHOLD);
            prop_assert!((plan.threshold - (demand / capacity).max(MIN_THRESHOLD)).abs() < 1e-9);
            prop_assert!((0.0..=1.0 + 1e-9).contains(&plan.leaving()));
            let excess = (home.sum.demand - plan.threshold * home.sum.capacity).max(0.0);
            prop_assert!(plan.leaving() * home.sum.demand <= excess + 1e-6);
            for (name, share) in &plan.shares {
                prop_assert!(share.is_finite() && *share >= 0.0);
                prop_assert!(*name != home.data_centre);
                received[index(name)] += share * home.sum.demand;
            }
            for (name, spare) in &plan.spare {
                prop_assert!(spare.is_finite() && *spare >= 0.0 && *name != home.data_centre);
            }
        }
        for load in possible {
            let received = received[index(&load.data_centre)];
            if received > 0.0 {
                let threshold = (demand / capacity).max(MIN_THRESHOLD);
                let served = load.sum.demand + received;
                prop_assert!(served <= threshold * load.sum.capacity * (1.0 + 1e-9) + 1e-6);
            }
        }
    }

    /// Guards against a plan while no data centre is short of capacity, or all are as short.
    #[test]
    fn there_is_no_plan_without_need(
        rates in prop::collection::vec((0.0..1_000.0, 1.0..1_000.0), 2..=5),
    ) {
        let utilization = |rate: &(f64, f64)| rate.0 / rate.1;
        let highest = rates.iter().map(utilization).fold(0.0, f64::max);
        let lowest = rates.iter().map(utilization).fold(f64::INFINITY, f64::min);
        let loads: Vec<DataCentreLoad> =
            rates.iter().zip(NAMES).map(|((demand, capacity), name)| load(name, *demand, *capacity, 0)).collect();
        let is_called_for = highest > MIN_THRESHOLD && lowest < 0.9 * highest;
        prop_assert_eq!(PlacementPlan::new("c0", &loads, &PlacementLimits::BALANCED).is_some(), is_called_for);
    }
}

/// A core in the data centre `near` with one target there, and one in `far` and `other` each.
fn placed_core() -> SteerCore {
    let now = at(20_000);
    let mut core =
        core_with_healthy_targets(&[("n", "near"), ("ff", "far"), ("ooo", "other")], now);
    core.set_boxes(2, 6);
    core.enable_placement(PlacementLimits::BALANCED);
    core
}

/// Brings `core` into a plan: its targets have some 10 requests a second of capacity, and callers send 20.
fn put_under_load(core: &mut SteerCore) {
    for step in 0..160 {
        let now = at(20_000 + step * 50);
        core.record_request(now, SERVICE);
        let far = load("far", 1.0, 40.0, 20_000 + step * 50);
        assert!(core.merge_data_centre_load(now, SERVICE, far));
        let _ = core.pick(now, &request(false, &[]));
    }
}

/// Time at the end of [`put_under_load`].
const LOADED: u64 = 28_000;

fn destinations(core: &mut SteerCore, request: &SteerRequest<'_>) -> Vec<(String, bool)> {
    let picks = (0..PICKS).filter_map(|_| core.pick(at(LOADED), request).ok());
    picks.map(|pick| (pick.data_centre.to_string(), pick.placed)).collect()
}

/// Guards against a plan that leaves home regions, sends to an evacuated data centre, or moves retries.
#[test]
fn home_regions_evacuations_and_retries_bind_the_plan() {
    let mut core = placed_core();
    put_under_load(&mut core);
    assert!(destinations(&mut core, &request(false, &[])).iter().any(|(_, placed)| *placed));
    let tried = [TargetKey::of("ooo")];
    assert!(destinations(&mut core, &request(false, &tried)).iter().all(|(_, placed)| !placed));

    let regional = |id: &str, data_centre: &str| SteerTarget {
        region: data_centre.into(),
        ..target(id, data_centre)
    };
    let listing = vec![regional("n", "near"), regional("ff", "far"), regional("ooo", "other")];
    core.set_targets(at(LOADED), listing.clone());
    let homes = ["near".into()];
    let at_home = SteerRequest { homes: HomeRegions::Only(&homes), ..request(false, &[]) };
    let served = destinations(&mut core, &at_home);
    assert!(!served.is_empty());
    assert!(served.iter().all(|(name, placed)| name == "near" && !placed));

    let evacuated =
        |target: SteerTarget| SteerTarget { evacuated: *target.data_centre == *"far", ..target };
    core.set_targets(at(LOADED), listing.into_iter().map(evacuated).collect());
    assert!(destinations(&mut core, &request(false, &[])).iter().all(|(name, _)| name != "far"));
}

/// Guards against requests that are held at home while another data centre has free capacity; without known sums they
/// are held as before.
#[test]
fn request_that_would_be_held_goes_to_free_capacity() {
    for is_known in [false, true] {
        let mut core = placed_core();
        if is_known {
            put_under_load(&mut core);
        }
        let now = at(LOADED);
        for id in ["n", "ooo"] {
            core.record_load(now, TargetKey::of(id), LoadReport { held: 12, slots: 3 });
        }
        // The score of the far target is too high for a request with a large answer, but for the plan.
        core.record_load(now, TargetKey::of("ff"), LoadReport { held: 0, slots: 3 });
        let large = SteerRequest { large: true, body_bytes: 200_000, ..request(false, &[]) };
        let picks: Vec<_> = (0..PICKS).map(|_| core.pick(now, &large)).collect();
        let held = picks.iter().filter(|pick| **pick == Err(PickError::Saturated)).count();
        let placed = picks.iter().flatten().filter(|pick| pick.placed).count();
        if is_known {
            assert!(held == 0 && placed > 0, "{held} held, {placed} placed");
        } else {
            assert!(held > PICKS / 2 && placed == 0, "{held} held, {placed} placed");
        }
    }
}

struct DroppedSum {
    name: &'static str,
    load: DataCentreLoad,
    /// Whether the sum is impossible, so that it is reported.
    impossible: bool,
}

/// Guards against a plan that follows a sum which is too old or can't be true.
#[test]
fn bad_sums_are_dropped() {
    let now = at(20_000);
    let cases = [
        DroppedSum { name: "too old", load: load("far", 1.0, 40.0, 15_900), impossible: false },
        DroppedSum {
            name: "of the own data centre",
            load: load("near", 1.0, 40.0, 20_000),
            impossible: false,
        },
        DroppedSum { name: "negative", load: load("far", -1.0, 40.0, 20_000), impossible: true },
        DroppedSum {
            name: "not a number",
            load: load("far", 1.0, f64::NAN, 20_000),
            impossible: true,
        },
        DroppedSum {
            name: "infinite",
            load: load("far", f64::INFINITY, 40.0, 20_000),
            impossible: true,
        },
        DroppedSum {
            name: "no capacity, although targets answer",
            load: load("far", 1.0, 0.0, 20_000),
            impossible: true,
        },
    ];
    for DroppedSum { name, load, impossible } in cases {
        let mut core = placed_core();
        core.record_request(now, SERVICE);
        assert_eq!(core.merge_data_centre_load(now, SERVICE, load), !impossible, "{name}");
        let sums = core.placement(SERVICE).expect("the service is in use").sums().len();
        assert_eq!(sums, 0, "{name}");
    }
    let mut core = placed_core();
    let row = |demand| ServiceDemand { service: SERVICE.into(), demand, open: 0 };
    assert!(!core.merge_service_demand(now, 7, &row(f64::NAN)));
    assert!(core.merge_service_demand(now, 7, &row(3.0)));
}

/// Guards against memory that grows with the names in messages: only services with targets are kept, and those that
/// are no longer used are dropped.
#[test]
fn services_that_are_not_in_use_are_dropped() {
    let mut core = placed_core();
    let now = at(20_000);
    let row = ServiceDemand { service: "unknown".into(), demand: 5.0, open: 0 };
    assert!(core.merge_service_demand(now, 7, &row));
    assert!(core.merge_data_centre_load(now, "unknown", load("far", 1.0, 40.0, 20_000)));
    assert!(core.placement("unknown").is_none());
    core.record_request(now, SERVICE);
    let later = now + Duration::from_secs(30);
    core.service_demands(later);
    core.service_demands(later + Duration::from_secs(1));
    assert!(core.placement(SERVICE).is_none());
}
