//! What boxes tell each other of requests under which targets end, as a peer hears it.

mod harness;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use harness::{BoxUnderTest, GOSSIP, Script, StoreStandin, TargetStandin, config, own_host, route};
use prost::Message;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{CrashRecord, Datagram, DatagramBody, Heartbeat, PassiveSamples};

/// A peer that listens.
struct PeerStandin {
    socket: UdpSocket,
}

impl PeerStandin {
    /// A peer that `gateway` knows.
    fn known_to(gateway: &BoxUnderTest) -> PeerStandin {
        let socket = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
        socket.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid time");
        let peer = PeerStandin { socket };
        peer.send(
            gateway,
            DatagramBody::Heartbeat(Heartbeat { wants_reply: true, ..Heartbeat::default() }),
        );
        peer.hear(|body| matches!(body, DatagramBody::Heartbeat(_)).then_some(()));
        peer
    }

    fn send(&self, gateway: &BoxUnderTest, body: DatagramBody) {
        let datagram = Datagram {
            box_id: "peer".into(),
            data_centre: "centre".into(),
            incarnation: 1,
            body: Some(body),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    }

    /// Reads datagrams until one of them is wanted.
    fn hear<T>(&self, wanted: impl Fn(DatagramBody) -> Option<T>) -> T {
        let mut buffer = [0; 4096];
        loop {
            let length = self.socket.recv(&mut buffer).expect("it is told in time");
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
            if let Some(found) = datagram.body.and_then(&wanted) {
                return found;
            }
        }
    }
}

fn start() -> (TargetStandin, StoreStandin, BoxUnderTest) {
    let target = TargetStandin::start("t", "service", Script::CrashesOnPoison);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    (target, store, gateway)
}

fn of_sightings(body: DatagramBody) -> Option<PassiveSamples> {
    match body {
        DatagramBody::PassiveSamples(told) if !told.crashes.is_empty() => Some(told),
        _ => None,
    }
}

/// With signs of life alone peers would hear of it a second later: at twenty tries a second after twenty more.
#[test]
fn a_target_s_end_is_told_with_the_request_at_once() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    assert_eq!(gateway.request("POST", "/r/deadly").status, 502);
    let told = peer.hear(of_sightings);
    assert_eq!(told.crashes[0].targets.len(), 1);
    let bad = told.targets.iter().find(|seen| seen.bad > 0).expect("in the failure's datagram");
    assert_eq!(told.crashes[0].targets[0], bad.target);
}

/// Datagrams are lost, and boxes cut off for seconds.
#[test]
fn it_is_told_again_with_signs_of_life() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    assert_eq!(gateway.request("POST", "/r/deadly").status, 502);
    let crashes = peer.hear(|body| match body {
        DatagramBody::Heartbeat(beacon) if !beacon.crashes.is_empty() => Some(beacon.crashes),
        _ => None,
    });
    assert_eq!(crashes[0].targets.len(), 1);
}

/// Nonsense from a peer costs no box its service.
#[test]
fn odd_words_of_a_peer_refuse_nothing() {
    let (_target, _store, gateway) = start();
    let peer = PeerStandin::known_to(&gateway);
    let odd = [
        CrashRecord { fingerprint: 1, targets: vec![1, 2, 3], ..CrashRecord::default() },
        CrashRecord { ages_ms: vec![1; 400], ..CrashRecord::default() },
        CrashRecord {
            fingerprint: 2,
            targets: vec![1, 1, 1, 1],
            ages_ms: vec![u64::MAX; 4],
            succeeded_plus_one: u64::MAX,
        },
    ];
    for crash in odd {
        let crashes = vec![crash];
        peer.send(
            &gateway,
            DatagramBody::PassiveSamples(PassiveSamples { crashes, ..PassiveSamples::default() }),
        );
    }
    // It answers what comes behind, and serves.
    peer.send(
        &gateway,
        DatagramBody::Heartbeat(Heartbeat { wants_reply: true, ..Heartbeat::default() }),
    );
    peer.hear(|body| matches!(body, DatagramBody::Heartbeat(_)).then_some(()));
    assert_eq!(gateway.request("POST", "/r/sound").status, 200);
}
