//! A latch that opens once and wakes all tasks that wait for it.

use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// A latch, initially closed. It opens by closing a channel on which nothing is ever sent.
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
    /// Opens the latch. Returns whether it was closed before.
    pub(crate) fn open(&self) -> bool {
        self.sender.close()
    }

    /// Returns whether the latch is open.
    pub(crate) fn is_open(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the latch is open.
    pub(crate) async fn wait_open(&self) {
        // Nothing is ever sent, so this returns only when the channel closes.
        let _ = self.receiver.recv().await;
    }
}
