//! Callers, which make requests over connections that they may use until the box's process has
//! ended.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingbridge_platform_standins::{AnswerCheck, check_answer};

use crate::environment::{API_KEY, HOST};
use crate::fleet::{BoxLocation, is_ready};
use crate::lock;
use crate::plan::PoisonRound;

/// Time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Average pause of a caller between two requests.
const MEAN_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which the balancer checks the readiness of a box.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the balancer waits for the answer to a readiness check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of requests whose caller hangs up early.
const HANG_UP_SHARE: f64 = 0.02;
/// Time after which these callers hang up.
const HANG_UP_DELAY: Duration = Duration::from_millis(20);
/// Probability that a caller reuses its connection for the next request.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// How a request ended for its caller. Reports contain the `Debug` form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerEnd {
    /// An answer with this status came. A success is checked to be complete and to belong to the
    /// request.
    Answered(u16, AnswerCheck),
    /// The connection closed without a complete answer.
    Closed,
    /// No connection was established, or it closed before the request was sent.
    NotSent,
    /// The caller hung up on purpose.
    GivenUp,
    /// No complete answer came within the caller's timeout.
    TimedOut,
}

/// A request as its caller observed it.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// Id of the request, which begins with the index of the box that received it.
    pub id: String,
    /// Index of the box that received it.
    pub index: usize,
    /// Path of the request.
    pub path: String,
    /// When the last byte was sent.
    pub sent: Instant,
    /// When the request ended.
    pub ended: Instant,
    /// How the request ended.
    pub end: CallerEnd,
}

