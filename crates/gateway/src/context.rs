//! State that all tasks of a box share, and how new data from the store or from peers is applied to it.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::split::WeightedSplit;
use wingbridge_decide::steer::{SteerCore, SteerSetup, SuspicionChange};
use wingbridge_decide::{Fingerprint, Name, TargetKey, TimePoint};
use wingbridge_wire::gossip::ConfigDelta;

use crate::change_budget::ChangeBudget;
use crate::config_source::ConfigSource;
use crate::crash_tracker::CrashTracker;
use crate::invalid_entries::InvalidEntry;
use crate::latch::ReadyLatch;
use crate::listing_source::ListingSource;
use crate::long_answers::LongAnswers;
use crate::newer_config::NewerConfig;
use crate::passive_samples::SampleBuffer;
use crate::paths::PathTracker;
use crate::peers::PeerTable;
use crate::permit_manager::PermitManager;
use crate::policies::PolicySet;
use crate::ports::{EnvironmentPort, HeaderNames, StoreChanges, TargetListing};
use crate::quota_manager::QuotaManager;
use crate::relay::FleetKeyCache;
use crate::returns::ReturnPlanner;
use crate::routes::RouteConfig;
use crate::settings::GatewaySettings;
use crate::steering::credits::CreditExchange;
use crate::stopping::StopState;
use crate::store_revision::StoreRevision;
use crate::suspension::{ClockSample, SuspensionWatch};
use crate::view::{
    CachedView, ConfigText, PeerListingDelta, StoreView, TargetEntry, TargetUpdate, ViewChange,
};
use crate::waiting::WaitingQueues;

/// Maximum number of simultaneously joining targets that are logged by name. If there are more, as after a
/// start, only their count is logged.
const MAX_JOINED_LOGGED: usize = 20;

/// Number of homes without a region that are logged by name for each configuration.
const MAX_HOMES_LOGGED: usize = 16;
/// Minimum time between two lines about updates that are older than the view.
const OUTDATED_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Handles by which other tasks reach the background tasks.
pub(crate) struct TaskHandles {
    pub(crate) quotas: QuotaManager,
    pub(crate) permits: PermitManager,
    pub(crate) paths: PathTracker,
    pub(crate) passive_samples: SampleBuffer,
    pub(crate) credits: CreditExchange,
    pub(crate) view_changed: async_channel::Sender<()>,
    pub(crate) config_changed: async_channel::Sender<()>,
}

/// State that the tasks for callers, targets, peers and the store share within a box.
pub(crate) struct BoxContext {
    pub(crate) settings: GatewaySettings,
    pub(crate) port: Arc<dyn EnvironmentPort>,
    pub(crate) headers: Arc<HeaderNames>,
    pub(crate) policies: PolicySet,
    pub(crate) stopping: StopState,
    pub(crate) peers: Mutex<PeerTable>,
    /// Admits requests according to the quotas of their customers.
    pub(crate) quotas: QuotaManager,
    /// Grants permits to send to targets that have a rate limit.
    pub(crate) permits: PermitManager,
    pub(crate) passive_samples: SampleBuffer,
    /// Tracks whether this box reaches targets.
    pub(crate) paths: PathTracker,
    /// Key by which boxes recognize each other.
    pub(crate) fleet_key: FleetKeyCache,
    /// Requests that wait for capacity of their services, with overload control.
    pub(crate) waiting: Arc<WaitingQueues>,
    /// Tracks which requests terminate targets.
    pub(crate) crashes: CrashTracker,
    /// Decides when refused callers may return.
    pub(crate) returns: ReturnPlanner,
    /// Has peers asked for retry credit.
    pub(crate) credits: CreditExchange,
    pub(crate) view_changed: async_channel::Sender<()>,
    /// Signals that a peer has a configuration that this box lacks, or that another configuration has come into
    /// force here.
    pub(crate) config_changed: async_channel::Sender<()>,
    /// Time limits for the steps by which a change reaches this box.
    pub(crate) budget: ChangeBudget,
    /// Serves the configuration to peers.
    pub(crate) config_source: ConfigSource,
    /// Serves the listing of targets to peers.
    pub(crate) listing_source: ListingSource,
    /// Routes whose answers may be long.
    pub(crate) long_answers: LongAnswers,
    newer_config: Mutex<NewerConfig>,
    /// Bytes of request bodies that are in memory now.
    pub(crate) held_body_bytes: AtomicUsize,
    /// Time of the last line about an update that is older than the view.
    outdated_logged: Mutex<Option<Instant>>,
    started: Instant,
    suspension: SuspensionWatch,
    view: Mutex<CachedView>,
    core: Mutex<SteerCore>,
    split: Mutex<WeightedSplit>,
    /// Opens once both a configuration and the targets are known: a box that had just started and had only the
    /// configuration refused every caller.
    pub(crate) first_view: ReadyLatch,
}

