//! What every task of a box shares.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::split::WeightedSplit;
use wingbridge_decide::steer::{SteerCore, SteerSetup, SuspicionChange};
use wingbridge_decide::{Fingerprint, Name, TimePoint};
use wingbridge_wire::gossip::ConfigDelta;

use crate::change_budget::ChangeBudget;
use crate::config_source::ConfigSource;
use crate::crash_tracker::CrashTracker;
use crate::invalid_entries::InvalidEntry;
use crate::latch::ReadyLatch;
use crate::listing_source::ListingSource;
use crate::newer_config::NewerConfig;
use crate::passive_samples::SampleBuffer;
use crate::peers::PeerTable;
use crate::permit_manager::PermitManager;
use crate::policies::PolicySet;
use crate::ports::{EnvironmentPort, HeaderNames, StoreChanges, TargetListing};
use crate::quota_manager::QuotaManager;
use crate::routes::RouteConfig;
use crate::settings::GatewaySettings;
use crate::stopping::StopState;
use crate::suspension::{ClockSample, SuspensionWatch};
use crate::view::{
    CachedView, ConfigText, PeerListingDelta, StoreView, TargetEntry, TargetUpdate, ViewChange,
};

/// Targets that join at once and are named in the log each; of more, as at a start, only the count is.
const JOINED_NAMED: usize = 20;

/// Homes that are no regions and are named in the log each, of one configuration.
const HOMES_NAMED: usize = 16;

/// How duties hear of what others took.
pub(crate) struct DutyHandles {
    pub(crate) quotas: QuotaManager,
    pub(crate) permits: PermitManager,
    pub(crate) passive_samples: SampleBuffer,
    pub(crate) view_changed: async_channel::Sender<()>,
    pub(crate) config_changed: async_channel::Sender<()>,
}

/// What callers, targets, peers and the store have in common within a box.
pub(crate) struct BoxContext {
    pub(crate) settings: GatewaySettings,
    pub(crate) port: Arc<dyn EnvironmentPort>,
    pub(crate) headers: Arc<HeaderNames>,
    pub(crate) policies: PolicySet,
    pub(crate) stopping: StopState,
    pub(crate) peers: Mutex<PeerTable>,
    /// Admits requests by their customers' quotas.
    pub(crate) quotas: QuotaManager,
    /// Permits to send to targets with a limit.
    pub(crate) permits: PermitManager,
    pub(crate) passive_samples: SampleBuffer,
    /// Which requests end targets.
    pub(crate) crashes: CrashTracker,
    pub(crate) view_changed: async_channel::Sender<()>,
    /// Tells that a peer has a configuration that this box lacks, or that there is another one.
    pub(crate) config_changed: async_channel::Sender<()>,
    /// How the time of a change is spent.
    pub(crate) budget: ChangeBudget,
    /// The configuration as it is handed on.
    pub(crate) config_source: ConfigSource,
    /// The listing of targets as it is handed on.
    pub(crate) listing_source: ListingSource,
    newer_config: Mutex<NewerConfig>,
    /// Bytes of request bodies that are held now.
    pub(crate) held_bodies: AtomicUsize,
    started: Instant,
    suspension: SuspensionWatch,
    view: Mutex<CachedView>,
    core: Mutex<SteerCore>,
    split: Mutex<WeightedSplit>,
    /// Opens once a configuration and the targets are known: with the configuration alone a box
    /// that has just started turned each caller away.
    pub(crate) first_view: ReadyLatch,
}

