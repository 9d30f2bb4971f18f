//! The bound on the retries of all boxes together, whatever the boxes hear of each other.

mod retry_fleet;

use retry_fleet::{FleetCase, FleetResult, RetryFleet};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..4;

fn cases() -> Vec<FleetCase> {
    let usual = FleetCase::default();
    let cut = FleetCase { cut: 15_000..25_000, ..usual.clone() };
    vec![
        FleetCase { name: "reports heard at once", ..usual.clone() },
        FleetCase { name: "reports heard after 0.3 s", delay: 300, ..usual.clone() },
        FleetCase { name: "reports heard after 1 s", delay: 1_000, ..usual.clone() },
        FleetCase { name: "cut as failures begin", ..cut.clone() },
        FleetCase { name: "cut, few requests", per_second: 15.0, ..cut.clone() },
        FleetCase { name: "cut, many requests", per_second: 300.0, ..cut.clone() },
        FleetCase {
            name: "cut for 3 s and healed",
            per_second: 200.0,
            delay: 100,
            cut: 15_000..18_000,
            ..usual.clone()
        },
        FleetCase { name: "cut later and healed", cut: 17_000..20_000, ..usual.clone() },
        FleetCase {
            name: "large fleet cut for a minute",
            boxes: 105,
            slack: 182.0,
            cut: 15_000..75_000,
            failing: 55_000..65_000,
            ..usual.clone()
        },
        FleetCase { name: "all restarted", restart: 20_000, ..usual.clone() },
        FleetCase {
            name: "all restarted, many requests",
            restart: 20_000,
            per_second: 300.0,
            ..usual.clone()
        },
        FleetCase {
            name: "callers move between data centres",
            shift: 20_000,
            per_second: 300.0,
            ..usual.clone()
        },
        FleetCase { name: "failures at a tenth of the boxes", failing_share: 0.1, ..usual.clone() },
    ]
}

/// Guards against retries beyond the bound of all boxes: each box counted on what it had last heard of the others.
#[test]
fn boxes_that_hear_late_or_nothing_stay_within_the_retry_bound() {
    let mut failures = Vec::new();
    for case in cases() {
        for seed in SEEDS {
            let result = RetryFleet::new(&case, seed).run();
            let share = result.worst_share(&case);
            let FleetResult { needing, without_retry, .. } = result;
            println!(
                "{}, seed {seed}: {share:.2} of the bound, {without_retry} of {needing} without a retry",
                case.name
            );
            if share > 1.0 {
                failures.push(format!("{}, seed {seed}: {share:.2} of the bound", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
