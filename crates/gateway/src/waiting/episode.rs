//! Log lines about periods in which requests wait for a service: one when it begins, one when it refuses its first
//! request, and one when it has ended.

use std::time::{Duration, Instant};

use wingbridge_decide::Name;

use super::since;
use crate::context::millis;

/// Time without a waiting request after which a period of waiting has ended. Near the capacity a queue is empty
/// and not empty many times a second, which is one period.
const MIN_EMPTY_TIME: Duration = Duration::from_secs(1);

/// A period in which requests wait for a service.
#[derive(Debug)]
pub(super) struct WaitingEpisode {
    began_at: Instant,
    empty_since: Instant,
    is_empty: bool,
    joined: u64,
    refused: u64,
    most: usize,
    longest: Duration,
}

impl WaitingEpisode {
    /// Begins a period with a request of `rank`.
    pub(super) fn begin(service: &Name, rank: u32, now: Instant) -> WaitingEpisode {
        log::info!(service:% = service, rank; "waiting-began");
        WaitingEpisode {
            began_at: now,
            empty_since: now,
            is_empty: true,
            joined: 0,
            refused: 0,
            most: 0,
            longest: Duration::ZERO,
        }
    }

    /// Records that a request joined, so that `waiting` requests wait.
    pub(super) fn record_joined(&mut self, waiting: usize) {
        self.joined += 1;
        self.most = self.most.max(waiting);
        self.is_empty = false;
    }

    /// Records that a request left, so that `waiting` requests wait.
    pub(super) fn record_left(&mut self, waiting: usize, joined_at: Instant, now: Instant) {
        self.longest = self.longest.max(since(joined_at, now));
        if waiting == 0 {
            self.is_empty = true;
            self.empty_since = now;
        }
    }

    /// Records that a request was refused, and logs the first one.
    pub(super) fn record_refused(&mut self, service: &Name, cause: &str, waiting: usize) {
        self.refused += 1;
        if self.is_empty {
            // A queue that refuses all that would join has not ended its period.
            self.empty_since = Instant::now();
        }
        if self.refused == 1 {
            log::warn!(service:% = service, cause, waiting; "waiting-refuses");
        }
    }

    /// Logs the end of the period if it has ended. Returns whether it has.
    pub(super) fn log_if_ended(&self, service: &Name, now: Instant) -> bool {
        if !self.is_empty || since(self.empty_since, now) < MIN_EMPTY_TIME {
            return false;
        }
        log::info!(
            service:% = service, joined = self.joined, refused = self.refused, most = self.most,
            longest_ms = millis(self.longest), lasted_ms = millis(since(self.began_at, self.empty_since));
            "waiting-ended"
        );
        true
    }
}
