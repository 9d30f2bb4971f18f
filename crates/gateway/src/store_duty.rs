//! Keeps what is known of targets fresh: by peers where they read, else by own readings.
//!
//! Each call to the store has a price, so in each data centre one box reads for all.
//! There is no election. Boxes are ranked (see `peers`), and each reads by itself once
//! its view is older than its rank allows: the first one always does, the second only
//! when the first is silent, and so on. A reader that is dead, frozen, cut off or turned
//! away by the store is thus replaced within a few tenths of a second, and a box that is
//! cut off from its peers reads for itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config_duty::{ConfigReader, is_large};
use crate::context::{BoxContext, millis};
use crate::gossip::Gossip;
use crate::ports::{StoreError, StorePoll};
use crate::store_backoff::StoreBackoff;
use crate::suspension::ClockSample;

/// How long a listing that is there waits for the word that the configuration is unchanged,
/// so that peers are told of both at once. The store answers in 4 ms.
const CONFIG_WAIT: Duration = Duration::from_millis(50);
/// A listing of more targets than this is read as news: whole, it takes a call for each of its pages.
const LISTED_WHOLE: usize = 400;
/// It is read whole again after this long all the same, so that nothing that news might miss stays.
const WHOLE_PERIOD: Duration = Duration::from_secs(12);
/// A box that has not read for this long begins to read for the others.
const READER_GAP: Duration = Duration::from_secs(5);
/// A box that found no peers for this long looks for them in the store.
const LONELY_AFTER: Duration = Duration::from_millis(1500);
/// Time between two looks into the store for peers.
const CONTACT_PERIOD: Duration = Duration::from_secs(3);
/// Time between two notes of contacts in the store, at least.
const NOTE_PERIOD: Duration = Duration::from_secs(15);
/// Boxes in a note of contacts at most.
const CONTACTS: usize = 8;

/// The duty's state.
pub(crate) struct StoreDuty {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    config: Arc<ConfigReader>,
    random: SmallRng,
    backoff: StoreBackoff,
    started: Instant,
    /// When this box listed all targets last, or began to read for the others.
    listed: Option<Instant>,
    /// When it read last.
    read: Option<Instant>,
    contacts_read: Option<Instant>,
    contacts_noted: Option<Instant>,
    /// The version of the note of refused requests that this box wrote last; 0 for an empty one.
    crashes_noted: u64,
}

