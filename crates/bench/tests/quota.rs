//! Customers' quotas over a fleet in virtual time: no window above the bound, whatever is cut off,
//! restarted or late, and hardly anything refused below the limit.

use proptest::prelude::*;
use wingbench::quota::scenario::{QuotaScenario, SCENARIOS};
use wingbench::quota::{QuotaBench, QuotaWay, WAYS, WindowBound, measure_quota};
use wingbridge_decide::quota::QuotaLimit;

const SEED: u64 = 40;

fn bench(scenario: QuotaScenario, way: QuotaWay, boxes: usize, rate: f64) -> QuotaBench {
    QuotaBench {
        seed: SEED,
        fleets: 2,
        boxes,
        limit: QuotaLimit { per_second: rate, burst: rate },
        loss: 0.002,
        scenarios: vec![scenario],
        ways: vec![way],
        bound: WindowBound::OF_CUSTOMERS,
        callers: 0,
    }
}

struct QuotaCase {
    scenario: QuotaScenario,
    rate: f64,
    /// Requests in 100 that may be refused below the limit.
    refused: f64,
}

const CASES: &[QuotaCase] = &[
    QuotaCase { scenario: QuotaScenario::Steady, rate: 100.0, refused: 0.3 },
    QuotaCase { scenario: QuotaScenario::Steady, rate: 3.0, refused: 0.3 },
    QuotaCase { scenario: QuotaScenario::Moved, rate: 100.0, refused: 0.5 },
    QuotaCase { scenario: QuotaScenario::Moved, rate: 3.0, refused: 0.5 },
    QuotaCase { scenario: QuotaScenario::TenTimes, rate: 100.0, refused: 5.0 },
    QuotaCase { scenario: QuotaScenario::TenTimes, rate: 3.0, refused: 5.0 },
    QuotaCase { scenario: QuotaScenario::Cut, rate: 100.0, refused: 4.0 },
    QuotaCase { scenario: QuotaScenario::CutAtTenTimes, rate: 100.0, refused: 10.0 },
    QuotaCase { scenario: QuotaScenario::CutAtTenTimes, rate: 20.0, refused: 10.0 },
    QuotaCase { scenario: QuotaScenario::Power, rate: 100.0, refused: 15.0 },
    // For a second twice most keepers are away with their deputies.
    QuotaCase { scenario: QuotaScenario::Killed, rate: 100.0, refused: 8.0 },
    QuotaCase { scenario: QuotaScenario::Killed, rate: 3.0, refused: 8.0 },
    QuotaCase { scenario: QuotaScenario::Rolling, rate: 100.0, refused: 20.0 },
    QuotaCase { scenario: QuotaScenario::Joining, rate: 100.0, refused: 12.0 },
    QuotaCase { scenario: QuotaScenario::Lowered, rate: 100.0, refused: 5.0 },
];

#[test]
fn keepers_hold_the_bound_and_refuse_little_below_the_limit() {
    for case in CASES {
        let report = measure_quota(&bench(case.scenario, QuotaWay::Keepers, 60, case.rate));
        let row = &report.rows[0];
        let name = format!("{} at {}: {row:?}", case.scenario, case.rate);
        assert_eq!(row.broken, 0, "{name}");
        assert!(row.refused <= case.refused, "{name}");
    }
}

#[test]
fn sums_told_to_all_break_the_bound_under_a_cut() {
    // The check finds a fault where there is one.
    let broken = bench(QuotaScenario::CutAtTenTimes, QuotaWay::Sums, 60, 100.0);
    let row = &measure_quota(&broken).rows[0];
    assert!(row.broken > 0 && row.worst > 1.0, "{row:?}");
}

#[test]
fn names_of_ways_and_scenarios_are_read_back() {
    for (way, name) in WAYS {
        assert_eq!((name.parse(), way.to_string()), (Ok(way), name.to_string()));
    }
    for (scenario, name) in SCENARIOS {
        assert_eq!((name.parse(), scenario.to_string()), (Ok(scenario), name.to_string()));
    }
    assert!("none".parse::<QuotaWay>().is_err());
    assert!("none".parse::<QuotaScenario>().is_err());
}

fn of_a_target(scenario: QuotaScenario, way: QuotaWay, boxes: usize, rate: f64) -> QuotaBench {
    QuotaBench {
        limit: QuotaLimit { per_second: rate, burst: 2.0 },
        bound: WindowBound::OF_TARGETS,
        // From all boxes.
        callers: boxes * 2,
        ..bench(scenario, way, boxes, rate)
    }
}

/// Customers' keepers let boxes spend ahead of their word: of forty boxes each one.
#[test]
fn the_limit_of_a_target_is_kept_by_permits_and_broken_by_customers_keepers() {
    let worst = |way| {
        let bench = of_a_target(QuotaScenario::TenTimes, way, 40, 1.0);
        measure_quota(&bench).rows[0].worst
    };
    assert!(worst(QuotaWay::Permits) <= 1.0);
    assert!(worst(QuotaWay::Keepers) > 2.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_target_gets_more_than_its_limit_allows(
        seed in 0u64..1_000_000,
        which in 0..SCENARIOS.len(),
        boxes in 4usize..50,
        rate in 0.1f64..30.0,
        loss in 0.0f64..0.1,
    ) {
        let bench = QuotaBench {
            seed,
            fleets: 1,
            loss,
            ..of_a_target(SCENARIOS[which].0, QuotaWay::Permits, boxes, rate)
        };
        let row = &measure_quota(&bench).rows[0];
        prop_assert_eq!(row.broken, 0, "{:?}", row);
    }

    #[test]
    fn no_window_is_above_the_bound(
        seed in 0u64..1_000_000,
        which in 0..SCENARIOS.len(),
        boxes in 4usize..50,
        rate in 2.0f64..150.0,
        loss in 0.0f64..0.1,
    ) {
        let bench = QuotaBench {
            seed,
            fleets: 1,
            loss,
            ..bench(SCENARIOS[which].0, QuotaWay::Keepers, boxes, rate)
        };
        let row = &measure_quota(&bench).rows[0];
        prop_assert_eq!(row.broken, 0, "{:?}", row);
    }
}
