//! Decides whether a box is itself the cause of its failing requests, by comparison with its peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::TimePoint;

/// Time for which a peer's report on its own failures is used.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(30);
/// Minimum number of peers with a report before a box suspects itself.
const MIN_PEER_REPORTS: usize = 2;
/// Share of failing peers from which the targets are considered the cause, not this box.
const MAX_FAILING_PEER_SHARE: f64 = 0.25;
/// Minimum time for which a box that suspects itself reports "not ready" to the balancer.
const MIN_SUSPENSION: Duration = Duration::from_secs(30);

/// Failure reports of this box and of its peers.
#[derive(Debug, Default)]
pub(crate) struct SelfSuspicion {
    own_failing: bool,
    peers: HashMap<Arc<str>, (bool, TimePoint)>,
    suspended_since: Option<TimePoint>,
}

impl SelfSuspicion {
    /// Records whether most attempts of this box's proxy fail.
    pub(crate) fn record_own(&mut self, failing: bool) {
        self.own_failing = failing;
    }

    /// Returns whether most attempts of this box's proxy fail.
    pub(crate) fn own_failing(&self) -> bool {
        self.own_failing
    }

    /// Records whether most attempts of `peer` fail.
    pub(crate) fn record_peer(&mut self, now: TimePoint, peer: &Arc<str>, failing: bool) {
        self.peers.insert(peer.clone(), (failing, now));
    }

    /// Returns `Some(true)` when the box has to become not ready, `Some(false)` when it may become
    /// ready again, and `None` if nothing has changed.
    pub(crate) fn tick(&mut self, now: TimePoint) -> Option<bool> {
        self.peers.retain(|_, (_, received)| now.since(*received) < PEER_REPORT_LIFETIME);
        match self.suspended_since {
            None if self.own_failing && self.peers_are_healthy() => {
                self.suspended_since = Some(now);
                Some(true)
            }
            Some(since) if now.since(since) >= MIN_SUSPENSION && !self.own_failing => {
                self.suspended_since = None;
                Some(false)
            }
            _ => None,
        }
    }

    fn peers_are_healthy(&self) -> bool {
        let failing = self.peers.values().filter(|(failing, _)| *failing).count();
        let reports = self.peers.len();
        reports >= MIN_PEER_REPORTS && (failing as f64) < reports as f64 * MAX_FAILING_PEER_SHARE
    }
}
