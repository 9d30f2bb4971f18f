//! Signs of life: who is there, and how new what each holds is.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use wingbridge_wire::gossip::{DatagramBody, Heartbeat, ViewVersion};

use super::Gossip;
use crate::limit_reports::{limits_in_force, merge_limit};
use crate::notices::update_excluded_gauges;
use crate::view::CachedView;
use crate::view_exchange::view_version_of;

/// Time between two beacons to the own data centre.
const NEAR_PERIOD: Duration = Duration::from_secs(1);
/// Beacons between two that go to another data centre and list peers: bytes across have a price.
const FAR_EVERY: u32 = 4;
/// Peers that such a beacon lists, and those that one within the data centre lists.
const FAR_LISTED: usize = 6;
const NEAR_LISTED: usize = 12;
/// Peers that all beacons that a box takes in a second list together, at most: those of 36 boxes
/// with 12 each. A day of 443 boxes under load took 723 s of processor time with it, to its end, and
/// more than 855 s with 12 in each beacon (play of whole days).
const LISTED_A_SECOND: usize = 432;
/// Requests that end targets which an answer to a box names, at most: it may have just started.
const CRASHES_ANSWERED: usize = 16;
/// Limits of targets that a beacon names at most, of some 20 bytes each.
const MAX_REPORTED_LIMITS: usize = 12;
/// Time between two questions to seeds while no peer is known.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);
/// A box that knows others, but none of its data centre, asks seeds as often for this long:
/// seeds are told some seconds late.
const NEAR_SEARCH_TIME: Duration = Duration::from_secs(8);
/// Boxes that are told at once that this one has a configuration from a peer: most will have
/// been told by the reader and wait for their turn there.
const TOLD_OF_CONFIG: usize = 4;

impl Gossip {
    /// Sends signs of life, until the task is dropped.
    pub(crate) async fn run_heartbeats(self: Arc<Self>) {
        let started = Instant::now();
        let mut round: u32 = 0;
        loop {
            // One box of another data centre is no use for what boxes of one share, and it
            // may be all that is heard at first: the search goes on for a while.
            update_excluded_gauges(&self.context);
            let alone = self.context.peers().local().is_empty();
            let lonely = self.context.peers().boxes() == 1;
            if lonely || (alone && started.elapsed() < NEAR_SEARCH_TIME) {
                self.search().await;
                task::sleep(SEARCH_PERIOD).await;
                continue;
            }
            round = round.wrapping_add(1);
            self.send_heartbeats(round).await;
            task::sleep(NEAR_PERIOD).await;
        }
    }

    /// Tells the own data centre how new the view is.
    pub(crate) async fn broadcast_view_version(&self) {
        let near = self.context.peers().local();
        self.send_heartbeat(&near, Heartbeat { view_version: self.mark(), ..Heartbeat::default() })
            .await;
    }

    /// Tells some boxes of the own data centre, so that they know one more whom to ask.
    pub(crate) async fn send_view_version_to_some(&self) {
        let some = self.context.peers().random_local(TOLD_OF_CONFIG);
        self.send_heartbeat(&some, Heartbeat { view_version: self.mark(), ..Heartbeat::default() })
            .await;
    }

    /// Tells everybody that this box ends.
    pub(crate) async fn broadcast_stopping(&self) {
        let mut all = self.context.peers().local();
        all.extend(self.context.peers().remote());
        self.send_heartbeat(&all, Heartbeat { stopping: true, ..Heartbeat::default() }).await;
    }

    /// Asks the boxes at `hosts` whom they know.
    pub(crate) async fn request_heartbeats(&self, hosts: &[IpAddr]) {
        let beacon =
            Heartbeat { wants_reply: true, view_version: self.mark(), ..Heartbeat::default() };
        self.send_heartbeat(hosts, beacon).await;
    }

    /// Asks a box of another data centre how new its view is.
    pub(crate) async fn request_remote_heartbeat(&self) {
        let far = self.context.peers().random_remote();
        self.request_heartbeats(far.as_slice()).await;
    }

    async fn search(&self) {
        let own = self.context.settings.host();
        let seeds = self.context.settings.seeds.iter().copied().filter(|seed| *seed != own);
        let mut hosts: Vec<IpAddr> = seeds.collect();
        hosts.extend(self.context.peers().random_remote());
        self.request_heartbeats(&hosts).await;
    }

