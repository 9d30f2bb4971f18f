//! A steering core whose targets give the answers that a test chooses.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{
    HomeRegions, PeerSample, SteerCore, SteerOutcome, SteerRequest, SteerSetup,
};
use wingbridge_decide::{TargetKey, TimePoint};

/// The service of all targets.
pub const SERVICE: &str = "orders";
/// The route of all requests.
pub const ROUTE: &str = "route";
/// The window of the retry budget.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Number of picks by which a test measures the distribution of requests.
pub const PICKS: usize = 400;

pub fn bounds() -> RetryBounds {
    RetryBounds { share: 0.2, slack: 58.0, window: WINDOW }
}

pub fn core() -> SteerCore {
    core_with_seed(7)
}

pub fn core_with_seed(seed: u64) -> SteerCore {
    SteerCore::new(SteerSetup {
        data_centre: "near".into(),
        cross_cost: 0.012,
        retries: bounds(),
        seed,
        mechanisms: MechanismSet::default(),
    })
}

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1000)
}

pub fn target(id: &str, data_centre: &str) -> SteerTarget {
    SteerTarget {
        id: id.into(),
        started_ms: 0,
        address: format!("10.0.0.1:{}", 1000 + id.len()).into(),
        service: SERVICE.into(),
        data_centre: data_centre.into(),
        slots: 3,
        cold_until: TimePoint::default(),
        region: "region".into(),
        evacuated: false,
        cold_rate: None,
    }
}

pub fn request(repeatable: bool, tried: &[TargetKey]) -> SteerRequest<'_> {
    SteerRequest {
        service: SERVICE,
        route: ROUTE,
        repeatable,
        large: false,
        body_bytes: 0,
        goal: Duration::from_secs(1),
        remaining: Duration::from_secs(3),
        tried,
        homes: HomeRegions::Any,
    }
}

/// Returns a core whose targets have answered successfully until `now`.
pub fn core_with_healthy_targets(ids: &[(&str, &str)], now: TimePoint) -> SteerCore {
    let mut core = core();
    core.set_targets(at(0), ids.iter().map(|(id, centre)| target(id, centre)).collect());
    core.set_boxes(10, 30);
    for (id, _) in ids {
        report_success(&mut core, now, id, 4);
    }
    core
}

/// Reports `count` successful attempts at `id`.
pub fn report_success(core: &mut SteerCore, now: TimePoint, id: &str, count: u32) {
    let sample = PeerSample {
        good: count.min(3),
        open: Some(0),
        latency_ratio: Some(1.0),
        ..PeerSample::default()
    };
    for _ in 0..count.div_ceil(3) {
        core.merge_peer_sample(now, 1, TargetKey::of(id), &sample);
    }
}

/// Reports a failed attempt at `id`.
pub fn report_failure(core: &mut SteerCore, now: TimePoint, id: &str) {
    let sample = PeerSample { bad: 1, open: Some(0), ..PeerSample::default() };
    core.merge_peer_sample(now, 1, TargetKey::of(id), &sample);
}

/// Makes an attempt of a request on [`ROUTE`] at `id`, from `start` to its end at `now`.
pub fn make_attempt(core: &mut SteerCore, start: TimePoint, now: TimePoint, id: &str, good: bool) {
    let handle = core.begin(start, TargetKey::of(id), &ROUTE.into());
    let outcome =
        if good { SteerOutcome::Good(now.since(start)) } else { SteerOutcome::DeadlineExceeded };
    core.end(now, &handle, &ROUTE.into(), outcome, 400);
}

/// Returns how often each of `ids` is picked at `now`; no attempt is made by these picks.
pub fn pick_counts(
    core: &mut SteerCore,
    now: TimePoint,
    ids: &[&str],
    repeatable: bool,
) -> Vec<usize> {
    let mut counts = vec![0; ids.len()];
    for _ in 0..PICKS {
        let pick = core.pick(now, &request(repeatable, &[])).expect("a target is chosen");
        let index = ids.iter().position(|id| **id == *pick.id).expect("the pick is one of the ids");
        counts[index] += 1;
    }
    counts
}
