//! Reads the store at the start, and watches it in a few boxes, within a budget of calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;
use rand::SeedableRng;
use rand::rngs::StdRng;
use wingbridge_process::StopSignal;
use wingbridge_spread::members::{BOX_PREFIX, MemberState, MemberValue};
use wingbridge_store::{
    Backoff, BoxListing, BoxRecord, CallBudget, KeyListing, StoreClient, StoreError, StoredValue,
};
use wingbridge_wire::{Entry, Stamp};

use crate::events::AgentEvent;

/// Time that a watch waits for a change at the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a box that does not watch the store for whether it should.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Budget of calls to the store for each of the two lists.
const CALLS_PER_SECOND: f64 = 2.0;
const MAX_CALL_BURST: f64 = 10.0;
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// State that the task shares with the exchange.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreControl {
    /// Whether this box watches the store.
    pub(crate) watch: Arc<AtomicBool>,
}

/// The task that reads and watches the store.
pub(crate) struct StoreSync {
    pub(crate) client: StoreClient,
    pub(crate) events: Sender<AgentEvent>,
    pub(crate) store_control: StoreControl,
    pub(crate) resync_period: Duration,
    pub(crate) stop: StopSignal,
    pub(crate) seed: u64,
}

impl StoreSync {
    /// Runs until `stop` is signalled. The keys and the list of boxes are watched concurrently.
    pub(crate) async fn run(self) {
        let keys = self.sync_list(ListKind::Keys);
        let boxes = self.sync_list(ListKind::Boxes);
        let both = std::pin::pin!(futures::future::join(keys, boxes));
        let stopped = std::pin::pin!(self.stop.wait());
        futures::future::select(both, stopped).await;
    }

    async fn sync_list(&self, kind: ListKind) {
        let mut random = StdRng::seed_from_u64(self.seed ^ kind as u64);
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut budget = CallBudget::new(CALLS_PER_SECOND, MAX_CALL_BURST);
        let started = Instant::now();
        let mut cursor = ListCursor::default();
        loop {
            if cursor.read_once && !self.store_control.watch.load(Ordering::Acquire) {
                task::sleep(IDLE_PAUSE).await;
                continue;
            }
            if let Err(wait) = budget.take(started.elapsed()) {
                task::sleep(wait).await;
                continue;
            }
            match self.read(kind, &mut cursor).await {
                Ok(entries) => {
                    backoff.succeed();
                    let event = AgentEvent::StoreRead { entries, reachable: true };
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::debug!(reason:% = error; "store-call-failed");
                    let event = AgentEvent::StoreRead { entries: Vec::new(), reachable: false };
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                    task::sleep(backoff.fail(&mut random)).await;
                }
            }
        }
    }

    async fn read(
        &self,
        kind: ListKind,
        cursor: &mut ListCursor,
    ) -> Result<Vec<Entry>, StoreError> {
        let full = cursor.full_read_at.is_none_or(|at| at.elapsed() >= self.resync_period);
        let (after, wait) = if full { (0, Duration::ZERO) } else { (cursor.after, WATCH_TIMEOUT) };
        let (revision, entries) = match kind {
            ListKind::Keys => read_keys(self.client.list(after, wait).await?),
            ListKind::Boxes => read_boxes(&self.client.list_boxes(after, wait).await?),
        };
        if full || revision < cursor.after {
            // A revision lower than the last one shows that the store was reset: the next reading
            // is a full one.
            cursor.full_read_at = full.then(Instant::now);
        }
        cursor.after = revision;
        cursor.read_once = true;
        Ok(entries)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListKind {
    Keys = 0,
    Boxes = 1,
}

#[derive(Debug, Default)]
struct ListCursor {
    after: u64,
    full_read_at: Option<Instant>,
    read_once: bool,
}

fn read_keys(listing: KeyListing) -> (u64, Vec<Entry>) {
    let mut entries = Vec::new();
    for record in listing.entries {
        match StoredValue::from_json(&record.value) {
            Ok(value) => entries.push(value.to_entry(&record.key, record.revision)),
            Err(error) => {
                log::error!(key = record.key.as_str(), reason:% = error; "store-value-foreign");
            }
        }
    }
    (listing.revision, entries)
}

fn read_boxes(listing: &BoxListing) -> (u64, Vec<Entry>) {
    (listing.revision, listing.boxes.iter().map(box_entry).collect())
}

/// Converts a box of the platform's list into an entry; the revision of the box is its version.
pub(crate) fn box_entry(record: &BoxRecord) -> Entry {
    let state = if record.state == "leaving" { MemberState::Leaving } else { MemberState::Live };
    let member = MemberValue {
        address: record.address.clone(),
        admin: record.admin.clone(),
        data_centre: record.data_centre.clone(),
        state,
    };
    let revision = record.revision;
    Entry {
        key: format!("{BOX_PREFIX}{}", record.box_id),
        stamp: Stamp { generation: revision, revision, change: String::new() },
        deleted: record.state == "gone",
        text: serde_json::to_string(&member).unwrap_or_default(),
        author: "platform".into(),
        changed_at: 0,
    }
}
