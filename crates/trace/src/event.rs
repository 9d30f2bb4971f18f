//! Events, the bounded buffer that holds them, and the merge of several processes' events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::clock::HybridClock;

/// An event in one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TraceEvent {
    /// The time stamp of the process's hybrid logical clock.
    pub stamp: u64,
    /// The id of the box.
    pub box_id: String,
    /// The name of the program.
    pub process: String,
    /// The kind of the event, from the fixed list in the documentation.
    pub kind: String,
    /// Details of the event, by name.
    pub fields: BTreeMap<String, String>,
}

/// The most recent events of one process. Clones share the buffer.
#[derive(Debug, Clone)]
pub struct EventTrace {
    shared: Arc<SharedTrace>,
}

#[derive(Debug)]
struct SharedTrace {
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
    /// Creates a buffer of `capacity` events for one process.
    pub fn new(box_id: &str, process: &str, capacity: usize) -> EventTrace {
        let shared = SharedTrace {
            clock: HybridClock::new(),
            box_id: box_id.to_string(),
            process: process.to_string(),
            capacity,
            ring: Mutex::default(),
        };
        EventTrace { shared: Arc::new(shared) }
    }

    /// Returns the process's clock.
    pub fn clock(&self) -> &HybridClock {
        &self.shared.clock
    }

    /// Records an event of this process and returns it.
    pub fn record(&self, kind: &str, fields: &[(&str, &str)]) -> TraceEvent {
        let fields = fields.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        let event = TraceEvent {
            stamp: self.shared.clock.tick(),
            box_id: self.shared.box_id.clone(),
            process: self.shared.process.clone(),
            kind: kind.to_string(),
            fields: fields.collect(),
        };
        self.push(event.clone(), true);
        event
    }

    /// Records an event of another process and advances the clock to its stamp.
    pub fn record_remote(&self, event: TraceEvent) {
        self.clock().observe(event.stamp);
        self.push(event, false);
    }

    /// Returns all events in the buffer, in the order in which they were recorded.
    pub fn events(&self) -> Vec<TraceEvent> {
        self.ring().events.iter().cloned().collect()
    }

    /// Returns the events of this process that no earlier call returned.
    pub fn take_unsent(&self) -> Vec<TraceEvent> {
        self.ring().unsent.drain(..).collect()
    }

    /// Returns how many events were overwritten by later ones.
    pub fn dropped(&self) -> u64 {
        self.ring().dropped
    }

    fn push(&self, event: TraceEvent, own: bool) {
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
        // A panic while the lock is held loses at most one event.
        self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Merges events of several processes into one order in which causes precede their effects.
/// Duplicates of an event are removed.
pub fn merge_events(events: impl IntoIterator<Item = TraceEvent>) -> Vec<TraceEvent> {
    let unique: BTreeSet<TraceEvent> = events.into_iter().collect();
    unique.into_iter().collect()
}
