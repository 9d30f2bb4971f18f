//! Messages by which a box whose attempts come to no contact learns whether its peers reach the targets.

use prost::Message;

/// A question about the receiver's contacts with targets.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PathQuestion {
    /// Name of the service; empty for all services.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Identifies the sender's run of failures; the answer repeats it.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    /// Milliseconds since the sender's paths began to fail.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// The sender's contacts with targets since the paths of the receiver began to fail.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PathStatement {
    /// Name of the service; empty for all services.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Run of failures that the question named.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    /// Attempts that a target has answered.
    #[prost(uint32, tag = "3")]
    pub contacts: u32,
    /// Attempts that came to no contact.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
    /// Whether the sender has judged its own paths as lost.
    #[prost(bool, tag = "5")]
    pub is_lost: bool,
    /// Number of requests that the sender has open.
    #[prost(uint32, tag = "6")]
    pub busy: u32,
}
