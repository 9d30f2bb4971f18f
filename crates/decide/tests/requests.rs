//! What becomes of a request: attempts, outcomes, limits, deadlines.

mod fleet;

use std::time::Duration;

use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxEvent, Conclusion, HealthState, ManualOverride, OverrideKind,
    RefuseReason, ReportedState, RequestPlan, TargetKey, TargetReport,
};

use crate::fleet::{SERVICE, TestBox, address, concluded, failed, good, sent, service};

struct OutcomeCase {
    name: &'static str,
    repeatable: bool,
    outcomes: &'static [AttemptOutcome],
    attempts: usize,
    expected: &'static str,
}

fn shed() -> AttemptOutcome {
    AttemptOutcome::Shed(TargetReport::default())
}

const GOOD: AttemptOutcome = AttemptOutcome::Answered(REPORT);
const ERROR: AttemptOutcome = AttemptOutcome::AnsweredError(REPORT);
const SHED: AttemptOutcome = AttemptOutcome::Shed(REPORT);
const REPORT: TargetReport =
    TargetReport { load: None, state: ReportedState::Ready, incarnation: None };

#[test]
fn outcomes_are_told_as_they_are_known() {
    let cases = [
        OutcomeCase {
            name: "answered",
            repeatable: true,
            outcomes: &[GOOD],
            attempts: 1,
            expected: "answered",
        },
        OutcomeCase {
            name: "once more elsewhere",
            repeatable: true,
            outcomes: &[ERROR, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "an error that may not be repeated is the answer",
            repeatable: false,
            outcomes: &[ERROR],
            attempts: 1,
            expected: "answered",
        },
        OutcomeCase {
            name: "broken and not repeatable",
            repeatable: false,
            outcomes: &[AttemptOutcome::Broken],
            attempts: 1,
            expected: "unknown",
        },
        OutcomeCase {
            name: "broken and repeatable",
            repeatable: true,
            outcomes: &[AttemptOutcome::Broken, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "never sent goes elsewhere though not repeatable",
            repeatable: false,
            outcomes: &[AttemptOutcome::NotSent, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "shed goes elsewhere though not repeatable",
            repeatable: false,
            outcomes: &[SHED, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "never sent anywhere",
            repeatable: false,
            outcomes: &[AttemptOutcome::NotSent, SHED, AttemptOutcome::NotSent],
            attempts: 3,
            expected: "not run",
        },
        OutcomeCase {
            name: "one may have run",
            repeatable: true,
            outcomes: &[AttemptOutcome::Broken, SHED, AttemptOutcome::NotSent],
            attempts: 3,
            expected: "unknown",
        },
        OutcomeCase {
            name: "never sent, then broken",
            repeatable: false,
            outcomes: &[AttemptOutcome::NotSent, AttemptOutcome::Broken],
            attempts: 2,
            expected: "unknown",
        },
    ];
    for case in cases {
        let mut test = TestBox::new(service(5, 0.6));
        let plan = RequestPlan { repeatable: case.repeatable, ..test.plan() };
        let mut attempt = test.send(plan);
        let mut tried = vec![attempt.target.clone()];
        let mut last = Vec::new();
        for outcome in case.outcomes {
            last = test.end(&attempt, *outcome);
            if let Some(next) = sent(&last) {
                assert!(!tried.contains(&next.target), "case {}: {tried:?}", case.name);
                tried.push(next.target.clone());
                attempt = next;
            }
        }
        let told = match concluded(&last) {
            Some(Conclusion::Answered) => "answered",
            Some(Conclusion::NotRun { .. }) => "not run",
            Some(Conclusion::Unknown { .. }) => "unknown",
            None => "nothing",
        };
        assert_eq!((told, tried.len()), (case.expected, case.attempts), "case {}", case.name);
        assert_eq!(test.core.requests_held(), 0, "case {}", case.name);
    }
}

#[test]
fn a_request_that_may_not_be_repeated_gets_a_fresh_connection() {
    let mut test = TestBox::new(service(5, 0.6));
    let plan = RequestPlan { repeatable: false, ..test.plan() };
    let (_, commands) = test.arrive(plan);
    let fresh =
        |command: &BoxCommand| matches!(command, BoxCommand::Send { fresh_connection: true, .. });
    assert!(commands.iter().any(fresh), "{commands:?}");
}

#[test]
fn the_deadline_ends_a_request_at_once() {
    let mut test = TestBox::new(service(5, 0.6));
    let plan = test.plan();
    test.send(plan);
    assert_eq!(concluded(&test.pass(Duration::from_millis(1990))), None);
    let commands = test.pass(Duration::from_millis(20));
    assert!(matches!(concluded(&commands), Some(Conclusion::Unknown { .. })), "{commands:?}");
}

#[test]
fn a_queued_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    test.run(60, Duration::from_millis(100), |_| good());
    let plan = test.plan();
    test.send(plan);
    let plan = RequestPlan { deadline: test.now + Duration::from_millis(150), ..test.plan() };
    let (_, commands) = test.arrive(plan);
    let Some(Conclusion::NotRun { reason, retry_after }) = concluded(&commands) else {
        panic!("{commands:?}");
    };
    assert_eq!(reason, RefuseReason::Deadline);
    assert!(retry_after >= Duration::from_secs(1));
}

#[test]
fn refused_callers_are_told_different_times() {
    let mut setup = service(5, 0.6);
    (setup.limits.open, setup.limits.queued) = (1, 0);
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    test.send(plan);
    let mut times: Vec<Duration> = (0..50)
        .filter_map(|_| {
            let plan = test.plan();
            match concluded(&test.arrive(plan).1) {
                Some(Conclusion::NotRun { retry_after, .. }) => Some(retry_after),
                _ => None,
            }
        })
        .collect();
    assert_eq!(times.len(), 50);
    times.sort();
    assert!(times[49] - times[0] > Duration::from_secs(2), "{times:?}");
}

#[test]
fn a_queued_request_goes_out_by_priority_when_there_is_room() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    let first = test.send(plan);
    let (low, _) = test.arrive(RequestPlan { caller: 2, ..test.plan() });
    let (high, _) = test.arrive(RequestPlan { caller: 3, priority: 9, ..test.plan() });
    let next = sent(&test.end(&first, good())).expect("one goes out");
    assert_eq!(next.request, high);
    let next = sent(&test.end(&next, good())).expect("the other follows");
    assert_eq!(next.request, low);
}

#[test]
fn under_overload_one_caller_does_not_keep_out_the_others() {
    let mut setup = service(5, 0.6);
    (setup.limits.open, setup.limits.queued) = (10, 10);
    let mut test = TestBox::new(setup);
    let mut taken = [0usize; 2];
    for round in 0..200usize {
        // The first caller asks nine times as often.
        let caller = usize::from(round % 10 == 9);
        let (_, commands) = test.arrive(RequestPlan { caller: caller as u64, ..test.plan() });
        if concluded(&commands).is_none() {
            taken[caller] += 1;
        }
    }
    assert!(taken[1] >= 5, "{taken:?}");
    assert!(taken[0] + taken[1] <= 20, "{taken:?}");
}

#[test]
fn a_hang_up_frees_what_the_request_held() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    let first = test.send(plan);
    let plan = test.plan();
    let (second, _) = test.arrive(plan);
    let commands = test.event(BoxEvent::RequestCancelled(first.request));
    assert_eq!(sent(&commands).expect("the next goes out").request, second);
    test.event(BoxEvent::RequestCancelled(second));
    assert_eq!(test.core.requests_held(), 0);
}

#[test]
fn a_target_that_leaves_gets_nothing_and_its_peers_are_told() {
    let mut test = TestBox::new(service(4, 0.6));
    let leaving = AttemptOutcome::Shed(TargetReport { state: ReportedState::Draining, ..REPORT });
    let plan = test.plan();
    let attempt = test.send(plan);
    let gone = attempt.target.clone();
    let commands = test.end(&attempt, leaving);
    let key = TargetKey::of(&gone);
    let told = BoxCommand::AnnounceDraining { service: SERVICE.into(), target: key };
    assert!(commands.contains(&told), "{commands:?}");
    test.run(200, Duration::from_millis(10), |target| {
        assert_ne!(*target, gone);
        good()
    });
    // It comes back by saying so to a probe, and warms up.
    let probes = test.pass(Duration::from_secs(5));
    assert!(
        probes
            .iter()
            .any(|command| matches!(command, BoxCommand::Probe { target, .. } if *target == gone))
    );
    let back = Some(ReportedState::Ready);
    test.event(BoxEvent::ProbeEnded { service: SERVICE.into(), target: key, state: back });
    assert_eq!(test.state(&gone), HealthState::Warming);
}

#[test]
fn a_drain_by_hand_holds_until_it_is_taken_back() {
    let mut test = TestBox::new(service(4, 0.6));
    let target = address(1);
    let drain = ManualOverride { target: target.as_str().into(), kind: OverrideKind::Drain };
    test.event(BoxEvent::OverridesSet { service: SERVICE.into(), overrides: vec![drain] });
    let key = TargetKey::of(&target);
    let state = Some(ReportedState::Ready);
    test.event(BoxEvent::ProbeEnded { service: SERVICE.into(), target: key, state });
    assert_eq!(test.state(&target), HealthState::Draining);
    test.event(BoxEvent::OverridesSet { service: SERVICE.into(), overrides: Vec::new() });
    assert_eq!(test.state(&target), HealthState::Warming);
}

#[test]
fn a_service_that_is_gone_refuses_what_waited() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    test.send(plan);
    let plan = test.plan();
    let (waiting, _) = test.arrive(plan);
    let commands = test.event(BoxEvent::ServiceRemoved(SERVICE.into()));
    assert!(commands.iter().any(|command| matches!(
        command,
        BoxCommand::Conclude { request, conclusion: Conclusion::NotRun { .. } } if *request == waiting
    )));
    let plan = test.plan();
    let (_, commands) = test.arrive(plan);
    assert!(matches!(
        concluded(&commands),
        Some(Conclusion::NotRun { reason: RefuseReason::UnknownService, .. })
    ));
}

#[test]
fn shedding_is_no_sickness() {
    let mut test = TestBox::new(service(5, 0.6));
    let busy = address(2);
    test.run(
        400,
        Duration::from_millis(10),
        |target| if **target == *busy { shed() } else { good() },
    );
    assert_eq!(test.state(&busy), HealthState::Healthy);
}

#[test]
fn a_replaced_target_starts_anew() {
    let mut test = TestBox::new(service(5, 0.6));
    let bad = address(2);
    test.run(
        300,
        Duration::from_millis(10),
        |target| if **target == *bad { failed() } else { good() },
    );
    assert_ne!(test.state(&bad), HealthState::Healthy);
    let report = |number| TargetReport { incarnation: Some(number), ..REPORT };
    test.run(400, Duration::from_millis(60), |_| AttemptOutcome::Answered(report(1)));
    test.run(20, Duration::from_millis(10), |target| {
        AttemptOutcome::Answered(report(if **target == *bad { 2 } else { 1 }))
    });
    let service = test.core.service(SERVICE).expect("configured");
    let target = service.targets().iter().find(|known| *known.setup.address == *bad);
    assert_eq!(target.expect("known").health.flaps(), 0);
}
