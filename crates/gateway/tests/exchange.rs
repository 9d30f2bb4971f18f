//! Requests between boxes, as raw messages: what a peer is sent, and the effect of invalid messages.

mod harness;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use harness::{
    BoxUnderTest, EXCHANGE, GOSSIP, Script, StoreStandin, TargetStandin, config, connect_exchange,
    eventually, exchange_on, fetch_targets, own_host, packed, route, unpacked,
};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wingbridge_gateway::config_source::ConfigSource;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::store_revision::StoreRevision;
use wingbridge_gateway::text_patch::{apply_patch, make_patch};
use wingbridge_gateway::view::ConfigText;
use wingbridge_wire::gossip::{
    ConfigDelta, ConfigReply, ConfigRequest, Datagram, DatagramBody, ExchangeQuestion,
    ExchangeRequest, Heartbeat, TargetRecord, TargetsReply, ViewVersion,
};
use wingbridge_wire::{WireError, receive_message, send_message};

fn store() -> StoreStandin {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store
}

fn fetch_config(host: IpAddr, revision: u64) -> ConfigReply {
    let question = ExchangeQuestion::Config(ConfigRequest { revision, ..ConfigRequest::default() });
    exchange_on(&connect_exchange(host), Some(question)).expect("the box replies")
}

#[test]
fn a_peer_is_sent_the_delta_of_the_configuration() {
    let store = store();
    store.set_noise(200_000);
    store.put_config(config(2, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let first = fetch_config(gateway.host(), 0);
    assert_eq!((first.deltas.len(), first.deltas[0].from), (1, 0));
    let text = apply_patch(b"", &first.deltas[0].patch).expect("the patch fits the empty text");
    assert!(text.len() > 200_000);
    store.put_config(config(3, vec![route("later", "service", RouteKind::Repeatable)]));
    eventually("the change is in force", || gateway.request("GET", "/later/x").status != 404);
    // A configuration is in force a moment before the box can send it, because the delta is computed first.
    eventually("the change can be fetched", || {
        fetch_config(gateway.host(), first.revision).revision > first.revision
    });
    let second = fetch_config(gateway.host(), first.revision);
    assert_eq!((second.deltas.len(), second.deltas[0].from), (1, first.revision));
    let patched = apply_patch(&text, &second.deltas[0].patch).expect("the patch fits its base");
    assert_eq!(patched[0], b'3');
    assert!(second.encoded_len() < 5_000, "unchanged text is not sent again");
    let unknown = fetch_config(gateway.host(), first.revision - 1);
    assert_eq!(unknown.deltas[0].from, 0, "a peer with an unknown revision is sent the full text");
    assert_eq!(fetch_config(gateway.host(), second.revision).deltas, []);
}

struct TransferCase {
    name: &'static str,
    link_mbps: u32,
    bytes: usize,
    /// Number of concurrent transfers for twenty requests.
    sent: usize,
}

const TRANSFERS: &[TransferCase] = &[
    TransferCase { name: "low capacity", link_mbps: 10, bytes: 100_000, sent: 3 },
    TransferCase { name: "unknown capacity", link_mbps: 0, bytes: 100_000, sent: 3 },
    TransferCase { name: "high capacity", link_mbps: 200, bytes: 100_000, sent: 16 },
    TransferCase { name: "a small configuration", link_mbps: 10, bytes: 4_000, sent: 20 },
];

/// A box that sent a configuration to all boxes of its data centre at once served each of them too slowly.
#[test]
fn a_large_configuration_is_sent_to_a_few_peers_at_a_time() {
    let mut random = SmallRng::seed_from_u64(3);
    for case in TRANSFERS {
        let source = ConfigSource::new(case.link_mbps);
        let text: Vec<u8> = (0..case.bytes).map(|_| random.random()).collect();
        source.put(1, ConfigText { revision: 7.into(), text: text.into() }, Vec::new());
        let request = || source.reply(ConfigRequest::default(), 0);
        let mut replies: Vec<_> = (0..20).map(|_| request()).collect();
        let busy = replies.iter().filter(|reply| reply.message().busy).count();
        assert_eq!(20 - busy, case.sent, "{}", case.name);
        assert!(
            replies.iter().all(|reply| reply.message().busy == reply.message().deltas.is_empty())
        );
        if busy == 0 {
            continue;
        }
        let seeder: IpAddr = "10.0.0.9".parse().expect("an address");
        source.record_seeder(seeder, 7.into());
        assert_eq!(request().message().seeders, ["10.0.0.9"], "{}", case.name);
        replies.remove(0);
        assert!(!request().message().busy, "{}: a transfer slot is free", case.name);
        assert!(
            request().message().deltas.len() == 1,
            "{}: a dropped reply frees its transfer slot",
            case.name
        );
    }
}

struct ChainCase {
    name: &'static str,
    held: ConfigRequest,
    /// Eras of the bases of the deltas in the reply, each with the number of the revision.
    bases: &'static [(u64, u64)],
}

const CHAINS: &[ChainCase] = &[
    ChainCase {
        name: "held before the return",
        held: ConfigRequest { revision: 7, era: 1, version: 4 },
        bases: &[(1, 7)],
    },
    ChainCase {
        name: "held two configurations ago",
        held: ConfigRequest { revision: 6, era: 1, version: 3 },
        bases: &[(1, 6), (1, 7)],
    },
    ChainCase {
        name: "the newest",
        held: ConfigRequest { revision: 7, era: 2, version: 5 },
        bases: &[],
    },
    ChainCase {
        name: "the same number in an era that is not known",
        held: ConfigRequest { revision: 7, era: 3, version: 4 },
        bases: &[(0, 0)],
    },
    ChainCase {
        name: "an earlier release",
        held: ConfigRequest { revision: 7, era: 0, version: 0 },
        bases: &[(0, 0)],
    },
];

/// A revision that the store gave out twice stood for two configurations.
#[test]
fn deltas_name_the_era_of_the_revisions_that_they_join() {
    let source = ConfigSource::new(0);
    for (version, era, number) in [(3, 1, 6), (4, 1, 7), (5, 2, 7)] {
        let revision = StoreRevision { era, number };
        let text = ConfigText { revision, text: version.to_string().into_bytes().into() };
        source.put(version, text, Vec::new());
    }
    for case in CHAINS {
        let reply = source.reply(case.held, 0);
        let deltas = &reply.message().deltas;
        let bases: Vec<(u64, u64)> =
            deltas.iter().map(|delta| (delta.from_era, delta.from)).collect();
        assert_eq!(bases, case.bases, "{}", case.name);
        let last = deltas.last().map(|delta| (delta.to_era, delta.to));
        assert_eq!(last.unwrap_or((2, 7)), (2, 7), "{}", case.name);
    }
    let older = StoreRevision { era: 2, number: 9 };
    source.put(4, ConfigText { revision: older, text: b"4".as_slice().into() }, Vec::new());
    let newest = source.reply(ConfigRequest::default(), 0);
    assert_eq!(newest.revision().number, 7, "an older version in a copy is not served");
}

#[test]
fn targets_are_sent_as_a_delta() {
    let [kept, removed] =
        ["stays", "leaves"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store();
    store.put_targets(vec![removed.entry.clone(), kept.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let all = fetch_targets(gateway.host(), 0);
    assert_eq!((all.base, unpacked(&all).len()), (0, 2));
    let digest = all.version.expect("the box has a listing").digest;
    store.put_targets(vec![kept.entry.clone()]);
    let mut delta = TargetsReply::default();
    eventually("the removal arrives", || {
        delta = fetch_targets(gateway.host(), digest);
        delta.version.is_some_and(|version| version.digest != digest)
    });
    assert_eq!((delta.base, unpacked(&delta).len()), (digest, 0));
    assert_eq!(delta.removed, ["leaves"]);
    assert_eq!(fetch_targets(gateway.host(), 77).base, 0, "an unknown base gets the full listing");
}

#[test]
fn a_request_without_a_kind_ends_only_its_connection() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    assert!(exchange_on::<TargetsReply>(&connect_exchange(gateway.host()), None).is_err());
    assert!(fetch_targets(gateway.host(), 0).version.is_some());
}

/// In a data centre with links of 10 and 200 Mbit/s, a box with 10 Mbit/s read the store for all, and a
/// large configuration or listing took a second until any box had it.
#[test]
fn boxes_with_more_link_capacity_read_first() {
    let (fast, slow) = (store(), store());
    let reader = BoxUnderTest::start_with(fast.port(true), &[], |settings| {
        settings.link_mbps = 200;
    });
    reader.wait_ready();
    let others: Vec<BoxUnderTest> = (0..4)
        .map(|_| {
            BoxUnderTest::start_with(slow.port(true), &[reader.host()], |settings| {
                settings.link_mbps = 10;
            })
        })
        .collect();
    for other in &others {
        other.wait_ready();
    }
    // Once the boxes have found each other, the one with the fast link reads for all.
    eventually("the boxes with slow links don't read", || {
        let before = (fast.reads(), slow.reads());
        thread::sleep(Duration::from_millis(1500));
        fast.reads() > before.0 && slow.reads() == before.1
    });
}

/// A box that has learned of a newer configuration and can't fetch it within the time of a change serves
/// an outdated one. It reports that it is not ready, so that callers are sent to other boxes.
#[test]
fn a_box_with_a_stale_configuration_is_not_ready() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let version = ViewVersion { config_revision: 9, ..ViewVersion::default() };
    eventually("the box is not ready", || {
        peer.send_heartbeat(&gateway, version);
        !gateway.is_ready()
    });
    assert_ne!(gateway.request("GET", "/r/x").status, 404, "requests that still arrive are served");
}

/// A peer that sends heartbeats and replies as a test defines them.
struct PeerStandin {
    host: IpAddr,
    socket: UdpSocket,
}

impl PeerStandin {
    fn start(host: IpAddr) -> PeerStandin {
        let socket = UdpSocket::bind(SocketAddr::new(host, GOSSIP)).expect("the address is free");
        PeerStandin { host, socket }
    }

    /// Sends a heartbeat with the version of this peer's view to a box.
    fn send_heartbeat(&self, gateway: &BoxUnderTest, version: ViewVersion) {
        let datagram = Datagram {
            box_id: "peer".into(),
            data_centre: "centre".into(),
            incarnation: 1,
            body: Some(DatagramBody::Heartbeat(Heartbeat {
                view_version: Some(version),
                ..Heartbeat::default()
            })),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    }

    /// Answers each request with the result of `reply`.
    fn answer<M: Message + Default>(
        &self,
        mut reply: impl FnMut(ExchangeQuestion) -> M + Send + 'static,
    ) {
        let address = SocketAddr::new(self.host, EXCHANGE);
        let listener = task::block_on(TcpListener::bind(address)).expect("the address is free");
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let received: Result<ExchangeRequest, WireError> = receive_message(&stream).await;
                if let Ok(ExchangeRequest { question: Some(question) }) = received {
                    // The box may have closed the connection; it needs no reply then.
                    let _ = send_message(&stream, &reply(question)).await;
                }
            }
        });
    }
}

/// A delta that does not result in the listing of the reported digest is not applied, and the full listing
/// is requested instead.
#[test]
fn a_delta_with_the_wrong_result_is_not_applied() {
    let [listed, unlisted] =
        ["known", "strange"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store();
    store.put_targets(vec![listed.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let version = ViewVersion { revision: u64::MAX, digest: 77, ..ViewVersion::default() };
    let full_requested = Arc::new(AtomicBool::new(false));
    let requested = Arc::clone(&full_requested);
    let record = TargetRecord {
        id: "strange".into(),
        address: unlisted.entry.address.to_string(),
        service: "service".into(),
        data_centre: "centre".into(),
        slots: 1,
        ..TargetRecord::default()
    };
    peer.answer(move |question| {
        let digest = match question {
            ExchangeQuestion::Targets(request) => request.digest,
            ExchangeQuestion::Config(_) | ExchangeQuestion::Relay(_) => 0,
        };
        requested.fetch_or(digest == 0, Ordering::Relaxed);
        // A full listing without a version is ignored: the box keeps its own.
        let sent_version = (digest != 0).then_some(version);
        TargetsReply {
            version: sent_version,
            base: digest,
            parts: packed(vec![record.clone()]),
            ..TargetsReply::default()
        }
    });
    eventually("the full listing is requested", || {
        peer.send_heartbeat(&gateway, version);
        full_requested.load(Ordering::Relaxed)
    });
    for _ in 0..20 {
        assert_eq!(gateway.request("GET", "/r/x").status, 200);
    }
    assert_eq!(unlisted.requests().len(), 0);
}

/// Deltas with the wrong result, or with the wrong base, are not applied.
#[test]
fn configuration_deltas_with_the_wrong_base_or_result_are_not_applied() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let answered = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&answered);
    peer.answer(move |_| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let delta = |from, hash| ConfigDelta {
            from,
            to: 9,
            hash,
            patch: make_patch(b"", b"9"),
            ..ConfigDelta::default()
        };
        let deltas = match number % 3 {
            0 => vec![delta(0, 1)],
            1 => vec![delta(5, 1)],
            _ => vec![delta(0, 1), delta(3, 1)],
        };
        ConfigReply { revision: 9, deltas, ..ConfigReply::default() }
    });
    let version = ViewVersion { config_revision: 9, ..ViewVersion::default() };
    eventually("all three replies were sent", || {
        peer.send_heartbeat(&gateway, version);
        answered.load(Ordering::Relaxed) >= 3
    });
    assert_ne!(
        gateway.request("GET", "/r/x").status,
        404,
        "the previous configuration stays in force"
    );
    assert_eq!(fetch_config(gateway.host(), 0).revision, 1);
}
