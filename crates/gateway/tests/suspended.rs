//! Suspended machines: the monotonic clock does not count the time of a suspension, during which all other
//! machines go on.
//!
//! Without a correction, a box that resumed after five seconds would report a view as "0.3 s old" that was 5.3 s
//! old, and would give a target 7.9 s for a request whose caller had 2.9 s left.

mod harness;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use harness::{
    BoxUnderTest, GOSSIP, Script, StoreStandin, TargetStandin, config, eventually, header,
    own_host, route,
};
use prost::Message;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{Datagram, DatagramBody, Heartbeat};

const SUSPENDED: Duration = Duration::from_secs(5);

#[test]
fn reported_view_age_includes_the_suspension() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    // Keeps the box from reading a newer view.
    store.set_unreachable(true);
    store.set_suspended(SUSPENDED);
    let peer = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
    peer.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid time");
    let heartbeat = Heartbeat { wants_reply: true, ..Heartbeat::default() };
    let datagram = Datagram {
        box_id: "peer".into(),
        data_centre: "centre".into(),
        incarnation: 1,
        body: Some(DatagramBody::Heartbeat(heartbeat)),
        link_mbps: 0,
    };
    let address = SocketAddr::new(gateway.host(), GOSSIP);
    peer.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    let mut buffer = [0; 4096];
    let length = peer.recv(&mut buffer).expect("the box answers");
    let answer = Datagram::decode(&buffer[..length]).expect("a datagram");
    let Some(DatagramBody::Heartbeat(Heartbeat { view_version: Some(version), .. })) = answer.body
    else {
        panic!("expected a heartbeat with a view version: {answer:?}");
    };
    assert!(version.age_ms >= 5_000, "{} ms", version.age_ms);
    assert!(version.config_age_ms >= 5_000, "{} ms", version.config_age_ms);
}

#[test]
fn remaining_time_of_a_request_excludes_the_suspension() {
    let first = TargetStandin::start("first", "service", Script::WaitsThenSheds);
    let second = TargetStandin::start("second", "service", Script::WaitsThenSheds);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(vec![first.entry.clone(), second.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("POST", "/r/x", "X-Left: 8000\r\n", "order");
    eventually("a target has the request", || {
        first.requests().len() + second.requests().len() == 1
    });
    store.set_suspended(SUSPENDED);
    first.release();
    second.release();
    assert_eq!(caller.read().expect("an answer").status, 503);
    let requests = [first.requests(), second.requests()].concat();
    assert_eq!(requests.len(), 2, "each target got the request once");
    let remaining_ms = |request: &String| header(request, "x-left")?.parse::<u64>().ok();
    let min_remaining_ms = requests.iter().filter_map(remaining_ms).min();
    assert!(
        min_remaining_ms.is_some_and(|remaining_ms| remaining_ms <= 3_000),
        "{min_remaining_ms:?} ms"
    );
}
