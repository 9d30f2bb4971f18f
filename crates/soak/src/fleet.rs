//! Boxes as processes: started, signalled and ended by their ids.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::relay::{LoopbackRelay, RelayMode};

/// Ports of a box; each has an address of its own.
const CALLERS: u16 = 7101;
const READINESS: u16 = 7102;
const EXCHANGE: u16 = 7103;
const GOSSIP: u16 = 7104;
/// Time for a planned stop, as the users' platform gives it.
pub const STOP_TIME: Duration = Duration::from_secs(6);
/// Retries ahead of what was earned, of all boxes together. Smaller than the users', as
/// What boxes are told of their links, in turn: those with more read the store for the others.
const LINKS_MBPS: [u32; 3] = [200, 10, 10];
/// the fleet is.
pub const RETRY_SLACK: u32 = 20;
/// Boxes that each box is told of at its start.
const SEEDS: usize = 3;

/// Where a box is reached.
#[derive(Debug, Clone)]
pub struct BoxPlace {
    /// Its index.
    pub index: usize,
    /// Its address.
    pub host: IpAddr,
    /// Its data centre.
    pub data_centre: String,
}

impl BoxPlace {
    /// The place of the box with that index, in a run of its own.
    pub fn new(run: u32, index: usize) -> BoxPlace {
        let [high, low] = [(run >> 8) as u8 | 0x80, run as u8];
        BoxPlace {
            index,
            host: Ipv4Addr::new(127, high, low, index as u8 + 1).into(),
            data_centre: format!("centre-{}", index % 2),
        }
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.host, CALLERS)
    }

    /// Where readiness is asked for.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.host, READINESS)
    }
}

/// A box's process and its path to the store.
#[derive(Debug)]
pub struct BoxProcess {
    place: BoxPlace,
    store_path: LoopbackRelay,
    child: Option<Child>,
    lives: u32,
}

/// What boxes are started with.
#[derive(Debug, Clone)]
pub struct BoxSetup {
    /// The program.
    pub program: PathBuf,
    /// All boxes.
    pub places: Vec<BoxPlace>,
    /// The store.
    pub store: SocketAddr,
    /// Where their logs go.
    pub directory: PathBuf,
}

impl BoxProcess {
    /// A box that does not run yet.
    ///
    /// # Errors
    /// No relay can be started.
    pub fn new(setup: &BoxSetup, index: usize) -> std::io::Result<BoxProcess> {
        let store_path = LoopbackRelay::start("127.0.0.1", Some(setup.store))?;
        Ok(BoxProcess { place: setup.places[index].clone(), store_path, child: None, lives: 0 })
    }

    /// Starts its process.
    ///
    /// # Errors
    /// The program can't be started, or its log not be written.
    pub fn start(&mut self, setup: &BoxSetup) -> std::io::Result<()> {
        self.lives += 1;
        let log = File::create(log_path(&setup.directory, self.place.index, self.lives))?;
        let seeds: Vec<String> = setup
            .places
            .iter()
            .take(SEEDS)
            .map(|place| SocketAddr::new(place.host, EXCHANGE).to_string())
            .collect();
        let host = self.place.host;
        let arguments = [
            format!("--box-id=box-{}", self.place.index),
            format!("--data-centre={}", self.place.data_centre),
            format!("--listen={}", self.place.callers()),
            format!("--ready-listen={}", self.place.readiness()),
            format!("--exchange-listen={}", SocketAddr::new(host, EXCHANGE)),
            format!("--gossip-port={GOSSIP}"),
            format!("--seeds={}", seeds.join(",")),
            format!("--store={}", self.store_path.address()),
            format!("--stop-time={}ms", STOP_TIME.as_millis()),
            format!("--retry-slack={RETRY_SLACK}"),
            format!("--link-mbps={}", LINKS_MBPS[self.place.index % LINKS_MBPS.len()]),
        ];
        let child = Command::new(&setup.program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// How often it was started.
    pub fn lives(&self) -> u32 {
        self.lives
    }

    /// Its process's id, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends its process a signal by name; one that has ended gets none.
    ///
    /// # Errors
    /// `kill` can't be run.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        Command::new("kill").args(["-s", name, &child.id().to_string()]).status().map(drop)
    }

    /// Kills its process.
    ///
    /// # Errors
    /// The system can't.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// How its process ended, if it has since the last look.
    ///
    /// # Errors
    /// The system can't tell.
    pub fn take_end(&mut self) -> std::io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Disturbs its path to the store.
    pub fn set_store_path(&self, mode: RelayMode) {
        self.store_path.set_mode(mode);
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.kill();
    }
}

fn log_path(directory: &Path, index: usize, life: u32) -> PathBuf {
    directory.join(format!("box-{index}-life-{life}.log"))
}

/// Whether the box at `place` says that it is ready, within `time`.
pub fn is_ready(place: &BoxPlace, time: Duration) -> bool {
    let request = crate::callers::RawRequest {
        address: place.readiness(),
        head: "GET /v1/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n".into(),
        until: Instant::now() + time,
    };
    request.status() == Some(200)
}
