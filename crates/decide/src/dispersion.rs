//! How much bad outcomes cluster: Pearson's dispersion, remembered for some minutes.
//!
//! If outcomes were independent, the squared deviation of a span's bad ones from
//! what is usual, over its variance, would be 1 on average. Queues and pauses make
//! it several times that; the likelihood ratios are divided by it (quasi-likelihood,
//! McCullagh and Nelder).

use std::time::Duration;

use crate::time::TimePoint;

const HALF_LIFE: Duration = Duration::from_secs(120);
/// One span counts for at most so much, so a target that fails does not pass as a
/// service that clusters.
const SPAN_MOST: f32 = 60.0;
/// What is assumed at first has the weight of so many spans.
const ASSUMED_SPANS: f32 = 30.0;
/// Spans with fewer outcomes say nothing.
const LEAST_COUNT: f32 = 4.0;
const FACTOR_MOST: f32 = 30.0;

/// The dispersion of one measure of one service.
#[derive(Debug, Clone)]
pub struct Dispersion {
    assumed: f32,
    spans: f32,
    sum: f32,
    decayed: TimePoint,
}

impl Dispersion {
    /// Nothing measured yet; `assumed` holds until there is.
    pub fn new(assumed: f32) -> Dispersion {
        Dispersion { assumed, spans: 0.0, sum: 0.0, decayed: TimePoint::default() }
    }

    /// Notes a span of one target: `bad` of `count` outcomes, where `rate` is usual.
    pub fn record(&mut self, now: TimePoint, count: f32, bad: f32, rate: f32) {
        if count < LEAST_COUNT {
            return;
        }
        self.decay(now);
        let expected = count * rate;
        let variance = (expected * (1.0 - rate)).max(0.05);
        let deviation = (bad - expected).powi(2) / variance;
        self.spans += 1.0;
        self.sum += deviation.min(SPAN_MOST);
    }

    /// What likelihood ratios are divided by; 1 or more.
    pub fn factor(&self) -> f32 {
        let sum = self.sum + self.assumed * ASSUMED_SPANS;
        (sum / (self.spans + ASSUMED_SPANS)).clamp(1.0, FACTOR_MOST)
    }

    fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.decayed).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-age).exp2() as f32;
        self.spans *= kept;
        self.sum *= kept;
        self.decayed = now;
    }
}
