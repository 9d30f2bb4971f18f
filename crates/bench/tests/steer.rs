//! The choice of targets on fleets drawn at random, against uniform random picks.

use wingbench::steer::backoffs::BackoffStrategy;
use wingbench::steer::limits::LimitStrategy;
use wingbench::steer::pattern::LoadPattern;
use wingbench::steer::report::{RequestCounts, SteerReport};
use wingbench::steer::{SteerBench, measure_steer};

const SEED: u64 = 700;
const FLEETS: usize = 8;

fn measured(without: &str) -> SteerReport {
    measured_under(LoadPattern::Steady, without)
}

fn measured_under(pattern: LoadPattern, without: &str) -> SteerReport {
    let bench = SteerBench {
        backoff_strategy: BackoffStrategy::default(),
        limit_strategy: LimitStrategy::Permits,
        seed: SEED,
        fleets: FLEETS,
        seconds: 20,
        workers: 2,
        without: without.parse().expect("names of mechanisms"),
        pattern,
    };
    measure_steer(&bench).expect("names of mechanisms")
}

struct LossCase {
    name: &'static str,
    kind: fn(&SteerReport) -> (&RequestCounts, &RequestCounts),
    /// Lost requests at most, as a share of what uniform picks lose.
    most: f64,
}

const LOSSES: &[LossCase] = &[
    LossCase {
        name: "requests that may run again",
        kind: |report| (&report.steered.repeatable, &report.uniform.repeatable),
        most: 0.3,
    },
    LossCase {
        name: "requests that run once",
        kind: |report| (&report.steered.once, &report.uniform.once),
        most: 0.5,
    },
];

