//! Requests that a box without paths to the targets has handled by a peer: what may run, what the peer learns, and who
//! is served at all.

mod harness;

use std::net::IpAddr;
use std::thread;
use std::time::Duration;

use async_std::task;
use harness::{
    BoxUnderTest, CallerReply, LONG_ANSWER_BYTES, OfferedRequest, PathMode, RelayPeer, RelayScript,
    Script, StoreStandin, TargetPaths, TargetStandin, config, connect_exchange, customer,
    eventually, own_host, request_while, route,
};
use wingbridge_gateway::customers::CustomerTable;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{ExchangeQuestion, ExchangeRequest};
use wingbridge_wire::handshake::prove;
use wingbridge_wire::relay::RelayOffer;
use wingbridge_wire::{FleetKey, HandshakeSide, send_message};

const SERVICES: [(&str, RouteKind); 2] =
    [("reads", RouteKind::Repeatable), ("orders", RouteKind::AtMostOnce)];
const KEY: &str = "a-key-of-the-hikers";
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of requests by which a box must have noticed that its paths are lost.
const MAX_REQUESTS: usize = 60;

fn store(targets: &[TargetStandin]) -> StoreStandin {
    let store = StoreStandin::default();
    let routes = SERVICES.iter().map(|(service, kind)| route(service, service, *kind));
    let customers = CustomerTable::new(vec![customer("hikers", &[KEY])]);
    store.put_config(config(1, routes.collect()).with_customers(customers));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    store
}

fn targets(script: Script) -> Vec<TargetStandin> {
    let start = |service: &str| -> Vec<TargetStandin> {
        let ids = (0..4).map(|number| format!("{service}-{number}"));
        ids.map(|id| TargetStandin::start(&id, service, script)).collect()
    };
    SERVICES.iter().flat_map(|(service, _)| start(service)).collect()
}

fn request(gateway: &BoxUnderTest, path: &str) -> CallerReply {
    gateway.connect().request("GET", path, &format!("X-Key: {KEY}\r\nX-Left: 2000\r\n"))
}

struct PeerCase {
    name: &'static str,
    script: RelayScript,
    /// Status of a lookup and of an order.
    statuses: [u16; 2],
    /// Whether the peer is shown the request.
    shown: bool,
}

const PEER_CASES: &[PeerCase] = &[
    PeerCase { name: "answers", script: RelayScript::Answers, statuses: [200, 200], shown: true },
    PeerCase { name: "declines", script: RelayScript::Declines, statuses: [503, 503], shown: true },
    PeerCase {
        name: "the link dies after the request was sent",
        script: RelayScript::ClosesAfterRequest,
        statuses: [502, 502],
        shown: true,
    },
    PeerCase {
        name: "reaches no target either",
        script: RelayScript::ReachesNoTarget,
        statuses: [503, 503],
        shown: true,
    },
    PeerCase {
        name: "is no box of the fleet",
        script: RelayScript::OtherKey,
        statuses: [503, 503],
        shown: false,
    },
    PeerCase { name: "hangs", script: RelayScript::Silent, statuses: [503, 503], shown: false },
];

/// A refusal promises that nothing ran, which nobody knows once a peer has the request; and a customer's key is a secret
/// of the first box.
#[test]
fn callers_learn_what_a_peer_may_have_run_and_peers_learn_no_key() {
    for case in PEER_CASES {
        let targets = targets(Script::Good);
        let paths = TargetPaths::default();
        let gateway = BoxUnderTest::start(store(&targets).port_with_paths(&paths), &[]);
        gateway.wait_ready();
        let peer = RelayPeer::start(own_host(), gateway.host(), case.script);
        paths.set_mode(PathMode::Reset);
        for ((service, _), status) in SERVICES.iter().zip(case.statuses) {
            let path = format!("/{service}/x?query");
            // A peer that has declined is asked again after its next statement.
            let answer = |_| {
                thread::sleep(PAUSE);
                request(&gateway, &path).status
            };
            let answers: Vec<u16> = (0..MAX_REQUESTS).map(answer).collect();
            assert!(answers.contains(&status), "{}, {service}: {answers:?}", case.name);
            let allowed = [status, 503];
            assert!(answers.iter().all(|one| allowed.contains(one)), "{}: {answers:?}", case.name);
        }
        let received = peer.received();
        assert_eq!(!received.is_empty(), case.shown, "{}", case.name);
        for OfferedRequest { offered, beginning } in &received {
            let texts = [format!("{offered:?}"), String::from_utf8_lossy(beginning).into_owned()];
            assert!(texts.iter().all(|text| !text.contains(KEY)), "{}: {texts:?}", case.name);
            assert_eq!(offered.key_digest.len(), 32, "{}", case.name);
        }
        let reached: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!(reached, 0, "{}: a target was reached on a lost path", case.name);
    }
}

