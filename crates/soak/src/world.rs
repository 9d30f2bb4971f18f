//! What boxes work with: the store, targets behind relays, and the configuration.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wingbridge_platform_standins::{
    ArrivalLog, ConfigEntry, CustomerEntry, EntryState, RouteEntry, RouteMode, StoreStandin,
    TargetMode, TargetSetup, TargetSpec, TargetStandin,
};

use crate::lock;
use crate::relay::{LoopbackRelay, RelayMode};

/// The services: repeatable requests, orders, downloads.
pub const SERVICES: [&str; 3] = ["reads", "orders", "loads"];
/// The host that callers name.
pub const HOST: &str = "soak.example";
/// How long a request is held, at most.
pub const ROUTE_TIME: Duration = Duration::from_secs(3);
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(40);

/// Store, targets and configuration.
#[derive(Debug)]
pub struct SoakWorld {
    /// The store.
    pub store: StoreStandin,
    /// What reached targets.
    pub arrivals: ArrivalLog,
    slots: Vec<TargetSlot>,
    instances: u64,
    config: ConfigBoard,
    /// Routes in each configuration beside those that callers use.
    routes: usize,
    departures: Vec<(String, Instant)>,
}

/// An address at which one target after another listens.
#[derive(Debug)]
struct TargetSlot {
    relay: LoopbackRelay,
    service: &'static str,
    spec: TargetSpec,
    target: TargetStandin,
}

/// The versions of the configuration that were acknowledged. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConfigBoard {
    state: Arc<Mutex<ConfigState>>,
}

#[derive(Debug, Default)]
struct ConfigState {
    version: u32,
    acknowledged: HashMap<u32, Instant>,
}

impl ConfigBoard {
    /// The newest version; 0 before the first.
    pub fn newest(&self) -> u32 {
        lock(&self.state).version
    }

    /// When a version was acknowledged.
    pub fn acknowledged(&self, version: u32) -> Option<Instant> {
        lock(&self.state).acknowledged.get(&version).copied()
    }
}

