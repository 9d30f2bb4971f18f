//! Limits that targets name: whose word holds, and how many permits there are for it.
//!
//! Answers of one target come back by different boxes, in another order than it gave them. A limit that ended by an
//! answer that was on its way when it was named would have let all boxes send at once.

mod steering;

use std::time::Duration;

use steering::{at, settled};
use wingbridge_decide::TargetKey;
use wingbridge_decide::permits::{FallbackShare, PermitAnswer, PermitCoordinator};
use wingbridge_decide::steer::{LimitUpdate, RequestRate, SteerCore};

/// When the first word of each test comes, in milliseconds.
const TOLD: u64 = 20_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn key() -> TargetKey {
    TargetKey::of_incarnation("speaker", 0)
}

/// Something that a box hears, in milliseconds after the first word.
#[derive(Debug, Clone, Copy)]
enum Heard {
    /// An answer to a request that was sent at the first time and came at the second.
    Answer(u64, u64, LimitUpdate),
    /// A peer's word at that time of what it heard so long before.
    Peer(u64, Option<f64>, u64),
}

struct WordCase {
    name: &'static str,
    heard: &'static [Heard],
    limit: Option<f64>,
}

const fn at_rate(millionths: u64) -> LimitUpdate {
    LimitUpdate::At(RequestRate::from_millionths(millionths))
}

const WORDS: &[WordCase] = &[
    WordCase { name: "it stays", heard: &[], limit: Some(2.0) },
    WordCase {
        name: "what was sent before does not end it",
        heard: &[Heard::Answer(0, 300, LimitUpdate::None)],
        limit: Some(2.0),
    },
    WordCase {
        name: "what was sent afterwards does",
        heard: &[Heard::Answer(200, 500, LimitUpdate::None)],
        limit: None,
    },
    WordCase {
        name: "what can't be read changes nothing",
        heard: &[Heard::Answer(200, 500, LimitUpdate::Unreadable)],
        limit: Some(2.0),
    },
    WordCase {
        name: "a lower one holds at once",
        heard: &[Heard::Answer(0, 300, at_rate(500_000))],
        limit: Some(0.5),
    },
    WordCase {
        name: "a higher one by what was sent before does not",
        heard: &[Heard::Answer(0, 300, at_rate(8_000_000))],
        limit: Some(2.0),
    },
    WordCase {
        name: "a higher one by what was sent afterwards does",
        heard: &[Heard::Answer(200, 500, at_rate(8_000_000))],
        limit: Some(8.0),
    },
    WordCase {
        name: "a peer's later word holds",
        heard: &[Heard::Peer(500, None, 100)],
        limit: None,
    },
    WordCase {
        name: "a peer's older word does not",
        heard: &[Heard::Peer(500, Some(1.0), 600)],
        limit: Some(2.0),
    },
    WordCase {
        name: "an end is not undone by an older word",
        heard: &[Heard::Answer(200, 500, LimitUpdate::None), Heard::Peer(600, Some(2.0), 500)],
        limit: None,
    },
];

fn hear(core: &mut SteerCore, heard: Heard) {
    match heard {
        Heard::Answer(sent, came, said) => {
            core.receive_limit(at(TOLD + came), key(), at(TOLD + sent), said);
        }
        Heard::Peer(came, limit, age) => {
            let age = Duration::from_millis(age);
            core.merge_limit(at(TOLD + came), key(), limit.map(rate), age);
        }
    }
}

#[test]
fn the_word_that_holds_is_the_last_or_the_lowest() {
    for case in WORDS {
        let mut core = settled(&[("speaker", "near"), ("other", "near")], at(TOLD));
        hear(&mut core, Heard::Answer(0, 100, LimitUpdate::At(rate(2.0))));
        case.heard.iter().for_each(|heard| hear(&mut core, *heard));
        assert_eq!(core.limit(at(2 * TOLD), key()), case.limit.map(rate), "{}", case.name);
    }
}

