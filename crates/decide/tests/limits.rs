//! Limits that targets set: which report applies, and how many permits are granted for it.
//!
//! Answers of one target reach different boxes, in another order than the target sent them. If an answer that
//! was in transit when the limit was set could lift it, all boxes would send at once.

mod steering;

use std::time::Duration;

use steering::{at, core_with_healthy_targets};
use wingbridge_decide::TargetKey;
use wingbridge_decide::permits::{FallbackShare, PermitAnswer, PermitCoordinator};
use wingbridge_decide::steer::{LimitUpdate, RequestRate, SteerCore};

/// Time of the first report in each test, in milliseconds.
const START: u64 = 20_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("invalid rate")
}

fn key() -> TargetKey {
    TargetKey::of_incarnation("speaker", 0)
}

/// A report that a box receives, with times in milliseconds after [`START`].
#[derive(Debug, Clone, Copy)]
enum Report {
    /// An answer to a request that was sent at the first time and answered at the second.
    Answer(u64, u64, LimitUpdate),
    /// A peer's report at the first time of a limit that it received the second number of milliseconds before.
    Peer(u64, Option<f64>, u64),
}

struct ReportCase {
    name: &'static str,
    reports: &'static [Report],
    limit: Option<f64>,
}

const fn at_rate(millionths: u64) -> LimitUpdate {
    LimitUpdate::At(RequestRate::from_millionths(millionths))
}

const REPORTS: &[ReportCase] = &[
    ReportCase { name: "no further report", reports: &[], limit: Some(2.0) },
    ReportCase {
        name: "an answer to an earlier request does not lift it",
        reports: &[Report::Answer(0, 300, LimitUpdate::None)],
        limit: Some(2.0),
    },
    ReportCase {
        name: "an answer to a later request lifts it",
        reports: &[Report::Answer(200, 500, LimitUpdate::None)],
        limit: None,
    },
    ReportCase {
        name: "an unreadable limit changes nothing",
        reports: &[Report::Answer(200, 500, LimitUpdate::Unreadable)],
        limit: Some(2.0),
    },
    ReportCase {
        name: "a lower limit applies at once",
        reports: &[Report::Answer(0, 300, at_rate(500_000))],
        limit: Some(0.5),
    },
    ReportCase {
        name: "a higher limit for an earlier request is ignored",
        reports: &[Report::Answer(0, 300, at_rate(8_000_000))],
        limit: Some(2.0),
    },
    ReportCase {
        name: "a higher limit for a later request applies",
        reports: &[Report::Answer(200, 500, at_rate(8_000_000))],
        limit: Some(8.0),
    },
    ReportCase {
        name: "a later report of a peer applies",
        reports: &[Report::Peer(500, None, 100)],
        limit: None,
    },
    ReportCase {
        name: "an older report of a peer is ignored",
        reports: &[Report::Peer(500, Some(1.0), 600)],
        limit: Some(2.0),
    },
    ReportCase {
        name: "an older report does not restore a lifted limit",
        reports: &[Report::Answer(200, 500, LimitUpdate::None), Report::Peer(600, Some(2.0), 500)],
        limit: None,
    },
];

fn receive(core: &mut SteerCore, report: Report) {
    match report {
        Report::Answer(sent, received, update) => {
            core.record_limit(at(START + received), key(), at(START + sent), update);
        }
        Report::Peer(received, limit, age) => {
            let age = Duration::from_millis(age);
            core.merge_limit(at(START + received), key(), limit.map(rate), age);
        }
    }
}

#[test]
fn last_or_lowest_report_applies() {
    for case in REPORTS {
        let mut core =
            core_with_healthy_targets(&[("speaker", "near"), ("other", "near")], at(START));
        receive(&mut core, Report::Answer(0, 100, LimitUpdate::At(rate(2.0))));
        case.reports.iter().for_each(|report| receive(&mut core, *report));
        assert_eq!(core.limit(at(2 * START), key()), case.limit.map(rate), "{}", case.name);
    }
}

