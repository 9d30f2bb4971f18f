//! Whether it is this box that fails, and not what it talks to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::TimePoint;

/// What a peer said of itself counts for so long.
const HEARD_FOR: Duration = Duration::from_secs(30);
/// Peers that must have spoken before a box holds itself sick.
const LEAST_HEARD: usize = 2;
/// If this share of the peers fails too, it is the targets.
const PEERS_FAILING_MOST: f64 = 0.25;
/// A box that left the balancer stays away for so long.
const AWAY_FOR: Duration = Duration::from_secs(30);

/// Compares this box with its peers.
#[derive(Debug, Default)]
pub(crate) struct SelfSuspicion {
    own_failing: bool,
    peers: HashMap<Arc<str>, (bool, TimePoint)>,
    away_since: Option<TimePoint>,
}

impl SelfSuspicion {
    /// What this box's proxy says.
    pub(crate) fn note_own(&mut self, failing: bool) {
        self.own_failing = failing;
    }

    /// Whether this box's proxy fails at most of what it tries.
    pub(crate) fn own_failing(&self) -> bool {
        self.own_failing
    }

    /// What a peer said of itself.
    pub(crate) fn note_peer(&mut self, now: TimePoint, peer: &Arc<str>, failing: bool) {
        self.peers.insert(peer.clone(), (failing, now));
    }

    /// Says if the box should leave the balancer, or may return, when that changes.
    pub(crate) fn tick(&mut self, now: TimePoint) -> Option<bool> {
        self.peers.retain(|_, (_, heard)| now.since(*heard) < HEARD_FOR);
        match self.away_since {
            None if self.own_failing && self.peers_are_well() => {
                self.away_since = Some(now);
                Some(true)
            }
            Some(since) if now.since(since) >= AWAY_FOR && !self.own_failing => {
                self.away_since = None;
                Some(false)
            }
            _ => None,
        }
    }

    fn peers_are_well(&self) -> bool {
        let failing = self.peers.values().filter(|(failing, _)| *failing).count();
        let heard = self.peers.len();
        heard >= LEAST_HEARD && (failing as f64) < heard as f64 * PEERS_FAILING_MOST
    }
}
