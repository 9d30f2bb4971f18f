//! Answers of targets that are cut, or that bytes follow which nobody asked for, through the proxy.

mod small;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use wingbridge_demo::caller::{CallerAnswer, CallerRequest};
use wingbridge_demo::{LoadCaller, SmallSystem};

use crate::small::{CALL_TIMEOUT, eventually, small_system};

/// Number of lookups, one after the other, so that connections to targets are used again.
const LOOKUPS: usize = 30;

/// An answer that is cut.
struct CutAnswer {
    bytes: Vec<u8>,
    /// Number of targets that got its request. The first of them sends it, the others a good answer.
    sends: usize,
}

/// What a target sends for a path beside good answers.
#[derive(Clone, Default)]
struct Plan {
    /// Answers that are cut, by path.
    cuts: Arc<Mutex<BTreeMap<String, CutAnswer>>>,
    /// Bytes after each good answer.
    surplus: &'static str,
    /// Time between a good answer and the bytes after it.
    delay: Duration,
    /// Number of good answers that were sent with the bytes after them.
    sent: Arc<AtomicUsize>,
    /// Whether targets tell in their good answers that they drain.
    drains: bool,
    /// Number of health checks that got an answer that is cut.
    checks: Arc<AtomicUsize>,
}

impl Plan {
    /// Returns a system with one box, all of whose targets follow the plan.
    fn start_system(&self) -> SmallSystem {
        let mut system = small_system(1);
        for target in &mut system.targets {
            let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
            target.address = listener.local_addr().expect("bound");
            let plan = self.clone();
            // Ends with the process.
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let plan = plan.clone();
                    thread::spawn(move || plan.serve(stream));
                }
            });
        }
        for service in &system.setup.services {
            let key = format!("service/{}", service.name);
            system.put(&key, &system.service_text(service)).expect("it is in force");
        }
        system
    }

    /// Answers the requests of one connection with their paths, until one is cut or the box closes.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut bytes = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                    break end;
                }
                let mut chunk = [0; 4096];
                let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
                bytes.extend_from_slice(&chunk[..count]);
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end + 4);
            let path = head.split(' ').nth(1)?.to_string();
            if let Some(cut) = self.cuts.lock().expect("no panic").get_mut(&path) {
                cut.sends += 1;
                if cut.sends == 1 {
                    return stream.write_all(&cut.bytes).ok();
                }
            }
            if path == "/health" {
                let check = self.checks.fetch_add(1, Ordering::AcqRel);
                return stream.write_all(&HEALTHY.as_bytes()[..check % HEALTHY.len()]).ok();
            }
            let length = path.len();
            let state = if self.drains { "X-Target-State: draining\r\n" } else { "" };
            let good =
                format!("HTTP/1.1 200 Fine\r\n{state}Content-Length: {length}\r\n\r\n{path}");
            if self.delay.is_zero() {
                stream.write_all(format!("{good}{}", self.surplus).as_bytes()).ok()?;
            } else {
                stream.write_all(good.as_bytes()).ok()?;
                thread::sleep(self.delay);
                stream.write_all(self.surplus.as_bytes()).ok()?;
            }
            self.sent.fetch_add(1, Ordering::AcqRel);
        }
    }
}

fn call(caller: &mut LoadCaller, method: Method, path: &str) -> Option<CallerAnswer> {
    let request = CallerRequest { method, ..CallerRequest::get(path) };
    task::block_on(caller.call(&request, CALL_TIMEOUT)).ok()
}

/// Cut at every place before its end.
const HEALTHY: &str = "HTTP/1.1 200 Fine\r\nContent-Length: 0\r\n\r\n";

/// A draining target whose health end point breaks off would get requests again, as an answer without a state means that
/// it is ready.
#[test]
fn health_checks_that_are_cut_do_not_bring_a_draining_target_back() {
    let plan = Plan { drains: true, ..Plan::default() };
    let system = plan.start_system();
    let mut caller = LoadCaller::new(system.boxes[0].proxy.callers);
    let mut lookup = || call(&mut caller, Method::Get, "/availability/x").expect("an answer");
    eventually("all targets have told that they drain", || lookup().status != 200);
    eventually("the health checks were cut at each place", || {
        assert_ne!(lookup().status, 200, "after {} checks", plan.checks.load(Ordering::Acquire));
        plan.checks.load(Ordering::Acquire) > HEALTHY.len()
    });
}

