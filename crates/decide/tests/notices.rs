//! Targets that said that they leave or want rest, and each way by which one is chosen.
//!
//! A refusal was a price for 0.2 s and nothing after that, and one that rested was due for a trial after a second, as if
//! nobody had cared to ask it.

mod steering;

use std::time::Duration;

use steering::{PICKS, ROUTE, SERVICE, at, bad, core, good, request, settled, target};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{SteerCore, SteerOutcome, TargetNotice};

/// When the notice of each test comes, in milliseconds.
const TOLD: u64 = 20_000;
const LEAVES: TargetNotice = TargetNotice { draining: true, backoff: None };

const fn rest(millis: u64) -> TargetNotice {
    TargetNotice { draining: false, backoff: Some(Duration::from_millis(millis)) }
}

/// Two targets that have answered well, one of which has just given notice.
fn told(notice: &TargetNotice) -> SteerCore {
    let mut core = settled(&[("speaker", "near"), ("other", "near")], at(TOLD));
    core.record_notice(at(TOLD), TargetKey::of_incarnation("speaker", 0), notice);
    core
}

/// How many of some choices at `millis` fall on the target that gave notice.
fn sends(core: &mut SteerCore, millis: u64, repeatable: bool, tried: &[TargetKey]) -> usize {
    let now = at(millis);
    core.record_request(now, SERVICE);
    let picks = (0..PICKS).filter_map(|_| core.pick(now, &request(repeatable, tried)).ok());
    picks.filter(|pick| *pick.id == *"speaker").count()
}

/// What happens between a notice and a choice.
type Event = fn(&mut SteerCore);

struct BarCase {
    name: &'static str,
    notice: TargetNotice,
    meanwhile: Event,
    /// When the choices are made, in milliseconds after the notice.
    after: u64,
    /// Whether the target is one of them.
    in_draw: bool,
}

fn nothing(_: &mut SteerCore) {}

/// Has the other target fail, so that this one is the better choice.
fn other_fails(core: &mut SteerCore) {
    for millis in (0..6_000).step_by(500) {
        bad(core, at(TOLD + millis), "other");
    }
}

/// An attempt that was under way ends well.
fn answers_well(core: &mut SteerCore) {
    let mark = core.begin(at(TOLD), TargetKey::of_incarnation("speaker", 0), &ROUTE.into());
    let outcome = SteerOutcome::Good(Duration::from_millis(300));
    core.end(at(TOLD + 300), &mark, &ROUTE.into(), outcome, 400);
}

fn refuses_again(core: &mut SteerCore) {
    core.record_notice(at(TOLD + 500), TargetKey::of_incarnation("speaker", 0), &rest(1000));
}

fn is_listed_anew(core: &mut SteerCore) {
    let speaker = SteerTarget { slots: 8, ..target("speaker", "near") };
    core.set_targets(at(TOLD + 100), vec![speaker, target("other", "near")]);
}

fn is_listed_again(core: &mut SteerCore) {
    core.set_targets(at(TOLD + 100), vec![target("other", "near")]);
    core.set_targets(at(TOLD + 200), vec![target("speaker", "near"), target("other", "near")]);
}

fn starts_anew(core: &mut SteerCore) {
    let speaker = SteerTarget { born_ms: 7, ..target("speaker", "near") };
    core.set_targets(at(TOLD + 100), vec![speaker, target("other", "near")]);
}

fn stands_suspended(core: &mut SteerCore) {
    core.advance_clocks(Duration::from_secs(2));
}