#[test]
fn limit_survives_a_listing_without_its_target() {
    let mut core = core_with_healthy_targets(&[("speaker", "near"), ("other", "near")], at(START));
    receive(&mut core, Report::Answer(0, 100, LimitUpdate::At(rate(2.0))));
    core.set_targets(at(START + 200), vec![steering::target("other", "near")]);
    assert_eq!(core.limit(at(2 * START), key()), None, "the target is not listed");
    let both = ["speaker", "other"].map(|id| steering::target(id, "near"));
    core.set_targets(at(START + 300), both.to_vec());
    assert_eq!(core.limit(at(2 * START), key()), Some(rate(2.0)));
}

struct RateCase {
    per_second: f64,
    is_rate: bool,
}

const RATES: &[RateCase] = &[
    RateCase { per_second: 0.0, is_rate: true },
    RateCase { per_second: 0.01, is_rate: true },
    RateCase { per_second: 1e300, is_rate: true },
    RateCase { per_second: f64::INFINITY, is_rate: true },
    RateCase { per_second: -0.1, is_rate: false },
    RateCase { per_second: f64::NAN, is_rate: false },
];

#[test]
fn negative_numbers_and_nan_are_not_rates() {
    for case in RATES {
        assert_eq!(
            RequestRate::new(case.per_second).is_some(),
            case.is_rate,
            "{}",
            case.per_second
        );
    }
}

/// Returns the number of permits that a coordinator grants within `seconds`, at one request in 10 ms.
fn granted(
    coordinator: &mut PermitCoordinator,
    rate: RequestRate,
    part: f64,
    seconds: u64,
) -> usize {
    let times = (0..seconds * 100).map(|step| at(START + step * 10));
    let answers = times.map(|now| coordinator.answer(now, key(), rate, part));
    answers.filter(|answer| *answer == PermitAnswer::Granted).count()
}

struct CoordinatorCase {
    per_second: f64,
    part: f64,
    /// Minimum number of permits granted in 100 s.
    granted: usize,
}

const COORDINATORS: &[CoordinatorCase] = &[
    CoordinatorCase { per_second: 1.0, part: 1.0, granted: 99 },
    CoordinatorCase { per_second: 1.0, part: 0.25, granted: 24 },
    CoordinatorCase { per_second: 20.0, part: 1.0, granted: 1999 },
    // A target with a limit of zero still gets a request now and then, so that its boxes learn when the limit is
    // lifted.
    CoordinatorCase { per_second: 0.0, part: 1.0, granted: 1 },
];

#[test]
fn coordinator_grants_what_the_limit_allows() {
    for case in COORDINATORS {
        let granted =
            granted(&mut PermitCoordinator::default(), rate(case.per_second), case.part, 101);
        let more = (case.per_second * case.part) as usize + 1;
        let bounds = case.granted..=case.granted + more;
        assert!(bounds.contains(&granted), "{} x {}: {granted}", case.per_second, case.part);
    }
}

#[test]
fn boxes_without_a_permit_get_different_retry_times() {
    let mut coordinator = PermitCoordinator::default();
    let wait = |_| match coordinator.answer(at(START), key(), rate(2.0), 1.0) {
        PermitAnswer::Denied(wait) => wait,
        PermitAnswer::Granted => panic!("permit granted from a bucket that should start empty"),
    };
    let waits: Vec<Duration> = (0..5).map(wait).collect();
    assert!(waits.is_sorted() && waits[0] < waits[4], "{waits:?}");
}

/// The limit is one request per second, and the boxes get no answer from a coordinator for 400 s.
#[test]
fn boxes_without_a_coordinator_send_half_of_the_limit_together() {
    const BOXES: usize = 40;
    let mut shares: Vec<FallbackShare> = (0..BOXES).map(|_| FallbackShare::default()).collect();
    let mut sent = 0;
    for step in 0..4_000 {
        let now = at(START + step * 100);
        for (number, share) in shares.iter_mut().enumerate() {
            let drawn = number as f64 / BOXES as f64;
            sent +=
                usize::from(share.acquire(now, rate(1.0), BOXES, drawn) == PermitAnswer::Granted);
        }
    }
    assert!((190..=200).contains(&sent), "{sent} requests were sent");
}
