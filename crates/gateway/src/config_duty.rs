//! Keeps a large configuration fresh: by peers that have a newer one, else by the store.
//!
//! What is new in a configuration goes from box to box (see `config_source`). A box asks
//! whoever said that it has a newer one; only if that brings nothing in time, or if nobody
//! says anything, it reads the store.

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
use crate::suspension::ClockSample;
use crate::transfer_slots::BUSY_RETRY_DELAY;
use crate::view::ConfigText;

/// Configurations over this are not read with each listing of the targets, in bytes: at
/// 10 Mbit/s this one takes 26 ms.
const LARGE_CONFIG_BYTES: usize = 32 * 1024;
/// A box that reads for its data centre does so with its listing of targets; the duty by
/// itself reads when that is this late.
const READER_LAG: Duration = Duration::from_millis(150);
/// Wait while there is nothing to do: a notice ends it.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Whether a configuration is read apart from the targets.
pub(crate) fn is_large(config: Option<&ConfigText>) -> bool {
    config.is_some_and(|config| config.text.len() > LARGE_CONFIG_BYTES)
}

/// Reads the configuration from the store, one reading at a time.
pub(crate) struct ConfigReader {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    reading: AtomicBool,
}

impl ConfigReader {
    pub(crate) fn new(context: Arc<BoxContext>, gossip: Arc<Gossip>) -> Arc<ConfigReader> {
        Arc::new(ConfigReader { context, gossip, reading: AtomicBool::new(false) })
    }

