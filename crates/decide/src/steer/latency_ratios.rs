//! How long a service takes, and what the age of an open attempt says.
//!
//! A fixed latency_ratio of the typical time suspects the sound targets of a service whose work
//! varies much, and sees stalls late at one whose work varies little. So the spread of a
//! service's times is learned, from what all boxes of a data centre saw, and the age of an
//! open attempt is weighed by how many sound answers take longer. All times here are
//! multiples of what is typical for the route, since routes differ in their work.

use std::time::Duration;

use crate::sketch::{LatencyBucket, LatencySketch};
use crate::time::TimePoint;

/// Times are remembered for about this long: several hundred answers of a service at the
/// users' rates, and soon enough to follow a change of its load.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The assumption counts as much as this many answers.
const ASSUMED_ANSWERS: f64 = 20.0;
/// Attempts at a sound target that never come back: lost packets and cut paths.
const STALLS_WHEN_SOUND: f64 = 0.01;
/// An attempt is overdue when so few sound answers take longer.
pub(crate) const OVERDUE_SHARE: f64 = 0.01;

/// The learned spread of one service's times.
#[derive(Debug)]
pub struct LatencyRatios {
    sketch: LatencySketch,
}

impl Default for LatencyRatios {
    fn default() -> LatencyRatios {
        LatencyRatios { sketch: LatencySketch::new(HALF_LIFE) }
    }
}

impl LatencyRatios {
    /// Takes the time of a good answer, in multiples of the typical one.
    pub fn note(&mut self, now: TimePoint, latency_ratio: f64) {
        self.sketch.decay(now);
        self.sketch.add(LatencyBucket::of(as_latency(latency_ratio)), 1);
    }

    /// The share of sound answers that take longer than `latency_ratio` of the typical time. While
    /// little was seen, times are taken to be widely spread.
    pub fn share_above(&self, latency_ratio: f64) -> f64 {
        let assumed = (-latency_ratio).exp();
        let seen = f64::from(self.sketch.total());
        let learned = self.sketch.share_above(as_latency(latency_ratio)).unwrap_or(assumed);
        (learned * seen + assumed * ASSUMED_ANSWERS) / (seen + ASSUMED_ANSWERS)
    }

    /// How many times likelier an attempt is open at that age in a spell, in which `stalling`
    /// of the requests stall, than at a sound target.
    pub fn stall_ratio(&self, latency_ratio: f64, stalling: f64) -> f64 {
        stall_ratio(self.share_above(latency_ratio), stalling)
    }

    /// The age at which no more than `share` of sound answers are still missing.
    pub fn age_of_share(&self, share: f64) -> f64 {
        /// Halvings of the range: to a thousandth of it.
        const STEPS: u32 = 10;
        /// Longer is not looked for.
        const RANGE: f64 = 8.0;
        let (mut low, mut high) = (0.0, RANGE);
        for _ in 0..STEPS {
            let middle = f64::midpoint(low, high);
            if self.share_above(middle) > share {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }
}

/// How many times likelier an attempt that `late` of the sound ones outlast is still open in a
/// spell, in which `stalling` of the requests stall, than at a sound target.
pub(crate) fn stall_ratio(late: f64, stalling: f64) -> f64 {
    let in_episode = stalling + (1.0 - stalling) * late;
    let sound = STALLS_WHEN_SOUND + (1.0 - STALLS_WHEN_SOUND) * late;
    (in_episode / sound).max(1.0)
}

/// The sketch counts times; the typical one is a second to it.
fn as_latency(latency_ratio: f64) -> Duration {
    Duration::from_secs_f64(latency_ratio.clamp(0.0, 1000.0))
}
