//! The ways to be sick that are tested for, and what one outcome says of each.

use crate::messages::VerdictCause;

pub(super) const FAILURE_MODES: usize = 4;

/// What a bad outcome is, from the plain to the subtle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureMode {
    /// Failed.
    Error = 0,
    /// Open for too long.
    Overdue = 1,
    /// Slower than nine in ten of the siblings' answers.
    Slow = 2,
    /// Slower than twice that.
    VerySlow = 3,
}

impl FailureMode {
    pub(super) fn cause(self) -> VerdictCause {
        match self {
            FailureMode::Error => VerdictCause::Errors,
            FailureMode::Overdue => VerdictCause::Stalls,
            FailureMode::Slow | FailureMode::VerySlow => VerdictCause::Slowness,
        }
    }
}

/// One way to be sick.
pub(super) struct Hypothesis {
    pub(super) mode: FailureMode,
    /// Rate of bad outcomes if it is so.
    pub(super) rate: f32,
    /// The least factor between that rate and the baseline one.
    pub(super) factor: f32,
    /// What of the threshold one window can add. Queues pass, so slowness must last.
    pub(super) window_share: f32,
    /// What other data centres add for each unit that this one saw itself.
    pub(super) remote_factor: f32,
}

pub(super) const HYPOTHESES: [Hypothesis; 6] = [
    Hypothesis {
        mode: FailureMode::Error,
        rate: 0.04,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    Hypothesis {
        mode: FailureMode::Error,
        rate: 0.25,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    Hypothesis {
        mode: FailureMode::Error,
        rate: 0.8,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 6.0,
    },
    // A target that stalls answers nothing at all, so one answer speaks loudly against it.
    Hypothesis {
        mode: FailureMode::Overdue,
        rate: 0.999,
        factor: 4.0,
        window_share: 0.25,
        remote_factor: 3.0,
    },
    Hypothesis {
        mode: FailureMode::Slow,
        rate: 0.35,
        factor: 2.2,
        window_share: 0.05,
        remote_factor: 3.0,
    },
    Hypothesis {
        mode: FailureMode::VerySlow,
        rate: 0.2,
        factor: 3.0,
        window_share: 0.05,
        remote_factor: 3.0,
    },
];

/// The least baseline rate of bad outcomes, for each mode.
pub(super) const MIN_BASELINE_RATE: [f32; FAILURE_MODES] = [0.001, 0.002, 0.1, 0.02];
/// The dispersion that is assumed at first, for each mode: errors come alone more
/// often than what queues bring about.
pub(super) const ASSUMED_DISPERSION: [f32; FAILURE_MODES] = [1.0, 2.0, 2.0, 2.0];
/// The highest rate that a hypothesis can be raised to.
pub(super) const MAX_FAILURE_RATE: f32 = 0.9995;

/// What one outcome adds to the sum of a hypothesis.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogLikelihoodRatios {
    pub(super) bad: f32,
    pub(super) good: f32,
}

impl LogLikelihoodRatios {
    /// `None` where the siblings are so bad that the hypothesis says nothing.
    pub(super) fn of(
        hypothesis: &Hypothesis,
        baseline: &[f32; FAILURE_MODES],
        factors: &[f32; FAILURE_MODES],
    ) -> Option<LogLikelihoodRatios> {
        let factor = factors[hypothesis.mode as usize];
        let baseline = baseline[hypothesis.mode as usize];
        let rate = hypothesis.rate.max(baseline * hypothesis.factor);
        if rate > MAX_FAILURE_RATE {
            return None;
        }
        let bad = (rate / baseline).ln();
        let good = ((1.0 - rate) / (1.0 - baseline)).ln();
        Some(LogLikelihoodRatios { bad: bad / factor, good: good / factor })
    }
}