    /// Asks the store for a newer configuration and takes it. Does nothing while another
    /// reading is under way. Returns whether the store answered.
    pub(crate) async fn refresh(&self) -> bool {
        if self.reading.swap(true, Ordering::Relaxed) {
            return true;
        }
        let began = Instant::now();
        let mark = self.context.clock_sample();
        let outcome = self.read(&mark).await;
        self.reading.store(false, Ordering::Relaxed);
        match outcome {
            Ok(Some(config)) => {
                let (revision, bytes) = (config.revision, config.text.len());
                log::info!(revision, bytes, taken_ms = millis(began.elapsed()); "configuration-read");
                let as_of = self.context.corrected_time(&mark);
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

    /// A configuration that is not held yet; `None` if the store has none.
    async fn read(&self, mark: &ClockSample) -> Result<Option<ConfigText>, StoreError> {
        let port = &self.context.port;
        let (held, after) = {
            let known = self.context.view();
            (known.config_revision(), known.config_poll_revision())
        };
        let Some(after) = after else {
            return port.read_config().await;
        };
        let config = match port.poll_config(after).await? {
            ConfigPoll::Unchanged => {
                let as_of = self.context.corrected_time(mark);
                self.context.view().confirm_config(held, as_of);
                return Ok(None);
            }
            ConfigPoll::Changed(config) => Some(config),
            ConfigPoll::HistoryDiscarded => {
                log::info!(after; "history-forgotten");
                port.read_config().await?
            }
        };
        if config.as_ref().is_some_and(|config| config.revision == held) {
            let as_of = self.context.corrected_time(mark);
            self.context.view().confirm_config(held, as_of);
            return Ok(None);
        }
        Ok(config)
    }
}

/// The duty's state.
pub(crate) struct ConfigDuty {
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    reader: Arc<ConfigReader>,
    random: SmallRng,
    backoff: StoreBackoff,
    /// The newest configuration that this box has said to be behind of.
    told_behind: u64,
}

impl ConfigDuty {
    pub(crate) fn new(
        context: Arc<BoxContext>,
        gossip: Arc<Gossip>,
        reader: Arc<ConfigReader>,
        seed: u64,
    ) -> ConfigDuty {
        let random = SmallRng::seed_from_u64(seed);
        let backoff = StoreBackoff::default();
        ConfigDuty { context, gossip, reader, random, backoff, told_behind: 0 }
    }

    /// Works until the ring of notices closes.
    pub(crate) async fn run(mut self, notices: Receiver<()>) {
        loop {
            self.note_behind();
            let until_reading = self.until_reading();
            if until_reading.is_some_and(|wait| wait.is_zero()) {
                self.read(&notices).await;
                continue;
            }
            match self.fetch_from_seeder().await {
                // A holder that failed is asked no more, until it tells of itself again.
                Some(ConfigFetch::Applied | ConfigFetch::Failed) => continue,
                Some(ConfigFetch::Busy(_)) => {
                    task::sleep(BUSY_RETRY_DELAY.mul_f64(1.0 + self.random.random::<f64>())).await;
                    continue;
                }
                None => {}
            }
            let wait = until_reading.unwrap_or(IDLE_WAIT);
            if let Ok(Err(_)) = timeout(wait, notices.recv()).await {
                return;
            }
        }
    }

    /// Asks a box that has a newer configuration for it; `None` if there is nobody to ask.
    async fn fetch_from_seeder(&mut self) -> Option<ConfigFetch> {
        let far = self
            .context
            .config_age()
            .is_none_or(|age| age >= self.context.budget.remote_fetch_age());
        let (host, revision) = {
            let newer = self.context.newer_config();
            let (_, revision) = newer.pending()?;
            (newer.pick(far)?, revision)
        };
        let fetched = fetch_config(&self.context, host).await;
        match &fetched {
            ConfigFetch::Applied => self.gossip.send_view_version_to_some().await,
            ConfigFetch::Busy(holders) => {
                let held = self.context.view().config_revision();
                let own = self.context.settings.host();
                let mut newer = self.context.newer_config();
                for holder in holders.iter().filter(|holder| **holder != own) {
                    newer.record(*holder, true, revision, held);
                }
            }
            ConfigFetch::Failed => self.context.newer_config().remove_seeder(host),
        }
        Some(fetched)
    }

    /// Time until this box reads the store by itself; `None` if that is not its turn: small
    /// configurations are read with the targets.
    fn until_reading(&mut self) -> Option<Duration> {
        let (age, bytes) = {
            let known = self.context.view();
            let config = known.config_text();
            if !is_large(config) {
                return None;
            }
            (known.config_as_of()?.elapsed(), config.map_or(0, |config| config.text.len()))
        };
        let budget = self.context.budget;
        let transfer = transfer_time(bytes, self.context.settings.link_mbps);
        let rank = self.context.peers().read_priority();
        let due = budget.config_read_age(rank, self.random.random(), transfer) + READER_LAG;
        let mut wait = due.saturating_sub(age).max(self.backoff.remaining());
        if let Some((heard, _)) = self.context.newer_config().pending() {
            wait = wait.max(budget.peers_only_time().saturating_sub(heard.elapsed()));
        }
        Some(wait)
    }

    /// Reads the store, until it has answered or a peer has a newer configuration: what is new
    /// in it is there sooner than all of it.
    async fn read(&mut self, notices: &Receiver<()>) {
        let reader = Arc::clone(&self.reader);
        let reading = task::spawn(async move { reader.refresh().await });
        match select(reading, pin!(notices.recv())).await {
            Either::Left((false, _)) => {
                self.backoff.record_failure(self.random.random());
                self.gossip.request_remote_heartbeat().await;
            }
            Either::Left((true, _)) | Either::Right(_) => {
                self.backoff.reset();
                // Another reading may be under way, which has not made the age any less.
                self.backoff.pause_for(READER_LAG);
            }
        }
    }

    /// Says once that peers have worked by a newer configuration for all the time that a
    /// change has.
    fn note_behind(&mut self) {
        if !self.context.is_stale() {
            return;
        }
        let pending = self.context.newer_config().pending();
        let revision = pending.map_or(0, |(_, revision)| revision);
        if revision > self.told_behind {
            let age_ms = self.context.config_age().map_or(0, millis);
            log::warn!(config_revision = revision, age_ms; "configuration-behind");
            metrics::counter!("wingbridge_configurations_behind").increment(1);
        }
        self.told_behind = self.told_behind.max(revision);
    }
}
