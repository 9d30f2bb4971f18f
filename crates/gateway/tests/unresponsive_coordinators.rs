//! Coordinators of permits that do not reply.
//!
//! The failure that this test guards against: when several boxes had stopped at once, a request went from one
//! unresponsive coordinator to the next and waited for each of them before it was refused. Such requests were given up
//! late.

mod harness;

use std::iter::zip;
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

/// Number of peers, enough for the three targets to have different coordinators.
const PEERS: usize = 12;
/// Time after which a box determines coordinators.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after which a box asks an unresponsive coordinator again.
const RETRY_TIME: Duration = Duration::from_millis(1300);
/// Time between two heartbeats of a peer.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Number of rounds after which the test ends once two peers have been asked. It is greater than the number of targets,
/// so that a box that needs no permit sends to one of them twice. The first target of a round is random, and four rounds
/// asked only one coordinator in 6 of 60 runs.
const MIN_ROUNDS: usize = 4;
/// Maximum number of rounds.
const MAX_ROUNDS: usize = 40;

/// A peer that sends heartbeats and does not reply to requests for permits.
struct UnresponsivePeer {
    requests: Arc<AtomicUsize>,
}

impl UnresponsivePeer {
    fn start(number: usize, gateway: IpAddr) -> UnresponsivePeer {
        let socket = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
        socket.set_read_timeout(Some(HEARTBEAT_PERIOD)).expect("a valid time");
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = Arc::downgrade(&requests);
        thread::spawn(move || run_peer(&socket, number, gateway, &counted));
        UnresponsivePeer { requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

/// Sends heartbeats and counts requests for permits until the test is over.
fn run_peer(socket: &UdpSocket, number: usize, gateway: IpAddr, requests: &Weak<AtomicUsize>) {
    let heartbeat = Datagram {
        box_id: format!("peer-{number}"),
        data_centre: "centre".into(),
        incarnation: 7,
        body: Some(DatagramBody::Heartbeat(Heartbeat::default())),
        // With this link capacity it becomes coordinator rather than the tested box.
        link_mbps: 1000,
    };
    let heartbeat = heartbeat.encode_to_vec();
    let mut buffer = [0; 4096];
    while let Some(requests) = requests.upgrade() {
        socket.send_to(&heartbeat, SocketAddr::new(gateway, GOSSIP)).expect("loopback");
        // No datagram arrived within this period.
        let Ok(length) = socket.recv(&mut buffer) else { continue };
        let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
        if let Some(DatagramBody::Permits(message)) = datagram.body {
            requests.fetch_add(message.requests.len(), Ordering::AcqRel);
        }
    }
}

/// A box without coordinators may send by its own share, to each target once in an hour, at a moment that it draws. That
/// this moment is met in two runs is next to impossible.
#[test]
fn request_waits_for_at_most_one_unresponsive_coordinator() {
    let served = play_rounds();
    if served > 0 {
        assert_eq!(play_rounds(), 0, "no permit is available, and {served} were served before");
    }
}

/// Plays rounds of requests that find no permit. Returns the number of those that were served all the same.
fn play_rounds() -> usize {
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
    let peers: Vec<UnresponsivePeer> =
        (0..PEERS).map(|number| UnresponsivePeer::start(number, gateway.host())).collect();
    thread::sleep(SETTLE_TIME);
    eventually("all limits are known", || {
        gateway.request("GET", "/r/x");
        targets.iter().all(|target| !target.requests().is_empty())
    });
    let requests = || peers.iter().map(UnresponsivePeer::requests).sum::<usize>();
    let asked_peers = || peers.iter().filter(|peer| peer.requests() > 0).count();
    let received = || targets.each_ref().map(|target| target.requests().len());
    let known = received();
    let mut served = 0;
    for round in 0..MAX_ROUNDS {
        if round >= MIN_ROUNDS && asked_peers() > 1 {
            break;
        }
        thread::sleep(RETRY_TIME);
        let before = requests();
        let status = gateway.request("GET", "/r/x").status;
        assert!([200, 503].contains(&status), "round {round}: {status}");
        served += usize::from(status == 200);
        let sent: Vec<usize> = zip(received(), known).map(|(now, before)| now - before).collect();
        assert!(
            sent.iter().all(|sent| *sent <= 1),
            "round {round}: beyond its own share: {sent:?}"
        );
        assert_eq!(sent.iter().sum::<usize>(), served, "round {round}");
        assert!(
            requests() <= before + 1,
            "round {round}: {} peers were asked",
            requests() - before
        );
    }
    assert!(asked_peers() > 1, "the targets have different coordinators");
    served
}
