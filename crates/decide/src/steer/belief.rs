//! How likely a target is in a spell of failures: a filter over two states.
//!
//! A target is sound or in a spell. In a spell it fails most of its requests, while
//! sound it fails few; spells begin and end by themselves. Each outcome moves the
//! belief by Bayes' rule, and with time it returns to the share of targets that are
//! in a spell at any moment. One failure is then nearly conclusive, and a few
//! successes acquit.

use std::time::Duration;

use crate::time::TimePoint;

/// Share of targets in a spell at any moment. Source: of 1,500 idle targets that were tried
/// at either user, one in ten failed (docs/MEASURED.md, calibration).
const USUAL_SHARE: f64 = 0.15;
/// What is assumed of a target that has just joined: new ones are seldom in a spell.
const NEW_SHARE: f64 = 0.1;
/// Time in which the belief returns by a factor of e where no spell is known. Source: of
/// the targets that had failed 3 to 5 s before, a third failed again.
const RETURN_TIME: Duration = Duration::from_millis(4500);
/// Failing share of requests in a spell. Source: three quarters at one user, nine in ten at the other.
const BAD_IN_SPELL: f64 = 0.75;
/// Failing share of requests of a sound target. Source: 1.2 in 100 at either user.
const BAD_WHEN_SOUND: f64 = 0.015;
/// Share of attempts that are overdue in a spell, and at a sound target.
const OVERDUE_IN_SPELL: f64 = 0.3;
const OVERDUE_WHEN_SOUND: f64 = 0.02;
/// The belief stays this far from certainty, so that it can turn again.
const DOUBT: f64 = 0.002;

/// What an outcome says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeliefSample {
    /// It went well.
    Good,
    /// It failed.
    Bad,
    /// It is open for longer than nearly all.
    Overdue,
}

/// The probability that a target is in a spell.
#[derive(Debug, Clone, Copy)]
pub struct TargetBelief {
    in_spell: f64,
    updated: TimePoint,
}

impl TargetBelief {
    /// The belief about a target before anything was seen of it. `at_start` is whether
    /// the box itself is new, so that the target may have been there for long.
    pub fn new(now: TimePoint, at_start: bool) -> TargetBelief {
        let in_spell = if at_start { USUAL_SHARE } else { NEW_SHARE };
        TargetBelief { in_spell, updated: now }
    }

    /// The probability that the target is in a spell.
    pub fn in_spell(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / RETURN_TIME.as_secs_f64();
        USUAL_SHARE + (self.in_spell - USUAL_SHARE) * (-passed).exp()
    }

    /// The probability that the next attempt fails.
    pub fn risk(&self, now: TimePoint) -> f64 {
        let in_spell = self.in_spell(now);
        in_spell * BAD_IN_SPELL + (1.0 - in_spell) * BAD_WHEN_SOUND
    }

    /// Takes an outcome.
    pub fn note(&mut self, now: TimePoint, sample: BeliefSample) {
        let (spell, sound) = match sample {
            BeliefSample::Good => (1.0 - BAD_IN_SPELL, 1.0 - BAD_WHEN_SOUND),
            BeliefSample::Bad => (BAD_IN_SPELL, BAD_WHEN_SOUND),
            BeliefSample::Overdue => (OVERDUE_IN_SPELL, OVERDUE_WHEN_SOUND),
        };
        let before = self.in_spell(now);
        let joint = before * spell;
        let after = joint / (joint + (1.0 - before) * sound);
        self.in_spell = after.clamp(DOUBT, 1.0 - DOUBT);
        self.updated = now;
    }
}
