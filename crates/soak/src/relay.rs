//! A TCP relay on loopback that injects network faults: delays, silence and closed connections.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::lock;

/// Interval at which a connection that passes no bytes checks whether the mode has changed.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 << 10;

/// How a relay forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes are forwarded at once.
    Open,
    /// Each chunk is forwarded after this delay.
    Delayed(Duration),
    /// Nothing is forwarded in either direction, and connections stay open.
    Silent,
    /// Bytes are forwarded to the server only; answers are held back.
    OneWay,
    /// Connections are closed, those that are already open included.
    Closed,
}

/// The paths of single clients, which several relays share: the mode that replaces the one of each relay, by the
/// address from which a client connects.
#[derive(Debug, Clone, Default)]
pub struct ClientPaths {
    modes: Arc<Mutex<HashMap<IpAddr, RelayMode>>>,
}

impl ClientPaths {
    /// Sets the mode of the connections from `client`; `None` for the mode of each relay.
    pub fn set_mode(&self, client: IpAddr, mode: Option<RelayMode>) {
        match mode {
            Some(mode) => drop(lock(&self.modes).insert(client, mode)),
            None => drop(lock(&self.modes).remove(&client)),
        }
    }

    fn mode(&self, client: IpAddr) -> Option<RelayMode> {
        lock(&self.modes).get(&client).copied()
    }
}

/// A relay that listens on a port chosen by the system.
#[derive(Debug)]
pub struct LoopbackRelay {
    shared: Arc<RelayShared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct RelayShared {
    mode: Mutex<RelayMode>,
    client_paths: ClientPaths,
    /// Address to which new connections are relayed; `None` while there is no server.
    upstream: Mutex<Option<SocketAddr>>,
    /// Whether the relay no longer listens.
    stopped: AtomicBool,
}

impl LoopbackRelay {
    /// Starts a relay on `host`.
    ///
    /// # Errors
    /// Returns an error if no port of `host` can be bound.
    pub fn start(host: &str, upstream: Option<SocketAddr>) -> std::io::Result<LoopbackRelay> {
        LoopbackRelay::start_with(host, upstream, ClientPaths::default())
    }

    /// Starts a relay like [`LoopbackRelay::start`], whose clients have the paths `client_paths`.
    ///
    /// # Errors
    /// Returns an error if no port of `host` can be bound.
    pub fn start_with(
        host: &str,
        upstream: Option<SocketAddr>,
        client_paths: ClientPaths,
    ) -> std::io::Result<LoopbackRelay> {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(RelayShared {
            mode: Mutex::new(RelayMode::Open),
            client_paths,
            upstream: Mutex::new(upstream),
            stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.stopped.load(Ordering::Acquire) {
                    return;
                }
                let accepting = Arc::clone(&accepting);
                thread::spawn(move || relay_connection(&stream, &accepting));
            }
        });
        Ok(LoopbackRelay { shared, address })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening permanently. Connections are refused from then on, as with a process that
    /// has ended.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        // The listener checks the flag at its next connection, which is made here.
        drop(TcpStream::connect(self.address));
    }

    /// Returns whether the relay has stopped listening.
    pub fn has_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::Acquire)
    }

    /// Sets the mode, which also applies to open connections.
    pub fn set_mode(&self, mode: RelayMode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Sets the address to which new connections are relayed.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        *lock(&self.shared.upstream) = upstream;
    }
}

impl RelayShared {
    fn mode(&self, client: IpAddr) -> RelayMode {
        self.client_paths.mode(client).unwrap_or(*lock(&self.mode))
    }
}

fn relay_connection(client: &TcpStream, shared: &Arc<RelayShared>) {
    let upstream = *lock(&shared.upstream);
    // An error means that the connection is closed already.
    let Ok(peer) = client.peer_addr() else {
        return;
    };
    let client_ip = peer.ip();
    if shared.mode(client_ip) == RelayMode::Closed {
        return;
    }
    let Some(server) = upstream.and_then(|address| TcpStream::connect(address).ok()) else {
        return;
    };
    let (Ok(client_out), Ok(server_out)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let answer_shared = Arc::clone(shared);
    let answers = thread::spawn(move || copy(server, client_out, &answer_shared, client_ip, true));
    if let Ok(client_in) = client.try_clone() {
        copy(client_in, server_out, shared, client_ip, false);
    }
    // A panic in the copying thread affects this connection only.
    let _ = answers.join();
}

/// Copies one direction until its source ends, and then closes that direction at the destination.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &RelayShared,
    client: IpAddr,
    is_answer: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    if from.set_read_timeout(Some(HOLD_POLL_INTERVAL)).is_err() {
        return;
    }
    loop {
        let mode = shared.mode(client);
        if mode == RelayMode::Closed {
            break;
        }
        if mode == RelayMode::Silent || (mode == RelayMode::OneWay && is_answer) {
            thread::sleep(HOLD_POLL_INTERVAL);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if let RelayMode::Delayed(delay) = mode {
                    thread::sleep(delay);
                }
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            Err(error) if is_read_timeout(&error) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_read_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
