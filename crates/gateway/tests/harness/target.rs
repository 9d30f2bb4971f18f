//! Targets that follow a script.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use wingbridge_gateway::view::TargetEntry;

use super::{LOOK_PAUSE, READ_TIME, eventually, header, lock, own_host};

/// What a target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Answers well.
    Good,
    /// Answers well in chunks.
    Chunked,
    /// Answers well and ends the body by closing.
    UntilClose,
    /// Runs it and fails.
    Fails,
    /// Refuses and says that it ran nothing.
    Sheds,
    /// Refuses for too many requests, and says that it ran nothing.
    TooMany,
    /// Refuses, and doesn't say whether it ran.
    Busy,
    /// Is another instance than the one that was meant.
    OtherInstance,
    /// Runs it and closes within the body.
    Truncated,
    /// Runs it and closes without an answer.
    ClosesUnanswered,
    /// Answers well without its proof.
    NoProof,
    /// Gives the answer to another request.
    WrongId,
    /// Refuses another request, and says that it ran nothing of that.
    WrongIdSheds,
    /// Encodes the body.
    Encoded,
    /// Answers well, and sends another answer behind.
    AnswersTwice,
    /// Answers well before it has read the body.
    AnswersBeforeBody,
    /// Works until its connection is closed.
    Hangs,
    /// Answers well once the test lets it.
    WaitsForRelease,
    /// Refuses once the test lets it, and says that it ran nothing.
    WaitsThenSheds,
    /// Answers with two megabytes and breaks off within them.
    LongTruncated,
    /// Answers with two megabytes.
    Long,
    /// Begins an answer of two megabytes and works on the rest until its connection is closed.
    LongHangs,
    /// Begins to run it and ends by it, with all that is open there; its address refuses from then on.
    Crashes,
    /// Ends by what is asked of [`POISON_PATH_PART`], and answers all else well.
    CrashesOnPoison,
    /// The same, once the connection by which it came has closed.
    CrashesOnPoisonAfterClose,
}

/// The part of a path that marks requests under which targets end.
pub const POISON_PATH_PART: &str = "deadly";
/// Bytes of a long answer.
pub const LONG_ANSWER_BYTES: usize = 2 << 20;
/// Bytes of one that is begun and not finished.
pub const BEGUN_ANSWER_BYTES: usize = 1000;

/// A request that came, head and body, and when.
struct SeenRequest {
    at: Instant,
    text: String,
}

impl SeenRequest {
    fn now(head: &str, body: &str) -> SeenRequest {
        SeenRequest { at: Instant::now(), text: format!("{head}\r\n\r\n{body}") }
    }
}

/// Connections that are served now, each with its number.
type OpenStreams = Arc<Mutex<Vec<(usize, TcpStream)>>>;

/// A target on a thread of its own.
pub struct TargetStandin {
    pub entry: TargetEntry,
    script: Arc<Mutex<Script>>,
    said: Arc<Mutex<String>>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    hang_ups: Arc<Mutex<usize>>,
    gate: Arc<AtomicBool>,
}

impl TargetStandin {
    /// A target of `service` that follows `script`.
    pub fn start(id: &str, service: &str, script: Script) -> TargetStandin {
        let listener = TcpListener::bind((own_host(), 0)).expect("loopback");
        let address = listener.local_addr().expect("bound").to_string();
        let script = Arc::new(Mutex::new(script));
        let (seen, hang_ups) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
        let said = Arc::new(Mutex::new(String::new()));
        let gate = Arc::new(AtomicBool::new(false));
        let (says, opened) = (Arc::clone(&said), Arc::clone(&gate));
        let (followed, noted, counted) =
            (Arc::clone(&script), Arc::clone(&seen), Arc::clone(&hang_ups));
        thread::spawn(move || {
            let open: OpenStreams = Arc::default();
            for number in 0.. {
                let Ok((stream, _)) = listener.accept() else { return };
                let script = *lock(&followed);
                if ends_by(script, &stream) {
                    note_deadly(&stream, &noted);
                    if script == Script::CrashesOnPoisonAfterClose {
                        wait_closed(&stream);
                    }
                    drop(listener);
                    end_all(&stream, &lock(&open));
                    return;
                }
                lock(&open).extend(stream.try_clone().map(|stream| (number, stream)));
                let open = Arc::clone(&open);
                let (noted, counted) = (Arc::clone(&noted), Arc::clone(&counted));
                let (said, opened) = (lock(&says).clone(), Arc::clone(&opened));
                thread::spawn(move || {
                    serve(stream, script, &said, &noted, &counted, &opened);
                    // Kept, it would hold a descriptor for each request of a long test.
                    lock(&open).retain(|(known, _)| *known != number);
                });
            }
        });
        TargetStandin { entry: entry(id, service, &address), script, said, seen, hang_ups, gate }
    }

