//! What a box knows of the store: configuration and targets, and how old that is.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingbridge_decide::{Name, TargetKey};

pub use crate::listing_history::ListingDelta;
use crate::ports::{EnvironmentPort, StoreChanges, TargetListing};
use crate::revision_history::RevisionHistory;
use crate::routes::RouteConfig;
pub use crate::target_table::TargetUpdate;
use crate::target_table::{ListingTime, TargetTable, listing_digest};

/// A gap between two readings from which on the store counts as away: twice the time
/// by which any box in doubt reads for itself (see `store_duty`).
const AWAY_AFTER: Duration = Duration::from_millis(2500);
/// Targets that are missing after an outage have this long to come back. Source: the
/// users' letter, "about two seconds".
const RETURN_TIME: Duration = Duration::from_secs(2);
/// A target as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// The instance's name. It may start again under it, as another life.
    pub id: Name,
    /// Where it listens.
    pub address: Name,
    /// Its service.
    pub service: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// For how long it was still slow from its start, when it was read.
    pub cold_time: Duration,
    /// Whether it said so.
    pub is_cold: bool,
    /// When this life of it began, in milliseconds since 1970; 0 if it did not tell.
    pub born_ms: u64,
}

impl TargetEntry {
    /// Whether all that matters to requests is the same: how long a target is still slow
    /// changes with each of its heartbeats, and is no news.
    pub(crate) fn is_same(&self, other: &TargetEntry) -> bool {
        let cold_time = self.cold_time;
        *self == TargetEntry { cold_time, ..other.clone() }
    }

    /// The key of this life of it between boxes.
    pub(crate) fn key(&self) -> TargetKey {
        TargetKey::of_incarnation(&self.id, self.born_ms)
    }
}

/// What the store held at one revision.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    /// All changes up to here are in it.
    pub revision: u64,
    /// The store's revision of the configuration; 0 if there is none.
    pub config_revision: u64,
    /// The configuration as the store holds it; left out where it was not read.
    pub config: Option<ConfigText>,
    /// All targets, in the order of their names.
    pub targets: Vec<TargetEntry>,
    /// Data centres whose targets operators want nothing sent to, in the order of their names.
    pub evacuated: Vec<Name>,
    /// Notes of requests that end targets, of all data centres.
    pub crash_notes: Vec<Vec<u8>>,
}

/// A configuration as the store holds it. It has customers' keys in it, so that `Debug` shows none
/// of its bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct ConfigText {
    /// The store's revision of it.
    pub revision: u64,
    /// Its bytes.
    pub text: Arc<[u8]>,
}

impl fmt::Debug for ConfigText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConfigText(revision {}, {} bytes)", self.revision, self.text.len())
    }
}

impl StoreView {
    /// A hash over all that matters to requests of the targets, to see whether two views
    /// differ in them. Never 0.
    pub fn digest(&self) -> u64 {
        listing_digest(&self.targets, &self.evacuated)
    }
}

/// What changed when a view was taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of a configuration that came into force.
    pub config: Option<u64>,
    /// Why a configuration could not be taken; the one before stays in force.
    pub refused: Option<String>,
    /// Whether the targets that take work are others now.
    pub targets_changed: bool,
    /// Instances that left or are leaving since the view before.
    pub departed: Vec<Name>,
    /// Lives of those among them that had said nothing of it, and of those that started again.
    pub ended: Vec<TargetKey>,
    /// Instances that came.
    pub joined: Vec<Name>,
    /// Instances that started again under their names.
    pub restarted: Vec<Name>,
    /// Data centres whose targets get nothing from now on.
    pub evacuated: Vec<Name>,
    /// Those that were taken back.
    pub restored: Vec<Name>,
}

/// What a peer tells of a listing.
#[derive(Debug, Clone, Default)]
pub struct PeerListingDelta {
    /// The store's revision of the listing.
    pub revision: u64,
    /// The hash over it.
    pub digest: u64,
    /// What makes it of the one that is held.
    pub delta: ListingDelta,
    /// Data centres whose targets operators want nothing sent to, in the order of their names.
    pub evacuated: Vec<Name>,
}

/// The newest view, and what follows from the views before it.
///
/// Targets and configuration are two matters with an age each: a configuration that takes
/// long on its way does not hold up what is known of targets.
#[derive(Debug, Default)]
pub struct KnownView {
    revision: u64,
    targets: TargetTable,
    as_of: Option<Instant>,
    history: RevisionHistory,
    /// The store's revision of the configuration; 0 before the first.
    config_revision: u64,
    config_text: Option<ConfigText>,
    config: Option<Arc<RouteConfig>>,
    config_as_of: Option<Instant>,
    return_until: Option<Instant>,
}

