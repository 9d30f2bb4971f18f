//! Heartbeats: which boxes are running, and the version of each one's view of the store.
//!
//! A box sends a heartbeat to all boxes of its data centre once a second, and less often to a random box of
//! another data centre. A heartbeat also carries a sample of the known peers, crash records and limits of
//! targets, so that a box that missed the first report of them receives a later one.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use wingbridge_wire::gossip::{DatagramBody, Heartbeat, ViewVersion};

use super::Gossip;
use crate::context::log_return;
use crate::limit_reports::{limits_in_force, merge_limit};
use crate::notices::update_excluded_gauges;
use crate::steering::log_steering;
use crate::store_revision::{ConfigId, StoreRevision};
use crate::view::CachedView;
use crate::view_exchange::view_version_of;

/// Time between two heartbeats to the boxes of the own data centre.
const LOCAL_PERIOD: Duration = Duration::from_secs(1);
/// Number of rounds of local heartbeats for each heartbeat to another data centre, since traffic between data
/// centres is expensive.
const ROUNDS_PER_REMOTE: u32 = 4;
/// Maximum number of peers that a heartbeat to another data centre lists.
const MAX_REMOTE_LISTED: usize = 6;
/// Maximum number of peers that a heartbeat within the data centre lists.
const MAX_LOCAL_LISTED: usize = 12;
/// Number of peers that all heartbeats which a box receives in a second list together, unless the lower bound
/// of 2 in each heartbeat gives more. It is reached with 36 boxes that list 12 peers each. A simulated day of
/// 443 boxes under load took 723 s of processor time with this bound, and more than 855 s with 12 peers in each
/// heartbeat.
const MAX_LISTED_PER_SECOND: usize = 432;
/// Maximum number of crash records in the reply to a box that asked for a heartbeat. The box may have just
/// started and have none of them.
const MAX_CRASHES_IN_REPLY: usize = 16;
/// Maximum number of limits in a heartbeat, of about 20 bytes each.
const MAX_REPORTED_LIMITS: usize = 12;
/// Time between two requests to the seeds while no peer is known.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);
/// Time after the start during which a box whose known peers are all in other data centres still queries the seeds
/// every [`SEARCH_PERIOD`]. Seeds learn of other boxes some seconds late.
const LOCAL_SEARCH_TIME: Duration = Duration::from_secs(8);
/// Number of boxes that are notified at once when this box has received a configuration from a peer. Most of the
/// others have been notified by the box that read the store, and wait for one of its transfer slots.
const CONFIG_NOTIFIED_PEERS: usize = 4;

impl Gossip {
    /// Sends heartbeats until the task is dropped.
    pub(crate) async fn run_heartbeats(self: Arc<Self>) {
        let started = Instant::now();
        let mut round: u32 = 0;
        loop {
            update_excluded_gauges(&self.context);
            self.context.waiting.log_ended();
            log_steering(&self.context, round);
            // The first box found may be in another data centre, which does not help with the state that
            // boxes of one data centre share, so the search goes on for a while.
            let no_local_peer = self.context.peers().local().is_empty();
            let no_peer = self.context.peers().boxes() == 1;
            if no_peer || (no_local_peer && started.elapsed() < LOCAL_SEARCH_TIME) {
                self.search().await;
                task::sleep(SEARCH_PERIOD).await;
                continue;
            }
            round = round.wrapping_add(1);
            self.send_heartbeats(round).await;
            task::sleep(LOCAL_PERIOD).await;
        }
    }

    /// Sends the version of the view to all boxes of the own data centre.
    pub(crate) async fn broadcast_view_version(&self) {
        let local = self.context.peers().local();
        self.send_heartbeat(
            &local,
            Heartbeat { view_version: self.view_version(), ..Heartbeat::default() },
        )
        .await;
    }

    /// Sends the version of the view to some boxes of the own data centre, which can then fetch from this box, too.
    pub(crate) async fn send_view_version_to_some(&self) {
        let some = self.context.peers().random_local(CONFIG_NOTIFIED_PEERS);
        self.send_heartbeat(
            &some,
            Heartbeat { view_version: self.view_version(), ..Heartbeat::default() },
        )
        .await;
    }

