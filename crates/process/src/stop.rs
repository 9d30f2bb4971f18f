//! The signal to stop: a channel whose closing ends what waits on it.

use std::convert::Infallible;
use std::thread;

use async_channel::{Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Stops what holds the matching [`StopSignal`], when asked to or when dropped.
#[derive(Debug, Clone)]
pub struct StopHandle {
    sender: Sender<Infallible>,
}

/// Tells when to stop. Clones share it.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: Receiver<Infallible>,
}

/// A handle and its signal.
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Gives the signal.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopSignal {
    /// Waits for the signal.
    pub async fn wait(&self) {
        // Nothing is ever sent: the only end is that the channel closes.
        let _ = self.receiver.recv().await;
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// A signal that SIGTERM and SIGINT give.
///
/// # Errors
/// The operating system refused the handlers.
pub fn stop_on_signals() -> std::io::Result<StopSignal> {
    let (handle, signal) = stop_channel();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        signals.forever().next();
        handle.stop();
    })?;
    Ok(signal)
}

/// Signals that a process acts on.
#[derive(Debug)]
pub struct ProcessSignals {
    /// Given by SIGTERM and SIGINT.
    pub stop: StopSignal,
    /// One message for each SIGHUP; several that come at once may be one.
    pub reloads: Receiver<()>,
}

/// Takes SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
/// The operating system refused the handlers.
pub fn watch_signals() -> std::io::Result<ProcessSignals> {
    let (handle, stop) = stop_channel();
    let (reload, reloads) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                // Full: a reload already waits.
                let _ = reload.try_send(());
            } else {
                handle.stop();
            }
        }
    })?;
    Ok(ProcessSignals { stop, reloads })
}
