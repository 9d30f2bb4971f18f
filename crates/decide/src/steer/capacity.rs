//! What the waiting queues use of the steering core: the capacity of targets, and the times of attempts.

use std::time::Duration;

use crate::names::{Name, TargetKey};
use crate::steer::pool::{ASSUMED_TIME, TargetPool};
use crate::steer::{MIN_SATURATED_WAIT, SteerCore};
use crate::time::TimePoint;
use crate::waiting::TargetRoom;

/// Share of attempts that take longer than the safe time. Under overload many requests start at the latest moment
/// that the safe time allows, and 0.95 of what the capacity finishes is to meet its goal.
const LATE_SHARE: f64 = 0.05;

/// A target as far as requests wait for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCapacity {
    /// Service of the target.
    pub service: Name,
    /// The room at the target, if a request that waits may be placed there now.
    pub room: Option<TargetRoom>,
}

/// Times of the attempts of a route, without the wait at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// Typical time.
    pub typical: Duration,
    /// Time that 0.95 of the attempts take at most.
    pub safe: Duration,
}

impl SteerCore {
    /// Returns the capacity of a target, or `None` if it is not listed.
    pub fn capacity_of(&self, now: TimePoint, key: TargetKey) -> Option<TargetCapacity> {
        let service = self.services.get(&key)?;
        let pool = self.pools.get(service)?;
        let record = &pool[key];
        let has_room =
            record.is_eligible(now) && record.wait(now, pool.typical_time()) <= MIN_SATURATED_WAIT;
        let room = has_room.then(|| TargetRoom { key, region: record.setup.region.clone() });
        Some(TargetCapacity { service: service.clone(), room })
    }

    /// Returns the times of attempts of requests that reach `service` by `route`.
    pub fn attempt_times(&self, service: &str, route: &str) -> AttemptTimes {
        let pool = self.pools.get(service);
        let of_service = pool.map_or(ASSUMED_TIME, TargetPool::typical_time);
        let typical = self.routes.typical_time(route).unwrap_or(of_service);
        let ratio = pool.map_or(1.0, |pool| pool.ratio_exceeded_by(LATE_SHARE));
        AttemptTimes { typical, safe: typical.mul_f64(ratio.max(1.0)) }
    }
}
