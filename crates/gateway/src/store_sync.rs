//! Keeps the view of the store current: by updates from peers that read the store, otherwise by own
//! readings.
//!
//! Each call to the store has a cost, so in each data centre one box reads for all. There is no
//! election. Boxes are ordered by read priority (see `peers`), and each reads by itself once its view
//! is older than its priority allows: the first box always does, the second only if the first is
//! unresponsive, and so on. A reader that is dead, frozen, cut off or refused by the store is thus
//! replaced within a few tenths of a second, and a box that can't reach its peers reads for itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::task;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::TargetKey;

use crate::config_sync::{ConfigReader, is_large};
use crate::context::{BoxContext, millis};
use crate::gossip::Gossip;
use crate::listing_schedule::ListingSchedule;
use crate::ports::{StoreError, StorePoll};
use crate::store_backoff::StoreBackoff;
use crate::store_revision::StoreRevision;
use crate::suspension::ClockSample;

/// Time for which a listing that was read waits for the poll of the configuration, so that peers are
/// sent both versions at once. The store answers in 4 ms.
const CONFIG_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of targets in a listing that is read in full each time. A longer one takes a call
/// for each of its pages, so the store is polled for its changes instead.
const MAX_FULL_LISTING: usize = 400;
/// Age of the view above which a long listing is read in full. A target's heartbeats are changes, too: those of a longer
/// time are several times as many bytes as the listing, and a poll that fails for its length would be longer the next time.
const MAX_POLLED_TIME: Duration = Duration::from_secs(5);
/// Time since the start after which a box reads bootstrap addresses, if it has no peers, and writes
/// them.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(1500);
/// Time between two readings of bootstrap addresses.
const BOOTSTRAP_READ_PERIOD: Duration = Duration::from_secs(3);
/// Minimum time between two writes of bootstrap addresses.
const BOOTSTRAP_WRITE_PERIOD: Duration = Duration::from_secs(15);
/// Maximum number of bootstrap addresses that are written.
const MAX_BOOTSTRAP_ADDRESSES: usize = 8;

/// The task that reads the store, with its state.
pub(crate) struct StoreSync {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    config: Arc<ConfigReader>,
    random: SmallRng,
    backoff: StoreBackoff,
    started: Instant,
    schedule: ListingSchedule,
    bootstrap_read_at: Option<Instant>,
    bootstrap_written: Option<WrittenNote>,
    crash_note_written: Option<WrittenNote>,
    /// Suspects in the note that was last written.
    suspects_written: Vec<TargetKey>,
}

/// Minimum time between two notes that differ in their suspects alone. Failure episodes last some seconds, and each
/// write is a call to the store.
const SUSPECT_NOTE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of suspects in a note, 8 bytes each.
const MAX_NOTED_SUSPECTS: usize = 512;

/// A note that this box last wrote to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WrittenNote {
    /// Era of the store before the write. A store of a later era may have lost the note.
    era: u64,
    /// Version of the note; 0 for an empty one, and for notes that have no versions.
    version: u64,
    at: Instant,
}

