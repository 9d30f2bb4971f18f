//! The targets of one service, and what is usual for it.

use std::collections::BTreeMap;
use std::ops::Index;
use std::time::Duration;

use crate::names::TargetKey;
use crate::steer::record::TargetRecord;
use crate::time::TimePoint;

/// Requests a second are averaged over about this time.
const RATE_TIME: Duration = Duration::from_secs(4);
/// Size of large answers while few were seen, in kilobytes. Source: the users' map packs
/// and mosaics, 90 KB on average.
const LARGE_KB: f64 = 90.0;
/// Answers after which an average moves by a tenth with each further one.
const SETTLED: f64 = 10.0;

/// A running average: of all values at first, of the last ones later.
#[derive(Debug, Clone, Copy, Default)]
struct RunningAverage {
    value: f64,
    count: f64,
}

impl RunningAverage {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(SETTLED);
        self.value += (value - self.value) / self.count;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct TargetPool {
    records: BTreeMap<TargetKey, TargetRecord>,
    usual: RunningAverage,
    small_bytes: RunningAverage,
    rate: f64,
    rate_at: TimePoint,
}

impl TargetPool {
    pub(crate) fn take_all(&mut self) -> BTreeMap<TargetKey, TargetRecord> {
        std::mem::take(&mut self.records)
    }

    pub(crate) fn insert(&mut self, key: TargetKey, record: TargetRecord) {
        self.records.insert(key, record);
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetRecord> {
        self.records.get_mut(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All targets that can be reached under their addresses.
    pub(crate) fn records(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        let records = self.records.iter().filter(|(_, record)| !record.is_replaced());
        records.map(|(key, record)| (*key, record))
    }

    /// The usual time of a request.
    pub(crate) fn usual_time(&self, assumed: Duration) -> Duration {
        self.usual.get().map_or(assumed, Duration::from_secs_f64)
    }

    /// Kilobytes that an attempt moves: the answer, the request, and their headers.
    pub(crate) fn crossing_kb(&self, large: bool) -> f64 {
        /// The request and all headers.
        const OVERHEAD_KB: f64 = 1.0;
        if large { LARGE_KB } else { self.small_bytes.value / 1000.0 + OVERHEAD_KB }
    }

    /// Requests a second that this box gets for the service.
    pub(crate) fn request_rate(&self, now: TimePoint) -> f64 {
        let passed = now.since(self.rate_at).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }

    pub(crate) fn note_request(&mut self, now: TimePoint) {
        self.rate = self.request_rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.rate_at = now;
    }

    pub(crate) fn note_answer(&mut self, time: Duration, bytes: usize) {
        /// Answers up to here count as small.
        const SMALL_BYTES: usize = 16 * 1024;
        self.usual.add(time.as_secs_f64());
        if bytes <= SMALL_BYTES {
            self.small_bytes.add(bytes as f64);
        }
    }
}

impl Index<TargetKey> for TargetPool {
    type Output = TargetRecord;

    fn index(&self, key: TargetKey) -> &TargetRecord {
        &self.records[&key]
    }
}
