//! The messages. Tags are never reused; a field that is gone leaves its tag free.

use prost::{Message, Oneof};

/// One message with the sender's clock.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The sender's hybrid logical clock.
    #[prost(fixed64, tag = "1")]
    pub clock: u64,
    /// What is said.
    #[prost(oneof = "FrameBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<FrameBody>,
}

/// What a message says.
#[derive(Clone, PartialEq, Oneof)]
pub enum FrameBody {
    /// First on each connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Entries of configuration or membership.
    #[prost(message, tag = "3")]
    Entries(Entries),
    /// What the sender holds, in short.
    #[prost(message, tag = "4")]
    Digest(Digest),
    /// What the sender holds, per bucket.
    #[prost(message, tag = "5")]
    Buckets(Buckets),
    /// The stamps that the sender holds in some buckets.
    #[prost(message, tag = "6")]
    Stamps(Stamps),
    /// Asks for entries.
    #[prost(message, tag = "7")]
    Fetch(Fetch),
    /// What a box saw.
    #[prost(message, tag = "8")]
    Evidence(Evidence),
    /// What a judge found.
    #[prost(message, tag = "9")]
    Verdicts(Verdicts),
    /// A target is leaving.
    #[prost(message, tag = "10")]
    Draining(TargetDraining),
    /// What a proxy has put in force.
    #[prost(message, tag = "11")]
    InForce(Stamps),
    /// A proxy's state, sent regularly.
    #[prost(message, tag = "12")]
    ProxyState(ProxyState),
    /// Events of the time line.
    #[prost(message, tag = "13")]
    Events(Events),
    /// Whether the proxy may be ready.
    #[prost(message, tag = "14")]
    Readiness(Readiness),
    /// All entries that the agent holds have been sent.
    #[prost(message, tag = "15")]
    CaughtUp(CaughtUp),
}

/// Who is at the other end.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The box.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Another number after each start, so a box that returns is a new box.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}

/// The order of two versions of one key: generation, then revision, then change.
/// The generation counts the operators' changes of that key and is part of the
/// value, so that a store that went back to an older state takes nothing back.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Stamp {
    /// Counts the changes of the key.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The store's revision of the key.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The change's id.
    #[prost(string, tag = "3")]
    pub change: String,
}

/// One key's value.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its version.
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
    /// Whether the key is deleted.
    #[prost(bool, tag = "3")]
    pub deleted: bool,
    /// The value's text.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Who changed it.
    #[prost(string, tag = "5")]
    pub author: String,
    /// When, in milliseconds since 1970, on the author's clock.
    #[prost(uint64, tag = "6")]
    pub changed_at: u64,
}

/// Several entries.
#[derive(Clone, PartialEq, Message)]
pub struct Entries {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Whether they are news that the receiver should push on.
    #[prost(bool, tag = "2")]
    pub push: bool,
}

/// A hash over all that a box holds.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The hash.
    #[prost(fixed64, tag = "1")]
    pub root: u64,
    /// Whether most of what the box tries fails.
    #[prost(bool, tag = "2")]
    pub failing: bool,
    /// Whether this answers a digest, so that it needs no answer.
    #[prost(bool, tag = "3")]
    pub answer: bool,
}

/// A hash for each bucket of keys.
#[derive(Clone, PartialEq, Message)]
pub struct Buckets {
    /// The hashes, by bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub hashes: Vec<u64>,
}

/// A key's version.
#[derive(Clone, PartialEq, Message)]
pub struct KeyStamp {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its version.
    #[prost(message, required, tag = "2")]
    pub stamp: Stamp,
}

/// Versions of several keys.
#[derive(Clone, PartialEq, Message)]
pub struct Stamps {
    /// The versions.
    #[prost(message, repeated, tag = "1")]
    pub stamps: Vec<KeyStamp>,
    /// Which buckets they cover, whole.
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
}

/// Asks for the entries of some keys.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}

/// What a box saw of its targets.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// The box.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// What it saw, per service.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceEvidence>,
}

/// What a box saw of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceEvidence {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// What it saw, per target.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetEvidence>,
}

/// What a box saw of one target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetEvidence {
    /// The target's key.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Samples, packed: kind in bits 0 and 1, latency bucket in bits 2 to 9, count above.
    #[prost(uint32, repeated, tag = "2")]
    pub samples: Vec<u32>,
    /// The highest load that it reported, in hundredths of its slots; 0 if it did not.
    #[prost(uint32, tag = "3")]
    pub load: u32,
}

/// What judges found.
#[derive(Clone, PartialEq, Message)]
pub struct Verdicts {
    /// The verdicts.
    #[prost(message, repeated, tag = "1")]
    pub verdicts: Vec<VerdictMessage>,
}

/// What a judge found about one target.
#[derive(Clone, PartialEq, Message)]
pub struct VerdictMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The target's key.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Whether it was convicted; else it was acquitted.
    #[prost(bool, tag = "3")]
    pub convicted: bool,
    /// For whom: 0 path, 1 data centre, 2 target.
    #[prost(uint32, tag = "4")]
    pub scope: u32,
    /// How often it was ejected lately.
    #[prost(uint32, tag = "5")]
    pub flaps: u32,
    /// The judge's clock, in microseconds.
    #[prost(uint64, tag = "6")]
    pub stamp: u64,
    /// What speaks for it most: 0 errors, 1 stalls, 2 slowness.
    #[prost(uint32, tag = "7")]
    pub cause: u32,
}

/// A target takes no new work.
#[derive(Clone, PartialEq, Message)]
pub struct TargetDraining {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The target's key.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Who saw it first, and its number there: the same news is passed on once.
    #[prost(string, tag = "3")]
    pub origin: String,
    /// The number at the origin.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// A proxy's state, for operators.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyState {
    /// Targets that are not simply healthy, and why.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<TargetState>,
    /// Requests that are open or wait.
    #[prost(uint64, tag = "2")]
    pub requests_held: u64,
    /// Whether it takes requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Whether most of what it tries fails.
    #[prost(bool, tag = "4")]
    pub failing: bool,
}

/// A target as one box holds it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetState {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The target's address.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Its state in the chart.
    #[prost(string, tag = "3")]
    pub state: String,
    /// Milliseconds in that state.
    #[prost(uint64, tag = "4")]
    pub for_ms: u64,
    /// Why, in words.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// For whom: path, data centre, target or hand.
    #[prost(string, tag = "6")]
    pub scope: String,
    /// Whether the box sends it nothing.
    #[prost(bool, tag = "7")]
    pub excluded: bool,
    /// Whether the floor kept it in service though it was to be ejected.
    #[prost(bool, tag = "8")]
    pub kept_by_floor: bool,
}

/// Events of the time line, each as JSON.
#[derive(Clone, PartialEq, Message)]
pub struct Events {
    /// The events.
    #[prost(string, repeated, tag = "1")]
    pub events: Vec<String>,
}

/// Whether a proxy may be ready.
#[derive(Clone, PartialEq, Message)]
pub struct Readiness {
    /// Whether it may.
    #[prost(bool, tag = "1")]
    pub allowed: bool,
    /// Why not.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// All that the agent holds has been sent.
#[derive(Clone, PartialEq, Message)]
pub struct CaughtUp {
    /// Whether the agent itself has asked several peers and the store.
    #[prost(bool, tag = "1")]
    pub complete: bool,
}
