//! The failure hypotheses that are tested for each target, and the log-likelihood ratios that one outcome
//! adds to their sums.

use crate::messages::VerdictCause;

/// Number of [`FailureMode`]s.
pub(super) const FAILURE_MODES: usize = 4;

/// The ways in which an outcome can be bad, from the most to the least obvious. The discriminants index
/// arrays of length [`FAILURE_MODES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureMode {
    /// The attempt failed or was answered with a server error.
    Error = 0,
    /// The attempt is or was open for longer than the overdue threshold.
    Overdue = 1,
    /// The answer was slower than 90 % of the service's answers.
    Slow = 2,
    /// The answer took more than twice the threshold of [`FailureMode::Slow`].
    VerySlow = 3,
}

impl FailureMode {
    /// Returns the cause that a verdict based on this mode states.
    pub(super) fn cause(self) -> VerdictCause {
        match self {
            FailureMode::Error => VerdictCause::Errors,
            FailureMode::Overdue => VerdictCause::Stalls,
            FailureMode::Slow | FailureMode::VerySlow => VerdictCause::Slowness,
        }
    }
}

/// The hypothesis that a target fails in a given mode at a given rate.
pub(super) struct Hypothesis {
    /// Mode of the outcomes that count as bad.
    pub(super) mode: FailureMode,
    /// Rate of bad outcomes if the hypothesis is true.
    pub(super) rate: f32,
    /// Minimum ratio of that rate to the baseline rate. Where the baseline is high, the rate is raised to
    /// this multiple of it.
    pub(super) factor: f32,
    /// Maximum share of the threshold that one window can add to the sum. It is lowest for slowness, which
    /// has to persist, because queues that build up briefly also slow answers.
    pub(super) window_share: f32,
    /// Maximum evidence counted from other data centres, as a multiple of the local sum.
    pub(super) remote_factor: f32,
}

/// All hypotheses that are tested, for each target and data centre.
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
    // A stalled target answers nothing at all, so a single answer is strong evidence against a stall.
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

/// Minimum baseline rate of bad outcomes, by failure mode.
pub(super) const MIN_BASELINE_RATE: [f32; FAILURE_MODES] = [0.001, 0.002, 0.1, 0.02];
/// Dispersion that is assumed until enough has been measured, by failure mode. It is lower for errors, which
/// cluster less than the delays that queues cause.
pub(super) const ASSUMED_DISPERSION: [f32; FAILURE_MODES] = [1.0, 2.0, 2.0, 2.0];
/// Maximum rate that a hypothesis can be raised to; above it, the hypothesis is not tested.
pub(super) const MAX_FAILURE_RATE: f32 = 0.9995;

/// The log-likelihood ratios that one outcome adds to the sum of a hypothesis, divided by the dispersion
/// factor.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogLikelihoodRatios {
    /// Summand for a bad outcome; positive.
    pub(super) bad: f32,
    /// Summand for a good outcome; negative.
    pub(super) good: f32,
}

impl LogLikelihoodRatios {
    /// Returns the ratios of `hypothesis` against the `baseline` rates. `None` if the siblings' rate of bad
    /// outcomes is so high that the hypothesis can't be distinguished from it.
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
