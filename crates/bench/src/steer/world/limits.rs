//! Limits that targets name, and the permits that boxes need under them.

use std::time::Duration;

use rand::Rng;
use wingbridge_decide::permits::PermitAnswer;
use wingbridge_decide::steer::{LimitUpdate, RequestRate, SteerPick};

use super::World;
use crate::steer::event::{Attempt, Request};
use crate::steer::limits::LimitStrategy;

/// Time for which a target names a limit after its queue was full.
const FULL_QUEUE_TIME: Duration = Duration::from_secs(3);
/// Longest time after which a box that uses only its own share tries again.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(1);

impl World<'_> {
    /// Applies the limit that a target's answer names to the box that received it, and to all other
    /// boxes if the limit has changed.
    pub(super) fn receive_limit(&mut self, attempt: usize) {
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        let now = self.events.now;
        let named = self.named_limit(target);
        self.limits.record_limit(now, target, named);
        if self.limit_strategy == LimitStrategy::Ignored {
            return;
        }
        let Request { box_number, .. } = self.requests[request];
        let update = named.map_or(LimitUpdate::None, LimitUpdate::At);
        let change = self.boxes[box_number].record_limit(now, handle.key, handle.started, update);
        if change.is_none() {
            return;
        }
        let rate = self.boxes[box_number].limit(now, handle.key);
        for (number, core) in self.boxes.iter_mut().enumerate() {
            if number != box_number {
                // Without latency, which is small against limits that last for seconds.
                let _ = core.merge_limit(now, handle.key, rate, Duration::ZERO);
            }
        }
    }

    fn named_limit(&self, target: usize) -> Option<RequestRate> {
        let now = self.events.now;
        let full = self.full_at.get(&target).is_some_and(|at| now.since(*at) < FULL_QUEUE_TIME);
        let share = self.pattern.limit_share(now, target, full)?;
        let plan = &self.plan.services[self.targets[target].0];
        RequestRate::new(plan.rate / plan.targets as f64 * share)
    }

    /// Returns whether a box may send a request to the selected target under the limit strategy.
    pub(super) fn has_permit(&mut self, box_number: usize, pick: &SteerPick) -> bool {
        let Some(rate) = pick.limit else {
            return true;
        };
        let (now, box_and_target) = (self.events.now, (box_number, self.keys[&pick.key]));
        let answer = match self.limit_strategy {
            LimitStrategy::Ignored => return true,
            LimitStrategy::Permits => self.limits.coordinator.answer(now, pick.key, rate, 1.0),
            LimitStrategy::EachAlone => self
                .limits
                .alone
                .entry(box_and_target)
                .or_default()
                .answer(now, pick.key, rate, 1.0),
            LimitStrategy::Shares => {
                let random = self.random.random();
                let share = self.limits.shares.entry(box_and_target).or_default();
                match share.acquire(now, rate, self.boxes.len(), random) {
                    PermitAnswer::Denied(wait) => PermitAnswer::Denied(wait.min(MAX_SHARE_WAIT)),
                    PermitAnswer::Granted => PermitAnswer::Granted,
                }
            }
        };
        match answer {
            PermitAnswer::Granted => true,
            PermitAnswer::Denied(wait) => {
                self.boxes[box_number].record_no_permit_until(pick.key, now + wait);
                false
            }
        }
    }
}
