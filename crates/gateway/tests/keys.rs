//! Who may ask: keys of customers, from a caller's header to what a target sees.

mod harness;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use harness::{
    BoxUnderTest, EXCHANGE, GOSSIP, Script, StoreStandin, TargetStandin, config, customer,
    eventually, header, own_host, route,
};
use prost::Message;
use wingbridge_gateway::customers::{
    Customer, CustomerSetup, CustomerTable, KeyDigest, PresentedKey,
};
use wingbridge_gateway::routes::{Route, RouteAccess, RouteConfig, RouteKind};
use wingbridge_gateway::text_patch::make_patch;
use wingbridge_wire::gossip::{
    ConfigDelta, ConfigReply, Datagram, DatagramBody, ExchangeRequest, Heartbeat, ViewVersion,
};
use wingbridge_wire::{receive_message, send_message};
use xxhash_rust::xxh3::xxh3_64;

const ONCE: RouteKind = RouteKind::AtMostOnce;
/// The first customer's key, and a second one of it.
const KEY: &str = "first-key-of-one";
const SECOND_KEY: &str = "second-key-of-one";
const OTHER_KEY: &str = "only-key-of-two";

fn routes() -> Vec<Route> {
    let closed = Route { access: RouteAccess::Closed, ..route("closed", "service", ONCE) };
    let public = Route { access: RouteAccess::Public, ..route("public", "service", ONCE) };
    vec![closed, public, route("r", "service", ONCE)]
}

fn with_customers(version: u64, customers: Vec<CustomerSetup>) -> RouteConfig {
    config(version, routes()).with_customers(CustomerTable::new(customers))
}

fn two_customers() -> Vec<CustomerSetup> {
    vec![customer("one", &[KEY, SECOND_KEY]), customer("two", &[OTHER_KEY])]
}

/// A box before one target.
fn one_target(config: RouteConfig) -> (StoreStandin, TargetStandin, BoxUnderTest) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Good);
    store.put_config(config);
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    (store, target, gateway)
}

struct EntranceCase {
    name: &'static str,
    path: &'static str,
    headers: &'static str,
    status: u16,
    /// Whose request the target takes it for.
    customer: Option<&'static str>,
}

const ENTRANCES: &[EntranceCase] = &[
    EntranceCase {
        name: "a key",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\r\n",
        status: 200,
        customer: Some("one"),
    },
    EntranceCase {
        name: "another spelling of the header",
        path: "/r/x",
        headers: "x-KEY:   second-key-of-one  \r\n",
        status: 200,
        customer: Some("one"),
    },
    EntranceCase {
        name: "another customer's",
        path: "/closed/x",
        headers: "X-Key: only-key-of-two\r\n",
        status: 200,
        customer: Some("two"),
    },
    EntranceCase { name: "none", path: "/r/x", headers: "", status: 401, customer: None },
    EntranceCase {
        name: "an empty one",
        path: "/r/x",
        headers: "X-Key:\r\n",
        status: 401,
        customer: None,
    },
    EntranceCase {
        name: "an unknown one",
        path: "/closed/x",
        headers: "X-Key: first-key-of-on\r\n",
        status: 401,
        customer: None,
    },
    EntranceCase {
        name: "the same one twice",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\r\nX-Key: first-key-of-one\r\n",
        status: 401,
        customer: None,
    },
    EntranceCase {
        name: "two in one line",
        path: "/r/x",
        headers: "X-Key: first-key-of-one, only-key-of-two\r\n",
        status: 401,
        customer: None,
    },
    EntranceCase {
        name: "odd bytes",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\u{e9}\r\n",
        status: 401,
        customer: None,
    },
    EntranceCase {
        name: "none on a public route",
        path: "/public/x",
        headers: "",
        status: 200,
        customer: None,
    },
    EntranceCase {
        name: "an unknown one on a public route",
        path: "/public/x",
        headers: "X-Key: nobody-s\r\n",
        status: 200,
        customer: None,
    },
    EntranceCase {
        name: "one on a public route",
        path: "/public/x",
        headers: "X-Key: only-key-of-two\r\n",
        status: 200,
        customer: Some("two"),
    },
    EntranceCase {
        name: "a forged name beside a key",
        path: "/r/x",
        headers: "x-customer: two\r\nX-Key: first-key-of-one\r\nX-CUSTOMER: three\r\n",
        status: 200,
        customer: Some("one"),
    },
    EntranceCase {
        name: "a forged name on a public route",
        path: "/public/x",
        headers: "X-Customer: two\r\nConnection: X-Customer\r\n",
        status: 200,
        customer: None,
    },
];

