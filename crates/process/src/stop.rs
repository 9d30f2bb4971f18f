//! Stop signals: channels whose closing wakes all waiters, and the handling of Unix signals.

use std::convert::Infallible;
use std::thread;

use async_channel::{Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The sending side of a [`StopSignal`]. The signal is sent by [`StopHandle::stop`] or when the
/// last clone is dropped.
#[derive(Debug, Clone)]
pub struct StopHandle {
    sender: Sender<Infallible>,
}

/// A signal to stop, which is sent at most once. Clones share it.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: Receiver<Infallible>,
}

/// Creates a handle and its signal.
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Sends the signal. Further calls have no effect.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopSignal {
    /// Waits until the signal is sent; returns at once if it was sent before.
    pub async fn wait(&self) {
        // No message is ever sent: the receiver wakes only when the channel closes.
        let _ = self.receiver.recv().await;
    }

    /// Returns whether the signal has been sent.
    pub fn is_stopped(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// Returns a stop signal that is sent on SIGTERM or SIGINT.
///
/// # Errors
/// The signal handlers could not be installed, or their thread could not be started.
pub fn stop_on_signals() -> std::io::Result<StopSignal> {
    let (handle, signal) = stop_channel();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        signals.forever().next();
        handle.stop();
    })?;
    Ok(signal)
}

/// The Unix signals that a process handles.
#[derive(Debug)]
pub struct ProcessSignals {
    /// The stop signal, sent on SIGTERM or SIGINT.
    pub stop: StopSignal,
    /// Receives a message for each SIGHUP; several signals in short succession may give only one.
    pub reloads: Receiver<()>,
}

/// Installs handlers for SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
/// The signal handlers could not be installed, or their thread could not be started.
pub fn watch_signals() -> std::io::Result<ProcessSignals> {
    let (handle, stop) = stop_channel();
    let (reload, reloads) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                // If the channel is full, a reload is pending already.
                let _ = reload.try_send(());
            } else {
                handle.stop();
            }
        }
    })?;
    Ok(ProcessSignals { stop, reloads })
}
