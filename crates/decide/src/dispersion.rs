//! Pearson's dispersion, a measure of how much bad outcomes cluster, over the last minutes.
//!
//! If outcomes were independent, the squared deviation of the number of bad ones in a span from its expected
//! value, divided by its variance, would be 1 on average. With queues and pauses it is several times as high.
//! The log-likelihood ratios are divided by the dispersion (quasi-likelihood, McCullagh and Nelder).

use std::time::Duration;

use crate::time::TimePoint;

/// Half-life of the weight of past spans.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Upper bound on the squared deviation of one span, so that one failing target does not make all outcomes of
/// its service look clustered.
const MAX_SPAN_DEVIATION: f32 = 60.0;
/// Weight of the assumed initial dispersion, as a number of spans.
const PRIOR_SPANS: f32 = 30.0;
/// Minimum number of outcomes in a span. Smaller spans are ignored, since they carry no information.
const MIN_SPAN_COUNT: f32 = 4.0;
/// Upper bound on the dispersion.
const MAX_DISPERSION: f32 = 30.0;

/// The dispersion of one failure mode of one service.
#[derive(Debug, Clone)]
pub struct Dispersion {
    prior: f32,
    spans: f32,
    sum: f32,
    decayed: TimePoint,
}

impl Dispersion {
    /// Returns a dispersion without measurements, whose factor starts at `prior`.
    pub fn new(prior: f32) -> Dispersion {
        Dispersion { prior, spans: 0.0, sum: 0.0, decayed: TimePoint::default() }
    }

    /// Records a span of one target in which `bad` of `count` outcomes were bad, against a baseline share of
    /// `rate`.
    pub fn record(&mut self, now: TimePoint, count: f32, bad: f32, rate: f32) {
        if count < MIN_SPAN_COUNT {
            return;
        }
        self.decay(now);
        let expected = count * rate;
        let variance = (expected * (1.0 - rate)).max(0.05);
        let deviation = (bad - expected).powi(2) / variance;
        self.spans += 1.0;
        self.sum += deviation.min(MAX_SPAN_DEVIATION);
    }

    /// Returns the factor by which log-likelihood ratios are divided, 1 or more.
    pub fn factor(&self) -> f32 {
        let sum = self.sum + self.prior * PRIOR_SPANS;
        (sum / (self.spans + PRIOR_SPANS)).clamp(1.0, MAX_DISPERSION)
    }

    fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.decayed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let decay = (-age).exp2() as f32;
        self.spans *= decay;
        self.sum *= decay;
        self.decayed = now;
    }
}
