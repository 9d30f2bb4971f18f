//! The share of healthy targets that get requests in each two seconds, also while few requests fail.

mod episode_fleet;

use episode_fleet::{EpisodeCase, EpisodeFleet};

/// Milliseconds within which the users want healthy targets to get requests.
const WINDOW_MS: u64 = 2_000;
/// Share of the healthy targets that the users want to get requests.
const FLOOR_SHARE: f64 = 0.7;
/// Milliseconds of traffic before the first window.
const WARM_UP_MS: u64 = 6_000;
/// Minimum number of healthy targets in a window that counts.
const MIN_HEALTHY: usize = 8;

const CASES: &[EpisodeCase] = &[
    EpisodeCase {
        name: "a third of a large fleet",
        boxes: 35,
        targets: 56,
        per_second: 206.0,
        healthy_ms: 9_000.0,
        episode_ms: 1_000.0,
        seconds: 40,
    },
    EpisodeCase {
        name: "long episodes",
        boxes: 35,
        targets: 56,
        per_second: 206.0,
        healthy_ms: 14_000.0,
        episode_ms: 2_500.0,
        seconds: 40,
    },
    EpisodeCase {
        name: "small fleet",
        boxes: 12,
        targets: 15,
        per_second: 57.0,
        healthy_ms: 9_000.0,
        episode_ms: 1_000.0,
        seconds: 60,
    },
];

/// Guards against healthy targets without requests in the two seconds before a failure that nobody can foresee: while
/// few requests failed, targets that had failed and recovered were left alone for 6 s and more.
#[test]
fn recovered_targets_get_requests_in_every_two_seconds() {
    let mut failures = Vec::new();
    for case in CASES {
        for seed in 1..4 {
            let result = EpisodeFleet::new(case, seed).run();
            let end = case.seconds * 1000 - WINDOW_MS;
            let windows = (WARM_UP_MS..end).step_by(250);
            let shares = windows.map(|from| result.reached(from, WINDOW_MS));
            let shares: Vec<f64> = shares
                .filter(|(_, healthy)| *healthy >= MIN_HEALTHY)
                .map(|(share, _)| share)
                .collect();
            let below = shares.iter().filter(|share| **share < FLOOR_SHARE).count();
            let worst = shares.iter().copied().fold(1.0, f64::min);
            println!(
                "{}, seed {seed}: {below} of {} windows below, worst {worst:.2}; {} sent, {} lost, {} trials",
                case.name,
                shares.len(),
                result.sent,
                result.lost,
                result.trials
            );
            if below > 0 {
                failures.push(format!("{}, seed {seed}: worst {worst:.2}", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
