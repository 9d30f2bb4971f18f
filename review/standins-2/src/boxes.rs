//! Starts boxes as the platform does: separate processes, with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Option of `prctl` by which a process gets a signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// What all boxes of a run have in common.
pub struct Fleet {
    pub boxes: Vec<BoxProcess>,
    command: String,
    ports: Ports,
    store: SocketAddr,
    zones: Vec<String>,
    contracts: &'static str,
    logs: PathBuf,
}

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    gossip: u16,
}

pub struct BoxProcess {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    starts: u32,
}

impl Fleet {
    /// Starts one box for each entry of `zones`, and waits until all are ready.
    pub fn start(
        zones: &[&str],
        store: SocketAddr,
        contracts: &'static str,
        logs: &Path,
    ) -> Result<Fleet, String> {
        let command = deploy_command()?;
        let pid = std::process::id();
        let (second, third) = ((pid >> 8 & 0x7f) as u8 + 64, (pid & 0xff) as u8);
        let ip = |index: usize| IpAddr::V4(Ipv4Addr::new(127, second, third, index as u8 + 1));
        let ips: Vec<IpAddr> = (0..zones.len()).map(ip).collect();
        let ports = free_ports(&ips).ok_or("no free ports")?;
        let mut names: Vec<String> = zones.iter().map(|zone| (*zone).to_string()).collect();
        let boxes = zones.iter().zip(&ips).enumerate().map(|(index, (zone, ip))| BoxProcess {
            name: format!("edge-{zone}-{}", index + 1),
            zone: (*zone).to_string(),
            ip: *ip,
            front: SocketAddr::new(*ip, ports.front),
            ready: SocketAddr::new(*ip, ports.ready),
            child: None,
            starts: 0,
        });
        let boxes = boxes.collect();
        names.sort();
        names.dedup();
        let logs = logs.to_path_buf();
        let mut fleet = Fleet { boxes, command, ports, store, zones: names, contracts, logs };
        for index in 0..zones.len() {
            fleet.start_box(index)?;
        }
        for one in &fleet.boxes {
            one.wait_ready(Duration::from_secs(10))?;
        }
        Ok(fleet)
    }

    /// Starts a box, or starts it again after its end.
    pub fn start_box(&mut self, index: usize) -> Result<(), String> {
        let words = self.fill(&self.boxes[index]);
        let one = &mut self.boxes[index];
        one.starts += 1;
        let log = self.logs.join(format!("{}-{}.log", one.name, one.starts));
        let log = File::create(log).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: `prctl` may be called between fork and exec. Boxes don't outlive a script that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        one.child = Some(command.spawn().map_err(|error| format!("{}: {error}", words[0]))?);
        Ok(())
    }

    /// Returns the words of the deploy file's command for a box.
    fn fill(&self, one: &BoxProcess) -> Vec<String> {
        let zones: Vec<String> =
            self.zones.iter().map(|zone| format!("\"{zone}\":\"tatry\"")).collect();
        let seeds: Vec<String> = self
            .boxes
            .iter()
            .take(3)
            .map(|seed| format!("{}:{}", seed.ip, self.ports.control))
            .collect();
        let values = [
            ("node", one.name.clone()),
            ("zone", one.zone.clone()),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("listen.front", one.front.to_string()),
            ("listen.ready", one.ready.to_string()),
            ("listen.control", SocketAddr::new(one.ip, self.ports.control).to_string()),
            ("port_range.0", self.ports.gossip.to_string()),
            ("seeds", seeds.join(",")),
            ("platform.address", self.store.to_string()),
            ("bounds.grace", "6s".into()),
            ("bounds.config_apply", "2000ms".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_slack", "58".into()),
            ("bounds.retry_window", "10s".into()),
            ("bounds.quota_slack", "20".into()),
            ("bounds.quota_window", "5s".into()),
            ("contracts", self.contracts.into()),
            ("limits.max_fds", "4100".into()),
            ("limits.memory_mb", "260".into()),
            ("limits.link_mbps", "1000.0".into()),
        ];
        let fill = |word: &str| {
            let mut word = word.to_string();
            for (name, value) in &values {
                word = word.replace(&format!("{{{{{name}}}}}"), value);
            }
            word
        };
        self.command.split(' ').map(fill).collect()
    }
}

impl BoxProcess {
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for one in &mut self.boxes {
            if let Some(mut child) = one.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(request).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"HTTP/1.1 200"
}

fn deploy_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    command.map(str::to_string).ok_or_else(|| "no command in deploy/system.toml".to_string())
}

/// Returns ports that are free at all of these addresses.
fn free_ports(ips: &[IpAddr]) -> Option<Ports> {
    let start = 20_000 + (std::process::id() % 2000) as u16 * 16;
    for attempt in 0..200_u16 {
        let base = 20_000 + (start - 20_000 + attempt * 16) % 32_000;
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        if (base..base + 4).all(is_free) {
            return Some(Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                gossip: base + 3,
            });
        }
    }
    None
}
