//! Emulated targets, with slots, a queue and failure episodes.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};
use wingbridge_decide::TimePoint;
use wingbridge_decide::steer::LoadReport;

use crate::steer::fleet::ServicePlan;

/// Length of a target's queue from which on it refuses requests.
const MAX_QUEUE: usize = 8;
/// Share of requests that fail at a healthy target.
const HEALTHY_FAILURE_SHARE: f64 = 0.01;
/// Time after which a failing request is answered with an error.
const ERROR_TIME: Duration = Duration::from_millis(3);

/// The outcome of a request that a target starts to process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkOutcome {
    /// The request succeeds after that time.
    Good(Duration),
    /// The request fails after that time.
    Failed(Duration),
    /// The target never answers.
    Stalled,
}

/// The state of a target. Attempts are given by their indices.
#[derive(Debug)]
pub(super) struct EmulatedTarget {
    slots: usize,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    in_episode: bool,
    /// When the current state (episode or not) began.
    since: TimePoint,
    /// When the current state ends.
    changes_at: TimePoint,
    /// Whether a box has suspected the target in the current episode.
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
            // An episode at the start began before the boxes did, so its detection is not timed.
            noticed: true,
        };
        target.changes_at = TimePoint::default() + target.sample_state_time(plan, random);
        target
    }

    pub(super) fn load(&self) -> LoadReport {
        let held = self.running.len() + self.waiting.len();
        LoadReport { held: held as u32, slots: self.slots as u32 }
    }

    /// Advances the state to `now` and returns whether the target is in a failure episode.
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
            self.changes_at = self.changes_at + self.sample_state_time(plan, random);
        }
        self.in_episode
    }

    /// Records that a box suspects the target. Returns the age of the current episode, if there is one,
    /// and whether this is the first suspicion in it.
    pub(super) fn record_suspicion(
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

    /// Queues an attempt. Returns false if the queue is full, which refuses the attempt.
    pub(super) fn enqueue(&mut self, attempt: usize) -> bool {
        let room = self.waiting.len() < MAX_QUEUE;
        if room {
            self.waiting.push_back(attempt);
        }
        room
    }

    /// Moves the next waiting attempt into a free slot and returns it, if there are both.
    pub(super) fn start_next(&mut self) -> Option<usize> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Removes an attempt that has ended or was cancelled.
    pub(super) fn remove_attempt(&mut self, attempt: usize) {
        self.running.retain(|open| *open != attempt);
        self.waiting.retain(|open| *open != attempt);
    }

    /// Samples the outcome of a request that gets a slot at `now`.
    pub(super) fn sample_outcome(
        &mut self,
        now: TimePoint,
        plan: &ServicePlan,
        random: &mut SmallRng,
    ) -> WorkOutcome {
        let fails = self.in_episode(now, plan, random) && random.random_bool(plan.failing);
        if fails && random.random_bool(plan.stalling) {
            return WorkOutcome::Stalled;
        }
        if fails || random.random_bool(HEALTHY_FAILURE_SHARE) {
            return WorkOutcome::Failed(ERROR_TIME);
        }
        let work = LogNormal::new(plan.work.as_secs_f64().ln(), plan.spread);
        let seconds = work.map_or(plan.work.as_secs_f64(), |work| work.sample(random));
        WorkOutcome::Good(Duration::from_secs_f64(seconds))
    }

    /// Samples for how long the target stays in its current state.
    fn sample_state_time(&self, plan: &ServicePlan, random: &mut SmallRng) -> Duration {
        let episode = plan.episode.as_secs_f64();
        let healthy = episode * (1.0 - plan.episode_share) / plan.episode_share;
        let mean = if self.in_episode { episode } else { healthy };
        let seconds = Exp::new(1.0 / mean).map_or(mean, |time| time.sample(random));
        Duration::from_secs_f64(seconds.max(0.001))
    }
}
