//! The bound on the retries of all boxes together, whatever the boxes hear of each other.

mod retry_fleet;

use std::time::Duration;

use retry_fleet::{CallerPlace, FleetCase, FleetResult, RetryFleet, SERVICE, WINDOW_MS};
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::ledger::{RetryBounds, RetryCounts, RetryVerdict};
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::retry_share::{CreditGrant, CreditRequest, DueCredits};
use wingbridge_decide::steer::{RetryUse, SteerCore, SteerSetup};

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
            name: "halves restarted one after the other",
            half_restarts: &[(15_500, 0), (17_500, 1), (19_500, 0)],
            per_second: 300.0,
            ..usual.clone()
        },
        FleetCase {
            name: "callers move between data centres",
            shift: 20_000,
            per_second: 300.0,
            ..usual.clone()
        },
        FleetCase { name: "half of the messages lost", lost: 0.5, ..usual.clone() },
        FleetCase { name: "failures at a tenth of the boxes", failing_share: 0.1, ..usual.clone() },
        FleetCase { name: "failures for 3 s", failing: 15_000..18_000, ..usual.clone() },
        FleetCase {
            name: "failures for 3 s, many requests",
            failing: 15_000..18_000,
            per_second: 300.0,
            ..usual.clone()
        },
        FleetCase {
            name: "failures at a fifth of the boxes for 6 s",
            failing: 15_000..21_000,
            failing_share: 0.2,
            ..usual
        },
    ]
}

/// Callers that all move at once, after the boxes that they leave have spent what they may.
fn moving_cases() -> Vec<FleetCase> {
    let usual = FleetCase { per_second: 300.0, ..FleetCase::default() };
    let moved: &[(u64, CallerPlace)] =
        &[(0, CallerPlace::Centre(0)), (15_200, CallerPlace::Centre(1))];
    vec![
        FleetCase { name: "to another data centre", places: moved, ..usual.clone() },
        FleetCase {
            name: "to another data centre, fewer requests",
            places: moved,
            per_second: 70.0,
            ..usual.clone()
        },
        FleetCase {
            name: "to another data centre, 5 s after failures began",
            places: &[(0, CallerPlace::Centre(0)), (20_000, CallerPlace::Centre(1))],
            ..usual.clone()
        },
        FleetCase {
            name: "to another data centre and on to a third",
            places: &[
                (0, CallerPlace::Centre(0)),
                (15_200, CallerPlace::Centre(1)),
                (17_700, CallerPlace::Centre(2)),
            ],
            ..usual.clone()
        },
        FleetCase {
            name: "to another data centre, reports heard after 1 s",
            places: moved,
            delay: 1_000,
            ..usual.clone()
        },
        FleetCase {
            name: "to another data centre, then all boxes restarted",
            places: moved,
            restart: 15_300,
            ..usual.clone()
        },
        FleetCase {
            name: "to other boxes while boxes are cut from each other",
            places: &[(0, CallerPlace::Half(0)), (15_500, CallerPlace::Half(1))],
            cut: 15_000..25_000,
            ..usual.clone()
        },
        FleetCase {
            name: "to other boxes just after a cut",
            places: &[(0, CallerPlace::Half(0)), (15_300, CallerPlace::Half(1))],
            cut: 15_150..25_000,
            ..usual
        },
    ]
}

/// Guards against retries beyond the bound of all boxes: each box counted on what it had last heard of the others.
#[test]
fn boxes_that_hear_late_or_nothing_stay_within_the_retry_bound() {
    check(&cases());
}

/// Guards against retries that were paid by the same callers at two boxes, one after the other.
#[test]
fn retries_of_callers_that_move_stay_within_the_bound() {
    check(&moving_cases());
}