impl BoxContext {
    pub(crate) fn new(
        settings: GatewaySettings,
        port: Arc<dyn EnvironmentPort>,
        policies: PolicySet,
        stopping: StopState,
        handles: DutyHandles,
        seed: u64,
    ) -> Arc<BoxContext> {
        let core = SteerCore::new(SteerSetup {
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
        let peers = PeerTable::new(&settings, seed);
        let suspension = SuspensionWatch::new(port.suspended());
        Arc::new(BoxContext {
            headers: port.headers(),
            budget: ChangeBudget::new(settings.change_time),
            config_source: ConfigSource::new(settings.link_mbps),
            listing_source: ListingSource::new(settings.link_mbps),
            newer_config: Mutex::default(),
            settings,
            port,
            policies,
            stopping,
            peers: Mutex::new(peers),
            quotas: handles.quotas,
            permits: handles.permits,
            passive_samples: handles.passive_samples,
            crashes: CrashTracker::new(),
            view_changed: handles.view_changed,
            config_changed: handles.config_changed,
            held_bodies: AtomicUsize::new(0),
            started: Instant::now(),
            suspension,
            view: Mutex::default(),
            core: Mutex::new(core),
            split: Mutex::new(WeightedSplit::new(seed as f64 / u64::MAX as f64)),
            first_view: ReadyLatch::default(),
        })
    }

    /// Now, on the clock of the decision core.
    pub(crate) fn now(&self) -> TimePoint {
        TimePoint::default() + self.started.elapsed()
    }

    /// The decision core. It is held for single steps and never across a wait: at a box's
    /// few requests a second a thread of its own would cost more wake-ups than it saves.
    pub(crate) fn core(&self) -> MutexGuard<'_, SteerCore> {
        lock(&self.core)
    }

    /// What is known of the store. Its ages count the time for which this machine was suspended.
    pub(crate) fn view(&self) -> MutexGuard<'_, CachedView> {
        let mut view = lock(&self.view);
        if let Some(time) = self.suspension.newly(self.port.suspended()) {
            view.advance_clocks(time);
            self.core().advance_clocks(time);
            log::warn!(suspended_ms = millis(time); "was-suspended");
        }
        view
    }

    /// A mark from which on the time counts for which this machine is suspended.
    pub(crate) fn clock_sample(&self) -> ClockSample {
        ClockSample::now(self.port.suspended())
    }

    /// `time` as it is on a clock that counted what was suspended since `mark`.
    pub(crate) fn correct(&self, mark: &ClockSample, time: Instant) -> Instant {
        mark.correct(time, self.port.suspended())
    }

    /// When `mark` was taken, on that clock.
    pub(crate) fn corrected_time(&self, mark: &ClockSample) -> Instant {
        mark.corrected_time(self.port.suspended())
    }

    /// Whether this machine was suspended until a moment ago: what peers told meanwhile has no age.
    pub(crate) fn recently_resumed(&self) -> bool {
        drop(self.view());
        self.suspension.recently_resumed()
    }

