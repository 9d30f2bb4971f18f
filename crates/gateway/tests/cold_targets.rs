//! Targets that are cold get few requests per second from all boxes together.
//!
//! A cold target got 18 requests in a second where it could serve 5.5 and 16.2 were allowed: its slowness was
//! only a cost in the choice of targets, and boxes that each saw it idle sent to it at once. The rate is now
//! limited over all boxes, with the same permits as the limits that targets report.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, eventually, max_within, own_host,
    request_while, route,
};
use wingbridge_decide::steer::RequestRate;
use wingbridge_gateway::routes::RouteKind;

/// Rate of a cold target in these tests, in requests per second.
const RATE: f64 = 4.0;
/// Maximum number of requests in any second: one and a half times the rate, plus the operators' slack.
const MAX_PER_SECOND: usize = 14;
/// Time within which all boxes have received a listing and found each other.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are counted.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Number of boxes.
const BOXES: usize = 6;
/// Time between the answer of a box and the next request to it.
const PAUSE: Duration = Duration::from_millis(5);

struct World {
    store: StoreStandin,
    cold: TargetStandin,
    warm: TargetStandin,
    boxes: Vec<BoxUnderTest>,
}

impl World {
    fn start() -> World {
        let store = StoreStandin::default();
        let cold = TargetStandin::start("cold", "service", Script::Good);
        let warm = TargetStandin::start("warm", "service", Script::Good);
        let routes = vec![route("r", "service", RouteKind::AtMostOnce)];
        let rates = [("service".into(), RequestRate::new(RATE).expect("the rate is positive"))];
        store.put_config(config(1, routes).with_cold_rates(rates.into()));
        let hosts: Vec<_> = (0..BOXES).map(|_| own_host()).collect();
        let mut world = World { store, cold, warm, boxes: Vec::new() };
        world.list(false);
        for host in &hosts {
            let port = world.store.port(true);
            world.boxes.push(BoxUnderTest::start_at(*host, port, &hosts, |_| {}));
        }
        for gateway in &world.boxes {
            gateway.wait_ready();
        }
        thread::sleep(SETTLE_TIME);
        world
    }

    fn list(&self, is_cold: bool) {
        let mut entry = self.cold.entry.clone();
        entry.is_cold = is_cold;
        entry.cold_time = if is_cold { Duration::from_secs(3) } else { Duration::ZERO };
        self.store.put_targets(vec![entry, self.warm.entry.clone()]);
    }
}

#[test]
fn boxes_together_keep_the_rate_of_a_cold_target_and_still_use_it() {
    let world = World::start();
    let request = |gateway: &BoxUnderTest| drop(gateway.request("POST", "/r/x"));
    let from = request_while(&world.boxes, request, PAUSE, || {
        world.list(true);
        thread::sleep(SETTLE_TIME);
        let from = Instant::now();
        thread::sleep(LOAD_TIME);
        from
    });
    let arrivals = world.cold.arrivals();
    let peak = max_within(&arrivals, from, Duration::from_secs(1));
    assert!(peak <= MAX_PER_SECOND, "the target got {peak} requests in a second");
    let used = arrivals.iter().filter(|at| **at >= from).count();
    assert!(
        used >= LOAD_TIME.as_secs() as usize,
        "the cold target got only {used} requests in {LOAD_TIME:?}"
    );
    world.list(false);
    let before = world.cold.requests().len();
    eventually("the warm target is used without the limit", || {
        world.boxes.iter().for_each(|gateway| drop(gateway.request("POST", "/r/x")));
        world.cold.requests().len() >= before + 60
    });
}
