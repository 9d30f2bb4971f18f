//! Property test of what a box takes for evidence that its configuration is the newest: after each read of the store
//! it has what the store had a second before, whatever peers handed over, lost or delayed.

mod harness;

use std::sync::Arc;
use std::time::{Duration, Instant};

use harness::{StoreStandin, config, entry, route};
use proptest::prelude::*;
use wingbridge_gateway::ports::{EnvironmentPort, StoreChanges, TargetListing};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::store_revision::StoreRevision;
use wingbridge_gateway::view::{CachedView, ConfigText, StoreView, TargetEntry};

const BOXES: usize = 3;
const MAX_VERSIONS: u64 = 60;
/// Time for which a poll reports no change before the store discards its history.
const SILENCE: Duration = Duration::from_secs(1);

/// An event of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    WriteConfig,
    WriteTargets,
    /// The box reads by a poll where it can, otherwise everything.
    Read {
        reader: usize,
    },
    /// The box polls for the configuration alone.
    ReadConfig {
        reader: usize,
    },
    /// A box tells another one its view, which is taken for up to `late` milliseconds newer than it is.
    Tell {
        from: usize,
        to: usize,
        with_targets: bool,
        with_config: bool,
        late: u64,
    },
    /// Polls miss what is written from now on, until the history is gone.
    DiscardHistory,
}

#[derive(Debug, Clone, Copy)]
struct Write {
    revision: u64,
    version: u64,
    at: Instant,
}

/// The store, with the times of its writes.
struct StoreModel {
    revision: u64,
    configs: Vec<Write>,
    /// Revision and time at which polls became silent.
    silent: Option<(u64, Instant)>,
    /// Revision after which changes are known.
    history_from: u64,
}

impl StoreModel {
    fn newest(&self) -> Write {
        *self.configs.last().expect("a first configuration")
    }

    /// Returns the newest version that was written at `at` or before.
    fn version_at(&self, at: Instant) -> u64 {
        let written = self.configs.iter().rev().find(|write| write.at <= at);
        written.map_or(0, |write| write.version)
    }

    /// Returns the configuration that a poll after `after` brings; `None` if the history is gone.
    fn poll(&self, after: u64) -> Option<Option<Write>> {
        if after < self.history_from {
            return None;
        }
        let until = self.silent.map_or(self.revision, |(revision, _)| revision);
        let written = self.configs.iter().rev().find(|write| write.revision <= until);
        Some(written.copied().filter(|write| write.revision > after))
    }
}

struct Fleet {
    now: Instant,
    start: Instant,
    store: StoreModel,
    port: Arc<dyn EnvironmentPort>,
    views: Vec<CachedView>,
}

impl Fleet {
    fn new() -> Fleet {
        let standin = StoreStandin::default();
        for version in 1..=MAX_VERSIONS {
            standin.put_config(config(version, vec![route("r", "s", RouteKind::Repeatable)]));
        }
        let start = Instant::now();
        let configs = vec![Write { revision: 1, version: 1, at: start }];
        let store = StoreModel { revision: 1, configs, silent: None, history_from: 0 };
        let views = (0..BOXES).map(|_| CachedView::default()).collect();
        let mut fleet = Fleet { now: start, start, store, port: standin.port(true), views };
        (0..BOXES).for_each(|reader| fleet.read(reader));
        fleet
    }

    fn play(&mut self, step: &Step, wait: u64) {
        self.now += Duration::from_millis(wait);
        if let Some((_, since)) = self.store.silent
            && self.now >= since + SILENCE
        {
            self.store.silent = None;
            self.store.history_from = self.store.revision;
        }
        match *step {
            Step::WriteConfig => {
                let version = self.store.newest().version + 1;
                if version <= MAX_VERSIONS {
                    self.store.revision += 1;
                    let revision = self.store.revision;
                    self.store.configs.push(Write { revision, version, at: self.now });
                }
            }
            Step::WriteTargets => self.store.revision += 1,
            Step::Read { reader } => self.read(reader),
            Step::ReadConfig { reader } => self.read_config(reader),
            Step::Tell { from, to, with_targets, with_config, late } if from != to => {
                self.tell(from, to, with_targets, with_config, Duration::from_millis(late));
            }
            Step::Tell { .. } => {}
            Step::DiscardHistory => {
                self.store.silent.get_or_insert((self.store.revision, self.now));
            }
        }
    }