impl StoreDuty {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        gossip: Arc<Gossip>,
        config: Arc<ConfigReader>,
        seed: u64,
    ) -> StoreDuty {
        StoreDuty {
            context,
            gossip,
            config,
            random: SmallRng::seed_from_u64(seed),
            backoff: StoreBackoff::default(),
            started: Instant::now(),
            listed: None,
            read: None,
            contacts_read: None,
            contacts_noted: None,
            crashes_noted: 0,
        }
    }

    /// Works until the ring of notices closes.
    pub(crate) async fn run(mut self, notices: Receiver<()>) {
        loop {
            self.drop_lapsed();
            let due = self.reading_age();
            let wait = self.age().map_or(Duration::ZERO, |age| due.saturating_sub(age));
            let wait = wait.max(self.backoff.remaining());
            if !wait.is_zero() {
                // A notice means that a peer's word was taken, so the age is another one.
                let wait = self.until_lapse().map_or(wait, |lapse| lapse.min(wait));
                match timeout(wait, notices.recv()).await {
                    Ok(Err(_)) => return,
                    Ok(Ok(())) | Err(_) => continue,
                }
            }
            self.read().await;
            self.mind_contacts().await;
            self.mind_crashes().await;
        }
    }

    /// How old that is which a reading would renew.
    fn age(&self) -> Option<Duration> {
        let known = self.context.view();
        let large = is_large(known.config_text());
        let oldest = if large { known.as_of() } else { known.oldest() };
        oldest.map(|oldest| oldest.elapsed())
    }

    /// The age at which this box reads.
    fn reading_age(&mut self) -> Duration {
        let rank = self.context.peers().read_priority();
        self.context.budget.read_age(rank, self.random.random())
    }

    async fn read(&mut self) {
        let began = Instant::now();
        let mark = self.context.clock_sample();
        match self.read_once(began, mark).await {
            Ok(()) => {
                let revision = self.context.view().revision();
                if self.backoff.failures() > 0 {
                    log::info!(failures = self.backoff.failures(), revision; "store-regained");
                }
                self.backoff.reset();
                metrics::counter!("wingbridge_store_reads", "outcome" => "good").increment(1);
                self.gossip.broadcast_view_version().await;
            }
            Err(error) => {
                if self.backoff.failures() == 0 {
                    let age_ms = self.context.view_age().map_or(0, millis);
                    log::warn!(reason:% = error, view_age_ms = age_ms; "store-lost");
                }
                metrics::counter!("wingbridge_store_reads", "outcome" => "failed").increment(1);
                self.gossip.request_remote_heartbeat().await;
                self.backoff.record_failure(self.random.random());
            }
        }
    }

    /// Reads all in one call, or, where the configuration is large, lists the targets and
    /// has news of the configuration read beside that.
    async fn read_once(&mut self, began: Instant, mark: ClockSample) -> Result<(), StoreError> {
        if let Some(after) = self.news_from()
            && self.read_news(after, began, &mark).await?
        {
            return Ok(());
        }
        let port = &self.context.port;
        self.listed = Some(began);
        if !is_large(self.context.view().config_text()) {
            let view = port.read_all().await?;
            log::info!(
                revision = view.revision, with_config = true, taken_ms = millis(began.elapsed());
                "view-read"
            );
            self.context.apply_view(view, self.context.corrected_time(&mark), "store");
            return Ok(());
        }
        let reader = Arc::clone(&self.config);
        let reading = task::spawn(async move { reader.refresh().await });
        let listing = port.read_targets().await?;
        log::info!(
            revision = listing.revision, with_config = false, taken_ms = millis(began.elapsed());
            "view-read"
        );
        // Targets don't wait for a configuration that takes long: they are in force from here
        // on, and peers are told at once. Waiting made requests reach targets 3 s after these
        // had said that they leave, by the requests' lines.
        self.context.apply_listing(listing, self.context.corrected_time(&mark), "store");
        // Late: it goes on by itself, and is told when it is there.
        let _ = timeout(CONFIG_WAIT, reading).await;
        Ok(())
    }

    /// The revision from which news is read in place of a listing; `None` if the targets are to be listed.
    ///
    /// What a peer's listing told is as good to go on from as an own one.
    fn news_from(&mut self) -> Option<u64> {
        let now = Instant::now();
        let begins = self.read.replace(now).is_none_or(|read| now - read >= READER_GAP);
        if begins {
            self.listed = Some(now);
        }
        let listed = *self.listed.get_or_insert(now);
        let known = self.context.view();
        if known.listed_count() <= LISTED_WHOLE || listed.elapsed() >= WHOLE_PERIOD {
            return None;
        }
        known.target_poll_revision()
    }

    /// Reads what is new since the revision `after`; returns whether the store still knows.
    async fn read_news(
        &self,
        after: u64,
        began: Instant,
        mark: &ClockSample,
    ) -> Result<bool, StoreError> {
        let StorePoll::Changed(news) = self.context.port.poll_changes(after).await? else {
            log::info!(after; "history-forgotten");
            return Ok(false);
        };
        log::info!(
            revision = news.revision, after, written = news.written.len(), gone = news.removed.len(),
            taken_ms = millis(began.elapsed());
            "news-read"
        );
        self.context.apply_changes(*news, self.context.corrected_time(mark));
        Ok(true)
    }

    /// Looks for peers in the store if there are none, and leaves some there for others.
    async fn mind_contacts(&mut self) {
        let (boxes, rank, near) = {
            let peers = self.context.peers();
            (peers.boxes(), peers.read_priority(), peers.local())
        };
        if boxes == 1
            && self.started.elapsed() >= LONELY_AFTER
            && is_due(self.contacts_read, CONTACT_PERIOD)
        {
            self.contacts_read = Some(Instant::now());
            match self.context.port.read_bootstrap_addresses().await {
                Ok(hosts) => {
                    log::info!(found = hosts.len(); "contacts-read");
                    self.gossip.request_heartbeats(&hosts).await;
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
            if let Err(error) = self.context.port.write_bootstrap_addresses(centre, &hosts).await {
                log::warn!(reason:% = error; "contacts-not-noted");
            }
        }
    }

    /// Leaves in the store which requests are refused, if that has changed: a fleet that lost power as a
    /// whole would let each of them end three more targets.
    async fn mind_crashes(&mut self) {
        if self.context.peers().read_priority() > 0 {
            return;
        }
        let (version, note) = self.context.crashes.encode_note();
        if version == self.crashes_noted {
            return;
        }
        let centre = self.context.settings.data_centre.as_str();
        match self.context.port.write_crash_note(centre, &note).await {
            Ok(()) => {
                log::info!(bytes = note.len(); "crash-note-written");
                self.crashes_noted = version;
            }
            // It is tried again with the next reading.
            Err(error) => log::warn!(reason:% = error; "crash-note-not-written"),
        }
    }

    /// Time until the next lapsed target is to be dropped. Boxes that live by their peers
    /// make no reading that would do it.
    fn until_lapse(&self) -> Option<Duration> {
        let lapse = self.context.view().next_lapse()?;
        Some(lapse.saturating_duration_since(Instant::now()))
    }

    fn drop_lapsed(&self) {
        let dropped = self
            .context
            .change_view(|known| known.drop_lapsed(Instant::now()).then(|| known.revision()));
        if let Some(revision) = dropped {
            log::info!(revision; "lapsed-targets-dropped");
        }
    }
}

fn is_due(last: Option<Instant>, period: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= period)
}
