//! Keeps a large configuration up to date, from peers that have a newer one or else from the store.
//!
//! Boxes pass the deltas of a configuration to each other (see `config_source`). A box first
//! requests the newer configuration from a seeder, that is, a peer that reported having it. It
//! reads the store only if that does not succeed in time, or if no peer has reported a newer one.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::future::timeout;
use async_std::task;
use futures::future::{Either, select};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::change_budget::transfer_time;
use crate::config_exchange::{ConfigFetch, fetch_config};
use crate::context::{BoxContext, millis};
use crate::gossip::Gossip;
use crate::ports::{ConfigPoll, StoreError};
use crate::store_backoff::StoreBackoff;
use crate::store_revision::{ConfigId, StoreRevision};
use crate::suspension::ClockSample;
use crate::transfer_slots::BUSY_RETRY_DELAY;
use crate::view::ConfigText;

/// Size in bytes above which a configuration is read separately from the listing of targets. A
/// transfer of this size takes 26 ms at 10 Mbit/s.
const LARGE_CONFIG_BYTES: usize = 32 * 1024;
/// Delay after which this task reads the store although another read is expected: the box that
/// reads for its data centre normally does so together with its listing of targets.
const READER_DELAY: Duration = Duration::from_millis(150);
/// Longest wait between two checks when nothing is due; a notification ends it earlier.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(60);

/// Returns whether a configuration is large enough to be read separately from the targets.
pub(crate) fn is_large(config: Option<&ConfigText>) -> bool {
    config.is_some_and(|config| config.text.len() > LARGE_CONFIG_BYTES)
}

/// Reads the configuration from the store, with at most one read in progress.
pub(crate) struct ConfigReader {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    reading: AtomicBool,
}

impl ConfigReader {
    pub(crate) fn new(context: Arc<BoxContext>, gossip: Arc<Gossip>) -> Arc<ConfigReader> {
        Arc::new(ConfigReader { context, gossip, reading: AtomicBool::new(false) })
    }

    /// Reads a newer configuration from the store, if there is one, and applies it. Does nothing
    /// while another read is in progress. Returns false if the read failed.
    pub(crate) async fn refresh(&self) -> bool {
        if self.reading.swap(true, Ordering::Relaxed) {
            return true;
        }
        let started_at = Instant::now();
        let sample = self.context.clock_sample();
        let outcome = {
            let _reading_guard = ReadingGuard(&self.reading);
            self.read(&sample).await
        };
        match outcome {
            Ok(Some(config)) => {
                let (revision, bytes) = (config.revision, config.text.len());
                log::info!(
                    revision:% = revision, era = revision.era, bytes,
                    taken_ms = millis(started_at.elapsed());
                    "configuration-read"
                );
                let as_of = self.context.corrected_time(&sample);
                self.context.apply_config(config, Vec::new(), as_of, "store");
                self.gossip.broadcast_view_version().await;
                true
            }
            Ok(None) => true,
            Err(error) => {
                let age_ms = self.context.config_age().map_or(0, millis);
                log::warn!(reason:% = error, age_ms; "configuration-not-read");
                false
            }
        }
    }

    /// Reads the configuration from the store. Returns `None` if the store has no configuration
    /// that is newer than the one of this box.
    async fn read(&self, sample: &ClockSample) -> Result<Option<ConfigText>, StoreError> {
        let port = &self.context.port;
        let after = self.context.view().config_poll_revision();
        let poll = match after {
            Some(after) => port.poll_config(after).await?,
            None => ConfigPoll::HistoryDiscarded,
        };
        let config = match poll {
            ConfigPoll::Unchanged => None,
            ConfigPoll::Changed(config) => Some(config),
            ConfigPoll::HistoryDiscarded => {
                if let Some(after) = after {
                    log::info!(after:%, era = after.era; "history-forgotten");
                }
                port.read_config().await?
            }
        };
        let is_other =
            |config: &ConfigText| config.revision != self.context.view().config_id().revision;
        let config = config.filter(is_other);
        if config.is_none() {
            let as_of = self.context.corrected_time(sample);
            self.context.view().record_config_read(as_of);
        }
        Ok(config)
    }
}

/// Ends a read when it is dropped, also by a panic: otherwise each later one would take it for one in progress.
struct ReadingGuard<'a>(&'a AtomicBool);

impl Drop for ReadingGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Background task that keeps a large configuration up to date.
pub(crate) struct ConfigSync {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    reader: Arc<ConfigReader>,
    random: SmallRng,
    backoff: StoreBackoff,
    /// Newest configuration of which this box has logged that it lacks it.
    logged_stale: ConfigId,
}