/// A request on a connection of its own, of whose answer only the status is used.
#[derive(Debug)]
pub struct RawRequest {
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Complete head of the request.
    pub head: String,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

impl RawRequest {
    /// Sends the request and returns the status of the answer, if a complete one comes in time.
    pub fn status(&self) -> Option<u16> {
        let mut connection = Connection::open(self.address)?;
        connection.stream.write_all(self.head.as_bytes()).ok()?;
        match connection.read_answer(self.deadline) {
            ReadOutcome::Answer(answer) => Some(answer.status),
            ReadOutcome::Closed | ReadOutcome::TimedOut => None,
        }
    }
}

/// Running callers, and a balancer that selects the boxes to which they connect.
#[derive(Debug)]
pub struct CallerPool {
    shared: Arc<PoolState>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct PoolState {
    locations: Vec<BoxLocation>,
    ready: Vec<AtomicBool>,
    records: Mutex<Vec<CallerRecord>>,
    numbers: AtomicU64,
    stopped: AtomicBool,
}

impl CallerPool {
    /// Starts `count` callers of the boxes at `locations`, and one caller per poison round.
    pub fn start(
        locations: &[BoxLocation],
        count: usize,
        seed: u64,
        poison_rounds: &[PoisonRound],
    ) -> CallerPool {
        let shared = Arc::new(PoolState {
            locations: locations.to_vec(),
            ready: locations.iter().map(|_| AtomicBool::new(true)).collect(),
            records: Mutex::default(),
            numbers: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for index in 0..locations.len() {
            let balancer = Arc::clone(&shared);
            threads.push(thread::spawn(move || run_health_checks(index, &balancer)));
        }
        for number in 0..count as u64 {
            let caller = Arc::clone(&shared);
            let random = StdRng::seed_from_u64(seed ^ (number << 32));
            threads.push(thread::spawn(move || run_caller(random, &caller)));
        }
        for (number, round) in poison_rounds.iter().enumerate() {
            let (caller, round) = (Arc::clone(&shared), round.clone());
            let random = StdRng::seed_from_u64(!seed ^ ((number as u64) << 32));
            threads.push(thread::spawn(move || run_poison_caller(random, &caller, &round)));
        }
        CallerPool { shared, threads }
    }

    /// Returns the number of requests that have ended so far.
    pub fn ended(&self) -> usize {
        lock(&self.shared.records).len()
    }

    /// Returns the share of the last `count` repeatable requests that got a complete and correct
    /// answer of status 200.
    pub fn served_share(&self, count: usize) -> f64 {
        let records = lock(&self.shared.records);
        let reads = records.iter().rev().filter(|record| record.path.starts_with("/read/"));
        let last: Vec<&CallerRecord> = reads.take(count).collect();
        let good = |end: CallerEnd| matches!(end, CallerEnd::Answered(200, AnswerCheck::Whole));
        let served = last.iter().filter(|record| good(record.end)).count();
        served as f64 / last.len().max(1) as f64
    }

    /// Stops all callers and returns the records of their requests.
    pub fn finish(self) -> Vec<CallerRecord> {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        std::mem::take(&mut lock(&self.shared.records))
    }
}

/// Checks the readiness of a box each second. Two failed checks in a row exclude it, as with the
/// users' balancer.
fn run_health_checks(index: usize, shared: &PoolState) {
    let mut failed_checks = 0;
    while !shared.stopped.load(Ordering::Acquire) {
        failed_checks = if is_ready(&shared.locations[index], HEALTH_CHECK_TIMEOUT) {
            0
        } else {
            failed_checks + 1
        };
        shared.ready[index].store(failed_checks < 2, Ordering::Release);
        thread::sleep(HEALTH_CHECK_INTERVAL);
    }
}

fn run_caller(mut random: StdRng, shared: &PoolState) {
    let mut reusable: Option<(usize, Connection)> = None;
    while !shared.stopped.load(Ordering::Acquire) {
        let (index, connection) = match reusable.take() {
            Some((index, connection)) => (index, Some(connection)),
            None => {
                let index = choose_box(&mut random, shared);
                (index, Connection::open(shared.locations[index].callers()))
            }
        };
        let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
        let request = draw_request(&mut random, index, number);
        let (record, connection) = send(request, connection);
        lock(&shared.records).push(record);
        reusable = connection
            .filter(|_| random.random_bool(KEEP_ALIVE_SHARE))
            .map(|connection| (index, connection));
        thread::sleep(MEAN_PAUSE.mul_f64(2.0 * random.random::<f64>()));
    }
}

/// Makes a poison request repeatedly, at a random box each time.
fn run_poison_caller(mut random: StdRng, shared: &PoolState, round: &PoisonRound) {
    thread::sleep(round.at);
    let until = Instant::now() + round.time;
    while !shared.stopped.load(Ordering::Acquire) && Instant::now() < until {
        let index = choose_box(&mut random, shared);
        let number = shared.numbers.fetch_add(1, Ordering::Relaxed);
        let request = CallerRequest {
            id: format!("{index}-{number}"),
            index,
            path: round.path.clone(),
            method: if round.path.starts_with("/order/") { "POST" } else { "GET" },
            body: "",
            hangs_up: round.hangs_up,
        };
        let (record, _) = send(request, Connection::open(shared.locations[index].callers()));
        lock(&shared.records).push(record);
        thread::sleep(round.pause);
    }
}

fn choose_box(random: &mut StdRng, shared: &PoolState) -> usize {
    let ready = |index: &usize| shared.ready[*index].load(Ordering::Acquire);
    let ready: Vec<usize> = (0..shared.locations.len()).filter(ready).collect();
    match ready.is_empty() {
        true => random.random_range(0..shared.locations.len()),
        false => ready[random.random_range(0..ready.len())],
    }
}

struct CallerRequest {
    id: String,
    index: usize,
    path: String,
    method: &'static str,
    body: &'static str,
    hangs_up: bool,
}

fn draw_request(random: &mut StdRng, index: usize, number: u64) -> CallerRequest {
    let (kind, method, body) = match random.random_range(0..10) {
        0..6 => ("order", "POST", "an order"),
        6..9 => ("read", "GET", ""),
        _ => ("load", "GET", ""),
    };
    CallerRequest {
        id: format!("{index}-{number}"),
        index,
        path: format!("/{kind}/{number}"),
        method,
        body,
        hangs_up: random.random_bool(HANG_UP_SHARE),
    }
}

fn send(
    request: CallerRequest,
    connection: Option<Connection>,
) -> (CallerRecord, Option<Connection>) {
    let CallerRequest { id, index, path, method, body, hangs_up } = request;
    let head = request_head(&id, method, &path, body.len());
    let record = |sent: Instant, end: CallerEnd| CallerRecord {
        id: id.clone(),
        index,
        path: path.clone(),
        sent,
        ended: Instant::now(),
        end,
    };
    let Some(mut connection) = connection else {
        return (record(Instant::now(), CallerEnd::NotSent), None);
    };
    if connection.stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
        return (record(Instant::now(), CallerEnd::NotSent), None);
    }
    let sent = Instant::now();
    if hangs_up {
        thread::sleep(HANG_UP_DELAY);
        drop(connection);
        return (record(sent, CallerEnd::GivenUp), None);
    }
    match connection.read_answer(sent + CALLER_TIMEOUT) {
        ReadOutcome::Closed => (record(sent, CallerEnd::Closed), None),
        ReadOutcome::TimedOut => (record(sent, CallerEnd::TimedOut), None),
        ReadOutcome::Answer(answer) => {
            let check = match answer.status {
                200 => check_answer(&id, &path, &answer.headers, &answer.body),
                _ => AnswerCheck::Whole,
            };
            let end = CallerEnd::Answered(answer.status, check);
            let reusable = (!answer.closes()).then_some(connection);
            (record(sent, end), reusable)
        }
    }
}

/// Returns the head of a request, with its id, its caller's deadline and the API key.
pub fn request_head(id: &str, method: &str, path: &str, length: usize) -> String {
    let millis = CALLER_TIMEOUT.as_millis();
    let length = match length {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {millis}\r\nX-Api-Key: {API_KEY}\r\n{length}\r\n"
    )
}

struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

enum ReadOutcome {
    Answer(Answer),
    Closed,
    TimedOut,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, buffer: Vec::new() })
    }

    fn read_answer(&mut self, deadline: Instant) -> ReadOutcome {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if let Some(end) = self.read_more(deadline) {
                return end;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.lines();
        let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<(String, String)> = pairs
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut answer = Answer { status: status.unwrap_or(0), headers, body: Vec::new() };
        let length = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
        // Boxes buffer answers of these sizes completely, so they always state their length.
        let Some(length) = length else {
            return ReadOutcome::Closed;
        };
        while self.buffer.len() < length {
            if let Some(end) = self.read_more(deadline) {
                return end;
            }
        }
        answer.body = self.buffer.drain(..length).collect();
        ReadOutcome::Answer(answer)
    }

    /// Reads more bytes into the buffer. Returns how the read ended if there are none.
    fn read_more(&mut self, deadline: Instant) -> Option<ReadOutcome> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || self.stream.set_read_timeout(Some(remaining)).is_err() {
            return Some(ReadOutcome::TimedOut);
        }
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(0) => Some(ReadOutcome::Closed),
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                None
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                Some(ReadOutcome::TimedOut)
            }
            Err(_) => Some(ReadOutcome::Closed),
        }
    }
}
