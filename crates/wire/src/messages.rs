//! Messages between agents, and between an agent and its proxy. Tags are never reused: the tag of a removed
//! field stays unassigned.

use prost::{Message, Oneof};

/// A message with the sender's clock.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Time of the sender's hybrid logical clock.
    #[prost(fixed64, tag = "1")]
    pub clock: u64,
    /// Content of the message.
    #[prost(oneof = "FrameBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<FrameBody>,
}

/// The content of a [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// First message on each connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Entries of configuration or membership.
    #[prost(message, tag = "3")]
    Entries(Entries),
    /// Hash over all of the sender's entries.
    #[prost(message, tag = "4")]
    Digest(Digest),
    /// Hash over the sender's entries, for each bucket of keys.
    #[prost(message, tag = "5")]
    Buckets(Buckets),
    /// Versions of the sender's entries in some buckets.
    #[prost(message, tag = "6")]
    Stamps(Stamps),
    /// Request for entries.
    #[prost(message, tag = "7")]
    Fetch(Fetch),
    /// Observations of a box about its targets.
    #[prost(message, tag = "8")]
    Evidence(Evidence),
    /// Verdicts of an outlier detector.
    #[prost(message, tag = "9")]
    Verdicts(Verdicts),
    /// Notification that a target is draining.
    #[prost(message, tag = "10")]
    Draining(TargetDraining),
    /// Versions of the entries that a proxy has put in force.
    #[prost(message, tag = "11")]
    InForce(Stamps),
    /// State of a proxy, sent periodically.
    #[prost(message, tag = "12")]
    ProxyState(ProxyState),
    /// Events of the event trace.
    #[prost(message, tag = "13")]
    Events(Events),
    /// Whether the proxy may report that it is ready.
    #[prost(message, tag = "14")]
    Readiness(Readiness),
    /// Notification that the agent has sent all of its entries.
    #[prost(message, tag = "15")]
    CaughtUp(CaughtUp),
}

/// The identity of the sender, as the first message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the box.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Data centre of the box.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Identifier that differs after each start, so a restarted box counts as a new one.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

/// The version of a key. Versions are ordered by generation, then revision, then change.
///
/// The generation counts the operators' changes of the key and is part of the value, so that a store that
/// was restored to an older state does not revert any change.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Stamp {
    /// Number of changes of the key.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// Revision of the key in the store.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Identifier of the change.
    #[prost(string, tag = "3")]
    pub change: String,
}

/// The value of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the value.
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
    /// Whether the key was deleted.
    #[prost(bool, tag = "3")]
    pub deleted: bool,
    /// Text of the value.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Author of the change.
    #[prost(string, tag = "5")]
    pub author: String,
    /// Time of the change in milliseconds since 1970, by the author's clock.
    #[prost(uint64, tag = "6")]
    pub changed_at: u64,
}

/// A list of entries.
#[derive(Clone, PartialEq, Message)]
pub struct Entries {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Whether the entries are updates that the receiver should forward to its neighbours.
    #[prost(bool, tag = "2")]
    pub push: bool,
}

/// A hash over all entries of a box.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// Hash over all entries.
    #[prost(fixed64, tag = "1")]
    pub root: u64,
    /// Whether most attempts of the box fail.
    #[prost(bool, tag = "2")]
    pub failing: bool,
    /// Whether this message answers a digest, so that it needs no answer itself.
    #[prost(bool, tag = "3")]
    pub answer: bool,
}

/// Hashes over the entries of a box, one for each bucket of keys.
#[derive(Clone, PartialEq, Message)]
pub struct Buckets {
    /// Hash of each bucket, by bucket number.
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// A key with its version.
#[derive(Clone, PartialEq, Message)]
pub struct KeyStamp {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the value.
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
}

/// Versions of the keys in some buckets.
#[derive(Clone, PartialEq, Message)]
pub struct Stamps {
    /// Versions of the keys.
    #[prost(message, repeated, tag = "1")]
    pub stamps: Vec<KeyStamp>,
    /// Numbers of the buckets that the versions cover completely.
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
}

/// A request for the entries of some keys.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// Names of the requested keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}

/// Observations of a box about its targets.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// Name of the box.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Data centre of the box.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Observations by service.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceEvidence>,
}

