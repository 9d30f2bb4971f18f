//! Settings of a box, already checked.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_decide::quota::QuotaSlack;
use wingbridge_decide::steer::mechanism::MechanismSet;

/// Checked settings.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This box.
    pub box_id: String,
    /// Its data centre.
    pub data_centre: String,
    /// The region of each data centre.
    pub regions: HashMap<String, Name>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness, and metrics are.
    pub readiness: SocketAddr,
    /// The path that the balancer asks for.
    pub readiness_path: String,
    /// Where peers fetch the view of the store.
    pub exchange: SocketAddr,
    /// The port on which all boxes take datagrams.
    pub gossip_port: u16,
    /// Addresses of some boxes; any of them may be stale.
    pub seeds: Vec<IpAddr>,
    /// Time between SIGTERM and the end, at most.
    pub stop_time: Duration,
    /// Time after which a change that the store took must be in force.
    pub change_time: Duration,
    /// Retries that a request earns, 0 to 1.
    pub retry_share: f64,
    /// Retries ahead of what was earned, of all boxes together.
    pub retry_slack: f64,
    /// The window in which retries and requests are counted.
    pub retry_window: Duration,
    /// What the operators allow above customers' quotas, for what boxes can't know of each other.
    pub quota_slack: QuotaSlack,
    /// What a kilobyte to another data centre costs, in worth of requests.
    pub cross_cost: f64,
    /// Parts of the pick that are switched off, for measurements.
    pub mechanisms: MechanismSet,
    /// What this box's link carries, in megabits a second; 0 if unknown. Boxes with more read
    /// the store for those with less.
    pub link_mbps: u32,
    /// Connections of callers at once.
    pub max_connections: usize,
    /// Bytes of request bodies that are held at once, in all requests together.
    pub max_held_body_bytes: usize,
    /// How much is logged.
    pub log_level: String,
}

impl GatewaySettings {
    /// The region of a data centre; no name if it is not known, so that no request with homes goes there.
    pub fn region_of(&self, data_centre: &str) -> Name {
        self.regions.get(data_centre).cloned().unwrap_or_default()
    }

    /// This box's IP number among its peers.
    pub fn host(&self) -> IpAddr {
        self.exchange.ip()
    }
}