    async fn send_heartbeats(&self, round: u32) {
        let now = Instant::now();
        let (near, far, listed, gone) = {
            let mut peers = self.context.peers();
            let gone = peers.remove_unresponsive(now);
            let far = if round.is_multiple_of(FAR_EVERY) { peers.random_remote() } else { None };
            let near = peers.local();
            let listed = peers.sample_records(now, listed_by(near.len()));
            (near, far, listed, gone)
        };
        for box_id in gone {
            log::info!(peer = box_id.as_str(); "peer-lost");
        }
        self.update_box_counts();
        let told = listed.iter().take(FAR_LISTED).cloned().collect();
        let crashes = self.context.crashes.records_to_repeat(listed_by(near.len()));
        let limits = limits_in_force(&self.context, MAX_REPORTED_LIMITS);
        let beacon = Heartbeat {
            view_version: self.mark(),
            peers: listed,
            crashes: crashes.clone(),
            limits: limits.clone(),
            ..Heartbeat::default()
        };
        self.send_heartbeat(&near, beacon).await;
        if let Some(far) = far {
            let mark = self.mark();
            let beacon = Heartbeat {
                wants_reply: true,
                view_version: mark,
                peers: told,
                crashes,
                limits,
                ..Heartbeat::default()
            };
            self.send_heartbeat(&[far], beacon).await;
        }
    }

    pub(super) fn update_box_counts(&self) {
        let (near, all) = {
            let peers = self.context.peers();
            (peers.local().len() + 1, peers.boxes())
        };
        self.context.core().set_boxes(near, all);
    }

    pub(super) async fn on_heartbeat(
        &self,
        from: IpAddr,
        box_id: &str,
        now: Instant,
        beacon: Heartbeat,
    ) {
        self.context.crashes.merge_records(&beacon.crashes, box_id);
        beacon.limits.iter().for_each(|limit| merge_limit(&self.context, limit, box_id));
        if beacon.stopping {
            self.context.peers().record_stopping(from);
            return;
        }
        let found: Vec<IpAddr> = {
            let mut peers = self.context.peers();
            let found = beacon.peers.iter().filter_map(|told| peers.merge_record(now, told));
            let found: Vec<IpAddr> = found.collect();
            found.into_iter().filter(|host| peers.is_local(*host)).collect()
        };
        if !found.is_empty() {
            // They learn of this box by it.
            self.send_heartbeat(
                &found,
                Heartbeat { view_version: self.mark(), ..Heartbeat::default() },
            )
            .await;
        }
        if beacon.wants_reply {
            let listed = {
                let mut peers = self.context.peers();
                let most = if peers.is_local(from) { NEAR_LISTED } else { FAR_LISTED };
                peers.sample_records(now, most)
            };
            let crashes = self.context.crashes.records_to_repeat(CRASHES_ANSWERED);
            let mark = self.mark();
            let limits = limits_in_force(&self.context, MAX_REPORTED_LIMITS);
            let answer = Heartbeat {
                view_version: mark,
                peers: listed,
                crashes,
                limits,
                ..Heartbeat::default()
            };
            self.send_heartbeat(&[from], answer).await;
        }
        if let Some(mark) = beacon.view_version.filter(|_| !self.context.recently_resumed()) {
            self.compare_view(from, now, mark);
        }
    }

    /// Takes a peer's word that what is known is still right, or has what is newer fetched.
    fn compare_view(&self, from: IpAddr, now: Instant, mark: ViewVersion) {
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        let (Some(as_of), Some(config_as_of)) = (before(mark.age_ms), before(mark.config_age_ms))
        else {
            return;
        };
        let held = {
            let mut known = self.context.view();
            known.confirm_config(mark.config_revision, config_as_of);
            known.config_revision()
        };
        if mark.config_revision > held {
            self.record_newer_config(from, mark.config_revision, held);
        }
        let mut known = self.context.view();
        let newer = known.as_of().is_none_or(|held| as_of > held);
        if mark.revision < known.revision() || !newer {
            return;
        }
        if mark.digest == known.digest() {
            known.confirm(mark.revision, as_of);
            // Full: a notice already waits.
            let _ = self.context.view_changed.try_send(());
            return;
        }
        // Bytes across have a price, and the own data centre's boxes have the same a moment later.
        let patient = held_for(&known, now) < self.context.budget.remote_fetch_age();
        drop(known);
        if patient && !self.context.peers().is_local(from) {
            return;
        }
        // Full: one is being fetched, and the next beacon asks again.
        let _ = self.fetching.try_send(from);
    }

    fn record_newer_config(&self, from: IpAddr, revision: u64, held: u64) {
        let is_near = self.context.peers().is_local(from);
        if self.context.newer_config().record(from, is_near, revision, held) {
            log::info!(peer:% = from, config_revision = revision, held; "configuration-heard-of");
        }
        // Full: a notice already waits.
        let _ = self.context.config_changed.try_send(());
    }

    fn mark(&self) -> Option<ViewVersion> {
        view_version_of(&self.context.view())
    }

    async fn send_heartbeat(&self, hosts: &[IpAddr], beacon: Heartbeat) {
        self.send(hosts, DatagramBody::Heartbeat(beacon)).await;
    }
}

/// How old the targets are that are known; for ever, before the first listing.
fn held_for(known: &CachedView, now: Instant) -> Duration {
    known.as_of().map_or(Duration::MAX, |as_of| now.saturating_duration_since(as_of))
}

/// Peers that a beacon to `near` boxes lists.
fn listed_by(near: usize) -> usize {
    (LISTED_A_SECOND / near.max(1)).clamp(2, NEAR_LISTED)
}
