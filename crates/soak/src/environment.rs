//! The environment of the boxes: the store, targets behind relays, and the configuration.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{
    ArrivalLog, ConfigEntry, CustomerEntry, EntryState, PAGE_KEYS, RouteEntry, RouteMode,
    StoreStandin, TargetMode, TargetSetup, TargetSpec, TargetStandin, odd_items,
};

use crate::fleet::data_centre_of;
use crate::lock;
use crate::relay::{ClientPaths, LoopbackRelay, RelayMode};

/// Names of the services for repeatable requests, orders and downloads.
pub const SERVICES: [&str; 3] = ["reads", "orders", "loads"];
/// Host name in the requests of callers.
pub const HOST: &str = "soak.example";
/// Timeout of each route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of requests that a target works on concurrently.
const SLOTS: u32 = 4;
/// Time that a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(40);

/// The store, the targets and the configuration of a run.
#[derive(Debug)]
pub struct SoakEnvironment {
    /// Stand-in for the store.
    pub store: StoreStandin,
    /// Requests that reached targets.
    pub arrivals: ArrivalLog,
    slots: Vec<TargetSlot>,
    /// Paths from each box to all targets.
    box_paths: ClientPaths,
    instances: u64,
    /// Number of data centres over which the targets are spread.
    data_centres: usize,
    config: ConfigHistory,
    /// Number of routes in each configuration that callers do not use.
    extra_routes: usize,
    departures: Vec<(String, Instant)>,
}

/// An address that is used by one target after another.
#[derive(Debug)]
struct TargetSlot {
    relay: LoopbackRelay,
    service: &'static str,
    spec: TargetSpec,
    target: TargetStandin,
}

/// The acknowledged versions of the configuration. Clones share the same history.
#[derive(Debug, Clone, Default)]
pub struct ConfigHistory {
    state: Arc<Mutex<ConfigState>>,
}

#[derive(Debug, Default)]
struct ConfigState {
    version: u32,
    acknowledged: HashMap<u32, Instant>,
}

impl ConfigHistory {
    /// Returns the newest version, or 0 before the first one.
    pub fn newest(&self) -> u32 {
        lock(&self.state).version
    }

    /// Returns when the store acknowledged `version`.
    pub fn acknowledged(&self, version: u32) -> Option<Instant> {
        lock(&self.state).acknowledged.get(&version).copied()
    }
}