#[test]
fn a_limit_outlasts_a_listing_without_its_target() {
    let mut core = settled(&[("speaker", "near"), ("other", "near")], at(TOLD));
    hear(&mut core, Heard::Answer(0, 100, LimitUpdate::At(rate(2.0))));
    core.set_targets(at(TOLD + 200), vec![steering::target("other", "near")]);
    assert_eq!(core.limit(at(2 * TOLD), key()), None, "it is not listed");
    let both = ["speaker", "other"].map(|id| steering::target(id, "near"));
    core.set_targets(at(TOLD + 300), both.to_vec());
    assert_eq!(core.limit(at(2 * TOLD), key()), Some(rate(2.0)));
}

struct NumberCase {
    per_second: f64,
    is_rate: bool,
}

const NUMBERS: &[NumberCase] = &[
    NumberCase { per_second: 0.0, is_rate: true },
    NumberCase { per_second: 0.01, is_rate: true },
    NumberCase { per_second: 1e300, is_rate: true },
    NumberCase { per_second: f64::INFINITY, is_rate: true },
    NumberCase { per_second: -0.1, is_rate: false },
    NumberCase { per_second: f64::NAN, is_rate: false },
];

#[test]
fn what_is_no_number_from_zero_on_is_no_rate() {
    for case in NUMBERS {
        assert_eq!(
            RequestRate::new(case.per_second).is_some(),
            case.is_rate,
            "{}",
            case.per_second
        );
    }
}

/// Permits that a keeper gives out to boxes that ask each 10 ms, in seconds.
fn granted(keeper: &mut PermitCoordinator, rate: RequestRate, part: f64, seconds: u64) -> usize {
    let times = (0..seconds * 100).map(|step| at(TOLD + step * 10));
    let answers = times.map(|now| keeper.answer(now, key(), rate, part));
    answers.filter(|answer| *answer == PermitAnswer::Granted).count()
}

struct KeeperCase {
    per_second: f64,
    part: f64,
    /// Permits within 100 s.
    granted: usize,
}

const KEEPERS: &[KeeperCase] = &[
    KeeperCase { per_second: 1.0, part: 1.0, granted: 99 },
    KeeperCase { per_second: 1.0, part: 0.25, granted: 24 },
    KeeperCase { per_second: 20.0, part: 1.0, granted: 1999 },
    // A target that takes nothing is asked all the same, so that the end of its limit is heard.
    KeeperCase { per_second: 0.0, part: 1.0, granted: 1 },
];

#[test]
fn a_keeper_gives_out_what_the_limit_allows() {
    for case in KEEPERS {
        let granted =
            granted(&mut PermitCoordinator::default(), rate(case.per_second), case.part, 101);
        let more = (case.per_second * case.part) as usize + 1;
        let bounds = case.granted..=case.granted + more;
        assert!(bounds.contains(&granted), "{} x {}: {granted}", case.per_second, case.part);
    }
}

#[test]
fn boxes_without_a_permit_are_told_different_turns() {
    let mut keeper = PermitCoordinator::default();
    let turn = |_| match keeper.answer(at(TOLD), key(), rate(2.0), 1.0) {
        PermitAnswer::Denied(wait) => wait,
        PermitAnswer::Granted => panic!("a bucket begins empty"),
    };
    let turns: Vec<Duration> = (0..5).map(turn).collect();
    assert!(turns.is_sorted() && turns[0] < turns[4], "{turns:?}");
}

/// Permits that many boxes take together that no keeper answers, within 400 s at 1 a second.
#[test]
fn boxes_without_a_keeper_send_half_of_a_limit_together() {
    const BOXES: usize = 40;
    let mut shares: Vec<FallbackShare> = (0..BOXES).map(|_| FallbackShare::default()).collect();
    let mut sent = 0;
    for step in 0..4_000 {
        let now = at(TOLD + step * 100);
        for (number, share) in shares.iter_mut().enumerate() {
            let drawn = number as f64 / BOXES as f64;
            sent +=
                usize::from(share.acquire(now, rate(1.0), BOXES, drawn) == PermitAnswer::Granted);
        }
    }
    assert!((190..=200).contains(&sent), "{sent}");
}
