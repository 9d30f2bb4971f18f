//! The probability that a target is in a failure episode, as a Bayesian filter over two states.
//!
//! A target is either healthy or in a failure episode. In an episode it fails most of its requests,
//! otherwise it fails few; episodes begin and end without intervention. Each outcome updates the
//! probability by Bayes' rule, and over time the probability returns to the share of targets that are in
//! an episode at any moment. One failure is nearly conclusive then, and a few successes clear the target.

use std::time::Duration;

use crate::steer::latency_ratios::{OVERDUE_SHARE, stall_likelihood_ratio};
use crate::time::TimePoint;

/// Share of targets that are in an episode at any moment. Of 1,500 idle targets that got a trial request
/// in production, one in ten failed. Learning the share from the targets that were tried after an idle
/// time raised false suspicions by 80 % and served no more requests.
const EPISODE_SHARE: f64 = 0.15;
/// Assumed probability of an episode for a target that has just joined: new targets are seldom in one.
const NEW_TARGET_EPISODE_SHARE: f64 = 0.1;
/// Time constant with which the probability returns to [`EPISODE_SHARE`]. Of the targets that had failed
/// 3 to 5 s before, a third failed again.
const RETURN_TIME: Duration = Duration::from_millis(4500);
/// Share of requests that fail in an episode. In production it was three quarters at one user and nine in
/// ten at another.
const EPISODE_FAILURE_SHARE: f64 = 0.75;
/// Share of requests that a healthy target fails. In production it was 1.2 in 100.
const HEALTHY_FAILURE_SHARE: f64 = 0.015;
/// Distance that the probability keeps from 0 and 1, so that later evidence can still change it.
const MIN_UNCERTAINTY: f64 = 0.002;

/// The outcome of an attempt as evidence about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeSample {
    /// The attempt succeeded.
    Good,
    /// The attempt failed.
    Bad,
    /// The attempt stalled: it is open for longer than nearly all healthy ones.
    Stalled,
}

/// Properties of failure episodes that the targets of one service share, learned from all of them.
#[derive(Debug, Clone, Copy)]
pub struct EpisodeStats {
    stalls: f64,
    errors: f64,
}

/// The probability that a target is in a failure episode.
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
    /// Returns the share of failures that are stalls; the others are answered with errors.
    pub fn stalled_share(&self) -> f64 {
        self.stalls / (self.stalls + self.errors)
    }

    /// Returns the share of requests that stall in an episode.
    pub fn episode_stall_share(&self) -> f64 {
        EPISODE_FAILURE_SHARE * self.stalled_share()
    }

    /// Returns the likelihood ratio of a stalled attempt for an episode relative to a healthy target. It
    /// is close to 1 at a service whose failures are answered with errors, where an attempt that has been
    /// open for a long time is usually just slow.
    fn stalled_ratio(&self) -> f64 {
        stall_likelihood_ratio(OVERDUE_SHARE, self.episode_stall_share())
    }

    /// Counts a failure by its kind; a success changes nothing.
    pub fn record_failure(&mut self, sample: OutcomeSample) {
        /// Number of failures that the counts are scaled down to: how a service fails seldom changes.
        const MAX_FAILURES: f64 = 50.0;
        match sample {
            OutcomeSample::Good => return,
            OutcomeSample::Bad => self.errors += 1.0,
            OutcomeSample::Stalled => self.stalls += 1.0,
        }
        let scale = (MAX_FAILURES / (self.stalls + self.errors)).min(1.0);
        self.stalls *= scale;
        self.errors *= scale;
    }
}

impl FailureEstimate {
    /// Creates the estimate for a target without any outcome. `at_start` states whether the box itself has
    /// just started, so that the target may have been running for a long time.
    pub fn new(now: TimePoint, at_start: bool) -> FailureEstimate {
        let in_episode = if at_start { EPISODE_SHARE } else { NEW_TARGET_EPISODE_SHARE };
        FailureEstimate { in_episode, updated: now }
    }

    /// Returns the probability that the target is in an episode at `now`.
    pub fn in_episode(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / RETURN_TIME.as_secs_f64();
        EPISODE_SHARE + (self.in_episode - EPISODE_SHARE) * (-passed).exp()
    }

    /// Returns the probability that the next attempt fails. `ratio` is the likelihood ratio of the ages of
    /// the open attempts for an episode relative to a healthy target.
    pub fn risk(&self, now: TimePoint, ratio: f64) -> f64 {
        let in_episode = posterior(self.in_episode(now), ratio);
        in_episode * EPISODE_FAILURE_SHARE + (1.0 - in_episode) * HEALTHY_FAILURE_SHARE
    }

    /// Updates the estimate by an outcome. `episode_stats` are the properties of episodes at the target's
    /// service.
    pub fn record_outcome(
        &mut self,
        now: TimePoint,
        sample: OutcomeSample,
        episode_stats: &EpisodeStats,
    ) {
        let ratio = match sample {
            OutcomeSample::Good => (1.0 - EPISODE_FAILURE_SHARE) / (1.0 - HEALTHY_FAILURE_SHARE),
            OutcomeSample::Bad => EPISODE_FAILURE_SHARE / HEALTHY_FAILURE_SHARE,
            OutcomeSample::Stalled => episode_stats.stalled_ratio(),
        };
        self.record_evidence(now, ratio);
    }

    /// Updates the estimate by evidence that has the likelihood ratio `ratio` for an episode relative to a
    /// healthy target.
    pub fn record_evidence(&mut self, now: TimePoint, ratio: f64) {
        let after = posterior(self.in_episode(now), ratio);
        self.in_episode = after.clamp(MIN_UNCERTAINTY, 1.0 - MIN_UNCERTAINTY);
        self.updated = now;
    }
}

/// Returns the probability of a state after evidence, by Bayes' rule for two states.
fn posterior(prior: f64, ratio: f64) -> f64 {
    let joint = prior * ratio;
    joint / (joint + 1.0 - prior)
}