#[test]
fn requests_are_let_in_by_their_keys_and_told_apart() {
    let (_store, target, gateway) = one_target(with_customers(1, two_customers()));
    for case in ENTRANCES {
        let before = target.requests().len();
        let reply = gateway.connect().request("POST", case.path, case.headers);
        assert_eq!(reply.status, case.status, "{}", case.name);
        let seen = target.requests();
        assert_eq!(seen.len() > before, case.status == 200, "{}: it runs or not", case.name);
        if case.status == 200 {
            let head = seen.last().expect("it came");
            assert_eq!(header(head, "x-customer"), case.customer, "{}", case.name);
            assert_eq!(
                head.to_lowercase().matches("x-customer").count(),
                case.customer.iter().count()
            );
            assert!(!head.to_lowercase().contains("x-key"), "{}: {head}", case.name);
        }
    }
}

#[test]
fn a_connection_goes_on_after_a_request_that_was_turned_away() {
    let (_store, target, gateway) = one_target(with_customers(1, two_customers()));
    let mut caller = gateway.connect();
    let long = format!("X-Key: {}\r\n", "k".repeat(5000));
    for headers in ["", "X-Key: nobody-s\r\n", long.as_str()] {
        caller.send("POST", "/r/x", headers, "a body that is read");
        let reply = caller.read().expect("an answer");
        assert_eq!(reply.status, 401);
        assert!(header(&reply.head, "www-authenticate").is_some());
        assert_eq!(header(&reply.head, "retry-after"), None, "waiting would not help");
    }
    let reply = caller.request("POST", "/r/x", &format!("X-Key: {KEY}\r\n"));
    assert_eq!(reply.status, 200, "the next one is judged anew");
    let trailers = format!(
        "POST /public/x HTTP/1.1\nHost: host.example\nX-Id: id-1\nTransfer-Encoding: chunked\n\n\
         3\r\nabc\r\n0\r\nX-Customer: two\r\nX-Key: {OTHER_KEY}\r\n\r\n"
    );
    caller.send_raw(&trailers);
    assert_eq!(caller.read().expect("an answer").status, 200);
    let head = target.requests().pop().expect("it came").to_lowercase();
    assert!(!head.contains("x-customer") && !head.contains("x-key"), "{head}");
}

struct ChangeCase {
    name: &'static str,
    customers: fn() -> Vec<CustomerSetup>,
    /// What a request with [`KEY`] gets, and as whose it runs.
    first: (u16, Option<&'static str>),
    /// The same with [`SECOND_KEY`].
    second: (u16, Option<&'static str>),
}

const CHANGES: &[ChangeCase] = &[
    ChangeCase {
        name: "at first",
        customers: two_customers,
        first: (200, Some("one")),
        second: (200, Some("one")),
    },
    ChangeCase {
        name: "one key withdrawn",
        customers: || vec![customer("one", &[SECOND_KEY]), customer("two", &[OTHER_KEY])],
        first: (401, None),
        second: (200, Some("one")),
    },
    ChangeCase {
        name: "all keys withdrawn",
        customers: || vec![customer("one", &[]), customer("two", &[OTHER_KEY])],
        first: (401, None),
        second: (401, None),
    },
    ChangeCase {
        name: "a key given back",
        customers: || vec![customer("one", &[KEY]), customer("two", &[OTHER_KEY])],
        first: (200, Some("one")),
        second: (401, None),
    },
    ChangeCase {
        name: "the customer renamed",
        customers: || vec![customer("uno", &[KEY]), customer("two", &[OTHER_KEY])],
        first: (200, Some("uno")),
        second: (401, None),
    },
    ChangeCase {
        name: "a key moved to another customer",
        customers: || vec![customer("uno", &[]), customer("two", &[OTHER_KEY, KEY])],
        first: (200, Some("two")),
        second: (401, None),
    },
    ChangeCase {
        name: "no customers at all",
        customers: Vec::new,
        first: (401, None),
        second: (401, None),
    },
];

#[test]
fn requests_of_a_kept_connection_follow_the_keys_in_force() {
    let version = |number: usize| number as u64 + 1;
    let marked = |number: usize, customers: Vec<CustomerSetup>| {
        let mark = Route {
            access: RouteAccess::Public,
            ..route(&format!("v{number}"), "service", RouteKind::Repeatable)
        };
        let mut routes = routes();
        routes.push(mark);
        config(version(number), routes).with_customers(CustomerTable::new(customers))
    };
    let (store, target, gateway) = one_target(marked(0, (CHANGES[0].customers)()));
    let mut caller = gateway.connect();
    for (number, case) in CHANGES.iter().enumerate() {
        store.put_config(marked(number, (case.customers)()));
        eventually(case.name, || gateway.request("GET", &format!("/v{number}/x")).status == 200);
        for (key, (status, customer)) in [(KEY, case.first), (SECOND_KEY, case.second)] {
            let reply = caller.request("POST", "/r/x", &format!("X-Key: {key}\r\n"));
            assert_eq!(reply.status, status, "{}: {key}", case.name);
            if customer.is_some() {
                let seen = target.requests();
                let head = seen.last().expect("it came");
                assert_eq!(header(head, "x-customer"), customer, "{}: {key}", case.name);
            }
        }
    }
}

#[test]
fn closed_routes_stay_closed_without_a_table_of_customers() {
    let (_store, _target, gateway) = one_target(config(1, routes()));
    let ask = |path: &str| gateway.connect().request("POST", path, "X-Key: nobody-s\r\n").status;
    assert_eq!(ask("/closed/x"), 401);
    assert_eq!(ask("/public/x"), 200);
    assert_eq!(ask("/r/x"), 200, "a deployment that knows no customers asks for no keys");
}

#[test]
fn a_request_is_judged_again_before_it_is_sent_again() {
    let store = StoreStandin::default();
    let ids = ["t0", "t1"];
    let targets = ids.map(|id| TargetStandin::start(id, "service", Script::WaitsThenSheds));
    store.put_config(with_customers(1, two_customers()));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    let mut caller = gateway.wait_ready().connect();
    caller.send("POST", "/r/x", &format!("X-Key: {KEY}\r\n"), "");
    let sends = || targets.iter().map(|target| target.requests().len()).sum::<usize>();
    eventually("a target has it", || sends() == 1);
    let mut routes = routes();
    let later = Route { access: RouteAccess::Public, ..route("later", "nothing", ONCE) };
    routes.push(later);
    let withdrawn = CustomerTable::new(vec![customer("one", &[SECOND_KEY])]);
    store.put_config(config(2, routes).with_customers(withdrawn));
    eventually("the key is withdrawn", || gateway.request("POST", "/later/x").status != 404);
    for target in &targets {
        target.release();
    }
    assert_eq!(caller.read().expect("an answer").status, 401);
    assert_eq!(sends(), 1, "the other target never gets it");
}

/// A peer that has the configuration of `revision` and hands it over when `lets_go` returns.
fn serve_config_late(
    listener: TcpListener,
    step: ConfigDelta,
    lets_go: impl FnOnce() + Send + 'static,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a box asks");
        let stream = TcpStream::from(stream);
        lets_go();
        let reply = ConfigReply { revision: step.to, deltas: vec![step], ..ConfigReply::default() };
        task::block_on(async {
            let _: ExchangeRequest = receive_message(&stream).await.expect("a question");
            send_message(&stream, &reply).await.expect("it is read");
        });
    })
}