impl SoakEnvironment {
    /// Starts the store and the targets and writes the first configuration.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(
        targets: usize,
        data_centres: usize,
        extra_routes: usize,
    ) -> std::io::Result<SoakEnvironment> {
        let mut environment = SoakEnvironment {
            store: StoreStandin::start("127.0.0.1")?,
            arrivals: ArrivalLog::default(),
            slots: Vec::new(),
            box_paths: ClientPaths::default(),
            instances: 0,
            data_centres,
            config: ConfigHistory::default(),
            extra_routes,
            departures: Vec::new(),
        };
        for index in 0..targets {
            // Half of the targets serve orders, as most requests are orders.
            let service = SERVICES[[1, 0, 1, 2][index % 4]];
            let relay =
                LoopbackRelay::start_with("127.0.0.1", None, environment.box_paths.clone())?;
            let slot = environment.start_target(relay, service, index)?;
            environment.slots.push(slot);
        }
        environment.change_config();
        Ok(environment)
    }

    /// Writes the next configuration. In addition to the usual routes, each version has one route
    /// named after itself and one named after the previous version.
    pub fn change_config(&self) {
        let mut config = lock(&self.config.state);
        let version = config.version + 1;
        let acknowledged = self.store.put_config(&config_entry(version, self.extra_routes));
        config.version = version;
        config.acknowledged.insert(version, acknowledged);
    }

    /// Writes keys and entries of another writer, and sets the length of pages.
    pub fn write_odd_items(&self, page_keys: usize) {
        for (key, value) in odd_items() {
            self.store.put_raw(&key, &value);
        }
        self.store.set_page_keys(page_keys);
    }

    /// Removes the keys and entries of the other writer, and sets the usual length of pages.
    pub fn remove_odd_items(&self) {
        for (key, _) in odd_items() {
            self.store.remove(&key);
        }
        self.store.set_page_keys(PAGE_KEYS);
    }

    /// Returns the acknowledged versions of the configuration.
    pub fn config_history(&self) -> ConfigHistory {
        self.config.clone()
    }

    /// Sets how connections to the target are relayed.
    pub fn set_target_relay_mode(&self, index: usize, mode: RelayMode) {
        self.slots[index].relay.set_mode(mode);
    }

    /// Sets how connections from the box at `host` to all targets are relayed; `None` for the mode of each target.
    pub fn set_box_path_mode(&self, host: IpAddr, mode: Option<RelayMode>) {
        self.box_paths.set_mode(host, mode);
    }

    /// Sets the fault mode of the target.
    pub fn set_target_mode(&self, index: usize, mode: TargetMode) {
        self.slots[index].target.set_mode(mode);
    }

    /// Makes the target announce in its answers that it is draining. Its entry stays as it is.
    pub fn signal_draining(&self, index: usize) {
        self.slots[index].target.signal_draining();
    }

    /// Sets the back-off that the target asks for in its refusals; `None` for no back-off.
    pub fn set_backoff(&self, index: usize, backoff: Option<Duration>) {
        self.slots[index].target.set_backoff(backoff);
    }

    /// Sets the limit that the target announces in its answers, in millionths of a request per
    /// second; `None` for no limit.
    pub fn set_limit(&self, index: usize, limit: Option<u64>) {
        self.slots[index].target.set_limit(limit);
    }

    /// Makes the target announce in its entry and in its answers that it is draining.
    pub fn announce_draining(&mut self, index: usize) {
        self.signal_draining(index);
        let spec = &self.slots[index].spec;
        let acknowledged = self.store.put_target(spec, EntryState::Draining, 2);
        self.departures.push((spec.id.clone(), acknowledged));
    }

    /// Ends the target. Its entry is removed only if `removes_entry` is set.
    pub fn end_target(&mut self, index: usize, removes_entry: bool) {
        let slot = &mut self.slots[index];
        slot.target.end();
        slot.relay.set_upstream(None);
        if removes_entry {
            self.store.remove_target(&slot.spec.id);
        }
    }

    /// Returns the targets that a poison request has ended since the last call, and stops the
    /// relays at their addresses.
    pub fn take_crashed_targets(&self) -> Vec<usize> {
        let crashed = |index: &usize| self.slots[*index].target.take_crash();
        let crashed: Vec<usize> = (0..self.slots.len()).filter(crashed).collect();
        for index in &crashed {
            self.slots[*index].relay.stop();
        }
        crashed
    }

    /// Removes the entry of a target that ended without an announcement.
    pub fn remove_lapsed_entry(&mut self, index: usize) {
        let id = self.slots[index].spec.id.clone();
        let acknowledged = self.store.remove_target(&id);
        self.departures.push((id, acknowledged));
    }

    /// Starts another target at the address. With `other_service` it belongs to another service,
    /// provided that more than two targets serve the present one.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn replace_target(&mut self, index: usize, other_service: bool) -> std::io::Result<()> {
        let service = self.slots[index].service;
        let siblings = self.slots.iter().filter(|slot| slot.service == service).count();
        let service = match other_service && siblings > 2 {
            true => SERVICES[(index + 1) % SERVICES.len()],
            false => service,
        };
        let relay = LoopbackRelay::start_with("127.0.0.1", None, self.box_paths.clone())?;
        // A relay that has stopped can't listen again, so the target gets a new address.
        let relay = match self.slots[index].relay.has_stopped() {
            true => relay,
            false => std::mem::replace(&mut self.slots[index].relay, relay),
        };
        self.slots[index] = self.start_target(relay, service, index)?;
        Ok(())
    }

    /// Returns the targets that were marked as draining or removed, and when the store acknowledged
    /// it.
    pub fn departures(&self) -> &[(String, Instant)] {
        &self.departures
    }

    fn start_target(
        &mut self,
        relay: LoopbackRelay,
        service: &'static str,
        index: usize,
    ) -> std::io::Result<TargetSlot> {
        self.instances += 1;
        let id = format!("t-{}", self.instances);
        let setup = TargetSetup {
            id: id.clone(),
            service: service.to_string(),
            host: "127.0.0.1".into(),
            slots: SLOTS,
            work: WORK_TIME,
        };
        let target = TargetStandin::start(setup, self.arrivals.clone())?;
        relay.set_upstream(Some(target.address()));
        let spec = TargetSpec {
            id,
            service: service.to_string(),
            data_centre: data_centre_of(index, self.data_centres),
            address: relay.address().to_string(),
            slots: SLOTS,
            started_ms: self.instances,
        };
        self.store.put_target(&spec, EntryState::Ready, 1);
        Ok(TargetSlot { relay, service, spec, target })
    }
}

/// The customer to whom all callers belong.
pub const CUSTOMER: &str = "hikers";
/// The key that all callers send.
pub const API_KEY: &str = "key-of-the-hikers";

/// Returns the service to which requests for `path` are routed.
pub fn service_of(path: &str) -> &'static str {
    match path.split('/').nth(1) {
        Some("order") => "orders",
        Some("load") => "loads",
        _ => "reads",
    }
}

/// Returns the path of the route that exists only in configurations `version` and `version + 1`.
pub fn version_path(version: u32) -> String {
    format!("/v{version}/x")
}

fn config_entry(version: u32, extra_routes: usize) -> ConfigEntry {
    let route = |name: &str, service: &str, mode: RouteMode| RouteEntry {
        name: name.to_string(),
        host: HOST.into(),
        prefix: format!("/{name}/"),
        mode,
        services: vec![(service.to_string(), 1)],
        timeout: ROUTE_TIMEOUT,
    };
    let mut routes = vec![
        route("read", "reads", RouteMode::Repeatable),
        route("order", "orders", RouteMode::AtMostOnce),
        route("load", "loads", RouteMode::Download),
    ];
    let versions: BTreeSet<u32> = [version, version.saturating_sub(1)].into();
    for version in versions {
        routes.push(route(&format!("v{version}"), "reads", RouteMode::Repeatable));
    }
    routes.extend(
        (0..extra_routes)
            .map(|number| route(&format!("more-{number}"), "reads", RouteMode::Repeatable)),
    );
    let customer = |name: &str, key: &str| CustomerEntry {
        name: name.to_string(),
        keys: vec![key.to_string()],
        rate: 0,
    };
    // The second customer is present in every other version, so that its key is alternately granted
    // and withdrawn.
    let mut customers = vec![customer(CUSTOMER, API_KEY)];
    if version.is_multiple_of(2) {
        customers.push(customer("now and then", "key-now-and-then"));
    }
    ConfigEntry { version, routes, customers: Some(customers) }
}
