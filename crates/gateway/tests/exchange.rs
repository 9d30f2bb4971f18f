//! Questions between boxes, as raw messages: who is sent what, and what nonsense does.

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

fn ask_config(host: IpAddr, revision: u64) -> ConfigReply {
    let question = ExchangeQuestion::Config(ConfigRequest { revision });
    exchange_on(&connect_exchange(host), Some(question)).expect("it answers")
}

#[test]
fn a_peer_is_sent_what_is_new_to_it() {
    let store = store();
    store.set_noise(200_000);
    store.put_config(config(2, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let first = ask_config(gateway.host(), 0);
    assert_eq!((first.deltas.len(), first.deltas[0].from), (1, 0));
    let text = apply_patch(b"", &first.deltas[0].patch).expect("it fits the empty text");
    assert!(text.len() > 200_000);
    store.put_config(config(3, vec![route("later", "service", RouteKind::Repeatable)]));
    eventually("the change is in force", || gateway.request("GET", "/later/x").status != 404);
    // A box works by a configuration a moment before it can hand it on: what is new has to be worked out.
    eventually("it is handed on", || {
        ask_config(gateway.host(), first.revision).revision > first.revision
    });
    let second = ask_config(gateway.host(), first.revision);
    assert_eq!((second.deltas.len(), second.deltas[0].from), (1, first.revision));
    let patched = apply_patch(&text, &second.deltas[0].patch).expect("it fits its base");
    assert_eq!(patched[0], b'3');
    assert!(second.encoded_len() < 5_000, "what is the same is not sent");
    let unknown = ask_config(gateway.host(), first.revision - 1);
    assert_eq!(unknown.deltas[0].from, 0, "a peer with another one has all of it sent");
    assert_eq!(ask_config(gateway.host(), second.revision).deltas, []);
}

struct RoomCase {
    name: &'static str,
    link_mbps: u32,
    bytes: usize,
    /// Boxes that are sent it at once, of twenty that ask.
    sent: usize,
}

const ROOM: &[RoomCase] = &[
    RoomCase { name: "a narrow link", link_mbps: 10, bytes: 100_000, sent: 3 },
    RoomCase { name: "an unknown one", link_mbps: 0, bytes: 100_000, sent: 3 },
    RoomCase { name: "a wide one", link_mbps: 200, bytes: 100_000, sent: 16 },
    RoomCase { name: "little to send", link_mbps: 10, bytes: 4_000, sent: 20 },
];

/// One box sent a configuration to all of its data centre at once, each of them too slowly.
#[test]
fn a_large_configuration_goes_to_a_few_at_a_time() {
    let mut random = SmallRng::seed_from_u64(3);
    for case in ROOM {
        let source = ConfigSource::new(case.link_mbps);
        let text: Vec<u8> = (0..case.bytes).map(|_| random.random()).collect();
        source.put(ConfigText { revision: 7, text: text.into() }, Vec::new());
        let ask = || source.reply(ConfigRequest { revision: 0 }, 0);
        let mut replies: Vec<_> = (0..20).map(|_| ask()).collect();
        let busy = replies.iter().filter(|reply| reply.message().busy).count();
        assert_eq!(20 - busy, case.sent, "{}", case.name);
        assert!(
            replies.iter().all(|reply| reply.message().busy == reply.message().deltas.is_empty())
        );
        if busy == 0 {
            continue;
        }
        let holder: IpAddr = "10.0.0.9".parse().expect("an address");
        source.record_seeder(holder, 7);
        assert_eq!(ask().message().seeders, ["10.0.0.9"], "{}", case.name);
        replies.remove(0);
        assert!(!ask().message().busy, "{}: one has been sent", case.name);
        assert!(
            ask().message().deltas.len() == 1,
            "{}: a reply that is dropped makes room",
            case.name
        );
    }
}

#[test]
fn targets_are_told_as_a_difference() {
    let [stays, leaves] =
        ["stays", "leaves"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store();
    store.put_targets(vec![leaves.entry.clone(), stays.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let all = fetch_targets(gateway.host(), 0);
    assert_eq!((all.base, unpacked(&all).len()), (0, 2));
    let digest = all.version.expect("it knows some").digest;
    store.put_targets(vec![stays.entry.clone()]);
    let mut news = TargetsReply::default();
    eventually("one is gone", || {
        news = fetch_targets(gateway.host(), digest);
        news.version.is_some_and(|mark| mark.digest != digest)
    });
    assert_eq!((news.base, unpacked(&news).len()), (digest, 0));
    assert_eq!(news.removed, ["leaves"]);
    assert_eq!(fetch_targets(gateway.host(), 77).base, 0, "an unknown listing");
}

#[test]
fn a_question_of_no_kind_ends_its_connection_alone() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    assert!(exchange_on::<TargetsReply>(&connect_exchange(gateway.host()), None).is_err());
    assert!(fetch_targets(gateway.host(), 0).version.is_some());
}

/// In a data centre with links of 10 and 200 Mbit/s a box with 10 read for all, and a large
/// configuration or listing took a second before anybody had it.
#[test]
fn boxes_with_more_room_on_their_links_read_first() {
    let (wide, narrow) = (store(), store());
    let reader = BoxUnderTest::start_with(wide.port(true), &[], |settings| {
        settings.link_mbps = 200;
    });
    reader.wait_ready();
    let others: Vec<BoxUnderTest> = (0..4)
        .map(|_| {
            BoxUnderTest::start_with(narrow.port(true), &[reader.host()], |settings| {
                settings.link_mbps = 10;
            })
        })
        .collect();
    for other in &others {
        other.wait_ready();
    }
    // Once they know each other, the box with more room reads for all.
    eventually("the others don't read", || {
        let before = (wide.reads(), narrow.reads());
        thread::sleep(Duration::from_millis(1500));
        wide.reads() > before.0 && narrow.reads() == before.1
    });
}

/// A box that hears of a newer configuration for longer than a change may take and can't get
/// it works by one that it knows to be old: callers are sent to others.
#[test]
fn a_box_that_knows_that_it_is_behind_is_not_ready() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let mark = ViewVersion { config_revision: 9, ..ViewVersion::default() };
    eventually("it leaves the balancer", || {
        peer.tell(&gateway, mark);
        !gateway.is_ready()
    });
    assert_ne!(gateway.request("GET", "/r/x").status, 404, "what still comes is served");
}

/// A peer that tells what a test wants and answers each question with the next reply of a list.
struct PeerStandin {
    host: IpAddr,
    socket: UdpSocket,
}

impl PeerStandin {
    fn start(host: IpAddr) -> PeerStandin {
        let socket = UdpSocket::bind(SocketAddr::new(host, GOSSIP)).expect("an address of its own");
        PeerStandin { host, socket }
    }

    /// Tells a box what this peer holds.
    fn tell(&self, gateway: &BoxUnderTest, mark: ViewVersion) {
        let datagram = Datagram {
            box_id: "peer".into(),
            data_centre: "centre".into(),
            incarnation: 1,
            body: Some(DatagramBody::Heartbeat(Heartbeat {
                view_version: Some(mark),
                ..Heartbeat::default()
            })),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    }

    /// Answers all questions by `reply`, which is told each of them.
    fn answer<M: Message + Default>(
        &self,
        mut reply: impl FnMut(ExchangeQuestion) -> M + Send + 'static,
    ) {
        let address = SocketAddr::new(self.host, EXCHANGE);
        let listener = task::block_on(TcpListener::bind(address)).expect("an address of its own");
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let asked: Result<ExchangeRequest, WireError> = receive_message(&stream).await;
                if let Ok(ExchangeRequest { question: Some(question) }) = asked {
                    // A box that has gone needs no answer.
                    let _ = send_message(&stream, &reply(question)).await;
                }
            }
        });
    }
}

/// A difference that does not make the listing that was told is not taken: all of it is asked for.
#[test]
fn a_difference_that_makes_something_else_is_not_taken() {
    let [known, strange] =
        ["known", "strange"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store();
    store.put_targets(vec![known.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let mark = ViewVersion { revision: u64::MAX, digest: 77, ..ViewVersion::default() };
    let whole_asked = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&whole_asked);
    let record = TargetRecord {
        id: "strange".into(),
        address: strange.entry.address.to_string(),
        service: "service".into(),
        data_centre: "centre".into(),
        slots: 1,
        ..TargetRecord::default()
    };
    peer.answer(move |question| {
        let digest = match question {
            ExchangeQuestion::Targets(request) => request.digest,
            ExchangeQuestion::Config(_) => 0,
        };
        asked.fetch_or(digest == 0, Ordering::Relaxed);
        // Without a mark the whole listing is none: the box keeps what it has.
        let told = (digest != 0).then_some(mark);
        TargetsReply {
            version: told,
            base: digest,
            parts: packed(vec![record.clone()]),
            ..TargetsReply::default()
        }
    });
    eventually("all of it is asked for", || {
        peer.tell(&gateway, mark);
        whole_asked.load(Ordering::Relaxed)
    });
    for _ in 0..20 {
        assert_eq!(gateway.request("GET", "/r/x").status, 200);
    }
    assert_eq!(strange.requests().len(), 0);
}

/// Steps that lead elsewhere, or that don't follow, change nothing.
#[test]
fn steps_that_make_something_else_are_not_taken() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    let peer = PeerStandin::start(own_host());
    let answered = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&answered);
    peer.answer(move |_| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let step = |from, hash| ConfigDelta { from, to: 9, hash, patch: make_patch(b"", b"9") };
        let steps = match number % 3 {
            0 => vec![step(0, 1)],
            1 => vec![step(5, 1)],
            _ => vec![step(0, 1), step(3, 1)],
        };
        ConfigReply { revision: 9, deltas: steps, ..ConfigReply::default() }
    });
    let mark = ViewVersion { config_revision: 9, ..ViewVersion::default() };
    eventually("each was sent", || {
        peer.tell(&gateway, mark);
        answered.load(Ordering::Relaxed) >= 3
    });
    assert_ne!(gateway.request("GET", "/r/x").status, 404, "the configuration before is in force");
    assert_eq!(ask_config(gateway.host(), 0).revision, 1);
}
