//! What boxes tell each other by datagrams, and the state that one fetches from another.
//!
//! A datagram may be lost, repeated or late, so each stands for itself: whatever is
//! missed is told again by a later one or fetched over a connection.

use prost::{Message, Oneof};

use crate::limits::{PermitMessage, TargetLimit};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The sender's box.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Another number after each start of the sender.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// What is told.
    #[prost(oneof = "DatagramBody", tags = "4, 5, 7, 8")]
    pub body: Option<DatagramBody>,
    /// What the sender's link carries, in megabits a second; 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// What a datagram tells.
#[derive(Clone, PartialEq, Oneof)]
pub enum DatagramBody {
    /// The sender is alive, and how new its view of the store is.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// What the sender saw of targets.
    #[prost(message, tag = "5")]
    PassiveSamples(PassiveSamples),
    /// What the sender asks of customers' credit, and what it grants.
    #[prost(message, tag = "7")]
    Tokens(TokenMessage),
    /// What the sender asks of permits to send to targets with a limit, and what it answers.
    #[prost(message, tag = "8")]
    Permits(PermitMessage),
}

/// Customers' credit between a box and the boxes that keep it.
#[derive(Clone, PartialEq, Message)]
pub struct TokenMessage {
    /// What the sender asks of the receiver.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<TokenRequest>,
    /// What the sender grants the receiver.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<TokenGrant>,
}

/// What a box tells the keeper of a customer's credit, and wishes of it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Another number for each ask of a box.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Requests that were admitted and not told of before.
    #[prost(uint32, tag = "3")]
    pub debt: u32,
    /// Requests that the sender wants to admit soon.
    #[prost(uint32, tag = "4")]
    pub wanted: u32,
    /// The sender's share of the customer's credit, in millionths.
    #[prost(uint32, tag = "5")]
    pub share_ppm: u32,
    /// Whether a keeper told the sender that share.
    #[prost(bool, tag = "6")]
    pub is_share_assigned: bool,
    /// Requests that the sender was granted and did not use in time.
    #[prost(uint32, tag = "7")]
    pub unused: u32,
}

/// A keeper's answer to a [`TokenRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenGrant {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The ask that it answers.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Requests that the receiver may admit.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Whether credit runs low.
    #[prost(bool, tag = "4")]
    pub scarce: bool,
    /// Milliseconds after which the receiver may ask again.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// The receiver's share of the customer's credit from now on, in millionths.
    #[prost(uint32, tag = "6")]
    pub share_ppm: u32,
}

/// A sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Whether the receiver should answer with a beacon that lists peers.
    #[prost(bool, tag = "1")]
    pub wants_reply: bool,
    /// Whether the sender is about to end.
    #[prost(bool, tag = "2")]
    pub stopping: bool,
    /// The sender's view of the store; absent while it has none.
    #[prost(message, optional, tag = "3")]
    pub view_version: Option<ViewVersion>,
    /// Boxes that the sender knows. Left out where the receiver needs none.
    #[prost(message, repeated, tag = "4")]
    pub peers: Vec<PeerRecord>,
    /// Requests under which targets ended.
    #[prost(message, repeated, tag = "5")]
    pub crashes: Vec<CrashRecord>,
    /// Limits of targets.
    #[prost(message, repeated, tag = "6")]
    pub limits: Vec<TargetLimit>,
}

/// How new a view of the store is.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ViewVersion {
    /// The store's revision up to which all changes are in the view.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Milliseconds since the read that gave it began.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// A hash over the targets, to see whether others are known.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// The store's revision of the configuration that the sender holds; 0 for none.
    #[prost(uint64, tag = "4")]
    pub config_revision: u64,
    /// Milliseconds since the read that showed that no newer one was in the store.
    #[prost(uint64, tag = "5")]
    pub config_age_ms: u64,
}

/// A box that another one knows.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRecord {
    /// Its IP number, as a text.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Its name.
    #[prost(string, tag = "3")]
    pub box_id: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Milliseconds since it was last heard of.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// What its link carries, in megabits a second; 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// What a box saw of targets since it last told.
#[derive(Clone, PartialEq, Message)]
pub struct PassiveSamples {
    /// One for each target.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<PassiveSample>,
    /// What the sender got and sent again, for each service.
    #[prost(message, repeated, tag = "2")]
    pub service_counts: Vec<ServiceCounts>,
    /// What is known of news that may come by more than one way.
    #[prost(message, optional, tag = "3")]
    pub update_id: Option<UpdateId>,
    /// Requests under which targets ended, of which something is new.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashRecord>,
}

/// What boxes of a data centre leave in the store of requests that they refuse.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashNote {
    /// When it was written, in milliseconds since 1970 by the writer's clock.
    #[prost(uint64, tag = "1")]
    pub written_ms: u64,
    /// The requests, as they were then.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashRecord>,
}

/// A request under which targets ended. All that the sender knows of it, so that a later record makes
/// good what was lost.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The targets' keys.
    #[prost(fixed64, repeated, tag = "2")]
    pub targets: Vec<u64>,
    /// How long ago each of them ended, in milliseconds.
    #[prost(uint64, repeated, tag = "3")]
    pub ages_ms: Vec<u64>,
    /// One more than the milliseconds since it succeeded; 0 if it did not.
    #[prost(uint64, tag = "4")]
    pub succeeded_plus_one: u64,
}

/// By which news are told apart that may come twice.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UpdateId {
    /// Rises with each piece of news of a box.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the receiver is to tell the other boxes of its data centre.
    #[prost(bool, tag = "2")]
    pub relay: bool,
    /// Whose news they are, if not the sender's: its name, and its incarnation.
    #[prost(string, tag = "3")]
    pub origin_id: String,
    /// 0 if they are the sender's.
    #[prost(fixed64, tag = "4")]
    pub origin_incarnation: u64,
}