/// Observations of a box about one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceEvidence {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Observations by target.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetEvidence>,
}

/// Observations of a box about one target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetEvidence {
    /// Key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Packed samples: kind in bits 0 and 1, latency bucket in bits 2 to 9, count above.
    #[prost(uint32, repeated, tag = "2")]
    pub samples: Vec<u32>,
    /// Highest load that the target reported, in hundredths of its slots; 0 if it reported none.
    #[prost(uint32, tag = "3")]
    pub load: u32,
}

/// A list of verdicts.
#[derive(Clone, PartialEq, Message)]
pub struct Verdicts {
    /// The verdicts.
    #[prost(message, repeated, tag = "1")]
    pub verdicts: Vec<VerdictMessage>,
}

/// The verdict of an outlier detector on one target.
#[derive(Clone, PartialEq, Message)]
pub struct VerdictMessage {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Key of the target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Whether the target was convicted. If not, it was acquitted.
    #[prost(bool, tag = "3")]
    pub convicted: bool,
    /// Scope of the verdict: 0 for the path, 1 for the data centre, 2 for the target.
    #[prost(uint32, tag = "4")]
    pub scope: u32,
    /// Number of recent ejections of the target.
    #[prost(uint32, tag = "5")]
    pub flaps: u32,
    /// Time of the verdict by the detector's clock, in microseconds.
    #[prost(uint64, tag = "6")]
    pub stamp: u64,
    /// Main cause: 0 for errors, 1 for stalls, 2 for slowness.
    #[prost(uint32, tag = "7")]
    pub cause: u32,
}

/// A notification that a target is draining and accepts no new requests.
#[derive(Clone, PartialEq, Message)]
pub struct TargetDraining {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Key of the target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Box that first observed the draining. Together with `number` it identifies the notification, so that
    /// each box forwards it once.
    #[prost(string, tag = "3")]
    pub origin: String,
    /// Number of the notification at its origin.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// The state of a proxy, for operators.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyState {
    /// Targets in any other state than healthy, with the reason.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<TargetState>,
    /// Number of requests that are open or queued.
    #[prost(uint64, tag = "2")]
    pub requests_held: u64,
    /// Whether the proxy accepts requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Whether most attempts of the proxy fail.
    #[prost(bool, tag = "4")]
    pub failing: bool,
}

/// The state of a target in one box.
#[derive(Clone, PartialEq, Message)]
pub struct TargetState {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address of the target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Name of the state in the target health state chart.
    #[prost(string, tag = "3")]
    pub state: String,
    /// Milliseconds since the target entered that state.
    #[prost(uint64, tag = "4")]
    pub for_ms: u64,
    /// Reason in words.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// Scope of the ejection: `path`, `data centre`, `target` or `by hand`; empty if the target is not ejected.
    #[prost(string, tag = "6")]
    pub scope: String,
    /// Whether the box sends no requests to the target.
    #[prost(bool, tag = "7")]
    pub excluded: bool,
    /// Whether the floor keeps the target in service although it was to be ejected.
    #[prost(bool, tag = "8")]
    pub kept_by_floor: bool,
}

/// Events of the event trace.
#[derive(Clone, PartialEq, Message)]
pub struct Events {
    /// The events, each one as JSON.
    #[prost(string, repeated, tag = "1")]
    pub events: Vec<String>,
}

/// Whether a proxy may report that it is ready.
#[derive(Clone, PartialEq, Message)]
pub struct Readiness {
    /// Whether the proxy may be ready.
    #[prost(bool, tag = "1")]
    pub allowed: bool,
    /// Reason if the proxy may not be ready; otherwise empty.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// A notification that the agent has sent all of its entries.
#[derive(Clone, PartialEq, Message)]
pub struct CaughtUp {
    /// Whether the agent itself has synchronized with several peers and the store.
    #[prost(bool, tag = "1")]
    pub complete: bool,
}
