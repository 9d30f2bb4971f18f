//! Outcomes counted, remembered and compared between siblings.

use std::time::Duration;

use crate::judge::hypotheses::{LEAST_RATE, MEASURES};
use crate::judge::target::JudgedTarget;
use crate::time::TimePoint;

/// Weight of the usual rate where siblings have shown little.
const PRIOR_WEIGHT: f32 = 20.0;

/// Outcomes that say something by each measure, and the bad ones among them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    pub(super) count: [f32; MEASURES],
    pub(super) bad: [f32; MEASURES],
}

impl Tally {
    pub(super) fn note(&mut self, count: f32, effect: [Option<bool>; MEASURES]) {
        for (measure, bad) in effect.into_iter().enumerate() {
            let Some(bad) = bad else { continue };
            self.count[measure] += count;
            self.bad[measure] += if bad { count } else { 0.0 };
        }
    }

    pub(super) fn add(&mut self, other: &Tally) {
        for measure in 0..MEASURES {
            self.count[measure] += other.count[measure];
            self.bad[measure] += other.bad[measure];
        }
    }

    pub(super) fn scale(&mut self, factor: f32) {
        self.count.iter_mut().chain(&mut self.bad).for_each(|number| *number *= factor);
    }

    /// The rate of bad outcomes left when `own` is taken out, leaning on the least rate.
    pub(super) fn rate_without(&self, own: &Tally, measure: usize) -> f32 {
        let count = (self.count[measure] - own.count[measure]).max(0.0);
        let bad = (self.bad[measure] - own.bad[measure]).clamp(0.0, count);
        (bad + PRIOR_WEIGHT * LEAST_RATE[measure]) / (count + PRIOR_WEIGHT)
    }
}

/// What the siblings show.
#[derive(Debug, Default)]
pub(super) struct UsualRates {
    pub(super) recent: Tally,
    pub(super) long: Tally,
    pub(super) window: Tally,
    pub(super) median: [f32; MEASURES],
}

impl UsualRates {
    /// The usual rates for one target: those of its siblings, over whichever of this
    /// window, the last seconds and the last minute is worst, yet not far above what
    /// most of them show.
    pub(super) fn without(&self, target: &JudgedTarget) -> [f32; MEASURES] {
        let own_window = target.window_total();
        std::array::from_fn(|measure| {
            let recent = self.recent.rate_without(&target.recent.tally, measure);
            let long = self.long.rate_without(&target.long.tally, measure);
            let window = self.window.rate_without(&own_window, measure);
            let most = 3.0 * self.median[measure] + 2.0 * LEAST_RATE[measure];
            recent.max(long).max(window).min(most).max(LEAST_RATE[measure])
        })
    }
}

/// A tally that forgets.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateMemory {
    pub(super) tally: Tally,
    pub(super) half_life: Duration,
    pub(super) decayed: TimePoint,
}

impl RateMemory {
    pub(super) fn new(half_life: Duration) -> RateMemory {
        RateMemory { tally: Tally::default(), half_life, decayed: TimePoint::default() }
    }

    pub(super) fn add(&mut self, now: TimePoint, window: &Tally) {
        let age = now.since(self.decayed).as_secs_f64() / self.half_life.as_secs_f64();
        self.tally.scale((-age).exp2() as f32);
        self.decayed = now;
        self.tally.add(window);
    }

    /// The rate of bad outcomes, if enough is remembered to speak of one.
    pub(super) fn rate(&self, measure: usize) -> Option<f32> {
        let count = self.tally.count[measure];
        (count >= 1.0).then(|| self.tally.bad[measure] / count)
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
