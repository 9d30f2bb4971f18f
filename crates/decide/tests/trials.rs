//! Trials: after which idle time a target is tried again, and by which requests.

mod steering;

use std::collections::BTreeMap;

use steering::{
    PICKS, SERVICE, at, core, core_with_healthy_targets, core_with_seed, pick_counts,
    report_failure, report_success, request, target,
};
use wingbridge_decide::steer::{PeerSample, SteerCore};
use wingbridge_decide::{TargetKey, TimePoint};

/// Guards against all boxes trying the same targets. Of thousands of targets most are due at any moment. When
/// each box tried the first of them by key, the busiest target got 46 times the mean number of requests (987
/// boxes, 5,987 targets, one request in 5.6 s each).
#[test]
fn boxes_with_many_targets_due_try_different_ones() {
    const TARGETS: usize = 600;
    const BOXES: usize = 60;
    let start = at(0);
    let ids: Vec<String> = (0..TARGETS).map(|number| format!("t{number}")).collect();
    let mut tried: BTreeMap<TargetKey, usize> = BTreeMap::new();
    for number in 0..BOXES {
        let mut core = core_with_seed(number as u64);
        core.set_targets(start, ids.iter().map(|id| target(id, "near")).collect());
        core.set_boxes(BOXES, BOXES);
        // The service is in use, so that idle targets are due.
        report_success(&mut core, at(1_000), "t0", 1);
        let picked = core.pick(at(9_000), &request(false, &[])).expect("a target is chosen");
        *tried.entry(picked.key).or_default() += 1;
    }
    let max = tried.values().max().copied().unwrap_or_default();
    assert!(max <= 4, "{max} of {BOXES} boxes tried the same of {TARGETS} targets");
}

struct TrialCase {
    name: &'static str,
    /// Whether many requests of the service fail.
    many_fail: bool,
    /// Whether the target's last attempt failed.
    failed: bool,
    /// Milliseconds since the last attempt.
    idle: u64,
    /// Whether some of the picks must be trials of the target.
    tried: bool,
}

const TRIAL_CASES: &[TrialCase] = &[
    TrialCase { name: "just failed", many_fail: true, failed: true, idle: 500, tried: false },
    TrialCase { name: "failed before", many_fail: true, failed: true, idle: 2_500, tried: false },
    TrialCase { name: "within 4 s", many_fail: true, failed: true, idle: 3_200, tried: true },
    TrialCase { name: "idle in 2 s", many_fail: true, failed: false, idle: 1_300, tried: true },
    TrialCase {
        name: "few fail, failed before",
        many_fail: false,
        failed: true,
        idle: 2_900,
        tried: false,
    },
    TrialCase {
        name: "few fail, within 4 s",
        many_fail: false,
        failed: true,
        idle: 3_300,
        tried: true,
    },
    TrialCase {
        name: "few fail, idle in 2 s",
        many_fail: false,
        failed: false,
        idle: 1_900,
        tried: false,
    },
    TrialCase { name: "few fail, idle", many_fail: false, failed: false, idle: 3_100, tried: true },
];

/// Reports failures at `now` of more than a tenth of the service's requests, at a remote target.
fn fail_many(core: &mut SteerCore, now: TimePoint) {
    fail_many_at(core, now, "elsewhere");
}

fn fail_many_at(core: &mut SteerCore, now: TimePoint, id: &str) {
    for _ in 0..10 {
        report_failure(core, now, id);
    }
}

