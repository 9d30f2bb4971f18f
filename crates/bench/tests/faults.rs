//! Each fault and each kind of condition, on the real cores in virtual time with fixed seeds.

use std::time::Duration;

use wingbench::decide::scenario::{FleetCondition, TargetFault};
use wingbench::decide::site::SiteSetup;
use wingbench::decide::trial::{
    DeciderKind, fault_trial, faulty_target, has_collateral_ejection, healthy_trial,
};

const SEED: u64 = 42;
const STRETCH: Duration = Duration::from_secs(45);

fn site(name: &str) -> SiteSetup {
    SiteSetup::named(name).expect("a known site")
}

/// The fault is found, in the paths that it affects and nowhere else, and the floor holds.
fn found(site_name: &str, fault: TargetFault) {
    let site = site(site_name);
    let record = fault_trial(&site, DeciderKind::Core, fault, SEED);
    assert!(record.detected.is_some(), "{site_name}, seed {SEED}: {fault:?} was missed");
    let target = faulty_target(&site, SEED);
    assert!(
        !has_collateral_ejection(&site, fault, target, &record),
        "{site_name}, seed {SEED}: {fault:?} spilled"
    );
    assert_eq!(record.floor_breaches, 0);
    let amplification = record.attempts as f64 / record.requests as f64;
    assert!(amplification <= 1.1, "{amplification} attempts for each request");
}

/// Nothing that only looks like a fault ejects a healthy target.
fn spared(condition: FleetCondition) {
    let record = healthy_trial(&site("sedlo"), DeciderKind::Core, condition, STRETCH, SEED);
    assert_eq!(record.false_ejections, 0, "seed {SEED}: {condition:?}, {:?}", record.causes);
    assert_eq!(record.floor_breaches, 0);
}

#[test]
fn stall_behind_good_probes() {
    found("sedlo", TargetFault::Stall);
    found("dakar", TargetFault::Stall);
}

#[test]
fn slow_work() {
    for factor in [2.0, 5.0, 20.0] {
        found("sedlo", TargetFault::Slow(factor));
    }
}

#[test]
fn errors_on_a_part_of_the_requests() {
    for share in [0.05, 0.2, 1.0] {
        found("sedlo", TargetFault::Errors(share));
    }
}

#[test]
fn flapping() {
    for seconds in [1, 10, 60, 600] {
        found("sedlo", TargetFault::Flap(Duration::from_secs(seconds)));
    }
}

#[test]
fn one_way_cuts_cost_the_path_alone() {
    found("sedlo", TargetFault::CutFromBox(0));
    found("sedlo", TargetFault::CutToCentre(0));
}

#[test]
fn a_sick_box_convicts_nobody_elsewhere() {
    spared(FleetCondition::SickBox);
}

#[test]
fn a_whole_service_that_is_slow_or_fails_ejects_nobody() {
    spared(FleetCondition::SharedSlowness);
    spared(FleetCondition::AllFail);
}

#[test]
fn load_and_queues_eject_nobody() {
    for condition in [
        FleetCondition::LoadSwings,
        FleetCondition::Overload,
        FleetCondition::Pauses,
        FleetCondition::HeavyTail,
    ] {
        spared(condition);
    }
}

#[test]
fn noise_uneven_targets_cold_starts_and_lies_eject_nobody() {
    for condition in [
        FleetCondition::Calm,
        FleetCondition::Noise,
        FleetCondition::Uneven,
        FleetCondition::ColdStarts,
        FleetCondition::LyingLoads,
    ] {
        spared(condition);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || fault_trial(&site("sedlo"), DeciderKind::Core, TargetFault::Errors(0.2), SEED);
    let (one, other) = (run(), run());
    assert_eq!(one.detected, other.detected);
    assert_eq!(
        (one.requests, one.attempts, one.good),
        (other.requests, other.attempts, other.good)
    );
}
