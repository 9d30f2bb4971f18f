//! The store, as tests write it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;

use futures::future::BoxFuture;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::Name;
use wingbridge_gateway::ports::{
    ConfigPoll, EnvironmentPort, HeaderNames, StoreChanges, StoreError, StoreErrorKind, StorePoll,
    TargetListing,
};
use wingbridge_gateway::routes::RouteConfig;
use wingbridge_gateway::view::{ConfigText, StoreView, TargetEntry};

use super::lock;

/// How long a configuration that is on its way over a stalled link takes to fail: longer than
/// any test looks for something to happen.
const STALL: Duration = Duration::from_secs(30);

/// Makes the noise in configurations the same each time.
const NOISE_SEED: u64 = 7;

/// The store, as tests write it. Clones share it.
#[derive(Clone, Default)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
}

#[derive(Default)]
struct StoreState {
    view: StoreView,
    config: RouteConfig,
    away: bool,
    contacts: Vec<IpAddr>,
    /// By data centre.
    crash_notes: BTreeMap<String, Vec<u8>>,
    reads: usize,
    config_reads: usize,
    config_change_requests: usize,
    /// Time for which the machines of its boxes were suspended.
    suspended: Duration,
    /// Whether it has no history.
    forgetful: bool,
    /// What became of targets, with the revisions at which that was written.
    written: Vec<(u64, Name, Option<TargetEntry>)>,
    /// Questions for all that is new.
    change_requests: usize,
    /// Bytes that make the next configuration longer.
    padding: usize,
    /// The same of bytes that are all different and stay the same.
    noise: usize,
}

impl StoreStandin {
    /// Writes a configuration.
    pub fn put_config(&self, config: RouteConfig) {
        let mut state = lock(&self.state);
        state.view.revision += 1;
        let mut text = format!("{}{}\n", config.version, " ".repeat(state.padding)).into_bytes();
        let mut random = SmallRng::seed_from_u64(NOISE_SEED);
        text.extend((0..state.noise).map(|_| random.random::<u8>()));
        state.view.config_revision = state.view.revision;
        state.view.config = Some(ConfigText { revision: state.view.revision, text: text.into() });
        state.config = config;
    }

    /// Writes all targets.
    pub fn put_targets(&self, targets: Vec<TargetEntry>) {
        let mut state = lock(&self.state);
        state.view.revision += 1;
        let revision = state.view.revision;
        let before = std::mem::replace(&mut state.view.targets, targets.clone());
        let removed = before.into_iter().map(|target| (revision, target.id, None));
        state.written.extend(removed);
        let now = targets.into_iter().map(|target| (revision, target.id.clone(), Some(target)));
        state.written.extend(now);
    }

    /// Has nothing more sent to the targets of those data centres, and of no others.
    pub fn put_evacuated(&self, data_centres: &[&str]) {
        let mut state = lock(&self.state);
        state.view.revision += 1;
        state.view.evacuated = data_centres.iter().map(|name| Name::from(*name)).collect();
    }

    /// Whether calls fail from now on.
    pub fn set_unreachable(&self, away: bool) {
        lock(&self.state).away = away;
    }

    /// Makes the configurations from now on longer by so many bytes.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.state).padding = bytes;
    }

    /// Makes the configurations from now on longer by so many bytes that can't be compressed
    /// and are the same in all of them.
    pub fn set_noise(&self, bytes: usize) {
        lock(&self.state).noise = bytes;
    }

    /// Lets the machines of its boxes have been suspended for `time` in all.
    pub fn set_suspended(&self, time: Duration) {
        lock(&self.state).suspended = time;
    }

    /// Whether it forgets its history from now on.
    pub fn set_history_lost(&self, forgetful: bool) {
        lock(&self.state).forgetful = forgetful;
    }

    /// Questions for news of the configuration so far.
    pub fn config_change_requests(&self) -> usize {
        lock(&self.state).config_change_requests
    }

    /// Questions for all that is new so far.
    pub fn change_requests(&self) -> usize {
        lock(&self.state).change_requests
    }

    /// Readings of the whole configuration so far.
    pub fn config_reads(&self) -> usize {
        lock(&self.state).config_reads
    }

    /// Readings so far, failed ones too.
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// A port to this store. `reachable` says whether it can be reached by this box.
    pub fn port(&self, reachable: bool) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort { store: self.clone(), reachable, stalls: false })
    }

    /// A port over a link on which a configuration that is read apart never arrives.
    pub fn stalling_port(&self) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort { store: self.clone(), reachable: true, stalls: true })
    }
}

struct StandinPort {
    store: StoreStandin,
    reachable: bool,
    stalls: bool,
}

impl StandinPort {
    fn request<T>(&self, work: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        let mut state = lock(&self.store.state);
        if state.away || !self.reachable {
            return Err(StoreError::new(StoreErrorKind::Unreachable, "the stand-in is away"));
        }
        Ok(work(&mut state))
    }