impl BoxContext {
    pub(crate) fn new(
        settings: GatewaySettings,
        port: Arc<dyn EnvironmentPort>,
        policies: PolicySet,
        stopping: StopState,
        handles: TaskHandles,
        seed: u64,
    ) -> Arc<BoxContext> {
        let mut core = SteerCore::new(SteerSetup {
            data_centre: settings.data_centre.as_str().into(),
            cross_cost: settings.cross_cost,
            retries: RetryBounds {
                share: settings.retry_share,
                slack: settings.retry_slack,
                window: settings.retry_window,
            },
            seed,
            mechanisms: settings.mechanisms.clone(),
        });
        if settings.overload.places() {
            core.enable_placement(settings.placement.limits());
        }
        let peers = PeerTable::new(&settings, seed);
        let returns = ReturnPlanner::new(settings.overload, seed);
        let suspension = SuspensionWatch::new(port.suspended());
        Arc::new(BoxContext {
            headers: port.headers(),
            budget: ChangeBudget::new(settings.change_time),
            config_source: ConfigSource::new(settings.link_mbps),
            listing_source: ListingSource::new(settings.link_mbps),
            long_answers: LongAnswers::default(),
            waiting: WaitingQueues::new(settings.overload.sheds_load()),
            newer_config: Mutex::default(),
            settings,
            port,
            policies,
            stopping,
            peers: Mutex::new(peers),
            quotas: handles.quotas,
            permits: handles.permits,
            passive_samples: handles.passive_samples,
            paths: handles.paths,
            fleet_key: FleetKeyCache::default(),
            crashes: CrashTracker::new(),
            returns,
            credits: handles.credits,
            view_changed: handles.view_changed,
            config_changed: handles.config_changed,
            held_body_bytes: AtomicUsize::new(0),
            outdated_logged: Mutex::default(),
            started: Instant::now(),
            suspension,
            view: Mutex::default(),
            core: Mutex::new(core),
            split: Mutex::new(WeightedSplit::new(seed as f64 / u64::MAX as f64)),
            first_view: ReadyLatch::default(),
        })
    }

    /// Returns the current time on the clock of the steering core.
    pub(crate) fn now(&self) -> TimePoint {
        TimePoint::default() + self.started.elapsed()
    }

