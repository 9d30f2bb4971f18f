//! The box's copy of what the store holds: the configuration and the listing of targets, each with
//! the time at which it was last known to be current.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingbridge_decide::{Name, TargetKey};

pub use crate::listing_history::ListingDelta;
use crate::ports::{EnvironmentPort, StoreChanges, TargetListing};
use crate::revision_history::RevisionHistory;
use crate::routes::RouteConfig;
use crate::store_revision::{ConfigId, StoreRevision};
pub use crate::target_table::TargetUpdate;
use crate::target_table::{ListingTime, TargetTable, listing_digest};

/// Gap between two readings that counts as an outage of the store: twice the time after which any
/// box with an outdated view reads the store itself (see `store_sync`).
const OUTAGE_GAP: Duration = Duration::from_millis(2500);
/// Time for which targets that are missing after an outage stay in use, so that they can register
/// again. The users asked for about two seconds.
const OUTAGE_GRACE: Duration = Duration::from_secs(2);
/// A target as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// The instance's name. A restarted instance keeps it and is a new incarnation.
    pub id: Name,
    /// The address and port that the target listens on.
    pub address: Name,
    /// The service that the target is an instance of.
    pub service: Name,
    /// The data centre that the target runs in.
    pub data_centre: Name,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is draining and takes no new requests.
    pub draining: bool,
    /// Remaining time, counted from the reading, for which the target is slow after its start.
    pub cold_time: Duration,
    /// Whether the target reports that it is still slow after its start.
    pub is_cold: bool,
    /// Start of this incarnation in milliseconds since 1970; 0 if the target does not report it.
    pub started_ms: u64,
}

impl TargetEntry {
    /// Returns whether the two entries are equal in everything that matters to requests. The
    /// remaining cold time changes with each heartbeat of a target and is not compared.
    pub(crate) fn is_equivalent(&self, other: &TargetEntry) -> bool {
        let cold_time = self.cold_time;
        *self == TargetEntry { cold_time, ..other.clone() }
    }

    /// Returns the key that identifies this incarnation of the target between boxes.
    pub(crate) fn key(&self) -> TargetKey {
        TargetKey::of_incarnation(&self.id, self.started_ms)
    }
}

/// The content of the store at one revision.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    /// Revision of the store up to which all changes are included.
    pub revision: StoreRevision,
    /// Revision at which the configuration was last written; `NONE` if there is no configuration.
    pub config_revision: StoreRevision,
    /// The configuration in its stored form; `None` if it was not read.
    pub config: Option<ConfigText>,
    /// All targets, ordered by name.
    pub targets: Vec<TargetEntry>,
    /// Data centres that operators have evacuated, ordered by name. Their targets get no requests.
    pub evacuated: Vec<Name>,
    /// Encoded notes about poison requests, one per data centre.
    pub crash_notes: Vec<Vec<u8>>,
    /// Secret by which boxes recognize each other, if it has been created.
    pub fleet_secret: Option<String>,
}

/// A configuration in its stored form. It contains keys of customers, so `Debug` prints its length
/// and none of its bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct ConfigText {
    /// Revision of the store at which the configuration was written.
    pub revision: StoreRevision,
    /// The stored bytes.
    pub text: Arc<[u8]>,
}

impl fmt::Debug for ConfigText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConfigText(revision {}, {} bytes)", self.revision, self.text.len())
    }
}

impl StoreView {
    /// Returns a hash over everything in the listing of targets that matters to requests, so that
    /// two views can be compared. It is never 0.
    pub fn digest(&self) -> u64 {
        listing_digest(&self.targets, &self.evacuated)
    }
}

