//! A small system of a store, targets and boxes, all on threads of this process and on ports that
//! the operating system chooses.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use eyre::{WrapErr, eyre};
use wingbridge_agent::{AgentAddresses, AgentSettings, LinkFaults};
use wingbridge_http::HttpClient;
use wingbridge_process::stop::stop_channel;
use wingbridge_process::{Outcome, StopHandle};
use wingbridge_proxy::{ProxyAddresses, ProxySettings};
use wingbridge_standin::{StoreHandle, TargetHandle, TargetSettings, serve_store, serve_target};
use wingbridge_store::{BoxRecord, StoreClient};
use wingctl::{ChangeClient, ChangeReport, FleetClient};

/// The fleet key of demonstration systems.
pub const DEMO_KEY: &str = "a demonstration key, not for use";
/// Time within which each box must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Path of its route.
    pub route: &'static str,
    /// Text of its policy.
    pub policy: String,
    /// Number of its targets.
    pub targets: usize,
    /// Number of slots of each target.
    pub slots: usize,
    /// Median processing time of its targets.
    pub work: Duration,
    /// Value of `bias` in its configuration.
    pub bias: &'static str,
    /// Value of `floor` in its configuration.
    pub floor: f64,
    /// Length of its downloads, in bytes.
    pub download_bytes: u64,
}

/// Settings of the system.
#[derive(Debug, Clone)]
pub struct SystemSetup {
    /// Number of boxes at the start.
    pub boxes: usize,
    /// Number of data centres, to which boxes are assigned in turn.
    pub data_centres: usize,
    /// Services of the system.
    pub services: Vec<ServicePlan>,
    /// Time for which a leaving box still accepts connections after it has reported that it is not
    /// ready.
    pub leave_time: Duration,
}

/// A running target.
#[derive(Debug, Clone)]
pub struct RunningTarget {
    /// Name of its service.
    pub service: &'static str,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Handle for its faults and its log.
    pub handle: TargetHandle,
}

/// A running box.
#[derive(Debug)]
pub struct BoxHandle {
    /// Name of the box.
    pub box_id: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Addresses of its agent.
    pub agent: AgentAddresses,
    /// Addresses of its proxy.
    pub proxy: ProxyAddresses,
    /// Cuts the connections between its agent and the agents of other boxes.
    pub cuts: LinkFaults,
    agent_run: Option<RunningComponent>,
    proxy_run: Option<RunningComponent>,
}

#[derive(Debug)]
struct RunningComponent {
    stop: StopHandle,
    thread: JoinHandle<eyre::Result<Outcome>>,
}

impl RunningComponent {
    fn end(self) -> eyre::Result<Outcome> {
        self.stop.stop();
        self.thread.join().map_err(|_| eyre!("a component panicked"))?
    }
}

/// A running system. Dropping it stops all boxes.
#[derive(Debug)]
pub struct SmallSystem {
    /// Settings with which it was started.
    pub setup: SystemSetup,
    /// Handle of the store.
    pub store: StoreHandle,
    /// Address on which the store listens.
    pub store_address: SocketAddr,
    /// Targets of all services.
    pub targets: Vec<RunningTarget>,
    /// Running boxes.
    pub boxes: Vec<BoxHandle>,
    started_boxes: usize,
}

impl SmallSystem {
    /// Starts all components, puts the configuration in force and waits until all boxes are ready.
    ///
    /// # Errors
    /// Returns an error if a component did not start or the configuration was not accepted.
    pub fn start(setup: SystemSetup) -> eyre::Result<SmallSystem> {
        let store = StoreHandle::new();
        let store_address = task::block_on(start_store(store.clone()))?;
        let mut targets = Vec::new();
        for service in &setup.services {
            for number in 0..service.targets {
                targets.push(task::block_on(start_target(service, number))?);
            }
        }
        let boxes = Vec::new();
        let mut system =
            SmallSystem { setup, store, store_address, targets, boxes, started_boxes: 0 };
        for _ in 0..system.setup.boxes {
            system.add_box()?;
        }
        system.configure()?;
        system.wait_ready()?;
        Ok(system)
    }

