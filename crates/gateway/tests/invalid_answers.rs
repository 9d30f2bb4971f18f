//! Bytes from targets that are no answer, or no complete one: callers never get them as an answer.

mod harness;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, CallerReply, StoreStandin, config, entry, own_host, read_message, route,
};
use wingbridge_gateway::routes::{Route, RouteKind};

/// Length of an upload that is still being written when its answer comes.
const UPLOAD_BYTES: usize = 6 << 20;
/// Uploads of which none may get a part of an answer: whether a write or a read meets the reset is decided anew in each.
const UPLOADS: usize = 20;
/// Bytes of a long answer that come at once: more than a box holds back.
const BEGUN_BYTES: usize = 2 << 20;
const PART: &[u8] = b"more";
/// Header lines of a valid answer to a request of a caller stand-in.
const VALID: &str = "X-Id: id-1\r\nX-Proof: p\r\n";

struct StatusCase {
    status: &'static str,
    passed_on: bool,
}

const STATUSES: &[StatusCase] = &[
    StatusCase { status: "000", passed_on: false },
    StatusCase { status: "001", passed_on: false },
    StatusCase { status: "099", passed_on: false },
    StatusCase { status: "600", passed_on: false },
    StatusCase { status: "700", passed_on: false },
    StatusCase { status: "999", passed_on: false },
    StatusCase { status: "200", passed_on: true },
    StatusCase { status: "418", passed_on: true },
    StatusCase { status: "599", passed_on: true },
];

#[test]
fn answers_with_an_impossible_status_are_not_passed_on() {
    for case in STATUSES {
        let line =
            format!("HTTP/1.1 {} Fine\r\n{VALID}Content-Length: 5\r\n\r\nhello", case.status);
        let gateway = gateway_before(RouteKind::AtMostOnce, move |stream| {
            read_message(stream, false);
            write(stream, line.as_bytes());
        });
        let reply = gateway.request("POST", "/r/x");
        let expected = if case.passed_on { case.status } else { "502" };
        assert_eq!(format!("{:03}", reply.status), expected, "{}", case.status);
        assert_eq!(reply.body == "hello", case.passed_on, "{}", case.status);
    }
}

/// A reset is reported once. A write that met it left the read with what looks like a clean end, and an answer without a
/// length then counted as complete.
#[test]
fn answer_without_a_length_that_is_reset_within_an_upload_is_not_complete() {
    let gateway = gateway_before(RouteKind::Upload, |stream| {
        read_message(stream, false);
        write(stream, format!("HTTP/1.1 200 Fine\r\n{VALID}\r\nhel").as_bytes());
    });
    let replies: Vec<Option<CallerReply>> = (0..UPLOADS).map(|_| upload(&gateway)).collect();
    let taken = replies.iter().flatten().filter(|reply| reply.status == 200 && reply.complete);
    assert_eq!(taken.count(), 0, "parts that callers got as complete answers, of {UPLOADS}");
}

struct EndlessCase {
    name: &'static str,
    beginning: &'static str,
    /// What is sent again and again until the box closes.
    part: &'static str,
}

const ENDLESS: &[EndlessCase] = &[
    EndlessCase { name: "a status line", beginning: "HTTP/1.1 200 ", part: "Fine " },
    EndlessCase { name: "a field", beginning: "HTTP/1.1 200 Fine\r\nX-Long: ", part: "long " },
    EndlessCase { name: "fields", beginning: "HTTP/1.1 200 Fine\r\n", part: "X-Kept: k\r\n" },
    EndlessCase { name: "interim answers", beginning: "", part: "HTTP/1.1 102 Still\r\n\r\n" },
    EndlessCase {
        name: "the size of a chunk",
        beginning: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        part: "name=value;",
    },
    EndlessCase {
        name: "trailers",
        beginning: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        part: "X-More: m\r\n",
    },
];

/// Interim answers and trailers were read until the route's timeout, which is a minute here.
#[test]
fn endless_bytes_in_a_head_or_trailers_end_the_attempt() {
    for case in ENDLESS {
        let gateway = gateway_before(RouteKind::AtMostOnce, |stream| {
            read_message(stream, false);
            if write(stream, case.beginning.as_bytes()) {
                while write(stream, case.part.repeat(1000).as_bytes()) {}
            }
        });
        let mut caller = gateway.connect();
        caller.send("POST", "/r/x", "", "");
        let reply = caller.read().map(|reply| (reply.status, reply.body == "hello"));
        assert_eq!(reply, Some((502, false)), "{}", case.name);
    }
}

struct LongCase {
    name: &'static str,
    /// Number of parts that follow the beginning of the answer, and the time before each.
    parts: usize,
    period: Duration,
}

/// Each answer is complete after 8 s, at a route with 1 s.
const LONG: &[LongCase] = &[
    LongCase { name: "goes on", parts: 400, period: Duration::from_millis(20) },
    LongCase { name: "stalls", parts: 1, period: Duration::from_secs(8) },
];

/// An answer that was passed on from its head was read for as long as bytes came, and for 10 s after the last one.
#[test]
fn long_answers_are_held_until_the_deadline_of_their_requests() {
    for case in LONG {
        let target = |stream: &mut TcpStream| {
            read_message(stream, false);
            let length = BEGUN_BYTES + case.parts * PART.len();
            let head = format!("HTTP/1.1 200 Fine\r\n{VALID}Content-Length: {length}\r\n\r\n");
            write(stream, head.as_bytes());
            write(stream, &[b'x'; BEGUN_BYTES]);
            for _ in 0..case.parts {
                thread::sleep(case.period);
                if !write(stream, PART) {
                    return;
                }
            }
        };
        let timeout = Duration::from_secs(1);
        let route = Route { timeout, ..route("r", "service", RouteKind::Repeatable) };
        let gateway = gateway_with(route, target);
        let mut caller = gateway.connect();
        caller.send("GET", "/r/x", "", "");
        let reply = caller.read().expect("the head of an answer");
        assert!(!reply.complete, "{}: read beyond its time", case.name);
    }
}

/// Starts a box before a single target that serves each connection by `serve` and then closes it. The connection is
/// reset if the target has not read everything.
fn gateway_before(
    kind: RouteKind,
    serve: impl Fn(&mut TcpStream) + Send + Sync + 'static,
) -> BoxUnderTest {
    gateway_with(route("r", "service", kind), serve)
}

fn gateway_with(
    route: Route,
    serve: impl Fn(&mut TcpStream) + Send + Sync + 'static,
) -> BoxUnderTest {
    let listener = TcpListener::bind((own_host(), 0)).expect("an address of its own");
    let address = listener.local_addr().expect("a bound socket").to_string();
    thread::spawn(move || {
        // Ends with the process, as the test's targets do.
        for stream in listener.incoming() {
            serve(&mut stream.expect("a connection"));
        }
    });
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route]));
    store.put_targets(vec![entry("t", "service", &address)]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    gateway
}

/// Writes to the box, which may have closed. Returns whether it has not.
fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

fn upload(gateway: &BoxUnderTest) -> Option<CallerReply> {
    let mut caller = gateway.connect();
    caller.send("POST", "/r/x", "", &"x".repeat(UPLOAD_BYTES));
    caller.read()
}
