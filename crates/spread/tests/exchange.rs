//! Property tests of the exchange with messages that are lost, repeated and reordered, cut paths
//! and restarted boxes: no version decreases, boxes that reach each other converge, and an accepted
//! change survives while one box that has it stays up.

mod network;

use proptest::prelude::*;
use wingbridge_spread::SpreadMap;
use wingbridge_wire::Entry;

use crate::network::{TestNetwork, box_list, entry, id};

const BOXES: usize = 6;
const CENTRES: usize = 2;

#[derive(Debug, Clone)]
enum Step {
    /// A box reads a change from the store.
    Change {
        at: usize,
        key: usize,
        generation: u64,
        change: u8,
    },
    Deliver {
        which: usize,
    },
    Lose {
        which: usize,
    },
    Repeat {
        which: usize,
    },
    Tick,
    Restart {
        at: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Heal,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..BOXES, 0usize..4, 1u64..6, 0u8..3)
            .prop_map(|(at, key, generation, change)| Step::Change { at, key, generation, change }),
        10 => (0usize..50).prop_map(|which| Step::Deliver { which }),
        3 => (0usize..50).prop_map(|which| Step::Lose { which }),
        2 => (0usize..50).prop_map(|which| Step::Repeat { which }),
        3 => Just(Step::Tick),
        1 => (0..BOXES).prop_map(|at| Step::Restart { at }),
        1 => (0..BOXES, 0..BOXES).prop_map(|(from, to)| Step::Cut { from, to }),
        1 => Just(Step::Heal),
    ]
}

fn apply_step(network: &mut TestNetwork, step: &Step) {
    let pending = network.in_transit.len();
    match *step {
        Step::Change { at, key, generation, change } => {
            let entry = entry(&format!("policy/p{key}"), generation, &format!("c{change}"));
            network.store_read(at, &[entry]);
        }
        Step::Deliver { which } if pending > 0 => network.deliver(which % pending),
        Step::Lose { which } if pending > 0 => drop(network.in_transit.remove(which % pending)),
        Step::Repeat { which } if pending > 0 => {
            let message = network.in_transit[which % pending].clone();
            network.in_transit.push(message);
        }
        Step::Tick => network.tick_all(),
        Step::Restart { at } => {
            network.start_box(at, CENTRES);
            network.store_read(at, &box_list(BOXES, CENTRES));
        }
        Step::Cut { from, to } => drop(network.cut.insert((id(from), id(to)))),
        Step::Heal => network.cut.clear(),
        _ => {}
    }
}

/// Returns the highest version of a key that any box has.
fn highest(network: &TestNetwork, key: &str) -> Option<Entry> {
    let held = network.cores.values().filter_map(|core| core.map().get(key));
    held.max_by(|one, other| one.stamp.cmp(&other.stamp)).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn versions_never_decrease_and_boxes_converge(steps in prop::collection::vec(step(), 1..150)) {
        let mut network = TestNetwork::new(BOXES, CENTRES);
        network.settle(4);
        let mut accepted: Vec<Option<Entry>> = vec![None; 4];
        for step in &steps {
            apply_step(&mut network, step);
            prop_assert_eq!(network.reverts, 0);
            for (key, best) in accepted.iter_mut().enumerate() {
                let held = highest(&network, &format!("policy/p{key}"));
                // A version may be lost only if the last box that had it was restarted.
                if !matches!(step, Step::Restart { .. }) {
                    let before = best.as_ref().map(|entry| &entry.stamp);
                    prop_assert!(held.as_ref().map(|entry| &entry.stamp) >= before);
                }
                *best = held;
            }
        }
        network.cut.clear();
        network.settle(40);
        prop_assert_eq!(network.roots().len(), 1, "boxes that reach each other have different maps");
        for (key, best) in accepted.iter().enumerate() {
            // A message in transit may have delivered a higher version than any box had.
            let held = network.holds(0, &format!("policy/p{key}")).map(|entry| &entry.stamp);
            let expected = best.as_ref().map(|entry| &entry.stamp);
            prop_assert!(held >= expected, "an accepted change was lost");
        }
    }

    /// Merging gives the same map for any order and number of repetitions.
    #[test]
    fn merging_is_commutative_and_idempotent(
        entries in prop::collection::vec((0usize..4, 1u64..5, 0u8..3), 1..20),
rotation in any::<usize>(),
    ) {
        let entries: Vec<Entry> = entries.iter()
            .map(|(key, generation, change)| entry(&format!("k{key}"), *generation, &format!("c{change}")))
            .collect();
        let merge = |entries: &[Entry]| {
            let mut map = SpreadMap::default();
            entries.iter().for_each(|entry| { map.merge(entry); });
            map
        };
        let in_order = merge(&entries);
        let mut reordered = entries.clone();
reordered.rotate_left(rotation % entries.len());
reordered.reverse();
reordered.extend(entries.iter().cloned());
        let reordered = merge(&reordered);
        prop_assert_eq!(in_order.root(), reordered.root());
        prop_assert!(in_order.entries().eq(reordered.entries()));
    }
}

#[test]
fn new_box_is_complete_only_with_the_map_of_its_peers() {
    let mut network = TestNetwork::new(BOXES, CENTRES);
    network.store_read(0, &[entry("policy/p", 7, "c")]);
    network.settle(10);
    // The store is unavailable: the new box learns the member list from a peer only.
    network.start_box(3, CENTRES);
    let core = network.cores.get_mut(&id(3)).expect("started");
    core.set_seed_peers(vec![id(0)]);
    assert!(!core.is_complete());
    network.settle(1);
    network.settle(10);
    assert!(network.cores[&id(3)].is_complete());
    assert_eq!(network.holds(3, "policy/p").map(|entry| entry.stamp.generation), Some(7));
}

#[test]
fn reset_store_does_not_revert_versions() {
    let mut network = TestNetwork::new(BOXES, CENTRES);
    network.store_read(0, &[entry("policy/p", 7, "new")]);
    network.settle(10);
    for number in 0..BOXES {
        network.store_read(number, &[entry("policy/p", 5, "old")]);
    }
    network.settle(10);
    assert_eq!(network.reverts, 0);
    assert!((0..BOXES).all(|number| {
        network.holds(number, "policy/p").is_some_and(|entry| entry.stamp.generation == 7)
    }));
}

#[test]
fn loss_of_a_box_moves_only_its_own_services() {
    let network = TestNetwork::new(40, 3);
    let all = network.cores[&id(0)].members().clone();
    let removed = id(3);
    let services: Vec<String> = (0..200).map(|number| format!("service-{number}")).collect();
    let detectors = |service: &str| all.detectors(service, "dc-0");
    let mut moved = 0;
    let mut smaller = TestNetwork::new(40, 3);
    let mut list = box_list(40, 3);
    list.retain(|entry| entry.key.ends_with(&*removed));
    list[0].deleted = true;
    list[0].stamp.generation += 1000;
    smaller.store_read(0, &list);
    let remaining = smaller.cores[&id(0)].members().clone();
    for service in &services {
        let before = detectors(service);
        let after = remaining.detectors(service, "dc-0");
        let kept = before.iter().filter(|detector| after.contains(detector)).count();
        let lost = usize::from(before.contains(&removed));
        assert_eq!(kept, before.len() - lost, "{service}");
        moved += lost;
    }
    assert!(moved > 0 && moved < services.len());
}
