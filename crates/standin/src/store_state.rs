//! What the store stand-in holds, and its faults.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use wingbridge_store::{BoxListing, BoxRecord, CallBudget, KeyListing, KeyRecord, WriteReply};

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// No call is answered well.
    pub outage: bool,
    /// Each answer is this much later.
    pub delay_ms: u64,
    /// So many of the next writes take effect and are then not answered.
    pub lose_write_answers: u32,
    /// So many of the next watch answers leave out what changed.
    pub skip_watch_answers: u32,
    /// So many of the next watch answers repeat all there is.
    pub repeat_watch_answers: u32,
    /// Calls a second beyond which it refuses; 0 for no limit.
    pub calls_per_second: u32,
}

/// The store, shared between its server and who holds the handle.
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
    waiting: Vec<Sender<Infallible>>,
}

/// What a call meets before it is worked on.
pub(crate) enum CallGate {
    Open { delay: Duration },
    Limited,
    Outage,
}

impl StoreHandle {
    /// An empty store.
    pub fn new() -> StoreHandle {
        StoreHandle::default()
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.state();
        let rate = f64::from(faults.calls_per_second);
        state.budget = (rate > 0.0).then(|| CallBudget::new(rate, rate));
        state.started = Some(Instant::now());
        state.faults = faults;
    }

    /// The faults now.
    pub fn faults(&self) -> StoreFaults {
        self.state().faults.clone()
    }

    /// Calls that were made, waiting watches counted once each.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Adds a box to the list or changes it.
    pub fn set_box(&self, mut record: BoxRecord) {
        let mut state = self.state();
        state.box_revision += 1;
        record.revision = state.box_revision;
        state.boxes.insert(record.box_id.clone(), record);
        state.waiting.clear();
    }

    /// A copy of all keys, to go back to with [`StoreHandle::restore`].
    pub fn snapshot(&self) -> Vec<KeyRecord> {
        self.state().keys.values().cloned().collect()
    }

    /// Goes back to an older state, as after a restart from a backup.
    pub fn restore(&self, snapshot: Vec<KeyRecord>) {
        let mut state = self.state();
        state.revision = snapshot.iter().map(|record| record.revision).max().unwrap_or(0);
        state.keys = snapshot.into_iter().map(|record| (record.key.clone(), record)).collect();
        state.waiting.clear();
    }

    /// One key.
    pub fn read(&self, key: &str) -> Option<KeyRecord> {
        self.state().keys.get(key).cloned()
    }

    /// Writes `value` if the key's revision is `expected`.
    pub fn write(&self, key: &str, expected: u64, value: &str) -> WriteReply {
        let mut state = self.state();
        let held = state.keys.get(key).map_or(0, |record| record.revision);
        if held != expected {
            return WriteReply { written: false, revision: held };
        }
        state.revision += 1;
        let revision = state.revision;
        let record = KeyRecord { key: key.to_string(), revision, value: value.to_string() };
        state.keys.insert(key.to_string(), record);
        state.waiting.clear();
        WriteReply { written: true, revision }
    }

    pub(crate) fn enter(&self) -> CallGate {
        let mut state = self.state();
        state.calls += 1;
        if state.faults.outage {
            return CallGate::Outage;
        }
        let since = state.started.map_or(Duration::ZERO, |started| started.elapsed());
        if state.budget.as_mut().is_some_and(|budget| budget.take(since).is_err()) {
            return CallGate::Limited;
        }
        CallGate::Open { delay: Duration::from_millis(state.faults.delay_ms) }
    }

    /// Whether the answer to the write just made is lost.
    pub(crate) fn loses_answer(&self) -> bool {
        take_one(&mut self.state().faults.lose_write_answers)
    }

    pub(crate) fn list(&self, after: u64) -> KeyListing {
        let mut state = self.state();
        let revision = state.revision;
        if after > 0 && revision > after && take_one(&mut state.faults.skip_watch_answers) {
            return KeyListing { revision, entries: Vec::new() };
        }
        let repeat = after > 0 && take_one(&mut state.faults.repeat_watch_answers);
        let from = if repeat { 0 } else { after };
        let newer = state.keys.values().filter(|record| record.revision > from);
        KeyListing { revision, entries: newer.cloned().collect() }
    }

    pub(crate) fn list_boxes(&self, after: u64) -> BoxListing {
        let state = self.state();
        let newer = state.boxes.values().filter(|record| record.revision > after);
        BoxListing { revision: state.box_revision, boxes: newer.cloned().collect() }
    }

    /// A channel that closes at the next change, if nothing changed after the given revisions.
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
        state.waiting.push(sender);
        Some(receiver)
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
