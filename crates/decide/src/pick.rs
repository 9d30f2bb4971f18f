//! The choice of a target for a request: the less loaded of two random targets (power of two choices).

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::health::HealthState;
use crate::service::{ServiceState, TargetState};
use crate::time::TimePoint;

/// Maximum number of random samples before all targets are compared instead.
const MAX_SAMPLES: usize = 8;
/// Half-life of the weight of a reported load.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// The request for which a target is chosen.
pub(crate) struct PickContext<'a> {
    pub(crate) now: TimePoint,
    /// Indices of the targets that the request has already been sent to.
    pub(crate) tried: &'a [usize],
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
}

/// Returns the index of the target of `service` for the request, or `None` if no eligible target remains.
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
    for _ in 0..MAX_SAMPLES {
        let index = eligible[random.random_range(0..eligible.len())];
        if !allowed(service, index, context) || !accept_sample(service, index, context, random) {
            continue;
        }
        match first {
            None => first = Some(index),
            Some(other) if other == index => {}
            Some(other) => return Some(less_loaded(service, other, index, context.now)),
        }
    }
    first.or_else(|| best_allowed(service, context))
}

/// Returns whether the request may be sent to the target. A target on trial gets repeatable requests only, unless the
/// floor guard does not enforce its ejection.
fn allowed(service: &ServiceState, index: usize, context: &PickContext<'_>) -> bool {
    if context.tried.contains(&index) {
        return false;
    }
    let target = service.target(index);
    context.repeatable || target.health.state() != HealthState::Trial || !target.ejection_enforced
}

/// Returns whether to accept a random sample of the target, with its traffic share as the probability.
fn accept_sample(
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

/// Returns the allowed target with the highest share and, among equal shares, the lowest load.
fn best_allowed(service: &ServiceState, context: &PickContext<'_>) -> Option<usize> {
    let candidates = service.eligible().iter().copied();
    let candidates = candidates.filter(|&index| allowed(service, index, context));
    candidates.min_by(|&one, &other| {
        let share = |index| service.share(index, context.now);
        let load = |index| target_load(service.target(index), context.now);
        share(other).total_cmp(&share(one)).then(load(one).total_cmp(&load(other)))
    })
}

/// Returns the load of a target as a share of its slots: the open attempts of this box plus the last reported load,
/// which decays with its age.
fn target_load(target: &TargetState, now: TimePoint) -> f64 {
    let local = f64::from(target.open) / f64::from(target.setup.slots.max(1));
    let age = now.since(target.load_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
    local + f64::from(target.load) * (-age).exp2()
}
