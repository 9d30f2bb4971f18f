//! A box with stand-ins on loopback: a store that tests write, targets that follow a
//! script, and a caller that speaks raw bytes.
//!
//! Each test has addresses of its own within 127.0.0.0/8, so no port is ever taken.

#![allow(dead_code, reason = "each test file uses its part of the harness")]

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use futures::future::BoxFuture;
use wingbridge_gateway::ports::{
    ConfigNews, EnvironmentPort, HeaderNames, StoreError, StoreFault, TargetListing,
};
use wingbridge_gateway::routes::{CallerLimits, Route, RouteConfig, RouteKind};
use wingbridge_gateway::view::{ConfigText, StoreView, TargetEntry};
use wingbridge_gateway::{GatewaySettings, run};
use wingbridge_process::Outcome;
use wingbridge_process::stop::{StopHandle, stop_pair};

/// Ports of a box; its address is its own.
const CALLERS: u16 = 7001;
const READINESS: u16 = 7002;
const EXCHANGE: u16 = 7003;
const GOSSIP: u16 = 7004;
/// Looks at something that is about to happen; then the test fails.
const LOOKS: usize = 1000;
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// No read of a test waits longer: it fails instead of standing still.
const READ_TIME: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// An address on loopback that nobody else in this run has.
pub fn own_host() -> IpAddr {
    let process = std::process::id();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let [high, low] = [(process >> 8) as u8 | 0x40, process as u8];
    Ipv4Addr::new(127, high, low, number).into()
}

/// Waits until `check` holds.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if check() {
            return;
        }
        thread::sleep(LOOK_PAUSE);
    }
    panic!("this did not come about: {what}");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The store, as tests write it. Clones share it.
#[derive(Clone, Default)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
}

#[derive(Default)]
struct StoreState {
    view: StoreView,
    config: RouteConfig,
    away: bool,
    contacts: Vec<IpAddr>,
    reads: usize,
    config_reads: usize,
    news_asked: usize,
    /// Whether it has no history.
    forgetful: bool,
    /// Bytes that make the next configuration longer.
    padding: usize,
}

impl StoreStandin {
    /// Writes a configuration.
    pub fn put_config(&self, config: RouteConfig) {
        let mut state = lock(&self.state);
        state.view.revision += 1;
        let text = format!("{}{}", config.version, " ".repeat(state.padding)).into_bytes();
        state.view.config_revision = state.view.revision;
        state.view.config = Some(ConfigText { revision: state.view.revision, text: text.into() });
        state.config = config;
    }

    /// Writes all targets.
    pub fn put_targets(&self, targets: Vec<TargetEntry>) {
        let mut state = lock(&self.state);
        state.view.revision += 1;
        state.view.targets = targets;
    }

    /// Whether calls fail from now on.
    pub fn set_away(&self, away: bool) {
        lock(&self.state).away = away;
    }

    /// Makes the configurations from now on longer by so many bytes.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.state).padding = bytes;
    }

    /// Whether it forgets its history from now on.
    pub fn set_forgetful(&self, forgetful: bool) {
        lock(&self.state).forgetful = forgetful;
    }

    /// Questions for news of the configuration so far.
    pub fn news_asked(&self) -> usize {
        lock(&self.state).news_asked
    }

    /// Readings of the whole configuration so far.
    pub fn config_reads(&self) -> usize {
        lock(&self.state).config_reads
    }

    /// Readings so far, failed ones too.
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// A port to this store. `reachable` says whether it can be reached by this box.
    pub fn port(&self, reachable: bool) -> Arc<dyn EnvironmentPort> {
        Arc::new(StandinPort { store: self.clone(), reachable })
    }
}

struct StandinPort {
    store: StoreStandin,
    reachable: bool,
}

impl StandinPort {
    fn ask<T>(&self, work: impl FnOnce(&mut StoreState) -> T) -> Result<T, StoreError> {
        let mut state = lock(&self.store.state);
        if state.away || !self.reachable {
            return Err(StoreError::new(StoreFault::Unreachable, "the stand-in is away"));
        }
        Ok(work(&mut state))
    }
}

