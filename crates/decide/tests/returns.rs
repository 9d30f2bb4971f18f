//! Returns of refused callers, over boxes of a data centre in virtual time.
//!
//! Random retry times brought callers back while there was no capacity for them, and all at once.

mod return_model;

use std::time::Duration;

use proptest::prelude::*;
use return_model::{Callers, LoadCase, ReturnBox, run_load};
use wingbridge_decide::returns::{
    BUCKET, MAX_PEERS, MAX_REPORTED_RETURNS, MAX_RETURN_WAIT, MAX_TOLD, REPORTED_BUCKETS,
    RefusalKind, ReturnArrival, ReturnSchedule, ReturnTime, ToldReturns,
};
use wingbridge_decide::{Fingerprint, TimePoint};

/// Bound on the returns in any 100 ms, as a multiple of their mean.
const MAX_PEAK: f64 = 1.3;
/// Minimum share of the callers that come when told which are served at the second try, if they are recognized.
const MIN_SERVED: f64 = 0.95;
const SEEDS: std::ops::Range<u64> = 1..21;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1_000)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const OVERLOAD: LoadCase = LoadCase {
    name: "1.5 times the capacity for 20 s",
    boxes: 8,
    capacity: 400.0,
    load: |_| 1.5,
    declined: |_| 0.0,
    capacity_known: false,
    callers: Callers::SpreadOverTime,
    return_box: ReturnBox::Same,
    remaining: ms(4_000),
    goal: ms(1_200),
    seconds: 20,
    // The first returns come after a second; until then the mean would be too low.
    measured: (2, 20),
    min_served: Some(MIN_SERVED),
    max_peak: Some(MAX_PEAK),
};

const LOADS: &[LoadCase] = &[
    OVERLOAD,
    LoadCase { name: "1.5 times, capacity reported", capacity_known: true, ..OVERLOAD },
    LoadCase { name: "1.5 times, one box", boxes: 1, ..OVERLOAD },
    LoadCase {
        // A box that did not refuse the request can't recognize it, so its return has no precedence.
        name: "1.5 times, returns to any box",
        return_box: ReturnBox::Any,
        min_served: Some(0.5),
        ..OVERLOAD
    },
    LoadCase {
        name: "burst of 2.5 for 5 s",
        load: |second| if second < 5 { 2.5 } else { 0.7 },
        seconds: 8,
        measured: (2, 6),
        ..OVERLOAD
    },
    LoadCase {
        name: "half declined for 8 s",
        // With fewer, the refusals themselves vary by more than the bound within the third of the goal over which
        // they can be spread.
        capacity: 3_000.0,
        load: |_| 0.7,
        declined: |second| if second < 8 { 0.55 } else { 0.0 },
        seconds: 8,
        measured: (1, 8),
        min_served: None,
        ..OVERLOAD
    },
    LoadCase {
        name: "all callers at once",
        callers: Callers::AllAtOnce(1_200),
        capacity: 800.0,
        seconds: 3,
        measured: (0, 3),
        ..OVERLOAD
    },
];

/// Guards against returns that come in waves, that come while there is no capacity for them, or that are told for
/// later than callers wait.
#[test]
fn returns_come_evenly_and_are_served() {
    for case in LOADS {
        for seed in SEEDS {
            let result = run_load(case, seed);
            let context = format!("{}, seed {seed}: {result:?}", case.name);
            println!("{context}");
            assert!(result.came > 50, "{context}");
            assert_eq!(result.too_late, 0, "{context}");
            let served = f64::from(result.served) / f64::from(result.came);
            assert!(case.min_served.is_none_or(|min| served >= min), "{context}");
            assert!(case.max_peak.is_none_or(|max| result.peak <= max), "{context}");
        }
    }
}

/// Guards against a model that refuses without need, which would make the other loads say nothing.
#[test]
fn calm_load_has_no_returns() {
    let calm = LoadCase { name: "0.7 times the capacity", load: |_| 0.7, ..OVERLOAD };
    for seed in SEEDS {
        assert_eq!(run_load(&calm, seed).refused, 0, "seed {seed}");
    }
}

struct PlanCase {
    name: &'static str,
    kind: RefusalKind,
    /// Answers per second before the refusal, for five seconds.
    answers_per_second: u64,
    waiting: u32,
    remaining: Duration,
    goal_left: Duration,
    /// Earliest and latest return.
    wait: (Duration, Duration),
    is_useful: bool,
}