    /// Starts another box and adds it to the box list.
    ///
    /// # Errors
    /// Returns an error if the agent or the proxy did not start.
    pub fn add_box(&mut self) -> eyre::Result<()> {
        self.started_boxes += 1;
        let number = self.started_boxes;
        let box_id = format!("box-{number}");
        let data_centre = format!("dc-{}", (number - 1) % self.setup.data_centres + 1);
        let cuts = LinkFaults::default();
        let (agent, agent_run) = self.start_agent(&box_id, &data_centre, &cuts)?;
        self.list_box(&box_id, &data_centre, &agent, "live");
        let (proxy, proxy_run) = self.start_proxy(&box_id, &data_centre, agent.proxy)?;
        self.boxes.push(BoxHandle {
            box_id,
            data_centre,
            agent,
            proxy,
            cuts,
            agent_run: Some(agent_run),
            proxy_run: Some(proxy_run),
        });
        Ok(())
    }

    /// Stops a box as planned: lists it as leaving, drains its proxy, ends its agent and lists it
    /// as gone.
    ///
    /// # Errors
    /// Returns an error if a request was cut or a component ended with an error.
    pub fn stop_box(&mut self, index: usize) -> eyre::Result<()> {
        let mut leaving = self.boxes.remove(index);
        self.list_box(&leaving.box_id, &leaving.data_centre, &leaving.agent, "leaving");
        let proxy = leaving.proxy_run.take().map(RunningComponent::end).transpose()?;
        leaving.agent_run.take().map(RunningComponent::end).transpose()?;
        self.list_box(&leaving.box_id, &leaving.data_centre, &leaving.agent, "gone");
        eyre::ensure!(proxy != Some(Outcome::CheckFailed), "{} cut a request", leaving.box_id);
        Ok(())
    }

    /// Ends the agent of a box, but not its proxy.
    ///
    /// # Errors
    /// Returns an error if the agent ended with an error.
    pub fn stop_agent(&mut self, index: usize) -> eyre::Result<()> {
        let agent = self.boxes[index].agent_run.take();
        agent.map(RunningComponent::end).transpose()?;
        Ok(())
    }

    /// Returns the addresses of all proxies for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|one| one.proxy.callers).collect()
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<&RunningTarget> {
        self.targets.iter().filter(|target| target.service == service).collect()
    }

    /// Returns a client for changes of the configuration, as operators use it.
    pub fn change_client(&self) -> ChangeClient {
        ChangeClient {
            store: StoreClient::new(&self.store_address.to_string()),
            fleet: self.fleet(),
            author: "demo".into(),
            wait: Duration::from_secs(20),
        }
    }

    /// Returns a client for the agents of all boxes.
    pub fn fleet(&self) -> FleetClient {
        FleetClient::new(self.boxes.iter().map(|one| one.agent.admin.to_string()).collect())
    }

    /// Writes a key of the configuration and waits until it is in force in all boxes.
    ///
    /// # Errors
    /// Returns an error if the change was not accepted or is not in force in all boxes.
    pub fn put(&self, key: &str, text: &str) -> eyre::Result<ChangeReport> {
        let client = self.change_client();
        let report = task::block_on(client.change(key, Some(text.to_string()), None))?;
        eyre::ensure!(report.lacking.is_empty(), "{}", report.as_text());
        Ok(report)
    }

    /// Returns the configuration text of a service.
    pub fn service_text(&self, plan: &ServicePlan) -> String {
        let targets = self.targets_of(plan.name);
        let addresses: Vec<String> =
            targets.iter().map(|target| format!("\"{}\"", target.address)).collect();
        format!(
            "[[service]]\nname = \"{0}\"\npolicy = \"{0}\"\nroutes = [\"{1}\"]\nslots = {2}\n\
             floor = {3}\nbias = \"{4}\"\ntargets = [{5}]\n",
            plan.name,
            plan.route,
            plan.slots,
            plan.floor,
            plan.bias,
            addresses.join(", ")
        )
    }

    /// Waits until all boxes report that they are ready.
    ///
    /// # Errors
    /// Returns an error if a box was not ready in time.
    pub fn wait_ready(&self) -> eyre::Result<()> {
        for one in &self.boxes {
            task::block_on(wait_ready(one.proxy.admin)).wrap_err_with(|| one.box_id.clone())?;
        }
        Ok(())
    }

    fn configure(&self) -> eyre::Result<()> {
        for plan in &self.setup.services {
            self.put(&format!("policy/{}", plan.name), &plan.policy)?;
            self.put(&format!("service/{}", plan.name), &self.service_text(plan))?;
        }
        Ok(())
    }

