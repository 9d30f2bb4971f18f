//! Whether it is this box that fails, and not what it talks to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::TimePoint;

/// What a peer said of itself counts for so long.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(30);
/// Peers that must have spoken before a box holds itself sick.
const MIN_PEER_REPORTS: usize = 2;
/// If this share of the peers fails too, it is the targets.
const MAX_FAILING_PEER_SHARE: f64 = 0.25;
/// A box that left the balancer stays away for so long.
const MIN_SUSPENSION: Duration = Duration::from_secs(30);

/// Compares this box with its peers.
#[derive(Debug, Default)]
pub(crate) struct SelfSuspicion {
    own_failing: bool,
    peers: HashMap<Arc<str>, (bool, TimePoint)>,
    suspended_since: Option<TimePoint>,
}

impl SelfSuspicion {
    /// What this box's proxy says.
    pub(crate) fn record_own(&mut self, failing: bool) {
        self.own_failing = failing;
    }

    /// Whether this box's proxy fails at most of what it tries.
    pub(crate) fn own_failing(&self) -> bool {
        self.own_failing
    }

    /// What a peer said of itself.
    pub(crate) fn record_peer(&mut self, now: TimePoint, peer: &Arc<str>, failing: bool) {
        self.peers.insert(peer.clone(), (failing, now));
    }

    /// Says if the box should leave the balancer, or may return, when that changes.
    pub(crate) fn tick(&mut self, now: TimePoint) -> Option<bool> {
        self.peers.retain(|_, (_, heard)| now.since(*heard) < PEER_REPORT_LIFETIME);
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
        let heard = self.peers.len();
        heard >= MIN_PEER_REPORTS && (failing as f64) < heard as f64 * MAX_FAILING_PEER_SHARE
    }
}
