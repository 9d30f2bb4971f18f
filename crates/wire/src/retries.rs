//! Messages by which boxes hand on parts of the retry bound.

use prost::Message;

/// Requests for retry credit and replies, between two boxes of a data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RetryCreditMessage {
    /// Requests from the sender to the receiver.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<RetryCreditAmount>,
    /// Replies from the sender to the receiver.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<RetryCreditAmount>,
}

/// An amount of retry credit that is asked for or given up.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RetryCreditAmount {
    /// Name of the service for whose retries the credit is.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number that is unique among the requests of a box.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Amount in thousandths of a retry, 0 in a reply if there is none to spare.
    #[prost(uint32, tag = "3")]
    pub thousandths: u32,
}
