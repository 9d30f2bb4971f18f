//! Long request bodies are streamed within a memory limit, and never run twice.
//!
//! A box buffered each body completely before it sent anything to a target, and held a second copy while it
//! sent it. Two bodies of 64 MB, which operators allow, then took more than the 160 MB of memory of a box.
//! Bodies longer than one megabyte are therefore streamed.

mod harness;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, CallerReply, Script, StoreStandin, TargetStandin, config, entry, eventually,
    header, own_host, route,
};
use wingbridge_gateway::routes::RouteKind;

/// Length of a long body: more than is buffered, and more than the memory for all bodies in these tests.
const LONG_BYTES: usize = 6 << 20;
/// Memory limit for bodies: enough for the beginning of one long body and its chunks in transit.
const MAX_HELD_BODY_BYTES: usize = 2 << 20;

struct World {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
    gateway: BoxUnderTest,
}

fn world(scripts: &[Script]) -> World {
    let store = StoreStandin::default();
    let start = |(number, script): (usize, &Script)| {
        TargetStandin::start(&format!("t{number}"), "service", *script)
    };
    let targets: Vec<TargetStandin> = scripts.iter().enumerate().map(start).collect();
    store.put_config(config(1, vec![route("r", "service", RouteKind::Upload)]));
    store.put_targets(targets.iter().map(|target| target.entry.clone()).collect());
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.max_held_body_bytes = MAX_HELD_BODY_BYTES;
    });
    gateway.wait_ready();
    World { store, targets, gateway }
}

/// Returns a body in which a missing or misplaced part can be detected: a sequence of numbers.
fn long_body(bytes: usize) -> String {
    (0..bytes / 8).map(|number| format!("{number:07} ")).collect()
}

fn in_chunks(body: &str) -> String {
    let chunk = |part: &[u8]| format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part));
    body.as_bytes().chunks(100_000).map(chunk).chain(["0\r\n\r\n".to_string()]).collect()
}

fn head(framing: &str) -> String {
    format!("POST /r/x HTTP/1.1\r\nHost: host.example\r\nX-Id: id-1\r\n{framing}\r\n")
}

fn send_long(world: &World, body: &str) -> Option<CallerReply> {
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {}\r\n", body.len())));
    caller.send_raw(body);
    caller.read()
}

#[test]
fn a_body_longer_than_the_memory_limit_reaches_its_target_completely() {
    let world = world(&[Script::Good]);
    let body = long_body(LONG_BYTES);
    let reply = send_long(&world, &body).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    let seen = world.targets[0].requests();
    assert_eq!(seen.len(), 1);
    let (head, got) = seen[0].split_once("\r\n\r\n").expect("a head and a body");
    assert_eq!(header(head, "content-length"), Some(LONG_BYTES.to_string().as_str()));
    assert!(got == body, "{} bytes arrived that differ from the body", got.len());
}

#[test]
fn a_long_chunked_body_is_forwarded_in_chunks() {
    let world = world(&[Script::AnswersBeforeBody]);
    let body = long_body(LONG_BYTES);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head("Transfer-Encoding: chunked\r\n"));
    let sender = thread::spawn(move || {
        caller.send_raw(&in_chunks(&body));
        caller.read()
    });
    let reply = sender.join().expect("no panic").expect("an answer");
    assert_eq!(reply.status, 200);
    let seen = world.targets[0].requests();
    let (head, _) = seen[0].split_once("\r\n\r\n").expect("a head");
    assert_eq!(header(head, "transfer-encoding"), Some("chunked"));
    assert_eq!(header(head, "content-length"), None);
}

#[test]
fn several_long_bodies_at_once_stay_within_the_memory_limit() {
    let world = world(&[Script::Good, Script::Good]);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let body = long_body(LONG_BYTES);
                let reply = send_long(&world, &body).expect("an answer");
                // A body for which there is no memory is refused as not run.
                assert!([200, 408, 503].contains(&reply.status), "{}", reply.status);
            });
        }
    });
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert!((1..=4).contains(&runs), "{runs}");
    let body = long_body(LONG_BYTES);
    eventually("the memory is free again", || {
        send_long(&world, &body).is_some_and(|reply| reply.status == 200)
    });
}

#[test]
fn a_long_body_that_a_target_refuses_is_not_run() {
    let world = world(&[Script::Sheds, Script::Sheds]);
    let reply = send_long(&world, &long_body(LONG_BYTES)).expect("an answer");
    assert_eq!(reply.status, 503, "the target has reported that it ran nothing");
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(runs, 1, "a body that was streamed to one target can't be sent to the other");
}

