//! Helpers for tests that start the real programs and end them by process id.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use async_std::task;
use wingbridge_http::HttpClient;

const KEY: &str = "a key for tests, not for use";

/// A running program, killed when dropped.
pub struct Program {
    child: Mutex<Child>,
    pub line: String,
}

impl Program {
    /// Starts the program `name` and waits for the line in which it prints its addresses.
    pub fn start(name: &str, arguments: &[String]) -> Program {
        let mut child = Command::new(program_path(name))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("can't start {name} (cargo test --workspace builds it): {error}")
            });
        let mut lines = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        lines.read_line(&mut line).expect("a line");
        assert!(!line.is_empty(), "{name} {arguments:?} printed nothing");
        // Further output is discarded, so that it does not fill the pipe.
        thread::spawn(move || std::io::copy(&mut lines, &mut std::io::sink()));
        Program { child: Mutex::new(child), line: line.trim().to_string() }
    }

    /// Returns the address after `label` in the first line of its output.
    pub fn address(&self, label: &str) -> SocketAddr {
        let words = self.line.split_whitespace().rev();
        let found = words.map(|word| word.strip_prefix(label)).find_map(|found| found);
        let text = found.unwrap_or_else(|| panic!("{label} in '{}'", self.line));
        text.parse().expect("an address")
    }

    /// Sends the signal `name` to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child().id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Returns how it ended; `None` while it runs.
    pub fn ended(&self) -> Option<ExitStatus> {
        self.child().try_wait().expect("its state is known")
    }

    /// Waits for its end and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child().wait().expect("it ends").code()
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The addresses of a box's proxy for callers and for the balancer.
#[derive(Debug, Clone, Copy)]
pub struct BoxEndpoints {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
}

/// A store, targets and boxes as separate processes.
pub struct ProgramFleet {
    pub store: Program,
    pub targets: Vec<Program>,
    pub agents: Vec<Program>,
    pub proxies: Vec<std::cell::RefCell<Program>>,
    endpoints: Vec<BoxEndpoints>,
}

impl ProgramFleet {
    /// Starts a store, `targets` targets, and `boxes` boxes, each in a data centre of its own.
    pub fn start(boxes: usize, targets: usize) -> ProgramFleet {
        let store = Program::start("standin-store", &[]);
        let targets =
            (0..targets).map(|_| Program::start("standin-target", &["--work-ms=2".into()]));
        let mut fleet = ProgramFleet {
            store,
            targets: targets.collect(),
            agents: Vec::new(),
            proxies: Vec::new(),
            endpoints: Vec::new(),
        };
        for number in 0..boxes {
            fleet.add_box(number);
        }
        fleet
    }

    fn add_box(&mut self, number: usize) {
        let common = [
            format!("--box-id=box-{number}"),
            format!("--data-centre=dc-{number}"),
            format!("--fleet-key={KEY}"),
            "--log-level=off".to_string(),
        ];
        let store = format!("--store={}", self.store_address());
        let agent = [common.to_vec(), vec![store, "--digest-ms=200".into()]].concat();
        let agent = Program::start("wingbridge-agent", &agent);
        self.list_box(number, &agent);
        let agent_flag = format!("--agent={}", agent.address("proxy="));
        let proxy = [common.to_vec(), vec![agent_flag, "--leave-ms=100".into()]].concat();
        let proxy = Program::start("wingbridge-proxy", &proxy);
        let endpoints =
            BoxEndpoints { callers: proxy.address("callers="), admin: proxy.address("admin=") };
        self.endpoints.push(endpoints);
        self.agents.push(agent);
        self.proxies.push(std::cell::RefCell::new(proxy));
    }

    fn list_box(&self, number: usize, agent: &Program) {
        let record = serde_json::json!({
            "box_id": format!("box-{number}"), "revision": 0, "data_centre": format!("dc-{number}"),
            "address": agent.address("peers=").to_string(),
            "admin": agent.address("admin=").to_string(), "state": "live",
        });
        let client = HttpClient::new(&self.store_address().to_string(), Duration::from_secs(5));
        let put = client.call(
            http_types::Method::Put,
            "/v1/boxes",
            record.to_string().into_bytes(),
            Duration::from_secs(5),
        );
        assert_eq!(task::block_on(put).expect("the store answers").status, 200);
    }

    pub fn store_address(&self) -> SocketAddr {
        self.store.address("")
    }

    pub fn proxies(&self) -> &[BoxEndpoints] {
        &self.endpoints
    }

    pub fn target_list(&self) -> String {
        let quoted = self.targets.iter().map(|target| format!("'{}'", target.address("")));
        quoted.collect::<Vec<_>>().join(",")
    }

    pub fn put_policy(&self, name: &str, text: &str) {
        self.ctl(&["policy", "put", name, "-"], text);
    }

    pub fn put_service(&self, text: &str) {
        self.ctl(&["config", "put", "-"], text);
    }

    /// Runs `wingctl` with `input` and expects success.
    pub fn ctl(&self, arguments: &[&str], input: &str) {
        assert_eq!(self.ctl_code(arguments, input), Some(0), "wingctl {arguments:?}");
    }

    /// Runs `wingctl` with `input` and returns its exit code.
    pub fn ctl_code(&self, arguments: &[&str], input: &str) -> Option<i32> {
        let agents: Vec<String> =
            self.agents.iter().map(|agent| agent.address("admin=").to_string()).collect();
        let mut child = Command::new(program_path("wingctl"))
            .arg(format!("--store={}", self.store_address()))
            .arg(format!("--agents={}", agents.join(",")))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .expect("wingctl starts");
        child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("it reads");
        child.wait().expect("it ends").code()
    }

    pub fn wait_ready(&self, endpoints: &BoxEndpoints) {
        let client = HttpClient::new(&endpoints.admin.to_string(), Duration::from_secs(5));
        while !matches!(task::block_on(client.get("/ready")), Ok(reply) if reply.status == 200) {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops a proxy with SIGTERM and checks by its exit code that it cut no request.
    pub fn stop_proxy_as_planned(&self, index: usize) {
        let mut proxy = self.proxies[index].borrow_mut();
        proxy.signal("TERM");
        assert_eq!(proxy.wait(), Some(0));
    }
}

fn program_path(name: &str) -> std::path::PathBuf {
    // The test program is in target/PROFILE/deps; the other programs are one directory above.
    let test_program = std::env::current_exe().expect("a path");
    let directory = test_program.parent().and_then(std::path::Path::parent).expect("a directory");
    directory.join(name)
}

/// Runs a program that ends by itself and returns its exit code and its standard error.
pub fn run_to_end(name: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(program_path(name)).args(arguments).output().expect("it runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Returns a program's help text while the environment contains a fleet key.
pub fn help_with_key(name: &str, flag: &str, key: &str) -> String {
    let mut command = Command::new(program_path(name));
    let output = command.arg(flag).env("WINGBRIDGE_FLEET_KEY", key).output().expect("it runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
