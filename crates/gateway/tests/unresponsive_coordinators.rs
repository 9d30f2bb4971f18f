//! Boxes that keep permits and do not answer.
//!
//! Where several boxes had ended at once a request went from one silent keeper to the next, and waited for each before
//! it was told that there is no room: read in the code, on days on which requests were given up late.

mod harness;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, GOSSIP, Script, StoreStandin, TargetStandin, config, eventually, own_host, route,
};
use prost::Message;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{Datagram, DatagramBody, Heartbeat};

/// Peers; those of the three targets' keepers are different ones.
const PEERS: usize = 12;
/// A box knows who keeps permits after this long, and asks a silent one again after the second.
const SETTLED: Duration = Duration::from_secs(4);
const ASKS_AGAIN: Duration = Duration::from_millis(1300);
/// Time between two signs of life.
const BEAT: Duration = Duration::from_millis(300);
/// Rounds, and the most of them: which target is asked first is drawn, and four rounds met one keeper alone in 6 of 60
/// plays.
const ROUNDS: usize = 4;
const MOST_ROUNDS: usize = 40;

/// A peer that gives signs of life and answers no ask for a permit.
struct SilentPeer {
    asks: Arc<AtomicUsize>,
}

impl SilentPeer {
    fn start(number: usize, gateway: IpAddr) -> SilentPeer {
        let socket = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
        socket.set_read_timeout(Some(BEAT)).expect("a valid time");
        let asks = Arc::new(AtomicUsize::new(0));
        let counted = Arc::downgrade(&asks);
        thread::spawn(move || live(&socket, number, gateway, &counted));
        SilentPeer { asks }
    }

    fn asks(&self) -> usize {
        self.asks.load(Ordering::Acquire)
    }
}

/// Lives until the test is over.
fn live(socket: &UdpSocket, number: usize, gateway: IpAddr, asks: &Weak<AtomicUsize>) {
    let alive = Datagram {
        box_id: format!("peer-{number}"),
        data_centre: "centre".into(),
        incarnation: 7,
        body: Some(DatagramBody::Heartbeat(Heartbeat::default())),
        // By its link it ranks before the box that is tested.
        link_mbps: 1000,
    };
    let alive = alive.encode_to_vec();
    let mut buffer = [0; 4096];
    while let Some(asks) = asks.upgrade() {
        socket.send_to(&alive, SocketAddr::new(gateway, GOSSIP)).expect("loopback");
        // None came in this beat.
        let Ok(length) = socket.recv(&mut buffer) else { continue };
        let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
        if let Some(DatagramBody::Permits(news)) = datagram.body {
            asks.fetch_add(news.requests.len(), Ordering::AcqRel);
        }
    }
}

#[test]
fn a_request_waits_for_one_silent_keeper_at_most() {
    let targets = ["one", "two", "three"].map(|id| {
        let target = TargetStandin::start(id, "service", Script::Good);
        target.set_answer_headers("X-Limit: 0.01\r\n");
        target
    });
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let peers: Vec<SilentPeer> =
        (0..PEERS).map(|number| SilentPeer::start(number, gateway.host())).collect();
    thread::sleep(SETTLED);
    eventually("all limits are known", || {
        gateway.request("GET", "/r/x");
        targets.iter().all(|target| !target.requests().is_empty())
    });
    let asks = || peers.iter().map(SilentPeer::asks).sum::<usize>();
    let asked = || peers.iter().filter(|peer| peer.asks() > 0).count();
    for round in 0..MOST_ROUNDS {
        if round >= ROUNDS && asked() > 1 {
            break;
        }
        thread::sleep(ASKS_AGAIN);
        let before = asks();
        assert_eq!(gateway.request("GET", "/r/x").status, 503, "there is no room");
        assert!(asks() <= before + 1, "round {round}: {} were asked", asks() - before);
    }
    assert!(asked() > 1, "keepers are different ones");
}
