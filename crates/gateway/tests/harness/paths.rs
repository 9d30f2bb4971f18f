//! The paths from one box to the targets, which tests cut.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use async_std::net::TcpStream;
use futures::future::BoxFuture;

use super::{lock, own_host};

/// What happens to a new connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PathMode {
    /// It is established.
    #[default]
    Open,
    /// Nothing answers.
    Hangs,
    /// It is reset.
    Reset,
    /// It is refused, as if no process listened.
    Refused,
    /// It is established, and nobody reads from it.
    Unread,
}

/// The paths from one box to the targets. Clones share them.
#[derive(Clone, Default)]
pub struct TargetPaths {
    state: Arc<Mutex<PathsState>>,
}

#[derive(Default)]
struct PathsState {
    mode: PathMode,
    /// Addresses of the targets to which the mode applies; `None` for all of them.
    addresses: Option<BTreeSet<String>>,
    /// Address at which connections are accepted and left unread.
    unread: Option<SocketAddr>,
    /// Connections that were established, if they are kept. A connection that is kept does not close when the box drops it.
    established: Option<Vec<TcpStream>>,
}

impl TargetPaths {
    /// Sets what happens to connections to all targets from now on.
    pub fn set_mode(&self, mode: PathMode) {
        let mut state = lock(&self.state);
        state.mode = mode;
        state.addresses = None;
    }

    /// Sets what happens to connections to the targets at `addresses` from now on. All other paths are open.
    pub fn set_mode_to<'a>(&self, mode: PathMode, addresses: impl IntoIterator<Item = &'a str>) {
        let mut state = lock(&self.state);
        state.mode = mode;
        state.addresses = Some(addresses.into_iter().map(str::to_string).collect());
    }

    /// Keeps the connections that are established from now on, for [`TargetPaths::close_established`].
    pub fn keep_established(&self) {
        lock(&self.state).established = Some(Vec::new());
    }

    /// Closes the connections that were kept.
    pub fn close_established(&self) {
        for stream in lock(&self.state).established.take().into_iter().flatten() {
            // Connections of completed requests are already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Opens a connection to `address` by the mode.
    pub fn connect<'a>(&self, address: &'a str) -> BoxFuture<'a, io::Result<TcpStream>> {
        let (mode, unread) = {
            let mut state = lock(&self.state);
            let applies = state.addresses.as_ref().is_none_or(|known| known.contains(address));
            let mode = if applies { state.mode } else { PathMode::Open };
            let unread = (mode == PathMode::Unread)
                .then(|| *state.unread.get_or_insert_with(listen_without_reading));
            (mode, unread)
        };
        let paths = self.clone();
        Box::pin(async move {
            let connected = match (mode, unread) {
                (PathMode::Hangs, _) => futures::future::pending().await,
                (PathMode::Reset, _) => Err(ErrorKind::ConnectionReset.into()),
                (PathMode::Refused, _) => Err(ErrorKind::ConnectionRefused.into()),
                (_, Some(unread)) => TcpStream::connect(unread).await,
                (_, None) => TcpStream::connect(address).await,
            };
            if let Some(established) = &mut lock(&paths.state).established {
                established.extend(connected.iter().cloned());
            }
            connected
        })
    }
}

/// Accepts connections and keeps them open without reading.
fn listen_without_reading() -> SocketAddr {
    let listener = TcpListener::bind((own_host(), 0)).expect("loopback");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            held.push(stream);
        }
    });
    address
}
