//! Long bodies: passed on as they come, within a bound on memory, and never run twice.
//!
//! A box held each body whole, and once more while it sent it: two bodies of 64 MB, which the operators
//! allow, took more memory than a box of 160 MB has. The cause: nothing went to a target before all of it
//! was there. What is longer than a megabyte is now passed on as it comes.

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

/// Longer than what is held, and than the room that boxes of these tests have for all bodies.
const LONG_BYTES: usize = 6 << 20;
/// Room for bodies: the beginning of one long body and what is on its way.
const ROOM: usize = 2 << 20;

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
        settings.max_held_body_bytes = ROOM;
    });
    gateway.wait_ready();
    World { store, targets, gateway }
}

/// A body that shows whether a part of it is missing or in another place.
fn long_body(bytes: usize) -> String {
    (0..bytes / 8).map(|number| format!("{number:07} ")).collect()
}

fn in_chunks(body: &str) -> String {
    let chunk =
        |piece: &[u8]| format!("{:x}\r\n{}\r\n", piece.len(), String::from_utf8_lossy(piece));
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
fn a_body_longer_than_all_room_reaches_its_target_whole() {
    let world = world(&[Script::Good]);
    let body = long_body(LONG_BYTES);
    let reply = send_long(&world, &body).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    let seen = world.targets[0].requests();
    assert_eq!(seen.len(), 1);
    let (head, got) = seen[0].split_once("\r\n\r\n").expect("a head and a body");
    assert_eq!(header(head, "content-length"), Some(LONG_BYTES.to_string().as_str()));
    assert!(got == body, "{} bytes came, not the same", got.len());
}

#[test]
fn a_long_body_in_chunks_goes_on_in_chunks() {
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
fn several_long_bodies_at_once_share_the_room() {
    let world = world(&[Script::Good, Script::Good]);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let body = long_body(LONG_BYTES);
                let reply = send_long(&world, &body).expect("an answer");
                // One for which there is no room is told that it has not run.
                assert!([200, 408, 503].contains(&reply.status), "{}", reply.status);
            });
        }
    });
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert!((1..=4).contains(&runs), "{runs}");
    let body = long_body(LONG_BYTES);
    eventually("the room is free again", || {
        send_long(&world, &body).is_some_and(|reply| reply.status == 200)
    });
}

#[test]
fn a_target_that_refuses_a_long_body_leaves_it_not_run() {
    let world = world(&[Script::Sheds, Script::Sheds]);
    let reply = send_long(&world, &long_body(LONG_BYTES)).expect("an answer");
    assert_eq!(reply.status, 503, "both said that they ran nothing");
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(runs, 1, "what went to the first is not there for the second");
}

#[test]
fn a_short_upload_goes_to_another_target_after_a_refusal() {
    let world = world(&[Script::Sheds, Script::Good]);
    for _ in 0..4 {
        let reply = send_long(&world, &long_body(64 << 10)).expect("an answer");
        assert_eq!(reply.status, 200);
    }
}

#[test]
fn a_long_body_whose_target_fails_is_sent_to_nobody_else() {
    let world = world(&[Script::ClosesUnanswered, Script::ClosesUnanswered]);
    let reply = send_long(&world, &long_body(LONG_BYTES)).expect("an answer");
    assert_eq!(reply.status, 502, "it may have run");
    let runs: usize = world.targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn a_body_in_chunks_that_grows_too_long_is_rejected() {
    let world = world(&[Script::Good]);
    // It takes all that comes and answers nothing.
    let listener = TcpListener::bind((own_host(), 0)).expect("loopback");
    let taker = entry("taker", "service", &listener.local_addr().expect("bound").to_string());
    let taken = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the box connects");
        std::io::copy(&mut stream, &mut std::io::sink())
    });
    world.store.put_targets(vec![taker]);
    let read = world.store.reads();
    eventually("it is the one target", || world.store.reads() > read + 1);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head("Transfer-Encoding: chunked\r\n"));
    // The configuration of these tests allows eight megabytes.
    let sender = thread::spawn(move || {
        caller.send_raw(&in_chunks(&long_body(10 << 20)));
        caller.read()
    });
    let reply = sender.join().expect("no panic");
    assert!(reply.is_none_or(|reply| reply.status == 413), "or it was still sending");
    // The end of the connection tells it that there is no more, before the body's own end.
    assert!(taken.join().expect("no panic").is_ok_and(|bytes| bytes < 10 << 20));
}

#[test]
fn a_caller_that_leaves_within_a_long_body_frees_its_target() {
    let world = world(&[Script::Good]);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    caller.send_raw(&long_body(2 << 20));
    drop(caller);
    let body = long_body(LONG_BYTES);
    eventually("the next one is served", || {
        send_long(&world, &body).is_some_and(|reply| reply.status == 200)
    });
    // What broke off came short, which no target takes for a request.
    let whole = |seen: &&String| seen.len() > LONG_BYTES;
    assert_eq!(world.targets[0].requests().iter().filter(whole).count(), 1);
}

#[test]
fn a_caller_that_is_still_sending_reads_its_answer() {
    let world = world(&[Script::AnswersBeforeBody]);
    let stream = world.gateway.connect();
    let mut writer = stream.stream().try_clone().expect("a socket");
    let mut reader = stream.stream().try_clone().expect("a socket");
    writer
        .write_all(head(&format!("Content-Length: {LONG_BYTES}\r\n")).as_bytes())
        .expect("it reads");
    writer.write_all(long_body(2 << 20).as_bytes()).expect("it reads");
    let mut answer = Vec::new();
    let _ = reader.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert!(answer.ends_with("hello"), "{answer}");
}

#[test]
fn a_slow_caller_makes_no_suspect_of_its_target() {
    let world = world(&[Script::Good, Script::Good]);
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    caller.send_raw(&long_body(2 << 20));
    // Many times what a request usually takes.
    thread::sleep(Duration::from_secs(2));
    caller.send_raw(&long_body(LONG_BYTES)[2 << 20..]);
    assert_eq!(caller.read().expect("an answer").status, 200);
    assert_eq!(harness::counter_value("wingbridge_hang_ups"), 0);
}

/// A piece of a body with a length that had the bytes of a last chunk counted as the end of the body.
#[test]
fn bytes_of_a_last_chunk_within_a_body_are_no_end_of_it() {
    let world = world(&[Script::Good]);
    let mut body = long_body(LONG_BYTES);
    let at = 2 << 20;
    body.replace_range(at..at + 5, "0\r\n\r\n");
    let mut caller = world.gateway.connect();
    caller.send_raw(&head(&format!("Content-Length: {LONG_BYTES}\r\n")));
    // Each part is a piece of its own: the one before has been read when it is sent.
    for part in [&body[..at], &body[at..at + 5], &body[at + 5..]] {
        caller.send_raw(part);
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(caller.read().expect("an answer").status, 200);
    let seen = world.targets[0].requests();
    let (_, got) = seen[0].split_once("\r\n\r\n").expect("a head and a body");
    assert!(got == body, "{} bytes came, not the same", got.len());
}
