//! Targets that reported draining or a back-off must not be chosen in any way.
//!
//! A refusal used to make a target less likely to be chosen for 0.2 s and had no effect after that, and a
//! target that asked for a back-off was due for a trial after one second.

mod steering;

use std::time::Duration;

use steering::{
    PICKS, ROUTE, SERVICE, at, core, core_with_healthy_targets, report_failure, report_success,
    request, target,
};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{SteerCore, SteerOutcome, TargetNotice};

/// Time at which the notice of each test arrives, in milliseconds.
const NOTICE_AT: u64 = 20_000;
const DRAINING: TargetNotice = TargetNotice { draining: true, backoff: None };

const fn backoff(millis: u64) -> TargetNotice {
    TargetNotice { draining: false, backoff: Some(Duration::from_millis(millis)) }
}

/// A core with two targets that have succeeded, one of which has just given `notice`.
fn core_with_notice(notice: &TargetNotice) -> SteerCore {
    let mut core =
        core_with_healthy_targets(&[("speaker", "near"), ("other", "near")], at(NOTICE_AT));
    core.record_notice(at(NOTICE_AT), TargetKey::of_incarnation("speaker", 0), notice);
    core
}

/// Returns the number of [`PICKS`] picks at `millis` that choose the target that gave notice.
fn picks_of_notifier(
    core: &mut SteerCore,
    millis: u64,
    repeatable: bool,
    tried: &[TargetKey],
) -> usize {
    let now = at(millis);
    core.record_request(now, SERVICE);
    let picks = (0..PICKS).filter_map(|_| core.pick(now, &request(repeatable, tried)).ok());
    picks.filter(|pick| *pick.id == *"speaker").count()
}

/// An event between the notice and the picks.
type Event = fn(&mut SteerCore);

struct NoticeCase {
    name: &'static str,
    notice: TargetNotice,
    meanwhile: Event,
    /// Time of the picks, in milliseconds after the notice.
    after: u64,
    /// Whether the target is eligible at that time.
    eligible: bool,
}

fn nothing(_: &mut SteerCore) {}

/// Makes the other target fail, so that the one with the notice would be the better choice.
fn other_fails(core: &mut SteerCore) {
    for millis in (0..6_000).step_by(500) {
        report_failure(core, at(NOTICE_AT + millis), "other");
    }
}

/// An attempt that was open when the notice arrived succeeds.
fn succeeds(core: &mut SteerCore) {
    let handle = core.begin(at(NOTICE_AT), TargetKey::of_incarnation("speaker", 0), &ROUTE.into());
    let outcome = SteerOutcome::Good(Duration::from_millis(300));
    core.end(at(NOTICE_AT + 300), &handle, &ROUTE.into(), outcome, 400);
}

fn repeats_shorter_backoff(core: &mut SteerCore) {
    core.record_notice(
        at(NOTICE_AT + 500),
        TargetKey::of_incarnation("speaker", 0),
        &backoff(1000),
    );
}

fn entry_changes(core: &mut SteerCore) {
    let speaker = SteerTarget { slots: 8, ..target("speaker", "near") };
    core.set_targets(at(NOTICE_AT + 100), vec![speaker, target("other", "near")]);
}

fn is_unlisted_and_listed(core: &mut SteerCore) {
    core.set_targets(at(NOTICE_AT + 100), vec![target("other", "near")]);
    core.set_targets(at(NOTICE_AT + 200), vec![target("speaker", "near"), target("other", "near")]);
}

fn restarts(core: &mut SteerCore) {
    let speaker = SteerTarget { started_ms: 7, ..target("speaker", "near") };
    core.set_targets(at(NOTICE_AT + 100), vec![speaker, target("other", "near")]);
}

fn box_is_suspended(core: &mut SteerCore) {
    core.advance_clocks(Duration::from_secs(2));
}

