//! Quotas of customers and limits of targets over fleets in virtual time: no window exceeds the
//! bound under network cuts, restarts and delays, and few requests below the limit are refused.

use proptest::prelude::*;
use wingbench::quota::scenario::{QuotaScenario, SCENARIOS};
use wingbench::quota::{QuotaBench, QuotaStrategy, STRATEGIES, WindowBound, measure_quota};
use wingbridge_decide::quota::QuotaLimit;

const SEED: u64 = 40;

fn bench(scenario: QuotaScenario, strategy: QuotaStrategy, boxes: usize, rate: f64) -> QuotaBench {
    QuotaBench {
        seed: SEED,
        fleets: 2,
        boxes,
        limit: QuotaLimit { per_second: rate, burst: rate },
        loss: 0.002,
        scenarios: vec![scenario],
        strategies: vec![strategy],
        bound: WindowBound::CUSTOMERS,
        callers: 0,
    }
}

struct QuotaCase {
    scenario: QuotaScenario,
    rate: f64,
    /// Maximum percentage of requests below the limit that are refused.
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
    QuotaCase { scenario: QuotaScenario::PowerCut, rate: 100.0, refused: 15.0 },
    // Twice, most coordinators are down for a second together with their standbys.
    QuotaCase { scenario: QuotaScenario::Killed, rate: 100.0, refused: 8.0 },
    QuotaCase { scenario: QuotaScenario::Killed, rate: 3.0, refused: 8.0 },
    QuotaCase { scenario: QuotaScenario::Rolling, rate: 100.0, refused: 20.0 },
    QuotaCase { scenario: QuotaScenario::Joining, rate: 100.0, refused: 12.0 },
    QuotaCase { scenario: QuotaScenario::Lowered, rate: 100.0, refused: 5.0 },
];

#[test]
fn coordinators_hold_the_bound_and_refuse_few_requests_below_the_limit() {
    for case in CASES {
        let report =
            measure_quota(&bench(case.scenario, QuotaStrategy::Coordinators, 60, case.rate));
        let row = &report.rows[0];
        let name = format!("{} at {}: {row:?}", case.scenario, case.rate);
        assert_eq!(row.broken, 0, "{name}");
        assert!(row.refused <= case.refused, "{name}");
    }
}

#[test]
fn reported_window_sums_break_the_bound_under_a_network_cut() {
    // Shows that the check detects a strategy that breaks the bound.
    let broken = bench(QuotaScenario::CutAtTenTimes, QuotaStrategy::WindowSums, 60, 100.0);
    let row = &measure_quota(&broken).rows[0];
    assert!(row.broken > 0 && row.worst > 1.0, "{row:?}");
}

#[test]
fn names_of_strategies_and_scenarios_parse_back() {
    for (strategy, name) in STRATEGIES {
        assert_eq!((name.parse(), strategy.to_string()), (Ok(strategy), name.to_string()));
    }
    for (scenario, name) in SCENARIOS {
        assert_eq!((name.parse(), scenario.to_string()), (Ok(scenario), name.to_string()));
    }
    assert!("none".parse::<QuotaStrategy>().is_err());
    assert!("none".parse::<QuotaScenario>().is_err());
}

fn target_bench(
    scenario: QuotaScenario,
    strategy: QuotaStrategy,
    boxes: usize,
    rate: f64,
) -> QuotaBench {
    QuotaBench {
        limit: QuotaLimit { per_second: rate, burst: 2.0 },
        bound: WindowBound::TARGETS,
        // Enough callers for requests to arrive at nearly all boxes.
        callers: boxes * 2,
        ..bench(scenario, strategy, boxes, rate)
    }
}

/// Under customers' coordinators each box may admit requests ahead of its grant, which adds up over
/// forty boxes to more than twice the limit of a target.
#[test]
fn permits_hold_the_limit_of_a_target_and_customer_coordinators_break_it() {
    let worst = |strategy| {
        let bench = target_bench(QuotaScenario::TenTimes, strategy, 40, 1.0);
        measure_quota(&bench).rows[0].worst
    };
    assert!(worst(QuotaStrategy::Permits) <= 1.0);
    assert!(worst(QuotaStrategy::Coordinators) > 2.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn permits_never_exceed_the_limit_of_a_target(
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
            ..target_bench(SCENARIOS[which].0, QuotaStrategy::Permits, boxes, rate)
        };
        let row = &measure_quota(&bench).rows[0];
        prop_assert_eq!(row.broken, 0, "{:?}", row);
    }

    #[test]
    fn coordinators_never_exceed_the_bound_in_any_window(
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
            ..bench(SCENARIOS[which].0, QuotaStrategy::Coordinators, boxes, rate)
        };
        let row = &measure_quota(&bench).rows[0];
        prop_assert_eq!(row.broken, 0, "{:?}", row);
    }
}
