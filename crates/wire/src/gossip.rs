//! Datagrams between boxes, and the requests by which a box fetches state from a peer.
//!
//! A datagram may be lost, duplicated or delayed, so each one is complete in itself. What a box misses
//! is sent again in a later datagram or fetched over a connection.

use prost::{Message, Oneof};

use crate::limits::{PermitMessage, TargetLimit};
use crate::overload::ServiceLoad;
use crate::paths::{PathQuestion, PathStatement};
use crate::relay::RelayOffer;
use crate::retries::RetryCreditMessage;

/// A datagram from one box to another.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Data centre of the sender.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Identifier of the sender's process, different after each start.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Content of the datagram.
    #[prost(oneof = "DatagramBody", tags = "4, 5, 7, 8, 9, 10, 11")]
    pub body: Option<DatagramBody>,
    /// Capacity of the sender's link in megabits a second, 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// The content of a [`Datagram`].
#[derive(Clone, PartialEq, Oneof)]
pub enum DatagramBody {
    /// Notifies that the sender is running, and states the version of its view of the store.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// Health samples from the sender's own traffic.
    #[prost(message, tag = "5")]
    PassiveSamples(PassiveSamples),
    /// Requests for customers' tokens, and grants.
    #[prost(message, tag = "7")]
    Tokens(TokenMessage),
    /// Requests for permits to send to targets with a limit, and replies.
    #[prost(message, tag = "8")]
    Permits(PermitMessage),
    /// A question about the receiver's contacts with targets.
    #[prost(message, tag = "9")]
    PathQuestion(PathQuestion),
    /// The answer to a [`PathQuestion`].
    #[prost(message, tag = "10")]
    PathStatement(PathStatement),
    /// Requests for retry credit, and replies.
    #[prost(message, tag = "11")]
    RetryCredits(RetryCreditMessage),
}

/// Requests for customers' tokens and grants, between a box and a coordinator.
#[derive(Clone, PartialEq, Message)]
pub struct TokenMessage {
    /// Requests from the sender to the receiver.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<TokenRequestMessage>,
    /// Grants from the sender to the receiver.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<TokenGrantMessage>,
}

/// A request for a customer's tokens, with a report of the tokens that the sender spent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenRequestMessage {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Number that is unique among the requests of a box.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Number of requests that were admitted without a grant and not reported before.
    #[prost(uint32, tag = "3")]
    pub debt: u32,
    /// Number of requests that the sender is about to admit.
    #[prost(uint32, tag = "4")]
    pub wanted: u32,
    /// The sender's share of the customer's rate, in millionths.
    #[prost(uint32, tag = "5")]
    pub share_ppm: u32,
    /// Whether a coordinator assigned `share_ppm` to the sender. A box that has just started reports an
    /// equal share.
    #[prost(bool, tag = "6")]
    pub is_share_assigned: bool,
    /// Number of granted tokens that the sender did not use before they expired.
    #[prost(uint32, tag = "7")]
    pub unused: u32,
}

/// A coordinator's answer to a [`TokenRequestMessage`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenGrantMessage {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Number of the request that this answers.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Number of requests that the receiver may admit.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Whether tokens are scarce.
    #[prost(bool, tag = "4")]
    pub scarce: bool,
    /// Milliseconds after which the receiver may request tokens again.
    #[prost(uint32, tag = "5")]
    pub wait_ms: u32,
    /// The receiver's share of the customer's rate from now on, in millionths.
    #[prost(uint32, tag = "6")]
    pub share_ppm: u32,
}

/// A periodic message by which boxes know that the sender is running.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Whether the receiver should answer with a heartbeat that lists peers.
    #[prost(bool, tag = "1")]
    pub wants_reply: bool,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "2")]
    pub stopping: bool,
    /// Version of the sender's view of the store, absent while it has none.
    #[prost(message, optional, tag = "3")]
    pub view_version: Option<ViewVersion>,
    /// Some boxes of the sender's peer table. Empty where the receiver needs none.
    #[prost(message, repeated, tag = "4")]
    pub peers: Vec<PeerRecord>,
    /// Requests under which targets ended.
    #[prost(message, repeated, tag = "5")]
    pub crashes: Vec<CrashRecord>,
    /// Limits that targets announced.
    #[prost(message, repeated, tag = "6")]
    pub limits: Vec<TargetLimit>,
    /// Loads of services: the sender's own, and sums of data centres.
    #[prost(message, repeated, tag = "7")]
    pub service_loads: Vec<ServiceLoad>,
}

