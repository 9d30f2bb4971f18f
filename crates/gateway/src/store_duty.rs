//! Keeps the view of the store fresh: by peers where they read, else by own readings.
//!
//! Each call to the store has a price, so in each data centre one box reads for all.
//! There is no election. Boxes are ranked (see `peers`), and each reads by itself once
//! its view is older than its rank allows: the first one always does, the second only
//! when the first is silent, and so on. A reader that is dead, frozen, cut off or turned
//! away by the store is thus replaced within a few tenths of a second, and a box that is
//! cut off from its peers reads for itself.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::context::{BoxContext, millis};
use crate::gossip::GossipDuty;
use crate::ports::{ConfigNews, StoreError};
use crate::view::{ConfigText, StoreView};

/// Age of the view at which the first box reads, as a share of the time by which a change
/// must be in force: a reading may fail and be made by two more ranks in time.
const READ_SHARE: f64 = 0.35;
/// How much older the view may be at each further rank, as a share of the same.
const RANK_SHARE: f64 = 0.08;
/// Ranks that are told apart; all further ones read at the same age, with the spread below.
const RANKS: usize = 4;
/// News of the configuration is asked for from a revision that was known this long ago: a
/// store may say nothing of changes for a second before it forgets its history.
const NEWS_LAG: Duration = Duration::from_millis(1500);
/// Configurations over this are not read with each listing of the targets, in bytes: at
/// 10 Mbit/s this one takes 26 ms.
pub(crate) const LARGE_CONFIG_BYTES: usize = 32 * 1024;
/// Ages are spread by up to this share, so that boxes of a rank do not read in step.
const SPREAD: f64 = 0.1;
/// First wait after a failed reading; it doubles up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// Longest wait after failed readings: half of what targets have to come back in.
const RETRY_LONGEST: Duration = Duration::from_millis(1000);
/// A box that found no peers for this long looks for them in the store.
const LONELY_AFTER: Duration = Duration::from_millis(1500);
/// Time between two looks into the store for peers.
const CONTACT_PERIOD: Duration = Duration::from_secs(3);
/// Time between two notes of contacts in the store, at least.
const NOTE_PERIOD: Duration = Duration::from_secs(15);
/// Boxes in a note of contacts at most.
const CONTACTS: usize = 8;

/// Revisions that were known at moments of the last seconds.
#[derive(Debug, Default)]
struct RevisionTrail {
    known: VecDeque<(Instant, u64)>,
}

impl RevisionTrail {
    /// Notes the revision that is known now, and returns the newest one that was known
    /// [`NEWS_LAG`] ago; `None` if there is none.
    fn lagging(&mut self, now: Instant, revision: u64) -> Option<u64> {
        self.known.push_back((now, revision));
        let old = |entry: &(Instant, u64)| now.duration_since(entry.0) >= NEWS_LAG;
        while self.known.len() > 1 && old(&self.known[1]) {
            self.known.pop_front();
        }
        self.known.front().filter(|entry| old(entry)).map(|(_, revision)| *revision)
    }
}

/// The duty's state.
pub(crate) struct StoreDuty {
    context: Arc<BoxContext>,
    gossip: Arc<GossipDuty>,
    random: SmallRng,
    failures: u32,
    /// No reading is made before: the last one failed.
    not_before: Instant,
    revisions: RevisionTrail,
    started: Instant,
    contacts_read: Option<Instant>,
    contacts_noted: Option<Instant>,
}

impl StoreDuty {
    pub(crate) fn new(context: Arc<BoxContext>, gossip: Arc<GossipDuty>, seed: u64) -> StoreDuty {
        StoreDuty {
            context,
            gossip,
            random: SmallRng::seed_from_u64(seed),
            failures: 0,
            not_before: Instant::now(),
            revisions: RevisionTrail::default(),
            started: Instant::now(),
            contacts_read: None,
            contacts_noted: None,
        }
    }

    /// Works until the ring of notices closes.
    pub(crate) async fn run(mut self, notices: Receiver<()>) {
        loop {
            self.drop_lapsed();
            let due = self.reading_age();
            let age = self.context.view_age();
            let wait = age.map_or(Duration::ZERO, |age| due.saturating_sub(age));
            let wait = wait.max(self.not_before.saturating_duration_since(Instant::now()));
            if !wait.is_zero() {
                // A notice means that a peer's view was taken, so the age is another one.
                let wait = self.until_lapse().map_or(wait, |lapse| lapse.min(wait));
                match async_std::future::timeout(wait, notices.recv()).await {
                    Ok(Err(_)) => return,
                    Ok(Ok(())) | Err(_) => continue,
                }
            }
            self.read().await;
            self.mind_contacts().await;
        }
    }

    /// The age of the view at which this box reads.
    fn reading_age(&mut self) -> Duration {
        let rank = self.context.peers().reading_rank().min(RANKS);
        let share = READ_SHARE + RANK_SHARE * rank as f64;
        let spread = if rank == 0 { 0.0 } else { SPREAD * self.random.random::<f64>() };
        self.context.settings.change_time.mul_f64(share * (1.0 + spread))
    }

