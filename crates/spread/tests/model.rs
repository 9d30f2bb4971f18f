//! Exhaustive exploration of a small specification, with the real map.
//!
//! The specification has three boxes in two data centres, one key and two operators. Operators
//! compare and swap in the store; boxes read it, exchange messages that may be lost, and restart. A
//! graph library explores all states breadth first, up to a bound on steps. In each state, no box's
//! version has decreased, no two operators were granted the same generation, and no box has a
//! version that the store never accepted.
//!
//! The same exploration must find a planted fault, which shows that it can find faults at all.

mod network;

use std::collections::BTreeMap;
use std::sync::Arc;

use pathfinding::directed::bfs::bfs_reach;
use wingbridge_spread::SpreadMap;
use wingbridge_wire::{Entry, Stamp};

use crate::network::entry;

const BOXES: usize = 3;
const DEPTH: u32 = 9;
const MAX_GENERATIONS: u64 = 3;

/// How a box merges a version: with the real map, or with a planted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Merging {
    Real,
    /// The version that arrives last wins.
    LastWins,
}

/// A state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ModelState {
    depth: u32,
    /// The store's version: its generation and the operator that wrote it.
    store: (u64, u8),
    /// Generation that each operator has read and not yet swapped.
    read: [Option<u64>; 2],
    /// Answer that each operator got: none yet, accepted with a generation, or refused.
    answers: [Option<Result<u64, ()>>; 2],
    /// Version of each box.
    boxes: [Option<(u64, u8)>; BOXES],
    /// Pushes in transit: the receiving box and the version.
    in_transit: Vec<(usize, (u64, u8))>,
    /// Whether the version of a box has decreased.
    reverted: bool,
    merging: Merging,
}

impl ModelState {
    fn start(merging: Merging) -> ModelState {
        ModelState {
            depth: 0,
            store: (1, 9),
            read: [None; 2],
            answers: [None; 2],
            boxes: [None; BOXES],
            in_transit: Vec::new(),
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
            state.in_transit.sort();
            next.push(state);
        };
        for operator in 0..2 {
            match self.read[operator] {
                None if self.answers[operator].is_none() => {
                    add(&|state| state.read[operator] = Some(state.store.0));
                }
                Some(seen) if self.store.0 < MAX_GENERATIONS + 1 => {
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
        for index in 0..self.in_transit.len() {
            add(&|state| {
                let (to, version) = state.in_transit.remove(index);
                state.receive(to, version);
            });
            add(&|state| {
                state.in_transit.remove(index);
            });
        }
        next
    }

    fn swap(&mut self, operator: usize, seen: u64) {
        self.read[operator] = None;
        if self.store.0 != seen {
            self.answers[operator] = Some(Err(()));
            return;
        }
        self.store = (seen + 1, operator as u8);
        self.answers[operator] = Some(Ok(seen + 1));
    }

    fn receive(&mut self, number: usize, version: (u64, u8)) {
        let held = self.boxes[number];
        if !self.merge(held, version) {
            return;
        }
        self.reverted |= held.is_some_and(|held| held.0 > version.0);
        self.boxes[number] = Some(version);
        let pushes = (0..BOXES).filter(|other| *other != number).map(|other| (other, version));
        self.in_transit.extend(pushes);
        self.in_transit.sort();
        self.in_transit.dedup();
        self.in_transit.truncate(3);
    }

    /// Returns whether the map merges `version` over `held`.
    fn merge(&self, held: Option<(u64, u8)>, version: (u64, u8)) -> bool {
        let mut map = SpreadMap::default();
        if let Some(held) = held {
            map.merge(&as_entry(held));
        }
        let merged = map.merge(&as_entry(version));
        merged || (self.merging == Merging::LastWins && held.is_some_and(|held| held != version))
    }

    fn violation(&self) -> Option<&'static str> {
        if self.reverted {
            return Some("a box's version decreased");
        }
        let accepted: Vec<u64> =
            self.answers.iter().filter_map(|answer| answer.and_then(Result::ok)).collect();
        if accepted.len() == 2 && accepted[0] == accepted[1] {
            return Some("two operators were granted the same generation");
        }
        let ahead = self.boxes.iter().flatten().any(|held| held.0 > self.store.0);
        ahead.then_some("a box has a version that was never accepted")
    }
}

fn as_entry((generation, writer): (u64, u8)) -> Entry {
    let stamp = Stamp { generation, revision: generation, change: format!("o{writer}") };
    Entry { stamp, ..entry("policy/p", generation, "") }
}

/// Explores all states; returns their number and the first violation.
fn explore(merging: Merging) -> (usize, Option<&'static str>) {
    let mut count = 0;
    for state in bfs_reach(ModelState::start(merging), ModelState::successors) {
        count += 1;
        if let Some(violation) = state.violation() {
            return (count, Some(violation));
        }
    }
    (count, None)
}

#[test]
fn configuration_never_reverts_and_one_concurrent_change_wins() {
    let (states, violation) = explore(Merging::Real);
    println!("{states} states to depth {DEPTH}, {BOXES} boxes, {MAX_GENERATIONS} changes");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn planted_fault_is_found() {
    let (states, violation) = explore(Merging::LastWins);
    println!("found after {states} states");
    assert_eq!(violation, Some("a box's version decreased"));
}

#[test]
fn specification_pushes_like_the_core() {
    // The model pushes to all other boxes, and so does the core in a fleet of three.
    let mut network = network::TestNetwork::new(BOXES, 2);
    network.settle(4);
    network.store_read(0, &[entry("policy/p", 2, "o0")]);
    let mut pushed: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for (_, to, _) in &network.in_transit {
        *pushed.entry(to.clone()).or_default() += 1;
    }
    assert_eq!(pushed.len(), BOXES - 1, "{pushed:?}");
}
