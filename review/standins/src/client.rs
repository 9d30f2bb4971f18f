//! A stand-in of clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_message, Message, ReadEnd};

/// One client attempt.
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answer(Message),
    /// No connection came up.
    NoConnection,
    /// The connection was closed or reset without a whole answer.
    Cut,
    /// The deadline passed.
    Deadline,
}

impl AttemptEnd {
    pub fn status(&self) -> u16 {
        match self {
            AttemptEnd::Answer(answer) => answer.status(),
            _ => 0,
        }
    }
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends an attempt on an open connection and waits for its answer.
pub fn send(stream: &mut TcpStream, attempt: &Attempt<'_>) -> AttemptEnd {
    let Attempt { method, path, id, deadline, body } = attempt;
    let started = Instant::now();
    let length = body.len();
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: hut.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {length}\r\n\r\n",
        deadline.as_millis()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return AttemptEnd::Cut;
    }
    let left = deadline.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    match read_message(stream, &mut Vec::new()) {
        Ok(answer) => AttemptEnd::Answer(answer),
        Err(ReadEnd::TimedOut) => AttemptEnd::Deadline,
        Err(ReadEnd::Closed | ReadEnd::Broken) => AttemptEnd::Cut,
    }
}

/// Sends an attempt on a new connection.
pub fn send_fresh(address: SocketAddr, attempt: &Attempt<'_>) -> AttemptEnd {
    match connect(address) {
        Some(mut stream) => send(&mut stream, attempt),
        None => AttemptEnd::NoConnection,
    }
}