    /// Locks the steering core. The lock is held for single operations and never across an await:
    /// at the few requests a second of a box, a separate thread for the core would cost more
    /// wake-ups than it saves.
    pub(crate) fn core(&self) -> MutexGuard<'_, SteerCore> {
        lock(&self.core)
    }

    /// Locks the cached view of the store. Its ages include the time for which this machine was suspended.
    pub(crate) fn view(&self) -> MutexGuard<'_, CachedView> {
        let mut view = lock(&self.view);
        if let Some(time) = self.suspension.newly_suspended(self.port.suspended()) {
            view.advance_clocks(time);
            self.core().advance_clocks(time);
            log::warn!(suspended_ms = millis(time); "was-suspended");
        }
        view
    }

    /// Samples the clock, so that later times can be corrected for suspensions of this machine since now.
    pub(crate) fn clock_sample(&self) -> ClockSample {
        ClockSample::now(self.port.suspended())
    }

    /// Returns `time`, corrected for the suspensions since `sample`, which the clock did not count.
    pub(crate) fn correct(&self, sample: &ClockSample, time: Instant) -> Instant {
        sample.correct(time, self.port.suspended())
    }

    /// Returns the time of `sample`, corrected for the suspensions since then, which the clock did not count.
    pub(crate) fn corrected_time(&self, sample: &ClockSample) -> Instant {
        sample.corrected_time(self.port.suspended())
    }

    /// Returns how long ago a planned stop began; `None` if none has begun.
    pub(crate) fn stop_elapsed(&self) -> Option<Duration> {
        self.stopping.elapsed(|| self.port.suspended())
    }

    /// Returns whether a planned stop refuses a request that may take until `until`.
    pub(crate) fn stop_refuses(&self, until: Instant) -> bool {
        self.stopping.refuses(until, || self.port.suspended())
    }

    /// Returns whether this machine resumed from a suspension moments ago; the age of data that peers sent in
    /// the meantime is then unknown.
    pub(crate) fn recently_resumed(&self) -> bool {
        drop(self.view());
        self.suspension.recently_resumed()
    }

    /// Locks the table of peers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<RouteConfig>> {
        self.view().config().cloned()
    }

    /// Returns the age of the listing of targets, or `None` if there is none yet.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        self.view().as_of().map(|as_of| as_of.elapsed())
    }

    /// Returns the time since this box last verified that its configuration is the newest one.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.view().config_as_of().map(|as_of| as_of.elapsed())
    }

    /// Locks the record of a newer configuration that peers have and this box lacks.
    pub(crate) fn newer_config(&self) -> MutexGuard<'_, NewerConfig> {
        lock(&self.newer_config)
    }

    /// Returns the index of the next part of a weighted split.
    pub(crate) fn next_part(&self, weights: &[u32]) -> Option<usize> {
        lock(&self.split).next(weights)
    }

    /// Returns whether the balancer should send callers to this box.
    pub(crate) fn is_ready(&self) -> bool {
        self.first_view.is_open() && !self.stopping.is_stopping() && !self.is_stale()
    }

    /// Returns whether peers have had a newer configuration for the total time budget of a change and this box
    /// could not get it. Callers are then better served by those peers.
    pub(crate) fn is_stale(&self) -> bool {
        let pending = self.newer_config().pending();
        pending.is_some_and(|(learned_at, _)| learned_at.elapsed() >= self.budget.total())
    }

    /// Applies a complete reading of the store.
    pub(crate) fn apply_view(&self, mut view: StoreView, as_of: Instant, source: &str) {
        let revision = view.revision;
        if let Some(secret) = view.fleet_secret.take() {
            self.fleet_key.set(&secret);
        }
        // The notes are applied before the box accepts callers, because the first request may be a poison
        // request.
        let suspects = self.crashes.apply_notes(std::mem::take(&mut view.crash_notes));
        let change = self.change_view(|cached| cached.apply(view, as_of, &*self.port));
        if !self.first_view.is_open() && !suspects.is_empty() {
            let restored = self.core().restore_suspects(self.now(), &suspects);
            log::info!(noted = suspects.len(), restored; "suspects-restored");
        }
        let learned_at = self.publish_config(Vec::new());
        self.on_change_applied(&change, &ChangeOrigin { revision, as_of, source, learned_at });
    }

    /// Applies a complete listing of targets.
    pub(crate) fn apply_listing(&self, listing: TargetListing, as_of: Instant, source: &str) {
        let revision = listing.revision;
        let change = self.change_view(|cached| cached.apply_listing(listing, as_of));
        self.on_change_applied(
            &change,
            &ChangeOrigin { revision, as_of, source, learned_at: None },
        );
    }

    /// Merges the delta of a listing that a peer sent. Returns whether the delta fits the listing that is held.
    pub(crate) fn merge_delta(&self, delta: PeerListingDelta, as_of: Instant) -> bool {
        let revision = delta.revision;
        let Some(change) = self.change_view(|cached| cached.merge_delta(delta, as_of)) else {
            return false;
        };
        let source = "peer";
        self.on_change_applied(
            &change,
            &ChangeOrigin { revision, as_of, source, learned_at: None },
        );
        true
    }

    /// Applies the changes written to the store after the revision `after`, which this box knew.
    pub(crate) fn apply_changes(
        &self,
        mut changes: StoreChanges,
        after: StoreRevision,
        as_of: Instant,
    ) {
        let revision = changes.revision;
        self.crashes.add_notes(std::mem::take(&mut changes.crash_notes));
        let change =
            self.change_view(|cached| cached.apply_changes(changes, after, as_of, &*self.port));
        let learned_at = self.publish_config(Vec::new());
        self.on_change_applied(
            &change,
            &ChangeOrigin { revision, as_of, source: "store", learned_at },
        );
    }

    /// Applies a configuration that was the newest one at `as_of`. `deltas` are the deltas in which a peer sent
    /// it.
    pub(crate) fn apply_config(
        &self,
        config: ConfigText,
        deltas: Vec<ConfigDelta>,
        as_of: Instant,
        source: &str,
    ) {
        let revision = config.revision;
        let change = self.change_view(|cached| {
            let change = cached.apply_config(config, &*self.port);
            cached.confirm_config(revision, revision, as_of);
            change
        });
        let learned_at = self.publish_config(deltas);
        self.on_change_applied(&change, &ChangeOrigin { revision, as_of, source, learned_at });
    }

    /// Offers the configuration that is held now to peers. Returns when this box first learned
    /// that there is a newer one than it had before.
    fn publish_config(&self, deltas: Vec<ConfigDelta>) -> Option<Instant> {
        let view = self.view();
        let learned_at = {
            let mut newer = self.newer_config();
            let learned_at = newer.pending().map(|(learned_at, _)| learned_at);
            newer.clear_unless(|id| view.wants_config(id));
            learned_at
        };
        let (version, text) = (view.config_id().version, view.config_text().cloned()?);
        drop(view);
        self.config_source.put(version, text, deltas);
        learned_at
    }

    fn on_change_applied(&self, change: &ViewChange, from: &ChangeOrigin<'_>) {
        let has_all = self.config().is_some() && self.view_age().is_some();
        if has_all && self.first_view.open() {
            let age_ms = millis(from.as_of.elapsed());
            let StoreRevision { era, number } = from.revision;
            log::info!(source = from.source, revision = number, era, age_ms; "ready");
        }
        if change.returned {
            log_return(from.revision, from.source);
        }
        if change.is_outdated {
            self.log_outdated(from);
        }
        log_change(change, from);
        for name in &change.evacuated {
            if !self.settings.regions.is_empty() && !self.settings.regions.contains_key(&**name) {
                log::warn!(data_centre:% = name; "evacuated-data-centre-unknown");
            }
        }
        for target in &change.ended {
            self.crashes.record_target_ended(*target);
        }
        if let Some(config) = self.config().filter(|_| change.config.is_some()) {
            log_customer_problems(&config);
            log_invalid_entries(&config);
            self.log_unknown_homes(&config);
            // The configuration task waits according to the configuration held before. Without this signal, a
            // box whose configuration had arrived with the targets did not read it by itself for a minute. A
            // full channel already has a signal pending.
            let _ = self.config_changed.try_send(());
        }
        // A full channel already has a signal pending.
        let _ = self.view_changed.try_send(());
    }

    /// Counts an update that was not applied because the view is newer, and logs it unless another one was
    /// logged moments ago.
    fn log_outdated(&self, from: &ChangeOrigin<'_>) {
        metrics::counter!("wingbridge_outdated_updates").increment(1);
        let mut logged = lock(&self.outdated_logged);
        if logged.is_some_and(|logged| logged.elapsed() < OUTDATED_LOG_PERIOD) {
            return;
        }
        *logged = Some(Instant::now());
        let (held, age_ms) = {
            let view = self.view();
            (view.revision(), view.as_of().map_or(0, |as_of| millis(as_of.elapsed())))
        };
        let StoreRevision { era, number } = from.revision;
        log::warn!(
            revision = number, era, held:%, held_era = held.era, view_age_ms = age_ms,
            source = from.source;
            "update-outdated"
        );
    }

    /// Logs the homes of a configuration that are not a region of this deployment: no request with such a
    /// home is served there.
    fn log_unknown_homes(&self, config: &RouteConfig) {
        let regions = &self.settings.regions;
        let is_unknown = |home: &&Name| !regions.values().any(|region| region == *home);
        let unknown: BTreeSet<&Name> = config.home_regions().filter(is_unknown).collect();
        for home in unknown.into_iter().take(MAX_HOMES_LOGGED) {
            log::warn!(version = config.version, home:% = home; "home-unknown");
        }
    }

    /// Changes the cached view of the store, and passes the resulting changes of the eligible targets to the
    /// core. The view stays locked meanwhile, so that an older change can't overtake a newer one.
    pub(crate) fn change_view<T>(&self, change: impl FnOnce(&mut CachedView) -> T) -> T {
        let mut cached = self.view();
        let changed = change(&mut cached);
        self.publish_targets(&mut cached);
        changed
    }

    fn publish_targets(&self, cached: &mut CachedView) {
        let TargetUpdate { removed, updated } = cached.take_update();
        if removed.is_empty() && updated.is_empty() {
            return;
        }
        let (now, config) = (self.now(), cached.config());
        let cold_rate = |target: &TargetEntry| {
            let rates = config.map(|config| &config.cold_rates);
            rates.filter(|_| target.is_cold)?.get(&target.service).copied()
        };
        let steered = |target: TargetEntry| SteerTarget {
            cold_until: now + cached.cold_time(&target.id, Instant::now()),
            region: self.settings.region_of(&target.data_centre),
            evacuated: cached.evacuated_in_force().contains(&target.data_centre),
            cold_rate: cold_rate(&target),
            id: target.id,
            started_ms: target.started_ms,
            address: target.address,
            service: target.service,
            data_centre: target.data_centre,
            slots: target.slots,
        };
        let updated: Vec<SteerTarget> = updated.into_iter().map(steered).collect();
        let is_awaited = self.waiting.has_waiting();
        let keys = updated.iter().filter(|_| is_awaited).map(SteerTarget::key);
        let keys: Vec<TargetKey> = keys.collect();
        let mut core = self.core();
        core.update_targets(now, &removed, updated);
        self.waiting.offer_room(core, now, keys);
    }
}

