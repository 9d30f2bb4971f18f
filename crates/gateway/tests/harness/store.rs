//! A store whose contents are set by tests.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;

use futures::future::BoxFuture;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_decide::Name;
use wingbridge_gateway::ports::{
    ConfigPoll, EnvironmentPort, HeaderNames, StoreChanges, StoreError, StoreErrorKind, StorePoll,
    TargetListing,
};
use wingbridge_gateway::routes::RouteConfig;
use wingbridge_gateway::store_revision::StoreRevision;
use wingbridge_gateway::view::{ConfigText, StoreView, TargetEntry};
use wingbridge_wire::gossip::CrashNote;

use super::{TargetPaths, lock};

/// Time until the transfer of a configuration over a stalled link fails: longer than any test waits for a
/// condition.
const STALL_TIME: Duration = Duration::from_secs(30);

/// Seed that makes the noise the same in all configurations.
const NOISE_SEED: u64 = 7;

/// A store whose contents are set by tests. Clones share it.
#[derive(Clone, Default)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
}

/// The contents of the store at some time.
#[derive(Clone)]
struct StoreCopy {
    view: StoreView,
    bootstrap_addresses: Vec<IpAddr>,
    crash_notes: BTreeMap<String, Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    view: StoreView,
    /// All configurations that were written, by version.
    configs: BTreeMap<u64, RouteConfig>,
    /// The copy from which the store comes back.
    copy: Option<StoreCopy>,
    unreachable: bool,
    /// Whether calls panic.
    panics: bool,
    /// Number of calls that panicked.
    panicked: usize,
    /// Secret by which boxes recognize each other.
    fleet_secret: String,
    bootstrap_addresses: Vec<IpAddr>,
    /// Crash notes by data centre.
    crash_notes: BTreeMap<String, Vec<u8>>,
    /// Revisions at which the crash notes were written.
    note_revisions: BTreeMap<String, StoreRevision>,
    reads: usize,
    config_reads: usize,
    config_polls: usize,
    /// Total time for which the machines of the boxes were suspended.
    suspended: Duration,
    /// Whether the store has discarded its history.
    history_lost: bool,
    /// Changes of targets with the revisions at which they were written; `None` for removed ones.
    target_changes: Vec<(StoreRevision, Name, Option<TargetEntry>)>,
    /// Number of polls for changes.
    change_polls: usize,
    /// Number of blanks that are added to the next configurations.
    padding: usize,
    /// Number of random bytes that are added to the next configurations, the same ones in all of them.
    noise: usize,
}

impl StoreStandin {
    /// Writes a configuration.
    pub fn put_config(&self, config: RouteConfig) {
        let mut state = lock(&self.state);
        state.view.revision.number += 1;
        let mut text = format!("{}{}\n", config.version, " ".repeat(state.padding)).into_bytes();
        let mut random = SmallRng::seed_from_u64(NOISE_SEED);
        text.extend((0..state.noise).map(|_| random.random::<u8>()));
        state.view.config_revision = state.view.revision;
        state.view.config = Some(ConfigText { revision: state.view.revision, text: text.into() });
        state.configs.insert(config.version, config);
    }

    /// Replaces all targets.
    pub fn put_targets(&self, targets: Vec<TargetEntry>) {
        let mut state = lock(&self.state);
        state.view.revision.number += 1;
        let revision = state.view.revision;
        let before = std::mem::replace(&mut state.view.targets, targets.clone());
        let removed = before.into_iter().map(|target| (revision, target.id, None));
        state.target_changes.extend(removed);
        let now = targets.into_iter().map(|target| (revision, target.id.clone(), Some(target)));
        state.target_changes.extend(now);
    }

    /// Evacuates these data centres, and no others.
    pub fn put_evacuated(&self, data_centres: &[&str]) {
        let mut state = lock(&self.state);
        state.view.revision.number += 1;
        state.view.evacuated = data_centres.iter().map(|name| Name::from(*name)).collect();
    }

    /// Copies the contents, for a later [`come_back`](Self::come_back).
    pub fn copy(&self) {
        let mut state = lock(&self.state);
        let StoreState { view, bootstrap_addresses, crash_notes, .. } = &*state;
        let (view, bootstrap_addresses) = (view.clone(), bootstrap_addresses.clone());
        let crash_notes = crash_notes.clone();
        state.copy = Some(StoreCopy { view, bootstrap_addresses, crash_notes });
    }

    /// Comes back from the copy, in a new era: what was written since then is lost.
    pub fn come_back(&self) {
        let mut state = lock(&self.state);
        let era = state.view.revision.era + 1;
        let copy = state.copy.clone().expect("the contents were copied");
        let StoreCopy { mut view, bootstrap_addresses, crash_notes } = copy;
        view.revision.era = era;
        if let Some(config) = &mut view.config {
            config.revision.era = era;
            view.config_revision.era = era;
        }
        state.view = view;
        state.bootstrap_addresses = bootstrap_addresses;
        state.crash_notes = crash_notes;
        state.target_changes.clear();
    }