impl KnownView {
    /// The store's revision that this view is of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The hash over the targets; 0 before the first listing.
    pub fn digest(&self) -> u64 {
        if self.as_of.is_some() { self.targets.digest() } else { 0 }
    }

    /// When the read that these targets are of began; `None` before the first.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// When the read began that showed that this is the newest configuration; `None` before
    /// the first.
    pub fn config_as_of(&self) -> Option<Instant> {
        self.config_as_of
    }

    /// Since when this box could have missed a change of either kind; `None` before the first
    /// reading.
    pub fn oldest(&self) -> Option<Instant> {
        Some(self.as_of?.min(self.config_as_of?))
    }

    /// The revision from which news of the configuration is to be asked for; `None` if the
    /// configuration itself must be read.
    ///
    /// What was heard of targets since says nothing of the configuration: asked from there, the
    /// store would tell of no change, and the box would take an old one for the newest.
    pub fn config_poll_revision(&self) -> Option<u64> {
        let held = self.config_revision;
        let confirmed = self.config_as_of.filter(|_| held > 0)?;
        Some(self.history.revision_before(confirmed).max(held))
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<RouteConfig>> {
        self.config.as_ref()
    }

    /// The configuration as the store holds it, also one that could not be taken.
    pub fn config_text(&self) -> Option<&ConfigText> {
        self.config_text.as_ref()
    }

    /// All listed targets, in the order of their names.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.listed()
    }

    /// How many targets are listed.
    pub fn listed_count(&self) -> usize {
        self.targets.len()
    }

