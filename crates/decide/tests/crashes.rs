//! Tests of the records of poison requests: which requests are refused, for how long, and how records of
//! several boxes are merged.

use std::time::Duration;

use proptest::prelude::*;
use wingbridge_decide::crashes::{
    CrashLedger, CrashReport, CrashVerdict, REFUSAL_THRESHOLD, REFUSAL_TIME, TargetEnd,
};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};

const POISON: Fingerprint = Fingerprint(7);
const SECOND: Duration = Duration::from_secs(1);

fn start() -> TimePoint {
    TimePoint::default() + Duration::from_secs(100_000)
}

/// An event of a request. Events are one second apart.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The target with this number ends under the request.
    Ends(u64),
    /// This box does not see the outcome of its attempt at the target.
    Unresolved(u64),
    /// The target is found to have ended.
    TargetEnded(u64),
    /// A peer reports that the target ended under the request, with the age of the end in seconds.
    Reported(u64, u64),
    /// A target completes the request.
    Succeeds,
    /// A peer reports a success of the request, with its age in seconds.
    ReportedSuccess(u64),
    /// Nothing happens for this number of seconds.
    Pause(u64),
}

struct LedgerCase {
    name: &'static str,
    steps: &'static [Step],
    ended: usize,
    refused: bool,
}

use Step::{Ends, Pause, Reported, ReportedSuccess, Succeeds, TargetEnded, Unresolved};