impl SoakWorld {
    /// Starts store and targets and writes the first configuration.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn start(targets: usize, routes: usize) -> std::io::Result<SoakWorld> {
        let mut world = SoakWorld {
            store: StoreStandin::start("127.0.0.1")?,
            arrivals: ArrivalLog::default(),
            slots: Vec::new(),
            instances: 0,
            config: ConfigBoard::default(),
            routes,
            departures: Vec::new(),
        };
        for index in 0..targets {
            // Orders get half of them, as most requests are orders.
            let service = SERVICES[[1, 0, 1, 2][index % 4]];
            let relay = LoopbackRelay::start("127.0.0.1", None)?;
            let slot = world.start_target(relay, service, index)?;
            world.slots.push(slot);
        }
        world.change_config();
        Ok(world)
    }

    /// Writes the next configuration: each has a route of its own beside the usual ones,
    /// and that of the one before.
    pub fn change_config(&self) {
        let mut config = lock(&self.config.state);
        let version = config.version + 1;
        let acknowledged = self.store.put_config(&config_entry(version, self.routes));
        config.version = version;
        config.acknowledged.insert(version, acknowledged);
    }

    /// The versions that were acknowledged.
    pub fn board(&self) -> ConfigBoard {
        self.config.clone()
    }

    /// Disturbs the path to a target.
    pub fn set_path(&self, index: usize, mode: RelayMode) {
        self.slots[index].relay.set_mode(mode);
    }

    /// Lets a target behave so.
    pub fn set_mode(&self, index: usize, mode: TargetMode) {
        self.slots[index].target.set_mode(mode);
    }

    /// The target says in its answers that it leaves, and its entry doesn't.
    pub fn signal_draining(&self, index: usize) {
        self.slots[index].target.signal_draining();
    }

    /// The target's refusals ask for that much rest, or for none.
    pub fn set_backoff(&self, index: usize, rest: Option<Duration>) {
        self.slots[index].target.set_backoff(rest);
    }

    /// The target names a limit in its answers, in millionths of a request a second, or none.
    pub fn set_limit(&self, index: usize, limit: Option<u64>) {
        self.slots[index].target.set_limit(limit);
    }

    /// The target says that it leaves, in its entry and in its answers.
    pub fn announce_leaving(&mut self, index: usize) {
        self.signal_draining(index);
        let spec = &self.slots[index].spec;
        let acknowledged = self.store.put_target(spec, EntryState::Draining, 2);
        self.departures.push((spec.id.clone(), acknowledged));
    }

    /// The target ends; its entry goes only if it said so.
    pub fn end_target(&mut self, index: usize, removes_entry: bool) {
        let slot = &mut self.slots[index];
        slot.target.end();
        slot.relay.set_upstream(None);
        if removes_entry {
            self.store.remove_target(&slot.spec.id);
        }
    }

    /// Targets that have ended by a request since the last call: nobody listens at their addresses.
    pub fn take_deaths(&self) -> Vec<usize> {
        let dead = |index: &usize| self.slots[*index].target.take_crash();
        let dead: Vec<usize> = (0..self.slots.len()).filter(dead).collect();
        for index in &dead {
            self.slots[*index].relay.stop();
        }
        dead
    }

    /// The entry of a target that ended without a word goes.
    pub fn lapse_entry(&mut self, index: usize) {
        let id = self.slots[index].spec.id.clone();
        let acknowledged = self.store.remove_target(&id);
        self.departures.push((id, acknowledged));
    }

    /// Another target takes the address, of another service if so and if this one keeps
    /// two more.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn replace_target(&mut self, index: usize, other_service: bool) -> std::io::Result<()> {
        let service = self.slots[index].service;
        let siblings = self.slots.iter().filter(|slot| slot.service == service).count();
        let service = match other_service && siblings > 2 {
            true => SERVICES[(index + 1) % SERVICES.len()],
            false => service,
        };
        let relay = LoopbackRelay::start("127.0.0.1", None)?;
        // Nobody comes back at an address that listens no more.
        let relay = match self.slots[index].relay.has_stopped() {
            true => relay,
            false => std::mem::replace(&mut self.slots[index].relay, relay),
        };
        self.slots[index] = self.start_target(relay, service, index)?;
        Ok(())
    }

    /// Targets that left, and when that was acknowledged.
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
            work: WORK,
        };
        let target = TargetStandin::start(setup, self.arrivals.clone())?;
        relay.set_upstream(Some(target.address()));
        let spec = TargetSpec {
            id,
            service: service.to_string(),
            data_centre: format!("centre-{}", index % 2),
            address: relay.address().to_string(),
            slots: SLOTS,
            started_ms: self.instances,
        };
        self.store.put_target(&spec, EntryState::Ready, 1);
        Ok(TargetSlot { relay, service, spec, target })
    }
}

/// The customer whose key all callers carry.
pub const CUSTOMER: &str = "hikers";
/// The key that all callers carry.
pub const KEY: &str = "key-of-the-hikers";

/// Which service a path may reach.
pub fn service_of(path: &str) -> &'static str {
    match path.split('/').nth(1) {
        Some("order") => "orders",
        Some("load") => "loads",
        _ => "reads",
    }
}

/// The path of the route that only `version` and the next one have.
pub fn version_path(version: u32) -> String {
    format!("/v{version}/x")
}

fn config_entry(version: u32, more: usize) -> ConfigEntry {
    let route = |name: &str, service: &str, mode: RouteMode| RouteEntry {
        name: name.to_string(),
        host: HOST.into(),
        prefix: format!("/{name}/"),
        mode,
        services: vec![(service.to_string(), 1)],
        timeout: ROUTE_TIME,
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
        (0..more).map(|number| route(&format!("more-{number}"), "reads", RouteMode::Repeatable)),
    );
    let customer = |name: &str, key: &str| CustomerEntry {
        name: name.to_string(),
        keys: vec![key.to_string()],
        rate: 0,
    };
    // The second one's key is given back and withdrawn again, from version to version.
    let mut customers = vec![customer(CUSTOMER, KEY)];
    if version.is_multiple_of(2) {
        customers.push(customer("now and then", "key-now-and-then"));
    }
    ConfigEntry { version, routes, customers: Some(customers) }
}
