//! A box with stand-ins on loopback: a store that tests write, targets that follow a
//! script, and a caller that speaks raw bytes.
//!
//! Each test has addresses of its own within 127.0.0.0/8, so no port is ever taken.

#![allow(dead_code, reason = "each test file uses its part of the harness")]
#![allow(unused_imports, reason = "each test file uses its part of the harness")]

mod caller;
mod gateway;
mod load;
mod peer;
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
pub use peer::{connect_exchange, exchange_on, fetch_targets, packed, unpacked};
pub use store::StoreStandin;
pub use target::{
    BEGUN_ANSWER_BYTES, LONG_ANSWER_BYTES, POISON_PATH_PART, Script, TargetStandin, entry,
};

/// Looks at something that is about to happen; then the test fails.
const LOOKS: usize = 1000;
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// No read of a test waits longer: it fails instead of standing still.
const READ_TIME: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// An address on loopback that nobody else in this run has.
pub fn own_host() -> IpAddr {
    let process = std::process::id();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let [high, low] = [(process >> 8) as u8 | 0x40, process as u8];
    Ipv4Addr::new(127, high, low, number).into()
}

/// Waits until `check` holds.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if check() {
            return;
        }
        thread::sleep(LOOK_PAUSE);
    }
    panic!("this did not come about: {what}");
}

/// The count of a metric without labels, over all boxes of this process; 0 before the first.
pub fn counter_value(name: &str) -> u64 {
    let text = render_metrics();
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(known, _)| *known == name);
    found.map_or(0, |(_, count)| count.parse().expect("a counter has a whole number"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().skip(1);
    let mut pairs = lines.filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

/// A route to `service` under `/NAME/`.
pub fn route(name: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        kind,
        services: vec![service.into()],
        weights: vec![1],
        max_attempts: 2,
        // Longer than any test looks for something to happen: no time-out helps it along.
        timeout: Duration::from_secs(60),
        goal: Duration::from_secs(1),
        priority: 1,
        access: RouteAccess::ClosedIfCustomers,
        home_regions: None,
    }
}

/// A customer without a limit, with its keys.
pub fn customer(name: &str, keys: &[&str]) -> CustomerSetup {
    CustomerSetup {
        customer: Customer { name: name.into(), priority: None, quota: None, home_regions: None },
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    }
}

/// A configuration of `routes`.
pub fn config(version: u64, routes: Vec<Route>) -> RouteConfig {
    RouteConfig::new(
        version,
        CallerLimits { max_body_bytes: 8 << 20, ..CallerLimits::default() },
        routes,
    )
}
