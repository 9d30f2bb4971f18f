//! Cores that are connected by a list of messages, which tests deliver, lose, repeat and reorder.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wingbridge_spread::core::SpreadEvent;
use wingbridge_spread::members::{BOX_PREFIX, MemberState, MemberValue};
use wingbridge_spread::{BoxIdentity, SpreadCommand, SpreadCore, SpreadSetup};
use wingbridge_wire::{Entry, FrameBody, Stamp};

pub struct TestNetwork {
    pub cores: BTreeMap<Arc<str>, SpreadCore>,
    pub in_transit: Vec<(Arc<str>, Arc<str>, FrameBody)>,
    pub now: u64,
    /// Pairs of boxes between which messages are lost, in one direction.
    pub cut: BTreeSet<(Arc<str>, Arc<str>)>,
    /// The version that each box last put in force, by key.
    pub in_force: BTreeMap<(Arc<str>, String), Stamp>,
    /// Number of versions that decreased.
    pub reverts: usize,
    started: u64,
}

impl TestNetwork {
    pub fn new(boxes: usize, centres: usize) -> TestNetwork {
        let mut network = TestNetwork {
            cores: BTreeMap::new(),
            in_transit: Vec::new(),
            now: 0,
            cut: BTreeSet::new(),
            in_force: BTreeMap::new(),
            reverts: 0,
            started: 0,
        };
        for number in 0..boxes {
            network.start_box(number, centres);
        }
        let list = box_list(boxes, centres);
        for number in 0..boxes {
            network.store_read(number, &list);
        }
        network
    }

    /// Starts a box with an empty map.
    pub fn start_box(&mut self, number: usize, centres: usize) {
        self.started += 1;
        let setup = SpreadSetup {
            identity: BoxIdentity { box_id: id(number), data_centre: centre(number, centres) },
            digest_period: Duration::from_millis(1000),
            neighbour_period: Duration::from_secs(600),
            seed: self.started,
        };
        self.cores.insert(id(number), SpreadCore::new(setup));
        let own = id(number);
        self.in_force.retain(|(box_id, _), _| *box_id != own);
    }

    pub fn store_read(&mut self, number: usize, entries: &[Entry]) {
        self.event(&id(number), SpreadEvent::StoreRead(entries.to_vec()));
    }

    pub fn tick_all(&mut self) {
        self.now += 500_000;
        let boxes: Vec<Arc<str>> = self.cores.keys().cloned().collect();
        for box_id in boxes {
            self.event(&box_id, SpreadEvent::TimerFired);
        }
    }

    /// Delivers the message at `index`, or loses it if the path is cut.
    pub fn deliver(&mut self, index: usize) {
        let (from, to, body) = self.in_transit.remove(index);
        if !self.cut.contains(&(from.clone(), to.clone())) && self.cores.contains_key(&to) {
            self.event(&to, SpreadEvent::Received { from, body });
        }
    }

    /// Runs `rounds` timer periods, and delivers all messages that follow.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.tick_all();
            while !self.in_transit.is_empty() {
                self.deliver(0);
            }
        }
    }

    pub fn event(&mut self, at: &Arc<str>, event: SpreadEvent) {
        let Some(core) = self.cores.get_mut(at) else { return };
        let mut commands = Vec::new();
        core.handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                SpreadCommand::Send { to, body } => self.in_transit.push((at.clone(), to, body)),
                SpreadCommand::Apply(entry) => self.record_in_force(at, entry),
            }
        }
    }

    pub fn holds(&self, number: usize, key: &str) -> Option<&Entry> {
        self.cores.get(&id(number))?.map().get(key)
    }

    pub fn roots(&self) -> BTreeSet<u64> {
        self.cores.values().map(|core| core.map().root()).collect()
    }

    fn record_in_force(&mut self, at: &Arc<str>, entry: Entry) {
        let key = (at.clone(), entry.key);
        if let Some(held) = self.in_force.get(&key) {
            self.reverts += usize::from(*held > entry.stamp);
        }
        self.in_force.insert(key, entry.stamp);
    }
}

pub fn id(number: usize) -> Arc<str> {
    Arc::from(format!("box-{number}"))
}

pub fn centre(number: usize, centres: usize) -> Arc<str> {
    Arc::from(format!("dc-{}", number % centres))
}

pub fn entry(key: &str, generation: u64, change: &str) -> Entry {
    let stamp = Stamp { generation, revision: generation, change: change.into() };
    let text = format!("{key} {generation} {change}");
    Entry { key: key.into(), stamp, deleted: false, text, author: "t".into(), changed_at: 0 }
}

pub fn box_list(boxes: usize, centres: usize) -> Vec<Entry> {
    let member = |number: usize| MemberValue {
        address: format!("127.0.0.1:{}", 1000 + number),
        admin: String::new(),
        data_centre: centre(number, centres).to_string(),
        state: MemberState::Live,
    };
    (0..boxes)
        .map(|number| Entry {
            text: serde_json::to_string(&member(number)).expect("JSON"),
            ..entry(&format!("{BOX_PREFIX}{}", id(number)), number as u64 + 1, "")
        })
        .collect()
}
