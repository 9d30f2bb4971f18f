//! What targets say of their limits, and the permits that boxes ask for.

use std::time::Duration;

use rand::Rng;
use wingbridge_decide::permits::PermitAnswer;
use wingbridge_decide::steer::{LimitUpdate, RequestRate, SteerPick};

use super::World;
use crate::steer::event::{Attempt, Request};
use crate::steer::limits::LimitStrategy;

/// For how long a target whose queue was full names a limit.
const FULL_TIME: Duration = Duration::from_secs(3);
/// A box that is alone looks again after this long at the latest.
const ALONE_PAUSE: Duration = Duration::from_secs(1);

impl World<'_> {
    /// Takes what a target's answer says of its limit, here and at all boxes if it is new.
    pub(super) fn receive_limit(&mut self, attempt: usize) {
        let Attempt { request, target, handle, .. } = self.attempts[attempt];
        let now = self.events.now;
        let named = self.named_limit(target);
        self.limits.note_named(now, target, named);
        if self.limit_strategy == LimitStrategy::Ignored {
            return;
        }
        let Request { gateway, .. } = self.requests[request];
        let said = named.map_or(LimitUpdate::None, LimitUpdate::At);
        let change = self.boxes[gateway].receive_limit(now, handle.key, handle.started, said);
        if change.is_none() {
            return;
        }
        let rate = self.boxes[gateway].limit(now, handle.key);
        for (number, core) in self.boxes.iter_mut().enumerate() {
            if number != gateway {
                // Told at once; the time on the way changes little of seconds.
                let _ = core.merge_limit(now, handle.key, rate, Duration::ZERO);
            }
        }
    }

    fn named_limit(&self, target: usize) -> Option<RequestRate> {
        let now = self.events.now;
        let full = self.full_at.get(&target).is_some_and(|at| now.since(*at) < FULL_TIME);
        let part = self.pattern.limit_part(now, target, full)?;
        let plan = &self.plan.services[self.targets[target].0];
        RequestRate::new(plan.rate / plan.targets as f64 * part)
    }

    /// Whether a box may send a request to `pick`, by the way that is played.
    pub(super) fn has_permit(&mut self, gateway: usize, pick: &SteerPick) -> bool {
        let Some(rate) = pick.limit else {
            return true;
        };
        let (now, place) = (self.events.now, (gateway, self.keys[&pick.key]));
        let answer = match self.limit_strategy {
            LimitStrategy::Ignored => return true,
            LimitStrategy::Permits => self.limits.keeper.answer(now, pick.key, rate, 1.0),
            LimitStrategy::EachAlone => {
                self.limits.alone.entry(place).or_default().answer(now, pick.key, rate, 1.0)
            }
            LimitStrategy::Shares => {
                let drawn = self.random.random();
                let share = self.limits.shares.entry(place).or_default();
                match share.acquire(now, rate, self.boxes.len(), drawn) {
                    PermitAnswer::Denied(wait) => PermitAnswer::Denied(wait.min(ALONE_PAUSE)),
                    PermitAnswer::Granted => PermitAnswer::Granted,
                }
            }
        };
        match answer {
            PermitAnswer::Granted => true,
            PermitAnswer::Denied(wait) => {
                self.boxes[gateway].record_no_permit_until(pick.key, now + wait);
                false
            }
        }
    }
}