/// The effects of an update of the view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// Version of the configuration that came into force with the update, if one did.
    pub config: Option<u64>,
    /// Reason for which a new configuration was refused. The previous one stays in force.
    pub refused: Option<String>,
    /// Whether the update is the first one since the store came back from a copy.
    pub returned: bool,
    /// Whether the update was older than the view and was not applied.
    pub is_outdated: bool,
    /// Whether the set of targets that take requests has changed.
    pub targets_changed: bool,
    /// Instances that were removed from the listing or began to drain.
    pub departed: Vec<Name>,
    /// Incarnations that ended without draining first: those that were removed from the listing,
    /// and those that were replaced by a restart.
    pub ended: Vec<TargetKey>,
    /// Instances that are new in the listing.
    pub joined: Vec<Name>,
    /// Instances that restarted under the same name.
    pub restarted: Vec<Name>,
    /// Data centres that were evacuated: their targets get no requests from now on.
    pub evacuated: Vec<Name>,
    /// Data centres whose evacuation was revoked.
    pub restored: Vec<Name>,
}

impl ViewChange {
    /// Returns the effects of an update that is older than the view: none.
    fn outdated() -> ViewChange {
        ViewChange { is_outdated: true, ..ViewChange::default() }
    }
}

/// A change of the listing as a peer sends it.
#[derive(Debug, Clone, Default)]
pub struct PeerListingDelta {
    /// Revision of the store that the resulting listing is of.
    pub revision: StoreRevision,
    /// Hash over the resulting listing.
    pub digest: u64,
    /// The change from the listing that this box holds to the resulting one.
    pub delta: ListingDelta,
    /// Data centres that operators have evacuated, ordered by name.
    pub evacuated: Vec<Name>,
}

/// The newest view of the store, with the state that results from earlier views.
///
/// Targets and configuration have separate ages, so that a configuration that takes long to
/// transfer does not delay changes of targets.
#[derive(Debug, Default)]
pub struct CachedView {
    revision: StoreRevision,
    targets: TargetTable,
    as_of: Option<Instant>,
    history: RevisionHistory,
    /// The configuration in force, decoded and in its stored form.
    config: Option<Arc<RouteConfig>>,
    config_text: Option<ConfigText>,
    /// Revision of the last configuration that was refused.
    refused: Option<StoreRevision>,
    config_as_of: Option<Instant>,
    /// Revision up to which the store is known to have had no configuration that is newer than the held one. The
    /// revision of the listing says nothing about that: peers send listings with or without the configuration.
    config_through: StoreRevision,
    grace_until: Option<Instant>,
}

impl CachedView {
    /// Returns the revision of the store that the listing of targets is of.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the hash over the listing of targets; 0 before the first listing.
    pub fn digest(&self) -> u64 {
        if self.as_of.is_some() { self.targets.digest() } else { 0 }
    }

    /// Returns the start of the read that last showed this listing of targets to be current; `None`
    /// before the first listing.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// Returns the start of the read that last showed this configuration to be the newest; `None`
    /// before the first configuration.
    pub fn config_as_of(&self) -> Option<Instant> {
        self.config_as_of
    }

    /// Returns the time since which this box could have missed a change of the targets or of the
    /// configuration; `None` before the first reading of both.
    pub fn oldest(&self) -> Option<Instant> {
        Some(self.as_of?.min(self.config_as_of?))
    }

    /// Returns the revision up to which the held configuration is known to be the newest.
    ///
    /// A poll confirms the configuration only if it begins at this revision or before it. Polled after a later
    /// one, the store reports no change, and the box would treat an outdated configuration as the newest.
    pub fn config_through(&self) -> StoreRevision {
        self.config_through.max(self.config_id().revision)
    }

    /// Returns the revision after which the store is polled for changes of the configuration; `None`
    /// if the configuration must be read in full.
    pub fn config_poll_revision(&self) -> Option<StoreRevision> {
        self.config_as_of.filter(|_| self.config_id().revision > StoreRevision::NONE)?;
        let through = self.config_through();
        // The store counts its changes anew in each era.
        (through.era >= self.revision.era).then_some(through)
    }