    /// Notifies all peers that this box is stopping.
    pub(crate) async fn broadcast_stopping(&self) {
        let mut all = self.context.peers().local();
        all.extend(self.context.peers().remote());
        self.send_heartbeat(&all, Heartbeat { stopping: true, ..Heartbeat::default() }).await;
    }

    /// Asks the boxes at `hosts` for a heartbeat that lists peers.
    pub(crate) async fn request_heartbeats(&self, hosts: &[IpAddr]) {
        let heartbeat = Heartbeat {
            wants_reply: true,
            view_version: self.view_version(),
            ..Heartbeat::default()
        };
        self.send_heartbeat(hosts, heartbeat).await;
    }

    /// Asks a random box of another data centre for a heartbeat, which contains the version of its view.
    pub(crate) async fn request_remote_heartbeat(&self) {
        let remote = self.context.peers().random_remote();
        self.request_heartbeats(remote.as_slice()).await;
    }

    /// Asks the seeds and a random remote box for peers.
    async fn search(&self) {
        let own = self.context.settings.host();
        let seeds = self.context.settings.seeds.iter().copied().filter(|seed| *seed != own);
        let mut hosts: Vec<IpAddr> = seeds.collect();
        hosts.extend(self.context.peers().random_remote());
        self.request_heartbeats(&hosts).await;
    }

    /// Removes unresponsive peers, and sends the heartbeats of a round.
    async fn send_heartbeats(&self, round: u32) {
        let now = Instant::now();
        let (local, remote, listed, removed) = {
            let mut peers = self.context.peers();
            let removed = peers.remove_unresponsive(now);
            let remote =
                if round.is_multiple_of(ROUNDS_PER_REMOTE) { peers.random_remote() } else { None };
            let local = peers.local();
            let listed = peers.sample_records(now, listed_peers(local.len()));
            (local, remote, listed, removed)
        };
        for box_id in removed {
            log::info!(peer = box_id.as_str(); "peer-lost");
        }
        self.update_box_counts();
        let remote_listed = listed.iter().take(MAX_REMOTE_LISTED).cloned().collect();
        let crashes = self.context.crashes.records_to_repeat(listed_peers(local.len()));
        let limits = limits_in_force(&self.context, MAX_REPORTED_LIMITS);
        let heartbeat = Heartbeat {
            view_version: self.view_version(),
            peers: listed,
            crashes: crashes.clone(),
            limits: limits.clone(),
            ..Heartbeat::default()
        };
        self.send_local_heartbeat(&local, heartbeat).await;
        if let Some(remote) = remote {
            let view_version = self.view_version();
            let heartbeat = Heartbeat {
                wants_reply: true,
                view_version,
                peers: remote_listed,
                crashes,
                limits,
                ..Heartbeat::default()
            };
            self.send_heartbeat(&[remote], heartbeat).await;
        }
    }

    /// Sets the numbers of local and of all boxes in the core, which divides budgets by them.
    pub(super) fn update_box_counts(&self) {
        let (local, all) = {
            let peers = self.context.peers();
            (peers.local().len() + 1, peers.boxes())
        };
        self.context.core().set_boxes(local, all);
    }

    /// Merges what a peer's heartbeat reports, and replies if the peer asked for it.
    pub(super) async fn on_heartbeat(
        &self,
        from: IpAddr,
        box_id: &str,
        now: Instant,
        heartbeat: Heartbeat,
    ) {
        self.context.crashes.merge_records(&heartbeat.crashes, box_id);
        heartbeat.limits.iter().for_each(|limit| merge_limit(&self.context, limit, box_id));
        if heartbeat.stopping {
            self.context.peers().record_stopping(from);
            return;
        }
        let found: Vec<IpAddr> = {
            let mut peers = self.context.peers();
            let found = heartbeat.peers.iter().filter_map(|record| peers.merge_record(now, record));
            let found: Vec<IpAddr> = found.collect();
            found.into_iter().filter(|host| peers.is_local(*host)).collect()
        };
        if !found.is_empty() {
            // These boxes may not have received anything from this one yet.
            self.send_heartbeat(
                &found,
                Heartbeat { view_version: self.view_version(), ..Heartbeat::default() },
            )
            .await;
        }
        if heartbeat.wants_reply {
            let listed = {
                let mut peers = self.context.peers();
                let max = if peers.is_local(from) { MAX_LOCAL_LISTED } else { MAX_REMOTE_LISTED };
                peers.sample_records(now, max)
            };
            let crashes = self.context.crashes.records_to_repeat(MAX_CRASHES_IN_REPLY);
            let view_version = self.view_version();
            let limits = limits_in_force(&self.context, MAX_REPORTED_LIMITS);
            let reply =
                Heartbeat { view_version, peers: listed, crashes, limits, ..Heartbeat::default() };
            self.send_heartbeat(&[from], reply).await;
        }
        if let Some(version) = heartbeat.view_version.filter(|_| !self.context.recently_resumed()) {
            self.compare_view(from, now, version);
        }
    }

