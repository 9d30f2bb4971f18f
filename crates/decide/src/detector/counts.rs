//! Outcomes counted, remembered and compared between siblings.

use std::time::Duration;

use crate::detector::hypotheses::{FAILURE_MODES, MIN_BASELINE_RATE};
use crate::detector::target::MonitoredTarget;
use crate::time::TimePoint;

/// Weight of the baseline rate where siblings have shown little.
const PRIOR_WEIGHT: f32 = 20.0;

/// Outcomes that say something by each mode, and the bad ones among them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    pub(super) count: [f32; FAILURE_MODES],
    pub(super) bad: [f32; FAILURE_MODES],
}

impl OutcomeCounts {
    pub(super) fn note(&mut self, count: f32, effect: [Option<bool>; FAILURE_MODES]) {
        for (mode, bad) in effect.into_iter().enumerate() {
            let Some(bad) = bad else { continue };
            self.count[mode] += count;
            self.bad[mode] += if bad { count } else { 0.0 };
        }
    }

    pub(super) fn add(&mut self, other: &OutcomeCounts) {
        for mode in 0..FAILURE_MODES {
            self.count[mode] += other.count[mode];
            self.bad[mode] += other.bad[mode];
        }
    }

    pub(super) fn scale(&mut self, factor: f32) {
        self.count.iter_mut().chain(&mut self.bad).for_each(|number| *number *= factor);
    }

    /// The rate of bad outcomes left when `own` is taken out, leaning on the least rate.
    pub(super) fn rate_without(&self, own: &OutcomeCounts, mode: usize) -> f32 {
        let count = (self.count[mode] - own.count[mode]).max(0.0);
        let bad = (self.bad[mode] - own.bad[mode]).clamp(0.0, count);
        (bad + PRIOR_WEIGHT * MIN_BASELINE_RATE[mode]) / (count + PRIOR_WEIGHT)
    }
}

/// What the siblings show.
#[derive(Debug, Default)]
pub(super) struct BaselineRates {
    pub(super) recent: OutcomeCounts,
    pub(super) long: OutcomeCounts,
    pub(super) window: OutcomeCounts,
    pub(super) median: [f32; FAILURE_MODES],
}

impl BaselineRates {
    /// The baseline rates for one target: those of its siblings, over whichever of this
    /// window, the last seconds and the last minute is worst, yet not far above what
    /// most of them show.
    pub(super) fn without(&self, target: &MonitoredTarget) -> [f32; FAILURE_MODES] {
        let own_window = target.window_total();
        std::array::from_fn(|mode| {
            let recent = self.recent.rate_without(&target.recent.counts, mode);
            let long = self.long.rate_without(&target.long.counts, mode);
            let window = self.window.rate_without(&own_window, mode);
            let most = 3.0 * self.median[mode] + 2.0 * MIN_BASELINE_RATE[mode];
            recent.max(long).max(window).min(most).max(MIN_BASELINE_RATE[mode])
        })
    }
}

/// A counts that forgets.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayingCounts {
    pub(super) counts: OutcomeCounts,
    pub(super) half_life: Duration,
    pub(super) decayed: TimePoint,
}

impl DecayingCounts {
    pub(super) fn new(half_life: Duration) -> DecayingCounts {
        DecayingCounts {
            counts: OutcomeCounts::default(),
            half_life,
            decayed: TimePoint::default(),
        }
    }

    pub(super) fn add(&mut self, now: TimePoint, window: &OutcomeCounts) {
        let age = now.since(self.decayed).as_secs_f64() / self.half_life.as_secs_f64();
        self.counts.scale((-age).exp2() as f32);
        self.decayed = now;
        self.counts.add(window);
    }

    /// The rate of bad outcomes, if enough is remembered to speak of one.
    pub(super) fn rate(&self, mode: usize) -> Option<f32> {
        let count = self.counts.count[mode];
        (count >= 1.0).then(|| self.counts.bad[mode] / count)
    }
}

pub(super) fn median(rates: &mut [f32]) -> f32 {
    if rates.is_empty() {
        return 0.0;
    }
    let middle = rates.len() / 2;
    let (_, median, _) = rates.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
