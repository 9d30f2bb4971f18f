//! The choice of targets and the retry budget without overload control.

mod steering;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::ledger::RetryCounts;
use wingbridge_decide::steer::{LoadReport, RetryUse, SteerCore, SteerOutcome};

use steering::{ROUTE, SERVICE, at, core, request, target};

const STEPS: u64 = 20_000;

/// What a core returned for a sequence of calls.
#[derive(Debug, PartialEq, Eq)]
struct Results {
    /// Sum of the keys of all chosen targets, each multiplied by the number of the step.
    picks: u64,
    /// The same of the retries that were given, of the steps alone.
    retries: u64,
    /// The same of the reported counts.
    reports: u64,
}

fn run(core: &mut SteerCore) -> Results {
    let mut random = SmallRng::seed_from_u64(11);
    let mut results = Results { picks: 0, retries: 0, reports: 0 };
    let targets = ["a", "b", "c", "d", "e", "f"];
    let centre = |id: &str| if id < "d" { "near" } else { "far" };
    core.set_targets(at(0), targets.iter().map(|id| target(id, centre(id))).collect());
    core.set_boxes(10, 30);
    for step in 1..=STEPS {
        let now = at(step * 5);
        // Targets refuse half of all requests for some seconds.
        let refuses = step / 2000 % 3 == 1;
        core.record_request(now, SERVICE);
        let repeatable = random.random_bool(0.5);
        let mut tried = Vec::new();
        while let Ok(pick) = core.pick(now, &request(repeatable, &tried)) {
            results.picks = results.picks.wrapping_add(pick.key.0.wrapping_mul(step));
            tried.push(pick.key);
            let handle = core.begin(now, pick.key, &ROUTE.into());
            let draw: f64 = random.random();
            let outcome = match draw {
                _ if refuses && draw < 0.5 => SteerOutcome::Shed,
                _ if draw > 0.98 => SteerOutcome::Failed,
                _ => SteerOutcome::Good(Duration::from_millis(50)),
            };
            core.end(now, &handle, &ROUTE.into(), outcome, 100);
            let held = random.random_range(0..6);
            core.record_load(now, pick.key, LoadReport { held, slots: 3 });
            let usage = if random.random_bool(0.2) { RetryUse::Hedge } else { RetryUse::Repeat };
            let is_good = matches!(outcome, SteerOutcome::Good(_));
            if (is_good && draw > 0.05) || !core.spend_retry(now, SERVICE, usage) {
                break;
            }
            results.retries += step;
        }
        if random.random_bool(0.1) {
            let counts = RetryCounts {
                requests: random.random_range(50..150),
                retries: random.random_range(0..20),
                unresponsive_retries: 0,
            };
            core.merge_retry_counts(now, random.random_range(0..9), SERVICE, counts);
        }
        if random.random_bool(0.2) {
            for (_, counts) in core.unreported_retry_counts(now) {
                let sum = u64::from(counts.requests) + 1000 * u64::from(counts.retries);
                results.reports = results.reports.wrapping_add(sum.wrapping_mul(step));
            }
        }
    }
    assert!(core.risk(at(STEPS * 5), TargetKey::of("a")).is_some());
    results
}

/// Guards against a change of picks, retries or reports while overload control is off. The figures are those of the
/// code before overload control.
#[test]
fn picks_retries_and_reports_are_as_before() {
    let before = Results {
        picks: 4_810_974_520_564_758_587,
        retries: 22_895_763,
        reports: 9_806_703_566_976,
    };
    assert_eq!(run(&mut core()), before);
}