/// The version and age of a box's view of the store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ViewVersion {
    /// Revision of the store up to which the view contains all changes.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Milliseconds since the start of the read that gave this view.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Hash of the listed targets, by which a receiver detects that its own listing differs.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Revision of the sender's configuration in the store, 0 for none.
    #[prost(uint64, tag = "4")]
    pub config_revision: u64,
    /// Milliseconds since the read that found no newer configuration in the store.
    #[prost(uint64, tag = "5")]
    pub config_age_ms: u64,
    /// Era of the store that `revision` is of, 0 if it is not known.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// Era of the store that `config_revision` is of, 0 if it is not known.
    #[prost(uint64, tag = "7")]
    pub config_era: u64,
    /// The operators' version of the sender's configuration, 0 if it is not known.
    #[prost(uint64, tag = "8")]
    pub config_version: u64,
    /// Revision of the store up to which the sender's configuration is known to be the newest, 0 if it is not known.
    #[prost(uint64, tag = "9")]
    pub config_through: u64,
    /// Era of the store that `config_through` is of, 0 if it is not known.
    #[prost(uint64, tag = "10")]
    pub config_through_era: u64,
}

/// A box in the peer table of the sender of a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRecord {
    /// IP address of the box in text form.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Data centre of the box.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Name of the box.
    #[prost(string, tag = "3")]
    pub box_id: String,
    /// Incarnation of the box.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Milliseconds since the box was last seen.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Capacity of the box's link in megabits a second, 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// Health samples that a box took from its own traffic since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct PassiveSamples {
    /// One sample for each target.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<PassiveSample>,
    /// The sender's requests and retries, by service.
    #[prost(message, repeated, tag = "2")]
    pub service_counts: Vec<ServiceCounts>,
    /// Identity of this update, present if it may arrive on more than one path.
    #[prost(message, optional, tag = "3")]
    pub update_id: Option<UpdateId>,
    /// Requests under which targets ended, if their records have changed.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashRecord>,
}

/// The refused requests of a data centre, as its boxes write them to the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashNote {
    /// Time of the write in milliseconds since 1970, by the writer's clock.
    #[prost(uint64, tag = "1")]
    pub written_ms: u64,
    /// Records of the requests at that time.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashRecord>,
    /// Keys of the data centre's targets that were suspects at that time.
    #[prost(fixed64, repeated, tag = "3")]
    pub suspects: Vec<u64>,
}

/// A request under which targets ended. It contains the sender's complete record, so that a later message
/// makes up for a lost one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Keys of the targets that ended.
    #[prost(fixed64, repeated, tag = "2")]
    pub targets: Vec<u64>,
    /// Milliseconds since the end of each of these targets, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    pub ages_ms: Vec<u64>,
    /// Milliseconds since the request succeeded, plus one; 0 if it did not.
    #[prost(uint64, tag = "4")]
    pub succeeded_plus_one: u64,
}

/// The identity of an update, by which receivers drop duplicates.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UpdateId {
    /// Number that rises with each update of a box.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the receiver is to relay the update to the other boxes of its data centre.
    #[prost(bool, tag = "2")]
    pub relay: bool,
    /// Name of the box that the update comes from, if that is not the sender.
    #[prost(string, tag = "3")]
    pub origin_id: String,
    /// Incarnation of the box that the update comes from, 0 if that is the sender.
    #[prost(fixed64, tag = "4")]
    pub origin_incarnation: u64,
}

/// Requests and retries of a box at one service within the last window.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceCounts {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Number of attempts beyond the first one of a request.
    #[prost(uint32, tag = "3")]
    pub retries: u32,
    /// Retries of boxes that reported within the window and have become unresponsive.
    #[prost(uint32, tag = "4")]
    pub unresponsive_retries: u32,
}

/// A health sample of one target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PassiveSample {
    /// Key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Number of successful attempts.
    #[prost(uint32, tag = "2")]
    pub good: u32,
    /// Number of failed attempts.
    #[prost(uint32, tag = "3")]
    pub bad: u32,
    /// Number of attempts that have been open for too long.
    #[prost(uint32, tag = "4")]
    pub overdue: u32,
    /// Latency of a successful attempt, without its wait for a slot, in thousandths of the typical time of
    /// its route; 0 if unknown.
    #[prost(uint32, tag = "5")]
    pub latency_permille: u32,
    /// Number of requests that the target last reported to hold, plus one; 0 if it reported none.
    #[prost(uint32, tag = "6")]
    pub held_plus_one: u32,
    /// Number of the sender's open attempts at the target, plus one; 0 if the sender does not report it.
    #[prost(uint32, tag = "7")]
    pub open_plus_one: u32,
    /// Whether another instance answers at the target's address.
    #[prost(bool, tag = "8")]
    pub replaced: bool,
    /// Open attempts whose age is evidence about the target.
    #[prost(message, repeated, tag = "9")]
    pub informative: Vec<OpenAttempt>,
    /// Whether the target has announced in an answer that it is draining.
    #[prost(bool, tag = "10")]
    pub draining: bool,
    /// Limit over all boxes that the target announced, if that has changed.
    #[prost(message, optional, tag = "11")]
    pub limit: Option<TargetLimit>,
}