impl EnvironmentPort for StandinPort {
    fn read_all(&self) -> BoxFuture<'_, Result<StoreView, StoreError>> {
        lock(&self.store.state).reads += 1;
        let view = self.ask(|state| state.view.clone());
        Box::pin(async { view })
    }

    fn read_targets(&self) -> BoxFuture<'_, Result<TargetListing, StoreError>> {
        lock(&self.store.state).reads += 1;
        let listing = self.ask(|state| TargetListing {
            revision: state.view.revision,
            targets: state.view.targets.clone(),
        });
        Box::pin(async { listing })
    }

    fn read_config(&self) -> BoxFuture<'_, Result<Option<ConfigText>, StoreError>> {
        let config = self.ask(|state| {
            state.config_reads += 1;
            state.view.config.clone()
        });
        Box::pin(async { config })
    }

    fn config_news(&self, after: u64) -> BoxFuture<'_, Result<ConfigNews, StoreError>> {
        let news = self.ask(|state| {
            state.news_asked += 1;
            match &state.view.config {
                _ if state.forgetful => ConfigNews::Forgotten,
                Some(config) if config.revision > after => ConfigNews::Changed(config.clone()),
                _ => ConfigNews::Unchanged,
            }
        });
        Box::pin(async { news })
    }

    fn read_contacts(&self) -> BoxFuture<'_, Result<Vec<IpAddr>, StoreError>> {
        let contacts = self.ask(|state| state.contacts.clone());
        Box::pin(async { contacts })
    }

    fn write_contacts<'a>(
        &'a self,
        _: &'a str,
        hosts: &'a [IpAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        let written = self.ask(|state| state.contacts = hosts.to_vec());
        Box::pin(async { written })
    }

    fn decode_config(&self, text: &[u8]) -> Result<RouteConfig, String> {
        let config = lock(&self.store.state).config.clone();
        let held = config.version.to_string();
        if held.as_bytes() == text.trim_ascii_end() {
            Ok(config)
        } else {
            Err("an older configuration".into())
        }
    }

    fn headers(&self) -> Arc<HeaderNames> {
        Arc::new(HeaderNames {
            request_id: "X-Id".into(),
            time_left: "X-Left".into(),
            wanted_target: "X-Wanted".into(),
            proof: "X-Proof".into(),
            not_run: "X-Not-Run".into(),
            load: "X-Load".into(),
            retry_after: "Retry-After".into(),
        })
    }
}

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
    /// Is another instance than the one that was meant.
    Other,
    /// Runs it and closes within the body.
    CutShort,
    /// Runs it and closes without an answer.
    Silent,
    /// Answers well without its proof.
    NoProof,
    /// Gives the answer to another request.
    WrongId,
    /// Encodes the body.
    Encoded,
    /// Answers well, and sends another answer behind.
    Twice,
    /// Answers well before it has read the body.
    Early,
    /// Works until its connection is closed.
    Hangs,
    /// Answers well once the test lets it.
    Gated,
    /// Answers with two megabytes and breaks off within them.
    LongCutShort,
    /// Answers with two megabytes.
    Long,
}

/// Bytes of a long answer.
pub const LONG: usize = 2 << 20;

/// A target on a thread of its own.
pub struct TargetStandin {
    pub entry: TargetEntry,
    script: Arc<Mutex<Script>>,
    seen: Arc<Mutex<Vec<String>>>,
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
        let gate = Arc::new(AtomicBool::new(false));
        let opened = Arc::clone(&gate);
        let (followed, noted, counted) =
            (Arc::clone(&script), Arc::clone(&seen), Arc::clone(&hang_ups));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = *lock(&followed);
                let (noted, counted) = (Arc::clone(&noted), Arc::clone(&counted));
                let opened = Arc::clone(&opened);
                thread::spawn(move || serve(stream, script, &noted, &counted, &opened));
            }
        });
        TargetStandin { entry: entry(id, service, &address), script, seen, hang_ups, gate }
    }

    /// The requests that came, head and body.
    pub fn seen(&self) -> Vec<String> {
        lock(&self.seen).clone()
    }

    /// Callers' connections that closed while it worked.
    pub fn hang_ups(&self) -> usize {
        *lock(&self.hang_ups)
    }

    /// Lets what waits under [`Script::Gated`] go on.
    pub fn open_gate(&self) {
        self.gate.store(true, Ordering::Release);
    }

    /// Follows another script from the next request on.
    pub fn follow(&self, script: Script) {
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
    }
}

