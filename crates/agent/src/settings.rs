//! Settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{ArgMatches, Command};
use wingbridge_process::SettingError;
use wingbridge_process::settings::{self, secret_setting, setting};

/// Validated settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Id of this box.
    pub box_id: String,
    /// Data centre of this box.
    pub data_centre: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address on which other agents connect.
    pub peer_listen: SocketAddr,
    /// Loopback address on which this box's proxy connects.
    pub proxy_listen: SocketAddr,
    /// Address that serves operators' queries and metrics.
    pub admin_listen: SocketAddr,
    /// Secret that all boxes of the fleet share.
    pub fleet_key: String,
    /// Agents to contact while the store does not answer.
    pub seed_peers: Vec<SocketAddr>,
    /// Time between two digests sent to neighbours.
    pub digest_period: Duration,
    /// Time between two full readings of the store by a box that watches it.
    pub resync_period: Duration,
    /// Number of threads for connections and requests.
    pub io_threads: usize,
    /// Level of the log.
    pub log_level: String,
}

/// Returns the command line of `wingbridge-agent`.
pub fn agent_command() -> Command {
    Command::new("wingbridge-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The agent of a wingbridge box: evidence, membership and configuration")
        .arg(setting("box-id", "Name of this box", "1 to 63 letters, digits, '-', '_' and '.'; the platform's box list uses the same name."))
        .arg(setting("data-centre", "Data centre of this box", "1 to 63 letters, digits, '-', '_' and '.'."))
        .arg(setting("store", "Address of the platform's store", "An IP number and a port."))
        .arg(setting("peer-listen", "Address for other agents", "An IP number and a port. The platform's box list must show it.").default_value("127.0.0.1:0"))
        .arg(setting("proxy-listen", "Address for this box's proxy", "An IP number and a port, on loopback.").default_value("127.0.0.1:0"))
        .arg(setting("admin-listen", "Address for operators and metrics", "An IP number and a port. The platform's box list must show it.").default_value("127.0.0.1:0"))
        .arg(secret_setting("fleet-key", "Secret that all boxes of the fleet share", "At least 16 characters. Better set by the environment, where other users of the machine do not see it."))
        .arg(setting("seed-peers", "Agents to contact while the store does not answer", "Addresses with commas between them. A new box needs them only during an outage of the store.").default_value(""))
        .arg(setting("digest-ms", "Time between two comparisons with a neighbour, in milliseconds", "A shorter time repairs lost messages sooner, but sends more bytes while nothing changes.").default_value("1000"))
        .arg(setting("resync-s", "Time between two full readings of the store, in seconds", "Only the watchers of a data centre do this; it corrects what a watch missed.").default_value("600"))
        .arg(setting("io-threads", "Threads for connections and requests", "1 to 256. One is best up to some hundred requests per second, since a larger pool that is mostly idle wakes a sleeping thread for each step.").default_value("1"))
        .arg(setting("log-level", "Level of the log", "error, warn, info, debug or trace.").default_value("info"))
}

/// Validates the settings of the command line.
///
/// # Errors
/// Returns the first setting that is not allowed.
pub fn resolve(matches: &ArgMatches) -> Result<AgentSettings, SettingError> {
    let proxy_listen = settings::address(matches, "proxy-listen")?;
    if !proxy_listen.ip().is_loopback() {
        let value = proxy_listen.to_string();
        return Err(SettingError::new("proxy-listen", &value, "an address on loopback"));
    }
    Ok(AgentSettings {
        box_id: settings::name(matches, "box-id")?,
        data_centre: settings::name(matches, "data-centre")?,
        store: settings::address(matches, "store")?,
        peer_listen: settings::address(matches, "peer-listen")?,
        proxy_listen,
        admin_listen: settings::address(matches, "admin-listen")?,
        fleet_key: settings::secret(matches, "fleet-key")?,
        seed_peers: settings::addresses(matches, "seed-peers")?,
        digest_period: settings::millis(matches, "digest-ms", 50..=60_000)?,
        resync_period: Duration::from_secs(settings::number(matches, "resync-s", 1..=86_400)?),
        io_threads: settings::number(matches, "io-threads", 1..=256)? as usize,
        log_level: settings::log_level(matches)?,
    })
}