/// The port between boxes passed requests on for whoever connected, past keys and quotas.
#[test]
fn strangers_can_have_no_request_handled() {
    let targets = targets(Script::Good);
    let gateway = BoxUnderTest::start(store(&targets).port(true), &[]);
    gateway.wait_ready();
    let mut stream = connect_exchange(gateway.host());
    let result = task::block_on(async {
        let question = Some(ExchangeQuestion::Relay(RelayOffer {}));
        send_message(&stream, &ExchangeRequest { question }).await?;
        prove(&mut stream, &FleetKey::derive("a guess"), HandshakeSide::Client).await
    });
    assert!(result.is_err(), "a stranger is not served");
}

/// Boxes that all have seen peers with contacts, the first of which then lost its paths.
struct World {
    targets: Vec<TargetStandin>,
    boxes: Vec<BoxUnderTest>,
    paths: Vec<TargetPaths>,
}

impl World {
    fn start(boxes: usize) -> World {
        let targets = targets(Script::Good);
        let store = store(&targets);
        let paths: Vec<TargetPaths> = (0..boxes).map(|_| TargetPaths::default()).collect();
        let hosts: Vec<IpAddr> = (0..boxes).map(|_| own_host()).collect();
        let start = |(paths, host): (&TargetPaths, &IpAddr)| {
            BoxUnderTest::start_at(*host, store.port_with_paths(paths), &hosts, |_| {})
        };
        let boxes: Vec<BoxUnderTest> = paths.iter().zip(&hosts).map(start).collect();
        for gateway in &boxes {
            gateway.wait_ready();
        }
        World { targets, boxes, paths }
    }

    /// Performs `work` while callers send lookups to all boxes.
    fn with_load<T>(&self, work: impl FnOnce() -> T) -> T {
        let load = |gateway: &BoxUnderTest| drop(request(gateway, "/reads/load"));
        request_while(&self.boxes, load, PAUSE, work)
    }

    /// Cuts the paths of the first box and waits until its requests are handled by others.
    fn cut_first(&self) {
        self.paths[0].set_mode(PathMode::Reset);
        let is_served = || (0..10).all(|_| request(&self.boxes[0], "/reads/x").status == 200);
        eventually("the first box has its requests handled", is_served);
    }

    fn set_scripts(&self, script: Script) {
        self.targets.iter().for_each(|target| target.set_script(script));
    }

    fn hang_ups(&self) -> usize {
        self.targets.iter().map(TargetStandin::hang_ups).sum()
    }
}

/// A caller that leaves must be noticed at the target through both boxes.
#[test]
fn a_caller_that_disconnects_cancels_the_work_behind_both_boxes() {
    let world = World::start(3);
    world.with_load(|| world.cut_first());
    world.set_scripts(Script::Hangs);
    let mut caller = world.boxes[0].connect();
    caller.send("GET", "/orders/x", &format!("X-Key: {KEY}\r\n"), "");
    let orders = || world.targets.iter().filter(|target| &*target.entry.service == "orders");
    eventually("a target runs it", || orders().any(|target| !target.requests().is_empty()));
    let before = world.hang_ups();
    drop(caller);
    eventually("the target is told", || world.hang_ups() > before);
}

/// Long bodies pass both boxes in either direction, complete and unchanged.
#[test]
fn long_bodies_pass_both_boxes() {
    /// Length of an upload that no box buffers whole.
    const UPLOAD_BYTES: usize = 3 << 20;
    let world = World::start(3);
    world.with_load(|| {
        world.cut_first();
        let body = "u".repeat(UPLOAD_BYTES);
        let mut caller = world.boxes[0].connect();
        caller.send("POST", "/orders/upload", &format!("X-Key: {KEY}\r\n"), &body);
        assert_eq!(caller.read().expect("an answer").status, 200);
        let received = world.targets.iter().flat_map(TargetStandin::requests);
        let uploads: Vec<String> = received.filter(|text| text.contains("/upload")).collect();
        assert_eq!(uploads.len(), 1, "it ran once");
        assert!(uploads[0].ends_with(&body), "the body is whole");
    });
    world.set_scripts(Script::Long);
    let reply = request(&world.boxes[0], "/orders/long");
    assert!(reply.complete, "status {}, {} bytes", reply.status, reply.body.len());
    assert_eq!(reply.body.len(), LONG_ANSWER_BYTES);
}

