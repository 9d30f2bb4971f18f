//! Messages about targets that have announced a limit over all boxes: the limit itself, and permits to send
//! requests to the target.

use prost::Message;

/// The last limit that a target announced, as known to the sender.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetLimit {
    /// Key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Whether the target has a limit. If not, it has withdrawn an earlier one.
    #[prost(bool, tag = "2")]
    pub limited: bool,
    /// Limit in millionths of a request a second.
    #[prost(uint64, tag = "3")]
    pub millionths: u64,
    /// Milliseconds since a box received the announcement from the target.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Requests for permits and replies, between a box and a coordinator.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitMessage {
    /// Requests from the sender to the receiver.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<PermitRequest>,
    /// Replies from the sender to the receiver.
    #[prost(message, repeated, tag = "2")]
    pub replies: Vec<PermitReply>,
}

/// A request for one permit.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitRequest {
    /// Number that is unique among the requests of a box.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Limit of the target as known to the sender, absent if the target never announced one.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<TargetLimit>,
    /// Key of the target.
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// Rate that the target accepts while it is cold, in millionths of a request a second, plus one; 0 if the
    /// target is not cold in the view of the sender.
    #[prost(uint64, tag = "4")]
    pub cold_plus_one: u64,
}

/// A reply to a [`PermitRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitReply {
    /// Number of the request that this answers.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the request may be sent.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Milliseconds after which a permit may be available, if the request was denied.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Whether the sender is not the coordinator for that target.
    #[prost(bool, tag = "5")]
    pub redirected: bool,
    /// Address in text form of the coordinator in the sender's view, empty if it has not determined one yet.
    #[prost(string, tag = "6")]
    pub coordinator: String,
    /// Limit of the target as known to the sender.
    #[prost(message, optional, tag = "4")]
    pub limit: Option<TargetLimit>,
}
