//! Token buckets of permits, held by one box for all boxes.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::TargetKey;
use crate::permits::PermitAnswer;
use crate::quota::bucket::TokenBucket;
use crate::steer::RequestRate;
use crate::time::TimePoint;

/// Capacity of a bucket, in seconds at the target's rate. Requests come unevenly, and permits that one
/// second leaves unused are available in the next.
const BURST_SECONDS: f64 = 1.0;
/// Lower bound on the capacity of a bucket, in permits.
const MIN_BURST: f64 = 2.0;
/// Permits between the retry times of two successive boxes. It is less than 1, since half of the boxes
/// have stopped by their retry time or have no request for the target then.
const PERMITS_PER_RETRY: f64 = 0.5;
/// Lower bound on the rate at which a target gets requests, in requests a second, whatever its limit:
/// otherwise no box would detect that the target has ended.
const MIN_RATE: f64 = 0.01;
/// Lower bound on the time until the retry of a box that was denied a permit.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Upper bound on the time until the retry of a box that was denied a permit.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Targets without permit requests for this long are removed. It is longer than the time in which the
/// smallest bucket fills.
const IDLE_RETENTION: Duration = Duration::from_secs(300);

/// The permits for which this box is the coordinator.
#[derive(Debug, Default)]
pub struct PermitCoordinator {
    targets: HashMap<TargetKey, CoordinatedLimit>,
}

#[derive(Debug)]
struct CoordinatedLimit {
    bucket: TokenBucket,
    /// Time up to which permits are reserved for boxes that were given a retry time.
    reserved_until: TimePoint,
    last_request: TimePoint,
}

impl PermitCoordinator {
    /// Answers a request for a permit at the target `key`, which accepts `rate`. `fraction` is the share
    /// of all boxes that this box receives heartbeats from, 0 to 1: the others may use another
    /// coordinator.
    pub fn answer(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        rate: RequestRate,
        fraction: f64,
    ) -> PermitAnswer {
        let rate = (rate.per_second() * fraction).max(MIN_RATE);
        self.targets.retain(|_, limit| now.since(limit.last_request) < IDLE_RETENTION);
        // A bucket starts empty, since the permits that another coordinator has just granted are unknown.
        let limit = self.targets.entry(key).or_insert_with(|| CoordinatedLimit::empty(now));
        limit.last_request = now;
        limit.bucket.fill(now, rate, (rate * BURST_SECONDS).max(MIN_BURST));
        if limit.bucket.try_take_one() {
            return PermitAnswer::Granted;
        }
        PermitAnswer::Denied(limit.reserve_retry(now, rate))
    }
}

impl CoordinatedLimit {
    fn empty(now: TimePoint) -> CoordinatedLimit {
        CoordinatedLimit {
            bucket: TokenBucket::new(now, 0.0),
            reserved_until: now,
            last_request: now,
        }
    }

    /// Returns the time until a permit is available for one more box, after the boxes that were denied
    /// before. If all boxes were given the time of the next permit, they would all request it at once.
    fn reserve_retry(&mut self, now: TimePoint, rate: f64) -> Duration {
        let seconds =
            |permits: f64| Duration::try_from_secs_f64(permits / rate).unwrap_or(MAX_WAIT);
        let next = now + seconds((1.0 - self.bucket.tokens()).max(0.0)).min(MAX_WAIT);
        let retry_at = self.reserved_until.max(next).min(now + MAX_WAIT);
        self.reserved_until = retry_at + seconds(PERMITS_PER_RETRY).min(MAX_WAIT);
        retry_at.since(now).max(MIN_WAIT)
    }
}