const NO_ROOM: PlanCase = PlanCase {
    name: "no room",
    kind: RefusalKind::NoRoom,
    answers_per_second: 40,
    waiting: 0,
    remaining: ms(3_000),
    goal_left: ms(600),
    wait: (ms(100), ms(1_000)),
    is_useful: true,
};

const DECLINED: PlanCase =
    PlanCase { name: "declined", kind: RefusalKind::Declined, wait: (ms(100), ms(200)), ..NO_ROOM };

const PLANS: &[PlanCase] = &[
    NO_ROOM,
    DECLINED,
    PlanCase { name: "goal missed", goal_left: ms(0), wait: (ms(100), ms(1_000)), ..DECLINED },
    PlanCase {
        name: "goal longer than the caller's time",
        goal_left: ms(9_000),
        wait: (ms(100), ms(1_000)),
        ..DECLINED
    },
    PlanCase { name: "short goal", goal_left: ms(150), wait: (ms(20), ms(50)), ..DECLINED },
    PlanCase {
        name: "capacity not known",
        answers_per_second: 0,
        wait: (ms(100), ms(1_000)),
        ..NO_ROOM
    },
    PlanCase { name: "short time", remaining: ms(300), wait: (ms(40), ms(100)), ..NO_ROOM },
    PlanCase {
        name: "requests wait for half a second",
        waiting: 20,
        wait: (ms(500), ms(1_000)),
        ..NO_ROOM
    },
    PlanCase {
        name: "requests wait for longer than the caller",
        waiting: 80,
        wait: (ms(2_000), ms(2_200)),
        is_useful: false,
        ..NO_ROOM
    },
    PlanCase {
        name: "requests wait for longer than returns are planned",
        waiting: u32::MAX,
        wait: (MAX_RETURN_WAIT, MAX_RETURN_WAIT),
        is_useful: false,
        ..NO_ROOM
    },
    PlanCase {
        name: "no time",
        remaining: ms(0),
        wait: (ms(1), MAX_RETURN_WAIT),
        is_useful: false,
        ..NO_ROOM
    },
    PlanCase {
        name: "declined without time",
        remaining: ms(0),
        wait: (ms(1), MAX_RETURN_WAIT),
        is_useful: false,
        ..DECLINED
    },
];

/// Guards against returns beyond a third of the caller's time or of its goal, and before the capacity is there.
#[test]
fn return_times_keep_the_bounds_of_their_kind() {
    for case in PLANS {
        for seed in SEEDS {
            let mut schedule = ReturnSchedule::new(seed);
            for number in 0..case.answers_per_second * 5 {
                schedule.record_answer(at(number * 1_000 / case.answers_per_second));
            }
            schedule.set_waiting(case.waiting);
            let told = schedule.plan(at(5_000), case.kind, case.remaining, case.goal_left);
            let (min, max) = case.wait;
            assert_eq!(told.is_useful, case.is_useful, "{}: {told:?}", case.name);
            assert!((min..=max).contains(&told.wait), "{}: {told:?}", case.name);
            let counted: u32 = schedule.report(at(5_000)).iter().sum();
            assert_eq!(counted, u32::from(case.is_useful), "{}: {told:?}", case.name);
        }
    }
}

struct PeerCase {
    name: &'static str,
    /// Reports: peer, time in milliseconds, age, and the count in each bucket.
    reports: &'static [(u64, u64, Duration, u32)],
    /// Whether there is room for a return at 5 s.
    has_room: bool,
}

/// With a capacity of 40 a second, of which half is for returns, 2 returns fill a bucket.
const PEERS: &[PeerCase] = &[
    PeerCase { name: "no report", reports: &[], has_room: true },
    PeerCase { name: "all told", reports: &[(1, 4_900, ms(0), 2)], has_room: false },
    PeerCase {
        name: "all told by two",
        reports: &[(1, 4_900, ms(0), 1), (2, 4_900, ms(0), 1)],
        has_room: false,
    },
    PeerCase {
        name: "replaced",
        reports: &[(1, 4_800, ms(0), 2), (1, 4_900, ms(0), 0)],
        has_room: true,
    },
    PeerCase {
        name: "not replaced by an older one",
        reports: &[(1, 4_800, ms(0), 2), (1, 4_900, ms(500), 0)],
        has_room: false,
    },
    PeerCase { name: "passed", reports: &[(1, 4_900, ms(2_000), 2)], has_room: true },
    PeerCase { name: "too old", reports: &[(1, 4_900, ms(4_000), 2)], has_room: true },
    PeerCase {
        name: "impossible",
        reports: &[(1, 4_900, ms(0), MAX_REPORTED_RETURNS as u32 + 1)],
        has_room: true,
    },
];

