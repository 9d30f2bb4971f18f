//! The proxy's settings.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, secret_setting, setting};

/// Checked settings.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// This box.
    pub box_id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks for readiness, and metrics are.
    pub admin_listen: SocketAddr,
    /// This box's agent.
    pub agent: SocketAddr,
    /// The secret that all boxes share.
    pub fleet_key: String,
    /// Time to connect to a target.
    pub connect_time: Duration,
    /// Longest answer that is held whole, in bytes.
    pub max_buffered_response_bytes: usize,
    /// Longest request body, in bytes.
    pub max_request_bytes: usize,
    /// Connections of callers at once.
    pub max_connections: usize,
    /// Time that a caller has to send a request.
    pub request_time: Duration,
    /// Time that an answer on its way may stand still.
    pub stall_time: Duration,
    /// At a planned stop: time between "not ready" and the last new connection.
    pub leave_time: Duration,
    /// At a planned stop: time for requests in flight, at most.
    pub drain_time: Duration,
    /// Threads for connections and requests.
    pub io_threads: usize,
    /// How much is logged.
    pub log_level: String,
}

/// The command line of `wingbridge-proxy`.
pub fn proxy_command() -> Command {
    Command::new("wingbridge-proxy")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The proxy of a wingbridge box, between callers and targets")
        .arg(setting("box-id", "Name of this box", "1 to 63 letters, digits, '-', '_' and '.'; the same as its agent's."))
        .arg(setting("data-centre", "Data centre of this box", "1 to 63 letters, digits, '-', '_' and '.'."))
        .arg(setting("listen", "Address for callers", "An IP number and a port.").default_value("127.0.0.1:0"))
        .arg(setting("admin-listen", "Address for readiness and metrics", "An IP number and a port: GET /ready and GET /metrics.").default_value("127.0.0.1:0"))
        .arg(setting("agent", "Address of this box's agent", "What the agent has as --proxy-listen."))
        .arg(secret_setting("fleet-key", "Secret that all boxes of the fleet share", "At least 16 characters. Better set by the environment, where other users of the machine do not see it."))
        .arg(setting("connect-ms", "Time to connect to a target, in milliseconds", "A target that can't be connected to in time has not run the request.").default_value("500"))
        .arg(setting("held-bytes", "Longest answer that is held whole, in bytes", "A longer one is passed on as it comes, and resumed at another target if it breaks off.").default_value("262144"))
        .arg(setting("request-bytes", "Longest request body, in bytes", "Bodies are held whole, so that a request can be sent again.").default_value("1048576"))
        .arg(setting("connections", "Connections of callers at once", "One more is refused with 503.").default_value("4096"))
        .arg(setting("request-ms", "Time that a caller has to send a request, in milliseconds", "Counted from its first byte; then it is told 408.").default_value("10000"))
        .arg(setting("stall-ms", "Time that an answer on its way may stand still, in milliseconds", "Then it counts as broken off.").default_value("5000"))
        .arg(setting("leave-ms", "Planned stop: time between 'not ready' and the last new connection, in milliseconds", "As long as the balancer needs to see it.").default_value("3000"))
        .arg(setting("drain-ms", "Planned stop: time for requests in flight at most, in milliseconds", "Then they are cut.").default_value("60000"))
        .arg(setting("io-threads", "Threads for connections and requests", "1 to 256. One is best up to some hundred requests a second: an idle pool of many wakes a sleeping thread for each step.").default_value("1"))
        .arg(setting("log-level", "How much is logged", "error, warn, info, debug or trace.").default_value("info"))
}

/// Checks the raw settings.
///
/// # Errors
/// The first setting that is not allowed.
pub fn resolve(matches: &ArgMatches) -> Result<ProxySettings, SettingError> {
    let agent = settings::address(matches, "agent")?;
    if !agent.ip().is_loopback() {
        let value = agent.to_string();
        return Err(SettingError::new("agent", &value, "an address on loopback"));
    }
    Ok(ProxySettings {
        box_id: settings::name(matches, "box-id")?,
        data_centre: settings::name(matches, "data-centre")?,
        listen: settings::address(matches, "listen")?,
        admin_listen: settings::address(matches, "admin-listen")?,
        agent,
        fleet_key: settings::secret(matches, "fleet-key")?,
        connect_time: settings::millis(matches, "connect-ms", 1..=60_000)?,
        max_buffered_response_bytes: settings::number(matches, "held-bytes", 1024..=64 << 20)?
            as usize,
        max_request_bytes: settings::number(matches, "request-bytes", 1024..=64 << 20)? as usize,
        max_connections: settings::number(matches, "connections", 1..=1_000_000)? as usize,
        request_time: settings::millis(matches, "request-ms", 10..=600_000)?,
        stall_time: settings::millis(matches, "stall-ms", 10..=600_000)?,
        leave_time: settings::millis(matches, "leave-ms", 0..=600_000)?,
        drain_time: settings::millis(matches, "drain-ms", 0..=3_600_000)?,
        io_threads: settings::number(matches, "io-threads", 1..=256)? as usize,
        log_level: settings::log_level(matches)?,
    })
}