    /// The requests that came, head and body.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.seen).iter().map(|seen| seen.text.clone()).collect()
    }

    /// When they came.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.seen).iter().map(|seen| seen.at).collect()
    }

    /// Callers' connections that closed while it worked.
    pub fn hang_ups(&self) -> usize {
        *lock(&self.hang_ups)
    }

    /// Lets what waits under [`Script::WaitsForRelease`] go on.
    pub fn release(&self) {
        self.gate.store(true, Ordering::Release);
    }

    /// Has those header lines in each answer from the next request on; each ends its line.
    pub fn set_answer_headers(&self, lines: &str) {
        *lock(&self.said) = lines.to_string();
    }

    /// Follows another script from the next request on.
    pub fn set_script(&self, script: Script) {
        *lock(&self.script) = script;
    }
}

/// A target's entry.
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
        born_ms: 0,
    }
}

/// Whether a target of `script` ends by the request that comes on `stream`.
fn ends_by(script: Script, stream: &TcpStream) -> bool {
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

/// Waits until the peer has closed, and leaves what it sent before unread.
fn wait_closed(stream: &TcpStream) {
    let mut watched = stream.try_clone().expect("a connection can be shared");
    let _ = watched.set_read_timeout(Some(READ_TIME));
    let mut sent = [0; 4096];
    while watched.read(&mut sent).is_ok_and(|read| read > 0) {}
}

/// Reads and notes the request under which a target ends.
fn note_deadly(stream: &TcpStream, seen: &Mutex<Vec<SeenRequest>>) {
    let mut stream = stream.try_clone().expect("a connection can be shared");
    if let Some((head, body)) = read_message(&mut stream, true) {
        lock(seen).push(SeenRequest::now(&head, &body));
    }
}

/// Breaks off all that is open at a target.
fn end_all(last: &TcpStream, open: &[(usize, TcpStream)]) {
    for stream in open.iter().map(|(_, stream)| stream).chain([last]) {
        // Those that were served are closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve(
    mut stream: TcpStream,
    script: Script,
    said: &str,
    seen: &Mutex<Vec<SeenRequest>>,
    hang_ups: &Mutex<usize>,
    gate: &AtomicBool,
) {
    let Some((head, body)) = read_message(&mut stream, script != Script::AnswersBeforeBody) else {
        return;
    };
    let id = header(&head, "x-id").unwrap_or_default().to_string();
    lock(seen).push(SeenRequest::now(&head, &body));
    let ok = format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\nX-Proof: p\r\nX-Kept: k\r\n{said}");
    let answer = match script {
        Script::Good
        | Script::CrashesOnPoison
        | Script::CrashesOnPoisonAfterClose
        | Script::AnswersBeforeBody => {
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::Chunked => format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        Script::UntilClose => format!("{ok}\r\nhello"),
        Script::Fails => format!(
            "HTTP/1.1 500 Broken\r\nX-Id: {id}\r\nX-Proof: p\r\n{said}Content-Length: 3\r\n\r\nbad"
        ),
        Script::Sheds => {
            format!(
                "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{said}Content-Length: 0\r\n\r\n"
            )
        }
        Script::TooMany => {
            format!(
                "HTTP/1.1 429 Many\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{said}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Busy => format!(
            "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Proof: p\r\n{said}Content-Length: 0\r\n\r\n"
        ),
        // It ran nothing, and says that as well.
        Script::OtherInstance => {
            format!(
                "HTTP/1.1 421 Other\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{said}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Truncated => format!("{ok}Content-Length: 50\r\n\r\nhello"),
        // A target that ends never comes here.
        Script::ClosesUnanswered | Script::Crashes => String::new(),
        Script::NoProof => {
            format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\n{said}Content-Length: 5\r\n\r\nhello")
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
            // It ends when the peer closes; a reset is as good.
            let _ = stream.read(&mut [0; 16]);
            *lock(hang_ups) += 1;
            return;
        }
        Script::LongHangs => {
            let begun = format!(
                "{ok}Content-Length: {LONG_ANSWER_BYTES}\r\n\r\n{}",
                "x".repeat(BEGUN_ANSWER_BYTES)
            );
            // The box may have gone away, which counts as a hang-up as well.
            let _ = stream.write_all(begun.as_bytes());
            let _ = stream.read(&mut [0; 16]);
            *lock(hang_ups) += 1;
            return;
        }
        Script::WaitsForRelease => {
            while !gate.load(Ordering::Acquire) {
                thread::sleep(LOOK_PAUSE);
            }
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::WaitsThenSheds => {
            while !gate.load(Ordering::Acquire) {
                thread::sleep(LOOK_PAUSE);
            }
            format!(
                "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n{said}Content-Length: 0\r\n\r\n"
            )
        }
        Script::Long | Script::LongTruncated => {
            let length =
                if script == Script::Long { LONG_ANSWER_BYTES } else { LONG_ANSWER_BYTES - 10 };
            format!("{ok}Content-Length: {LONG_ANSWER_BYTES}\r\n\r\n{}", "x".repeat(length))
        }
    };
    // The box may have gone away, which is the test's business.
    let _ = stream.write_all(answer.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 16]);
}

/// Reads a head and, if wanted, a body by its length.
pub(super) fn read_message(stream: &mut TcpStream, with_body: bool) -> Option<(String, String)> {
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