fn serve(
    mut stream: TcpStream,
    script: Script,
    seen: &Mutex<Vec<String>>,
    hang_ups: &Mutex<usize>,
    gate: &AtomicBool,
) {
    let Some((head, body)) = read_message(&mut stream, script != Script::Early) else {
        return;
    };
    let id = header(&head, "x-id").unwrap_or_default().to_string();
    lock(seen).push(format!("{head}\r\n\r\n{body}"));
    let ok = format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\nX-Proof: p\r\nX-Kept: k\r\n");
    let answer = match script {
        Script::Good | Script::Early => format!("{ok}Content-Length: 5\r\n\r\nhello"),
        Script::Chunked => format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        Script::UntilClose => format!("{ok}\r\nhello"),
        Script::Fails => format!(
            "HTTP/1.1 500 Broken\r\nX-Id: {id}\r\nX-Proof: p\r\nContent-Length: 3\r\n\r\nbad"
        ),
        Script::Sheds => {
            format!("HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        // It ran nothing, and says that as well.
        Script::Other => {
            format!("HTTP/1.1 421 Other\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Script::CutShort => format!("{ok}Content-Length: 50\r\n\r\nhello"),
        Script::Silent => String::new(),
        Script::NoProof => {
            format!("HTTP/1.1 200 Fine\r\nX-Id: {id}\r\nContent-Length: 5\r\n\r\nhello")
        }
        Script::WrongId => ok.replace(&id, "another") + "Content-Length: 5\r\n\r\nhello",
        Script::Encoded => format!("{ok}Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello"),
        Script::Twice => {
            let one = format!("{ok}Content-Length: 5\r\n\r\nhello");
            format!("{one}{}", one.replace("hello", "again"))
        }
        Script::Hangs => {
            // It ends when the peer closes; a reset is as good.
            let _ = stream.read(&mut [0; 16]);
            *lock(hang_ups) += 1;
            return;
        }
        Script::Gated => {
            while !gate.load(Ordering::Acquire) {
                thread::sleep(LOOK_PAUSE);
            }
            format!("{ok}Content-Length: 5\r\n\r\nhello")
        }
        Script::Long | Script::LongCutShort => {
            let length = if script == Script::Long { LONG } else { LONG - 10 };
            format!("{ok}Content-Length: {LONG}\r\n\r\n{}", "x".repeat(length))
        }
    };
    // The box may have gone away, which is the test's business.
    let _ = stream.write_all(answer.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 16]);
}

/// Reads a head and, if wanted, a body by its length.
fn read_message(stream: &mut TcpStream, with_body: bool) -> Option<(String, String)> {
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

/// The value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().skip(1);
    let mut pairs = lines.filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

/// A route to `service` under `/NAME/`.
pub fn route(name: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/"),
        kind,
        services: vec![service.into()],
        weights: vec![1],
        attempts: 2,
        // Longer than any test looks for something to happen: no time-out helps it along.
        timeout: Duration::from_secs(60),
        goal: Duration::from_secs(1),
        priority: 1,
    }
}

/// A configuration of `routes`.
pub fn config(version: u64, routes: Vec<Route>) -> RouteConfig {
    RouteConfig::new(
        version,
        CallerLimits { body_bytes: 8 << 20, ..CallerLimits::default() },
        routes,
    )
}

/// A running box.
pub struct BoxUnderTest {
    host: IpAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<Outcome>>,
}

impl BoxUnderTest {
    /// Starts a box over `port` that knows `seeds`.
    pub fn start(port: Arc<dyn EnvironmentPort>, seeds: &[IpAddr]) -> BoxUnderTest {
        BoxUnderTest::start_with(port, seeds, |_| {})
    }

    /// The same with changed settings.
    pub fn start_with(
        port: Arc<dyn EnvironmentPort>,
        seeds: &[IpAddr],
        change: impl FnOnce(&mut GatewaySettings),
    ) -> BoxUnderTest {
        BoxUnderTest::start_at(own_host(), port, seeds, change)
    }

    /// The same at an address that others were told before.
    pub fn start_at(
        host: IpAddr,
        port: Arc<dyn EnvironmentPort>,
        seeds: &[IpAddr],
        change: impl FnOnce(&mut GatewaySettings),
    ) -> BoxUnderTest {
        let mut settings = settings(host, seeds);
        change(&mut settings);
        let (stop, signal) = stop_pair();
        let (_, reloads) = async_channel::bounded(1);
        let thread = thread::spawn(move || {
            run(settings, port, &signal, reloads).expect("the box's own addresses are free")
        });
        BoxUnderTest { host, stop, thread: Some(thread) }
    }

    /// Its address among boxes.
    pub fn host(&self) -> IpAddr {
        self.host
    }

    /// Whether the balancer would send it callers.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.host, READINESS);
        let Ok(mut stream) = TcpStream::connect(address) else {
            return false;
        };
        let asked =
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        asked.and_then(|()| stream.read_to_string(&mut answer)).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> &BoxUnderTest {
        eventually("the box is ready", || self.is_ready());
        self
    }

    /// A caller's connection.
    pub fn connect(&self) -> CallerStandin {
        let stream = TcpStream::connect(SocketAddr::new(self.host, CALLERS)).expect("it listens");
        stream.set_read_timeout(Some(READ_TIME)).expect("a valid time");
        CallerStandin { stream }
    }

    /// One request on a connection of its own.
    pub fn ask(&self, method: &str, path: &str) -> CallerReply {
        self.connect().ask(method, path, "")
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stop.stop();
    }

    /// Waits for the end of a planned stop.
    pub fn wait_end(mut self) -> Outcome {
        self.stop.stop();
        let thread = self.thread.take().expect("it runs");
        thread.join().expect("no invariant is broken")
    }
}

fn settings(host: IpAddr, seeds: &[IpAddr]) -> GatewaySettings {
    GatewaySettings {
        box_id: format!("box-{host}"),
        data_centre: "centre".into(),
        callers: SocketAddr::new(host, CALLERS),
        readiness: SocketAddr::new(host, READINESS),
        readiness_path: "/ready".into(),
        exchange: SocketAddr::new(host, EXCHANGE),
        gossip_port: GOSSIP,
        seeds: seeds.to_vec(),
        stop_time: Duration::from_secs(6),
        change_time: Duration::from_secs(2),
        retry_share: 1.0,
        retry_slack: 1000.0,
        // A box has no slack in the first window of its life; with none it has it at once.
        retry_window: Duration::ZERO,
        cross_cost: 0.01,
        mechanisms: Default::default(),
        connections: 100,
        held_body_bytes: 16 << 20,
        log_level: "off".into(),
    }
}

/// A caller on one connection.
pub struct CallerStandin {
    stream: TcpStream,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct CallerReply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body was as long as its head says.
    pub whole: bool,
}

impl CallerStandin {
    /// Sends a request with the id "id-1" and reads the answer.
    pub fn ask(&mut self, method: &str, path: &str, more_headers: &str) -> CallerReply {
        self.send(method, path, more_headers, "");
        self.read().expect("an answer")
    }

    /// Sends a request.
    pub fn send(&mut self, method: &str, path: &str, more_headers: &str, body: &str) {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        self.send_raw(&format!(
            "{method} {path} HTTP/1.1\r\nHost: host.example\r\nX-Id: id-1\r\n{more_headers}{length}\r\n{body}"
        ));
    }

    /// Sends bytes as they are. A box that has answered already may have closed.
    pub fn send_raw(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    /// Reads an answer; `None` if the connection closes before one.
    pub fn read(&mut self) -> Option<CallerReply> {
        let (head, mut body) = read_message(&mut self.stream, false)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize = header(&head, "content-length")?.parse().ok()?;
        while body.len() < length {
            let mut chunk = [0; 65536];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => body.push_str(&String::from_utf8_lossy(&chunk[..count])),
            }
        }
        let whole = body.len() == length;
        Some(CallerReply { status, head, body, whole })
    }
}