struct SurplusCase {
    name: &'static str,
    surplus: &'static str,
    delay: Duration,
}

const WHOLE: &str = "HTTP/1.1 200 Fine\r\nContent-Length: 5\r\n\r\nwrong";
const CUT: &str = "HTTP/1.1 200 Fine\r\nContent-Length: 0\r\nX-Cut: ";
const LATE: Duration = Duration::from_millis(20);

const SURPLUS: &[SurplusCase] = &[
    SurplusCase { name: "an answer", surplus: WHOLE, delay: Duration::ZERO },
    SurplusCase { name: "a cut head", surplus: CUT, delay: Duration::ZERO },
    SurplusCase { name: "a late answer", surplus: WHOLE, delay: LATE },
    SurplusCase { name: "a late cut head", surplus: CUT, delay: LATE },
];

/// A surplus answer of a target stayed in the connection and went to the caller of the next request on it, with the
/// status 200; a cut one swallowed the head of the next answer.
#[test]
fn surplus_bytes_of_a_target_are_not_taken_for_the_next_answer() {
    for case in SURPLUS {
        let plan = Plan { surplus: case.surplus, delay: case.delay, ..Plan::default() };
        let system = plan.start_system();
        let mut caller = LoadCaller::new(system.boxes[0].proxy.callers);
        let mut good = 0;
        for number in 0..LOOKUPS {
            let path = format!("/availability/{number}");
            let answer = call(&mut caller, Method::Get, &path).expect("an answer");
            let is_own = answer.body == path.as_bytes();
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.status != 200 || is_own, "{}: {path} got {body:?}", case.name);
            good += usize::from(is_own);
            let is_sent = || plan.sent.load(Ordering::Acquire) > number;
            eventually("the bytes are there before the next request", is_sent);
        }
        assert_eq!(good, LOOKUPS, "{}: lookups with their own answers", case.name);
    }
}

struct CutCase {
    name: &'static str,
    answer: &'static str,
}

/// Each is cut at every place before its end.
const CUTS: &[CutCase] = &[
    CutCase { name: "a length", answer: "HTTP/1.1 200 Fine\r\nContent-Length: 5\r\n\r\nwrong" },
    CutCase { name: "an empty body", answer: "HTTP/1.1 200 Fine\r\nContent-Length: 0\r\n\r\n" },
    CutCase {
        name: "chunks",
        answer: "HTTP/1.1 200 Fine\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwrong\r\n0\r\n\r\n",
    },
    CutCase {
        name: "204 after 103",
        answer: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
    },
    CutCase {
        name: "a refusal",
        answer: "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    },
];

/// Guards against answers that end within their head or body and reach callers as complete ones, or as not run.
#[test]
fn answers_that_are_cut_are_not_passed_on() {
    let plan = Plan::default();
    let system = plan.start_system();
    let mut caller = LoadCaller::new(system.boxes[0].proxy.callers);
    for (number, case) in CUTS.iter().enumerate() {
        for cut in 0..case.answer.len() {
            for (method, service) in [(Method::Post, "orders"), (Method::Get, "availability")] {
                let path = format!("/{service}/{number}-{cut}");
                let bytes = case.answer.as_bytes()[..cut].to_vec();
                let cut_answer = CutAnswer { bytes, sends: 0 };
                plan.cuts.lock().expect("no panic").insert(path.clone(), cut_answer);
                let answer = call(&mut caller, method, &path).expect("an answer");
                let sends = plan.cuts.lock().expect("no panic")[&path].sends;
                let what =
                    format!("{service}, {} after {cut}: {answer:?}, {sends} sends", case.name);
                let is_retried = service == "availability" && sends == 2;
                if is_retried {
                    assert_eq!((answer.status, &answer.body[..]), (200, path.as_bytes()), "{what}");
                } else {
                    assert!(sends <= 1, "{what}");
                    assert_eq!(
                        answer.outcome,
                        if sends == 0 { "not-run" } else { "unknown" },
                        "{what}"
                    );
                    assert!(answer.status >= 500, "{what}");
                }
                // Some answers are good, so that the targets are not given up.
                call(&mut caller, method, &format!("/{service}/good"));
            }
        }
    }
}