    fn read(&mut self, reader: usize) {
        let revision = StoreRevision::from(self.store.revision);
        let view = &mut self.views[reader];
        let after = view.poll_revision();
        match after.and_then(|after| Some((after, self.store.poll(after.number)?))) {
            Some((after, written)) => {
                let config = written.map(config_text);
                let written = targets(self.store.revision);
                let changes = StoreChanges { revision, written, config, ..Default::default() };
                view.apply_changes(changes, after, self.now, &*self.port);
            }
            None => {
                let newest = self.store.newest();
                let full = StoreView {
                    revision,
                    config_revision: newest.revision.into(),
                    config: Some(config_text(newest)),
                    targets: targets(self.store.revision),
                    ..StoreView::default()
                };
                view.apply(full, self.now, &*self.port);
            }
        }
    }

    fn read_config(&mut self, reader: usize) {
        let view = &mut self.views[reader];
        let after = view.config_poll_revision();
        let newest = Some(self.store.newest());
        let found = match after.map(|after| self.store.poll(after.number)) {
            Some(Some(found)) => found,
            Some(None) | None => newest,
        };
        match found.filter(|found| view.config_id().revision != found.revision.into()) {
            Some(found) => {
                view.apply_config(config_text(found), &*self.port);
                view.confirm_config(found.revision.into(), found.revision.into(), self.now);
            }
            None => view.record_config_read(self.now),
        }
    }

    fn tell(&mut self, from: usize, to: usize, targets: bool, config: bool, late: Duration) {
        let teller = &self.views[from];
        let (revision, through) = (teller.revision(), teller.config_through());
        let (as_of, config_as_of) = (teller.as_of(), teller.config_as_of());
        let later = |as_of: Option<Instant>| (as_of.expect("a reading") + late).min(self.now);
        let (as_of, config_as_of) = (later(as_of), later(config_as_of));
        let (id, text) = (teller.config_id(), teller.config_text().cloned());
        let targets = targets.then(|| teller.listed().cloned().collect::<Vec<TargetEntry>>());
        let view = &mut self.views[to];
        view.confirm_config(id.revision, through, config_as_of);
        if let Some(targets) = targets {
            let listing = TargetListing { revision, targets, evacuated: Vec::new() };
            view.apply_listing(listing, as_of);
        }
        if let Some(text) = text.filter(|_| config && view.wants_config(id)) {
            view.apply_config(text, &*self.port);
            view.confirm_config(id.revision, id.revision, config_as_of);
        }
    }

    /// Checks that the box has what the store had a second before a read.
    fn check(&self, reader: usize) -> Result<(), TestCaseError> {
        let before = self.now.checked_sub(SILENCE).unwrap_or(self.start);
        let wanted = self.store.version_at(before.max(self.start));
        let held = self.views[reader].config_id().version;
        let at = self.now - self.start;
        prop_assert!(
            held >= wanted,
            "box {reader} has {held} after a read at {at:?}, not {wanted}"
        );
        Ok(())
    }
}

fn config_text(write: Write) -> ConfigText {
    let text = write.version.to_string().into_bytes().into();
    ConfigText { revision: write.revision.into(), text }
}

/// Returns a listing that differs with each revision.
fn targets(revision: u64) -> Vec<TargetEntry> {
    vec![entry("t", "s", &format!("10.0.0.1:{}", 1000 + revision))]
}

fn step() -> impl Strategy<Value = Step> {
    // Mostly one box reads and tells the others, and few configurations are handed over: the others then have listings
    // that are much newer than their configuration.
    let tell =
        (prop_oneof![4 => Just(0), 1 => 0..BOXES], 0..BOXES, any::<bool>(), 0..12, 0u64..3000);
    prop_oneof![
        2 => Just(Step::WriteConfig),
        2 => Just(Step::WriteTargets),
        6 => Just(Step::Read { reader: 0 }),
        1 => (0..BOXES).prop_map(|reader| Step::Read { reader }),
        1 => (0..BOXES).prop_map(|reader| Step::ReadConfig { reader }),
        14 => tell.prop_map(|(from, to, with_targets, config, late)| {
            Step::Tell { from, to, with_targets, with_config: config == 0, late }
        }),
        1 => Just(Step::DiscardHistory),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn a_read_leaves_no_box_with_an_outdated_configuration(
        steps in prop::collection::vec((step(), 10u64..900), 1..80)
    ) {
        let mut fleet = Fleet::new();
        for (step, wait) in &steps {
            fleet.play(step, *wait);
            if let Step::Read { reader } | Step::ReadConfig { reader } = step {
                fleet.check(*reader)?;
            }
        }
    }
}