const CASES: &[NoticeCase] = &[
    NoticeCase {
        name: "draining",
        notice: DRAINING,
        meanwhile: nothing,
        after: 0,
        eligible: false,
    },
    NoticeCase {
        name: "draining, much later",
        notice: DRAINING,
        meanwhile: nothing,
        after: 900_000,
        eligible: false,
    },
    NoticeCase {
        name: "draining while the other target fails",
        notice: DRAINING,
        meanwhile: other_fails,
        after: 6_000,
        eligible: false,
    },
    NoticeCase {
        name: "draining, then a success",
        notice: DRAINING,
        meanwhile: succeeds,
        after: 4_000,
        eligible: false,
    },
    NoticeCase {
        name: "draining, then a changed entry",
        notice: DRAINING,
        meanwhile: entry_changes,
        after: 4_000,
        eligible: false,
    },
    NoticeCase {
        name: "draining, then unlisted for a while",
        notice: DRAINING,
        meanwhile: is_unlisted_and_listed,
        after: 4_000,
        eligible: false,
    },
    NoticeCase {
        name: "draining, then restarted",
        notice: DRAINING,
        meanwhile: restarts,
        after: 4_000,
        eligible: true,
    },
    NoticeCase {
        name: "back-off",
        notice: backoff(3_000),
        meanwhile: nothing,
        after: 0,
        eligible: false,
    },
    NoticeCase {
        name: "just before the back-off ends",
        notice: backoff(3_000),
        meanwhile: nothing,
        after: 2_990,
        eligible: false,
    },
    NoticeCase {
        name: "after the back-off",
        notice: backoff(3_000),
        meanwhile: nothing,
        after: 4_000,
        eligible: true,
    },
    NoticeCase {
        name: "back-off when a trial is due",
        notice: backoff(9_000),
        meanwhile: nothing,
        after: 8_900,
        eligible: false,
    },
    NoticeCase {
        name: "back-off while the other target fails",
        notice: backoff(6_100),
        meanwhile: other_fails,
        after: 6_000,
        eligible: false,
    },
    NoticeCase {
        name: "back-off, then a success",
        notice: backoff(3_000),
        meanwhile: succeeds,
        after: 2_900,
        eligible: false,
    },
    NoticeCase {
        name: "back-off, then a shorter one",
        notice: backoff(3_000),
        meanwhile: repeats_shorter_backoff,
        after: 2_900,
        eligible: false,
    },
    NoticeCase {
        name: "back-off, then a changed entry",
        notice: backoff(3_000),
        meanwhile: entry_changes,
        after: 2_900,
        eligible: false,
    },
    NoticeCase {
        name: "back-off, then unlisted for a while",
        notice: backoff(3_000),
        meanwhile: is_unlisted_and_listed,
        after: 2_900,
        eligible: false,
    },
    NoticeCase {
        name: "back-off, then restarted",
        notice: backoff(3_000),
        meanwhile: restarts,
        after: 1_000,
        eligible: true,
    },
    NoticeCase {
        name: "back-off during which the box is suspended",
        notice: backoff(3_000),
        meanwhile: box_is_suspended,
        after: 2_000,
        eligible: true,
    },
    NoticeCase {
        name: "back-off of zero",
        notice: backoff(0),
        meanwhile: nothing,
        after: 10,
        eligible: true,
    },
    NoticeCase {
        name: "back-off of years",
        notice: backoff(u64::MAX / 1_000),
        meanwhile: nothing,
        after: 590_000,
        eligible: false,
    },
    NoticeCase {
        name: "back-off of years",
        notice: backoff(u64::MAX / 1_000),
        meanwhile: nothing,
        after: 800_000,
        eligible: true,
    },
];

fn check_cases(eligible: bool) {
    for case in CASES.iter().filter(|case| case.eligible == eligible) {
        for repeatable in [false, true] {
            let mut core = core_with_notice(&case.notice);
            (case.meanwhile)(&mut core);
            let count = picks_of_notifier(&mut core, NOTICE_AT + case.after, repeatable, &[]);
            assert_eq!(count > 0, eligible, "{} after {} ms: {count} picks", case.name, case.after);
        }
    }
}

#[test]
fn target_is_not_chosen_while_its_notice_applies() {
    check_cases(false);
}

#[test]
fn target_is_chosen_again_after_its_notice_ends() {
    check_cases(true);
}

#[test]
fn further_attempts_do_not_choose_it_either() {
    for notice in [DRAINING, backoff(3_000)] {
        let mut core = core_with_notice(&notice);
        let tried = [TargetKey::of_incarnation("other", 0)];
        assert_eq!(picks_of_notifier(&mut core, NOTICE_AT + 1_000, true, &tried), 0);
    }
}

#[test]
fn notice_of_an_unlisted_target_applies_once_it_is_listed() {
    let mut core = core();
    core.set_targets(at(0), vec![target("other", "near")]);
    core.record_notice(at(NOTICE_AT), TargetKey::of_incarnation("speaker", 0), &DRAINING);
    core.set_targets(at(NOTICE_AT + 10), vec![target("speaker", "near"), target("other", "near")]);
    report_success(&mut core, at(NOTICE_AT + 20), "other", 3);
    assert_eq!(picks_of_notifier(&mut core, NOTICE_AT + 4_000, false, &[]), 0);
}
