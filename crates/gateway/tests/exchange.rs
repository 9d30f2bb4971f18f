//! Questions between boxes, as raw messages: who is sent what, and what nonsense does.

mod harness;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use harness::{
    BoxUnderTest, EXCHANGE, GOSSIP, Script, StoreStandin, TargetStandin, config, eventually,
    own_host, route,
};
use prost::Message;
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::text_patch::apply_patch;
use wingbridge_wire::gossip::{
    Beacon, ConfigReply, ConfigRequest, Datagram, DatagramBody, ExchangeQuestion, ExchangeRequest,
    TargetsReply, TargetsRequest, ViewMark,
};
use wingbridge_wire::{WireError, receive_message, send_message};

fn store() -> StoreStandin {
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Repeatable)]));
    store
}

fn connect(host: IpAddr) -> TcpStream {
    task::block_on(TcpStream::connect(SocketAddr::new(host, EXCHANGE))).expect("it listens")
}

fn ask_on<M: Message + Default>(
    stream: &TcpStream,
    question: Option<ExchangeQuestion>,
) -> Result<M, WireError> {
    task::block_on(async {
        send_message(stream, &ExchangeRequest { question }).await?;
        receive_message(stream).await
    })
}

fn ask_config(host: IpAddr, revision: u64) -> ConfigReply {
    let question = ExchangeQuestion::Config(ConfigRequest { revision });
    ask_on(&connect(host), Some(question)).expect("it answers")
}

fn ask_targets(host: IpAddr, digest: u64) -> TargetsReply {
    let question = ExchangeQuestion::Targets(TargetsRequest { digest });
    ask_on(&connect(host), Some(question)).expect("it answers")
}

#[test]
fn a_peer_is_sent_what_is_new_to_it() {
    let store = store();
    store.set_noise(200_000);
    store.put_config(config(2, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let first = ask_config(gateway.host(), 0);
    assert_eq!((first.steps.len(), first.steps[0].from), (1, 0));
    let text = apply_patch(b"", &first.steps[0].patch).expect("it fits the empty text");
    assert!(text.len() > 200_000);
    store.put_config(config(3, vec![route("later", "service", RouteKind::Repeatable)]));
    eventually("the change is in force", || gateway.ask("GET", "/later/x").status != 404);
    let second = ask_config(gateway.host(), first.revision);
    assert_eq!((second.steps.len(), second.steps[0].from), (1, first.revision));
    let patched = apply_patch(&text, &second.steps[0].patch).expect("it fits its base");
    assert_eq!(patched[0], b'3');
    assert!(second.encoded_len() < 5_000, "what is the same is not sent");
    let unknown = ask_config(gateway.host(), first.revision - 1);
    assert_eq!(unknown.steps[0].from, 0, "a peer with another one has all of it sent");
    assert_eq!(ask_config(gateway.host(), second.revision).steps, []);
}

/// One box sent a configuration to all of its data centre at once, each of them too slowly.
#[test]
fn a_large_configuration_goes_to_a_few_at_a_time() {
    let store = store();
    // More than connections hold: who does not read keeps the sender busy.
    store.set_noise(7_500_000);
    store.put_config(config(2, vec![route("r", "service", RouteKind::Repeatable)]));
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        // Long enough for the questions below.
        settings.change_time = Duration::from_secs(60);
    });
    gateway.wait_ready();
    let question = Some(ExchangeQuestion::Config(ConfigRequest { revision: 0 }));
    let idle: Vec<TcpStream> = (0..3)
        .map(|_| {
            let stream = connect(gateway.host());
            task::block_on(send_message(&stream, &ExchangeRequest { question })).expect("sent");
            stream
        })
        .collect();
    eventually("a fourth one is sent elsewhere", || ask_config(gateway.host(), 0).busy);
    drop(idle);
    let mut held = ConfigReply::default();
    eventually("there is room again", || {
        held = ask_config(gateway.host(), 0);
        !held.busy
    });
    assert!(!held.steps.is_empty());
}

#[test]
fn targets_are_told_as_a_difference() {
    let [stays, leaves] =
        ["stays", "leaves"].map(|id| TargetStandin::start(id, "service", Script::Good));
    let store = store();
    store.put_targets(vec![leaves.entry.clone(), stays.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    let all = ask_targets(gateway.host(), 0);
    assert_eq!((all.base, all.targets.len()), (0, 2));
    let digest = all.mark.expect("it knows some").digest;
    store.put_targets(vec![stays.entry.clone()]);
    let mut news = TargetsReply::default();
    eventually("one is gone", || {
        news = ask_targets(gateway.host(), digest);
        news.mark.is_some_and(|mark| mark.digest != digest)
    });
    assert_eq!((news.base, news.targets.len()), (digest, 0));
    assert_eq!(news.gone, ["leaves"]);
    assert_eq!(ask_targets(gateway.host(), 77).base, 0, "an unknown listing");
}

#[test]
fn a_question_of_no_kind_ends_its_connection_alone() {
    let gateway = BoxUnderTest::start(store().port(true), &[]);
    gateway.wait_ready();
    assert!(ask_on::<TargetsReply>(&connect(gateway.host()), None).is_err());
    assert!(ask_targets(gateway.host(), 0).mark.is_some());
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
    let host = own_host();
    let socket = UdpSocket::bind(SocketAddr::new(host, GOSSIP)).expect("an address of its own");
    let mark = ViewMark { revision: 0, age_ms: 0, digest: 0, config_revision: 9, config_age_ms: 0 };
    let tell = |number: u64| {
        let datagram = Datagram {
            box_id: "peer".into(),
            data_centre: "centre".into(),
            incarnation: 1,
            body: Some(DatagramBody::Beacon(Beacon { mark: Some(mark), ..Beacon::default() })),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
        number
    };
    eventually("it leaves the balancer", || {
        tell(0);
        !gateway.is_ready()
    });
    assert_ne!(gateway.ask("GET", "/r/x").status, 404, "what still comes is served");
}
