//! What a box knows of the store: configuration and targets, and how old that is.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingbridge_decide::{Name, TargetKey};
use xxhash_rust::xxh3::Xxh3;

pub use crate::listing_history::ListingDifference;
use crate::listing_history::ListingHistory;
use crate::lives::TargetLives;
use crate::ports::{EnvironmentPort, TargetListing};
use crate::revision_trail::RevisionTrail;
use crate::routes::RouteConfig;

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
        TargetKey::of_life(&self.id, self.born_ms)
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

/// A hash over a listing, both parts in the order of their names. Never 0, which stands for no listing.
pub(crate) fn listing_digest(targets: &[TargetEntry], evacuated: &[Name]) -> u64 {
    let mut hash = Xxh3::new();
    for target in targets {
        for text in [&target.id, &target.address, &target.service, &target.data_centre] {
            hash.update(text.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&target.slots.to_le_bytes());
        hash.update(&[u8::from(target.draining), u8::from(target.is_cold)]);
        hash.update(&target.born_ms.to_le_bytes());
    }
    for name in evacuated {
        hash.update(name.as_bytes());
        hash.update(&[0]);
    }
    hash.digest().max(1)
}

/// What changed when a view was taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of a configuration that came into force.
    pub config: Option<u64>,
    /// Why a configuration could not be taken; the one before stays in force.
    pub refused: Option<String>,
    /// Whether the targets that take work are others now.
    pub targets: bool,
    /// Instances that left or are leaving since the view before.
    pub left: Vec<Name>,
    /// Lives of those among them that had said nothing of it, and of those that started again.
    pub ended: Vec<TargetKey>,
    /// Instances that came.
    pub joined: Vec<Name>,
    /// Instances that started again under their names.
    pub restarted: Vec<Name>,
    /// Data centres whose targets get nothing from now on.
    pub evacuated: Vec<Name>,
    /// Those that were taken back.
    pub taken_back: Vec<Name>,
}

/// The newest view, and what follows from the views before it.
///
/// Targets and configuration are two matters with an age each: a configuration that takes
/// long on its way does not hold up what is known of targets.
#[derive(Debug, Default)]
pub struct KnownView {
    view: StoreView,
    digest: u64,
    as_of: Option<Instant>,
    history: ListingHistory,
    trail: RevisionTrail,
    config: Option<Arc<RouteConfig>>,
    config_as_of: Option<Instant>,
    lives: TargetLives,
    /// Instances that an outage of the store took from the list, until when they are used.
    lapsed: HashMap<Name, (TargetEntry, Instant)>,
    return_until: Option<Instant>,
}

