//! What a box needs of its environment, in the product's own terms.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use wingbridge_decide::Name;
use wingbridge_process::suspension::suspended_time;

use crate::routes::RouteConfig;
use crate::view::{ConfigText, StoreView, TargetEntry};

/// Why a call to the store gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The store did not answer in time, or the connection failed.
    Unreachable,
    /// The store turned the call away.
    Refused,
    /// The answer can't be used.
    Malformed,
}

/// A failed call to the store.
#[derive(Debug, Clone)]
pub struct StoreError {
    kind: StoreErrorKind,
    reason: String,
}

impl StoreError {
    /// An error with one line that says why.
    pub fn new(kind: StoreErrorKind, reason: impl Into<String>) -> StoreError {
        StoreError { kind, reason: reason.into() }
    }

    /// What kind of failure it is.
    pub fn kind(&self) -> StoreErrorKind {
        self.kind
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for StoreError {}

/// All targets at one revision of the store.
#[derive(Debug, Clone, Default)]
pub struct TargetListing {
    /// All changes up to here are in it.
    pub revision: u64,
    /// The targets, in the order of their names.
    pub targets: Vec<TargetEntry>,
    /// Data centres whose targets operators want nothing sent to, in the order of their names.
    pub evacuated: Vec<Name>,
}

/// What was written in the store since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePoll {
    /// This.
    Changed(Box<StoreChanges>),
    /// The store has forgotten: only a reading tells.
    Forgotten,
}

/// Changes of the store, the last one of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// All changes up to here are in it.
    pub revision: u64,
    /// Targets that were written, also if with nothing but a sign of life.
    pub written: Vec<TargetEntry>,
    /// Targets whose entries are gone, or can't be used any more.
    pub removed: Vec<Name>,
    /// Data centres whose targets operators want nothing sent to, and those that were taken back.
    pub evacuated: Vec<Name>,
    /// The latter.
    pub restored: Vec<Name>,
    /// The configuration, if it was written.
    pub config: Option<ConfigText>,
}

/// What the store says of a configuration that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigPoll {
    /// It was not written since.
    Unchanged,
    /// It was.
    Changed(ConfigText),
    /// The store has forgotten: only a reading tells.
    Forgotten,
}

/// The store, and the formats of the environment.
pub trait EnvironmentPort: Send + Sync + 'static {
    /// Reads the configuration and all targets in one call.
    fn read_all(&self) -> BoxFuture<'_, Result<StoreView, StoreError>>;

    /// Reads all targets.
    fn read_targets(&self) -> BoxFuture<'_, Result<TargetListing, StoreError>>;

    /// Asks what was written after the store's revision `after`, without waiting for it.
    fn poll_changes(&self, after: u64) -> BoxFuture<'_, Result<StorePoll, StoreError>>;

    /// Reads the configuration, if there is one.
    fn read_config(&self) -> BoxFuture<'_, Result<Option<ConfigText>, StoreError>>;

    /// Asks whether the configuration was written after the store's revision `after`,
    /// without waiting for it.
    fn poll_config(&self, after: u64) -> BoxFuture<'_, Result<ConfigPoll, StoreError>>;

    /// The addresses of boxes that others have left in the store.
    fn read_bootstrap_addresses(&self) -> BoxFuture<'_, Result<Vec<IpAddr>, StoreError>>;

    /// Leaves the addresses of some boxes of a data centre in the store.
    fn write_bootstrap_addresses<'a>(
        &'a self,
        data_centre: &'a str,
        hosts: &'a [IpAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Leaves a note of requests that end targets in the store, in place of the data centre's last one.
    /// Readings of all bring it back.
    fn write_crash_note<'a>(
        &'a self,
        data_centre: &'a str,
        note: &'a [u8],
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Time for which this machine was suspended so far. [`Instant`](std::time::Instant) doesn't count it.
    fn suspended(&self) -> Duration {
        suspended_time()
    }

    /// Decodes a configuration as the store holds it.
    ///
    /// # Errors
    /// One line on what can't be used.
    fn decode_config(&self, text: &[u8]) -> Result<RouteConfig, String>;

    /// The names of the headers that carry what requests and answers tell.
    fn headers(&self) -> Arc<HeaderNames>;
}

/// Names of headers, by what they carry.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of the request, returned by targets.
    pub request_id: String,
    /// Milliseconds that are left, from the caller and towards the target.
    pub remaining_time: String,
    /// Which instance is meant, towards the target.
    pub expected_instance: String,
    /// The target's proof that it made the answer.
    pub proof: String,
    /// The target's word that it ran nothing.
    pub not_run: String,
    /// The target's load: running, waiting, slots.
    pub load: String,
    /// The key of a customer, from the caller. Targets never see it.
    pub customer_key: String,
    /// The name of the customer whose request it is, towards the target.
    pub customer: String,
    /// A target's word in each of its answers that it leaves: "1".
    pub draining: String,
    /// The requests a second that a target takes from all boxes together, as a decimal number in
    /// each of its answers, for as long as it has that limit.
    pub limit: String,
    /// Seconds, or a date, after which a refused caller may come back, and a box to a target that
    /// turned it away.
    pub retry_after: String,
}
