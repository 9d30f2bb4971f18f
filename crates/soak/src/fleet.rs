//! Runs boxes as separate processes, which are started, signalled and ended by process id.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::relay::{LoopbackRelay, RelayMode};

/// Port for callers. All boxes use the same ports, each on a loopback address of its own.
const CALLER_PORT: u16 = 7101;
/// Port of the readiness end point.
const READINESS_PORT: u16 = 7102;
/// Port for connections of other boxes.
const EXCHANGE_PORT: u16 = 7103;
/// Port for gossip datagrams.
const GOSSIP_PORT: u16 = 7104;
/// Time that a box gets for a planned stop. It is the same as on the users' platform.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Link capacities that boxes are started with, assigned in turn. Boxes with a faster link read the
/// store on behalf of the others.
const LINK_MBPS: [u32; 3] = [200, 10, 10];
/// Retries that all boxes together may spend before requests have earned them. The value is lower
/// than the users', as this fleet is smaller than theirs.
pub const RETRY_SLACK: u32 = 20;
/// Number of boxes whose addresses each box gets as bootstrap addresses at its start.
const SEED_COUNT: usize = 3;

/// The identity of a box and the address at which it listens.
#[derive(Debug, Clone)]
pub struct BoxLocation {
    /// Index of the box, from 0.
    pub index: usize,
    /// Loopback address that only this box uses.
    pub host: IpAddr,
    /// Name of the data centre of the box.
    pub data_centre: String,
}

/// Returns the name of the data centre of the box or target with this number.
pub fn data_centre_of(index: usize, data_centres: usize) -> String {
    format!("centre-{}", index % data_centres)
}

impl BoxLocation {
    /// Returns the location of box `index` in one of `data_centres`. The address also depends on `run`, so that runs on
    /// one machine do not collide.
    pub fn new(run: u32, index: usize, data_centres: usize) -> BoxLocation {
        let [high, low] = [(run >> 8) as u8 | 0x80, run as u8];
        BoxLocation {
            index,
            host: Ipv4Addr::new(127, high, low, index as u8 + 1).into(),
            data_centre: data_centre_of(index, data_centres),
        }
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.host, CALLER_PORT)
    }

    /// Returns the address of the readiness end point.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.host, READINESS_PORT)
    }
}

/// The process of a box and the relay between it and the store.
#[derive(Debug)]
pub struct BoxProcess {
    location: BoxLocation,
    store_relay: LoopbackRelay,
    child: Option<Child>,
    incarnations: u32,
}

/// Settings that all boxes are started with.
#[derive(Debug, Clone)]
pub struct BoxSetup {
    /// Path of the box's program.
    pub program: PathBuf,
    /// Locations of all boxes.
    pub locations: Vec<BoxLocation>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Value of the boxes' setting of overload control.
    pub overload: String,
    /// Directory for the log files of the boxes.
    pub directory: PathBuf,
}

impl BoxProcess {
    /// Creates a box without starting its process.
    ///
    /// # Errors
    /// Returns an error if the relay to the store can't be started.
    pub fn new(setup: &BoxSetup, index: usize) -> std::io::Result<BoxProcess> {
        let store_relay = LoopbackRelay::start("127.0.0.1", Some(setup.store))?;
        Ok(BoxProcess {
            location: setup.locations[index].clone(),
            store_relay,
            child: None,
            incarnations: 0,
        })
    }

    /// Starts the process, with a log file for this incarnation.
    ///
    /// # Errors
    /// Returns an error if the program can't be started or its log file can't be created.
    pub fn start(&mut self, setup: &BoxSetup) -> std::io::Result<()> {
        self.incarnations += 1;
        let log = File::create(log_path(&setup.directory, self.location.index, self.incarnations))?;
        let seeds: Vec<String> = setup
            .locations
            .iter()
            .take(SEED_COUNT)
            .map(|location| SocketAddr::new(location.host, EXCHANGE_PORT).to_string())
            .collect();
        let host = self.location.host;
        let arguments = [
            format!("--box-id=box-{}", self.location.index),
            format!("--data-centre={}", self.location.data_centre),
            format!("--listen={}", self.location.callers()),
            format!("--ready-listen={}", self.location.readiness()),
            format!("--exchange-listen={}", SocketAddr::new(host, EXCHANGE_PORT)),
            format!("--gossip-port={GOSSIP}", GOSSIP = GOSSIP_PORT),
            format!("--seeds={}", seeds.join(",")),
            format!("--store={}", self.store_relay.address()),
            format!("--source-address={host}"),
            format!("--stop-time={}ms", STOP_TIMEOUT.as_millis()),
            format!("--retry-slack={RETRY_SLACK}"),
            format!("--overload-control={}", setup.overload),
            format!("--link-mbps={}", LINK_MBPS[self.location.index % LINK_MBPS.len()]),
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

    /// Returns how often the process was started, which is the number of its current incarnation.
    pub fn incarnations(&self) -> u32 {
        self.incarnations
    }

    /// Returns the process id, or `None` if the process does not run.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process runs, as of the last call of [`BoxProcess::take_exit_status`].
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends the signal `name` to the process, unless it has ended.
    ///
    /// # Errors
    /// Returns an error if the `kill` command can't be run.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        Command::new("kill").args(["-s", name, &child.id().to_string()]).status().map(drop)
    }

    /// Kills the process, if it runs, and waits for its end.
    ///
    /// # Errors
    /// Returns an error if the system refuses to kill it or to wait for it.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the exit status if the process has ended since the last call.
    ///
    /// # Errors
    /// Returns an error if the state of the process can't be read.
    pub fn take_exit_status(&mut self) -> std::io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Sets how the connections of this box to the store are relayed.
    pub fn set_store_relay_mode(&self, mode: RelayMode) {
        self.store_relay.set_mode(mode);
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.kill();
    }
}

fn log_path(directory: &Path, index: usize, incarnation: u32) -> PathBuf {
    directory.join(format!("box-{index}-life-{life}.log", life = incarnation))
}

/// Returns whether the box at `location` reports within `timeout` that it is ready.
pub fn is_ready(location: &BoxLocation, timeout: Duration) -> bool {
    let request = crate::callers::RawRequest {
        address: location.readiness(),
        head: "GET /v1/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n".into(),
        deadline: Instant::now() + timeout,
    };
    request.status() == Some(200)
}