#[test]
fn a_report_is_compared_with_one_of_the_same_fleets_alone() {
    let report = measured("");
    let text = serde_json::to_string(&report).expect("a report");
    let read: SteerReport = serde_json::from_str(&text).expect("the same report");
    assert_eq!(read.steered.once, report.steered.once);
    assert!(report.compare(&read).expect("the same fleets").contains("+0.0000"));
    let other = SteerReport { seed: SEED + 1, ..read };
    let error = report.compare(&other).expect_err("other fleets").to_string();
    assert!(error.contains("701"), "{error}");
    assert!(SteerReport::read("/nonexistent").is_err());
    let error = SteerReport::read(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    assert!(error.expect_err("no JSON").to_string().contains("no report"));
}

/// Without steering these shares are near 1, as the second test shows.
#[test]
fn far_fewer_requests_are_lost_than_by_uniform_picks() {
    let report = measured("");
    println!("{}", report.as_text());
    for case in LOSSES {
        let (steered, uniform) = (case.kind)(&report);
        assert!(uniform.requests > 1000, "{}: seeds {SEED}+: too few to tell", case.name);
        let share = steered.lost() / uniform.lost();
        assert!(share <= case.most, "{}: seeds {SEED}+: {share:.3}", case.name);
    }
}

#[test]
fn the_bounds_fail_where_nothing_is_steered() {
    let report = measured("steering,peer-sightings,hedges,trials,hold-back");
    for case in LOSSES {
        let (steered, uniform) = (case.kind)(&report);
        let share = steered.lost() / uniform.lost();
        assert!(share > case.most, "{}: seeds {SEED}+: {share:.3}", case.name);
    }
}

struct PatternCase {
    pattern: LoadPattern,
    /// What the version before did without.
    without: &'static str,
    /// Lost requests that run once at most, as a share of what that version loses.
    most: f64,
}

/// The shares were 0.85, 0.96, 0.99 and 0.93 on 40 fleets; what holds on a few is less.
const PATTERNS: &[PatternCase] = &[
    PatternCase { pattern: LoadPattern::FirstLoad, without: "few-trials", most: 0.95 },
    PatternCase { pattern: LoadPattern::Burst, without: "few-trials", most: 1.05 },
    PatternCase { pattern: LoadPattern::Refusals, without: "few-trials", most: 1.05 },
    PatternCase { pattern: LoadPattern::SlowTargets, without: "few-trials", most: 1.05 },
];

/// Half of the orders lost on a quiet day were trials that nobody needed. Fewer of them gain at
/// the first load, and must not lose where load is at its worst.
#[test]
fn spared_orders_are_no_loss_under_any_pattern() {
    for case in PATTERNS {
        let now = measured_under(case.pattern, "");
        let before = measured_under(case.pattern, case.without);
        let share = now.steered.once.lost() / before.steered.once.lost();
        println!("{}\n{share:.3}", now.as_text());
        assert!(share <= case.most, "{}: seeds {SEED}+: {share:.3}", case.pattern);
    }
}

#[test]
fn a_pattern_shows_in_its_seconds() {
    let steady = measured_under(LoadPattern::Steady, "");
    let burst = measured_under(LoadPattern::Burst, "");
    let during = |report: &SteerReport| -> u64 {
        report.steered.seconds.0[10..13].iter().map(|row| row.requests).sum()
    };
    let ratio = during(&burst) as f64 / during(&steady) as f64;
    assert!((1.8..2.0).contains(&ratio), "seeds {SEED}+: {ratio:.3}");
    let other = SteerReport { pattern: "burst".to_string(), ..steady.clone() };
    assert!(steady.compare(&other).expect_err("another pattern").to_string().contains("burst"));
    assert!(
        "storm".parse::<LoadPattern>().expect_err("no pattern").to_string().contains("first-load")
    );
}

struct RestCase {
    way: BackoffStrategy,
    pattern: LoadPattern,
    /// Requests within rests at most, of those that were asked for.
    most_sent: f64,
}

const RESTS: &[RestCase] = &[
    RestCase { way: BackoffStrategy::Own, pattern: LoadPattern::SomeBackoff, most_sent: 0.0 },
    RestCase { way: BackoffStrategy::Own, pattern: LoadPattern::AllBackoff, most_sent: 0.0 },
    RestCase { way: BackoffStrategy::Own, pattern: LoadPattern::BurstBackoff, most_sent: 0.0 },
    RestCase { way: BackoffStrategy::Ignored, pattern: LoadPattern::SomeBackoff, most_sent: 1.0 },
];

fn measured_rests(case: &RestCase) -> SteerReport {
    let bench = SteerBench {
        seed: SEED,
        fleets: FLEETS,
        seconds: 20,
        workers: 2,
        without: Default::default(),
        pattern: case.pattern,
        backoff_strategy: case.way,
        limit_strategy: LimitStrategy::Permits,
    };
    measure_steer(&bench).expect("names of mechanisms")
}

/// Three targets that refused all that came were asked more than before, since they had nothing to do.
#[test]
fn no_box_sends_to_a_target_that_it_was_asked_to_leave_alone() {
    for case in RESTS {
        let rests = measured_rests(case).steered.rests;
        assert!(rests.asked > 0, "{:?}: nobody asked for rest", case.pattern);
        let sent = rests.sent_during_backoff as f64 / rests.asked as f64;
        assert!(sent <= case.most_sent, "{:?}: {rests:?}", case.way);
        // The watch sees what is sent where nothing is heeded.
        assert_eq!(sent > 0.0, case.way == BackoffStrategy::Ignored, "{:?}: {rests:?}", case.way);
    }
}

struct LimitCase {
    pattern: LoadPattern,
    way: LimitStrategy,
    /// Whether some window has more than the limit allows.
    is_broken: bool,
}

const LIMITS: &[LimitCase] = &[
    LimitCase { pattern: LoadPattern::SomeLimits, way: LimitStrategy::Permits, is_broken: false },
    LimitCase { pattern: LoadPattern::AllLimits, way: LimitStrategy::Permits, is_broken: false },
    LimitCase { pattern: LoadPattern::BurstLimits, way: LimitStrategy::Permits, is_broken: false },
    // The check finds a fault where there is one.
    LimitCase { pattern: LoadPattern::SomeLimits, way: LimitStrategy::Ignored, is_broken: true },
    LimitCase { pattern: LoadPattern::SomeLimits, way: LimitStrategy::EachAlone, is_broken: true },
];

#[test]
fn targets_with_a_limit_get_what_it_allows_and_use_it() {
    for case in LIMITS {
        let bench = SteerBench {
            backoff_strategy: BackoffStrategy::default(),
            limit_strategy: case.way,
            seed: SEED,
            fleets: 4,
            seconds: 24,
            workers: 2,
            without: Default::default(),
            pattern: case.pattern,
        };
        let report = measure_steer(&bench).expect("names of mechanisms");
        let limits = report.steered.limits;
        let told = format!("{} {:?}: {limits:?}", case.pattern, case.way);
        assert_eq!(limits.broken > 0, case.is_broken, "{told}");
        if case.pattern == LoadPattern::AllLimits {
            assert!(limits.arrived as f64 > 0.9 * limits.allowed, "{told}");
        }
    }
}
