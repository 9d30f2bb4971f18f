//! Strategies to handle requests during which targets end, on a few simulated fleets.

use wingbench::crashes::{CrashRow, measure_crashes};

const FLEETS: u64 = 4;
const SEED: u64 = 100;

fn rows_of<'a>(rows: &'a [CrashRow], strategy: &str) -> Vec<&'a CrashRow> {
    rows.iter().filter(|row| row.strategy == strategy).collect()
}

/// Without refusal a poison request ends each replaced target again: over 300 in 40 s, at 36
/// addresses. With refusal it ends three targets and those that it had reached by then.
#[test]
fn poison_request_ends_few_targets_in_every_scenario() {
    let rows = measure_crashes(SEED, FLEETS);
    for row in rows_of(&rows, "as it is") {
        assert!(row.max_late_sends <= 3, "{}: {} late sends", row.scenario, row.max_late_sends);
        assert!(row.max_lost <= 12, "{}: {} targets lost", row.scenario, row.max_lost);
    }
    let others = rows.iter().find(|row| row.scenario == "others end" && row.strategy == "as it is");
    assert_eq!(
        others.map(|row| row.wrongly_refused),
        Some(0.0),
        "targets end for other reasons, too"
    );
    // Shows that the simulation detects a strategy without refusal.
    let without_refusal = rows_of(&rows, "nothing");
    assert!(without_refusal.iter().filter(|row| row.max_late_sends > 3).count() >= 5);
}
