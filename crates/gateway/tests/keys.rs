//! Access by customers' keys: from the caller's header to the customer header that targets receive.

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
/// First key of the customer "one".
const KEY: &str = "first-key-of-one";
/// Second key of the customer "one".
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

/// Starts a box with one target.
fn one_target(config: RouteConfig) -> (StoreStandin, TargetStandin, BoxUnderTest) {
    let store = StoreStandin::default();
    let target = TargetStandin::start("t", "service", Script::Good);
    store.put_config(config);
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    (store, target, gateway)
}

struct AccessCase {
    name: &'static str,
    path: &'static str,
    headers: &'static str,
    status: u16,
    /// Customer whose name the target receives.
    customer: Option<&'static str>,
}

const ACCESS_CASES: &[AccessCase] = &[
    AccessCase {
        name: "a valid key",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\r\n",
        status: 200,
        customer: Some("one"),
    },
    AccessCase {
        name: "another spelling of the header",
        path: "/r/x",
        headers: "x-KEY:   second-key-of-one  \r\n",
        status: 200,
        customer: Some("one"),
    },
    AccessCase {
        name: "the key of another customer",
        path: "/closed/x",
        headers: "X-Key: only-key-of-two\r\n",
        status: 200,
        customer: Some("two"),
    },
    AccessCase { name: "none", path: "/r/x", headers: "", status: 401, customer: None },
    AccessCase {
        name: "an empty key",
        path: "/r/x",
        headers: "X-Key:\r\n",
        status: 401,
        customer: None,
    },
    AccessCase {
        name: "an unknown key",
        path: "/closed/x",
        headers: "X-Key: first-key-of-on\r\n",
        status: 401,
        customer: None,
    },
    AccessCase {
        name: "the same key in two headers",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\r\nX-Key: first-key-of-one\r\n",
        status: 401,
        customer: None,
    },
    AccessCase {
        name: "two keys in one header",
        path: "/r/x",
        headers: "X-Key: first-key-of-one, only-key-of-two\r\n",
        status: 401,
        customer: None,
    },
    AccessCase {
        name: "a key with invalid bytes",
        path: "/r/x",
        headers: "X-Key: first-key-of-one\u{e9}\r\n",
        status: 401,
        customer: None,
    },
    AccessCase {
        name: "no key on a public route",
        path: "/public/x",
        headers: "",
        status: 200,
        customer: None,
    },
    AccessCase {
        name: "an unknown key on a public route",
        path: "/public/x",
        headers: "X-Key: nobody-s\r\n",
        status: 200,
        customer: None,
    },
    AccessCase {
        name: "a valid key on a public route",
        path: "/public/x",
        headers: "X-Key: only-key-of-two\r\n",
        status: 200,
        customer: Some("two"),
    },
    AccessCase {
        name: "a forged customer header beside a valid key",
        path: "/r/x",
        headers: "x-customer: two\r\nX-Key: first-key-of-one\r\nX-CUSTOMER: three\r\n",
        status: 200,
        customer: Some("one"),
    },
    AccessCase {
        name: "a forged customer header on a public route",
        path: "/public/x",
        headers: "X-Customer: two\r\nConnection: X-Customer\r\n",
        status: 200,
        customer: None,
    },
];