impl KnownView {
    /// The store's revision that this view is of.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// The hash over the view.
    pub fn digest(&self) -> u64 {
        self.digest
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
    pub fn news_from(&self) -> Option<u64> {
        let held = self.view.config_revision;
        let confirmed = self.config_as_of.filter(|_| held > 0)?;
        Some(self.trail.lagging(confirmed).max(held))
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<RouteConfig>> {
        self.config.as_ref()
    }

    /// What the store held. Its configuration is the one that this box holds.
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// The store's revision of the configuration that this box holds; 0 for none.
    pub fn config_revision(&self) -> u64 {
        self.view.config_revision
    }

    /// Notes that the targets were still right at `as_of`, by a peer that holds the same.
    pub fn confirm(&mut self, revision: u64, as_of: Instant) {
        if revision >= self.view.revision {
            self.note_time(as_of);
            self.view.revision = revision;
        }
    }

    /// Notes that at `as_of` no configuration was newer than the one of `revision`; 0 for none.
    pub fn confirm_config(&mut self, revision: u64, as_of: Instant) {
        if revision == self.view.config_revision {
            let confirmed = self.config_as_of.map_or(as_of, |before| before.max(as_of));
            self.config_as_of = Some(confirmed);
            self.trail.forget(confirmed);
        }
    }

    /// Takes a view, unless a newer one is known.
    pub fn take(
        &mut self,
        view: StoreView,
        as_of: Instant,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        if view.revision < self.view.revision {
            return change;
        }
        // Notes of requests that end targets are taken apart before.
        let StoreView { revision, config_revision, config, targets, evacuated, crash_notes: _ } =
            view;
        if let Some(text) = config {
            self.take_config(text, port, &mut change);
        }
        self.confirm_config(config_revision, as_of);
        let listing = TargetListing { revision, targets, evacuated };
        let listed = self.take_listing(listing, as_of);
        ViewChange { config: change.config, refused: change.refused, ..listed }
    }

    /// Takes a listing of targets, unless a newer one is known.
    pub fn take_listing(&mut self, listing: TargetListing, as_of: Instant) -> ViewChange {
        let mut change = ViewChange::default();
        if listing.revision < self.view.revision {
            return change;
        }
        self.note_time(as_of);
        let digest = listing_digest(&listing.targets, &listing.evacuated);
        change.targets = digest != self.digest;
        if change.targets {
            self.history.note(self.digest, &self.view.targets, &listing.targets);
        }
        self.take_targets(listing.targets, as_of, &mut change);
        self.take_evacuated(listing.evacuated, &mut change);
        self.view.revision = listing.revision;
        self.digest = digest;
        change
    }

    /// Takes a configuration that was read apart from the targets.
    pub fn take_config_alone(
        &mut self,
        text: ConfigText,
        port: &dyn EnvironmentPort,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        self.take_config(text, port, &mut change);
        change
    }

    /// What makes the listing of targets of the one with the hash `digest`; `None` if that
    /// one is not known.
    pub fn difference_to(&self, digest: u64) -> Option<ListingDifference> {
        self.history.since(digest, &self.view.targets)
    }

    /// When the next lapsed target is to be dropped, if there is one.
    pub fn next_lapse(&self) -> Option<Instant> {
        self.lapsed.values().map(|(_, until)| *until).min()
    }

    /// Targets that take work now.
    pub fn usable(&self, now: Instant) -> Vec<&TargetEntry> {
        let listed = self.view.targets.iter().filter_map(|target| self.lives.in_force(target));
        let listed = listed.filter(|target| !target.draining);
        let lapsed = self.lapsed.values().filter(|(_, until)| now < *until);
        listed.chain(lapsed.map(|(target, _)| target)).collect()
    }

    /// Drops lapsed targets whose time is over; returns whether there were some.
    pub fn drop_lapsed(&mut self, now: Instant) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        before != self.lapsed.len()
    }

    /// What is known is older by `time`, which the clock did not count.
    pub(crate) fn grow_older(&mut self, time: Duration) {
        let older = |as_of: Instant| as_of.checked_sub(time);
        self.as_of = self.as_of.and_then(older);
        self.config_as_of = self.config_as_of.and_then(older);
        for (_, until) in self.lapsed.values_mut() {
            *until = until.checked_sub(time).unwrap_or(*until);
        }
    }

    fn note_time(&mut self, as_of: Instant) {
        self.trail.note(as_of, self.view.revision);
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

    fn take_config(
        &mut self,
        text: ConfigText,
        port: &dyn EnvironmentPort,
        change: &mut ViewChange,
    ) {
        if text.revision <= self.view.config_revision {
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
                self.config = Some(Arc::new(config));
            }
            Err(reason) => change.refused = Some(reason),
        }
        // A refused one is held too: reading it again would change nothing.
        self.view.config_revision = text.revision;
        self.view.config = Some(text);
    }

    fn take_evacuated(&mut self, evacuated: Vec<Name>, change: &mut ViewChange) {
        let before = std::mem::replace(&mut self.view.evacuated, evacuated);
        let others = |of: &[Name], than: &[Name]| -> Vec<Name> {
            of.iter().filter(|name| !than.contains(name)).cloned().collect()
        };
        change.evacuated = others(&self.view.evacuated, &before);
        change.taken_back = others(&before, &self.view.evacuated);
    }

    fn take_targets(&mut self, targets: Vec<TargetEntry>, as_of: Instant, change: &mut ViewChange) {
        let listed = listed_now(&targets);
        let returning = self.return_until.filter(|until| as_of < *until);
        for target in &self.view.targets {
            if listed.contains(&target.id) {
                continue;
            }
            self.lives.note_gone(target);
            if self.lives.has_left(target) {
                continue;
            }
            match returning {
                Some(until) if !target.draining => {
                    self.lapsed.insert(target.id.clone(), (target.clone(), until));
                }
                _ => {
                    change.left.push(target.id.clone());
                    if !target.draining {
                        change.ended.push(target.key());
                    }
                }
            }
        }
        let known: HashMap<&Name, &TargetEntry> =
            self.view.targets.iter().map(|target| (&target.id, target)).collect();
        for target in &targets {
            self.lapsed.remove(&target.id);
            let before = known.get(&target.id);
            if self.lives.note_listed(before.copied(), target) {
                change.restarted.push(target.id.clone());
                change.ended.extend(before.map(|before| before.key()));
            }
            if target.draining && self.lives.note_leaving(target) {
                change.left.push(target.id.clone());
            }
            if !target.draining && before.is_none() {
                change.joined.push(target.id.clone());
            }
        }
        self.lives.forget(&listed);
        self.view.targets = targets;
    }
}

fn listed_now(targets: &[TargetEntry]) -> HashSet<&Name> {
    targets.iter().map(|target| &target.id).collect()
}
