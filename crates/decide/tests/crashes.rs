//! Which requests are refused for the targets that ended under them.

use std::time::Duration;

use proptest::prelude::*;
use wingbridge_decide::crashes::{
    CrashLedger, CrashReport, CrashVerdict, REFUSED_FOR, REFUSED_FROM, TargetEnd,
};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};

const DEADLY: Fingerprint = Fingerprint(7);
const SECOND: Duration = Duration::from_secs(1);

fn start() -> TimePoint {
    TimePoint::default() + Duration::from_secs(100_000)
}

/// What happens to a request, one second after the other.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A target ends under it.
    Ends(u64),
    /// This box doesn't see how its attempt at a target ends.
    Unseen(u64),
    /// A target is found to have ended.
    Gone(u64),
    /// A peer tells that a target ended under it, so many seconds ago.
    Told(u64, u64),
    /// A target runs it to a good end.
    Succeeds,
    /// A peer tells that it succeeded, so many seconds ago.
    ToldSuccess(u64),
    /// Nothing, for so many seconds.
    Rest(u64),
}

struct LedgerCase {
    name: &'static str,
    steps: &'static [Step],
    ended: usize,
    refused: bool,
}

use Step::{Ends, Gone, Rest, Succeeds, Told, ToldSuccess, Unseen};