    /// For how long a listed target is still slow from its start at `now`.
    pub fn cold_time(&self, id: &Name, now: Instant) -> Duration {
        let until = self.targets.cold_until(id);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Data centres whose targets operators want nothing sent to, in the order of their names.
    pub fn evacuated(&self) -> &[Name] {
        self.targets.evacuated()
    }

    /// The store's revision of the configuration that this box holds; 0 for none.
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// Notes that the targets were still right at `as_of`, by a peer that holds the same.
    pub fn confirm(&mut self, revision: u64, as_of: Instant) {
        if revision >= self.revision {
            self.note_time(as_of);
            self.revision = revision;
        }
    }

    /// Notes that at `as_of` no configuration was newer than the one of `revision`; 0 for none.
    pub fn confirm_config(&mut self, revision: u64, as_of: Instant) {
        if revision == self.config_revision {
            let confirmed = self.config_as_of.map_or(as_of, |before| before.max(as_of));
            self.config_as_of = Some(confirmed);
            // News of the targets is asked for from a while before these were read.
            self.history.prune(self.as_of.map_or(confirmed, |as_of| as_of.min(confirmed)));
        }
    }

    /// Takes a view, unless a newer one is known.
    pub fn apply(
        &mut self,
        view: StoreView,
        as_of: Instant,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        if view.revision < self.revision {
            return change;
        }
        // Notes of requests that end targets are taken apart before.
        let StoreView { revision, config_revision, config, targets, evacuated, crash_notes: _ } =
            view;
        if let Some(text) = config {
            self.apply_config_text(text, port, &mut change);
        }
        self.confirm_config(config_revision, as_of);
        let listing = TargetListing { revision, targets, evacuated };
        let listed = self.apply_listing(listing, as_of);
        ViewChange { config: change.config, refused: change.refused, ..listed }
    }

    /// Takes a listing of targets, unless a newer one is known.
    pub fn apply_listing(&mut self, listing: TargetListing, as_of: Instant) -> ViewChange {
        let TargetListing { revision, targets, evacuated } = listing;
        if revision < self.revision {
            return ViewChange::default();
        }
        let delta = self.targets.delta_to(targets);
        self.put_difference(delta, evacuated, revision, as_of)
    }

    /// The revision from which news of the targets is to be asked for; `None` if they must be listed.
    ///
    /// It is one that was known a while ago: a store may hide the last second before it forgets its
    /// history.
    pub fn target_poll_revision(&self) -> Option<u64> {
        let revision = self.history.revision_before(self.as_of?);
        (revision > 0).then_some(revision)
    }

    /// Takes what was written in the store since a revision that this box knew.
    pub fn apply_changes(
        &mut self,
        news: StoreChanges,
        as_of: Instant,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        let StoreChanges { revision, written, removed, evacuated, restored, config } = news;
        if revision < self.revision {
            return ViewChange::default();
        }
        let mut change = ViewChange::default();
        if let Some(text) = config {
            self.apply_config_text(text, port, &mut change);
        }
        self.confirm_config(self.config_revision, as_of);
        let delta = self.targets.delta_of_changes(written, removed);
        let kept = self.evacuated().iter().filter(|name| !restored.contains(name));
        let mut evacuated: Vec<Name> = kept.cloned().chain(evacuated).collect();
        evacuated.sort();
        evacuated.dedup();
        let listed = self.put_difference(delta, evacuated, revision, as_of);
        ViewChange { config: change.config, refused: change.refused, ..listed }
    }

    /// Takes what makes the listing that `told` is of, with the hash `digest`, of the one that is held;
    /// `None` if it makes another one of it.
    pub fn merge_delta(&mut self, told: PeerListingDelta, as_of: Instant) -> Option<ViewChange> {
        let PeerListingDelta { revision, digest, delta, evacuated } = told;
        if revision < self.revision {
            return Some(ViewChange::default());
        }
        if self.targets.digest_with(&delta, &evacuated) != digest {
            return None;
        }
        Some(self.put_difference(delta, evacuated, revision, as_of))
    }

    fn put_difference(
        &mut self,
        delta: ListingDelta,
        evacuated: Vec<Name>,
        revision: u64,
        as_of: Instant,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        let is_first = self.as_of.is_none();
        self.note_time(as_of);
        let returning = self.return_until.filter(|until| as_of < *until);
        self.targets.take(delta, evacuated, ListingTime { as_of, returning }, &mut change);
        // An empty listing is news to a box that had none.
        change.targets_changed |= is_first;
        self.revision = revision;
        change
    }

    /// Takes a configuration that was read apart from the targets.
    pub fn apply_config(&mut self, text: ConfigText, port: &dyn EnvironmentPort) -> ViewChange {
        let mut change = ViewChange::default();
        self.apply_config_text(text, port, &mut change);
        change
    }

    /// What makes the listing of targets of the one with the hash `digest`; `None` if that
    /// one is not known.
    pub fn delta_from(&self, digest: u64) -> Option<ListingDelta> {
        self.targets.delta_from(digest)
    }

    /// Whether it is known what makes this listing of the one with the hash `digest`.
    pub(crate) fn remembers(&self, digest: u64) -> bool {
        self.targets.remembers(digest)
    }

    /// When the next lapsed target is to be dropped, if there is one.
    pub fn next_lapse(&self) -> Option<Instant> {
        self.targets.next_lapse()
    }

    /// Targets that take work now.
    pub fn usable(&self, now: Instant) -> Vec<&TargetEntry> {
        self.targets.usable(now).collect()
    }

    /// Drops lapsed targets whose time is over; returns whether there were some.
    pub fn drop_lapsed(&mut self, now: Instant) -> bool {
        self.targets.drop_lapsed(now)
    }

    /// What is new among the targets that take work since this was asked last.
    pub fn take_update(&mut self) -> TargetUpdate {
        self.targets.take_update()
    }

    /// What is known is older by `time`, which the clock did not count.
    pub(crate) fn advance_clocks(&mut self, time: Duration) {
        let older = |as_of: Instant| as_of.checked_sub(time);
        self.as_of = self.as_of.and_then(older);
        self.config_as_of = self.config_as_of.and_then(older);
        self.targets.advance_clocks(time);
    }

    fn note_time(&mut self, as_of: Instant) {
        self.history.record(as_of, self.revision);
        match self.as_of {
            Some(before) if as_of <= before => {}
            Some(before) => {
                if as_of - before > AWAY_AFTER {
                    self.return_until = Some(as_of + RETURN_TIME);
                }
                self.as_of = Some(as_of);
            }
            None => self.as_of = Some(as_of),
        }
    }

    fn apply_config_text(
        &mut self,
        text: ConfigText,
        port: &dyn EnvironmentPort,
        change: &mut ViewChange,
    ) {
        if text.revision <= self.config_revision {
            return;
        }
        match port.decode_config(&text.text) {
            Ok(config)
                if self.config.as_ref().is_some_and(|held| held.version > config.version) =>
            {
                change.refused = Some(format!("its version {} is older", config.version));
            }
            Ok(config) => {
                change.config = Some(config.version);
                let config = Arc::new(config);
                let before = self.config.replace(Arc::clone(&config));
                if before.is_none_or(|before| before.cold_rates != config.cold_rates) {
                    self.targets.renew(|target| target.is_cold);
                }
            }
            Err(reason) => change.refused = Some(reason),
        }
        // A refused one is held too: reading it again would change nothing.
        self.config_revision = text.revision;
        self.config_text = Some(text);
    }
}
