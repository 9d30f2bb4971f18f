//! Targets that follow a script.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use wingbridge_gateway::view::TargetEntry;

use super::{CHECK_INTERVAL, READ_TIMEOUT, eventually, header, lock, own_host};

/// Reaction of a target to a request. A complete answer has the status 200 and the proof of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Sends a complete answer.
    Good,
    /// Sends a complete answer after [`USUAL_TIME`], next to which the delays of a busy machine are short.
    GoodInUsualTime,
    /// Sends a complete answer in chunks.
    Chunked,
    /// Sends a complete answer whose body ends when the connection closes.
    UntilClose,
    /// Runs the request and answers with the status 500.
    Fails,
    /// Refuses with the status 503 and declares that the request was not run.
    Sheds,
    /// Refuses with the status 429 and declares that the request was not run.
    TooMany,
    /// Refuses with the status 503 without declaring whether the request was run.
    Busy,
    /// Answers that it is another instance than the expected one, and that the request was not run.
    OtherInstance,
    /// Runs the request and closes in the middle of the body.
    Truncated,
    /// Runs the request and closes without an answer.
    ClosesUnanswered,
    /// Sends a complete answer without the proof of the target.
    NoProof,
    /// Sends the answer to another request.
    WrongId,
    /// Refuses with the id of another request and declares that that one was not run.
    WrongIdSheds,
    /// Sends an answer with an encoded body.
    Encoded,
    /// Sends a complete answer, current_script by a second one.
    AnswersTwice,
    /// Sends a complete answer before it has read the body of the request.
    AnswersBeforeBody,
    /// Processes the request until its connection is closed.
    Hangs,
    /// Sends a complete answer once the test calls [`TargetStandin::release`].
    WaitsForRelease,
    /// Refuses once the test calls [`TargetStandin::release`], and declares that the request was not run.
    WaitsThenSheds,
    /// Sends an answer of two megabytes that is cut off ten bytes before its end.
    LongTruncated,
    /// Sends an answer of two megabytes.
    Long,
    /// Sends the beginning of an answer of two megabytes and then waits until its connection is closed.
    LongHangs,
    /// Terminates while processing the request and closes all its connections; its address refuses connections
    /// from then on.
    Crashes,
    /// Terminates on a request whose path contains [`POISON_PATH_PART`], and answers all others completely.
    CrashesOnPoison,
    /// Like `CrashesOnPoison`, but terminates only once the connection of the request has been closed.
    CrashesOnPoisonAfterClose,
}

/// Part of the path that marks poison requests.
pub const POISON_PATH_PART: &str = "deadly";
/// Time after which [`Script::GoodInUsualTime`] answers.
const USUAL_TIME: Duration = Duration::from_millis(40);
/// Time of a late answer, long enough for a box to hold back what would wait for several of them.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(700);
/// Length in bytes of the body of a long answer.
pub const LONG_ANSWER_BYTES: usize = 2 << 20;
/// Length in bytes of the part that is sent of a long answer that does not complete.
pub const BEGUN_ANSWER_BYTES: usize = 1000;

/// A received request, head and body, with the time of its arrival.
struct ReceivedRequest {
    at: Instant,
    text: String,
}

impl ReceivedRequest {
    fn now(head: &str, body: &str) -> ReceivedRequest {
        ReceivedRequest { at: Instant::now(), text: format!("{head}\r\n\r\n{body}") }
    }
}

/// Connections that are being served, each with its number.
type OpenStreams = Arc<Mutex<Vec<(usize, TcpStream)>>>;

/// A target on a thread of its own.
pub struct TargetStandin {
    pub entry: TargetEntry,
    script: Arc<Mutex<Script>>,
    headers: Arc<Mutex<String>>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    hang_ups: Arc<Mutex<usize>>,
    released: Arc<AtomicBool>,
    /// Whether no connection is accepted.
    paused: Arc<AtomicBool>,
}

