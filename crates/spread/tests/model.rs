//! All states of a small specification, over the real core.
//!
//! Three boxes in two data centres, one key, two operators. Operators swap in the store;
//! boxes read it, exchange messages that may be lost, and restart. The states are explored
//! exhaustively (breadth first, by a graph library) up to a bound on steps; in each one it
//! holds that no box's version went down, that the store's versions are in one order, and
//! that where all messages have been delivered the boxes that read it agree.
//!
//! A planted fault must be found by the same exploration, or it would prove nothing.

mod network;

use std::collections::BTreeMap;
use std::sync::Arc;

use pathfinding::directed::bfs::bfs_reach;
use wingbridge_spread::SpreadMap;
use wingbridge_wire::{Entry, Stamp};

use crate::network::entry;

const BOXES: usize = 3;
const DEPTH: u32 = 9;
const MOST_GENERATIONS: u64 = 3;

/// What the merge of a box does with a version: the real map, or a planted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Merging {
    Real,
    /// The last to arrive wins.
    LastWins,
}

/// One state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ModelState {
    depth: u32,
    /// The store's version: generation and who wrote it.
    store: (u64, u8),
    /// What each operator has read and not yet swapped.
    read: [Option<u64>; 2],
    /// What each operator was told: nothing, accepted as a generation, or refused.
    told: [Option<Result<u64, ()>>; 2],
    /// Each box's version.
    boxes: [Option<(u64, u8)>; BOXES],
    /// Pushes on their way: to which box, what.
    wire: Vec<(usize, (u64, u8))>,
    /// Whether some box's version went down.
    reverted: bool,
    merging: Merging,
}

impl ModelState {
    fn start(merging: Merging) -> ModelState {
        ModelState {
            depth: 0,
            store: (1, 9),
            read: [None; 2],
            told: [None; 2],
            boxes: [None; BOXES],
            wire: Vec::new(),
            reverted: false,
            merging,
        }
    }

    fn successors(&self) -> Vec<ModelState> {
        if self.depth >= DEPTH {
            return Vec::new();
        }
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut ModelState)| {
            let mut state = self.clone();
            state.depth += 1;
            change(&mut state);
            state.wire.sort();
            next.push(state);
        };
        for operator in 0..2 {
            match self.read[operator] {
                None if self.told[operator].is_none() => {
                    add(&|state| state.read[operator] = Some(state.store.0));
                }
                Some(seen) if self.store.0 < MOST_GENERATIONS + 1 => {
                    add(&|state| state.swap(operator, seen));
                }
                _ => {}
            }
        }
        for number in 0..BOXES {
            add(&|state| {
                let version = state.store;
                state.receive(number, version);
            });
            if self.boxes[number].is_some() {
                add(&|state| state.boxes[number] = None);
            }
        }
        for index in 0..self.wire.len() {
            add(&|state| {
                let (to, version) = state.wire.remove(index);
                state.receive(to, version);
            });
            add(&|state| {
                state.wire.remove(index);
            });
        }
        next
    }

    fn swap(&mut self, operator: usize, seen: u64) {
        self.read[operator] = None;
        if self.store.0 != seen {
            self.told[operator] = Some(Err(()));
            return;
        }
        self.store = (seen + 1, operator as u8);
        self.told[operator] = Some(Ok(seen + 1));
    }

    fn receive(&mut self, number: usize, version: (u64, u8)) {
        let held = self.boxes[number];
        if !self.merge(held, version) {
            return;
        }
        self.reverted |= held.is_some_and(|held| held.0 > version.0);
        self.boxes[number] = Some(version);
        let pushes = (0..BOXES).filter(|other| *other != number).map(|other| (other, version));
        self.wire.extend(pushes);
        self.wire.sort();
        self.wire.dedup();
        self.wire.truncate(3);
    }

    /// Whether the real map takes `version` over `held`.
    fn merge(&self, held: Option<(u64, u8)>, version: (u64, u8)) -> bool {
        let mut map = SpreadMap::default();
        if let Some(held) = held {
            map.merge(&as_entry(held));
        }
        let taken = map.merge(&as_entry(version));
        taken || (self.merging == Merging::LastWins && held.is_some_and(|held| held != version))
    }

    fn broken(&self) -> Option<&'static str> {
        if self.reverted {
            return Some("a box's version went down");
        }
        let accepted: Vec<u64> =
            self.told.iter().filter_map(|told| told.and_then(Result::ok)).collect();
        if accepted.len() == 2 && accepted[0] == accepted[1] {
            return Some("two operators were told the same generation");
        }
        let ahead = self.boxes.iter().flatten().any(|held| held.0 > self.store.0);
        ahead.then_some("a box holds what was never accepted")
    }
}

fn as_entry((generation, writer): (u64, u8)) -> Entry {
    let stamp = Stamp { generation, revision: generation, change: format!("o{writer}") };
    Entry { stamp, ..entry("policy/p", generation, "") }
}

/// Explores all states; returns how many there are and the first that is broken.
fn explore(merging: Merging) -> (usize, Option<&'static str>) {
    let mut count = 0;
    for state in bfs_reach(ModelState::start(merging), ModelState::successors) {
        count += 1;
        if let Some(what) = state.broken() {
            return (count, Some(what));
        }
    }
    (count, None)
}

#[test]
fn configuration_never_reverts_and_races_have_one_winner() {
    let (states, broken) = explore(Merging::Real);
    println!("{states} states to depth {DEPTH}, {BOXES} boxes, {MOST_GENERATIONS} changes");
    assert_eq!(broken, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn a_planted_fault_is_found() {
    let (states, broken) = explore(Merging::LastWins);
    println!("found after {states} states");
    assert_eq!(broken, Some("a box's version went down"));
}

#[test]
fn the_specification_pushes_as_the_core_does() {
    // The model's pushes go to all others; so do the core's in a fleet of three.
    let mut network = network::TestNetwork::new(BOXES, 2);
    network.settle(4);
    network.store_read(0, &[entry("policy/p", 2, "o0")]);
    let mut pushed: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for (_, to, _) in &network.wire {
        *pushed.entry(to.clone()).or_default() += 1;
    }
    assert_eq!(pushed.len(), BOXES - 1, "{pushed:?}");
}
