//! Handling of requests: attempts, outcomes, limits, deadlines and changes of the targets.

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
fn conclusion_states_whether_the_request_may_have_run() {
    let cases = [
        OutcomeCase {
            name: "answered",
            repeatable: true,
            outcomes: &[GOOD],
            attempts: 1,
            expected: "answered",
        },
        OutcomeCase {
            name: "error is retried at another target",
            repeatable: true,
            outcomes: &[ERROR, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "error of a non-repeatable request is forwarded",
            repeatable: false,
            outcomes: &[ERROR],
            attempts: 1,
            expected: "answered",
        },
        OutcomeCase {
            name: "broken attempt of a non-repeatable request",
            repeatable: false,
            outcomes: &[AttemptOutcome::Broken],
            attempts: 1,
            expected: "unknown",
        },
        OutcomeCase {
            name: "broken attempt of a repeatable request",
            repeatable: true,
            outcomes: &[AttemptOutcome::Broken, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "unsent non-repeatable request is retried",
            repeatable: false,
            outcomes: &[AttemptOutcome::NotSent, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "shed non-repeatable request is retried",
            repeatable: false,
            outcomes: &[SHED, GOOD],
            attempts: 2,
            expected: "answered",
        },
        OutcomeCase {
            name: "no attempt was run",
            repeatable: false,
            outcomes: &[AttemptOutcome::NotSent, SHED, AttemptOutcome::NotSent],
            attempts: 3,
            expected: "not run",
        },
        OutcomeCase {
            name: "one of several attempts may have run",
            repeatable: true,
            outcomes: &[AttemptOutcome::Broken, SHED, AttemptOutcome::NotSent],
            attempts: 3,
            expected: "unknown",
        },
        OutcomeCase {
            name: "unsent attempt, then a broken one",
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
        let conclusion = match concluded(&last) {
            Some(Conclusion::Answered) => "answered",
            Some(Conclusion::NotRun { .. }) => "not run",
            Some(Conclusion::Unknown { .. }) => "unknown",
            None => "nothing",
        };
        assert_eq!((conclusion, tried.len()), (case.expected, case.attempts), "case {}", case.name);
        assert_eq!(test.core.requests_held(), 0, "case {}", case.name);
    }
}

#[test]
fn non_repeatable_request_gets_a_fresh_connection() {
    let mut test = TestBox::new(service(5, 0.6));
    let plan = RequestPlan { repeatable: false, ..test.plan() };
    let (_, commands) = test.arrive(plan);
    let fresh =
        |command: &BoxCommand| matches!(command, BoxCommand::Send { fresh_connection: true, .. });
    assert!(commands.iter().any(fresh), "{commands:?}");
}

#[test]
fn open_request_is_concluded_at_its_deadline() {
    let mut test = TestBox::new(service(5, 0.6));
    let plan = test.plan();
    test.send(plan);
    assert_eq!(concluded(&test.pass(Duration::from_millis(1990))), None);
    let commands = test.pass(Duration::from_millis(20));
    assert!(matches!(concluded(&commands), Some(Conclusion::Unknown { .. })), "{commands:?}");
}

#[test]
fn request_that_would_miss_its_deadline_in_the_queue_is_refused_on_arrival() {
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
fn retry_times_of_refused_callers_are_spread() {
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
fn queued_requests_are_sent_in_order_of_priority() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    let first = test.send(plan);
    let (low, _) = test.arrive(RequestPlan { caller: 2, ..test.plan() });
    let (high, _) = test.arrive(RequestPlan { caller: 3, priority: 9, ..test.plan() });
    let next = sent(&test.end(&first, good())).expect("the first queued request is sent");
    assert_eq!(next.request, high);
    let next = sent(&test.end(&next, good())).expect("the second queued request is sent");
    assert_eq!(next.request, low);
}

#[test]
fn busy_caller_does_not_exclude_others_under_overload() {
    let mut setup = service(5, 0.6);
    (setup.limits.open, setup.limits.queued) = (10, 10);
    let mut test = TestBox::new(setup);
    let mut admitted = [0usize; 2];
    for round in 0..200usize {
        // The first caller sends nine times as many requests.
        let caller = usize::from(round % 10 == 9);
        let (_, commands) = test.arrive(RequestPlan { caller: caller as u64, ..test.plan() });
        if concluded(&commands).is_none() {
            admitted[caller] += 1;
        }
    }
    assert!(admitted[1] >= 5, "{admitted:?}");
    assert!(admitted[0] + admitted[1] <= 20, "{admitted:?}");
}

#[test]
fn cancelled_request_releases_its_slot() {
    let mut setup = service(5, 0.6);
    setup.limits.open = 1;
    let mut test = TestBox::new(setup);
    let plan = test.plan();
    let first = test.send(plan);
    let plan = test.plan();
    let (second, _) = test.arrive(plan);
    let commands = test.event(BoxEvent::RequestCancelled(first.request));
    assert_eq!(sent(&commands).expect("the queued request is sent").request, second);
    test.event(BoxEvent::RequestCancelled(second));
    assert_eq!(test.core.requests_held(), 0);
}

#[test]
fn draining_target_gets_no_requests_and_is_announced() {
    let mut test = TestBox::new(service(4, 0.6));
    let draining = AttemptOutcome::Shed(TargetReport { state: ReportedState::Draining, ..REPORT });
    let plan = test.plan();
    let attempt = test.send(plan);
    let drained = attempt.target.clone();
    let commands = test.end(&attempt, draining);
    let key = TargetKey::of(&drained);
    let announced = BoxCommand::AnnounceDraining { service: SERVICE.into(), target: key };
    assert!(commands.contains(&announced), "{commands:?}");
    test.run(200, Duration::from_millis(10), |target| {
        assert_ne!(*target, drained);
        good()
    });
    // When it answers a probe as ready, it is warmed up.
    let probes = test.pass(Duration::from_secs(5));
    assert!(
        probes.iter().any(
            |command| matches!(command, BoxCommand::Probe { target, .. } if *target == drained)
        )
    );
    let ready = Some(ReportedState::Ready);
    test.event(BoxEvent::ProbeEnded { service: SERVICE.into(), target: key, state: ready });
    assert_eq!(test.state(&drained), HealthState::Warming);
}

#[test]
fn manual_drain_lasts_until_it_is_removed() {
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
fn removal_of_a_service_refuses_its_queued_requests() {
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
fn shedding_target_is_not_ejected() {
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
fn replaced_target_has_no_ejection_history() {
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
