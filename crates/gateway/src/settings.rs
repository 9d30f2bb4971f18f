//! Validated settings of a box.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_decide::placement::PlacementLimits;
use wingbridge_decide::quota::QuotaSlack;
use wingbridge_decide::steer::mechanism::MechanismSet;

/// Which parts of overload control a box uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OverloadControl {
    /// None: every pick, retry, answer and datagram is as without overload control.
    #[default]
    Off,
    /// Placement between data centres, for services whose load calls for it.
    Auto,
    /// Placement, waiting queues, planned returns of refused callers, and paced retries.
    On,
}

impl OverloadControl {
    /// Returns whether requests wait in queues, refused callers are told when to return, and retries are paced.
    pub fn sheds_load(self) -> bool {
        self == OverloadControl::On
    }

    /// Returns whether requests are placed by the capacity of all data centres.
    pub fn places(self) -> bool {
        self != OverloadControl::Off
    }
}

/// From which utilization placement sends requests to other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementMode {
    /// Once most requests would wait at home, where bytes between data centres are dear.
    #[default]
    Frugal,
    /// As soon as some requests may wait.
    Balanced,
}

impl PlacementMode {
    /// Returns the utilizations from which placement acts.
    pub fn limits(self) -> PlacementLimits {
        match self {
            PlacementMode::Frugal => PlacementLimits::FRUGAL,
            PlacementMode::Balanced => PlacementLimits::BALANCED,
        }
    }
}

/// Validated settings of a box.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Id of this box, unique among all boxes.
    pub box_id: String,
    /// Data centre of this box.
    pub data_centre: String,
    /// Region of each data centre.
    pub regions: HashMap<String, Name>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address that serves readiness to the balancer, and the metrics.
    pub readiness: SocketAddr,
    /// Path under which the balancer checks readiness.
    pub readiness_path: String,
    /// Address on which peers fetch the configuration and the listing of targets.
    pub exchange: SocketAddr,
    /// UDP port on which all boxes receive gossip.
    pub gossip_port: u16,
    /// Addresses of some boxes, to find the others; any of them may be out of date.
    pub seeds: Vec<IpAddr>,
    /// Longest time between SIGTERM and the end of the process.
    pub stop_time: Duration,
    /// Time within which a change that the store has accepted must be in force.
    pub change_time: Duration,
    /// Number of retries that each request earns, from 0 to 1.
    pub retry_share: f64,
    /// Number of retries that all boxes together may make within the window beyond the earned ones.
    pub retry_slack: f64,
    /// Time window over which retries and requests are counted.
    pub retry_window: Duration,
    /// Requests that are allowed beyond customers' quotas, because boxes receive late reports of each
    /// other's requests.
    pub quota_slack: QuotaSlack,
    /// Which parts of overload control are in use.
    pub overload: OverloadControl,
    /// From which utilization placement acts.
    pub placement: PlacementMode,
    /// Cost of sending a kilobyte to another data centre, as a number of requests.
    pub cross_cost: f64,
    /// Steering mechanisms that are switched off, for measurements.
    pub mechanisms: MechanismSet,
    /// Bandwidth of this box's link in Mbit/s; 0 if unknown. Boxes with more bandwidth read the
    /// store for those with less.
    pub link_mbps: u32,
    /// Maximum number of callers' connections at the same time.
    pub max_connections: usize,
    /// Maximum number of bytes of request bodies held in memory, over all requests.
    pub max_held_body_bytes: usize,
    /// Level of the log.
    pub log_level: String,
}

impl GatewaySettings {
    /// Returns the region of a data centre. The name is empty if the data centre is unknown, so that no
    /// request with homes is sent there.
    pub fn region_of(&self, data_centre: &str) -> Name {
        self.regions.get(data_centre).cloned().unwrap_or_default()
    }

    /// Returns the IP address of this box among its peers.
    pub fn host(&self) -> IpAddr {
        self.exchange.ip()
    }
}
