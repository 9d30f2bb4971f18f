//! Starts the tasks of the agent, and stops them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use wingbridge_process::{Outcome, ProcessClock, StopSignal, TimerService};
use wingbridge_spread::{BoxIdentity, SpreadCore, SpreadSetup};
use wingbridge_store::StoreClient;
use wingbridge_trace::EventTrace;
use wingbridge_wire::{FleetKey, Hello};

use crate::admin::serve_admin;
use crate::events::AgentEvent;
use crate::exchange::{Exchange, ExchangeParts, TICK_PERIOD};
use crate::links::{LinkContext, LinkFaults, PeerLinks, accept_peers, accept_proxy};
use crate::settings::AgentSettings;
use crate::store_sync::{StoreControl, StoreSync};

/// Maximum number of events that are queued for the exchange.
const EVENT_QUEUE_LENGTH: usize = 4096;
/// Maximum number of trace events that an agent keeps, including those of its proxy.
const MAX_TRACE_EVENTS: usize = 4000;
/// Time after which the neighbours are chosen anew.
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(600);

/// Addresses on which a started agent listens; the operating system may have chosen the ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentAddresses {
    /// Address for other agents.
    pub peers: SocketAddr,
    /// Address for this box's proxy.
    pub proxy: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Runs an agent until `stop` is signalled; calls `started` with its addresses once it listens.
///
/// # Errors
/// Fails if an address can't be bound, a thread can't be started, or a thread has panicked.
pub fn run(
    settings: &AgentSettings,
    stop: &StopSignal,
    started: impl FnOnce(AgentAddresses),
) -> eyre::Result<Outcome> {
    run_with(settings, stop, &LinkFaults::default(), started)
}

/// Runs an agent like [`run`], with faults on its connections, for tests.
///
/// # Errors
/// Fails under the same conditions as [`run`].
pub fn run_with(
    settings: &AgentSettings,
    stop: &StopSignal,
    faults: &LinkFaults,
    started: impl FnOnce(AgentAddresses),
) -> eyre::Result<Outcome> {
    task::block_on(run_tasks(settings, stop, faults, started))
}

async fn run_tasks(
    settings: &AgentSettings,
    stop: &StopSignal,
    faults: &LinkFaults,
    started: impl FnOnce(AgentAddresses),
) -> eyre::Result<Outcome> {
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let proxy = TcpListener::bind(settings.proxy_listen).await?;
    let admin = TcpListener::bind(settings.admin_listen).await?;
    let addresses = AgentAddresses {
        peers: peers.local_addr()?,
        proxy: proxy.local_addr()?,
        admin: admin.local_addr()?,
    };
    let clock = ProcessClock::start();
    let trace = EventTrace::new(&settings.box_id, "agent", MAX_TRACE_EVENTS);
    let (events, queue) = async_channel::bounded(EVENT_QUEUE_LENGTH);
    let identity = BoxIdentity {
        box_id: Arc::from(settings.box_id.as_str()),
        data_centre: Arc::from(settings.data_centre.as_str()),
    };
    let context = LinkContext {
        hello: Hello {
            box_id: settings.box_id.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: clock.micros(),
        },
        key: FleetKey::derive(&settings.fleet_key),
        trace: trace.clone(),
        events: events.clone(),
        faults: faults.clone(),
    };
    let store_control = StoreControl::default();
    let seed = clock.micros();
    let core = SpreadCore::new(SpreadSetup {
        identity: identity.clone(),
        digest_period: settings.digest_period,
        neighbour_period: NEIGHBOUR_PERIOD,
        seed,
    });
    let links = PeerLinks::new(context.clone());
    let seeds = settings.seed_peers.clone();
    let parts = ExchangeParts {
        identity,
        core,
        links,
        trace,
        clock,
        seeds,
        store_control: store_control.clone(),
    };
    let exchange = Exchange::new(parts);
    let exchange =
        thread::Builder::new().name("exchange".into()).spawn(move || exchange.run(&queue))?;
    let store_sync = StoreSync {
        client: StoreClient::new(&settings.store.to_string()),
        events: events.clone(),
        store_control,
        resync_period: settings.resync_period,
        stop: stop.clone(),
        seed,
    };
    let store = thread::Builder::new()
        .name("store".into())
        .spawn(move || task::block_on(store_sync.run()))?;
    let timer = TimerService::start()?;
    timer.subscribe(TICK_PERIOD, events.clone(), AgentEvent::TimerFired);
    let servers = [
        task::spawn(accept_peers(peers, context.clone())),
        task::spawn(accept_proxy(proxy, context)),
        task::spawn(serve_admin(admin, events.clone())),
    ];
    started(addresses);
    log::info!(peers:% = addresses.peers, admin:% = addresses.admin; "agent-started");
    stop.wait().await;
    for task in servers {
        task.cancel().await;
    }
    events.close();
    let panicked = [exchange.join().is_err(), store.join().is_err()];
    eyre::ensure!(!panicked.contains(&true), "a thread of the agent panicked");
    log::info!("agent-stopped");
    Ok(Outcome::Done)
}