    /// Compares the version of a peer's view with this box's view: marks the view as confirmed if both are the
    /// same, and schedules a fetch if the peer has a newer one.
    fn compare_view(&self, from: IpAddr, now: Instant, version: ViewVersion) {
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        let (Some(as_of), Some(config_as_of)) =
            (before(version.age_ms), before(version.config_age_ms))
        else {
            return;
        };
        let revision = StoreRevision { era: version.era, number: version.revision };
        let config_revision =
            StoreRevision { era: version.config_era, number: version.config_revision };
        let config = ConfigId { version: version.config_version, revision: config_revision };
        let through =
            StoreRevision { era: version.config_through_era, number: version.config_through };
        let (is_wanted, held) = {
            let mut known = self.context.view();
            // A peer that takes the configuration held here for the newest is wrong if another one has a newer one.
            if self.context.newer_config().pending().is_none() {
                known.confirm_config(config_revision, through, config_as_of);
            }
            (known.wants_config(config), known.config_id())
        };
        if is_wanted {
            self.record_newer_config(from, config, held);
        }
        let mut known = self.context.view();
        let is_newer =
            known.as_of().is_none_or(|held| as_of > held) || revision.era > known.revision().era;
        if revision < known.revision() || !is_newer {
            return;
        }
        if version.digest == known.digest() {
            if known.confirm(revision, as_of) {
                log_return(revision, "peer");
            }
            // If the channel is full, a notification is already pending.
            let _ = self.context.view_changed.try_send(());
            return;
        }
        // Traffic between data centres is expensive, and a box of the own data centre has the same listing a
        // moment later.
        let can_wait = view_age(&known, now) < self.context.budget.remote_fetch_age();
        drop(known);
        if can_wait && !self.context.peers().is_local(from) {
            return;
        }
        // If the channel is full, a fetch is in progress, and the next heartbeat triggers another one.
        let _ = self.fetching.try_send(from);
    }

    fn record_newer_config(&self, from: IpAddr, id: ConfigId, held: ConfigId) {
        let is_local = self.context.peers().is_local(from);
        if self.context.newer_config().record(from, is_local, id) {
            log::info!(
                peer:% = from, config_revision:% = id.revision, era = id.revision.era,
                held:% = held.revision, held_era = held.revision.era;
                "configuration-heard-of"
            );
        }
        // If the channel is full, a notification is already pending.
        let _ = self.context.config_changed.try_send(());
    }

    fn view_version(&self) -> Option<ViewVersion> {
        view_version_of(&self.context.view())
    }

    async fn send_heartbeat(&self, hosts: &[IpAddr], heartbeat: Heartbeat) {
        self.send(hosts, DatagramBody::Heartbeat(heartbeat)).await;
    }
}

/// Returns the age of the listing of targets, `Duration::MAX` before the first one.
fn view_age(known: &CachedView, now: Instant) -> Duration {
    known.as_of().map_or(Duration::MAX, |as_of| now.saturating_duration_since(as_of))
}

/// Returns the number of peers that a heartbeat to `local` boxes lists.
fn listed_peers(local: usize) -> usize {
    (MAX_LISTED_PER_SECOND / local.max(1)).clamp(2, MAX_LOCAL_LISTED)
}