const CASES: &[LedgerCase] = &[
    LedgerCase { name: "no event", steps: &[], ended: 0, refused: false },
    LedgerCase { name: "two ended targets", steps: &[Ends(1), Ends(2)], ended: 2, refused: false },
    LedgerCase {
        name: "three ended targets",
        steps: &[Ends(1), Ends(2), Ends(3)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "each target counts once, whoever reports it",
        steps: &[Ends(1), Reported(1, 0), Ends(1), Reported(1, 1), Ends(2)],
        ended: 2,
        refused: false,
    },
    LedgerCase {
        name: "targets seen by this box and reported by peers count together",
        steps: &[Reported(1, 2), Ends(2), Reported(3, 0)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "a success clears the record",
        steps: &[Ends(1), Ends(2), Ends(3), Succeeds],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "a success reported by a peer clears the record",
        steps: &[Ends(1), Ends(2), Ends(3), ReportedSuccess(0)],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "a success does not clear later ends",
        steps: &[Ends(1), Ends(2), Ends(3), ReportedSuccess(60)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "ends that are reported late and precede the success do not count",
        steps: &[Ends(1), Succeeds, Reported(2, 5), Reported(3, 5), Ends(4)],
        ended: 1,
        refused: false,
    },
    LedgerCase {
        name: "an attempt with an unknown outcome counts once its target has ended",
        steps: &[Unresolved(1), Unresolved(2), Unresolved(3), TargetEnded(1), TargetEnded(3)],
        ended: 2,
        refused: false,
    },
    LedgerCase {
        name: "an attempt with an unknown outcome counts once a peer reports the end of its target",
        steps: &[Unresolved(1), Reported(1, 0)],
        ended: 1,
        refused: false,
    },
    LedgerCase {
        name: "an attempt with an unknown outcome does not count if the target ends much later",
        steps: &[Unresolved(1), Pause(11), TargetEnded(1)],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "refused until the refusal time is over",
        steps: &[Ends(1), Ends(2), Ends(3), Pause(590)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "accepted after the refusal time",
        steps: &[Ends(1), Ends(2), Ends(3), Pause(600)],
        ended: 3,
        refused: false,
    },
    LedgerCase {
        name: "one more ended target doubles the refusal time",
        steps: &[Ends(1), Ends(2), Ends(3), Pause(600), Ends(4), Pause(1190)],
        ended: 4,
        refused: true,
    },
];

fn reported_end(target: u64, age: u64) -> CrashReport {
    let end = TargetEnd { target: TargetKey(target), age: SECOND * age as u32 };
    CrashReport { fingerprint: POISON, ends: vec![end], succeeded: None }
}

fn run(steps: &[Step]) -> (CrashLedger, TimePoint) {
    let (mut ledger, mut now) = (CrashLedger::default(), start());
    for step in steps {
        match *step {
            Ends(target) => drop(ledger.record_crash(now, POISON, TargetKey(target))),
            Unresolved(target) => ledger.record_unknown_outcome(now, POISON, TargetKey(target)),
            TargetEnded(target) => drop(ledger.record_target_ended(now, TargetKey(target))),
            Reported(target, age) => drop(ledger.merge_report(now, &reported_end(target, age))),
            Succeeds => drop(ledger.record_success(now, POISON)),
            ReportedSuccess(age) => {
                let succeeded = Some(SECOND * age as u32);
                let report = CrashReport { fingerprint: POISON, ends: Vec::new(), succeeded };
                drop(ledger.merge_report(now, &report));
            }
            Pause(seconds) => now = now + SECOND * seconds as u32,
        }
        now = now + SECOND;
    }
    (ledger, now)
}

#[test]
fn a_request_is_refused_after_three_targets_ended_under_it() {
    for case in CASES {
        let (ledger, now) = run(case.steps);
        let verdict = ledger.verdict(now, POISON);
        assert_eq!(verdict.ended(), case.ended, "{}", case.name);
        let refused = matches!(verdict, CrashVerdict::Refused { .. });
        assert_eq!(refused, case.refused, "{}", case.name);
        assert_eq!(ledger.refused_count(now), usize::from(case.refused), "{}", case.name);
    }
}

#[test]
fn changes_are_reported_once_and_refusals_repeatedly() {
    let (mut ledger, now) = run(&[Ends(1), Ends(2), Ends(3)]);
    let reports = ledger.take_unreported(now);
    assert_eq!((reports.len(), reports[0].ends.len()), (1, 3));
    assert_eq!(ledger.take_unreported(now), []);
    let later = now + REFUSAL_TIME / 2;
    assert_eq!(ledger.reports_to_repeat(later, 10).len(), 1);
    assert_eq!(ledger.reports_to_repeat(now + REFUSAL_TIME * 2, 10), []);
    // A peer that receives the report repeats it in its own heartbeats, and does not relay it at once.
    let mut peer = CrashLedger::default();
    assert_eq!(
        peer.merge_report(now, &reports[0]).len(),
        1,
        "the peer refuses the request as well, which is logged"
    );
    assert_eq!(peer.take_unreported(now), []);
    assert_eq!(peer.reports_to_repeat(now, 10), reports);
}

/// Guards against records without bound, caused by callers that hang up and targets that end under their
/// requests: of 40,000 such requests the last thousand are kept, together with those that are refused.
#[test]
fn records_are_bounded_and_keep_refused_requests() {
    let (mut ledger, now) = run(&[Ends(1), Ends(2), Ends(3)]);
    for number in 0..40_000 {
        ledger.record_unknown_outcome(now, Fingerprint(1_000 + number), TargetKey(1_000 + number));
        ledger.record_crash(now, Fingerprint(100_000 + number), TargetKey(100_000 + number));
    }
    assert_eq!(ledger.reports_to_repeat(now, usize::MAX).len(), 1024);
    assert!(matches!(ledger.verdict(now, POISON), CrashVerdict::Refused { ended: 3, .. }));
}

/// An event that peers report. Its debug text determines the shuffled order.
#[derive(Debug, Clone, Copy)]
enum Event {
    End { target: u64, age_ms: u64 },
    Success { age_ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let end = (0_u64..6, 0_u64..5_000).prop_map(|(target, age_ms)| Event::End {
        target,
        // A target ends once, so all reports have the same time of its end.
        age_ms: target * 700 + age_ms / 5_000,
    });
    let success = (0_u64..5_000).prop_map(|age_ms| Event::Success { age_ms });
    prop_oneof![4 => end, 1 => success]
}

fn report_of(event: Event) -> CrashReport {
    match event {
        Event::End { target, age_ms } => {
            let end = TargetEnd { target: TargetKey(target), age: Duration::from_millis(age_ms) };
            CrashReport { fingerprint: POISON, ends: vec![end], succeeded: None }
        }
        Event::Success { age_ms } => CrashReport {
            fingerprint: POISON,
            ends: Vec::new(),
            succeeded: Some(Duration::from_millis(age_ms)),
        },
    }
}

proptest! {
    /// Boxes that receive the same reports in another order, twice, or through a third box, reach the same
    /// verdict.
    #[test]
    fn order_and_repetition_of_reports_do_not_change_the_verdict(
        events in prop::collection::vec(event(), 0..24),
        order in any::<u64>(),
    ) {
        let now = start();
        let mut in_order = CrashLedger::default();
        let mut reordered = CrashLedger::default();
        for event in &events {
            in_order.merge_report(now, &report_of(*event));
        }
        let mut shuffled = events.clone();
        shuffled.sort_by_key(|event| {
            let text = format!("{event:?}{order}");
            wingbridge_decide::names::stable_hash(&text)
        });
        for event in shuffled.iter().chain(&events) {
            reordered.merge_report(now, &report_of(*event));
        }
        let mut third = CrashLedger::default();
        for report in reordered.reports_to_repeat(now, 10) {
            third.merge_report(now, &report);
        }
        let verdict = in_order.verdict(now, POISON);
        prop_assert_eq!(reordered.verdict(now, POISON), verdict);
        prop_assert_eq!(third.verdict(now, POISON), verdict);
        prop_assert_eq!(verdict.ended() >= REFUSAL_THRESHOLD, matches!(verdict, CrashVerdict::Refused { .. }));
    }
}