/// What a box got and sent again of one service within the last window.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceCounts {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Sends beyond the first of a request.
    #[prost(uint32, tag = "3")]
    pub retries: u32,
    /// Retries of boxes that the sender heard of within the window and hears no more.
    #[prost(uint32, tag = "4")]
    pub unresponsive_retries: u32,
}

/// What a box saw of one target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PassiveSample {
    /// The target's key.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Attempts that went well.
    #[prost(uint32, tag = "2")]
    pub good: u32,
    /// Attempts that failed.
    #[prost(uint32, tag = "3")]
    pub bad: u32,
    /// Attempts that are open for too long.
    #[prost(uint32, tag = "4")]
    pub overdue: u32,
    /// The time of a good one without its wait, in thousandths of what is usual for its
    /// route; 0 if unknown.
    #[prost(uint32, tag = "5")]
    pub latency_permille: u32,
    /// One more than the requests that the target last said it holds; 0 if it said nothing.
    #[prost(uint32, tag = "6")]
    pub held_plus_one: u32,
    /// One more than the attempts that the sender has open there; 0 if it tells none.
    #[prost(uint32, tag = "7")]
    pub open_plus_one: u32,
    /// Whether another instance answers at its address.
    #[prost(bool, tag = "8")]
    pub replaced: bool,
    /// Those open attempts whose age tells of the target.
    #[prost(message, repeated, tag = "9")]
    pub informative: Vec<OpenAttempt>,
    /// Whether the target has said in an answer that it leaves.
    #[prost(bool, tag = "10")]
    pub draining: bool,
    /// What it said of its limit over all boxes, if that is new.
    #[prost(message, optional, tag = "11")]
    pub limit: Option<TargetLimit>,
}

/// An open attempt, beside what is usual for its route.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct OpenAttempt {
    /// For how long it is open, its wait for a slot left out, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// The usual time of its route, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub typical_ms: u32,
}

/// What a box asks of a peer over a connection: one question, one reply.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ExchangeRequest {
    /// What is asked for.
    #[prost(oneof = "ExchangeQuestion", tags = "1, 2")]
    pub question: Option<ExchangeQuestion>,
}

/// A question to a peer.
#[derive(Clone, Copy, PartialEq, Eq, Oneof)]
pub enum ExchangeQuestion {
    /// Which targets the store lists; answered by [`TargetsReply`].
    #[prost(message, tag = "1")]
    Targets(TargetsRequest),
    /// Which configuration is in force; answered by [`ConfigReply`].
    #[prost(message, tag = "2")]
    Config(ConfigRequest),
}

/// Asks for the listing of targets.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetsRequest {
    /// The hash over the targets that the asker knows; 0 to have all of them sent.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
}

/// A listing of targets, or what became of the one that the asker knows.
#[derive(Clone, PartialEq, Message)]
pub struct TargetsReply {
    /// How new it is; absent if the peer has none.
    #[prost(message, optional, tag = "1")]
    pub version: Option<ViewVersion>,
    /// The hash over the targets to which the rest is the difference; 0 if these are all.
    #[prost(fixed64, tag = "2")]
    pub base: u64,
    /// Names of targets that are gone.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Data centres whose targets get nothing, in the order of their names.
    #[prost(string, repeated, tag = "5")]
    pub evacuated: Vec<String>,
    /// Targets that are new or different, or all of them: compressed lists of [`TargetRecords`].
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub parts: Vec<Vec<u8>>,
    /// Whether the peer sends to as many others as it can already, so that there are none.
    #[prost(bool, tag = "7")]
    pub busy: bool,
}

/// Some targets of a listing.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRecords {
    /// The targets.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<TargetRecord>,
}

/// Asks for a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// The store's revision of the configuration that the asker holds; 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// A configuration, as steps from the one that the asker holds.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigReply {
    /// The store's revision of the configuration that the peer holds; 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Milliseconds since the read that showed that no newer one was in the store.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether the peer sends to as many others as it can already, so that there are no steps.
    #[prost(bool, tag = "3")]
    pub busy: bool,
    /// Boxes to which the peer has sent this configuration, as texts.
    #[prost(string, repeated, tag = "4")]
    pub seeders: Vec<String>,
    /// To be taken one after the other. None if the peer holds nothing newer.
    #[prost(message, repeated, tag = "5")]
    pub deltas: Vec<ConfigDelta>,
}

/// What makes one configuration of another one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigDelta {
    /// The store's revision of the configuration before; 0 if that is the empty text.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The store's revision of the configuration that it makes.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// A hash over the text that it makes.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// A compressed [`TextPatch`].
    #[prost(bytes = "vec", tag = "4")]
    pub patch: Vec<u8>,
}

/// A text as pieces of another one and what is new between them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextPatch {
    /// Three numbers a piece: how many of the new bytes come next, and then where in the old
    /// text how many bytes are taken from.
    #[prost(uint32, repeated, tag = "1")]
    pub pieces: Vec<u32>,
    /// The new bytes, one piece after the other.
    #[prost(bytes = "vec", tag = "2")]
    pub new: Vec<u8>,
}

/// A target as the store lists it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetRecord {
    /// The instance's name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Its data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it leaves.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// For how long it is still slow from its start, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// When it started, in milliseconds of its own clock since 1970; 0 if it did not tell.
    #[prost(uint64, tag = "8")]
    pub born_ms: u64,
    /// Whether it said that it is slow from its start.
    #[prost(bool, tag = "9")]
    pub is_cold: bool,
}