    /// Makes the numbers of revisions rise by `changes`, as changes of other keys do.
    pub fn skip_revisions(&self, changes: u64) {
        lock(&self.state).view.revision.number += changes;
    }

    /// Answers with revisions that are lower by `changes`, in the same era, as a replica that lags behind.
    pub fn rewind(&self, changes: u64) {
        lock(&self.state).view.revision.number -= changes;
    }

    /// Returns the current revision.
    pub fn revision(&self) -> StoreRevision {
        lock(&self.state).view.revision
    }

    /// Returns the number of suspects in the notes of all data centres.
    pub fn noted_suspects(&self) -> usize {
        let state = lock(&self.state);
        let notes = state.crash_notes.values();
        notes.map(|note| CrashNote::decode(&**note).expect("a note").suspects.len()).sum()
    }

    /// Returns the number of crash notes in the store.
    pub fn crash_notes(&self) -> usize {
        lock(&self.state).crash_notes.len()
    }

    /// Returns the crash notes in the store.
    pub fn notes(&self) -> Vec<Vec<u8>> {
        lock(&self.state).crash_notes.values().cloned().collect()
    }

    /// Returns the number of bootstrap addresses in the store.
    pub fn bootstrap_addresses(&self) -> usize {
        lock(&self.state).bootstrap_addresses.len()
    }

    /// Sets whether calls fail from now on.
    pub fn set_unreachable(&self, unreachable: bool) {
        lock(&self.state).unreachable = unreachable;
    }

    /// Sets whether calls panic from now on.
    pub fn set_panicking(&self, panics: bool) {
        lock(&self.state).panics = panics;
    }

    /// Returns the number of calls that panicked.
    pub fn panicked(&self) -> usize {
        lock(&self.state).panicked
    }

    /// Adds this number of blanks to each configuration that is written from now on.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.state).padding = bytes;
    }

    /// Adds this number of bytes to each configuration that is written from now on. They can't be
    /// compressed and are the same in all configurations.
    pub fn set_noise(&self, bytes: usize) {
        lock(&self.state).noise = bytes;
    }

    /// Sets the total time for which the machines of the boxes were suspended.
    pub fn set_suspended(&self, time: Duration) {
        lock(&self.state).suspended = time;
    }

    /// Sets whether the store has discarded its history.
    pub fn set_history_lost(&self, history_lost: bool) {
        lock(&self.state).history_lost = history_lost;
    }

    /// Returns the number of polls for a newer configuration so far.
    pub fn config_polls(&self) -> usize {
        lock(&self.state).config_polls
    }

    /// Returns the number of polls for changes so far.
    pub fn change_polls(&self) -> usize {
        lock(&self.state).change_polls
    }

    /// Returns the number of reads of the complete configuration so far.
    pub fn config_reads(&self) -> usize {
        lock(&self.state).config_reads
    }

    /// Returns the number of reads of everything or of all targets so far, including failed ones.
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// Returns a port to this store. If `reachable` is false, all its calls fail.
    pub fn port(&self, reachable: bool) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort::new(self, reachable))
    }

    /// Returns a port of a box whose paths to the targets follow `paths`.
    pub fn port_with_paths(&self, paths: &TargetPaths) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort { paths: paths.clone(), ..StandinPort::new(self, true) })
    }

    /// Returns a port over a link on which configurations that are read separately never arrive.
    pub fn stalling_port(&self) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort { stalls: true, ..StandinPort::new(self, true) })
    }
}

impl StoreState {
    /// Returns whether the store can't report the changes after the revision `after`.
    fn has_no_history(&self, after: StoreRevision) -> bool {
        let StoreRevision { era, number } = self.view.revision;
        self.history_lost || after.era != era || after.number > number
    }
}

struct StandinPort {
    store: StoreStandin,
    reachable: bool,
    stalls: bool,
    paths: TargetPaths,
}

impl StandinPort {
    fn new(store: &StoreStandin, reachable: bool) -> StandinPort {
        StandinPort {
            store: store.clone(),
            reachable,
            stalls: false,
            paths: TargetPaths::default(),
        }
    }

    fn access<T>(&self, work: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        let mut state = lock(&self.store.state);
        state.panicked += usize::from(state.panics);
        assert!(!state.panics, "planted by a test");
        if state.unreachable || !self.reachable {
            return Err(StoreError::new(
                StoreErrorKind::Unreachable,
                "the store stand-in is unreachable",
            ));
        }
        Ok(work(&mut state))
    }