/// Runs each case with several seeds.
fn check(cases: &[FleetCase]) {
    let mut failures = Vec::new();
    for case in cases {
        for seed in SEEDS {
            let result = RetryFleet::new(case, seed).run();
            let share = result.worst_share(case);
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

/// A box that holds 1.7 retries of the slack at `at(WINDOW_MS)`, and earns none by its requests.
fn box_with_slack() -> SteerCore {
    let window = Duration::from_millis(WINDOW_MS);
    let mut core = SteerCore::new(SteerSetup {
        data_centre: "centre".into(),
        cross_cost: 0.01,
        retries: RetryBounds { share: 0.0, slack: 80.0, window },
        seed: 1,
        mechanisms: MechanismSet::default(),
    });
    core.set_boxes(12, 36);
    // The service is known to the box.
    core.merge_retry_counts(at(WINDOW_MS), 9, SERVICE, RetryCounts::default());
    core
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1000)
}

fn spend(core: &mut SteerCore, millis: u64) -> RetryVerdict {
    core.decide_retry(at(millis), SERVICE, RetryUse::Repeat)
}

/// Makes the retry that the box holds, and asks the peer 1 for what the next one lacks.
fn borrower() -> (SteerCore, CreditRequest) {
    let mut core = box_with_slack();
    assert_eq!(spend(&mut core, WINDOW_MS), RetryVerdict::Allowed);
    assert_eq!(spend(&mut core, WINDOW_MS), RetryVerdict::Lacking);
    let mut due = core.due_credit_requests(at(WINDOW_MS), &[1]);
    let (peer, request) = due.requests.pop().expect("a request is due");
    assert_eq!(peer, 1);
    (core, request)
}

struct GrantCase {
    name: &'static str,
    /// Milliseconds after the request at which each grant of this amount arrives.
    grants: &'static [(u64, f64)],
    /// Milliseconds after the request at which a retry is wanted.
    wanted_at: u64,
    verdict: RetryVerdict,
}

const GRANT_CASES: &[GrantCase] = &[
    GrantCase {
        name: "in time",
        grants: &[(2, 0.4)],
        wanted_at: 3,
        verdict: RetryVerdict::Allowed,
    },
    GrantCase {
        name: "too little",
        grants: &[(2, 0.2)],
        wanted_at: 3,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "the same one twice",
        grants: &[(2, 0.2), (3, 0.2)],
        wanted_at: 4,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "none to spare",
        grants: &[(2, 0.0)],
        wanted_at: 3,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "not a number",
        grants: &[(2, f64::NAN)],
        wanted_at: 3,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "negative",
        grants: &[(2, -5.0)],
        wanted_at: 3,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "late and spent in time",
        grants: &[(450, 0.4)],
        wanted_at: 460,
        verdict: RetryVerdict::Allowed,
    },
    GrantCase {
        name: "in time and spent late",
        grants: &[(2, 0.4)],
        wanted_at: 510,
        verdict: RetryVerdict::Lacking,
    },
    GrantCase {
        name: "too late",
        grants: &[(600, 0.4)],
        wanted_at: 610,
        verdict: RetryVerdict::Lacking,
    },
];

/// Guards against credit that is worth more than its lender gave up: twice, or after the lender counts it no more.
#[test]
fn credit_is_spent_once_and_in_time() {
    for case in GRANT_CASES {
        let (mut core, request) = borrower();
        for (delay, amount) in case.grants {
            let CreditRequest { service, number, .. } = request.clone();
            let grant = CreditGrant { service, number, amount: *amount };
            core.record_credit(at(WINDOW_MS + delay), &grant);
        }
        let verdict = spend(&mut core, WINDOW_MS + case.wanted_at);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// Guards against a lender that makes the retry that it gave up.
#[test]
fn lender_counts_what_it_lent_for_the_whole_window() {
    let (_, request) = borrower();
    let lent_at = WINDOW_MS + 1;
    let mut lender = box_with_slack();
    let whole = CreditRequest { amount: 1.0, ..request };
    assert_eq!(lender.lend_credit(at(lent_at), &whole).amount, 1.0);
    spend(&mut lender, lent_at);
    let statuses = lender.take_retry_status(at(lent_at));
    assert_eq!(statuses.first().map(|(_, status)| status.lent), Some(1.0));
    assert_eq!(spend(&mut lender, lent_at + 1), RetryVerdict::Lacking);
    assert_eq!(spend(&mut lender, lent_at + WINDOW_MS), RetryVerdict::Lacking);
    assert_eq!(spend(&mut lender, lent_at + WINDOW_MS + 1_100), RetryVerdict::Allowed);
}

/// Guards against a caller that waits although no peer has a retry to spare.
#[test]
fn retry_is_refused_at_once_when_no_peer_is_left() {
    let (mut core, request) = borrower();
    let CreditRequest { service, number, .. } = request;
    core.record_credit(at(WINDOW_MS + 2), &CreditGrant { service, number, amount: 0.0 });
    assert_eq!(spend(&mut core, WINDOW_MS + 3), RetryVerdict::Lacking);
    let due = core.due_credit_requests(at(WINDOW_MS + 3), &[1]);
    assert_eq!(due, DueCredits { requests: Vec::new(), is_exhausted: true }, "it had none");
    assert_eq!(spend(&mut core, WINDOW_MS + 4), RetryVerdict::Refused);
}

/// Guards against a busy loop of a box whose request is on its way: nothing is due meanwhile, and no retry is refused for it.
#[test]
fn nothing_is_due_while_a_peer_is_asked() {
    let (mut core, _) = borrower();
    assert_eq!(core.due_credit_requests(at(WINDOW_MS + 1), &[1, 2]), DueCredits::default());
    assert_eq!(spend(&mut core, WINDOW_MS + 2), RetryVerdict::Lacking);
    let due = core.due_credit_requests(at(WINDOW_MS + 50), &[1, 2]);
    assert_eq!(due.requests.first().map(|(peer, _)| *peer), Some(2), "the first does not reply");
}

/// Guards against a box that never asks its only peer again because one reply was lost.
#[test]
fn peer_whose_reply_was_lost_is_asked_again() {
    let (mut core, _) = borrower();
    let later = WINDOW_MS + 2_000;
    assert_eq!(spend(&mut core, later), RetryVerdict::Lacking);
    let due = core.due_credit_requests(at(later), &[1]);
    assert_eq!(due.requests.first().map(|(peer, _)| *peer), Some(1));
}

/// Guards against even parts of a bound that grow while boxes are cut off from each other: they know fewer boxes.
#[test]
fn boxes_that_are_cut_off_still_count_for_even_parts() {
    const MINUTE_MS: u64 = 60_000;
    let mut core = box_with_slack();
    core.set_boxes(35, 105);
    core.set_boxes(1, 1);
    assert_eq!(core.fleet_size(at(MINUTE_MS)), 105);
    assert_eq!(core.fleet_size(at(31 * MINUTE_MS)), 105, "known in the period before");
    assert_eq!(core.fleet_size(at(62 * MINUTE_MS)), 1, "a fleet that became smaller");
}
