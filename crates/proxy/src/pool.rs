//! A pool of idle connections to targets.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use wingbridge_decide::Name;
use wingbridge_http::MessageReader;

/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 8;
/// Time after which an idle connection is no longer used. Targets close idle connections after a
/// time that the box does not know in advance.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection to a target without an outstanding answer.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) reader: MessageReader,
    pub(crate) writer: TcpStream,
}

impl TargetConnection {
    pub(crate) fn new(stream: TcpStream) -> TargetConnection {
        let writer = stream.clone();
        TargetConnection { reader: MessageReader::new(stream), writer }
    }
}

/// The idle connections to all targets.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<Name, Vec<(Instant, TargetConnection)>>>,
}

impl ConnectionPool {
    /// Removes and returns the connection that was used last, if it has not exceeded
    /// [`IDLE_TIMEOUT`]. Connections that the target has closed, or on which it has sent something, are dropped: what it
    /// sent would be taken for the answer to the next request.
    pub(crate) fn take(&self, target: &Name) -> Option<TargetConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(target)?;
        while let Some((since, connection)) = connections.pop() {
            if since.elapsed() >= IDLE_TIMEOUT {
                // The other connections have been idle for even longer.
                connections.clear();
                return None;
            }
            if connection.reader.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection whose last answer was read completely, unless something has followed that answer.
    pub(crate) fn put(&self, target: &Name, connection: TargetConnection) {
        if !connection.reader.is_idle() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push((Instant::now(), connection));
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Name, Vec<(Instant, TargetConnection)>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
