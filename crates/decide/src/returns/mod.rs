//! When refused callers are told to return.
//!
//! A refusal names a time after which the caller may send the request again. Random times brought callers back
//! while there was no capacity for them. A [`ReturnSchedule`] names times for which a service has capacity that
//! was not promised to others before, and spreads them evenly. The counts of told returns are exchanged between the
//! boxes of a data centre, so that they don't all choose the same moment. [`ToldReturns`] recognizes the callers
//! that come when they were told to.

mod answer_rate;
mod buckets;
mod schedule;
mod told;

pub use buckets::{BUCKET, REPORTED_BUCKETS};
pub use schedule::{
    MAX_PEERS, MAX_REPORTED_RETURNS, MAX_RETURN_WAIT, RETURN_SHARE, RefusalKind, ReturnSchedule,
    ReturnTime,
};
pub use told::{MAX_TOLD, ReturnArrival, ToldReturns};
