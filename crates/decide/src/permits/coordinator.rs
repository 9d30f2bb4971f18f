//! The buckets of permits at the box that keeps them for all.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::TargetKey;
use crate::permits::PermitAnswer;
use crate::quota::bucket::TokenBucket;
use crate::steer::RequestRate;
use crate::time::TimePoint;

/// Permits that a bucket holds: those of so many seconds, and so many at least. Callers come unevenly, and
/// what one second has not used the next one may.
const BURST_TIME: f64 = 1.0;
const BURST_LEAST: f64 = 2.0;
/// Permits by which the turn of the next box is later than that of the one before. Half of them are not
/// there at their turn, or have no request for it.
const TURN_PERMITS: f64 = 0.5;
/// A target is asked this often, in requests a second, whatever its limit: nobody else would learn that it
/// has ended.
const LEAST_RATE: f64 = 0.01;
/// Bounds on the time after which a box asks again.
const WAIT_LEAST: Duration = Duration::from_millis(50);
const WAIT_MOST: Duration = Duration::from_secs(5);
/// Targets that rest this long are forgotten. It is longer than it takes the smallest bucket to fill.
const REST_TIME: Duration = Duration::from_secs(300);

/// The buckets that this box keeps.
#[derive(Debug, Default)]
pub struct PermitCoordinator {
    targets: HashMap<TargetKey, KeptLimit>,
}

#[derive(Debug)]
struct KeptLimit {
    bucket: TokenBucket,
    /// Up to when permits are spoken for by boxes that were told to come back.
    queued_until: TimePoint,
    asked: TimePoint,
}

impl PermitCoordinator {
    /// Answers an ask for a permit at the target `key`, which takes `rate`. `part` is the part of the boxes
    /// that this one speaks for, 0 to 1: those that it can't hear may have a keeper of their own.
    pub fn answer(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        rate: RequestRate,
        part: f64,
    ) -> PermitAnswer {
        let rate = (rate.per_second() * part).max(LEAST_RATE);
        self.targets.retain(|_, kept| now.since(kept.asked) < REST_TIME);
        // A bucket begins empty: what another keeper has just given out is not known.
        let kept = self.targets.entry(key).or_insert_with(|| KeptLimit::empty(now));
        kept.asked = now;
        kept.bucket.fill(now, rate, (rate * BURST_TIME).max(BURST_LEAST));
        if kept.bucket.try_take_one() {
            return PermitAnswer::Granted;
        }
        PermitAnswer::Denied(kept.take_turn(now, rate))
    }
}

impl KeptLimit {
    fn empty(now: TimePoint) -> KeptLimit {
        KeptLimit { bucket: TokenBucket::new(now, 0.0), queued_until: now, asked: now }
    }

    /// The time until there is a permit for one more box, behind those that were told before. All told
    /// the time of the next one, they would all come back for that.
    fn take_turn(&mut self, now: TimePoint, rate: f64) -> Duration {
        let seconds =
            |permits: f64| Duration::try_from_secs_f64(permits / rate).unwrap_or(WAIT_MOST);
        let next = now + seconds((1.0 - self.bucket.tokens()).max(0.0)).min(WAIT_MOST);
        let turn = self.queued_until.max(next).min(now + WAIT_MOST);
        self.queued_until = turn + seconds(TURN_PERMITS).min(WAIT_MOST);
        turn.since(now).max(WAIT_LEAST)
    }
}
