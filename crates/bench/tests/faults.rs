//! Detection of each fault, and false ejections under each condition of a healthy fleet, by the real cores
//! in virtual time with fixed seeds.

use std::time::Duration;

use wingbench::decide::scenario::{FleetCondition, TargetFault};
use wingbench::decide::site::SiteSetup;
use wingbench::decide::trial::{
    DeciderKind, fault_trial, faulty_target, has_collateral_ejection, healthy_trial,
};

const SEED: u64 = 42;
const HEALTHY_RUN: Duration = Duration::from_secs(45);

fn site(name: &str) -> SiteSetup {
    SiteSetup::named(name).expect("a known site")
}

/// Checks that a fault is detected, that no unaffected box or target is ejected for it, and that the
/// floor holds.
fn assert_detected(site_name: &str, fault: TargetFault) {
    let site = site(site_name);
    let result = fault_trial(&site, DeciderKind::Core, fault, SEED);
    assert!(result.detected.is_some(), "{site_name}, seed {SEED}: {fault:?} was missed");
    let target = faulty_target(&site, SEED);
    assert!(
        !has_collateral_ejection(&site, fault, target, &result),
        "{site_name}, seed {SEED}: {fault:?} led to other ejections"
    );
    assert_eq!(result.floor_breaches, 0);
    let amplification = result.attempts as f64 / result.requests as f64;
    assert!(amplification <= 1.1, "{amplification} attempts per request");
}

/// Checks that a condition ejects no healthy target, and that the floor holds.
fn assert_no_false_ejection(condition: FleetCondition) {
    let result = healthy_trial(&site("sedlo"), DeciderKind::Core, condition, HEALTHY_RUN, SEED);
    assert_eq!(result.false_ejections, 0, "seed {SEED}: {condition:?}, {:?}", result.causes);
    assert_eq!(result.floor_breaches, 0);
}

#[test]
fn stall_with_successful_probes_is_detected() {
    assert_detected("sedlo", TargetFault::Stall);
    assert_detected("dakar", TargetFault::Stall);
}

#[test]
fn slow_targets_are_detected() {
    for factor in [2.0, 5.0, 20.0] {
        assert_detected("sedlo", TargetFault::Slow(factor));
    }
}

#[test]
fn partial_errors_are_detected() {
    for share in [0.05, 0.2, 1.0] {
        assert_detected("sedlo", TargetFault::Errors(share));
    }
}

#[test]
fn flapping_target_is_detected() {
    for seconds in [1, 10, 60, 600] {
        assert_detected("sedlo", TargetFault::Flap(Duration::from_secs(seconds)));
    }
}

#[test]
fn one_way_cut_ejects_only_on_the_affected_paths() {
    assert_detected("sedlo", TargetFault::CutFromBox(0));
    assert_detected("sedlo", TargetFault::CutToCentre(0));
}

#[test]
fn sick_box_ejects_no_target_in_other_boxes() {
    assert_no_false_ejection(FleetCondition::SickBox);
}

#[test]
fn fault_of_a_whole_service_ejects_no_target() {
    assert_no_false_ejection(FleetCondition::SharedSlowness);
    assert_no_false_ejection(FleetCondition::AllFail);
}

#[test]
fn load_and_queues_eject_no_target() {
    for condition in [
        FleetCondition::LoadSwings,
        FleetCondition::Overload,
        FleetCondition::Pauses,
        FleetCondition::HeavyTail,
    ] {
        assert_no_false_ejection(condition);
    }
}

#[test]
fn noise_uneven_targets_cold_starts_and_false_loads_eject_no_target() {
    for condition in [
        FleetCondition::Calm,
        FleetCondition::Noise,
        FleetCondition::Uneven,
        FleetCondition::ColdStarts,
        FleetCondition::FalseLoads,
    ] {
        assert_no_false_ejection(condition);
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = || fault_trial(&site("sedlo"), DeciderKind::Core, TargetFault::Errors(0.2), SEED);
    let (one, other) = (run(), run());
    assert_eq!(one.detected, other.detected);
    assert_eq!(
        (one.requests, one.attempts, one.good),
        (other.requests, other.attempts, other.good)
    );
}
