//! Runs a box on loopback with stand-ins: a store whose contents tests set, targets that follow a
//! script, and a caller that sends raw bytes.
//!
//! Each test uses its own addresses within 127.0.0.0/8, so ports never collide.

#![allow(dead_code, reason = "each test file uses its part of the harness")]
#![allow(unused_imports, reason = "each test file uses its part of the harness")]

mod caller;
mod gateway;
mod load;
mod paths;
mod peer;
mod peer_standin;
mod relay_caller;
mod relay_peer;
mod store;
mod target;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use wingbridge_gateway::customers::{Customer, CustomerSetup, KeyDigest};
use wingbridge_gateway::routes::{CallerLimits, Route, RouteAccess, RouteConfig, RouteKind};
use wingbridge_process::metrics::render_metrics;

pub use caller::{CallerReply, CallerStandin};
pub use gateway::{BoxUnderTest, EXCHANGE, GOSSIP};
pub use load::{max_within, request_while};
pub use paths::{PathMode, TargetPaths};
pub use peer::{connect_exchange, exchange_on, fetch_targets, packed, unpacked};
pub use peer_standin::PeerStandin;
pub use relay_caller::{RelayCaller, RelayedReply};
pub use relay_peer::{OfferedRequest, RelayPeer, RelayScript};
pub use store::StoreStandin;
pub use target::{
    BEGUN_ANSWER_BYTES, LONG_ANSWER_BYTES, POISON_PATH_PART, Script, TargetStandin, entry,
    read_message, unused_targets,
};

/// Number of checks of an expected condition before the test fails.
const MAX_CHECKS: usize = 1000;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit of each read in a test, so that a missing answer fails the test instead of blocking it.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that is not used elsewhere in this run.
pub fn own_host() -> IpAddr {
    let process = std::process::id();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let [high, low] = [(process >> 8) as u8 | 0x40, process as u8];
    Ipv4Addr::new(127, high, low, number).into()
}

/// Waits until `check` returns true, and panics with `what` if that takes more than ten seconds.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if check() {
            return;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    panic!("condition not reached in time: {what}");
}

/// Returns the value of a counter without labels, over all boxes of this process; 0 if it has not been
/// incremented yet.
pub fn counter_value(name: &str) -> u64 {
    let text = render_metrics();
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(known, _)| *known == name);
    found.map_or(0, |(_, count)| count.parse().expect("a counter has a whole number"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the value of a header in the head of a message.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().skip(1);
    let mut pairs = lines.filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

/// Creates a route to `service` for the prefix `/NAME/`.
pub fn route(name: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        kind,
        services: vec![service.into()],
        weights: vec![1],
        max_attempts: 2,
        // Longer than any test waits for a condition, so that no test passes because of a time-out.
        timeout: Duration::from_secs(60),
        goal: Duration::from_secs(1),
        priority: 1,
        access: RouteAccess::ClosedIfCustomers,
        home_regions: None,
    }
}

/// Creates a customer without a quota, with its keys.
pub fn customer(name: &str, keys: &[&str]) -> CustomerSetup {
    CustomerSetup {
        customer: Customer { name: name.into(), priority: None, quota: None, home_regions: None },
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    }
}

/// Creates a configuration with `routes`.
pub fn config(version: u64, routes: Vec<Route>) -> RouteConfig {
    RouteConfig::new(
        version,
        CallerLimits { max_body_bytes: 8 << 20, ..CallerLimits::default() },
        routes,
    )
}