/// Guards against too few targets in use: with half of the targets in failure episodes, avoiding them without
/// trials broke the required share of targets in use over any two seconds, on days that end with a power cut.
#[test]
fn idle_targets_are_tried_in_time() {
    for case in TRIAL_CASES {
        let start = 20_000;
        let mut core = core_with_healthy_targets(
            &[("a", "near"), ("b", "near"), ("elsewhere", "far")],
            at(start),
        );
        for _ in 0..3 {
            if case.failed {
                report_failure(&mut core, at(start), "a")
            } else {
                report_success(&mut core, at(start), "a", 3)
            }
        }
        let now = at(start + case.idle);
        report_success(&mut core, now, "b", 3);
        if case.many_fail {
            fail_many(&mut core, now);
        }
        core.record_request(now, SERVICE);
        let picks =
            (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target is chosen"));
        let tried = picks.filter(|pick| pick.trial && *pick.id == *"a").count();
        assert_eq!(tried > 0, case.tried, "{}: {tried} trials", case.name);
    }
}

struct UnservedCase {
    name: &'static str,
    /// Requests that the box itself refused, of twenty.
    refused: usize,
    /// Whether an order may be a trial of a target that got nothing for 1.5 s.
    tried: bool,
}

const UNSERVED_CASES: &[UnservedCase] = &[
    UnservedCase { name: "none refused", refused: 0, tried: false },
    UnservedCase { name: "a twentieth refused", refused: 1, tried: false },
    UnservedCase { name: "a sixth refused", refused: 3, tried: true },
    UnservedCase { name: "two fifths refused", refused: 8, tried: true },
];

/// Guards against idle targets while boxes refuse requests: a customer beyond its quota made more than a tenth
/// of the requests unserved, and 11 of 36 healthy targets got nothing for 2 s, because refusals by the box were
/// not counted.
#[test]
fn targets_are_tried_in_time_while_the_box_refuses_requests() {
    for case in UNSERVED_CASES {
        let start = 20_000;
        let mut core = core_with_healthy_targets(&[("a", "near"), ("b", "near")], at(start));
        let now = at(start + 1_500);
        report_success(&mut core, now, "b", 3);
        for number in 0..20 {
            core.record_request(now, SERVICE);
            core.record_result(now, SERVICE, number >= case.refused);
        }
        let picks =
            (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target is chosen"));
        let tried = picks.filter(|pick| pick.trial && *pick.id == *"a").count();
        assert_eq!(tried > 0, case.tried, "{}: {tried} trials", case.name);
    }
}

/// Returns how many of the orders that arrive at `now` would be trials of `id`.
fn trials_of(core: &mut SteerCore, now: TimePoint, id: &str) -> usize {
    core.record_request(now, SERVICE);
    let picks =
        (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target is chosen"));
    picks.filter(|pick| pick.trial && *pick.id == *id).count()
}

/// Guards against a target that gets one request when it has recovered and then none for 3 s.
#[test]
fn recovered_target_is_tried_again_within_two_seconds() {
    let start = 20_000;
    for (idle, is_tried) in [(1_500, false), (1_800, true)] {
        let mut core = core_with_healthy_targets(&[("a", "near"), ("b", "near")], at(start));
        report_failure(&mut core, at(start), "a");
        report_success(&mut core, at(start + 3_300), "a", 1);
        let now = at(start + 3_300 + idle);
        report_success(&mut core, now, "b", 3);
        let tried = trials_of(&mut core, now, "a");
        assert_eq!(tried > 0, is_tried, "after {idle} ms: {tried} trials");
    }
}

/// Guards against a trial that comes late by the time for which the last one stalled: the target had recovered meanwhile.
#[test]
fn stalled_attempt_of_a_peer_does_not_delay_the_next_trial() {
    let start = 20_000;
    let mut core = core_with_healthy_targets(&[("a", "near"), ("b", "near")], at(start));
    let open = |overdue, open| PeerSample { overdue, open: Some(open), ..PeerSample::default() };
    let reports = [(0, open(0, 1)), (600, open(1, 1)), (1_500, open(0, 0))];
    for (time, report) in &reports {
        core.merge_peer_sample(at(start + time), 1, TargetKey::of("a"), report);
    }
    for (idle, is_tried) in [(2_900, false), (3_400, true)] {
        let now = at(start + idle);
        report_success(&mut core, now, "b", 3);
        let tried = trials_of(&mut core, now, "a");
        assert_eq!(tried > 0, is_tried, "after {idle} ms: {tried} trials");
    }
}

struct SuspectCase {
    name: &'static str,
    /// Number of targets that failed, of ten.
    failed: usize,
    idle: u64,
    tried: bool,
}

const SUSPECT_CASES: &[SuspectCase] = &[
    SuspectCase { name: "one, before", failed: 1, idle: 3000, tried: false },
    SuspectCase { name: "one, in time", failed: 1, idle: 3600, tried: true },
    SuspectCase { name: "two, in time", failed: 2, idle: 3600, tried: true },
    SuspectCase { name: "three, in time", failed: 3, idle: 3600, tried: true },
];

/// Guards against suspects being idle for 8 s while they are no more than a fifth of a service. That broke the
/// required share of targets in use, which applies to undisturbed targets only. There may be few of these: 4 of
/// 10 got no requests, of 53 targets. So all suspects are tried while many requests fail, however few they are.
#[test]
fn suspects_are_tried_in_time_however_few_they_are() {
    let ids: Vec<String> = (0..10).map(|number| format!("t{number}")).collect();
    let near = ids.iter().map(|id| (id.as_str(), "near"));
    let targets: Vec<(&str, &str)> = near.chain([("elsewhere", "far")]).collect();
    for case in SUSPECT_CASES {
        let start = 20_000;
        let mut core = core_with_healthy_targets(&targets, at(start));
        let (failed, healthy) = ids.split_at(case.failed);
        failed.iter().for_each(|id| report_failure(&mut core, at(start), id));
        let now = at(start + case.idle);
        healthy.iter().for_each(|id| report_success(&mut core, now, id, 3));
        fail_many(&mut core, now);
        core.record_request(now, SERVICE);
        let picks =
            (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target is chosen"));
        let tried = picks.filter(|pick| pick.trial).count();
        assert_eq!(tried > 0, case.tried, "{}: {tried} trials", case.name);
    }
}

#[test]
fn second_attempt_is_never_a_trial() {
    let now = at(40_000);
    let mut core =
        core_with_healthy_targets(&[("a", "near"), ("b", "near"), ("c", "near")], at(20_000));
    report_success(&mut core, now, "b", 6);
    core.record_request(now, SERVICE);
    let tried = [TargetKey::of("c")];
    for _ in 0..PICKS {
        let pick = core.pick(now, &request(true, &tried)).expect("a target is chosen");
        assert!(!pick.trial, "{pick:?}");
    }
}

#[test]
fn target_that_joins_gets_requests_soon() {
    let start = at(20_000);
    let mut core = core_with_healthy_targets(&[("a", "near"), ("b", "near")], start);
    let all = ["a", "b", "new"].iter().map(|id| target(id, "near")).collect();
    core.set_targets(start, all);
    let now = at(21_100);
    report_success(&mut core, now, "a", 3);
    report_success(&mut core, now, "b", 3);
    core.record_request(now, SERVICE);
    let counts = pick_counts(&mut core, now, &["a", "b", "new"], false);
    assert!(counts[2] > 0, "{counts:?}");
}

/// Guards against trials as in an outage on days without one. Boxes of other data centres report only
/// failures. When these counted beside the successes of the own data centre, the failure share seemed high, and
/// half of the orders that were lost on such a day were trials.
#[test]
fn failures_reported_by_remote_boxes_do_not_raise_the_failure_share() {
    let start = 20_000;
    let mut core =
        core_with_healthy_targets(&[("a", "near"), ("b", "near"), ("elsewhere", "far")], at(start));
    let now = at(start + 1_500);
    for _ in 0..10 {
        report_success(&mut core, now, "b", 3);
        let reported = PeerSample { bad: 1, ..PeerSample::default() };
        core.merge_peer_sample(now, 2, TargetKey::of("elsewhere"), &reported);
    }
    core.record_request(now, SERVICE);
    let picks =
        (0..PICKS).map(|_| core.pick(now, &request(false, &[])).expect("a target is chosen"));
    let tried: Vec<_> = picks.filter(|pick| pick.trial).map(|pick| pick.id).collect();
    assert!(tried.is_empty(), "{} trials, of {}", tried.len(), tried[0]);
}

struct StartCase {
    name: &'static str,
    /// Milliseconds since the first attempt at the service, or `None` if there was none.
    in_use: Option<u64>,
    repeatable: bool,
    tried: bool,
}

const START_CASES: &[StartCase] = &[
    StartCase { name: "first order", in_use: None, repeatable: false, tried: false },
    StartCase { name: "first lookup", in_use: None, repeatable: true, tried: false },
    StartCase {
        name: "order soon after the first",
        in_use: Some(900),
        repeatable: false,
        tried: false,
    },
    StartCase { name: "order, few fail", in_use: Some(1_100), repeatable: false, tried: false },
    StartCase { name: "lookup, few fail", in_use: Some(1_100), repeatable: true, tried: true },
    StartCase { name: "order, later", in_use: Some(3_100), repeatable: false, tried: true },
];

/// Guards against trials of all targets when load begins some seconds after the start of the boxes. No target
/// had an attempt since the start, so that each counted as idle: 673 of the 857 orders of the first 2 s were
/// trials, and 169 of these were lost. While few requests fail, requests that can be sent again make the trials.
#[test]
fn targets_of_an_idle_service_are_not_all_tried_at_once() {
    for case in START_CASES {
        let start = 10_000;
        let mut core = core();
        let ids = ["a", "b", "c", "d"];
        core.set_targets(at(0), ids.iter().map(|id| target(id, "near")).collect());
        core.set_boxes(10, 30);
        let now = at(start + case.in_use.unwrap_or_default());
        if case.in_use.is_some() {
            report_success(&mut core, at(start), "a", 3);
            report_success(&mut core, now, "a", 3);
        }
        core.record_request(now, SERVICE);
        let request = request(case.repeatable, &[]);
        let picks = (0..PICKS).map(|_| core.pick(now, &request).expect("a target is chosen"));
        let tried = picks.filter(|pick| pick.trial).count();
        assert_eq!(tried > 0, case.tried, "{}: {tried} trials", case.name);
    }
}

struct RemoteCase {
    name: &'static str,
    many_fail: bool,
    repeatable: bool,
    idle: u64,
    tried: bool,
}

const REMOTE_CASES: &[RemoteCase] = &[
    RemoteCase {
        name: "order, few fail",
        many_fail: false,
        repeatable: false,
        idle: 19_000,
        tried: false,
    },
    RemoteCase {
        name: "lookup, few fail",
        many_fail: false,
        repeatable: true,
        idle: 19_000,
        tried: false,
    },
    RemoteCase {
        name: "order, many fail",
        many_fail: true,
        repeatable: false,
        idle: 6_500,
        tried: true,
    },
    RemoteCase {
        name: "lookup, many fail",
        many_fail: true,
        repeatable: true,
        idle: 6_500,
        tried: true,
    },
];

/// Guards against trials of remote targets that are in use. Boxes receive reports of hardly any success in other
/// data centres, so that each target there seems idle to them: from 18 s of load on a seventh of all orders
/// became trials, half as many again as before.
#[test]
fn remote_targets_are_not_tried_while_few_requests_fail() {
    for case in REMOTE_CASES {
        let start = 20_000;
        let mut core = core_with_healthy_targets(&[("a", "near"), ("there", "far")], at(start));
        let now = at(start + case.idle);
        for second in 0..=case.idle / 1000 {
            report_success(&mut core, at(start + second * 1000), "a", 3);
        }
        report_success(&mut core, now, "a", 3);
        if case.many_fail {
            fail_many_at(&mut core, now, "a");
            report_success(&mut core, now, "a", 3);
        }
        core.record_request(now, SERVICE);
        let request = request(case.repeatable, &[]);
        let picks = (0..PICKS).map(|_| core.pick(now, &request).expect("a target is chosen"));
        let tried = picks.filter(|pick| pick.trial && *pick.id == *"there").count();
        assert_eq!(tried > 0, case.tried, "{}: {tried} trials", case.name);
    }
}