impl ConfigSync {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        gossip: Arc<Gossip>,
        reader: Arc<ConfigReader>,
        seed: u64,
    ) -> ConfigSync {
        let random = SmallRng::seed_from_u64(seed);
        let backoff = StoreBackoff::default();
        ConfigSync { context, gossip, reader, random, backoff, logged_stale: ConfigId::NONE }
    }

    /// Runs until the channel of notifications closes.
    pub(crate) async fn run(mut self, notifications: Receiver<()>) {
        loop {
            self.log_stale();
            let until_read = self.until_read();
            if until_read.is_some_and(|wait| wait.is_zero()) {
                self.read(&notifications).await;
                continue;
            }
            match self.fetch_from_seeder().await {
                // A seeder that failed is not asked again until it reports a newer configuration.
                Some(ConfigFetch::Applied | ConfigFetch::Failed) => continue,
                Some(ConfigFetch::Busy(_)) => {
                    task::sleep(BUSY_RETRY_DELAY.mul_f64(1.0 + self.random.random::<f64>())).await;
                    continue;
                }
                None => {}
            }
            let wait = until_read.unwrap_or(MAX_IDLE_WAIT);
            if let Ok(Err(_)) = timeout(wait, notifications.recv()).await {
                return;
            }
        }
    }

    /// Fetches a newer configuration from a seeder; returns `None` if no seeder is known.
    async fn fetch_from_seeder(&mut self) -> Option<ConfigFetch> {
        let budget = self.context.budget;
        let is_old = self.context.config_age().is_none_or(|age| age >= budget.remote_fetch_age());
        let (host, id) = {
            let newer = self.context.newer_config();
            let (learned_at, id) = newer.pending()?;
            let allow_remote = is_old || learned_at.elapsed() >= budget.remote_wait();
            (newer.choose_seeder(allow_remote)?, id)
        };
        let fetched = fetch_config(&self.context, host).await;
        match &fetched {
            ConfigFetch::Applied => self.gossip.send_view_version_to_some().await,
            ConfigFetch::Busy(seeders) => {
                let is_wanted = self.context.view().wants_config(id);
                let own = self.context.settings.host();
                let mut newer = self.context.newer_config();
                for seeder in seeders.iter().filter(|seeder| is_wanted && **seeder != own) {
                    newer.record(*seeder, true, id);
                }
            }
            ConfigFetch::Failed => self.context.newer_config().remove_seeder(host),
        }
        Some(fetched)
    }

    /// Returns the time until this box reads the store itself. Returns `None` if the configuration
    /// is small, since small configurations are read with the targets.
    fn until_read(&mut self) -> Option<Duration> {
        let (age, bytes) = {
            let cached = self.context.view();
            let config = cached.config_text();
            if !is_large(config) {
                return None;
            }
            (cached.config_as_of()?.elapsed(), config.map_or(0, |config| config.text.len()))
        };
        let budget = self.context.budget;
        let transfer = transfer_time(bytes, self.context.settings.link_mbps);
        let priority = self.context.peers().read_priority();
        let due = budget.config_read_age(priority, self.random.random(), transfer) + READER_DELAY;
        let mut wait = due.saturating_sub(age).max(self.backoff.remaining());
        if let Some((learned_at, _)) = self.context.newer_config().pending() {
            wait = wait.max(budget.peers_only_time().saturating_sub(learned_at.elapsed()));
        }
        Some(wait)
    }

    /// Reads the store until it answers or a notification arrives that a peer has a newer
    /// configuration: fetching the deltas from a peer takes less time than reading everything.
    async fn read(&mut self, notifications: &Receiver<()>) {
        let reader = Arc::clone(&self.reader);
        let reading = task::spawn(async move { reader.refresh().await });
        match select(reading, pin!(notifications.recv())).await {
            Either::Left((false, _)) => {
                self.backoff.record_failure(self.random.random());
                self.gossip.request_remote_heartbeat().await;
            }
            Either::Left((true, _)) | Either::Right(_) => {
                self.backoff.reset();
                // Another read may be in progress, which has not yet reduced the age.
                self.backoff.pause_for(READER_DELAY);
            }
        }
    }

    /// Logs once per configuration that peers have had a newer configuration for longer than the total
    /// time budget of a change.
    fn log_stale(&mut self) {
        if !self.context.is_stale() {
            return;
        }
        let Some((_, id)) = self.context.newer_config().pending() else {
            return;
        };
        if id.is_newer_than(self.logged_stale) {
            let age_ms = self.context.config_age().map_or(0, millis);
            let StoreRevision { era, number } = id.revision;
            log::warn!(config_revision = number, era, age_ms; "configuration-behind");
            metrics::counter!("wingbridge_configurations_behind").increment(1);
            self.logged_stale = id;
        }
    }
}
