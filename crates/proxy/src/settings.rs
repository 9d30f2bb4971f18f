//! Settings of the proxy.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, secret_setting, setting};

/// Validated settings of a proxy.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Id of this box.
    pub box_id: String,
    /// Data centre of this box.
    pub data_centre: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address that serves readiness to the balancer, and the metrics.
    pub admin_listen: SocketAddr,
    /// Address of this box's agent.
    pub agent: SocketAddr,
    /// Secret that all boxes of the fleet share.
    pub fleet_key: String,
    /// Time to open a connection to a target.
    pub connect_time: Duration,
    /// Maximum length of an answer that is buffered completely, in bytes.
    pub max_buffered_response_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_request_bytes: usize,
    /// Maximum number of callers' connections at the same time.
    pub max_connections: usize,
    /// Time within which a caller must send a request.
    pub request_time: Duration,
    /// Time without data after which a streamed answer counts as broken.
    pub stall_time: Duration,
    /// Time between the first "not ready" answer and the last new connection, at a planned stop.
    pub leave_time: Duration,
    /// Maximum time for the requests in progress, at a planned stop.
    pub drain_time: Duration,
    /// Number of threads for connections and requests.
    pub io_threads: usize,
    /// Level of the log.
    pub log_level: String,
}

/// Returns the command line of `wingbridge-proxy`.
pub fn proxy_command() -> Command {
    Command::new("wingbridge-proxy")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The proxy of a wingbridge box, between callers and targets")
        .arg(setting("box-id", "Name of this box", "1 to 63 letters, digits, '-', '_' and '.'; the same as its agent's."))
        .arg(setting("data-centre", "Data centre of this box", "1 to 63 letters, digits, '-', '_' and '.'."))
        .arg(setting("listen", "Address for callers", "An IP number and a port.").default_value("127.0.0.1:0"))
        .arg(setting("admin-listen", "Address for readiness and metrics", "An IP number and a port: GET /ready and GET /metrics.").default_value("127.0.0.1:0"))
        .arg(setting("agent", "Address of this box's agent", "The value of --proxy-listen of the agent."))
        .arg(secret_setting("fleet-key", "Secret that all boxes of the fleet share", "At least 16 characters. Better set by the environment, where other users of the machine do not see it."))
        .arg(setting("connect-ms", "Time to connect to a target, in milliseconds", "A target that can't be connected to in time has not run the request.").default_value("500"))
        .arg(setting("held-bytes", "Maximum length of an answer that is buffered, in bytes", "A longer one is streamed, and resumed at another target if its connection breaks.").default_value("262144"))
        .arg(setting("request-bytes", "Maximum length of a request body, in bytes", "Bodies are buffered completely, so that a request can be sent again.").default_value("1048576"))
        .arg(setting("connections", "Maximum number of callers' connections", "Further connections are refused with 503.").default_value("4096"))
        .arg(setting("request-ms", "Time that a caller has to send a request, in milliseconds", "Measured from its first byte; afterwards the answer is 408.").default_value("10000"))
        .arg(setting("stall-ms", "Time without data of a streamed answer, in milliseconds", "Afterwards the answer counts as broken.").default_value("5000"))
        .arg(setting("leave-ms", "Planned stop: time between 'not ready' and the last new connection, in milliseconds", "At least the time that the balancer takes to notice it.").default_value("3000"))
        .arg(setting("drain-ms", "Planned stop: maximum time for requests in progress, in milliseconds", "Afterwards they are interrupted.").default_value("60000"))
        .arg(setting("io-threads", "Threads for connections and requests", "1 to 256. One is best up to some hundred requests per second, since a larger pool that is mostly idle wakes a sleeping thread for each step.").default_value("1"))
        .arg(setting("log-level", "Level of the log", "error, warn, info, debug or trace.").default_value("info"))
}

/// Validates the settings of the command line.
///
/// # Errors
/// Returns the first setting that is not allowed.
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
