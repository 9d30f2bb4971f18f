//! The cases, one module each, and what they share.

pub mod long_answers;
pub mod pipelines;
pub mod quota;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, value_of};

/// Time in which a new connection of a client comes up.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// How an answer ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// All of the answer has come.
    Whole(u16),
    /// The connection was closed or reset with an answer that is not complete, or with none; `true` if a part came.
    Cut(bool),
    /// The client's deadline passed; `true` if a part of the answer had come.
    Deadline(bool),
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIME).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection::new(stream))
}

/// Reads the answer to one request until `deadline`.
pub fn read_answer(
    connection: &mut Connection,
    deadline: Instant,
) -> (Ending, Option<Head>, usize) {
    // Each read waits for a moment only, so that the deadline is seen also while bytes trickle in.
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let is_late = |error: &std::io::Error| {
        matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
    };
    let head = match connection.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return (Ending::Cut(false), None, 0),
        Err(error) if is_late(&error) => return (Ending::Deadline(false), None, 0),
        Err(_) => return (Ending::Cut(false), None, 0),
    };
    let status = head.0.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let is_framed = value_of(&head.1, "content-length").is_some()
        || value_of(&head.1, "transfer-encoding").is_some();
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let ending = match connection.read_body(&head.1, !is_framed, &mut body) {
        Ok(()) => Ending::Whole(status),
        Err(error) if is_late(&error) => Ending::Deadline(true),
        Err(_) => Ending::Cut(true),
    };
    (ending, Some(head), body.len())
}

/// Returns an entry of the configuration's table of routes.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    public: Option<bool>,
) -> String {
    let public = public.map(|public| format!(",\"public\":{public}")).unwrap_or_default();
    format!(
        "\"{name}\":{{\"host\":\"huts.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"goal\":\"1000ms\",\"priority\":1,\"service\":\"{service}\",\"attempts\":2{public}}}"
    )
}

/// Returns a configuration with these routes and tenants.
pub fn config(routes: &[String], services: &[&str], tenants: Option<&str>) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("\"{name}\":{{\"health_path\":\"/healthz\",\"max_conns\":330,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let tenants = tenants.map(|tenants| format!(",\"tenants\":{tenants}")).unwrap_or_default();
    format!(
        "{{\"version\":\"00000001\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}