const BARS: &[BarCase] = &[
    BarCase { name: "leaves", notice: LEAVES, meanwhile: nothing, after: 0, in_draw: false },
    BarCase { name: "later", notice: LEAVES, meanwhile: nothing, after: 900_000, in_draw: false },
    BarCase {
        name: "others fail",
        notice: LEAVES,
        meanwhile: other_fails,
        after: 6_000,
        in_draw: false,
    },
    BarCase { name: "good", notice: LEAVES, meanwhile: answers_well, after: 4_000, in_draw: false },
    BarCase {
        name: "listed",
        notice: LEAVES,
        meanwhile: is_listed_anew,
        after: 4_000,
        in_draw: false,
    },
    BarCase {
        name: "back",
        notice: LEAVES,
        meanwhile: is_listed_again,
        after: 4_000,
        in_draw: false,
    },
    BarCase {
        name: "next life",
        notice: LEAVES,
        meanwhile: starts_anew,
        after: 4_000,
        in_draw: true,
    },
    BarCase { name: "rests", notice: rest(3_000), meanwhile: nothing, after: 0, in_draw: false },
    BarCase {
        name: "in it",
        notice: rest(3_000),
        meanwhile: nothing,
        after: 2_990,
        in_draw: false,
    },
    BarCase {
        name: "after it",
        notice: rest(3_000),
        meanwhile: nothing,
        after: 4_000,
        in_draw: true,
    },
    BarCase {
        name: "trial",
        notice: rest(9_000),
        meanwhile: nothing,
        after: 8_900,
        in_draw: false,
    },
    BarCase {
        name: "others fail",
        notice: rest(6_100),
        meanwhile: other_fails,
        after: 6_000,
        in_draw: false,
    },
    BarCase {
        name: "good",
        notice: rest(3_000),
        meanwhile: answers_well,
        after: 2_900,
        in_draw: false,
    },
    BarCase {
        name: "a shorter one",
        notice: rest(3_000),
        meanwhile: refuses_again,
        after: 2_900,
        in_draw: false,
    },
    BarCase {
        name: "listed",
        notice: rest(3_000),
        meanwhile: is_listed_anew,
        after: 2_900,
        in_draw: false,
    },
    BarCase {
        name: "back",
        notice: rest(3_000),
        meanwhile: is_listed_again,
        after: 2_900,
        in_draw: false,
    },
    BarCase {
        name: "next life",
        notice: rest(3_000),
        meanwhile: starts_anew,
        after: 1_000,
        in_draw: true,
    },
    BarCase {
        name: "suspended",
        notice: rest(3_000),
        meanwhile: stands_suspended,
        after: 2_000,
        in_draw: true,
    },
    BarCase { name: "none", notice: rest(0), meanwhile: nothing, after: 10, in_draw: true },
    BarCase {
        name: "years",
        notice: rest(u64::MAX / 1_000),
        meanwhile: nothing,
        after: 590_000,
        in_draw: false,
    },
    BarCase {
        name: "years",
        notice: rest(u64::MAX / 1_000),
        meanwhile: nothing,
        after: 800_000,
        in_draw: true,
    },
];

fn check_bars(in_draw: bool) {
    for case in BARS.iter().filter(|case| case.in_draw == in_draw) {
        for repeatable in [false, true] {
            let mut core = told(&case.notice);
            (case.meanwhile)(&mut core);
            let sends = sends(&mut core, TOLD + case.after, repeatable, &[]);
            assert_eq!(sends > 0, in_draw, "{} after {}: {sends}", case.name, case.after);
        }
    }
}

#[test]
fn a_target_is_out_of_each_choice_while_its_notice_holds() {
    check_bars(false);
}

#[test]
fn a_target_is_chosen_again_once_its_notice_is_over() {
    check_bars(true);
}

#[test]
fn second_attempts_and_retries_pass_over_it_too() {
    for notice in [LEAVES, rest(3_000)] {
        let mut core = told(&notice);
        let tried = [TargetKey::of_incarnation("other", 0)];
        assert_eq!(sends(&mut core, TOLD + 1_000, true, &tried), 0);
    }
}

#[test]
fn a_notice_of_a_target_that_is_not_listed_yet_counts_once_it_is() {
    let mut core = core();
    core.set_targets(at(0), vec![target("other", "near")]);
    core.record_notice(at(TOLD), TargetKey::of_incarnation("speaker", 0), &LEAVES);
    core.set_targets(at(TOLD + 10), vec![target("speaker", "near"), target("other", "near")]);
    good(&mut core, at(TOLD + 20), "other", 3);
    assert_eq!(sends(&mut core, TOLD + 4_000, false, &[]), 0);
}
