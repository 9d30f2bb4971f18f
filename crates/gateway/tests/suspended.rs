//! Machines that stood suspended: the steady clock did not count that time, and all else went on.
//!
//! By the code a box that woke after five seconds told its peers of a view "0.3 s old" that was 5.3 s old, and gave a target
//! 7.9 s for a request whose caller had 2.9 s left.

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
fn what_a_box_tells_has_aged_while_its_machine_was_suspended() {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    // So that it has no newer view to tell of.
    store.set_unreachable(true);
    store.set_suspended(SUSPENDED);
    let peer = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
    peer.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid time");
    let asks = Heartbeat { wants_reply: true, ..Heartbeat::default() };
    let datagram = Datagram {
        box_id: "peer".into(),
        data_centre: "centre".into(),
        incarnation: 1,
        body: Some(DatagramBody::Heartbeat(asks)),
        link_mbps: 0,
    };
    let address = SocketAddr::new(gateway.host(), GOSSIP);
    peer.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    let mut buffer = [0; 4096];
    let length = peer.recv(&mut buffer).expect("it answers");
    let answer = Datagram::decode(&buffer[..length]).expect("a datagram");
    let Some(DatagramBody::Heartbeat(Heartbeat { view_version: Some(mark), .. })) = answer.body
    else {
        panic!("a beacon with a mark: {answer:?}");
    };
    assert!(mark.age_ms >= 5_000, "{} ms", mark.age_ms);
    assert!(mark.config_age_ms >= 5_000, "{} ms", mark.config_age_ms);
}

#[test]
fn a_request_has_the_time_left_that_its_caller_has() {
    let first = TargetStandin::start("first", "service", Script::WaitsThenSheds);
    let second = TargetStandin::start("second", "service", Script::WaitsThenSheds);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(vec![first.entry.clone(), second.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let mut caller = gateway.connect();
    caller.send("POST", "/r/x", "X-Left: 8000\r\n", "order");
    eventually("a target has it", || first.requests().len() + second.requests().len() == 1);
    store.set_suspended(SUSPENDED);
    first.release();
    second.release();
    assert_eq!(caller.read().expect("an answer").status, 503);
    let seen = [first.requests(), second.requests()].concat();
    assert_eq!(seen.len(), 2, "each of them was asked once");
    let left = |request: &String| header(request, "x-left")?.parse::<u64>().ok();
    let least = seen.iter().filter_map(left).min();
    assert!(least.is_some_and(|left| left <= 3_000), "{least:?} ms");
}
