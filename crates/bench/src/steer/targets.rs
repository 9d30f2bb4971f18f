//! Targets of the emulator: slots, a queue, failure episodes.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::LoadReport;

use crate::steer::fleet::ServicePlan;

/// Requests that wait at a target at most; more are refused.
const QUEUE: usize = 8;
/// Share of requests that fail at a healthy target.
const SOUND_FAILING: f64 = 0.01;
/// An error comes back after this long.
const ERROR_TIME: Duration = Duration::from_millis(3);

/// How a target will deal with a request that it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkEnd {
    /// It answers well after that time.
    Good(Duration),
    /// It answers with a failure after that time.
    Failed(Duration),
    /// It never answers.
    Stalled,
}

/// A target.
#[derive(Debug)]
pub(super) struct EmulatedTarget {
    slots: usize,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    in_episode: bool,
    since: TimePoint,
    changes_at: TimePoint,
    /// Whether some box has suspected it in this episode.
    noticed: bool,
}

impl EmulatedTarget {
    pub(super) fn new(plan: &ServicePlan, random: &mut SmallRng) -> EmulatedTarget {
        let mut target = EmulatedTarget {
            slots: plan.slots as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            in_episode: random.random_bool(plan.episode_share),
            since: TimePoint::default(),
            changes_at: TimePoint::default(),
            // An episode at the start is older than the boxes.
            noticed: true,
        };
        target.changes_at = TimePoint::default() + target.draw_stay(plan, random);
        target
    }

    pub(super) fn load(&self) -> LoadReport {
        let held = self.running.len() + self.waiting.len();
        LoadReport { held: held as u32, slots: self.slots as u32 }
    }

    /// Whether it is in an episode at `now`; episodes begin and end by themselves.
    pub(super) fn in_episode(
        &mut self,
        now: TimePoint,
        plan: &ServicePlan,
        random: &mut SmallRng,
    ) -> bool {
        while self.changes_at <= now {
            self.in_episode = !self.in_episode;
            self.since = self.changes_at;
            self.noticed = false;
            self.changes_at = self.changes_at + self.draw_stay(plan, random);
        }
        self.in_episode
    }

    /// For how long it is in an episode at `now`, if it is, and whether that is noticed first.
    pub(super) fn notice(
        &mut self,
        now: TimePoint,
        plan: &ServicePlan,
        random: &mut SmallRng,
    ) -> Option<(Duration, bool)> {
        if !self.in_episode(now, plan, random) {
            return None;
        }
        let first = !std::mem::replace(&mut self.noticed, true);
        Some((now.since(self.since), first))
    }

    /// Takes an attempt; returns whether it was not refused.
    pub(super) fn take(&mut self, attempt: usize) -> bool {
        let room = self.waiting.len() < QUEUE;
        if room {
            self.waiting.push_back(attempt);
        }
        room
    }

    /// The next attempt that gets a slot, if there is one for it.
    pub(super) fn begin_next(&mut self) -> Option<usize> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Drops an attempt that has ended or was cancelled.
    pub(super) fn drop_attempt(&mut self, attempt: usize) {
        self.running.retain(|open| *open != attempt);
        self.waiting.retain(|open| *open != attempt);
    }

    /// How a request that gets a slot at `now` will go.
    pub(super) fn draw_end(
        &mut self,
        now: TimePoint,
        plan: &ServicePlan,
        random: &mut SmallRng,
    ) -> WorkEnd {
        let fails = self.in_episode(now, plan, random) && random.random_bool(plan.failing);
        if fails && random.random_bool(plan.stalling) {
            return WorkEnd::Stalled;
        }
        if fails || random.random_bool(SOUND_FAILING) {
            return WorkEnd::Failed(ERROR_TIME);
        }
        let work = LogNormal::new(plan.work.as_secs_f64().ln(), plan.spread);
        let drawn = work.map_or(plan.work.as_secs_f64(), |work| work.sample(random));
        WorkEnd::Good(Duration::from_secs_f64(drawn))
    }

    fn draw_stay(&self, plan: &ServicePlan, random: &mut SmallRng) -> Duration {
        let episode = plan.episode.as_secs_f64();
        let healthy = episode * (1.0 - plan.episode_share) / plan.episode_share;
        let mean = if self.in_episode { episode } else { healthy };
        let drawn = Exp::new(1.0 / mean).map_or(mean, |stay| stay.sample(random));
        Duration::from_secs_f64(drawn.max(0.001))
    }
}
