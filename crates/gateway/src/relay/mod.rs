//! Requests that a box without paths to the targets has handled by a peer: one hop, to a box that has proved to belong
//! to the fleet.
//!
//! The box that accepted the request checks its access and takes its token; the peer chooses the targets, by its own
//! configuration, view and budget. Customers' keys never leave the first box.

pub(crate) mod client;
mod fleet_key;
pub(crate) mod server;

use wingbridge_wire::relay::RelayOutcome;

use crate::answers::CallerOutcome;

pub(crate) use fleet_key::FleetKeyCache;

/// Maximum length of an encoded message of a relay, in bytes. Host and path have a few kilobytes at most.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// The attempts of a request so far, over all boxes that have handled it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AttemptTotals {
    /// Number of targets that may have run the request.
    pub(crate) possible_runs: u32,
    /// Number of targets that received the request, whether they ran it or not.
    pub(crate) deliveries: u32,
}

fn encode_outcome(outcome: CallerOutcome) -> RelayOutcome {
    match outcome {
        CallerOutcome::Answered => RelayOutcome::Answered,
        CallerOutcome::NotRun => RelayOutcome::NotRun,
        CallerOutcome::Unknown => RelayOutcome::Unknown,
        CallerOutcome::Rejected => RelayOutcome::Rejected,
    }
}

fn decode_outcome(outcome: RelayOutcome) -> CallerOutcome {
    match outcome {
        RelayOutcome::Answered => CallerOutcome::Answered,
        RelayOutcome::NotRun => CallerOutcome::NotRun,
        RelayOutcome::Unknown => CallerOutcome::Unknown,
        RelayOutcome::Rejected => CallerOutcome::Rejected,
    }
}
