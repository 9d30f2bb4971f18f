//! A gate that opens once, and wakes all who wait for it.

use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// Closed at first. It opens by closing a channel on which nothing is ever sent.
#[derive(Debug, Clone)]
pub(crate) struct ReadyLatch {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for ReadyLatch {
    fn default() -> ReadyLatch {
        let (sender, receiver) = async_channel::bounded(1);
        ReadyLatch { sender, receiver }
    }
}

impl ReadyLatch {
    /// Opens it; returns whether it was closed before.
    pub(crate) fn open(&self) -> bool {
        self.sender.close()
    }

    /// Whether it is open.
    pub(crate) fn is_open(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until it is open.
    pub(crate) async fn wait_open(&self) {
        // Nothing is ever sent: the only end is that the channel closes.
        let _ = self.receiver.recv().await;
    }
}