    /// Returns `config`, or an error after a long time if the link stalls.
    async fn transfer<T>(&self, config: Result<T, StoreError>) -> Result<T, StoreError> {
        if !self.stalls {
            return config;
        }
        task::sleep(STALL_TIME).await;
        Err(StoreError::new(
            StoreErrorKind::Unreachable,
            "the link to the store stand-in has stalled",
        ))
    }
}

impl EnvironmentPort for StandinPort {
    fn read_all(&self) -> BoxFuture<'_, Result<StoreView, StoreError>> {
        lock(&self.store.state).reads += 1;
        let view = self.access(|state| state.view.clone());
        Box::pin(async { view })
    }

    fn read_targets(&self) -> BoxFuture<'_, Result<TargetListing, StoreError>> {
        lock(&self.store.state).reads += 1;
        let listing = self.access(|state| TargetListing {
            revision: state.view.revision,
            targets: state.view.targets.clone(),
            evacuated: state.view.evacuated.clone(),
        });
        Box::pin(async { listing })
    }

    fn poll_changes(&self, after: StoreRevision) -> BoxFuture<'_, Result<StorePoll, StoreError>> {
        lock(&self.store.state).change_polls += 1;
        let poll = self.access(|state| {
            if state.has_no_history(after) {
                return StorePoll::HistoryDiscarded;
            }
            let mut last = BTreeMap::new();
            for (revision, id, entry) in &state.target_changes {
                if *revision > after {
                    last.insert(id.clone(), entry.clone());
                }
            }
            let removed = last.iter().filter(|(_, entry)| entry.is_none());
            let removed = removed.map(|(id, _)| id.clone()).collect();
            let written = last.into_values().flatten().collect();
            let config = state.view.config.clone().filter(|text| text.revision > after);
            let evacuated = state.view.evacuated.clone();
            let is_new = |(centre, _): &(&String, &Vec<u8>)| {
                state.note_revisions.get(*centre).is_some_and(|written| *written > after)
            };
            let notes = state.crash_notes.iter().filter(is_new);
            let crash_notes = notes.map(|(_, note)| note.clone()).collect();
            let revision = state.view.revision;
            let changes = StoreChanges {
                revision,
                written,
                removed,
                evacuated,
                config,
                crash_notes,
                ..Default::default()
            };
            StorePoll::Changed(Box::new(changes))
        });
        Box::pin(async { poll })
    }

    fn read_config(&self) -> BoxFuture<'_, Result<Option<ConfigText>, StoreError>> {
        let config = self.access(|state| {
            state.config_reads += 1;
            state.view.config.clone()
        });
        Box::pin(self.transfer(config))
    }

    fn poll_config(&self, after: StoreRevision) -> BoxFuture<'_, Result<ConfigPoll, StoreError>> {
        let poll = self.access(|state| {
            state.config_polls += 1;
            match &state.view.config {
                _ if state.has_no_history(after) => ConfigPoll::HistoryDiscarded,
                Some(config) if config.revision > after => ConfigPoll::Changed(config.clone()),
                _ => ConfigPoll::Unchanged,
            }
        });
        Box::pin(async {
            match poll {
                Ok(ConfigPoll::Changed(_)) => self.transfer(poll).await,
                _ => poll,
            }
        })
    }

    fn read_bootstrap_addresses(&self) -> BoxFuture<'_, Result<Vec<IpAddr>, StoreError>> {
        let bootstrap_addresses = self.access(|state| state.bootstrap_addresses.clone());
        Box::pin(async { bootstrap_addresses })
    }

    fn write_bootstrap_addresses<'a>(
        &'a self,
        _: &'a str,
        hosts: &'a [IpAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let written = self.access(|state| state.bootstrap_addresses = hosts.to_vec());
        Box::pin(async { written })
    }

    fn write_crash_note<'a>(
        &'a self,
        data_centre: &'a str,
        note: &'a [u8],
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let written = self.access(|state| {
            state.crash_notes.insert(data_centre.to_string(), note.to_vec());
            state.view.revision.number += 1;
            state.note_revisions.insert(data_centre.to_string(), state.view.revision);
            state.view.crash_notes = state.crash_notes.values().cloned().collect();
        });
        Box::pin(async { written })
    }

    fn fleet_secret(&self) -> BoxFuture<'_, Result<String, StoreError>> {
        let secret = self.access(|state| state.fleet_secret.clone());
        Box::pin(async { secret })
    }

    fn connect_target<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        self.paths.connect(address)
    }

    fn suspended(&self) -> Duration {
        lock(&self.store.state).suspended
    }

    fn decode_config(&self, text: &[u8]) -> Result<RouteConfig, String> {
        let line = text.split(|byte| *byte == b'\n').next().unwrap_or_default();
        let version = str::from_utf8(line.trim_ascii_end()).ok().and_then(|line| line.parse().ok());
        let state = lock(&self.store.state);
        let config = version.and_then(|version: u64| state.configs.get(&version));
        config.cloned().ok_or_else(|| "not a configuration that was written".into())
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
