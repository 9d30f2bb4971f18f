//! The interface between a box and its environment. An adapter implements [`EnvironmentPort`] for the
//! store, the stored formats and the headers of a platform.

use std::fmt;
use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::BoxFuture;
use wingbridge_decide::Name;
use wingbridge_process::suspension::suspended_time;

use crate::routes::RouteConfig;
use crate::store_revision::StoreRevision;
use crate::view::{ConfigText, StoreView, TargetEntry};

/// The kind of a [`StoreError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The connection failed, or the store did not answer in time.
    Unreachable,
    /// The store answered with a status other than success.
    Refused,
    /// The answer is malformed.
    Malformed,
}

/// A failed call to the store.
#[derive(Debug, Clone)]
pub struct StoreError {
    kind: StoreErrorKind,
    reason: String,
}

impl StoreError {
    /// Creates an error with a reason of one line.
    pub fn new(kind: StoreErrorKind, reason: impl Into<String>) -> StoreError {
        StoreError { kind, reason: reason.into() }
    }

    /// Returns the kind of the failure.
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
    /// Revision of the store up to which all changes are included.
    pub revision: StoreRevision,
    /// The targets, ordered by name.
    pub targets: Vec<TargetEntry>,
    /// Data centres that operators have evacuated, ordered by name.
    pub evacuated: Vec<Name>,
}

/// The result of polling the store for changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePoll {
    /// The changes; there may be none.
    Changed(Box<StoreChanges>),
    /// The store no longer has the changes after the revision: all must be read.
    HistoryDiscarded,
}

/// Changes of the store: the last one of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// Revision of the store up to which all changes are included.
    pub revision: StoreRevision,
    /// Entries that were written, including entries that differ only in the heartbeat of their target.
    pub written: Vec<TargetEntry>,
    /// Targets whose entries were deleted or have become unusable.
    pub removed: Vec<Name>,
    /// Data centres that operators have evacuated.
    pub evacuated: Vec<Name>,
    /// Data centres whose evacuation was revoked.
    pub restored: Vec<Name>,
    /// The new configuration, if it was written.
    pub config: Option<ConfigText>,
    /// Encoded notes about poison requests that were written.
    pub crash_notes: Vec<Vec<u8>>,
}

/// The result of polling the store for a change of the configuration after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigPoll {
    /// The configuration was not written after the revision.
    Unchanged,
    /// The configuration was written; this is the newest one.
    Changed(ConfigText),
    /// The store can't report the changes after the revision: the configuration must be read.
    HistoryDiscarded,
}

/// Access to the store and to the formats of the environment.
pub trait EnvironmentPort: Send + Sync + 'static {
    /// Reads the configuration and all targets together.
    fn read_all(&self) -> BoxFuture<'_, Result<StoreView, StoreError>>;

    /// Reads all targets.
    fn read_targets(&self) -> BoxFuture<'_, Result<TargetListing, StoreError>>;

    /// Polls for changes after the store's revision `after`, without waiting for one.
    fn poll_changes(&self, after: StoreRevision) -> BoxFuture<'_, Result<StorePoll, StoreError>>;

    /// Reads the configuration, if there is one.
    fn read_config(&self) -> BoxFuture<'_, Result<Option<ConfigText>, StoreError>>;

    /// Polls for a change of the configuration after the store's revision `after`, without waiting for
    /// one.
    fn poll_config(&self, after: StoreRevision) -> BoxFuture<'_, Result<ConfigPoll, StoreError>>;

    /// Reads the addresses of boxes that were written to the store as bootstrap addresses.
    fn read_bootstrap_addresses(&self) -> BoxFuture<'_, Result<Vec<IpAddr>, StoreError>>;

    /// Writes the addresses of some boxes of a data centre to the store, in place of the previous ones.
    fn write_bootstrap_addresses<'a>(
        &'a self,
        data_centre: &'a str,
        hosts: &'a [IpAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Writes a note about poison requests to the store, in place of the previous note of the data
    /// centre. [`read_all`](Self::read_all) returns the notes.
    fn write_crash_note<'a>(
        &'a self,
        data_centre: &'a str,
        note: &'a [u8],
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Reads the secret by which boxes recognize each other, and creates it if there is none. Nobody but boxes can read
    /// it.
    fn fleet_secret(&self) -> BoxFuture<'_, Result<String, StoreError>>;

    /// Opens a connection to the target at `address`.
    fn connect_target<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }

    /// Returns the total time for which this machine was suspended.
    /// [`Instant`](std::time::Instant) doesn't count it.
    fn suspended(&self) -> Duration {
        suspended_time()
    }

    /// Decodes a configuration from its stored form.
    ///
    /// # Errors
    /// Returns a description, in one line, of the part that is invalid.
    fn decode_config(&self, text: &[u8]) -> Result<RouteConfig, String>;

    /// Returns the names of the headers that the box reads and writes.
    fn headers(&self) -> Arc<HeaderNames>;
}

/// Names of headers, by their content.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of the request, which targets return.
    pub request_id: String,
    /// Remaining time in milliseconds: from the caller to the box, and from the box to the target.
    pub remaining_time: String,
    /// The instance that the request is meant for, sent to the target.
    pub expected_instance: String,
    /// The target's proof that it produced the answer.
    pub proof: String,
    /// The target's statement that it did not run the request.
    pub not_run: String,
    /// The target's load: running requests, waiting requests, slots.
    pub load: String,
    /// The key of a customer, sent by the caller and never forwarded to targets.
    pub customer_key: String,
    /// The name of the customer who the request belongs to, sent to the target.
    pub customer: String,
    /// The target's statement that it is draining: "1" in each of its answers.
    pub draining: String,
    /// The limit of a target that has one: requests per second from all boxes together, as a decimal
    /// number in each of its answers.
    pub limit: String,
    /// The seconds or the date after which a refused caller may retry, and after which the box may send
    /// requests to a target that refused one.
    pub retry_after: String,
}
