//! The choice of a target: power of two choices over load.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::health::HealthState;
use crate::service::{ServiceState, TargetState};
use crate::time::TimePoint;

/// Draws before the targets are looked through one by one.
const DRAWS: usize = 8;
/// A report of load loses half its weight in this time.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// What a choice is made for.
pub(crate) struct PickContext<'a> {
    pub(crate) now: TimePoint,
    /// Targets that were tried for this request, by index.
    pub(crate) tried: &'a [usize],
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
}

/// Chooses a target of `service`, by index.
pub(crate) fn pick_target(
    service: &ServiceState,
    context: &PickContext<'_>,
    random: &mut SmallRng,
) -> Option<usize> {
    let eligible = service.eligible();
    if eligible.is_empty() {
        return None;
    }
    let mut first: Option<usize> = None;
    for _ in 0..DRAWS {
        let index = eligible[random.random_range(0..eligible.len())];
        if !allowed(service, index, context) || !admitted(service, index, context, random) {
            continue;
        }
        match first {
            None => first = Some(index),
            Some(other) if other == index => {}
            Some(other) => return Some(less_loaded(service, other, index, context.now)),
        }
    }
    first.or_else(|| look_through(service, context))
}

/// Whether the target may have this request at all.
fn allowed(service: &ServiceState, index: usize, context: &PickContext<'_>) -> bool {
    if context.tried.contains(&index) {
        return false;
    }
    let target = service.target(index);
    context.repeatable || target.health.state() != HealthState::Trial || !target.ejection_enforced
}

/// Whether the target's share lets this draw through.
fn admitted(
    service: &ServiceState,
    index: usize,
    context: &PickContext<'_>,
    random: &mut SmallRng,
) -> bool {
    let share = service.share(index, context.now);
    share >= 1.0 || random.random::<f64>() < share
}

fn less_loaded(service: &ServiceState, one: usize, other: usize, now: TimePoint) -> usize {
    let load = |index: usize| target_load(service.target(index), now);
    if load(other) < load(one) { other } else { one }
}

/// The allowed target with the highest share, then the least load.
fn look_through(service: &ServiceState, context: &PickContext<'_>) -> Option<usize> {
    let candidates = service.eligible().iter().copied();
    let candidates = candidates.filter(|&index| allowed(service, index, context));
    candidates.min_by(|&one, &other| {
        let share = |index| service.share(index, context.now);
        let load = |index| target_load(service.target(index), context.now);
        share(other).total_cmp(&share(one)).then(load(one).total_cmp(&load(other)))
    })
}

/// Own open attempts and what the target last said, aged, as a share of its slots.
fn target_load(target: &TargetState, now: TimePoint) -> f64 {
    let own = f64::from(target.open) / f64::from(target.setup.slots.max(1));
    let age = now.since(target.load_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
    own + f64::from(target.load) * (-age).exp2()
}