    /// The peers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<RouteConfig>> {
        self.view().config().cloned()
    }

    /// How old what is known of targets is.
    pub(crate) fn view_age(&self) -> Option<Duration> {
        self.view().as_of().map(|as_of| as_of.elapsed())
    }

    /// How long ago this box last knew that its configuration is the newest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.view().config_as_of().map(|as_of| as_of.elapsed())
    }

    /// Configurations that peers have and this box lacks.
    pub(crate) fn newer_config(&self) -> MutexGuard<'_, NewerConfig> {
        lock(&self.newer_config)
    }

    /// The next part of a weighted split.
    pub(crate) fn next_part(&self, weights: &[u32]) -> Option<usize> {
        lock(&self.split).next(weights)
    }

    /// Whether the balancer should send callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.first_view.is_open() && !self.stopping.is_stopping() && !self.is_stale()
    }

    /// Whether this box has known for the whole time of a change that peers work by a newer
    /// configuration and could not get it: callers are better served by those peers.
    pub(crate) fn is_stale(&self) -> bool {
        let pending = self.newer_config().pending();
        pending.is_some_and(|(heard, _)| heard.elapsed() >= self.budget.total())
    }

    /// Takes all that the store holds, and puts it in force.
    pub(crate) fn apply_view(&self, mut view: StoreView, as_of: Instant, source: &str) {
        let revision = view.revision;
        // Before it opens the box to callers, who may ask for such a request first.
        self.crashes.apply_notes(std::mem::take(&mut view.crash_notes));
        let change = self.change_view(|known| known.apply(view, as_of, &*self.port));
        let heard = self.settle_config(Vec::new());
        self.on_view_change(&change, &ChangeOrigin { revision, as_of, source, heard });
    }

    /// Takes a listing of targets and puts it in force.
    pub(crate) fn apply_listing(&self, listing: TargetListing, as_of: Instant, source: &str) {
        let revision = listing.revision;
        let change = self.change_view(|known| known.apply_listing(listing, as_of));
        self.on_view_change(&change, &ChangeOrigin { revision, as_of, source, heard: None });
    }

    /// Takes what a peer tells of a listing and puts it in force; returns whether it fits the one that is
    /// held.
    pub(crate) fn merge_delta(&self, told: PeerListingDelta, as_of: Instant) -> bool {
        let revision = told.revision;
        let Some(change) = self.change_view(|known| known.merge_delta(told, as_of)) else {
            return false;
        };
        let source = "peer";
        self.on_view_change(&change, &ChangeOrigin { revision, as_of, source, heard: None });
        true
    }

    /// Takes what was written in the store since a revision that this box knew, and puts it in force.
    pub(crate) fn apply_changes(&self, news: StoreChanges, as_of: Instant) {
        let revision = news.revision;
        let change = self.change_view(|known| known.apply_changes(news, as_of, &*self.port));
        let heard = self.settle_config(Vec::new());
        self.on_view_change(&change, &ChangeOrigin { revision, as_of, source: "store", heard });
    }

    /// Takes a configuration that was the newest at `as_of`; `steps` are those by which a peer
    /// sent it.
    pub(crate) fn apply_config(
        &self,
        config: ConfigText,
        steps: Vec<ConfigDelta>,
        as_of: Instant,
        source: &str,
    ) {
        let revision = config.revision;
        let change = self.change_view(|known| {
            let change = known.apply_config(config, &*self.port);
            known.confirm_config(revision, as_of);
            change
        });
        let heard = self.settle_config(steps);
        self.on_view_change(&change, &ChangeOrigin { revision, as_of, source, heard });
    }

    /// Hands on the configuration that is held now. Returns since when this box had known that
    /// there is a newer one.
    fn settle_config(&self, steps: Vec<ConfigDelta>) -> Option<Instant> {
        let held = self.view().config_text().cloned()?;
        let heard = {
            let mut newer = self.newer_config();
            let heard = newer.pending().map(|(heard, _)| heard);
            newer.settle(held.revision);
            heard
        };
        self.config_source.put(held, steps);
        heard
    }

    fn on_view_change(&self, change: &ViewChange, from: &ChangeOrigin<'_>) {
        let knows_all = self.config().is_some() && self.view_age().is_some();
        if knows_all && self.first_view.open() {
            let age_ms = millis(from.as_of.elapsed());
            log::info!(source = from.source, revision = from.revision, age_ms; "ready");
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
            // Its duty waits by what was held before: one that came with the targets left a box
            // without a reading of its own for a minute. Full: a notice already waits.
            let _ = self.config_changed.try_send(());
        }
        // Full: a notice already waits.
        let _ = self.view_changed.try_send(());
    }

    /// Says which homes of a configuration are no region of this deployment: nothing is served there.
    fn log_unknown_homes(&self, config: &RouteConfig) {
        let regions = &self.settings.regions;
        let is_unknown = |home: &&Name| !regions.values().any(|region| region == *home);
        let unknown: BTreeSet<&Name> = config.home_regions().filter(is_unknown).collect();
        for home in unknown.into_iter().take(HOMES_NAMED) {
            log::warn!(version = config.version, home:% = home; "home-unknown");
        }
    }

    /// Changes what is known of the store, and hands what is new by it among the targets that take work to the
    /// core. The view is held meanwhile, so that no older one can overtake it.
    pub(crate) fn change_view<T>(&self, change: impl FnOnce(&mut CachedView) -> T) -> T {
        let mut known = self.view();
        let changed = change(&mut known);
        self.publish_targets(&mut known);
        changed
    }

    fn publish_targets(&self, known: &mut CachedView) {
        let TargetUpdate { removed, updated } = known.take_update();
        if removed.is_empty() && updated.is_empty() {
            return;
        }
        let (now, config) = (self.now(), known.config());
        let cold_rate = |target: &TargetEntry| {
            let rates = config.map(|config| &config.cold_rates);
            rates.filter(|_| target.is_cold)?.get(&target.service).copied()
        };
        let steered = |target: TargetEntry| SteerTarget {
            cold_until: now + known.cold_time(&target.id, Instant::now()),
            region: self.settings.region_of(&target.data_centre),
            evacuated: known.evacuated().contains(&target.data_centre),
            cold_rate: cold_rate(&target),
            id: target.id,
            born_ms: target.born_ms,
            address: target.address,
            service: target.service,
            data_centre: target.data_centre,
            slots: target.slots,
        };
        let updated = updated.into_iter().map(steered).collect();
        self.core().update_targets(now, &removed, updated);
    }
}