/// Guards against returns that are told for times which peers have filled, and against reports that count for ever.
#[test]
fn told_returns_of_peers_leave_no_room() {
    for case in PEERS {
        let mut schedule = ReturnSchedule::new(1);
        // Two boxes with half of the capacity each.
        for number in 0..100 {
            schedule.record_answer(at(number * 50));
        }
        assert!(schedule.set_capacity(at(4_900), 40.0, 2));
        for (peer, millis, age, count) in case.reports {
            schedule.merge_peer(at(*millis), *peer, *age, &[*count; REPORTED_BUCKETS]);
        }
        let told = schedule.plan(at(5_000), RefusalKind::NoRoom, ms(3_000), ms(1_000));
        assert_eq!(told.is_useful, case.has_room, "{}: {told:?}", case.name);
    }
}

/// Guards against memory that grows with the number of peers.
#[test]
fn number_of_peers_is_bounded() {
    let mut schedule = ReturnSchedule::new(1);
    for peer in 0..MAX_PEERS as u64 {
        assert!(schedule.merge_peer(at(1_000), peer, ms(0), &[1]));
    }
    assert!(!schedule.merge_peer(at(1_000), 1_000, ms(0), &[1]));
    assert!(schedule.merge_peer(at(1_100), 7, ms(0), &[1]), "a known peer is not refused");
    assert!(schedule.merge_peer(at(5_000), 1_000, ms(0), &[1]), "the old reports have expired");
}

struct ArrivalCase {
    name: &'static str,
    /// When the return comes; it was told for 500 ms.
    comes_at: u64,
    arrival: ReturnArrival,
}

const ARRIVALS: &[ArrivalCase] = &[
    ArrivalCase { name: "at once", comes_at: 1, arrival: ReturnArrival::Early },
    ArrivalCase { name: "early", comes_at: 470, arrival: ReturnArrival::Early },
    ArrivalCase { name: "a little early", comes_at: 485, arrival: ReturnArrival::Kept },
    ArrivalCase { name: "as told", comes_at: 502, arrival: ReturnArrival::Kept },
    ArrivalCase { name: "a little late", comes_at: 990, arrival: ReturnArrival::Kept },
    ArrivalCase { name: "late", comes_at: 1_010, arrival: ReturnArrival::New },
];

/// Guards against precedence for callers that come earlier than told, and against its loss for those that keep to it.
#[test]
fn only_returns_that_come_when_told_are_due() {
    for case in ARRIVALS {
        let mut told = ToldReturns::default();
        told.record(at(0), Fingerprint(1), at(500));
        assert_eq!(told.arrival(at(case.comes_at), Fingerprint(2)), ReturnArrival::New);
        assert_eq!(told.arrival(at(case.comes_at), Fingerprint(1)), case.arrival, "{}", case.name);
        let again = told.is_due(at(case.comes_at), Fingerprint(1));
        assert!(!again, "{}: a told return is kept once", case.name);
        told.arrival(at(2_000), Fingerprint(2));
        let missed = u64::from(case.arrival != ReturnArrival::Kept);
        assert_eq!(told.take_missed(), missed, "{}", case.name);
        assert!(told.is_empty(), "{}", case.name);
    }
}

/// Guards against equal requests of several callers: each refusal gives precedence to one return.
#[test]
fn equal_requests_have_one_return_each() {
    let mut told = ToldReturns::default();
    told.record(at(0), Fingerprint(1), at(300));
    told.record(at(0), Fingerprint(1), at(900));
    assert!(told.is_due(at(310), Fingerprint(1)));
    assert!(!told.is_due(at(320), Fingerprint(1)), "the other return is told for later");
    assert!(told.is_due(at(910), Fingerprint(1)));
    assert!(!told.is_due(at(920), Fingerprint(1)));
}

/// Guards against memory that grows with the number of refusals.
#[test]
fn oldest_refusals_are_dropped() {
    let mut told = ToldReturns::default();
    for number in 0..=MAX_TOLD as u64 {
        told.record(at(0), Fingerprint(number), at(500));
    }
    assert_eq!(told.len(), MAX_TOLD);
    assert!(!told.is_due(at(500), Fingerprint(0)), "the oldest one was dropped");
    assert!(told.is_due(at(500), Fingerprint(1)));
    assert!(told.is_due(at(500), Fingerprint(MAX_TOLD as u64)));
    assert_eq!(told.take_missed(), 1);
}

/// An operation on a schedule.
#[derive(Debug, Clone)]
enum Operation {
    Answer,
    Waiting(u32),
    Capacity(f64, u32),
    Plan { is_declined: bool, remaining: Duration, goal_left: Duration },
    Peer { peer: u64, age: Duration, counts: Vec<u32> },
    Report,
}

