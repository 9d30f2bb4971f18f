//! Contents and faults of the store stand-in.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use wingbridge_store::{BoxListing, BoxRecord, CallBudget, KeyListing, KeyRecord, WriteReply};

/// Faults of the store, as set by `/v1/faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call fails.
    pub outage: bool,
    /// Additional delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose answers are lost.
    pub lose_write_answers: u32,
    /// Number of next watch answers that omit the changes.
    pub skip_watch_answers: u32,
    /// Number of next watch answers that contain all keys, unchanged ones included.
    pub repeat_watch_answers: u32,
    /// Maximum rate of calls per second, beyond which calls are refused; 0 for no limit.
    pub calls_per_second: u32,
}

/// Handle of a store, shared by its server and by the code that sets its faults. Clones share the
/// same store.
#[derive(Debug, Clone, Default)]
pub struct StoreHandle {
    shared: Arc<Mutex<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    keys: BTreeMap<String, KeyRecord>,
    revision: u64,
    boxes: BTreeMap<String, BoxRecord>,
    box_revision: u64,
    faults: StoreFaults,
    budget: Option<CallBudget>,
    started: Option<Instant>,
    calls: u64,
    watchers: Vec<Sender<Infallible>>,
}

/// Whether a call is processed.
pub(crate) enum Admission {
    Accepted { delay: Duration },
    Limited,
    Outage,
}

impl StoreHandle {
    /// Creates an empty store without faults.
    pub fn new() -> StoreHandle {
        StoreHandle::default()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.state();
        let rate = f64::from(faults.calls_per_second);
        state.budget = (rate > 0.0).then(|| CallBudget::new(rate, rate));
        state.started = Some(Instant::now());
        state.faults = faults;
    }

    /// Returns the current faults.
    pub fn faults(&self) -> StoreFaults {
        self.state().faults.clone()
    }

    /// Returns the number of calls received. A watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Adds a box to the box list, or replaces its record.
    pub fn set_box(&self, mut record: BoxRecord) {
        let mut state = self.state();
        state.box_revision += 1;
        record.revision = state.box_revision;
        state.boxes.insert(record.box_id.clone(), record);
        state.watchers.clear();
    }

    /// Returns a copy of all keys for [`StoreHandle::restore`].
    pub fn snapshot(&self) -> Vec<KeyRecord> {
        self.state().keys.values().cloned().collect()
    }

    /// Restores an older state, as a restart from a backup does.
    pub fn restore(&self, snapshot: Vec<KeyRecord>) {
        let mut state = self.state();
        state.revision = snapshot.iter().map(|record| record.revision).max().unwrap_or(0);
        state.keys = snapshot.into_iter().map(|record| (record.key.clone(), record)).collect();
        state.watchers.clear();
    }

    /// Returns the record of `key`, if it exists.
    pub fn read(&self, key: &str) -> Option<KeyRecord> {
        self.state().keys.get(key).cloned()
    }

    /// Writes `value` if the revision of `key` is `expected`, where 0 means that it does not exist.
    pub fn write(&self, key: &str, expected: u64, value: &str) -> WriteReply {
        let mut state = self.state();
        let current = state.keys.get(key).map_or(0, |record| record.revision);
        if current != expected {
            return WriteReply { written: false, revision: current };
        }
        state.revision += 1;
        let revision = state.revision;
        let record = KeyRecord { key: key.to_string(), revision, value: value.to_string() };
        state.keys.insert(key.to_string(), record);
        state.watchers.clear();
        WriteReply { written: true, revision }
    }

    pub(crate) fn admit(&self) -> Admission {
        let mut state = self.state();
        state.calls += 1;
        if state.faults.outage {
            return Admission::Outage;
        }
        let since = state.started.map_or(Duration::ZERO, |started| started.elapsed());
        if state.budget.as_mut().is_some_and(|budget| budget.take(since).is_err()) {
            return Admission::Limited;
        }
        Admission::Accepted { delay: Duration::from_millis(state.faults.delay_ms) }
    }

    /// Returns whether the answer to the present write is to be lost, and counts it as lost.
    pub(crate) fn loses_answer(&self) -> bool {
        decrement(&mut self.state().faults.lose_write_answers)
    }

    pub(crate) fn list(&self, after: u64) -> KeyListing {
        let mut state = self.state();
        let revision = state.revision;
        if after > 0 && revision > after && decrement(&mut state.faults.skip_watch_answers) {
            return KeyListing { revision, entries: Vec::new() };
        }
        let repeat = after > 0 && decrement(&mut state.faults.repeat_watch_answers);
        let from = if repeat { 0 } else { after };
        let newer = state.keys.values().filter(|record| record.revision > from);
        KeyListing { revision, entries: newer.cloned().collect() }
    }

    pub(crate) fn list_boxes(&self, after: u64) -> BoxListing {
        let state = self.state();
        let newer = state.boxes.values().filter(|record| record.revision > after);
        BoxListing { revision: state.box_revision, boxes: newer.cloned().collect() }
    }

    /// Returns a channel that closes at the next change, or `None` if something has changed since
    /// the given revisions.
    pub(crate) fn next_change(
        &self,
        keys: Option<u64>,
        boxes: Option<u64>,
    ) -> Option<Receiver<Infallible>> {
        let mut state = self.state();
        let keys_changed = keys.is_some_and(|after| state.revision != after);
        let boxes_changed = boxes.is_some_and(|after| state.box_revision != after);
        if keys_changed || boxes_changed {
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.watchers.push(sender);
        Some(receiver)
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decrements `count` and returns whether it was above 0.
fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
