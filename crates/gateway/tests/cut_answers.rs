//! Answers of targets and peers that end within their head, or before the end that the head announces: callers never
//! get them as complete answers, nor as proof that nothing has run.

mod harness;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, PathMode, RelayPeer, RelayScript, StoreStandin, TargetPaths, config, entry,
    eventually, header, own_host, read_message, request_while, route,
};
use rustix::net::sockopt::set_socket_linger;
use wingbridge_gateway::routes::RouteKind;

const ROUTES: [(&str, RouteKind); 3] = [
    ("reads", RouteKind::Repeatable),
    ("orders", RouteKind::AtMostOnce),
    ("uploads", RouteKind::Upload),
];
const TARGETS: usize = 4;
/// Length of an upload that is still being written when its answer comes.
const UPLOAD_BYTES: usize = 6 << 20;
/// Number of tries to get one request to a target. A box may refuse a request that it has not sent.
const MAX_TRIES: usize = 200;
/// Bytes of a long answer that come at once: more than a box holds back.
const BEGUN_BYTES: usize = 2 << 20;
/// Number of peers among which the cuts of a peer's message are divided.
const CUT_PEERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(20);
const GOOD: &str =
    "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nhello";

struct HeadCase {
    name: &'static str,
    method: &'static str,
    head: &'static str,
}

