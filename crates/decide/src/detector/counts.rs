//! Counts of outcomes by failure mode, with exponential decay, and the baseline rates derived from the
//! siblings of a target.

use std::time::Duration;

use crate::detector::hypotheses::{FAILURE_MODES, MIN_BASELINE_RATE};
use crate::detector::target::MonitoredTarget;
use crate::time::TimePoint;

/// Weight of the minimum baseline rate in an estimate, as a number of outcomes. It dominates where siblings
/// have few outcomes.
const PRIOR_WEIGHT: f32 = 20.0;

/// Number of outcomes that are informative about each failure mode, and of the bad ones among them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    pub(super) count: [f32; FAILURE_MODES],
    pub(super) bad: [f32; FAILURE_MODES],
}

impl OutcomeCounts {
    /// Counts `count` outcomes. For each mode, `effect` states whether they are bad; `None` if they are not
    /// informative about the mode.
    pub(super) fn record(&mut self, count: f32, effect: [Option<bool>; FAILURE_MODES]) {
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
        self.count.iter_mut().chain(&mut self.bad).for_each(|value| *value *= factor);
    }

    /// Returns the rate of bad outcomes after subtracting `own`, with the minimum baseline rate as a prior.
    pub(super) fn rate_without(&self, own: &OutcomeCounts, mode: usize) -> f32 {
        let count = (self.count[mode] - own.count[mode]).max(0.0);
        let bad = (self.bad[mode] - own.bad[mode]).clamp(0.0, count);
        (bad + PRIOR_WEIGHT * MIN_BASELINE_RATE[mode]) / (count + PRIOR_WEIGHT)
    }
}

/// Outcomes of all targets of a service that are not ejected or on trial, as the baseline for each of them.
#[derive(Debug, Default)]
pub(super) struct BaselineRates {
    pub(super) recent: OutcomeCounts,
    pub(super) long: OutcomeCounts,
    pub(super) window: OutcomeCounts,
    /// Median of the targets' own rates, by failure mode.
    pub(super) median: [f32; FAILURE_MODES],
}

impl BaselineRates {
    /// Returns the baseline rates for `target`: the rates of its siblings over the current window, the last
    /// seconds or the last minute, whichever is highest. They are bounded by a multiple of the median target's
    /// rate, so that a few failing siblings don't raise the baseline for all.
    pub(super) fn without(&self, target: &MonitoredTarget) -> [f32; FAILURE_MODES] {
        let own_window = target.window_total();
        std::array::from_fn(|mode| {
            let recent = self.recent.rate_without(&target.recent.counts, mode);
            let long = self.long.rate_without(&target.long.counts, mode);
            let window = self.window.rate_without(&own_window, mode);
            let max_rate = 3.0 * self.median[mode] + 2.0 * MIN_BASELINE_RATE[mode];
            recent.max(long).max(window).min(max_rate).max(MIN_BASELINE_RATE[mode])
        })
    }
}

/// Outcome counts with exponential decay.
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

    /// Returns the rate of bad outcomes, or `None` if less than one outcome remains after decay.
    pub(super) fn rate(&self, mode: usize) -> Option<f32> {
        let count = self.counts.count[mode];
        (count >= 1.0).then(|| self.counts.bad[mode] / count)
    }
}

/// Returns the upper median of `rates`, 0 if there are none. Reorders them.
pub(super) fn median(rates: &mut [f32]) -> f32 {
    if rates.is_empty() {
        return 0.0;
    }
    let middle = rates.len() / 2;
    let (_, median, _) = rates.select_nth_unstable_by(middle, f32::total_cmp);
    *median
}
