//! A box that has just started: what it must know before it takes callers.

mod harness;

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use async_std::net::TcpStream;
use async_std::task;
use harness::{
    BoxUnderTest, EXCHANGE, GOSSIP, Script, StoreStandin, TargetStandin, config, eventually,
    own_host, packed, route,
};
use prost::Message;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::text_patch::make_patch;
use wingbridge_wire::gossip::{
    ConfigDelta, ConfigReply, Datagram, DatagramBody, ExchangeQuestion, ExchangeRequest, Heartbeat,
    TargetRecord, TargetsReply, ViewVersion,
};
use wingbridge_wire::{receive_message, send_message};
use xxhash_rust::xxh3::xxh3_64;

/// The configuration as the stand-in writes it.
const TEXT: &[u8] = b"1\n";
/// The peer's view of the store.
const MARK: ViewVersion =
    ViewVersion { revision: 2, age_ms: 0, digest: 99, config_revision: 1, config_age_ms: 0 };

/// A peer that hands its configuration over at once, and its targets once `lists` is set.
struct SlowPeer {
    host: IpAddr,
    socket: UdpSocket,
    lists: Arc<AtomicBool>,
}

impl SlowPeer {
    fn start(target: TargetRecord) -> SlowPeer {
        let host = own_host();
        let listener = TcpListener::bind((host, EXCHANGE)).expect("its own address");
        let lists = Arc::new(AtomicBool::new(false));
        let listing = Arc::clone(&lists);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (stream, target) = (TcpStream::from(stream), target.clone());
                let listing = Arc::clone(&listing);
                thread::spawn(move || task::block_on(serve(&stream, target, &listing)));
            }
        });
        let socket = UdpSocket::bind((host, GOSSIP)).expect("its own address");
        SlowPeer { host, socket, lists }
    }

    /// Tells a box how new what it has is.
    fn tell(&self, to: IpAddr) {
        let beacon = Heartbeat { view_version: Some(MARK), ..Heartbeat::default() };
        let datagram = Datagram {
            box_id: format!("peer-{}", self.host),
            data_centre: "centre".into(),
            incarnation: 7,
            body: Some(DatagramBody::Heartbeat(beacon)),
            link_mbps: 0,
        };
        let to = SocketAddr::new(to, GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), to).expect("loopback");
    }
}

async fn serve(stream: &TcpStream, target: TargetRecord, lists: &AtomicBool) {
    // A box that gave up has closed, which ends it here as well.
    let Ok(ExchangeRequest { question: Some(question) }) = receive_message(stream).await else {
        return;
    };
    let sent = match question {
        ExchangeQuestion::Config(_) => {
            let patch = make_patch(b"", TEXT);
            let step = ConfigDelta { from: 0, to: 1, hash: xxh3_64(TEXT), patch };
            let reply = ConfigReply { revision: 1, deltas: vec![step], ..ConfigReply::default() };
            send_message(stream, &reply).await
        }
        ExchangeQuestion::Targets(_) if lists.load(Ordering::Acquire) => {
            let targets = vec![target];
            let reply = TargetsReply {
                version: Some(MARK),
                parts: packed(targets),
                ..TargetsReply::default()
            };
            send_message(stream, &reply).await
        }
        ExchangeQuestion::Targets(_) => Ok(()),
    };
    let _ = sent;
}

/// Boxes that all start at once have the configuration from a peer before its targets: on a day
/// on which all were killed twice 729 requests were told that no target takes them.
#[test]
fn a_box_that_lacks_the_targets_takes_no_callers() {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store.set_unreachable(true);
    let record = TargetRecord {
        id: "t".into(),
        address: target.entry.address.to_string(),
        service: "service".into(),
        data_centre: "centre".into(),
        slots: 3,
        ..TargetRecord::default()
    };
    let peer = SlowPeer::start(record);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    eventually("it misses the store", || store.reads() > 0);
    eventually("the configuration is in force", || {
        peer.tell(gateway.host());
        gateway.request("GET", "/none/x").status == 404
    });
    assert!(!gateway.is_ready(), "it would turn each caller away");
    peer.lists.store(true, Ordering::Release);
    eventually("it has the targets", || {
        peer.tell(gateway.host());
        gateway.is_ready()
    });
    assert_eq!(gateway.request("GET", "/r/x").status, 200);
}
