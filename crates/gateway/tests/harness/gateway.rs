//! A running box.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use wingbridge_decide::quota::QuotaSlack;
use wingbridge_gateway::ports::EnvironmentPort;
use wingbridge_gateway::{GatewaySettings, OverloadControl, PlacementMode, run};
use wingbridge_process::Outcome;
use wingbridge_process::stop::{StopHandle, stop_channel};

use super::{CallerReply, CallerStandin, READ_TIMEOUT, eventually, own_host};

// Ports of a box; each box has its own address.
const CALLERS: u16 = 7001;
const READINESS: u16 = 7002;
/// Port on which a box answers the requests of its peers.
pub const EXCHANGE: u16 = 7003;
/// UDP port on which a box receives gossip.
pub const GOSSIP: u16 = 7004;

/// Time for an answer that was written before the end of a box.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// A box that runs on a thread of its own.
pub struct BoxUnderTest {
    host: IpAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<Outcome>>,
}

impl BoxUnderTest {
    /// Starts a box that uses the store behind `port`, with `seeds` as the addresses of other boxes.
    pub fn start(port: Arc<dyn EnvironmentPort>, seeds: &[IpAddr]) -> BoxUnderTest {
        BoxUnderTest::start_with(port, seeds, |_| {})
    }

    /// Starts a box like [`BoxUnderTest::start`], with settings modified by `change`.
    pub fn start_with(
        port: Arc<dyn EnvironmentPort>,
        seeds: &[IpAddr],
        change: impl FnOnce(&mut GatewaySettings),
    ) -> BoxUnderTest {
        BoxUnderTest::start_at(own_host(), port, seeds, change)
    }

    /// Starts a box like [`BoxUnderTest::start_with`] at a given address.
    pub fn start_at(
        host: IpAddr,
        port: Arc<dyn EnvironmentPort>,
        seeds: &[IpAddr],
        change: impl FnOnce(&mut GatewaySettings),
    ) -> BoxUnderTest {
        let mut settings = settings(host, seeds);
        change(&mut settings);
        let (stop, signal) = stop_channel();
        let (_, reloads) = async_channel::bounded(1);
        let thread = thread::spawn(move || {
            run(settings, port, &signal, reloads).expect("the box's own addresses are free")
        });
        BoxUnderTest { host, stop, thread: Some(thread) }
    }

    /// Returns the address of the box.
    pub fn host(&self) -> IpAddr {
        self.host
    }

    /// Returns whether the readiness check of the balancer succeeds.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.host, READINESS);
        let Ok(mut stream) = TcpStream::connect(address) else {
            return false;
        };
        let sent = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        sent.and_then(|()| stream.read_to_string(&mut answer)).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Waits until the box is ready.
    pub fn wait_ready(&self) -> &BoxUnderTest {
        eventually("the box is ready", || self.is_ready());
        self
    }

    /// Opens a caller's connection.
    pub fn connect(&self) -> CallerStandin {
        let stream =
            TcpStream::connect(SocketAddr::new(self.host, CALLERS)).expect("the box listens");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid time-out");
        CallerStandin { stream }
    }

    /// Opens a caller's connection to the box at `host`; `None` if that fails.
    pub fn try_connect(host: IpAddr) -> Option<CallerStandin> {
        let stream = TcpStream::connect(SocketAddr::new(host, CALLERS)).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(CallerStandin { stream })
    }

    /// Sends one request on a new connection and reads the answer.
    pub fn request(&self, method: &str, path: &str) -> CallerReply {
        self.connect().request(method, path, "")
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stop.stop();
    }

    /// Returns whether the box has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Returns the answer that `caller` has got by the end of the box. A real process takes its connections with it;
    /// those of a box under test live on.
    pub fn answer_before_end(&self, mut caller: CallerStandin) -> Option<CallerReply> {
        eventually("the box has ended", || self.has_ended());
        caller.stream.set_read_timeout(Some(LAST_READ_TIMEOUT)).expect("a valid time-out");
        caller.read()
    }

    /// Begins a planned stop, if that has not been done, and waits until the box has ended.
    pub fn wait_end(mut self) -> Outcome {
        self.stop.stop();
        let thread = self.thread.take().expect("the box is running");
        thread.join().expect("the box does not panic")
    }
}

fn settings(host: IpAddr, seeds: &[IpAddr]) -> GatewaySettings {
    GatewaySettings {
        box_id: format!("box-{host}"),
        data_centre: "centre".into(),
        regions: Default::default(),
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
        // A box has no retry slack in the first window after its start; a window of zero gives it at once.
        retry_window: Duration::ZERO,
        quota_slack: QuotaSlack { requests: 0.0, window: Duration::from_secs(5) },
        overload: OverloadControl::Off,
        placement: PlacementMode::Balanced,
        cross_cost: 0.01,
        mechanisms: Default::default(),
        link_mbps: 0,
        max_connections: 100,
        max_held_body_bytes: 16 << 20,
        log_level: "off".into(),
    }
}
