//! A decaying histogram of latencies with four buckets per octave (factor of two).

use std::time::Duration;

use crate::time::TimePoint;

/// Number of buckets, which cover 64 µs to about 18 minutes.
pub const BUCKETS: usize = 96;
/// Lower bound of the first bucket, in microseconds.
const FIRST_MICROS: f64 = 64.0;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Total below which the counts do not decay.
const MIN_DECAYED_TOTAL: f32 = 60.0;

/// The index of a bucket of the histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatencyBucket(pub u8);

impl LatencyBucket {
    /// Returns the bucket of `latency`.
    pub fn of(latency: Duration) -> LatencyBucket {
        let micros = (latency.as_micros() as f64).max(FIRST_MICROS);
        let index = (micros / FIRST_MICROS).log2() * BUCKETS_PER_OCTAVE;
        LatencyBucket(index.min((BUCKETS - 1) as f64) as u8)
    }

    /// Returns the upper bound of the bucket.
    pub fn upper(self) -> Duration {
        let octaves = (f64::from(self.0) + 1.0) / BUCKETS_PER_OCTAVE;
        Duration::from_micros((FIRST_MICROS * octaves.exp2()) as u64)
    }

    /// Returns the bucket that is `octaves` octaves higher.
    pub fn raised(self, octaves: f64) -> LatencyBucket {
        let index = f64::from(self.0) + octaves * BUCKETS_PER_OCTAVE;
        LatencyBucket(index.min((BUCKETS - 1) as f64) as u8)
    }
}

/// A histogram of latencies whose counts decay with a half-life.
#[derive(Debug, Clone)]
pub struct LatencySketch {
    counts: Box<[f32; BUCKETS]>,
    total: f32,
    half_life: Duration,
    decayed: TimePoint,
}

impl LatencySketch {
    /// Returns an empty sketch.
    pub fn new(half_life: Duration) -> LatencySketch {
        let counts = Box::new([0.0; BUCKETS]);
        LatencySketch { counts, total: 0.0, half_life, decayed: TimePoint::default() }
    }

    /// Adds `count` latencies to `bucket`.
    pub fn add(&mut self, bucket: LatencyBucket, count: u32) {
        let index = usize::from(bucket.0).min(BUCKETS - 1);
        self.counts[index] += count as f32;
        self.total += count as f32;
    }

    /// Decays the counts by the time that has passed since the last decay.
    pub fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.decayed);
        // Decaying once per eighth of the half-life keeps quantiles accurate at negligible cost.
        if age < self.half_life / 8 {
            return;
        }
        let decay = (-age.as_secs_f64() / self.half_life.as_secs_f64()).exp2() as f32;
        // The total does not decay below the minimum, so that a service with few requests keeps its samples.
        let factor = decay.max((MIN_DECAYED_TOTAL / self.total.max(MIN_DECAYED_TOTAL)).min(1.0));
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.total *= factor;
        self.decayed = now;
    }

    /// Returns the sum of the decayed counts.
    pub fn total(&self) -> f32 {
        self.total
    }

    /// Returns the share of latencies that are longer than `latency`; `None` if the sketch is empty. Within the
    /// bucket of `latency`, the latencies are assumed to be spread evenly on the logarithmic scale.
    pub fn share_above(&self, latency: Duration) -> Option<f64> {
        if self.total < 0.5 {
            return None;
        }
        let micros = (latency.as_micros() as f64).max(FIRST_MICROS);
        let position = ((micros / FIRST_MICROS).log2() * BUCKETS_PER_OCTAVE).min(BUCKETS as f64);
        let bucket = position as usize;
        let above: f32 = self.counts.iter().skip(bucket + 1).sum();
        let in_bucket = self.counts.get(bucket).copied().unwrap_or_default();
        let partial = f64::from(in_bucket) * (1.0 - position.fract());
        Some(((f64::from(above) + partial) / f64::from(self.total)).clamp(0.0, 1.0))
    }

    /// Returns the lowest bucket at or below which a share `q` of the latencies lies; `None` if the sketch is
    /// empty.
    pub fn quantile(&self, q: f64) -> Option<LatencyBucket> {
        if self.total < 0.5 {
            return None;
        }
        let threshold = self.total * q as f32;
        let mut sum = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= threshold {
                return Some(LatencyBucket(index as u8));
            }
        }
        Some(LatencyBucket((BUCKETS - 1) as u8))
    }
}
