//! What boxes tell each other of targets that have named a limit over all boxes: the limit itself, and
//! the permits to send there.

use prost::Message;

/// What a target said last of its limit, as far as the sender knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetLimit {
    /// The target's key.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Whether it has a limit; else it has none any more.
    #[prost(bool, tag = "2")]
    pub limited: bool,
    /// The limit, in millionths of a request a second.
    #[prost(uint64, tag = "3")]
    pub millionths: u64,
    /// Milliseconds since a box heard it.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Permits between a box and the boxes that keep them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitMessage {
    /// What the sender asks of the receiver.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<PermitRequest>,
    /// What the sender answers the receiver.
    #[prost(message, repeated, tag = "2")]
    pub replies: Vec<PermitReply>,
}

/// An ask for one permit.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitRequest {
    /// Another number for each ask of a box.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What the sender knows of the limit that the target names; absent if it never named one.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<TargetLimit>,
    /// The target's key.
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// One more than what the target takes since it is cold, in millionths of a request a second; 0 if the
    /// sender doesn't know it to be cold.
    #[prost(uint64, tag = "4")]
    pub cold_plus_one: u64,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitReply {
    /// The ask that it answers.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the request may be sent.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Milliseconds after which there may be a permit, if there is none.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Whether the sender does not keep the permits of that target.
    #[prost(bool, tag = "5")]
    pub redirected: bool,
    /// Who does by the sender's view, as a text; empty if it does not know yet.
    #[prost(string, tag = "6")]
    pub coordinator: String,
    /// What the sender knows of the limit.
    #[prost(message, optional, tag = "4")]
    pub limit: Option<TargetLimit>,
}
