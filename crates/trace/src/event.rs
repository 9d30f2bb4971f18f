//! Events, the ring that keeps them, and their merge.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::clock::HybridClock;

/// Something that happened in one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TraceEvent {
    /// The process's hybrid logical clock.
    pub stamp: u64,
    /// The box.
    pub box_id: String,
    /// The program.
    pub process: String,
    /// What happened, from a fixed list in the docs.
    pub kind: String,
    /// The particulars.
    pub fields: BTreeMap<String, String>,
}

/// The last events of one process. Clones share the same ring.
#[derive(Debug, Clone)]
pub struct EventTrace {
    shared: Arc<SharedLine>,
}

#[derive(Debug)]
struct SharedLine {
    clock: HybridClock,
    box_id: String,
    process: String,
    capacity: usize,
    ring: Mutex<EventRing>,
}

#[derive(Debug, Default)]
struct EventRing {
    events: VecDeque<TraceEvent>,
    unsent: VecDeque<TraceEvent>,
    dropped: u64,
}

impl EventTrace {
    /// A ring of `capacity` events for one process.
    pub fn new(box_id: &str, process: &str, capacity: usize) -> EventTrace {
        let shared = SharedLine {
            clock: HybridClock::new(),
            box_id: box_id.to_string(),
            process: process.to_string(),
            capacity,
            ring: Mutex::default(),
        };
        EventTrace { shared: Arc::new(shared) }
    }

    /// The process's clock.
    pub fn clock(&self) -> &HybridClock {
        &self.shared.clock
    }

    /// Notes an event and returns it.
    pub fn record(&self, kind: &str, fields: &[(&str, &str)]) -> TraceEvent {
        let fields = fields.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        let event = TraceEvent {
            stamp: self.shared.clock.tick(),
            box_id: self.shared.box_id.clone(),
            process: self.shared.process.clone(),
            kind: kind.to_string(),
            fields: fields.collect(),
        };
        self.keep(event.clone(), true);
        event
    }

    /// Keeps another process's event beside the own ones.
    pub fn record_remote(&self, event: TraceEvent) {
        self.clock().observe(event.stamp);
        self.keep(event, false);
    }

    /// All events in the ring, oldest first.
    pub fn events(&self) -> Vec<TraceEvent> {
        self.ring().events.iter().cloned().collect()
    }

    /// Takes the own events that were not taken before.
    pub fn take_unsent(&self) -> Vec<TraceEvent> {
        self.ring().unsent.drain(..).collect()
    }

    /// How many events the ring had no room for.
    pub fn dropped(&self) -> u64 {
        self.ring().dropped
    }

    fn keep(&self, event: TraceEvent, own: bool) {
        let mut ring = self.ring();
        if ring.events.len() >= self.shared.capacity {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        if own {
            if ring.unsent.len() >= self.shared.capacity {
                ring.unsent.pop_front();
            }
            ring.unsent.push_back(event.clone());
        }
        ring.events.push_back(event);
    }

    fn ring(&self) -> std::sync::MutexGuard<'_, EventRing> {
        // A panic while the ring is held leaves at worst one event less in it.
        self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Merges events of many processes into one order that keeps causes before
/// effects. The same event heard from two sides stands once.
pub fn merge_events(events: impl IntoIterator<Item = TraceEvent>) -> Vec<TraceEvent> {
    let unique: BTreeSet<TraceEvent> = events.into_iter().collect();
    unique.into_iter().collect()
}
