//! Events that the other tasks of the agent send to the exchange.

use std::sync::Arc;

use async_channel::Sender;
use wingbridge_wire::{Entry, FrameBody};

/// An event that the exchange handles.
#[derive(Clone)]
pub(crate) enum AgentEvent {
    /// The period of the exchange's timer has elapsed.
    TimerFired,
    /// A call to the store has returned its entries, or has failed.
    StoreRead { entries: Vec<Entry>, reachable: bool },
    /// A connection to a peer was accepted; messages for the peer go into `queue`.
    PeerConnected { peer: Arc<str>, queue: Sender<FrameBody> },
    /// A connection to a peer has ended, or could not be opened.
    PeerClosed { peer: Arc<str> },
    /// A message was received from a peer, or from this box's proxy.
    Received { from: Arc<str>, body: FrameBody },
    /// This box's proxy has connected; messages for it go into `queue`.
    ProxyConnected { queue: Sender<FrameBody> },
    /// An operator sent a query; the answer, as JSON, goes into `reply`.
    AdminRequest { query: AdminQuery, reply: Sender<String> },
}

/// A query that operators can send to the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AdminQuery {
    /// The state of the box.
    Status,
    /// Targets that are not healthy, or have a manual override.
    Targets,
    /// All boxes on the member list.
    Boxes,
    /// Keys of the configuration, with their versions and whether these are in force.
    Keys {
        /// Prefix of the keys that are listed.
        prefix: String,
    },
    /// The event trace of the box.
    EventTrace,
}