    fn list_box(&self, box_id: &str, data_centre: &str, agent: &AgentAddresses, state: &str) {
        self.store.set_box(BoxRecord {
            box_id: box_id.to_string(),
            revision: 0,
            address: agent.peers.to_string(),
            admin: agent.admin.to_string(),
            data_centre: data_centre.to_string(),
            state: state.to_string(),
        });
    }

    fn start_agent(
        &self,
        box_id: &str,
        data_centre: &str,
        cuts: &LinkFaults,
    ) -> eyre::Result<(AgentAddresses, RunningComponent)> {
        let settings = AgentSettings {
            box_id: box_id.to_string(),
            data_centre: data_centre.to_string(),
            store: self.store_address,
            peer_listen: any_port(),
            proxy_listen: any_port(),
            admin_listen: any_port(),
            fleet_key: DEMO_KEY.into(),
            seed_peers: self.boxes.iter().map(|one| one.agent.peers).take(2).collect(),
            digest_period: Duration::from_millis(500),
            resync_period: Duration::from_secs(10),
            io_threads: 1,
            log_level: "off".into(),
        };
        let cuts = cuts.clone();
        start_component(&format!("{box_id} agent"), move |stop, started| {
            wingbridge_agent::run_with(&settings, stop, &cuts, started)
        })
    }

    fn start_proxy(
        &self,
        box_id: &str,
        data_centre: &str,
        agent: SocketAddr,
    ) -> eyre::Result<(ProxyAddresses, RunningComponent)> {
        let settings = ProxySettings {
            box_id: box_id.to_string(),
            data_centre: data_centre.to_string(),
            listen: any_port(),
            admin_listen: any_port(),
            agent,
            fleet_key: DEMO_KEY.into(),
            connect_time: Duration::from_millis(500),
            max_buffered_response_bytes: 256 * 1024,
            max_request_bytes: 1 << 20,
            max_connections: 4096,
            request_time: Duration::from_secs(10),
            stall_time: Duration::from_secs(2),
            leave_time: self.setup.leave_time,
            drain_time: Duration::from_secs(30),
            io_threads: 1,
            log_level: "off".into(),
        };
        start_component(&format!("{box_id} proxy"), move |stop, started| {
            wingbridge_proxy::run(&settings, stop, started)
        })
    }
}

impl Drop for SmallSystem {
    fn drop(&mut self) {
        for mut one in self.boxes.drain(..) {
            for part in [one.proxy_run.take(), one.agent_run.take()].into_iter().flatten() {
                // The component ends with the signal. Its result matters for planned stops only.
                part.stop.stop();
            }
        }
    }
}

fn start_component<A: Send + 'static>(
    name: &str,
    run: impl FnOnce(&wingbridge_process::StopSignal, Box<dyn FnOnce(A)>) -> eyre::Result<Outcome>
    + Send
    + 'static,
) -> eyre::Result<(A, RunningComponent)> {
    let (stop, signal) = stop_channel();
    let (sender, addresses) = mpsc::channel();
    let thread = thread::Builder::new()
        .name(name.to_string())
        .spawn(move || run(&signal, Box::new(move |address| drop(sender.send(address)))))?;
    match addresses.recv() {
        Ok(address) => Ok((address, RunningComponent { stop, thread })),
        Err(_) => {
            let result = thread.join().map_err(|_| eyre!("{name} panicked"))?;
            Err(result.err().unwrap_or_else(|| eyre!("{name} ended before it had started")))
        }
    }
}

async fn start_store(store: StoreHandle) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind(any_port()).await?;
    let address = listener.local_addr()?;
    task::spawn(serve_store(listener, store));
    Ok(address)
}

async fn start_target(service: &ServicePlan, number: usize) -> eyre::Result<RunningTarget> {
    let listener = TcpListener::bind(any_port()).await?;
    let address = listener.local_addr()?;
    let handle = TargetHandle::new(TargetSettings {
        name: address.to_string(),
        slots: service.slots,
        work: service.work,
        spread: 0.3,
        download_bytes: service.download_bytes,
        seed: number as u64,
    });
    task::spawn(serve_target(listener, handle.clone()));
    Ok(RunningTarget { service: service.name, address, handle })
}

async fn wait_ready(admin: SocketAddr) -> eyre::Result<()> {
    let client = HttpClient::new(&admin.to_string(), Duration::from_secs(1));
    let ready = async {
        while !matches!(client.get("/ready").await, Ok(reply) if reply.status == 200) {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    Ok(async_std::future::timeout(READY_TIMEOUT, ready).await?)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
