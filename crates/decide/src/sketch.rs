//! A histogram of latencies that forgets: four buckets to the factor of two.

use std::time::Duration;

use crate::time::TimePoint;

/// Number of buckets: 64 µs to about half an hour.
pub const BUCKETS: usize = 96;
const FIRST_MICROS: f64 = 64.0;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Age alone does not take the memory below this.
const KEPT: f32 = 60.0;

/// The number of a latency's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatencyBucket(pub u8);

impl LatencyBucket {
    /// The bucket of `latency`.
    pub fn of(latency: Duration) -> LatencyBucket {
        let micros = (latency.as_micros() as f64).max(FIRST_MICROS);
        let number = (micros / FIRST_MICROS).log2() * BUCKETS_PER_OCTAVE;
        LatencyBucket(number.min((BUCKETS - 1) as f64) as u8)
    }

    /// The longest latency in the bucket.
    pub fn upper(self) -> Duration {
        let octaves = (f64::from(self.0) + 1.0) / BUCKETS_PER_OCTAVE;
        Duration::from_micros((FIRST_MICROS * octaves.exp2()) as u64)
    }

    /// The bucket `octaves` factors of two further up.
    pub fn raised(self, octaves: f64) -> LatencyBucket {
        let number = f64::from(self.0) + octaves * BUCKETS_PER_OCTAVE;
        LatencyBucket(number.min((BUCKETS - 1) as f64) as u8)
    }
}

/// Counts per bucket, halved after each half-life.
#[derive(Debug, Clone)]
pub struct LatencySketch {
    counts: Box<[f32; BUCKETS]>,
    total: f32,
    half_life: Duration,
    decayed: TimePoint,
}

impl LatencySketch {
    /// An empty sketch.
    pub fn new(half_life: Duration) -> LatencySketch {
        let counts = Box::new([0.0; BUCKETS]);
        LatencySketch { counts, total: 0.0, half_life, decayed: TimePoint::default() }
    }

    /// Adds `count` latencies of `bucket`.
    pub fn add(&mut self, bucket: LatencyBucket, count: u32) {
        let index = usize::from(bucket.0).min(BUCKETS - 1);
        self.counts[index] += count as f32;
        self.total += count as f32;
    }

    /// Forgets what time has passed over.
    pub fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.decayed);
        // Often enough for any quantile, seldom enough to cost nothing.
        if age < self.half_life / 8 {
            return;
        }
        let aged = (-age.as_secs_f64() / self.half_life.as_secs_f64()).exp2() as f32;
        // A service that is seldom asked keeps what little is known of it.
        let factor = aged.max((KEPT / self.total.max(KEPT)).min(1.0));
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.total *= factor;
        self.decayed = now;
    }

    /// How much is remembered.
    pub fn total(&self) -> f32 {
        self.total
    }

    /// The share of the latencies that are longer than `latency`, spread evenly over the
    /// octaves of the bucket that it falls into; `None` when empty.
    pub fn share_above(&self, latency: Duration) -> Option<f64> {
        if self.total < 0.5 {
            return None;
        }
        let micros = (latency.as_micros() as f64).max(FIRST_MICROS);
        let place = ((micros / FIRST_MICROS).log2() * BUCKETS_PER_OCTAVE).min(BUCKETS as f64);
        let bucket = place as usize;
        let later: f32 = self.counts.iter().skip(bucket + 1).sum();
        let here = self.counts.get(bucket).copied().unwrap_or_default();
        let rest = f64::from(here) * (1.0 - place.fract());
        Some(((f64::from(later) + rest) / f64::from(self.total)).clamp(0.0, 1.0))
    }

    /// The bucket below which a share `q` of the latencies lies; `None` when empty.
    pub fn quantile(&self, q: f64) -> Option<LatencyBucket> {
        if self.total < 0.5 {
            return None;
        }
        let wanted = self.total * q as f32;
        let mut sum = 0.0;
        for (number, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= wanted {
                return Some(LatencyBucket(number as u8));
            }
        }
        Some(LatencyBucket((BUCKETS - 1) as u8))
    }
}
