//! A box that has just started: the configuration and the targets must have arrived before it is ready.

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

/// The configuration as the store stand-in writes it.
const TEXT: &[u8] = b"1\n";
/// The version of the peer's view of the store.
const VERSION: ViewVersion = ViewVersion {
    revision: 2,
    age_ms: 0,
    digest: 99,
    config_revision: 1,
    config_age_ms: 0,
    era: 0,
    config_era: 0,
    config_version: 0,
    config_through: 1,
    config_through_era: 0,
};

/// A peer that sends its configuration at once, and its targets only after `sends_targets` is set.
struct SlowPeer {
    host: IpAddr,
    socket: UdpSocket,
    sends_targets: Arc<AtomicBool>,
}

impl SlowPeer {
    fn start(target: TargetRecord) -> SlowPeer {
        let host = own_host();
        let listener = TcpListener::bind((host, EXCHANGE)).expect("the address is free");
        let sends_targets = Arc::new(AtomicBool::new(false));
        let for_connections = Arc::clone(&sends_targets);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (stream, target) = (TcpStream::from(stream), target.clone());
                let sends_targets = Arc::clone(&for_connections);
                thread::spawn(move || task::block_on(serve(&stream, target, &sends_targets)));
            }
        });
        let socket = UdpSocket::bind((host, GOSSIP)).expect("the address is free");
        SlowPeer { host, socket, sends_targets }
    }

    /// Sends a heartbeat with the version of this peer's view to a box.
    fn send_heartbeat(&self, to: IpAddr) {
        let heartbeat = Heartbeat { view_version: Some(VERSION), ..Heartbeat::default() };
        let datagram = Datagram {
            box_id: format!("peer-{}", self.host),
            data_centre: "centre".into(),
            incarnation: 7,
            body: Some(DatagramBody::Heartbeat(heartbeat)),
            link_mbps: 0,
        };
        let to = SocketAddr::new(to, GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), to).expect("loopback");
    }
}

async fn serve(stream: &TcpStream, target: TargetRecord, sends_targets: &AtomicBool) {
    // A box that timed out has closed the connection.
    let Ok(ExchangeRequest { question: Some(question) }) = receive_message(stream).await else {
        return;
    };
    let sent = match question {
        ExchangeQuestion::Config(_) => {
            let patch = make_patch(b"", TEXT);
            let delta = ConfigDelta { to: 1, hash: xxh3_64(TEXT), patch, ..ConfigDelta::default() };
            let reply = ConfigReply { revision: 1, deltas: vec![delta], ..ConfigReply::default() };
            send_message(stream, &reply).await
        }
        ExchangeQuestion::Targets(_) if sends_targets.load(Ordering::Acquire) => {
            let targets = vec![target];
            let reply = TargetsReply {
                version: Some(VERSION),
                parts: packed(targets),
                ..TargetsReply::default()
            };
            send_message(stream, &reply).await
        }
        ExchangeQuestion::Targets(_) | ExchangeQuestion::Relay(_) => Ok(()),
    };
    let _ = sent;
}

/// Boxes that all start at once get the configuration from a peer before the targets. When all boxes were
/// killed twice in a day, 729 requests were refused because no target was listed.
#[test]
fn a_box_without_targets_is_not_ready() {
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
    eventually("a reading of the store has failed", || store.reads() > 0);
    eventually("the configuration is in force", || {
        peer.send_heartbeat(gateway.host());
        gateway.request("GET", "/none/x").status == 404
    });
    assert!(!gateway.is_ready(), "without targets it would refuse each request");
    peer.sends_targets.store(true, Ordering::Release);
    eventually("the box is ready with the targets", || {
        peer.send_heartbeat(gateway.host());
        gateway.is_ready()
    });
    assert_eq!(gateway.request("GET", "/r/x").status, 200);
}
