//! What other duties put into the exchange's queue.

use std::sync::Arc;

use async_channel::Sender;
use wingbridge_wire::{Entry, FrameBody};

/// Events into the exchange.
#[derive(Clone)]
pub(crate) enum AgentEvent {
    /// Time has passed.
    TimerFired,
    /// The store was called.
    StoreRead { entries: Vec<Entry>, reachable: bool },
    /// A peer connected.
    PeerConnected { peer: Arc<str>, queue: Sender<FrameBody> },
    /// A connection to a peer ended.
    PeerClosed { peer: Arc<str> },
    /// A peer, or this box's proxy, sent something.
    Received { from: Arc<str>, body: FrameBody },
    /// This box's proxy connected.
    ProxyConnected { queue: Sender<FrameBody> },
    /// An operator asked.
    AdminRequest { query: AdminQuery, reply: Sender<String> },
}

/// What can be asked of the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AdminQuery {
    /// How the box is.
    Status,
    /// Targets that are not simply healthy.
    Targets,
    /// The boxes that are known.
    Boxes,
    /// Keys, their versions, and what is in force.
    Keys {
        /// What their names start with.
        prefix: String,
    },
    /// The time line.
    EventTrace,
}