/// Whole milliseconds, for logs and messages.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Whose attempts moved what is believed of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObservedBy {
    /// This box's.
    Own,
    /// A peer's.
    Peer,
}

/// Notes that a target became a suspect or is none any more, and by whose attempts.
///
/// Only what this box saw has a line: the peer that saw the rest has one. With a line for each at each
/// box a quiet day of 113 boxes had 4.4 lines of hearsay for each request.
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

/// Logs that another instance answers at a target's address, and who saw it.
pub(crate) fn log_replaced(target: &str, by: &str) {
    log::info!(target, by; "target-replaced");
    metrics::counter!("wingbridge_targets_replaced").increment(1);
}

/// Logs that a target ended while it had a request of this box.
pub(crate) fn log_ended(target: &str, fingerprint: Fingerprint) {
    log::info!(target, fingerprint:% = fingerprint; "target-ended");
    metrics::counter!("wingbridge_targets_ended").increment(1);
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Says what is odd about the customers of a configuration that came into force.
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

/// Says which entries of a configuration that came into force can't be used, and what holds instead.
fn log_invalid_entries(config: &RouteConfig) {
    let version = config.version;
    metrics::gauge!("wingbridge_odd_entries").set(config.invalid_entries.count() as f64);
    for entry in config.invalid_entries.logged() {
        let InvalidEntry { table, name, reason, instead } = entry;
        log::warn!(version, table, name = name.as_str(), reason = reason.as_str(), instead; "entry-odd");
    }
    let untold = config.invalid_entries.count() - config.invalid_entries.logged().len();
    if untold > 0 {
        log::warn!(version, untold; "more-entries-odd");
    }
}

/// Where something that was taken came from, for the log.
struct ChangeOrigin<'a> {
    revision: u64,
    as_of: Instant,
    source: &'a str,
    /// Since when this box had known of it by peers.
    heard: Option<Instant>,
}

fn log_change(change: &ViewChange, from: &ChangeOrigin<'_>) {
    let ChangeOrigin { revision, as_of, source, heard } = *from;
    let age_ms = millis(as_of.elapsed());
    if let Some(version) = change.config {
        let heard_ms = heard.map_or(0, |heard| millis(heard.elapsed()));
        log::info!(version, revision, age_ms, heard_ms, source; "configuration-in-force");
    }
    if let Some(reason) = &change.refused {
        log::error!(revision, reason = reason.as_str(), source; "configuration-refused");
    }
    for name in &change.evacuated {
        log::info!(data_centre:% = name, revision, age_ms, source; "data-centre-evacuated");
    }
    for name in &change.restored {
        log::info!(data_centre:% = name, revision, age_ms, source; "data-centre-taken-back");
    }
    for id in &change.restarted {
        log::info!(target:% = id, revision, age_ms, source; "target-restarted");
    }
    for id in &change.departed {
        log::info!(target:% = id, revision, age_ms, source; "target-left");
    }
    if change.joined.len() > JOINED_NAMED {
        log::info!(count = change.joined.len(), revision, age_ms, source; "targets-joined");
        return;
    }
    for id in &change.joined {
        log::info!(target:% = id, revision, age_ms, source; "target-joined");
    }
}