/// Returns a duration in whole milliseconds, for logs and messages.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The origin of the attempts that changed the suspicion of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservedBy {
    /// This box.
    Own,
    /// A peer.
    Peer,
}

/// Logs and counts that a target became suspected or is no longer suspected.
///
/// Only changes caused by attempts of this box are logged: each peer logs the changes caused by its own
/// attempts. When each box logged all of them, a quiet day of 113 boxes had 4.4 lines about attempts of peers
/// for each request.
pub(crate) fn log_suspicion(change: Option<SuspicionChange>, by: ObservedBy) {
    let Some(SuspicionChange { id, service, risk, suspect }) = change else {
        return;
    };
    let event = if suspect { "target-suspected" } else { "target-trusted" };
    let by = match by {
        ObservedBy::Own => {
            log::info!(target:% = id, service:% = service, risk:% = format!("{risk:.3}"); "{event}");
            "own"
        }
        ObservedBy::Peer => "peer",
    };
    metrics::counter!("wingbridge_suspicions", "event" => event, "by" => by).increment(1);
}

/// Logs that another instance answers at a target's address, and which box observed it.
pub(crate) fn log_replaced(target: &str, by: &str) {
    log::info!(target, by; "target-replaced");
    metrics::counter!("wingbridge_targets_replaced").increment(1);
}

