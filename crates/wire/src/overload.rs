//! Messages between boxes about the load of services, by which boxes place requests and spread the returns of
//! refused callers.

use prost::Message;

/// The load of one service in one box or one data centre, over the last seconds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceLoad {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Data centre whose boxes are summed. Empty for the sender's own figures alone.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Requests that callers sent, in thousandths of a request a second.
    #[prost(uint64, tag = "3")]
    pub demand_milli: u64,
    /// Number of attempts that are open.
    #[prost(uint32, tag = "4")]
    pub open: u32,
    /// What the healthy targets of the data centre finish, in thousandths of a request a second.
    #[prost(uint64, tag = "5")]
    pub capacity_milli: u64,
    /// Number of boxes that are summed.
    #[prost(uint32, tag = "6")]
    pub boxes: u32,
    /// Milliseconds since the oldest figure in the sum was taken.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
    /// Callers that were told to return, by 100 ms from now on.
    #[prost(uint32, repeated, tag = "8")]
    pub returns: Vec<u32>,
}