impl StoreSync {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        gossip: Arc<Gossip>,
        config: Arc<ConfigReader>,
        seed: u64,
    ) -> StoreSync {
        StoreSync {
            context,
            gossip,
            config,
            random: SmallRng::seed_from_u64(seed),
            backoff: StoreBackoff::default(),
            started: Instant::now(),
            schedule: ListingSchedule::default(),
            bootstrap_read_at: None,
            bootstrap_written: None,
            crash_note_written: None,
            suspects_written: Vec::new(),
        }
    }

    /// Runs until the channel of `notifications` is closed. A notification reports that the view has
    /// changed.
    pub(crate) async fn run(mut self, notifications: Receiver<()>) {
        loop {
            self.drop_lapsed();
            let due = self.read_age();
            let wait = self.age().map_or(Duration::ZERO, |age| due.saturating_sub(age));
            let wait = wait.max(self.backoff.remaining());
            if !wait.is_zero() {
                // A notification reports an update from a peer, which may have changed the age.
                let wait = self.until_lapse().map_or(wait, |lapse| lapse.min(wait));
                match timeout(wait, notifications.recv()).await {
                    Ok(Err(_)) => return,
                    Ok(Ok(())) | Err(_) => continue,
                }
            }
            self.read().await;
            self.sync_bootstrap_addresses().await;
            self.write_crash_note().await;
        }
    }

    /// Returns the age of the data that a reading would refresh; `None` if there is none.
    fn age(&self) -> Option<Duration> {
        self.renewed_at().map(|renewed| renewed.elapsed())
    }

    /// Returns the time up to which the data that a reading would refresh is current; `None` if there is
    /// none.
    fn renewed_at(&self) -> Option<Instant> {
        let view = self.context.view();
        let large = is_large(view.config_text());
        if large { view.as_of() } else { view.oldest() }
    }

    /// Returns the age of the view at which this box reads the store.
    fn read_age(&mut self) -> Duration {
        let priority = self.context.peers().read_priority();
        self.context.budget.read_age(priority, self.random.random())
    }

    async fn read(&mut self) {
        let started_at = Instant::now();
        let sample = self.context.clock_sample();
        let renewed_before = self.renewed_at();
        match self.read_once(started_at, sample).await {
            // A reading that did not renew the view is as due as before: repeated at once, such readings
            // of 40 boxes used up all calls that the store allows.
            Ok(()) if self.renewed_at() <= renewed_before => {
                metrics::counter!("wingbridge_store_reads", "outcome" => "outdated").increment(1);
                self.backoff.record_failure(self.random.random());
            }
            Ok(()) => {
                let revision = self.context.view().revision();
                if self.backoff.failures() > 0 {
                    log::info!(
                        failures = self.backoff.failures(), revision:%, era = revision.era;
                        "store-regained"
                    );
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

    /// Polls for changes of a long listing. Otherwise reads everything in one call or, if the
    /// configuration is large, lists the targets and refreshes the configuration concurrently.
    async fn read_once(
        &mut self,
        started_at: Instant,
        sample: ClockSample,
    ) -> Result<(), StoreError> {
        if let Some(after) = self.poll_revision()
            && self.poll_changes(after, started_at, &sample).await?
        {
            return Ok(());
        }
        let port = &self.context.port;
        if !is_large(self.context.view().config_text()) {
            let view = port.read_all().await?;
            log::info!(
                revision:% = view.revision, era = view.revision.era, with_config = true,
                taken_ms = millis(started_at.elapsed());
                "view-read"
            );
            self.schedule.record_listing(started_at);
            self.context.apply_view(view, self.context.corrected_time(&sample), "store");
            return Ok(());
        }
        let reader = Arc::clone(&self.config);
        let reading = task::spawn(async move { reader.refresh().await });
        let listing = port.read_targets().await?;
        self.schedule.record_listing(started_at);
        log::info!(
            revision:% = listing.revision, era = listing.revision.era, with_config = false,
            taken_ms = millis(started_at.elapsed());
            "view-read"
        );
        // Targets don't wait for a configuration that takes long: they are in force from here on, and
        // peers are notified at once. When they waited, requests reached targets as late as 3 s after
        // the targets had reported that they were draining.
        self.context.apply_listing(listing, self.context.corrected_time(&sample), "store");
        // A refresh that takes longer continues in its task, which notifies peers when it is done.
        let _ = timeout(CONFIG_WAIT, reading).await;
        Ok(())
    }

    /// Returns the revision after which the store is polled for changes; `None` if the targets are to be
    /// listed.
    ///
    /// The revision may be of a listing from a peer, from which polling continues as from an own
    /// listing.
    fn poll_revision(&mut self) -> Option<StoreRevision> {
        let is_listing_due = self.schedule.begin_read(Instant::now(), self.random.random());
        let view = self.context.view();
        if view.listed_count() <= MAX_FULL_LISTING || is_listing_due {
            return None;
        }
        let is_newer_known = self.context.newer_config().pending().is_some();
        let (known_at, revision) = if is_newer_known && is_large(view.config_text()) {
            // It is read by a task of its own: targets don't wait for its transfer.
            (view.as_of(), view.target_poll_revision())
        } else {
            (view.oldest(), view.poll_revision())
        };
        known_at.filter(|known_at| known_at.elapsed() < MAX_POLLED_TIME)?;
        revision
    }

    /// Polls the store for changes after the revision `after` and applies them. Returns `false` if the
    /// store has discarded its history since then.
    async fn poll_changes(
        &self,
        after: StoreRevision,
        started_at: Instant,
        sample: &ClockSample,
    ) -> Result<bool, StoreError> {
        let StorePoll::Changed(changes) = self.context.port.poll_changes(after).await? else {
            log::info!(after:%, era = after.era; "history-forgotten");
            return Ok(false);
        };
        let (held, config_age) = {
            let view = self.context.view();
            (view.config_id(), view.config_as_of().map(|as_of| as_of.elapsed()))
        };
        log::info!(
            revision:% = changes.revision, era = changes.revision.era, after:%,
            written = changes.written.len(), gone = changes.removed.len(),
            with_config = changes.config.is_some(),
            held_config:% = held.revision, held_version = held.version,
            config_age_ms = config_age.map_or(0, millis),
            taken_ms = millis(started_at.elapsed());
            "news-read"
        );
        self.context.apply_changes(*changes, after, self.context.corrected_time(sample));
        Ok(true)
    }

    /// Reads bootstrap addresses from the store if this box has no peers, and writes some if it is the
    /// reader of its data centre.
    async fn sync_bootstrap_addresses(&mut self) {
        let (boxes, priority, local_peers) = {
            let peers = self.context.peers();
            (peers.boxes(), peers.read_priority(), peers.local())
        };
        if boxes == 1
            && self.started.elapsed() >= BOOTSTRAP_DELAY
            && is_due(self.bootstrap_read_at, BOOTSTRAP_READ_PERIOD)
        {
            self.bootstrap_read_at = Some(Instant::now());
            match self.context.port.read_bootstrap_addresses().await {
                Ok(hosts) => {
                    log::info!(found = hosts.len(); "contacts-read");
                    self.gossip.request_heartbeats(&hosts).await;
                }
                Err(error) => log::warn!(reason:% = error; "contacts-not-read"),
            }
        }
        let era = self.context.view().revision().era;
        let written = self.bootstrap_written.filter(|note| note.era == era);
        let written_at = written.map(|note| note.at);
        let due =
            self.started.elapsed() >= BOOTSTRAP_DELAY && is_due(written_at, BOOTSTRAP_WRITE_PERIOD);
        if priority == 0 && due {
            self.bootstrap_written = Some(WrittenNote { era, version: 0, at: Instant::now() });
            let mut hosts = vec![self.context.settings.host()];
            hosts.extend(local_peers.into_iter().take(MAX_BOOTSTRAP_ADDRESSES - 1));
            let centre = self.context.settings.data_centre.as_str();
            if let Err(error) = self.context.port.write_bootstrap_addresses(centre, &hosts).await {
                log::warn!(reason:% = error; "contacts-not-noted");
            }
        }
    }

    /// Writes the poison requests that boxes refuse and the data centre's suspects to the store, if they have
    /// changed. Without the note, each of these requests would end three more targets after a power failure
    /// of the entire fleet, and the first requests after it would go to targets that are known to fail.
    async fn write_crash_note(&mut self) {
        if self.context.peers().read_priority() > 0 {
            return;
        }
        let centre = self.context.settings.data_centre.as_str();
        let suspects = self.noted_suspects();
        let (version, note) = self.context.crashes.encode_note(&suspects);
        let era = self.context.view().revision().era;
        let written = self.crash_note_written;
        let is_written = match written {
            Some(note) => note.version == version && (note.era == era || version == 0),
            None => version == 0,
        };
        let suspects_due = suspects != self.suspects_written
            && written.is_none_or(|note| note.at.elapsed() >= SUSPECT_NOTE_PERIOD);
        if is_written && !suspects_due {
            return;
        }
        match self.context.port.write_crash_note(centre, &note).await {
            Ok(()) => {
                log::info!(bytes = note.len(), suspects = suspects.len(); "crash-note-written");
                self.crash_note_written = Some(WrittenNote { era, version, at: Instant::now() });
                self.suspects_written = suspects;
            }
            // The write is repeated after the next reading.
            Err(error) => log::warn!(reason:% = error; "crash-note-not-written"),
        }
    }

    /// Returns the suspects for the note: those of the last one while this box can't tell. They are only noted where overload control sheds load, since each write
    /// is a call to the store.
    fn noted_suspects(&self) -> Vec<TargetKey> {
        let context = &self.context;
        if !context.settings.overload.sheds_load() {
            return Vec::new();
        }
        // A box that reaches no target suspects all of them, and every box that starts would avoid them.
        if !context.paths.is_settled(context.now()) {
            return self.suspects_written.clone();
        }
        let suspects = context.core().suspects(context.now(), &context.settings.data_centre);
        suspects.into_iter().take(MAX_NOTED_SUSPECTS).collect()
    }

    /// Returns the time until the next lapsed target is to be dropped. A box that is updated by peers
    /// makes no reading at which it would drop the target.
    fn until_lapse(&self) -> Option<Duration> {
        let lapse = self.context.view().next_lapse()?;
        Some(lapse.saturating_duration_since(Instant::now()))
    }

    fn drop_lapsed(&self) {
        let dropped = self
            .context
            .change_view(|view| view.drop_lapsed(Instant::now()).then(|| view.revision()));
        if let Some(revision) = dropped {
            log::info!(revision:%, era = revision.era; "lapsed-targets-dropped");
        }
        let ended = self
            .context
            .change_view(|view| view.end_overrides(Instant::now()).then(|| view.revision()));
        if let Some(revision) = ended {
            log::info!(revision:%, era = revision.era; "overrides-of-copy-ended");
        }
    }
}

fn is_due(last: Option<Instant>, period: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= period)
}