/// Each is cut at every place before its end.
const HEADS: &[HeadCase] = &[
    HeadCase {
        name: "a length",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\n",
    },
    HeadCase {
        name: "an empty body",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n",
    },
    HeadCase {
        name: "chunked",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n",
    },
    HeadCase {
        name: "no length",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\n\r\n",
    },
    HeadCase {
        name: "no length, announced close",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nConnection: close\r\n\r\n",
    },
    HeadCase {
        name: "version 1.0",
        method: "POST",
        head: "HTTP/1.0 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\n\r\n",
    },
    HeadCase {
        name: "after 100",
        method: "POST",
        head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n",
    },
    HeadCase {
        name: "after 102 and 103",
        method: "POST",
        head: "HTTP/1.1 102 Still\r\n\r\nHTTP/1.1 103 Early\r\nX-Id: id-1\r\nX-Proof: p\r\n\r\nHTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\n\r\n",
    },
    HeadCase {
        name: "204",
        method: "POST",
        head: "HTTP/1.1 204 None\r\nX-Id: id-1\r\nX-Proof: p\r\n\r\n",
    },
    HeadCase {
        name: "304",
        method: "POST",
        head: "HTTP/1.1 304 Same\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\n",
    },
    HeadCase {
        name: "the answer to HEAD",
        method: "HEAD",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\n",
    },
    HeadCase {
        name: "bare line feeds",
        method: "POST",
        head: "HTTP/1.1 200 Fine\nX-Id: id-1\nX-Proof: p\nContent-Length: 0\n\n",
    },
    HeadCase {
        name: "a bare line feed before the blank line",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nContent-Length: 0\n\r\n",
    },
    HeadCase {
        name: "a folded line",
        method: "POST",
        head: "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\nX-Long: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    },
    HeadCase {
        name: "a refusal",
        method: "POST",
        head: "HTTP/1.1 503 Busy\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    },
    HeadCase {
        name: "another instance",
        method: "POST",
        head: "HTTP/1.1 421 Other\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    },
];

struct BodyCase {
    name: &'static str,
    head: &'static str,
    /// Sent after the head and cut at every place before its end.
    body: &'static str,
}

const BODIES: &[BodyCase] = &[
    BodyCase { name: "a length", head: "Content-Length: 5\r\n", body: "wrong" },
    BodyCase {
        name: "chunks",
        head: "Transfer-Encoding: chunked\r\n",
        body: "2\r\nwr\r\n3\r\nong\r\n0\r\n\r\n",
    },
    BodyCase {
        name: "chunks with extensions and trailers",
        head: "Transfer-Encoding: chunked\r\n",
        body: "5;a=b\r\nwrong\r\n0;c\r\nX-More: m\r\nX-Last: l\r\n\r\n",
    },
    BodyCase {
        name: "an empty body in chunks",
        head: "Transfer-Encoding: chunked\r\n",
        body: "0\r\n\r\n",
    },
];

/// How a target ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

const ENDINGS: [Ending; 2] = [Ending::Close, Ending::Reset];

/// An answer that is cut.
struct CutAnswer {
    bytes: Vec<u8>,
    ending: Ending,
    /// Number of targets that got its request. The first of them sends it, the others a good answer.
    sends: usize,
}

/// The answers that are cut, by path. Requests for other paths get good answers.
#[derive(Clone, Default)]
struct Plan {
    cuts: Arc<Mutex<HashMap<String, CutAnswer>>>,
}

impl Plan {
    fn put(&self, path: &str, bytes: &[u8], ending: Ending) {
        let cut = CutAnswer { bytes: bytes.to_vec(), ending, sends: 0 };
        self.cuts.lock().expect("no panic").insert(path.into(), cut);
    }

    fn take(&self, path: &str) -> Option<(Vec<u8>, Ending)> {
        let mut cuts = self.cuts.lock().expect("no panic");
        let cut = cuts.get_mut(path)?;
        cut.sends += 1;
        (cut.sends == 1).then(|| (cut.bytes.clone(), cut.ending))
    }

    fn sends(&self, path: &str) -> usize {
        self.cuts.lock().expect("no panic").get(path).map_or(0, |cut| cut.sends)
    }

    /// Starts targets of all services that answer by the plan.
    fn start_targets(&self, store: &StoreStandin) {
        let start = |service: &str, number: usize| {
            let listener = TcpListener::bind((own_host(), 0)).expect("an address of its own");
            let address = listener.local_addr().expect("bound").to_string();
            let plan = self.clone();
            // Ends with the process.
            thread::spawn(move || {
                for stream in listener.incoming() {
                    let plan = plan.clone();
                    thread::spawn(move || plan.serve(stream.expect("a connection")));
                }
            });
            entry(&format!("{service}-{number}"), service, &address)
        };
        let targets = ROUTES.iter().flat_map(|(service, kind)| {
            let number = if *kind == RouteKind::AtMostOnce { 2 } else { TARGETS };
            (0..number).map(move |number| start(service, number))
        });
        store.put_targets(targets.collect());
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some((head, _)) = read_message(&mut stream, false) else { return };
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        let Some((bytes, ending)) = self.take(&path) else {
            let _ = stream.write_all(GOOD.as_bytes());
            return;
        };
        // An upload is answered before it is read. The box may have closed.
        let _ = stream.write_all(&bytes);
        match ending {
            Ending::Reset => {
                set_socket_linger(&stream, Some(Duration::ZERO)).expect("a valid time");
            }
            // What is still written is read, so that the close is clean.
            Ending::Close => {
                let _ = stream.shutdown(Shutdown::Write);
                while stream.read(&mut [0; 65536]).is_ok_and(|count| count > 0) {}
            }
        }
    }
}

/// An answer as a caller got it until the end of the connection.
#[derive(Debug)]
struct Received {
    status: u16,
    body: String,
    /// Whether the message is whole by its own head.
    complete: bool,
}

/// Sends a request on a connection of its own and reads until its end. Returns `None` if no complete head arrives.
fn send(gateway: &BoxUnderTest, method: &str, path: &str, body: &str) -> Option<Received> {
    let mut caller = gateway.connect();
    caller.send(method, path, "Connection: close\r\nX-Left: 5000\r\n", body);
    let mut bytes = Vec::new();
    // A reset ends the message like a close.
    let _ = caller.stream().read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let complete = if let Some(length) = header(head, "content-length") {
        method == "HEAD" || length.parse() == Ok(body.len())
    } else {
        header(head, "transfer-encoding").is_none() || body.ends_with("0\r\n\r\n")
    };
    Some(Received { status, body: body.into(), complete })
}

/// Sends the request until a target has got it, and returns the answer to that send and the number of targets.
fn send_by_plan(
    gateway: &BoxUnderTest,
    plan: &Plan,
    method: &str,
    path: &str,
    body: &str,
) -> (Option<Received>, usize) {
    for _ in 0..MAX_TRIES {
        let received = send(gateway, method, path, body);
        let sends = plan.sends(path);
        if sends > 0 {
            return (received, sends);
        }
        let status = received.map(|received| received.status);
        assert!(matches!(status, Some(503)), "{path}: {status:?} though no target got it");
        thread::sleep(PAUSE);
    }
    panic!("{path}: no target gets it");
}

/// Checks what the caller of an order, or of a lookup, gets if the first target's answer is cut.
fn check_cut(gateway: &BoxUnderTest, plan: &Plan, method: &str, path: &str, what: &str) {
    let (received, sends) = send_by_plan(gateway, plan, method, path, "");
    let Received { status, body, complete } =
        received.unwrap_or_else(|| panic!("{what}: no answer"));
    let is_unknown = matches!(status, 502 | 504) && complete;
    if path.starts_with("/reads/") {
        let is_good = status == 200 && complete && sends == 2;
        let is_good = is_good && (body == "hello" || method == "HEAD");
        assert!(
            is_good || is_unknown,
            "{what}: {status} {body:?}, complete {complete}, {sends} sends"
        );
    } else {
        assert!(is_unknown, "{what}: {status} {body:?}, complete {complete}");
        assert_eq!(sends, 1, "{what}: it may have run at the first target");
    }
}

/// Returns a box before targets that follow the plan, with the paths of the box.
fn start_box(plan: &Plan) -> (BoxUnderTest, StoreStandin, TargetPaths) {
    let store = StoreStandin::default();
    let routes = ROUTES.iter().map(|(service, kind)| route(service, service, *kind));
    store.put_config(config(1, routes.collect()));
    plan.start_targets(&store);
    let paths = TargetPaths::default();
    let gateway = BoxUnderTest::start(store.port_with_paths(&paths), &[]);
    gateway.wait_ready();
    (gateway, store, paths)
}

/// Calls `check` with each cut of each head: the method, the path, and what is cut where.
fn for_each_cut_head(plan: &Plan, service: &str, mut check: impl FnMut(&str, &str, &str)) {
    for (number, case) in HEADS.iter().enumerate() {
        for ending in ENDINGS {
            for cut in 0..case.head.len() {
                let path = format!("/{service}/{number}/{cut}/{ending:?}");
                plan.put(&path, &case.head.as_bytes()[..cut], ending);
                check(
                    case.method,
                    &path,
                    &format!("{service}, {}, {ending:?} after {cut}", case.name),
                );
            }
        }
    }
}

/// Other operators' instances stopped within the head of an answer, and callers got it as a whole one.
#[test]
fn heads_that_are_cut_are_not_passed_on() {
    let plan = Plan::default();
    let (gateway, _store, _paths) = start_box(&plan);
    for service in ["orders", "reads"] {
        for_each_cut_head(&plan, service, |method, path, what| {
            check_cut(&gateway, &plan, method, path, what);
            // Some answers are good, so that the targets are not given up.
            send(&gateway, "POST", &format!("/{service}/good"), "");
        });
    }
}

/// The same while the target has not read the request's body yet.
#[test]
fn heads_that_are_cut_within_an_upload_are_not_passed_on() {
    let plan = Plan::default();
    let (gateway, _store, _paths) = start_box(&plan);
    let body = "x".repeat(UPLOAD_BYTES);
    for (number, case) in HEADS.iter().enumerate().filter(|(_, case)| case.method == "POST") {
        for ending in ENDINGS {
            let blank = case.head.len() - 1;
            for cut in [0, blank / 2, blank] {
                let path = format!("/uploads/{number}/{cut}/{ending:?}");
                plan.put(&path, &case.head.as_bytes()[..cut], ending);
                let what = format!("{}, {ending:?} after {cut}", case.name);
                let (received, sends) = send_by_plan(&gateway, &plan, "POST", &path, &body);
                let status = received.map(|received| received.status);
                assert!(matches!(status, Some(502 | 504)), "{what}: {status:?}");
                assert_eq!(sends, 1, "{what}");
                send(&gateway, "POST", "/uploads/good", "");
            }
        }
    }
}

/// A body that is cut is not passed on as a whole one, nor with the status that it began with if the box holds it back.
#[test]
fn bodies_that_are_cut_are_not_passed_on() {
    let plan = Plan::default();
    let (gateway, _store, _paths) = start_box(&plan);
    for service in ["orders", "reads"] {
        for (number, case) in BODIES.iter().enumerate() {
            for ending in ENDINGS {
                for cut in 0..case.body.len() {
                    let path = format!("/{service}/body-{number}/{cut}/{ending:?}");
                    let text = format!(
                        "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\n{}\r\n{}",
                        case.head,
                        &case.body[..cut]
                    );
                    plan.put(&path, text.as_bytes(), ending);
                    let what = format!("{service}, {}, {ending:?} after {cut}", case.name);
                    check_cut(&gateway, &plan, "POST", &path, &what);
                    send(&gateway, "POST", &format!("/{service}/good"), "");
                }
            }
        }
    }
}

struct LongBodyCase {
    name: &'static str,
    head: String,
    beginning: String,
    /// Sent after the beginning and cut at every place before its end.
    end: &'static str,
    endings: &'static [Ending],
}

/// Answers that are passed on as they arrive were begun at the caller, who must see that they are cut.
#[test]
fn long_bodies_that_are_cut_do_not_look_complete() {
    let long = "l".repeat(BEGUN_BYTES);
    let cases = [
        LongBodyCase {
            name: "a length",
            head: format!("Content-Length: {}\r\n", BEGUN_BYTES + 5),
            beginning: long.clone(),
            end: "whole",
            endings: &ENDINGS,
        },
        LongBodyCase {
            name: "chunks",
            head: "Transfer-Encoding: chunked\r\n".into(),
            beginning: format!("{BEGUN_BYTES:x}\r\n{long}"),
            end: "\r\n5\r\nwhole\r\n0\r\nX-More: m\r\n\r\n",
            endings: &ENDINGS,
        },
        // Without a length a close is the end of the body.
        LongBodyCase {
            name: "no length",
            head: String::new(),
            beginning: long,
            end: "whole",
            endings: &[Ending::Reset],
        },
    ];
    let plan = Plan::default();
    let (gateway, _store, _paths) = start_box(&plan);
    for (number, case) in cases.iter().enumerate() {
        for ending in case.endings {
            for cut in 0..case.end.len() {
                let path = format!("/orders/long-{number}/{cut}/{ending:?}");
                let text = format!(
                    "HTTP/1.1 200 Fine\r\nX-Id: id-1\r\nX-Proof: p\r\n{}\r\n{}{}",
                    case.head,
                    case.beginning,
                    &case.end[..cut]
                );
                plan.put(&path, text.as_bytes(), *ending);
                let (received, _) = send_by_plan(&gateway, &plan, "POST", &path, "");
                let taken = received.filter(|received| received.status == 200 && received.complete);
                let taken = taken.map(|received| received.body.len());
                assert_eq!(taken, None, "{}, {ending:?} after {cut}", case.name);
                send(&gateway, "POST", "/orders/good", "");
            }
        }
    }
}

/// A box that has its requests handled by a peer must not make a whole answer of the cut one of a target behind the peer.
#[test]
fn heads_that_are_cut_behind_a_peer_are_not_passed_on() {
    let plan = Plan::default();
    let store = StoreStandin::default();
    let routes = ROUTES.iter().map(|(service, kind)| route(service, service, *kind));
    store.put_config(config(1, routes.collect()));
    plan.start_targets(&store);
    let paths: Vec<TargetPaths> = (0..3).map(|_| TargetPaths::default()).collect();
    let hosts: Vec<IpAddr> = (0..3).map(|_| own_host()).collect();
    let start = |(paths, host): (&TargetPaths, &IpAddr)| {
        BoxUnderTest::start_at(*host, store.port_with_paths(paths), &hosts, |_| {})
    };
    let boxes: Vec<BoxUnderTest> = paths.iter().zip(&hosts).map(start).collect();
    for gateway in &boxes {
        gateway.wait_ready();
    }
    let load = |gateway: &BoxUnderTest| {
        for service in ["orders", "reads"] {
            send(gateway, "POST", &format!("/{service}/good"), "");
        }
    };
    request_while(&boxes, load, PAUSE, || {
        paths[0].set_mode(PathMode::Reset);
        let is_served = |service: &str| {
            let path = format!("/{service}/good");
            (0..10).all(|_| send(&boxes[0], "POST", &path, "").is_some_and(|it| it.status == 200))
        };
        for service in ["orders", "reads"] {
            eventually("the first box has its requests handled", || is_served(service));
            for_each_cut_head(&plan, service, |method, path, what| {
                check_cut(&boxes[0], &plan, method, path, what);
            });
        }
    });
}

/// The link between two boxes can end within the peer's result, or within the answer that follows it.
#[test]
fn messages_of_peers_that_are_cut_are_not_passed_on() {
    let length = RelayPeer::cut_answer_bytes().len();
    let cuts = (0..length).flat_map(|cut| {
        let cases = [("orders", false), ("orders", true), ("reads", false), ("reads", true)];
        cases.map(|(service, reset)| format!("/{service}/{cut}/{reset}/x"))
    });
    let cuts: Vec<String> = cuts.collect();
    // A peer that broke a request off gets none for a while.
    thread::scope(|scope| {
        for part in cuts.chunks(cuts.len().div_ceil(CUT_PEERS)) {
            scope.spawn(move || check_cuts_of_peer(part));
        }
    });
}

/// Has a peer take the requests with these paths, which tell it where to cut its answer.
fn check_cuts_of_peer(cuts: &[String]) {
    let (gateway, _store, paths) = start_box(&Plan::default());
    let peer = RelayPeer::start(own_host(), gateway.host(), RelayScript::CutsAnswer);
    paths.set_mode(PathMode::Reset);
    for path in cuts {
        let has_it = || {
            let taken = peer.received();
            taken.iter().any(|one| one.offered.path == *path && !one.beginning.is_empty())
        };
        let answer = (0..MAX_TRIES).find_map(|_| {
            let received = send(&gateway, "POST", path, "");
            if has_it() {
                return Some(received);
            }
            thread::sleep(PAUSE);
            None
        });
        let received = answer.unwrap_or_else(|| panic!("{path}: no peer gets it"));
        let status = received.map(|received| received.status);
        assert_eq!(status, Some(502), "{path}");
    }
}
