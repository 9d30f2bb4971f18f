//! Property tests of the decision core: the capacity floor, the retry budget and the conclusion of every request.

mod fleet;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use wingbridge_decide::floor::{EjectionRank, GuardedTarget, floor_slots, guard_floor};
use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxEvent, HealthState, ManualOverride, Name, OverrideKind,
    ReportedState, RequestId, RequestPlan, TargetKey, TargetReport, VerdictKind,
};

use crate::fleet::{SERVICE, TestBox, address, convicted, good, sent, service};

const TARGETS: usize = 6;

/// An event of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    Arrive { repeatable: bool },
    End { which: usize, outcome: AttemptOutcome },
    Cancel { which: usize },
    Convict { target: usize, stamp: u64 },
    Acquit { target: usize },
    Drain { target: usize },
    Restore { target: usize },
    Override { overrides: Vec<(usize, bool)> },
    Resize { targets: usize },
    Wait { millis: u64 },
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    let state = prop_oneof![
        8 => Just(ReportedState::Ready),
        1 => Just(ReportedState::Cold),
        1 => Just(ReportedState::Draining),
    ];
    let report = (state, 0u64..3).prop_map(|(state, number)| TargetReport {
        load: Some(0.5),
        state,
        incarnation: (number > 0).then_some(number),
    });
    (report, 0..5).prop_map(|(report, kind)| match kind {
        0 => AttemptOutcome::Answered(report),
        1 => AttemptOutcome::AnsweredError(report),
        2 => AttemptOutcome::Shed(report),
        3 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Broken,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let overrides = prop::collection::vec((0..TARGETS, any::<bool>()), 0..4);
    prop_oneof![
        6 => any::<bool>().prop_map(|repeatable| Step::Arrive { repeatable }),
        6 => (0usize..8, outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0usize..8).prop_map(|which| Step::Cancel { which }),
        3 => (0..TARGETS, 0u64..100).prop_map(|(target, stamp)| Step::Convict { target, stamp }),
        1 => (0..TARGETS).prop_map(|target| Step::Acquit { target }),
        1 => (0..TARGETS).prop_map(|target| Step::Drain { target }),
        1 => (0..TARGETS).prop_map(|target| Step::Restore { target }),
        1 => overrides.prop_map(|overrides| Step::Override { overrides }),
        1 => (1..=TARGETS).prop_map(|targets| Step::Resize { targets }),
        4 => (1u64..20_000).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// The open attempts, and the number of conclusions of each request.
#[derive(Default)]
struct RequestLog {
    open: Vec<fleet::SentAttempt>,
    arrived: HashSet<RequestId>,
    concluded: HashMap<RequestId, usize>,
    attempts: usize,
    /// Targets of the attempts made by the last step.
    sent_now: Vec<Name>,
}

impl RequestLog {
    fn record(&mut self, commands: &[BoxCommand]) {
        for command in commands {
            match command {
                BoxCommand::Send { request, attempt, target, .. } => {
                    self.attempts += 1;
                    self.sent_now.push(target.clone());
                    self.open.retain(|open| open.request != *request);
                    let target = target.clone();
                    self.open.push(fleet::SentAttempt {
                        request: *request,
                        attempt: *attempt,
                        target,
                    });
                }
                BoxCommand::Conclude { request, .. } => {
                    *self.concluded.entry(*request).or_default() += 1;
                    self.open.retain(|open| open.request != *request);
                }
                _ => {}
            }
        }
    }
}

fn apply(test: &mut TestBox, log: &mut RequestLog, step: Step) {
    let commands = match step {
        Step::Arrive { repeatable } => {
            let (request, commands) = test.arrive(RequestPlan { repeatable, ..test.plan() });
            log.arrived.insert(request);
            commands
        }
        Step::End { which, outcome } => match log.open.get(which).cloned() {
            Some(attempt) => {
                log.open.remove(which);
                test.end(&attempt, outcome)
            }
            None => Vec::new(),
        },
        Step::Cancel { which } => match log.open.get(which).cloned() {
            Some(attempt) => {
                log.open.remove(which);
                log.arrived.remove(&attempt.request);
                test.event(BoxEvent::RequestCancelled(attempt.request))
            }
            None => Vec::new(),
        },
        Step::Convict { target, stamp } => {
            test.event(BoxEvent::VerdictReceived(convicted(&address(target), stamp)))
        }
        Step::Acquit { target } => {
            let mut verdict = convicted(&address(target), 0);
            verdict.kind = VerdictKind::Acquitted;
            test.event(BoxEvent::VerdictReceived(verdict))
        }
        Step::Drain { target } => {
            let target = TargetKey::of(&address(target));
            test.event(BoxEvent::DrainingReceived { service: SERVICE.into(), target })
        }
        Step::Restore { target } => {
            let target = TargetKey::of(&address(target));
            let state = Some(ReportedState::Ready);
            test.event(BoxEvent::ProbeEnded { service: SERVICE.into(), target, state })
        }
        Step::Override { overrides } => {
            let manual_override = |(target, drain): (usize, bool)| ManualOverride {
                target: address(target).as_str().into(),
                kind: if drain { OverrideKind::Drain } else { OverrideKind::Eject },
            };
            let overrides = overrides.into_iter().map(manual_override).collect();
            test.event(BoxEvent::OverridesSet { service: SERVICE.into(), overrides })
        }
        Step::Resize { targets } => test.event(BoxEvent::ServiceConfigured(service(targets, 0.6))),
        Step::Wait { millis } => test.pass(Duration::from_millis(millis)),
    };
    log.record(&commands);
}

/// Returns the slots that would be in service without ejections, those that are, and the floor.
fn in_service(test: &TestBox) -> (u32, u32, u32) {
    let service = test.core.service(SERVICE).expect("configured");
    let slots = |is_included: &dyn Fn(&wingbridge_decide::service::TargetState) -> bool| -> u32 {
        let targets = service.targets().iter().filter(|target| is_included(target));
        targets.map(|target| target.setup.slots).sum()
    };
    let without = slots(&|target| target.health.counts_toward_floor());
    let with = slots(&|target| target.health.counts_toward_floor() && !target.ejection_enforced);
    (without, with, floor_slots(service.setup().total_slots(), 0.6))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against ejections, by evidence, by other boxes or by manual overrides, that take the slots in service
    /// below the floor, and against requests that are concluded twice, never, or not removed.
    #[test]
    fn floor_holds_and_every_request_is_concluded_once(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut test = TestBox::new(service(TARGETS, 0.6));
        let mut log = RequestLog::default();
        for step in steps {
            apply(&mut test, &mut log, step);
            let (without, with, floor) = in_service(&test);
            prop_assert!(with >= floor.min(without), "{with} of {without} in service, floor {floor}");
            for target in log.sent_now.drain(..) {
                prop_assert_ne!(test.state(&target), HealthState::Draining);
            }
        }
        log.record(&test.pass(Duration::from_secs(5)));
        prop_assert_eq!(test.core.requests_held(), 0);
        for request in &log.arrived {
            prop_assert_eq!(log.concluded.get(request), Some(&1));
        }
    }

    /// Guards against retries beyond the budget during an outage.
    #[test]
    fn outage_does_not_exceed_the_retry_budget(
        outcomes in prop::collection::vec(outcome(), 50..400),
    ) {
        let mut test = TestBox::new(service(TARGETS, 0.6));
        let mut log = RequestLog::default();
        let mut requests = 0usize;
        for outcome in outcomes {
            if log.open.is_empty() {
                requests += 1;
                let plan = RequestPlan { attempts: 5, ..test.plan() };
                log.record(&test.arrive(plan).1);
            }
            if let Some(attempt) = log.open.pop() {
                log.record(&test.end(&attempt, outcome));
            }
            test.pass(Duration::from_millis(10));
        }
        let budget = requests as f64 * 0.1 + 10.0;
        prop_assert!((log.attempts as f64) <= requests as f64 + budget);
    }

    /// Guards against sending a non-repeatable request again after it may have run.
    #[test]
    fn non_repeatable_request_runs_at_most_once(outcomes in prop::collection::vec(outcome(), 1..8)) {
        let mut test = TestBox::new(service(TARGETS, 0.6));
        let plan = RequestPlan { repeatable: false, attempts: 8, ..test.plan() };
        let mut open = Some(test.send(plan));
        let mut ran = 0;
        for outcome in outcomes {
            let Some(attempt) = open.take() else { break };
            ran += usize::from(!matches!(outcome, AttemptOutcome::Shed(_) | AttemptOutcome::NotSent));
            open = sent(&test.end(&attempt, outcome));
            prop_assert!(ran == 0 || open.is_none());
            test.pass(Duration::from_millis(10));
        }
    }

    /// Guards against boxes that exclude different targets because they received the same verdicts in another order.
    #[test]
    fn order_of_verdicts_does_not_change_the_excluded_targets(
        verdicts in prop::collection::vec((0..TARGETS, 1u64..1000), 1..6),
        seed in any::<u64>(),
    ) {
        let mut verdicts: Vec<(usize, u64)> = verdicts;
        verdicts.sort();
        verdicts.dedup_by_key(|(target, _)| *target);
        let excluded_after = |order: &[(usize, u64)]| {
            let mut test = TestBox::new(service(TARGETS, 0.6));
            for (target, stamp) in order {
                test.event(BoxEvent::VerdictReceived(convicted(&address(*target), *stamp)));
            }
            test.excluded_targets()
        };
        let in_order = excluded_after(&verdicts);
        let rotation = (seed as usize) % verdicts.len();
        verdicts.rotate_left(rotation);
        prop_assert_eq!(in_order, excluded_after(&verdicts));
    }

    /// Guards against a floor guard that takes the slots in service below the floor or excludes targets without an
    /// ejection.
    #[test]
    fn floor_guard_keeps_the_floor(
        targets in prop::collection::vec((1u32..5, any::<bool>(), prop::option::of(0u64..9)), 0..12),
        floor in 0u32..30,
    ) {
        let guarded: Vec<GuardedTarget> = targets.iter().enumerate().map(|(key, (slots, counted, stamp))| {
            let wanted = stamp.map(|stamp| EjectionRank { source: 1, stamp, key: key as u64 });
            GuardedTarget { slots: *slots, in_service: *counted, ejection: wanted }
        }).collect();
        let kept_out = guard_floor(&guarded, floor);
        let slots = |keep: &dyn Fn(usize) -> bool| -> u32 {
            let counted = guarded.iter().enumerate().filter(|(_, target)| target.in_service);
            counted.filter(|(index, _)| keep(*index)).map(|(_, target)| target.slots).sum()
        };
        let before = slots(&|_| true);
        let after = slots(&|index| !kept_out[index]);
        prop_assert!(after >= floor.min(before));
        prop_assert!(guarded.iter().zip(&kept_out).all(|(target, out)| !out || target.ejection.is_some()));
    }
}

#[test]
fn targets_beyond_the_floor_stay_in_use_when_all_are_convicted() {
    let mut test = TestBox::new(service(TARGETS, 0.6));
    for target in 0..TARGETS {
        test.event(BoxEvent::VerdictReceived(convicted(&address(target), target as u64)));
    }
    // Two of six targets may be ejected at a floor of 0.6: those convicted first.
    assert_eq!(test.excluded_targets().len(), 2);
    let mut used: HashSet<_> = HashSet::new();
    for _ in 0..100 {
        let plan = test.plan();
        let attempt = test.send(plan);
        used.insert(attempt.target.clone());
        test.end(&attempt, good());
    }
    assert_eq!(used.len(), 4);
}
