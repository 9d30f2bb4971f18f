//! A stand-in of an instance, with the path between it and the boxes.
//!
//! It works on `slots` requests at a time and queues a few more, drops a request whose connection closes, and says
//! with `Not-Executed` what it has not run. Boxes whose path is cut reach nothing: their connections come up and
//! stay silent both ways, as in a partition, and their bytes are lost.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, respond, Message};
use crate::record::Record;

const QUEUE: u32 = 12;
const POLL: Duration = Duration::from_millis(2);

/// Runs of all instances: for each request id, the instances that have begun work on it.
pub type Runs = Arc<Mutex<HashMap<String, Vec<(String, Instant)>>>>;

/// Boxes whose path to the instances is cut.
pub type CutPaths = Arc<Mutex<Vec<IpAddr>>>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Time that it works on a request, in milliseconds.
    pub work_ms: Arc<AtomicU64>,
    busy: Arc<AtomicU32>,
    held: Arc<AtomicU32>,
    runs: Runs,
    cut: CutPaths,
    record: Record,
}

impl Server {
    pub fn start(
        (id, service): (&str, &str),
        slots: u32,
        work_ms: u64,
        (runs, cut, record): (Runs, CutPaths, Record),
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            id: id.to_string(),
            service: service.to_string(),
            slots,
            address: listener.local_addr().expect("an address"),
            work_ms: Arc::new(AtomicU64::new(work_ms)),
            busy: Arc::default(),
            held: Arc::default(),
            runs,
            cut,
            record,
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }

    /// The entry of this instance in the store.
    pub fn entry(&self, zone: &str, state: &str, seq: u64) -> String {
        let Server { address, service, slots, .. } = self;
        format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":{seq},"cold_left":"0ms"}}}}"#
        )
    }

    fn is_cut(&self, peer: IpAddr) -> bool {
        self.cut.lock().unwrap().contains(&peer)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        if self.is_cut(peer.ip()) {
            // Nothing passes while the path is cut; the connection is silent until the box gives it up.
            while self.is_cut(peer.ip()) && !is_closed(&stream) {
                thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        let mut bytes = Vec::new();
        while let Ok(request) = read_message(&mut stream, &mut bytes) {
            let held = self.held.fetch_add(1, Ordering::SeqCst);
            let keeps = self.handle(&mut stream, &request, held, peer.ip());
            self.held.fetch_sub(1, Ordering::SeqCst);
            if !keeps || request.header("connection").is_some_and(|text| text == "close") {
                return;
            }
        }
    }

    fn handle(&self, stream: &mut TcpStream, request: &Message, held: u32, from: IpAddr) -> bool {
        let id = request.header("request-id").unwrap_or("-").to_string();
        // The usual traffic beside a case is left out of its record.
        let record =
            if id.starts_with("usual") { self.record.quiet() } else { self.record.clone() };
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return respond(stream, 421, &[("Not-Executed", "1"), ("Request-Id", &id)], b"");
        }
        let load =
            format!("{},{},{}", held.min(self.slots), held.saturating_sub(self.slots), self.slots);
        if held >= self.slots + QUEUE {
            let headers = [("Not-Executed", "1"), ("Request-Id", &*id), ("Server-Load", &*load)];
            return respond(stream, 503, &headers, b"");
        }
        while self
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |busy| {
                (busy < self.slots).then_some(busy + 1)
            })
            .is_err()
        {
            if is_closed(stream) {
                return false;
            }
            thread::sleep(POLL);
        }
        let method = request.first.first().cloned().unwrap_or_default();
        record.line(&format!("instance {} begins to run {method} {id}, from box {from}", self.id));
        self.runs
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push((self.id.clone(), Instant::now()));
        let deadline =
            request.header("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000);
        let work = Duration::from_millis(self.work_ms.load(Ordering::SeqCst));
        let deadline = Duration::from_millis(deadline);
        let until = Instant::now() + work.min(deadline);
        let mut is_dropped = false;
        while Instant::now() < until && !is_dropped {
            thread::sleep(POLL.min(until.saturating_duration_since(Instant::now())));
            is_dropped = is_closed(stream);
        }
        self.busy.fetch_sub(1, Ordering::SeqCst);
        if is_dropped {
            record.line(&format!("instance {} drops {id}: its connection has closed", self.id));
            return false;
        }
        let stamp = format!("{}.{id}", self.id);
        let headers = [("Request-Id", &*id), ("Server-Stamp", &*stamp), ("Server-Load", &*load)];
        if work > deadline {
            record.line(&format!("instance {} ends {id} at its deadline", self.id));
            return respond(stream, 504, &headers, b"late");
        }
        record.line(&format!("instance {} has run {id} and answers 200", self.id));
        respond(stream, 200, &headers, body_of(&id, &self.id).as_bytes())
    }
}

/// The body of an instance's answer.
pub fn body_of(id: &str, server: &str) -> String {
    format!("{id} by {server}: {}", ".".repeat(300))
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}