fn operation() -> impl Strategy<Value = Operation> {
    let time = prop_oneof![
        (0..10_000_u64).prop_map(Duration::from_millis),
        (0..2_000_000_u64).prop_map(Duration::from_micros),
        Just(Duration::MAX),
    ];
    let rate = prop_oneof![
        0.0..1e5,
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(f64::MIN_POSITIVE),
        Just(f64::MAX)
    ];
    let count = prop_oneof![0..20_u32, 9_990..10_010_u32, Just(u32::MAX)];
    let counts = prop::collection::vec(count, 0..20);
    prop_oneof![
        Just(Operation::Answer),
        any::<u32>().prop_map(Operation::Waiting),
        (rate, 0..200_u32).prop_map(|(rate, boxes)| Operation::Capacity(rate, boxes)),
        (any::<bool>(), time.clone(), time.clone()).prop_map(
            |(is_declined, remaining, goal_left)| Operation::Plan {
                is_declined,
                remaining,
                goal_left
            }
        ),
        (0..80_u64, time, counts).prop_map(|(peer, age, counts)| Operation::Peer {
            peer,
            age,
            counts
        }),
        Just(Operation::Report),
    ]
}

/// Checks a planned return against the bounds of its kind.
fn check_plan(told: ReturnTime, is_declined: bool, remaining: Duration, goal_left: Duration) {
    assert!(told.wait > Duration::ZERO && told.wait <= MAX_RETURN_WAIT, "{told:?}");
    if told.is_useful {
        assert!(told.wait <= remaining / 3, "{told:?} of {remaining:?}");
        let meets_goal = goal_left / 3 < ms(20) || told.wait <= goal_left / 3;
        assert!(!is_declined || meets_goal, "{told:?} of a goal of {goal_left:?}");
    } else {
        let is_later = told.wait >= (remaining / 3).min(MAX_RETURN_WAIT);
        assert!(is_later, "{told:?} of {remaining:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against times beyond the bounds, counts that overflow, and reports that should have been dropped.
    #[test]
    fn any_sequence_keeps_the_bounds(
        seed in any::<u64>(),
        operations in prop::collection::vec((0..400_u64, operation()), 1..200),
    ) {
        let mut schedule = ReturnSchedule::new(seed);
        let mut now = at(seed % 1_000_000);
        for (passed, operation) in operations {
            now = now + ms(passed);
            match operation {
                Operation::Answer => schedule.record_answer(now),
                Operation::Waiting(waiting) => schedule.set_waiting(waiting),
                Operation::Capacity(rate, boxes) => {
                    let is_possible = rate.is_finite() && rate >= 0.0 && boxes > 0;
                    prop_assert_eq!(schedule.set_capacity(now, rate, boxes), is_possible);
                }
                Operation::Plan { is_declined, remaining, goal_left } => {
                    let kind =
                        if is_declined { RefusalKind::Declined } else { RefusalKind::NoRoom };
                    let told = schedule.plan(now, kind, remaining, goal_left);
                    check_plan(told, is_declined, remaining, goal_left);
                }
                Operation::Peer { peer, age, counts } => {
                    let is_impossible = counts.len() > REPORTED_BUCKETS
                        || counts.iter().any(|count| *count > u32::from(MAX_REPORTED_RETURNS))
                        || age >= ms(4_000);
                    let merged = schedule.merge_peer(now, peer, age, &counts);
                    prop_assert!(!(merged && is_impossible));
                }
                Operation::Report => {
                    let counts = schedule.report(now);
                    prop_assert!(counts.is_empty() || counts.len() == REPORTED_BUCKETS);
                    let max = u32::from(MAX_REPORTED_RETURNS);
                    prop_assert!(counts.iter().all(|count| *count <= max));
                }
            }
        }
    }
}

/// Guards against counts that wrap around when more callers than a count holds are told the same time.
#[test]
fn counts_do_not_overflow() {
    let mut schedule = ReturnSchedule::new(1);
    for _ in 0..300_000 {
        schedule.plan(at(1_000), RefusalKind::Declined, ms(400), ms(400));
    }
    let counts = schedule.report(at(1_000));
    let buckets = (ms(400) / 3).as_millis().div_ceil(BUCKET.as_millis()) as usize;
    assert_eq!(counts.iter().max(), Some(&u32::from(MAX_REPORTED_RETURNS)));
    assert!(counts[buckets..].iter().all(|count| *count == 0), "{counts:?}");
}
