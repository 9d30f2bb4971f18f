//! How likely a target is in a spell of failures: a filter over two states.
//!
//! A target is sound or in a spell. In a spell it fails most of its requests, while
//! sound it fails few; spells begin and end by themselves. Each outcome moves the
//! belief by Bayes' rule, and with time it returns to the share of targets that are
//! in a spell at any moment. One failure is then nearly conclusive, and a few
//! successes acquit.

use std::time::Duration;

use crate::steer::latency_ratios::{OVERDUE_SHARE, stall_ratio};
use crate::time::TimePoint;

/// Share of targets in a spell at any moment. Source: of 1,500 idle targets that were tried
/// at either of the first two users, one in ten failed. Learning it from targets that were
/// tried after a rest raised false suspicions by 80 % and served no more.
const USUAL_SHARE: f64 = 0.15;
/// What is assumed of a target that has just joined: new ones are seldom in a spell.
const NEW_SHARE: f64 = 0.1;
/// Time in which the belief returns by a factor of e where no spell is known. Source: of
/// the targets that had failed 3 to 5 s before, a third failed again.
const RETURN_TIME: Duration = Duration::from_millis(4500);
/// Failing share of requests in a spell. Source: three quarters at one user, nine in ten at the other.
const BAD_IN_SPELL: f64 = 0.75;
/// Failing share of requests of a sound target. Source: 1.2 in 100 at each user.
const BAD_WHEN_SOUND: f64 = 0.015;
/// The belief stays this far from certainty, so that it can turn again.
const DOUBT: f64 = 0.002;

/// What an outcome says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeSample {
    /// It went well.
    Good,
    /// It failed.
    Bad,
    /// It stalled: it is open for longer than nearly all.
    Stalled,
}

/// What the targets of one service have in common, learned from all of them.
#[derive(Debug, Clone, Copy)]
pub struct EpisodeStats {
    stalls: f64,
    errors: f64,
}

/// The probability that a target is in a spell.
#[derive(Debug, Clone, Copy)]
pub struct FailureEstimate {
    in_episode: f64,
    updated: TimePoint,
}

impl Default for EpisodeStats {
    fn default() -> EpisodeStats {
        EpisodeStats { stalls: 1.0, errors: 1.0 }
    }
}

impl EpisodeStats {
    /// The part of failures that are stalls; the others come back as errors.
    pub fn stalled_share(&self) -> f64 {
        self.stalls / (self.stalls + self.errors)
    }

    /// The share of requests in a spell that stall.
    pub fn stalling(&self) -> f64 {
        BAD_IN_SPELL * self.stalled_share()
    }

    /// How many times likelier an attempt counts as stalled in a spell than at a sound
    /// target: hardly at a service whose failures come back as errors, where what is open
    /// for long is mostly just slow.
    fn stalled_ratio(&self) -> f64 {
        stall_ratio(OVERDUE_SHARE, self.stalling())
    }

    /// Counts a failure by its kind.
    pub fn note_failure(&mut self, sample: OutcomeSample) {
        /// Failures that are remembered: what a service's spells do changes seldom.
        const REMEMBERED: f64 = 50.0;
        match sample {
            OutcomeSample::Good => return,
            OutcomeSample::Bad => self.errors += 1.0,
            OutcomeSample::Stalled => self.stalls += 1.0,
        }
        let most = (REMEMBERED / (self.stalls + self.errors)).min(1.0);
        self.stalls *= most;
        self.errors *= most;
    }
}

impl FailureEstimate {
    /// The belief about a target before anything was seen of it. `at_start` is whether
    /// the box itself is new, so that the target may have been there for long.
    pub fn new(now: TimePoint, at_start: bool) -> FailureEstimate {
        let in_episode = if at_start { USUAL_SHARE } else { NEW_SHARE };
        FailureEstimate { in_episode, updated: now }
    }

    /// The probability that the target is in a spell.
    pub fn in_episode(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / RETURN_TIME.as_secs_f64();
        USUAL_SHARE + (self.in_episode - USUAL_SHARE) * (-passed).exp()
    }

    /// The probability that the next attempt fails. `ratio` is how many times likelier the
    /// open attempts' ages are in a spell than at a sound target.
    pub fn risk(&self, now: TimePoint, ratio: f64) -> f64 {
        let in_episode = weigh(self.in_episode(now), ratio);
        in_episode * BAD_IN_SPELL + (1.0 - in_episode) * BAD_WHEN_SOUND
    }

    /// Takes an outcome, at a service with those episode_stats.
    pub fn note(&mut self, now: TimePoint, sample: OutcomeSample, episode_stats: &EpisodeStats) {
        let ratio = match sample {
            OutcomeSample::Good => (1.0 - BAD_IN_SPELL) / (1.0 - BAD_WHEN_SOUND),
            OutcomeSample::Bad => BAD_IN_SPELL / BAD_WHEN_SOUND,
            OutcomeSample::Stalled => episode_stats.stalled_ratio(),
        };
        self.take_ratio(now, ratio);
    }

    /// Takes evidence that is `ratio` times likelier in a spell than at a sound target.
    pub fn take_ratio(&mut self, now: TimePoint, ratio: f64) {
        let after = weigh(self.in_episode(now), ratio);
        self.in_episode = after.clamp(DOUBT, 1.0 - DOUBT);
        self.updated = now;
    }
}

/// Bayes' rule for two states.
fn weigh(before: f64, ratio: f64) -> f64 {
    let joint = before * ratio;
    joint / (joint + 1.0 - before)
}