/// Logs that a target terminated while it was processing a request of this box.
pub(crate) fn log_ended(target: &str, fingerprint: Fingerprint) {
    log::info!(target, fingerprint:% = fingerprint; "target-ended");
    metrics::counter!("wingbridge_targets_ended").increment(1);
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Logs problems in the customers of a configuration that came into force.
fn log_customer_problems(config: &RouteConfig) {
    let version = config.version;
    if config.has_unusable_closed_routes() {
        log::warn!(version; "closed-routes-without-customers");
    }
    let shared = config.customers.as_ref().map_or(0, |customers| customers.shared_keys);
    if shared > 0 {
        log::warn!(version, shared; "keys-of-two-customers");
    }
}

/// Logs the entries of a configuration in force that can't be used, and what is in force instead.
fn log_invalid_entries(config: &RouteConfig) {
    let version = config.version;
    metrics::gauge!("wingbridge_odd_entries").set(config.invalid_entries.count() as f64);
    for entry in config.invalid_entries.logged() {
        let InvalidEntry { table, name, reason, instead } = entry;
        log::warn!(version, table, name = name.as_str(), reason = reason.as_str(), instead; "entry-odd");
    }
    let unlogged = config.invalid_entries.count() - config.invalid_entries.logged().len();
    if unlogged > 0 {
        log::warn!(version, untold = unlogged; "more-entries-odd");
    }
}

/// Logs the first news since the store came back from a copy.
pub(crate) fn log_return(revision: StoreRevision, source: &str) {
    log::warn!(revision:%, era = revision.era, source; "store-returned");
    metrics::counter!("wingbridge_store_returns").increment(1);
    metrics::gauge!("wingbridge_store_era").set(revision.era as f64);
}

/// Origin of a change that was applied, for the log.
struct ChangeOrigin<'a> {
    revision: StoreRevision,
    as_of: Instant,
    source: &'a str,
    /// Time at which this box first learned of the change from peers.
    learned_at: Option<Instant>,
}

