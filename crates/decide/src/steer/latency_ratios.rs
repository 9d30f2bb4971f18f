//! The distribution of a service's latencies, and the evidence that the age of an open attempt gives.
//!
//! With a fixed multiple of the typical time as the bound, healthy targets would become suspects at a
//! service whose work varies widely, and stalls would be detected late at a service whose work hardly
//! varies. Therefore the distribution of a service's latencies is learned from what all boxes of a data
//! centre observe, and the age of an open attempt is weighed by the share of healthy answers that take
//! longer. All times in this module are latency ratios, that is multiples of the typical time of the
//! route, since routes differ in their work.

use std::time::Duration;

use crate::sketch::{LatencyBucket, LatencySketch};
use crate::time::TimePoint;

/// Half-life of recorded ratios. It covers several hundred answers of a service at production request
/// rates, and is short enough to follow a change of the service's load.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of the assumed distribution, as a number of answers.
const ASSUMED_ANSWERS: f64 = 20.0;
/// Share of attempts at a healthy target that are never answered, because of lost packets and network
/// partitions.
const HEALTHY_STALL_SHARE: f64 = 0.01;
/// Share of healthy answers that take longer than the age at which an attempt counts as overdue.
pub(crate) const OVERDUE_SHARE: f64 = 0.01;

/// The learned distribution of the latency ratios of one service.
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
    /// Records the latency ratio of a good answer.
    pub fn record(&mut self, now: TimePoint, latency_ratio: f64) {
        self.sketch.decay(now);
        self.sketch.add(LatencyBucket::of(as_latency(latency_ratio)), 1);
    }

    /// Returns the share of healthy answers with a higher latency ratio. While only few answers were
    /// recorded, a wide (exponential) distribution is assumed.
    pub fn share_above(&self, latency_ratio: f64) -> f64 {
        let assumed = (-latency_ratio).exp();
        let recorded = f64::from(self.sketch.total());
        let learned = self.sketch.share_above(as_latency(latency_ratio)).unwrap_or(assumed);
        (learned * recorded + assumed * ASSUMED_ANSWERS) / (recorded + ASSUMED_ANSWERS)
    }

    /// Returns the likelihood ratio of an attempt that is still open at that latency ratio, for a failure
    /// episode in which the share `stall_share` of requests stall, relative to a healthy target. It is at
    /// least 1.
    pub fn stall_likelihood_ratio(&self, latency_ratio: f64, stall_share: f64) -> f64 {
        stall_likelihood_ratio(self.share_above(latency_ratio), stall_share)
    }

    /// Returns the lowest latency ratio, up to 8, that no more than `share` of healthy answers exceed.
    pub fn ratio_exceeded_by(&self, share: f64) -> f64 {
        /// Number of bisections; they narrow the range to a thousandth of it.
        const STEPS: u32 = 10;
        /// Upper end of the search.
        const MAX_RATIO: f64 = 8.0;
        let (mut low, mut high) = (0.0, MAX_RATIO);
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

/// Returns the likelihood ratio of an attempt that is still open at an age which the share `late_share` of
/// healthy answers exceed, for a failure episode in which the share `stall_share` of requests stall,
/// relative to a healthy target. It is at least 1.
pub(crate) fn stall_likelihood_ratio(late_share: f64, stall_share: f64) -> f64 {
    let in_episode = stall_share + (1.0 - stall_share) * late_share;
    let healthy = HEALTHY_STALL_SHARE + (1.0 - HEALTHY_STALL_SHARE) * late_share;
    (in_episode / healthy).max(1.0)
}

/// Converts a latency ratio to a duration for the sketch, in which one second stands for the typical time.
fn as_latency(latency_ratio: f64) -> Duration {
    Duration::from_secs_f64(latency_ratio.clamp(0.0, 1000.0))
}