impl TargetStandin {
    /// Starts a target of `service` that follows `script`.
    pub fn start(id: &str, service: &str, script: Script) -> TargetStandin {
        let listener = TcpListener::bind((own_host(), 0)).expect("loopback");
        let address = listener.local_addr().expect("bound").to_string();
        let script = Arc::new(Mutex::new(script));
        let (received, hang_ups) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
        let headers = Arc::new(Mutex::new(String::new()));
        let released = Arc::new(AtomicBool::new(false));
        let paused = Arc::new(AtomicBool::new(false));
        let pause_flag = Arc::clone(&paused);
        let (shared_headers, release_flag) = (Arc::clone(&headers), Arc::clone(&released));
        let (current_script, recorded, hang_up_count) =
            (Arc::clone(&script), Arc::clone(&received), Arc::clone(&hang_ups));
        thread::spawn(move || {
            let open: OpenStreams = Arc::default();
            for number in 0.. {
                while pause_flag.load(Ordering::Acquire) {
                    thread::sleep(CHECK_INTERVAL);
                }
                let Ok((stream, _)) = listener.accept() else { return };
                let script = *lock(&current_script);
                if crashes_on(script, &stream) {
                    record_poison(&stream, &recorded);
                    if script == Script::CrashesOnPoisonAfterClose {
                        wait_closed(&stream);
                    }
                    drop(listener);
                    close_all(&stream, &lock(&open));
                    return;
                }
                lock(&open).extend(stream.try_clone().map(|stream| (number, stream)));
                let open = Arc::clone(&open);
                let (recorded, hang_up_count) = (Arc::clone(&recorded), Arc::clone(&hang_up_count));
                let (headers, release_flag) =
                    (lock(&shared_headers).clone(), Arc::clone(&release_flag));
                thread::spawn(move || {
                    serve(stream, script, &headers, &recorded, &hang_up_count, &release_flag);
                    // If the entry stayed, a long test would hold a descriptor for each request.
                    lock(&open).retain(|(known, _)| *known != number);
                });
            }
        });
        TargetStandin {
            entry: entry(id, service, &address),
            script,
            headers,
            received,
            hang_ups,
            released,
            paused,
        }
    }

    /// Starts a target that answers its first request once the test calls [`TargetStandin::release_late`]. From then on a
    /// box holds back what it would send there.
    pub fn start_cold(id: &str, service: &str) -> TargetStandin {
        let mut target = TargetStandin::start(id, service, Script::WaitsForRelease);
        // Cold from its start, so that each request is expected to wait there for long.
        target.entry.cold_time = Duration::from_secs(1000);
        target
    }

    /// Lets the request that waits continue after [`LATE_ANSWER_TIME`], which becomes the typical time of the target.
    pub fn release_late(&self) {
        thread::sleep(LATE_ANSWER_TIME);
        self.release();
    }

    /// Returns the received requests, each with head and body.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.received).iter().map(|received| received.text.clone()).collect()
    }

    /// Returns the arrival times of the received requests.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.received).iter().map(|received| received.at).collect()
    }

    /// Returns the number of connections that were closed while a request was being processed.
    pub fn hang_ups(&self) -> usize {
        *lock(&self.hang_ups)
    }

    /// Performs `work` while new connections to the target neither come up nor are refused, as on a machine that
    /// is too busy to accept them.
    pub fn while_connections_hang(&self, work: impl FnOnce()) {
        /// Failures in a row after which the queue of connections counts as full: the accepting thread may
        /// still take one after it was paused.
        const FAILURES: usize = 4;
        self.paused.store(true, Ordering::Release);
        let address: SocketAddr = self.entry.address.parse().expect("the target has an address");
        let mut held = Vec::new();
        let mut failures = 0;
        while failures < FAILURES {
            match TcpStream::connect_timeout(&address, 5 * CHECK_INTERVAL) {
                Ok(stream) => {
                    held.push(stream);
                    failures = 0;
                }
                Err(_) => failures += 1,
            }
        }
        work();
        drop(held);
        self.paused.store(false, Ordering::Release);
    }

    /// Lets requests continue that wait in [`Script::WaitsForRelease`] or [`Script::WaitsThenSheds`].
    pub fn release(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// Adds these header lines, each with its line end, to each answer from the next connection on.
    pub fn set_answer_headers(&self, lines: &str) {
        *lock(&self.headers) = lines.to_string();
    }

    /// Follows another script from the next connection on.
    pub fn set_script(&self, script: Script) {
        *lock(&self.script) = script;
    }
}

/// Creates the entry of a target.
pub fn entry(id: &str, service: &str, address: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        address: address.into(),
        service: service.into(),
        data_centre: "centre".into(),
        slots: 3,
        draining: false,
        cold_time: Duration::ZERO,
        is_cold: false,
        started_ms: 0,
    }
}

/// Returns whether a target with `script` terminates on the request that arrives on `stream`.
fn crashes_on(script: Script, stream: &TcpStream) -> bool {
    match script {
        Script::Crashes => true,
        Script::CrashesOnPoison | Script::CrashesOnPoisonAfterClose => {
            let mut beginning = [0; 256];
            let read = stream.peek(&mut beginning).unwrap_or(0);
            let line = String::from_utf8_lossy(&beginning[..read]).into_owned();
            line.lines().next().is_some_and(|line| line.contains(POISON_PATH_PART))
        }
        _ => false,
    }
}

/// Waits until the peer has closed the connection, and discards what it sent before.
fn wait_closed(stream: &TcpStream) {
    let mut watched = stream.try_clone().expect("a connection can be shared");
    let _ = watched.set_read_timeout(Some(READ_TIMEOUT));
    let mut sent = [0; 4096];
    while watched.read(&mut sent).is_ok_and(|read| read > 0) {}
}

