//! The open attempts at a target: how many there are, and for how long each has been open.
//!
//! A stall is visible only as a missing answer, and a single attempt must be open for a long time before
//! its age is strong evidence. The ages of all attempts that the boxes of a data centre have open at one
//! target, combined, are strong evidence much sooner: on 40 random fleets 38 in 1,000 orders were lost
//! with the combined ages and 43 without.

use std::time::Duration;

use crate::names::TargetKey;
use crate::time::TimePoint;

/// Time for which a peer's report of its open attempts counts: most requests have ended by then.
pub(crate) const PEER_REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// An attempt that this box has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHandle {
    /// The target of the attempt.
    pub key: TargetKey,
    /// When the attempt began.
    pub started: TimePoint,
    /// When the target was expected to have a free slot for the attempt.
    pub slot_expected_at: TimePoint,
    /// The typical time of the attempt's route.
    pub typical: Duration,
    /// Whether the age of the attempt is evidence about the target. It is not on a route whose requests
    /// run out of time at every target.
    pub informative: bool,
    /// Whether the duration of the attempt depends on the target alone. It does not if the caller is
    /// still sending the request.
    pub timed: bool,
}

/// The open attempts at one target.
#[derive(Debug, Default)]
pub(crate) struct OpenAttempts {
    own: Vec<AttemptHandle>,
    /// The last report of each peer of the own data centre that has attempts open.
    peers: Vec<PeerAttempts>,
}

/// The attempts that one peer reported as open.
#[derive(Debug)]
struct PeerAttempts {
    peer: u64,
    count: u32,
    /// The ages of the informative attempts among them.
    informative: Vec<OpenAge>,
    received: TimePoint,
}

/// The age of an open attempt without its wait for a slot, and the typical time to compare it with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAge {
    /// When the target was expected to have a free slot for the attempt.
    pub slot_expected_at: TimePoint,
    /// The typical time of the attempt's route.
    pub typical: Duration,
}

impl OpenAge {
    /// Returns the age at `now` as a multiple of the typical time.
    pub fn latency_ratio(&self, now: TimePoint) -> f64 {
        now.since(self.slot_expected_at).as_secs_f64() / self.typical.as_secs_f64().max(0.001)
    }
}

impl AttemptHandle {
    pub(crate) fn age(&self) -> OpenAge {
        OpenAge { slot_expected_at: self.slot_expected_at, typical: self.typical }
    }
}

impl OpenAttempts {
    pub(crate) fn begin(&mut self, handle: AttemptHandle) {
        self.own.push(handle);
    }

    /// Removes an attempt of this box; returns whether its age was still informative.
    pub(crate) fn finish(&mut self, handle: &AttemptHandle) -> bool {
        let same = |open: &AttemptHandle| open.started == handle.started;
        let index = self.own.iter().position(same);
        let informative = index.is_some_and(|index| self.own.swap_remove(index).informative);
        if self.own.is_empty() {
            // Only a few of thousands of targets have open attempts at any moment: this frees the
            // buffer, which each target would keep otherwise.
            self.own = Vec::new();
        }
        informative
    }

    /// Excludes the age of an attempt from the evidence, because it was recorded as an outcome.
    pub(crate) fn mark_uninformative(&mut self, handle: &AttemptHandle) {
        for open in self.own.iter_mut().filter(|open| open.started == handle.started) {
            open.informative = false;
        }
    }

    /// Replaces the previous report of `peer` by its new one.
    pub(crate) fn merge_peer(
        &mut self,
        now: TimePoint,
        peer: u64,
        count: u32,
        informative: &[OpenAge],
    ) {
        self.peers.retain(|open| open.peer != peer);
        if count > 0 {
            let informative = informative.to_vec();
            self.peers.push(PeerAttempts { peer, count, informative, received: now });
        }
        self.drop_expired(now);
    }

    /// Returns the number of open attempts in the last report of `peer`.
    pub(crate) fn peer_count(&self, peer: u64) -> u32 {
        self.peers.iter().find(|open| open.peer == peer).map_or(0, |open| open.count)
    }

    /// Drops the reports of peers that are older than [`PEER_REPORT_LIFETIME`].
    pub(crate) fn drop_expired(&mut self, now: TimePoint) {
        self.peers.retain(|open| now.since(open.received) < PEER_REPORT_LIFETIME);
        if self.peers.is_empty() {
            self.peers = Vec::new();
        }
    }

    /// Returns the number of open attempts of this box.
    pub(crate) fn own_count(&self) -> u32 {
        self.own.len() as u32
    }

    /// Returns the number of open attempts of this box that began after `time`.
    pub(crate) fn own_count_since(&self, time: TimePoint) -> u32 {
        self.own.iter().filter(|open| open.started > time).count() as u32
    }

    /// Returns the ages of the informative attempts of this box.
    pub(crate) fn own_ages(&self) -> impl Iterator<Item = OpenAge> {
        self.own.iter().filter(|open| open.informative).map(AttemptHandle::age)
    }

    /// Returns the number of open attempts of all boxes of the data centre.
    pub(crate) fn total_count(&self, now: TimePoint) -> u32 {
        self.own_count() + self.recent_peers(now).map(|peer| peer.count).sum::<u32>()
    }

    /// Returns the ages of the informative attempts of all boxes of the data centre.
    pub(crate) fn all_ages(&self, now: TimePoint) -> impl Iterator<Item = OpenAge> {
        let peers = self.recent_peers(now).flat_map(|peer| peer.informative.iter().copied());
        self.own_ages().chain(peers)
    }

    fn recent_peers(&self, now: TimePoint) -> impl Iterator<Item = &PeerAttempts> {
        self.peers.iter().filter(move |peer| now.since(peer.received) < PEER_REPORT_LIFETIME)
    }
}