    /// Waits for what a stalled link never carries.
    async fn pass<T>(&self, config: Result<T, StoreError>) -> Result<T, StoreError> {
        if !self.stalls {
            return config;
        }
        task::sleep(STALL).await;
        Err(StoreError::new(StoreErrorKind::Unreachable, "the link of the stand-in has stalled"))
    }
}

impl EnvironmentPort for StandinPort {
    fn read_all(&self) -> BoxFuture<'_, Result<StoreView, StoreError>> {
        lock(&self.store.state).reads += 1;
        let view = self.request(|state| state.view.clone());
        Box::pin(async { view })
    }

    fn read_targets(&self) -> BoxFuture<'_, Result<TargetListing, StoreError>> {
        lock(&self.store.state).reads += 1;
        let listing = self.request(|state| TargetListing {
            revision: state.view.revision,
            targets: state.view.targets.clone(),
            evacuated: state.view.evacuated.clone(),
        });
        Box::pin(async { listing })
    }

    fn poll_changes(&self, after: u64) -> BoxFuture<'_, Result<StorePoll, StoreError>> {
        lock(&self.store.state).change_requests += 1;
        let news = self.request(|state| {
            if state.forgetful {
                return StorePoll::HistoryDiscarded;
            }
            let mut last = BTreeMap::new();
            for (revision, id, entry) in &state.written {
                if *revision > after {
                    last.insert(id.clone(), entry.clone());
                }
            }
            let removed = last.iter().filter(|(_, entry)| entry.is_none());
            let removed = removed.map(|(id, _)| id.clone()).collect();
            let written = last.into_values().flatten().collect();
            let config = state.view.config.clone().filter(|text| text.revision > after);
            let evacuated = state.view.evacuated.clone();
            let revision = state.view.revision;
            let changes = StoreChanges {
                revision,
                written,
                removed,
                evacuated,
                config,
                ..Default::default()
            };
            StorePoll::Changed(Box::new(changes))
        });
        Box::pin(async { news })
    }

    fn read_config(&self) -> BoxFuture<'_, Result<Option<ConfigText>, StoreError>> {
        let config = self.request(|state| {
            state.config_reads += 1;
            state.view.config.clone()
        });
        Box::pin(self.pass(config))
    }

    fn poll_config(&self, after: u64) -> BoxFuture<'_, Result<ConfigPoll, StoreError>> {
        let news = self.request(|state| {
            state.config_change_requests += 1;
            match &state.view.config {
                _ if state.forgetful => ConfigPoll::HistoryDiscarded,
                Some(config) if config.revision > after => ConfigPoll::Changed(config.clone()),
                _ => ConfigPoll::Unchanged,
            }
        });
        Box::pin(async {
            match news {
                Ok(ConfigPoll::Changed(_)) => self.pass(news).await,
                _ => news,
            }
        })
    }

    fn read_bootstrap_addresses(&self) -> BoxFuture<'_, Result<Vec<IpAddr>, StoreError>> {
        let contacts = self.request(|state| state.contacts.clone());
        Box::pin(async { contacts })
    }

    fn write_bootstrap_addresses<'a>(
        &'a self,
        _: &'a str,
        hosts: &'a [IpAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let written = self.request(|state| state.contacts = hosts.to_vec());
        Box::pin(async { written })
    }

    fn write_crash_note<'a>(
        &'a self,
        data_centre: &'a str,
        note: &'a [u8],
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let written = self.request(|state| {
            state.crash_notes.insert(data_centre.to_string(), note.to_vec());
            state.view.revision += 1;
            state.view.crash_notes = state.crash_notes.values().cloned().collect();
        });
        Box::pin(async { written })
    }

    fn suspended(&self) -> Duration {
        lock(&self.store.state).suspended
    }

    fn decode_config(&self, text: &[u8]) -> Result<RouteConfig, String> {
        let config = lock(&self.store.state).config.clone();
        let held = config.version.to_string();
        let line = text.split(|byte| *byte == b'\n').next().unwrap_or_default();
        if held.as_bytes() == line.trim_ascii_end() {
            Ok(config)
        } else {
            Err("an older configuration".into())
        }
    }

    fn headers(&self) -> Arc<HeaderNames> {
        Arc::new(HeaderNames {
            request_id: "X-Id".into(),
            remaining_time: "X-Left".into(),
            expected_instance: "X-Wanted".into(),
            proof: "X-Proof".into(),
            not_run: "X-Not-Run".into(),
            load: "X-Load".into(),
            customer_key: "X-Key".into(),
            customer: "X-Customer".into(),
            draining: "X-Leaving".into(),
            limit: "X-Limit".into(),
            retry_after: "Retry-After".into(),
        })
    }
}