#[test]
fn requests_are_allowed_and_attributed_by_their_keys() {
    let (_store, target, gateway) = one_target(with_customers(1, two_customers()));
    for case in ACCESS_CASES {
        let before = target.requests().len();
        let reply = gateway.connect().request("POST", case.path, case.headers);
        assert_eq!(reply.status, case.status, "{}", case.name);
        let seen = target.requests();
        assert_eq!(
            seen.len() > before,
            case.status == 200,
            "{}: the request runs if and only if it is allowed",
            case.name
        );
        if case.status == 200 {
            let head = seen.last().expect("a request");
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
fn a_connection_stays_open_after_a_denied_request() {
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
    assert_eq!(reply.status, 200, "access is decided for each request");
    let trailers = format!(
        "POST /public/x HTTP/1.1\nHost: host.example\nX-Id: id-1\nTransfer-Encoding: chunked\n\n\
         3\r\nabc\r\n0\r\nX-Customer: two\r\nX-Key: {OTHER_KEY}\r\n\r\n"
    );
    caller.send_raw(&trailers);
    assert_eq!(caller.read().expect("an answer").status, 200);
    let head = target.requests().pop().expect("a request").to_lowercase();
    assert!(!head.contains("x-customer") && !head.contains("x-key"), "{head}");
}

struct ChangeCase {
    name: &'static str,
    customers: fn() -> Vec<CustomerSetup>,
    /// Status of a request with [`KEY`], and the customer that the target receives.
    first: (u16, Option<&'static str>),
    /// Status of a request with [`SECOND_KEY`], and the customer that the target receives.
    second: (u16, Option<&'static str>),
}

const CHANGES: &[ChangeCase] = &[
    ChangeCase {
        name: "initial configuration",
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
        name: "a key restored",
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
fn requests_on_an_open_connection_follow_the_current_keys() {
    let version = |number: usize| number as u64 + 1;
    let config_with_marker = |number: usize, customers: Vec<CustomerSetup>| {
        let marker = Route {
            access: RouteAccess::Public,
            ..route(&format!("v{number}"), "service", RouteKind::Repeatable)
        };
        let mut routes = routes();
        routes.push(marker);
        config(version(number), routes).with_customers(CustomerTable::new(customers))
    };
    let (store, target, gateway) = one_target(config_with_marker(0, (CHANGES[0].customers)()));
    let mut caller = gateway.connect();
    for (number, case) in CHANGES.iter().enumerate() {
        store.put_config(config_with_marker(number, (case.customers)()));
        eventually(case.name, || gateway.request("GET", &format!("/v{number}/x")).status == 200);
        for (key, (status, customer)) in [(KEY, case.first), (SECOND_KEY, case.second)] {
            let reply = caller.request("POST", "/r/x", &format!("X-Key: {key}\r\n"));
            assert_eq!(reply.status, status, "{}: {key}", case.name);
            if customer.is_some() {
                let seen = target.requests();
                let head = seen.last().expect("a request");
                assert_eq!(header(head, "x-customer"), customer, "{}: {key}", case.name);
            }
        }
    }
}

#[test]
fn closed_routes_stay_closed_without_a_customer_table() {
    let (_store, _target, gateway) = one_target(config(1, routes()));
    let status = |path: &str| gateway.connect().request("POST", path, "X-Key: nobody-s\r\n").status;
    assert_eq!(status("/closed/x"), 401);
    assert_eq!(status("/public/x"), 200);
    assert_eq!(status("/r/x"), 200, "without a customer table no key is needed");
}

#[test]
fn access_is_checked_again_before_a_retry() {
    let store = StoreStandin::default();
    let ids = ["t0", "t1"];
    let targets = ids.map(|id| TargetStandin::start(id, "service", Script::WaitsThenSheds));
    store.put_config(with_customers(1, two_customers()));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    let mut caller = gateway.wait_ready().connect();
    caller.send("POST", "/r/x", &format!("X-Key: {KEY}\r\n"), "");
    let sends = || targets.iter().map(|target| target.requests().len()).sum::<usize>();
    eventually("a target has received the request", || sends() == 1);
    let mut routes = routes();
    let added = Route { access: RouteAccess::Public, ..route("later", "nothing", ONCE) };
    routes.push(added);
    let withdrawn = CustomerTable::new(vec![customer("one", &[SECOND_KEY])]);
    store.put_config(config(2, routes).with_customers(withdrawn));
    eventually("the key is withdrawn", || gateway.request("POST", "/later/x").status != 404);
    for target in &targets {
        target.release();
    }
    assert_eq!(caller.read().expect("an answer").status, 401);
    assert_eq!(sends(), 1, "the other target must not receive it");
}

/// Serves `delta` to the first box that connects, after `before_reply` has returned.
fn serve_config_late(
    listener: TcpListener,
    delta: ConfigDelta,
    before_reply: impl FnOnce() + Send + 'static,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the box connects");
        let stream = TcpStream::from(stream);
        before_reply();
        let reply =
            ConfigReply { revision: delta.to, deltas: vec![delta], ..ConfigReply::default() };
        task::block_on(async {
            let _: ExchangeRequest = receive_message(&stream).await.expect("a request");
            send_message(&stream, &reply).await.expect("the box reads the reply");
        });
    })
}

#[test]
fn a_request_with_an_unknown_key_waits_for_a_newer_configuration_of_peers() {
    let (store, target, gateway) = one_target(with_customers(1, two_customers()));
    store.set_unreachable(true);
    let mut newer = two_customers();
    newer.push(customer("three", &["key-of-three"]));
    store.put_config(with_customers(2, newer));
    let peer = own_host();
    let listener = TcpListener::bind((peer, EXCHANGE)).expect("a free local address");
    let patch = make_patch(b"1\n", b"2\n");
    let delta = ConfigDelta { from: 1, to: 3, hash: xxh3_64(b"2\n"), patch, ..Default::default() };
    let mut caller = gateway.connect();
    let (requested, wait_for_request) = std::sync::mpsc::channel();
    let serving = serve_config_late(listener, delta, move || {
        requested.send(()).expect("the test waits");
        // Long enough for the request to be denied if it did not wait.
        thread::sleep(Duration::from_millis(100));
    });
    let socket = UdpSocket::bind((peer, GOSSIP)).expect("a free local address");
    let view_version = ViewVersion { config_revision: 3, ..ViewVersion::default() };
    let heartbeat = Heartbeat { view_version: Some(view_version), ..Heartbeat::default() };
    let datagram = Datagram {
        box_id: "peer".into(),
        data_centre: "centre".into(),
        incarnation: 7,
        body: Some(DatagramBody::Heartbeat(heartbeat)),
        link_mbps: 0,
    };
    let to = SocketAddr::new(gateway.host(), GOSSIP);
    socket.send_to(&datagram.encode_to_vec(), to).expect("loopback");
    wait_for_request.recv().expect("the box connects to the peer");
    let reply = caller.request("POST", "/r/x", "X-Key: key-of-three\r\n");
    serving.join().expect("the peer served");
    assert_eq!(reply.status, 200);
    let seen = target.requests();
    assert_eq!(header(seen.last().expect("a request"), "x-customer"), Some("three"));
}

#[test]
fn debug_output_of_customers_contains_no_key() {
    let config = with_customers(1, two_customers());
    let digest = KeyDigest::of(KEY.as_bytes());
    let shown = format!("{config:?} {digest} {digest:?} {:?}", PresentedKey::Digest(digest));
    for key in [KEY, SECOND_KEY, OTHER_KEY] {
        assert!(!shown.contains(key));
    }
    assert_eq!(digest.to_string().len(), 8, "only the first digits of a digest are printed");
}

#[test]
fn a_key_listed_for_two_customers_belongs_to_the_first() {
    let table = CustomerTable::new(vec![customer("one", &[KEY]), customer("two", &[KEY])]);
    let found = table.find(&KeyDigest::of(KEY.as_bytes())).expect("known");
    let one = Customer { name: "one".into(), priority: None, quota: None, home_regions: None };
    assert_eq!((&**found, table.shared_keys), (&one, 1));
}