fn log_change(change: &ViewChange, from: &ChangeOrigin<'_>) {
    let ChangeOrigin { revision, as_of, source, learned_at } = *from;
    let StoreRevision { era, number: revision } = revision;
    let age_ms = millis(as_of.elapsed());
    if let Some(version) = change.config {
        let learned_ms = learned_at.map_or(0, |learned_at| millis(learned_at.elapsed()));
        log::info!(version, revision, era, age_ms, heard_ms = learned_ms, source; "configuration-in-force");
    }
    if let Some(reason) = &change.refused {
        log::error!(revision, era, reason = reason.as_str(), source; "configuration-refused");
    }
    for name in &change.evacuated {
        log::info!(data_centre:% = name, revision, era, age_ms, source; "data-centre-evacuated");
    }
    for name in &change.restored {
        log::info!(data_centre:% = name, revision, era, age_ms, source; "data-centre-taken-back");
    }
    for id in &change.restarted {
        log::info!(target:% = id, revision, era, age_ms, source; "target-restarted");
    }
    for id in &change.departed {
        log::info!(target:% = id, revision, era, age_ms, source; "target-left");
    }
    if change.joined.len() > MAX_JOINED_LOGGED {
        log::info!(count = change.joined.len(), revision, era, age_ms, source; "targets-joined");
        return;
    }
    for id in &change.joined {
        log::info!(target:% = id, revision, era, age_ms, source; "target-joined");
    }
}
