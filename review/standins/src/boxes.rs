//! Boxes as separate processes, started with the command of `deploy/system.toml`.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Addresses and settings of a fleet.
pub struct Fleet {
    pub zone: String,
    hosts: Vec<Ipv4Addr>,
    ports: [u16; 4],
    store: SocketAddr,
    run: String,
    pub root: PathBuf,
    logs: PathBuf,
}

/// One box.
pub struct BoxProcess {
    pub name: String,
    pub host: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
    starts: u32,
    index: usize,
}

impl Fleet {
    pub fn new(root: &Path, logs: &Path, store: SocketAddr, boxes: usize) -> Fleet {
        let deploy =
            std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let line = deploy.lines().find(|line| line.starts_with("run = ")).expect("a run line");
        let run = line["run = ".len()..].trim().trim_matches('"').to_string();
        let pid = std::process::id();
        let hosts: Vec<Ipv4Addr> = (0..boxes)
            .map(|index| {
                Ipv4Addr::new(127, 100 + (pid >> 8) as u8 % 100, pid as u8, 10 + index as u8)
            })
            .collect();
        let ports = free_ports(&hosts);
        let (zone, root, logs) = ("tatry-a".to_string(), root.to_path_buf(), logs.to_path_buf());
        Fleet { zone, hosts, ports, store, run, root, logs }
    }

    pub fn place(&self, index: usize) -> BoxProcess {
        let host = IpAddr::V4(self.hosts[index]);
        BoxProcess {
            name: format!("edge-{}-{}", self.zone, index + 1),
            host,
            front: SocketAddr::new(host, self.ports[0]),
            ready: SocketAddr::new(host, self.ports[1]),
            child: None,
            starts: 0,
            index,
        }
    }

    /// The command of the deploy file with its gaps filled, by the bounds of `sites/sedlo-gw.toml`.
    fn arguments(&self, place: &BoxProcess) -> Vec<String> {
        let control = |host: &Ipv4Addr| format!("{host}:{}", self.ports[2]);
        let seeds: Vec<String> = self.hosts.iter().take(3).map(control).collect();
        let fields = [
            ("node", place.name.clone()),
            ("zone", self.zone.clone()),
            ("zones|json", format!(r#"{{"{}":"tatry"}}"#, self.zone)),
            ("listen.front", place.front.to_string()),
            ("listen.ready", place.ready.to_string()),
            ("listen.control", control(&self.hosts[place.index])),
            ("port_range.0", self.ports[3].to_string()),
            ("seeds", seeds.join(",")),
            ("platform.address", self.store.to_string()),
            ("bounds.grace", "6s".to_string()),
            ("bounds.config_apply", "2000ms".to_string()),
            ("bounds.retry_ratio", "0.2".to_string()),
            ("bounds.retry_slack", "58".to_string()),
            ("bounds.retry_window", "10s".to_string()),
            ("bounds.quota_slack", String::new()),
            ("bounds.quota_window", String::new()),
            ("contracts", "base,drain,config,cost,retry,recover,health,platform".to_string()),
            ("limits.max_fds", "4100".to_string()),
            ("limits.memory_mb", "260".to_string()),
            ("limits.link_mbps", "1000".to_string()),
        ];
        let mut words: Vec<String> = self.run.split(' ').map(str::to_string).collect();
        for word in &mut words {
            for (name, value) in &fields {
                *word = word.replace(&format!("{{{{{name}}}}}"), value);
            }
            assert!(!word.contains("{{"), "a gap of the deploy file is not filled: {word}");
        }
        // On loopback a machine's address is known by its connections only if they are bound to it.
        words.push(format!("--source-address={}", place.host));
        words
    }

    pub fn start(&self, place: &mut BoxProcess) {
        place.starts += 1;
        let words = self.arguments(place);
        let log = self.logs.join(format!("{}.{}.log", place.name, place.starts));
        let log = File::create(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(self.root.join(&words[0]))
            .args(&words[1..])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the box starts");
        let pids =
            std::fs::OpenOptions::new().create(true).append(true).open(self.logs.join("pids"));
        let noted = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        noted.expect("the process can be noted");
        place.child = Some(child);
    }
}

impl BoxProcess {
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// The platform's question.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            send_signal(child.id(), "TERM");
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of the process; kills it once `time` is over, as the platform does after `grace`.
    pub fn wait_end(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let Some(child) = &mut self.child else { return true };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.child = None;
        false
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks a box whether it is ready, with a time limit of a second.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let question = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if stream.write_all(question).is_err() {
        return false;
    }
    read_message(&mut stream, &mut Vec::new()).is_ok_and(|answer| answer.status() == 200)
}

fn send_signal(pid: u32, name: &str) {
    // The shell's own `kill`, so that no program besides the shell is needed.
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

fn free_ports(hosts: &[Ipv4Addr]) -> [u16; 4] {
    let start = 20_000 + (std::process::id() % 2000) as u16 * 5;
    for first in (start..start + 5000).step_by(5) {
        let ports = [first, first + 1, first + 2, first + 3];
        let is_free = |host: &Ipv4Addr| {
            ports.iter().all(|port| {
                TcpListener::bind((*host, *port)).is_ok() && UdpSocket::bind((*host, *port)).is_ok()
            })
        };
        if hosts.iter().all(is_free) {
            return ports;
        }
    }
    panic!("no four free ports");
}