const CASES: &[LedgerCase] = &[
    LedgerCase { name: "nothing is known", steps: &[], ended: 0, refused: false },
    LedgerCase { name: "two ended", steps: &[Ends(1), Ends(2)], ended: 2, refused: false },
    LedgerCase { name: "three", steps: &[Ends(1), Ends(2), Ends(3)], ended: 3, refused: true },
    LedgerCase {
        name: "one target counts once, whoever tells",
        steps: &[Ends(1), Told(1, 0), Ends(1), Told(1, 1), Ends(2)],
        ended: 2,
        refused: false,
    },
    LedgerCase {
        name: "own and told ones",
        steps: &[Told(1, 2), Ends(2), Told(3, 0)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "a success takes all back",
        steps: &[Ends(1), Ends(2), Ends(3), Succeeds],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "a peer's as well",
        steps: &[Ends(1), Ends(2), Ends(3), ToldSuccess(0)],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "an old success says nothing of what came later",
        steps: &[Ends(1), Ends(2), Ends(3), ToldSuccess(60)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "what is told late is older than the success",
        steps: &[Ends(1), Succeeds, Told(2, 5), Told(3, 5), Ends(4)],
        ended: 1,
        refused: false,
    },
    LedgerCase {
        name: "an attempt that was not seen counts once its target has ended",
        steps: &[Unseen(1), Unseen(2), Unseen(3), Gone(1), Gone(3)],
        ended: 2,
        refused: false,
    },
    LedgerCase {
        name: "and by a peer's word of that target",
        steps: &[Unseen(1), Told(1, 0)],
        ended: 1,
        refused: false,
    },
    LedgerCase {
        name: "not if the target ends much later",
        steps: &[Unseen(1), Rest(11), Gone(1)],
        ended: 0,
        refused: false,
    },
    LedgerCase {
        name: "it is refused for minutes",
        steps: &[Ends(1), Ends(2), Ends(3), Rest(590)],
        ended: 3,
        refused: true,
    },
    LedgerCase {
        name: "and may be asked again",
        steps: &[Ends(1), Ends(2), Ends(3), Rest(600)],
        ended: 3,
        refused: false,
    },
    LedgerCase {
        name: "one more target then has it refused for longer",
        steps: &[Ends(1), Ends(2), Ends(3), Rest(600), Ends(4), Rest(1190)],
        ended: 4,
        refused: true,
    },
];

fn told(target: u64, age: u64) -> CrashReport {
    let end = TargetEnd { target: TargetKey(target), age: SECOND * age as u32 };
    CrashReport { fingerprint: DEADLY, ends: vec![end], succeeded: None }
}

fn play(steps: &[Step]) -> (CrashLedger, TimePoint) {
    let (mut ledger, mut now) = (CrashLedger::default(), start());
    for step in steps {
        match *step {
            Ends(target) => drop(ledger.record_crash(now, DEADLY, TargetKey(target))),
            Unseen(target) => ledger.record_unknown_outcome(now, DEADLY, TargetKey(target)),
            Gone(target) => drop(ledger.record_target_ended(now, TargetKey(target))),
            Told(target, age) => drop(ledger.merge_report(now, &told(target, age))),
            Succeeds => drop(ledger.record_success(now, DEADLY)),
            ToldSuccess(age) => {
                let succeeded = Some(SECOND * age as u32);
                let news = CrashReport { fingerprint: DEADLY, ends: Vec::new(), succeeded };
                drop(ledger.merge_report(now, &news));
            }
            Rest(seconds) => now = now + SECOND * seconds as u32,
        }
        now = now + SECOND;
    }
    (ledger, now)
}

#[test]
fn requests_are_refused_for_the_targets_that_ended_under_them() {
    for case in CASES {
        let (ledger, now) = play(case.steps);
        let verdict = ledger.verdict(now, DEADLY);
        assert_eq!(verdict.ended(), case.ended, "{}", case.name);
        let refused = matches!(verdict, CrashVerdict::Refused { .. });
        assert_eq!(refused, case.refused, "{}", case.name);
        assert_eq!(ledger.refused_count(now), usize::from(case.refused), "{}", case.name);
    }
}

#[test]
fn what_is_new_is_told_once_and_what_is_refused_again_and_again() {
    let (mut ledger, now) = play(&[Ends(1), Ends(2), Ends(3)]);
    let told = ledger.take_unreported(now);
    assert_eq!((told.len(), told[0].ends.len()), (1, 3));
    assert_eq!(ledger.take_unreported(now), []);
    let later = now + REFUSED_FOR / 2;
    assert_eq!(ledger.reports_to_repeat(later, 10).len(), 1);
    assert_eq!(ledger.reports_to_repeat(now + REFUSED_FOR * 2, 10), []);
    // A peer that takes it tells it by its own beacons, and not at once.
    let mut peer = CrashLedger::default();
    assert_eq!(
        peer.merge_report(now, &told[0]).len(),
        1,
        "it is refused there, which is told to operators"
    );
    assert_eq!(peer.take_unreported(now), []);
    assert_eq!(peer.reports_to_repeat(now, 10), told);
}

/// Callers that hang up, and targets that end under them, fill no memory: 40,000 requests under which
/// targets end are remembered as the last thousand, those that are refused among them.
#[test]
fn memory_is_bounded_and_keeps_what_is_refused() {
    let (mut ledger, now) = play(&[Ends(1), Ends(2), Ends(3)]);
    for number in 0..40_000 {
        ledger.record_unknown_outcome(now, Fingerprint(1_000 + number), TargetKey(1_000 + number));
        ledger.record_crash(now, Fingerprint(100_000 + number), TargetKey(100_000 + number));
    }
    assert_eq!(ledger.reports_to_repeat(now, usize::MAX).len(), 1024);
    assert!(matches!(ledger.verdict(now, DEADLY), CrashVerdict::Refused { ended: 3, .. }));
}

#[derive(Debug, Clone, Copy)]
enum Word {
    End { target: u64, age_ms: u64 },
    Success { age_ms: u64 },
}

fn word() -> impl Strategy<Value = Word> {
    let end = (0_u64..6, 0_u64..5_000).prop_map(|(target, age_ms)| Word::End {
        target,
        // A target ends once, so that all tell the same time of it.
        age_ms: target * 700 + age_ms / 5_000,
    });
    let success = (0_u64..5_000).prop_map(|age_ms| Word::Success { age_ms });
    prop_oneof![4 => end, 1 => success]
}

fn news_of(word: Word) -> CrashReport {
    match word {
        Word::End { target, age_ms } => {
            let end = TargetEnd { target: TargetKey(target), age: Duration::from_millis(age_ms) };
            CrashReport { fingerprint: DEADLY, ends: vec![end], succeeded: None }
        }
        Word::Success { age_ms } => CrashReport {
            fingerprint: DEADLY,
            ends: Vec::new(),
            succeeded: Some(Duration::from_millis(age_ms)),
        },
    }
}

proptest! {
    /// Boxes hear the same in another order, twice, or by way of a third one, and judge alike.
    #[test]
    fn the_order_and_number_of_words_make_no_difference(
        words in prop::collection::vec(word(), 0..24),
        order in any::<u64>(),
    ) {
        let now = start();
        let mut straight = CrashLedger::default();
        let mut mixed = CrashLedger::default();
        for word in &words {
            straight.merge_report(now, &news_of(*word));
        }
        let mut shuffled = words.clone();
        shuffled.sort_by_key(|word| {
            let text = format!("{word:?}{order}");
            wingbridge_decide::names::stable_hash(&text)
        });
        for word in shuffled.iter().chain(&words) {
            mixed.merge_report(now, &news_of(*word));
        }
        let mut third = CrashLedger::default();
        for news in mixed.reports_to_repeat(now, 10) {
            third.merge_report(now, &news);
        }
        let verdict = straight.verdict(now, DEADLY);
        prop_assert_eq!(mixed.verdict(now, DEADLY), verdict);
        prop_assert_eq!(third.verdict(now, DEADLY), verdict);
        prop_assert_eq!(verdict.ended() >= REFUSED_FROM, matches!(verdict, CrashVerdict::Refused { .. }));
    }
}
