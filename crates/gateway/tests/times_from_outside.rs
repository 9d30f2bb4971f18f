//! Times that come from outside, beyond the range of a clock.

mod harness;

use std::time::Duration;

use async_std::task;
use harness::{
    BoxUnderTest, Script, StoreStandin, TargetStandin, config, connect_exchange, entry, eventually,
    route,
};
use wingbridge_gateway::OverloadControl;
use wingbridge_gateway::routes::{CallerLimits, RouteConfig, RouteKind};
use wingbridge_wire::gossip::{ExchangeQuestion, ExchangeRequest};
use wingbridge_wire::handshake::prove;
use wingbridge_wire::relay::{RelayDecision, RelayOffer, RelayRequest};
use wingbridge_wire::{FleetKey, HandshakeSide, receive_exact, send_message};

/// A box with one route to one target.
struct World {
    target: TargetStandin,
    store: StoreStandin,
    gateway: BoxUnderTest,
}

impl World {
    fn start() -> World {
        let target = TargetStandin::start("t", "service", Script::Good);
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
        store.put_targets(vec![target.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        World { target, store, gateway }
    }
}

/// One entry of another writer ended the reading of the store in every box, for good.
#[test]
fn entry_with_an_impossible_time_does_not_end_the_reading_of_the_store() {
    let World { target: good, store, gateway } = World::start();
    let mut odd = entry("odd", "unnamed", "127.0.0.1:9");
    (odd.cold_time, odd.is_cold) = (Duration::MAX, true);
    store.put_targets(vec![good.entry.clone(), odd.clone()]);
    let reads = store.reads() + store.change_polls();
    eventually("the entry is read", || store.reads() + store.change_polls() > reads + 1);
    store.put_config(config(2, vec![route("later", "service", RouteKind::Repeatable)]));
    eventually("the change is in force", || gateway.request("GET", "/later/x").status == 200);
    let restarted = BoxUnderTest::start(store.port(true), &[]);
    restarted.wait_ready();
    assert_eq!(restarted.request("GET", "/later/x").status, 200);
}

struct TimeCase {
    name: &'static str,
    change: fn(&mut RouteConfig),
    route_time: Duration,
    goal: Duration,
    headers: &'static str,
    overload: OverloadControl,
}

const USUAL_TIME: Duration = Duration::from_secs(60);
const USUAL_GOAL: Duration = Duration::from_secs(1);

const TIME_CASES: &[TimeCase] = &[
    TimeCase {
        name: "time of the caller",
        change: |_| {},
        route_time: USUAL_TIME,
        goal: USUAL_GOAL,
        headers: "X-Left: 18446744073709551615\r\n",
        overload: OverloadControl::Off,
    },
    TimeCase {
        name: "time of the route, and of the caller",
        change: |_| {},
        route_time: Duration::MAX,
        goal: USUAL_GOAL,
        headers: "X-Left: 18446744073709551615\r\n",
        overload: OverloadControl::Off,
    },
    TimeCase {
        name: "time of the route",
        change: |_| {},
        route_time: Duration::MAX,
        goal: USUAL_GOAL,
        headers: "",
        overload: OverloadControl::Off,
    },
    TimeCase {
        name: "goal of the route",
        change: |_| {},
        route_time: USUAL_TIME,
        goal: Duration::MAX,
        headers: "",
        overload: OverloadControl::On,
    },
    TimeCase {
        name: "limits of callers",
        change: |config| {
            let limits = CallerLimits {
                head_timeout: Duration::MAX,
                idle_timeout: Duration::MAX,
                ..CallerLimits::default()
            };
            config.limits = limits;
        },
        route_time: USUAL_TIME,
        goal: USUAL_GOAL,
        headers: "",
        overload: OverloadControl::Off,
    },
];

/// Guards against a closed connection in place of an answer, by a panic in the task of the request.
#[test]
fn requests_with_an_impossible_time_are_served() {
    for case in TIME_CASES {
        let target = TargetStandin::start("t", "service", Script::Good);
        let store = StoreStandin::default();
        let mut route = route("r", "service", RouteKind::Repeatable);
        (route.timeout, route.goal) = (case.route_time, case.goal);
        let mut config = config(1, vec![route]);
        (case.change)(&mut config);
        store.put_config(config);
        store.put_targets(vec![target.entry.clone()]);
        let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
            settings.overload = case.overload;
        });
        gateway.wait_ready();
        let mut caller = gateway.connect();
        caller.send("GET", "/r/x", case.headers, "");
        let reply = caller.read().unwrap_or_else(|| panic!("{}: no answer", case.name));
        assert_eq!(reply.status, 200, "{}: {reply:?}", case.name);
    }
}

/// Guards against an offer of a peer that gets no decision, by a panic in the task that serves it.
#[test]
fn offer_of_a_peer_with_an_impossible_time_is_decided() {
    let world = World::start();
    let mut stream = connect_exchange(world.gateway.host());
    let decision: Result<RelayDecision, _> = task::block_on(async {
        let question = Some(ExchangeQuestion::Relay(RelayOffer {}));
        send_message(&stream, &ExchangeRequest { question }).await?;
        prove(&mut stream, &FleetKey::derive(""), HandshakeSide::Client).await?;
        let offered = RelayRequest {
            box_id: "peer".into(),
            host: "host.example".into(),
            path: "/r/x".into(),
            service: "service".into(),
            remaining_ms: u64::MAX,
            repeatable: true,
            max_attempts: 2,
            ..RelayRequest::default()
        };
        send_message(&stream, &offered).await?;
        receive_exact(&mut stream, 1024).await
    });
    assert_eq!(decision.expect("a decision").declined, "");
}
