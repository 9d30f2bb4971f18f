//! Whether a box has paths to the targets: runs of attempts without a contact, by service and over all services.

use std::time::Duration;

use wingbridge_decide::paths::{ContactFailure, MIN_FAILING, PathMonitor, PathScope, PathState};
use wingbridge_decide::{Name, TargetKey, TimePoint};

/// Time between two attempts.
const STEP: Duration = Duration::from_millis(100);

fn at(step: u32) -> TimePoint {
    TimePoint::default() + STEP * step
}

struct RunCase {
    name: &'static str,
    /// One letter an attempt: an upper-case letter is a contact with a target of that service, a lower-case one an
    /// attempt without.
    attempts: &'static str,
    /// The changes, each with the number of its attempt, its service ("" for all), and its state.
    changes: &'static [(u32, &'static str, PathState)],
}

const RUN_CASES: &[RunCase] = &[
    RunCase { name: "no failure", attempts: "AAAB", changes: &[] },
    RunCase { name: "single failures", attempts: "aaAaaAaaA", changes: &[] },
    RunCase {
        name: "no contact at any service",
        attempts: "abaB",
        changes: &[(2, "", PathState::Failing), (3, "", PathState::Reaching)],
    },
    RunCase {
        name: "no contact at one service",
        attempts: "aBaBaBA",
        changes: &[(4, "a", PathState::Failing), (6, "a", PathState::Reaching)],
    },
];

/// Paths count as failing after a run without contact, and as restored at the first contact, whichever way it answers.
#[test]
fn paths_fail_with_a_run_of_attempts_without_contact() {
    assert_eq!(MIN_FAILING, 3, "the cases are for this length");
    for case in RUN_CASES {
        let mut monitor = PathMonitor::default();
        let mut changes = Vec::new();
        for (step, letter) in (0..).zip(case.attempts.chars()) {
            let service = Name::from(letter.to_lowercase().to_string());
            let found = if letter.is_uppercase() {
                monitor.record_contact(&service)
            } else {
                let target = TargetKey::of(&format!("{letter}-{step}"));
                monitor.record_failure(at(step), &service, target, ContactFailure::NotConnected)
            };
            changes.extend(found.into_iter().map(|change| (step, change.scope, change.state)));
        }
        let scope = |name: &str| match name {
            "" => PathScope::All,
            name => PathScope::Service(name.into()),
        };
        let expected = case.changes.iter();
        let expected: Vec<_> =
            expected.map(|(step, name, state)| (*step, scope(name), *state)).collect();
        assert_eq!(changes, expected, "{}", case.name);
    }
}
