//! Messages by which a box without paths to the targets has a request handled by a peer.
//!
//! The box offers a relay on the exchange port, both ends prove that they have the fleet key, and the box sends a
//! [`RelayRequest`]. After an accepting [`RelayDecision`] it sends the request as HTTP, and the peer answers with a
//! [`RelayResult`] and the answer as HTTP. Until the decision the peer has nothing that it could run.
//!
//! A box that is ending closes its direction of the connection, which asks the peer to end the request at once and to send
//! the result: what may have run by then.

use prost::Message;

/// The offer of a relay, which begins the handshake.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RelayOffer {}

/// A request that a peer is to handle, without its headers and body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayRequest {
    /// Name of the box that accepted the request.
    #[prost(string, tag = "1")]
    pub box_id: String,
    /// Host of the request.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Path of the request, without its query.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Service that the request goes to.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Digest of the caller's key, empty if it sent none. The key itself never leaves the box that accepted the
    /// request.
    #[prost(bytes = "vec", tag = "5")]
    pub key_digest: Vec<u8>,
    /// Milliseconds until the peer must have answered.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// Whether the request may run more than once.
    #[prost(bool, tag = "7")]
    pub repeatable: bool,
    /// Maximum number of targets that may run the request, over both boxes.
    #[prost(uint32, tag = "8")]
    pub max_attempts: u32,
    /// Number of targets that may have run it already.
    #[prost(uint32, tag = "9")]
    pub possible_runs: u32,
    /// Number of targets that have received it already.
    #[prost(uint32, tag = "10")]
    pub deliveries: u32,
    /// Whether the request may be served in some regions only.
    #[prost(bool, tag = "11")]
    pub has_homes: bool,
    /// These regions, by the configuration by which the request was accepted. The peer's may be an older one.
    #[prost(string, repeated, tag = "12")]
    pub homes: Vec<String>,
    /// Whether the caller comes when a box told it to.
    #[prost(bool, tag = "13")]
    pub due_return: bool,
    /// Milliseconds since the first byte of the request was read.
    #[prost(uint64, tag = "14")]
    pub age_ms: u64,
}

/// Whether the peer handles the request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayDecision {
    /// Why it does not; empty if it does.
    #[prost(string, tag = "1")]
    pub declined: String,
}

/// How the peer handled the request. The answer follows as HTTP.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayResult {
    /// Outcome of the request.
    #[prost(enumeration = "RelayOutcome", tag = "1")]
    pub outcome: i32,
    /// Number of targets that may have run the request, over both boxes.
    #[prost(uint32, tag = "2")]
    pub possible_runs: u32,
    /// Number of targets that have received it, over both boxes.
    #[prost(uint32, tag = "3")]
    pub deliveries: u32,
}

/// The outcome of a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayOutcome {
    /// A target may have run the request, or the outcome is one that this release does not know.
    Unknown = 0,
    /// A target answered.
    Answered = 1,
    /// No target has run the request, and none will.
    NotRun = 2,
    /// The request is not allowed.
    Rejected = 3,
}