#[test]
fn a_key_that_peers_know_already_is_waited_for() {
    let (store, target, gateway) = one_target(with_customers(1, two_customers()));
    store.set_unreachable(true);
    let mut newer = two_customers();
    newer.push(customer("three", &["key-of-three"]));
    store.put_config(with_customers(2, newer));
    let peer = own_host();
    let listener = TcpListener::bind((peer, EXCHANGE)).expect("its own address");
    let patch = make_patch(b"1\n", b"2\n");
    let step = ConfigDelta { from: 1, to: 3, hash: xxh3_64(b"2\n"), patch };
    let mut caller = gateway.connect();
    let (asked, waits) = std::sync::mpsc::channel();
    let serving = serve_config_late(listener, step, move || {
        asked.send(()).expect("the test waits");
        // Long enough for the request to be turned away, were it not held.
        thread::sleep(Duration::from_millis(100));
    });
    let socket = UdpSocket::bind((peer, GOSSIP)).expect("its own address");
    let mark = ViewVersion { config_revision: 3, ..ViewVersion::default() };
    let beacon = Heartbeat { view_version: Some(mark), ..Heartbeat::default() };
    let datagram = Datagram {
        box_id: "peer".into(),
        data_centre: "centre".into(),
        incarnation: 7,
        body: Some(DatagramBody::Heartbeat(beacon)),
        link_mbps: 0,
    };
    let to = SocketAddr::new(gateway.host(), GOSSIP);
    socket.send_to(&datagram.encode_to_vec(), to).expect("loopback");
    waits.recv().expect("the box asks the peer");
    let reply = caller.request("POST", "/r/x", "X-Key: key-of-three\r\n");
    serving.join().expect("the peer served");
    assert_eq!(reply.status, 200);
    let seen = target.requests();
    assert_eq!(header(seen.last().expect("it came"), "x-customer"), Some("three"));
}

#[test]
fn nothing_that_is_printed_of_customers_shows_a_key() {
    let config = with_customers(1, two_customers());
    let digest = KeyDigest::of(KEY.as_bytes());
    let shown = format!("{config:?} {digest} {digest:?} {:?}", PresentedKey::Digest(digest));
    for key in [KEY, SECOND_KEY, OTHER_KEY] {
        assert!(!shown.contains(key));
    }
    assert_eq!(digest.to_string().len(), 8, "the first digits of a digest tell keys apart");
}

#[test]
fn a_key_of_two_customers_is_the_first_one_s() {
    let table = CustomerTable::new(vec![customer("one", &[KEY]), customer("two", &[KEY])]);
    let found = table.find(&KeyDigest::of(KEY.as_bytes())).expect("known");
    let one = Customer { name: "one".into(), priority: None, quota: None, home_regions: None };
    assert_eq!((&**found, table.shared_keys), (&one, 1));
}