    async fn read(&mut self) {
        let began = Instant::now();
        match self.read_view(began).await {
            Ok(view) => {
                if self.failures > 0 {
                    log::info!(failures = self.failures, revision = view.revision; "store-regained");
                }
                self.failures = 0;
                metrics::counter!("wingbridge_store_reads", "outcome" => "good").increment(1);
                log::info!(
                    revision = view.revision, with_config = view.config.is_some(),
                    taken_ms = millis(began.elapsed());
                    "view-read"
                );
                self.context.take_view(view, began, "store");
                self.gossip.tell_mark().await;
            }
            Err(error) => {
                if self.failures == 0 {
                    let age_ms = self.context.view_age().map_or(0, millis);
                    log::warn!(reason:% = error, view_age_ms = age_ms; "store-lost");
                }
                metrics::counter!("wingbridge_store_reads", "outcome" => "failed").increment(1);
                self.failures = self.failures.saturating_add(1);
                self.gossip.ask_far().await;
                self.not_before = Instant::now() + self.retry_wait();
            }
        }
    }

    /// Reads all in one call, or, where the configuration is large, lists the targets and
    /// reads the configuration only if it was written.
    async fn read_view(&mut self, began: Instant) -> Result<StoreView, StoreError> {
        let (held, large, revision) = {
            let known = self.context.view();
            let text = known.view().config.as_ref().map(|config| config.text.len());
            (
                known.config_revision(),
                text.is_some_and(|length| length > LARGE_CONFIG_BYTES),
                known.revision(),
            )
        };
        let after = self.revisions.lagging(began, revision);
        let port = &self.context.port;
        if !large {
            return port.read_all().await;
        }
        let (listing, config) = futures::join!(port.read_targets(), self.read_config(held, after));
        let (listing, config) = (listing?, config?);
        Ok(StoreView {
            revision: listing.revision,
            config_revision: config.as_ref().map_or(held, |config| config.revision),
            config,
            targets: listing.targets,
        })
    }

    async fn read_config(
        &self,
        held: u64,
        after: Option<u64>,
    ) -> Result<Option<ConfigText>, StoreError> {
        let port = &self.context.port;
        let Some(after) = after.filter(|_| held > 0) else {
            return port.read_config().await;
        };
        match port.config_news(after).await? {
            ConfigNews::Unchanged => Ok(None),
            ConfigNews::Changed(config) => Ok(Some(config)),
            ConfigNews::Forgotten => {
                log::info!(after; "history-forgotten");
                port.read_config().await
            }
        }
    }

    fn retry_wait(&mut self) -> Duration {
        let doubled = RETRY_FIRST.saturating_mul(1 << self.failures.min(4).saturating_sub(1));
        doubled.min(RETRY_LONGEST).mul_f64(0.7 + 0.6 * self.random.random::<f64>())
    }

    /// Looks for peers in the store if there are none, and leaves some there for others.
    async fn mind_contacts(&mut self) {
        let (boxes, rank, near) = {
            let peers = self.context.peers();
            (peers.boxes(), peers.reading_rank(), peers.near())
        };
        if boxes == 1
            && self.started.elapsed() >= LONELY_AFTER
            && is_due(self.contacts_read, CONTACT_PERIOD)
        {
            self.contacts_read = Some(Instant::now());
            match self.context.port.read_contacts().await {
                Ok(hosts) => {
                    log::info!(found = hosts.len(); "contacts-read");
                    self.gossip.ask(&hosts).await;
                }
                Err(error) => log::warn!(reason:% = error; "contacts-not-read"),
            }
        }
        let due =
            self.started.elapsed() >= LONELY_AFTER && is_due(self.contacts_noted, NOTE_PERIOD);
        if rank == 0 && due {
            self.contacts_noted = Some(Instant::now());
            let mut hosts = vec![self.context.settings.host()];
            hosts.extend(near.into_iter().take(CONTACTS - 1));
            let centre = self.context.settings.data_centre.as_str();
            if let Err(error) = self.context.port.write_contacts(centre, &hosts).await {
                log::warn!(reason:% = error; "contacts-not-noted");
            }
        }
    }

    /// Time until the next lapsed target is to be dropped. Boxes that live by their peers
    /// make no reading that would do it.
    fn until_lapse(&self) -> Option<Duration> {
        let lapse = self.context.view().next_lapse()?;
        Some(lapse.saturating_duration_since(Instant::now()))
    }

    fn drop_lapsed(&self) {
        let mut known = self.context.view();
        if known.drop_lapsed(Instant::now()) {
            log::info!(revision = known.revision(); "lapsed-targets-dropped");
            self.context.publish_targets(&known);
        }
    }
}

fn is_due(last: Option<Instant>, period: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= period)
}