    /// Returns the configuration that is in force.
    pub fn config(&self) -> Option<&Arc<RouteConfig>> {
        self.config.as_ref()
    }

    /// Returns the configuration that is in force in its stored form.
    pub fn config_text(&self) -> Option<&ConfigText> {
        self.config_text.as_ref()
    }

    /// Returns all listed targets, ordered by name.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.listed()
    }

    /// Returns the number of listed targets.
    pub fn listed_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the time, counted from `now`, for which a listed target is still slow after its start.
    pub fn cold_time(&self, id: &Name, now: Instant) -> Duration {
        let until = self.targets.cold_until(id);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the data centres whose evacuation is listed, ordered by name.
    pub fn evacuated(&self) -> &[Name] {
        self.targets.evacuated()
    }

    /// Returns the data centres whose evacuation is in force, ordered by name: the listed ones, apart from
    /// what a copy of the store lacks.
    pub fn evacuated_in_force(&self) -> &[Name] {
        self.targets.evacuated_in_force()
    }

    /// Returns the identity of the configuration that is in force; `NONE` if there is none.
    pub fn config_id(&self) -> ConfigId {
        let (Some(config), Some(text)) = (&self.config, &self.config_text) else {
            return ConfigId::NONE;
        };
        ConfigId { version: config.version, revision: text.revision }
    }

    /// Returns whether this box lacks the configuration `id` and would take it.
    pub fn wants_config(&self, id: ConfigId) -> bool {
        self.refused != Some(id.revision) && id.is_newer_than(self.config_id())
    }

    /// Records that the listing of targets was still current at `as_of`, as reported by a peer that
    /// holds the same listing.
    /// Returns whether this is the first news since the store came back from a copy.
    pub fn confirm(&mut self, revision: StoreRevision, as_of: Instant) -> bool {
        revision >= self.revision && self.record_read(revision, as_of)
    }

    /// Records that the configuration of `revision` was the newest at `as_of` and up to the revision `through`, as
    /// reported by a peer; `revision` is `NONE` if there was no configuration.
    pub fn confirm_config(
        &mut self,
        revision: StoreRevision,
        through: StoreRevision,
        as_of: Instant,
    ) {
        if self.is_held_or_refused(revision) {
            self.record_config_known(through, as_of);
        }
    }

    /// Records that the store had no newer configuration at `as_of`, the start of a read of this box, than those
    /// that were applied.
    pub fn record_config_read(&mut self, as_of: Instant) {
        // Changes of the last second may be missing from the reply.
        let through = self.history.revision_before(as_of).unwrap_or_default();
        self.record_config_known(through, as_of);
    }

    fn record_config_known(&mut self, through: StoreRevision, as_of: Instant) {
        self.config_through = self.config_through.max(through);
        let confirmed = self.config_as_of.map_or(as_of, |before| before.max(as_of));
        self.config_as_of = Some(confirmed);
        // The store is polled for targets from a revision that precedes their last reading, so the
        // history must reach back to the older of the two times.
        self.history.prune(self.as_of.map_or(confirmed, |as_of| as_of.min(confirmed)));
    }

    fn is_held_or_refused(&self, revision: StoreRevision) -> bool {
        revision == self.config_id().revision || Some(revision) == self.refused
    }

    /// Applies a full view, unless the held one is newer.
    pub fn apply(
        &mut self,
        view: StoreView,
        as_of: Instant,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        if view.revision < self.revision {
            return ViewChange::outdated();
        }
        let mut change = ViewChange::default();
        // The caller has already applied the crash notes.
        let StoreView {
            revision,
            config_revision,
            config,
            targets,
            evacuated,
            crash_notes: _,
            fleet_secret: _,
        } = view;
        let includes_config = config.is_some();
        if let Some(text) = config {
            self.apply_config_text(text, port, &mut change);
        }
        // A copy from before the first configuration does not take back a later one.
        let has_none = config_revision == StoreRevision::NONE;
        if includes_config || has_none || self.is_held_or_refused(config_revision) {
            self.record_config_known(revision, as_of);
        }
        let listing = TargetListing { revision, targets, evacuated };
        let listed = self.apply_listing(listing, as_of);
        ViewChange { config: change.config, refused: change.refused, ..listed }
    }

    /// Applies a complete listing of targets, unless the held one is newer.
    pub fn apply_listing(&mut self, listing: TargetListing, as_of: Instant) -> ViewChange {
        let TargetListing { revision, targets, evacuated } = listing;
        if revision < self.revision {
            return ViewChange::outdated();
        }
        let delta = self.targets.delta_to(targets);
        self.apply_delta(delta, evacuated, revision, as_of)
    }

    /// Returns the revision after which the store is polled for changes of the targets and the configuration;
    /// `None` if everything must be read.
    pub fn poll_revision(&self) -> Option<StoreRevision> {
        let targets = self.target_poll_revision()?;
        let through = self.config_through();
        let is_known = through > StoreRevision::NONE && through.era >= targets.era;
        is_known.then(|| targets.min(through))
    }

    /// Returns the revision after which the store is polled for changes of the targets; `None` if
    /// they must be listed.
    ///
    /// It is a revision from some time before the last reading, because a store may omit the changes
    /// of the last second before it discards its history.
    pub fn target_poll_revision(&self) -> Option<StoreRevision> {
        self.history.revision_before(self.as_of?)
    }

    /// Applies the changes that were written to the store after the revision `after`, which this box held.
    pub fn apply_changes(
        &mut self,
        changes: StoreChanges,
        after: StoreRevision,
        as_of: Instant,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        // The caller has already applied the crash notes.
        let StoreChanges {
            revision,
            written,
            removed,
            evacuated,
            restored,
            config,
            crash_notes: _,
        } = changes;
        if revision < self.revision {
            return ViewChange::outdated();
        }
        let mut change = ViewChange::default();
        let confirms_config = config.is_some() || after <= self.config_through();
        if let Some(text) = config {
            self.apply_config_text(text, port, &mut change);
        }
        if confirms_config {
            self.record_config_read(as_of);
        }
        let delta = self.targets.delta_of_changes(written, removed);
        let kept = self.evacuated().iter().filter(|name| !restored.contains(name));
        let mut evacuated: Vec<Name> = kept.cloned().chain(evacuated).collect();
        evacuated.sort();
        evacuated.dedup();
        let listed = self.apply_delta(delta, evacuated, revision, as_of);
        ViewChange { config: change.config, refused: change.refused, ..listed }
    }

    /// Merges a change of the listing that a peer sent. Returns `None` and changes nothing if the
    /// listing that results has another hash than the peer's.
    pub fn merge_delta(
        &mut self,
        received: PeerListingDelta,
        as_of: Instant,
    ) -> Option<ViewChange> {
        let PeerListingDelta { revision, digest, delta, evacuated } = received;
        if revision < self.revision {
            return Some(ViewChange::outdated());
        }
        if self.targets.digest_with(&delta, &evacuated) != digest {
            return None;
        }
        Some(self.apply_delta(delta, evacuated, revision, as_of))
    }

    fn apply_delta(
        &mut self,
        delta: ListingDelta,
        evacuated: Vec<Name>,
        revision: StoreRevision,
        as_of: Instant,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        let is_first = self.as_of.is_none();
        let returned = self.record_read(revision, as_of);
        let grace_until = self.grace_until.filter(|until| as_of < *until);
        let time = ListingTime { as_of, grace_until, returned };
        self.targets.apply(delta, evacuated, time, &mut change);
        change.returned = returned;
        // The first listing is a change for this box even if it is empty.
        change.targets_changed |= is_first;
        change
    }

    /// Applies a configuration that was read separately from the targets.
    pub fn apply_config(&mut self, text: ConfigText, port: &dyn EnvironmentPort) -> ViewChange {
        let mut change = ViewChange::default();
        self.apply_config_text(text, port, &mut change);
        change
    }

    /// Returns the change from the listing with the hash `digest` to the held one; `None` if that
    /// listing is not in the history.
    pub fn delta_from(&self, digest: u64) -> Option<ListingDelta> {
        self.targets.delta_from(digest)
    }

    /// Returns whether the change from the listing with the hash `digest` to the held one is in the
    /// history.
    pub(crate) fn has_delta_from(&self, digest: u64) -> bool {
        self.targets.has_delta_from(digest)
    }

    /// Returns the time at which the next lapsed target is to be dropped, or the next override of a copy of
    /// the store ends, if there is one.
    pub fn next_lapse(&self) -> Option<Instant> {
        self.targets.next_lapse()
    }

    /// Returns the targets that take requests at `now`.
    pub fn usable(&self, now: Instant) -> Vec<&TargetEntry> {
        self.targets.usable(now).collect()
    }

    /// Drops lapsed targets whose grace period is over. Returns whether any were dropped.
    pub fn drop_lapsed(&mut self, now: Instant) -> bool {
        self.targets.drop_lapsed(now)
    }

    /// Ends what was in force in place of a copy of the store, once its time is over. Returns whether
    /// anything was.
    pub fn end_overrides(&mut self, now: Instant) -> bool {
        self.targets.end_overrides(now)
    }

    /// Takes the changes among the targets that take requests since the previous call.
    pub fn take_update(&mut self) -> TargetUpdate {
        self.targets.take_update()
    }

    /// Ages the view by `time`, a suspension of the machine that the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        let older = |as_of: Instant| as_of.checked_sub(time);
        self.as_of = self.as_of.and_then(older);
        self.config_as_of = self.config_as_of.and_then(older);
        self.targets.advance_clocks(time);
    }

    /// Records a listing of targets of `revision`. Returns whether it is the first one since the store came
    /// back from a copy.
    fn record_read(&mut self, revision: StoreRevision, as_of: Instant) -> bool {
        let returned = self.as_of.is_some() && revision.era > self.revision.era;
        if returned {
            // Revisions of an earlier era are none from which the store can be polled.
            self.history = RevisionHistory::default();
            self.grace_until = Some(as_of + OUTAGE_GRACE);
        } else {
            self.history.record(as_of, self.revision);
        }
        self.revision = revision;
        match self.as_of {
            Some(before) if as_of <= before => {}
            Some(before) => {
                if as_of - before > OUTAGE_GAP {
                    self.grace_until = Some(as_of + OUTAGE_GRACE);
                }
                self.as_of = Some(as_of);
            }
            None => self.as_of = Some(as_of),
        }
        returned
    }

    fn apply_config_text(
        &mut self,
        text: ConfigText,
        port: &dyn EnvironmentPort,
        change: &mut ViewChange,
    ) {
        let held = self.config_id();
        let is_known = text.revision.era == held.revision.era && text.revision <= held.revision;
        if is_known || Some(text.revision) == self.refused {
            return;
        }
        let decoded = port.decode_config(&text.text).and_then(|config| {
            let id = ConfigId { version: config.version, revision: text.revision };
            if id.is_newer_than(held) {
                return Ok(config);
            }
            Err(format!("version {} is older than the version in force", config.version))
        });
        match decoded {
            Ok(config) => {
                change.config = Some(config.version);
                let config = Arc::new(config);
                let before = self.config.replace(Arc::clone(&config));
                if before.is_none_or(|before| before.cold_rates != config.cold_rates) {
                    self.targets.mark_updated(|target| target.is_cold);
                }
                self.config_text = Some(text);
            }
            Err(reason) => {
                change.refused = Some(reason);
                // Reading it again would give the same result.
                self.refused = Some(text.revision);
            }
        }
    }
}