/// With no path left in any box, requests are refused as not run, and served again once paths are back.
#[test]
fn requests_are_refused_while_no_box_has_paths() {
    let world = World::start(3);
    world.with_load(|| {
        world.cut_first();
        world.paths.iter().for_each(|paths| paths.set_mode(PathMode::Reset));
        thread::sleep(Duration::from_secs(1));
        for gateway in &world.boxes {
            for _ in 0..10 {
                assert_eq!(request(gateway, "/orders/x").status, 503);
            }
        }
        world.paths.iter().for_each(|paths| paths.set_mode(PathMode::Open));
        let serves = |gateway: &BoxUnderTest| request(gateway, "/orders/x").status == 200;
        eventually("all serve again", || world.boxes.iter().all(serves));
    });
}

/// Targets that are down for all boxes are no reason to have peers handle anything, and the other service is served.
#[test]
fn a_service_that_is_down_for_all_is_refused_and_others_are_served() {
    let world = World::start(3);
    let orders = world.targets.iter().filter(|target| &*target.entry.service == "orders");
    let addresses: Vec<String> = orders.map(|target| target.entry.address.to_string()).collect();
    for paths in &world.paths {
        paths.set_mode_to(PathMode::Refused, addresses.iter().map(String::as_str));
    }
    world.with_load(|| {
        for _ in 0..MAX_REQUESTS {
            for gateway in &world.boxes {
                assert_eq!(request(gateway, "/orders/x").status, 503);
                assert_eq!(request(gateway, "/reads/x").status, 200);
                assert!(gateway.is_ready());
            }
        }
    });
}

/// A box that has lost the paths to one service alone has the requests for it handled, and serves the other itself.
#[test]
fn paths_to_one_service_are_lost_alone() {
    let world = World::start(3);
    let orders = world.targets.iter().filter(|target| &*target.entry.service == "orders");
    let addresses: Vec<String> = orders.map(|target| target.entry.address.to_string()).collect();
    let load = |gateway: &BoxUnderTest| {
        drop(request(gateway, "/reads/load"));
        drop(request(gateway, "/orders/load"));
    };
    request_while(&world.boxes, load, PAUSE, || {
        world.paths[0].set_mode_to(PathMode::Hangs, addresses.iter().map(String::as_str));
        let serves = || (0..5).all(|_| request(&world.boxes[0], "/orders/x").status == 200);
        eventually("orders are handled by others", serves);
        assert_eq!(request(&world.boxes[0], "/reads/x").status, 200);
    });
}

struct StopCase {
    name: &'static str,
    script: RelayScript,
    kind: usize,
    /// Status that says no more than the box can know.
    status: u16,
}

const STOP_CASES: &[StopCase] = &[
    StopCase { name: "a held order", script: RelayScript::Holds, kind: 1, status: 502 },
    StopCase { name: "a peer that hangs", script: RelayScript::Hangs, kind: 1, status: 502 },
    StopCase { name: "a held lookup", script: RelayScript::Holds, kind: 0, status: 502 },
    StopCase { name: "a silent peer", script: RelayScript::Silent, kind: 1, status: 503 },
    StopCase {
        name: "an order not begun",
        script: RelayScript::NotBegunAtEnd,
        kind: 1,
        status: 503,
    },
    StopCase { name: "an order begun", script: RelayScript::BegunAtEnd, kind: 1, status: 502 },
];

/// Orders that a peer handled when its box was stopped were refused as not run, and ran; or were called unknown though the
/// peer had not begun them.
#[test]
fn stopping_box_does_not_refuse_what_a_peer_may_run() {
    for case in STOP_CASES {
        let targets = targets(Script::Good);
        let paths = TargetPaths::default();
        let port = store(&targets).port_with_paths(&paths);
        let gateway = BoxUnderTest::start_with(port, &[], |settings| {
            // So short that open requests are ended at once, within the time for a peer's decision.
            settings.stop_time = Duration::from_millis(300);
        });
        gateway.wait_ready();
        let peer = RelayPeer::start(own_host(), gateway.host(), case.script);
        paths.set_mode(PathMode::Reset);
        let path = format!("/{}/x", SERVICES[case.kind].0);
        let has_it = || match case.script {
            RelayScript::Silent => peer.offers() > 0,
            _ => peer.received().iter().any(|request| !request.beginning.is_empty()),
        };
        // Until the paths are known to be lost, requests are refused at once.
        let mut held = None;
        eventually("a peer has a request, or its offer", || {
            let mut caller = gateway.connect();
            caller.send("GET", &path, &format!("X-Key: {KEY}\r\n"), "");
            thread::sleep(10 * PAUSE);
            held = Some(caller);
            has_it()
        });
        gateway.begin_stop();
        let reply = gateway.answer_before_end(held.expect("a request was sent"));
        let reply = reply.unwrap_or_else(|| panic!("{}: closed without an answer", case.name));
        assert_eq!(reply.status, case.status, "{}: {reply:?}", case.name);
    }
}
