//! Bytes from targets that are no answer, or no complete one: callers never get them as an answer.

mod harness;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use harness::{BoxUnderTest, CallerReply, StoreStandin, config, entry, own_host, route};
use wingbridge_gateway::routes::RouteKind;

/// Length of an upload that is still being written when its answer comes.
const UPLOAD_BYTES: usize = 6 << 20;
/// Uploads of which none may get a part of an answer: whether a write or a read meets the reset is decided anew in each.
const UPLOADS: usize = 20;
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
            read_head(stream);
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
        read_head(stream);
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
            read_head(stream);
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

/// Starts a box before a single target that serves each connection by `serve` and then closes it. The connection is
/// reset if the target has not read everything.
fn gateway_before(
    kind: RouteKind,
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
    store.put_config(config(1, vec![route("r", "service", kind)]));
    store.put_targets(vec![entry("t", "service", &address)]);
    let gateway = BoxUnderTest::start(store.port(true), &[]);
    gateway.wait_ready();
    gateway
}

/// Reads the head of a request, and of its body only what comes with it.
fn read_head(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
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