/// Reads and records the request on which a target terminates.
fn record_poison(stream: &TcpStream, received: &Mutex<Vec<ReceivedRequest>>) {
    let mut stream = stream.try_clone().expect("a connection can be shared");
    if let Some((head, body)) = read_message(&mut stream, true) {
        lock(received).push(ReceivedRequest::now(&head, &body));
    }
}

/// Closes all open connections of a target.
fn close_all(last: &TcpStream, open: &[(usize, TcpStream)]) {
    for stream in open.iter().map(|(_, stream)| stream).chain([last]) {
        // Connections of completed requests are already closed.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve(
    mut stream: TcpStream,
    script: Script,
    headers: &str,
    received: &Mutex<Vec<ReceivedRequest>>,
    hang_ups: &Mutex<usize>,
    released: &AtomicBool,
) {
    let Some((head, body)) = read_message(&mut stream, script != Script::AnswersBeforeBody) else {
        return;
    };
    let id = header(&head, "x-id").unwrap_or_default().to_string();
    lock(received).push(ReceivedRequest::now(&head, &body));
    let ok = format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\nX-Proof: p\r\nX-Kept: k\r\n{headers}");
    let answer = match script {
        Script::Good
        | Script::CrashesOnPoison
        | Script::CrashesOnPoisonAfterClose
        | Script::AnswersBeforeBody => {
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::GoodInUsualTime => {
            thread::sleep(USUAL_TIME);
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::Chunked => format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        Script::UntilClose => format!("{ok}\r\nhello"),
        Script::Fails => format!(
            "HTTP/1.1 500 Broken\r\nX-Id: {id}\r\nX-Proof: p\r\n{headers}Content-Length: 3\r\n\r\nbad"
        ),
        Script::Sheds => {
            format!(
                "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{headers}Content-Length: 0\r\n\r\n"
            )
        }
        Script::TooMany => {
            format!(
                "HTTP/1.1 429 Many\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{headers}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Busy => format!(
            "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Proof: p\r\n{headers}Content-Length: 0\r\n\r\n"
        ),
        // It did not run the request, and declares that as well.
        Script::OtherInstance => {
            format!(
                "HTTP/1.1 421 Other\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{headers}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Truncated => format!("{ok}Content-Length: 50\r\n\r\nhello"),
        // A target that crashes is handled before.
        Script::ClosesUnanswered | Script::Crashes => String::new(),
        Script::NoProof => {
            format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\n{headers}Content-Length: 5\r\n\r\nhello")
        }
        Script::WrongId => ok.replace(&id, "another") + "Content-Length: 5\r\n\r\nhello",
        Script::WrongIdSheds => {
            let id = "another";
            format!("HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Script::Encoded => format!("{ok}Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello"),
        Script::AnswersTwice => {
            let one = format!("{ok}Content-Length: 5\r\n\r\nhello");
            format!("{one}{}", one.replace("hello", "again"))
        }
        Script::Hangs => {
            // The read ends when the peer closes; a reset has the same effect.
            let _ = stream.read(&mut [0; 16]);
            *lock(hang_ups) += 1;
            return;
        }
        Script::LongHangs => {
            let begun = format!(
                "{ok}Content-Length: {LONG_ANSWER_BYTES}\r\n\r\n{}",
                "x".repeat(BEGUN_ANSWER_BYTES)
            );
            // The box may already have closed, which counts as a hang-up as well.
            let _ = stream.write_all(begun.as_bytes());
            let _ = stream.read(&mut [0; 16]);
            *lock(hang_ups) += 1;
            return;
        }
        Script::WaitsForRelease => {
            while !released.load(Ordering::Acquire) {
                thread::sleep(CHECK_INTERVAL);
            }
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::WaitsThenSheds => {
            while !released.load(Ordering::Acquire) {
                thread::sleep(CHECK_INTERVAL);
            }
            format!(
                "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{headers}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Long | Script::LongTruncated => {
            let length =
                if script == Script::Long { LONG_ANSWER_BYTES } else { LONG_ANSWER_BYTES - 10 };
            format!("{ok}Content-Length: {LONG_ANSWER_BYTES}\r\n\r\n{}", "x".repeat(length))
        }
    };
    // The box may already have closed; the test checks that itself.
    let _ = stream.write_all(answer.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 16]);
}

/// Returns `count` targets of `service`, which nobody starts.
pub fn unused_targets(service: &str, count: usize) -> Vec<TargetEntry> {
    let address = |number: usize| format!("10.0.{}.{}:80", number / 200, number % 200 + 1);
    let target = |number| entry(&format!("n{number:05}"), service, &address(number));
    (0..count).map(target).collect()
}

/// Reads the head of a message and, with `with_body`, a body of the announced length.
pub fn read_message(stream: &mut TcpStream, with_body: bool) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length: usize =
        header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end + 4);
    while with_body && body.len() < length {
        let mut chunk = [0; 65536];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => body.extend_from_slice(&chunk[..count]),
        }
    }
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}