#[test]
fn a_short_upload_is_sent_to_another_target_after_a_refusal() {
    let world = world(&[Script::Sheds, Script::Good]);
    for _ in 0..4 {
        let reply = send_long(&world, &long_body(64 << 10)).expect("an answer");
        assert_eq!(reply.status, 200);
    }
}

#[test]
fn a_long_body_is_not_sent_to_another_target_after_a_failure() {
    let world = world(&[Script::ClosesUnanswered, Script::ClosesUnanswered]);
    let reply = send_long(&world, &long_body(LONG_BYTES)).expect("an answer");
    assert_eq!(reply.status, 502, "it may have run");
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn a_chunked_body_beyond_the_limit_is_rejected() {
    let world = world(&[Script::Good]);
    // This target reads everything and never answers.
    let listener = TcpListener::bind((own_host(), 0)).expect("loopback");
    let reader = entry("taker", "service", &listener.local_addr().expect("bound").to_string());
    let received = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the box connects");
        std::io::copy(&mut stream, &mut std::io::sink())
    });
    world.store.put_targets(vec![reader]);
    let read = world.store.reads();
    eventually("the box has the new listing", || world.store.reads() > read + 1);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head("Transfer-Encoding: chunked\r\n"));
    // The configuration of these tests allows 8 MB.
    let sender = thread::spawn(move || {
        caller.send_raw(&in_chunks(&long_body(10 << 20)));
        caller.read()
    });
    let reply = sender.join().expect("no panic");
    assert!(
        reply.is_none_or(|reply| reply.status == 413),
        "no answer (the caller may still be sending) or 413"
    );
    // The box closes the target's connection before the end of the body.
    assert!(received.join().expect("no panic").is_ok_and(|bytes| bytes < 10 << 20));
}

#[test]
fn a_caller_that_disconnects_during_a_long_body_frees_its_target() {
    let world = world(&[Script::Good]);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    caller.send_raw(&long_body(2 << 20));
    drop(caller);
    let body = long_body(LONG_BYTES);
    eventually("the next request is served", || {
        send_long(&world, &body).is_some_and(|reply| reply.status == 200)
    });
    // The interrupted body arrived incomplete, which no target takes for a valid request.
    let is_complete = |seen: &&String| seen.len() > LONG_BYTES;
    assert_eq!(world.targets[0].requests().iter().filter(is_complete).count(), 1);
}

#[test]
fn a_caller_that_is_still_sending_receives_its_answer() {
    let world = world(&[Script::AnswersBeforeBody]);
    let stream = world.gateway.connect();
    let mut writer = stream.stream().try_clone().expect("a socket");
    let mut reader = stream.stream().try_clone().expect("a socket");
    writer
        .write_all(head(&format!("Content-Length: {LONG_BYTES}\r\n")).as_bytes())
        .expect("the box reads");
    writer.write_all(long_body(2 << 20).as_bytes()).expect("the box reads");
    let mut answer = Vec::new();
    let _ = reader.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert!(answer.ends_with("hello"), "{answer}");
}

#[test]
fn a_slow_caller_does_not_make_its_target_suspect() {
    let world = world(&[Script::Good, Script::Good]);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    caller.send_raw(&long_body(2 << 20));
    // Many times the typical time of a request.
    thread::sleep(Duration::from_secs(2));
    caller.send_raw(&long_body(LONG_BYTES)[2 << 20..]);
    assert_eq!(caller.read().expect("an answer").status, 200);
    assert_eq!(harness::counter_value("wingbridge_hang_ups"), 0);
}

/// In a body with a content length, a part that consisted of the bytes of a last chunk was taken for the end of the
/// body.
#[test]
fn bytes_of_a_last_chunk_do_not_end_a_body_with_a_length() {
    let world = world(&[Script::Good]);
    let mut body = long_body(LONG_BYTES);
    let at = 2 << 20;
    body.replace_range(at..at + 5, "0\r\n\r\n");
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    // The pauses make each part a chunk of its own: the part before has been read when it is sent.
    for part in [&body[..at], &body[at..at + 5], &body[at + 5..]] {
        caller.send_raw(part);
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(caller.read().expect("an answer").status, 200);
    let seen = world.targets[0].requests();
    let (_, got) = seen[0].split_once("\r\n\r\n").expect("a head and a body");
    assert!(got == body, "{} bytes arrived that differ from the body", got.len());
}