/// An open attempt, with the typical time of its route.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct OpenAttempt {
    /// Milliseconds for which the attempt has been open, without its wait for a slot.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// Typical time of the attempt's route, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub typical_ms: u32,
}

/// A question to a peer over a connection, which carries one question and one reply.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ExchangeRequest {
    /// The question.
    #[prost(oneof = "ExchangeQuestion", tags = "1, 2, 3")]
    pub question: Option<ExchangeQuestion>,
}

/// The content of an [`ExchangeRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Oneof)]
pub enum ExchangeQuestion {
    /// Asks for the targets that the store lists, answered by [`TargetsReply`].
    #[prost(message, tag = "1")]
    Targets(TargetsRequest),
    /// Asks for the configuration in force, answered by [`ConfigReply`].
    #[prost(message, tag = "2")]
    Config(ConfigRequest),
    /// Offers a request that the peer is to handle; see [`crate::relay`].
    #[prost(message, tag = "3")]
    Relay(RelayOffer),
}

/// A request for the listing of targets.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetsRequest {
    /// Hash of the targets that the requester has, 0 to request a complete listing.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
}

/// A listing of targets, complete or as a delta to the requester's listing.
#[derive(Clone, PartialEq, Message)]
pub struct TargetsReply {
    /// Version of the listing, absent if the peer has none.
    #[prost(message, optional, tag = "1")]
    pub version: Option<ViewVersion>,
    /// Hash of the listing that this delta applies to, 0 if the listing is complete.
    #[prost(fixed64, tag = "2")]
    pub base: u64,
    /// Names of removed targets.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Evacuated data centres, whose targets get no requests, in the order of their names.
    #[prost(string, repeated, tag = "5")]
    pub evacuated: Vec<String>,
    /// Targets that are new or have changed, or all of them, as compressed [`TargetRecords`].
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub parts: Vec<Vec<u8>>,
    /// Whether all of the peer's transfer slots are in use, so that the reply contains no targets.
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

/// A request for a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Revision of the requester's configuration in the store, 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Era of the store that `revision` is of, 0 if it is not known.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// The operators' version of the requester's configuration, 0 if it is not known.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A configuration, as a chain of deltas from the requester's one.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigReply {
    /// Revision of the peer's configuration in the store, 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Milliseconds since the read that found no newer configuration in the store.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether all of the peer's transfer slots are in use, so that the reply contains no deltas.
    #[prost(bool, tag = "3")]
    pub busy: bool,
    /// Addresses in text form of boxes to which the peer has sent this configuration.
    #[prost(string, repeated, tag = "4")]
    pub seeders: Vec<String>,
    /// Deltas to apply in order. Empty if the peer has nothing newer.
    #[prost(message, repeated, tag = "5")]
    pub deltas: Vec<ConfigDelta>,
    /// Era of the store that `revision` is of, 0 if it is not known.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// A patch that makes one configuration of another one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigDelta {
    /// Revision of the base configuration in the store, 0 if the base is the empty text.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision of the resulting configuration in the store.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Hash of the resulting text.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// A compressed [`TextPatch`].
    #[prost(bytes = "vec", tag = "4")]
    pub patch: Vec<u8>,
    /// Era of the store that `from` is of, 0 if it is not known.
    #[prost(uint64, tag = "5")]
    pub from_era: u64,
    /// Era of the store that `to` is of, 0 if it is not known.
    #[prost(uint64, tag = "6")]
    pub to_era: u64,
}

/// A text, expressed as pieces of another text and inserted bytes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TextPatch {
    /// Three numbers for each piece: how many inserted bytes precede it, its offset in the old text, and
    /// its length.
    #[prost(uint32, repeated, tag = "1")]
    pub pieces: Vec<u32>,
    /// The inserted bytes of all pieces, concatenated.
    #[prost(bytes = "vec", tag = "2")]
    pub new: Vec<u8>,
}

/// A target as the store lists it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetRecord {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address at which the instance listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Service of the instance.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Data centre of the instance.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Number of requests that the instance processes concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the instance is draining.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Milliseconds for which the instance is still slow after its start.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// Start of the instance in milliseconds since 1970, by its own clock; 0 if it did not report it.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
    /// Whether the instance reported that it is still slow after its start.
    #[prost(bool, tag = "9")]
    pub is_cold: bool,
}
