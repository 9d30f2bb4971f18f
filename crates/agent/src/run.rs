//! Starts the agent's duties and ends them.

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

/// Events that wait for the exchange.
const EVENT_QUEUE_LENGTH: usize = 4096;
/// Events of the time line that an agent keeps, its proxy's with them.
const MAX_TRACE_EVENTS: usize = 4000;
/// Time for which a choice of neighbours holds.
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(600);

/// Where a started agent listens; the system may have chosen the ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentAddresses {
    /// For other agents.
    pub peers: SocketAddr,
    /// For this box's proxy.
    pub proxy: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// Runs an agent until `stop`, and tells where it listens.
///
/// # Errors
/// An address can't be listened on, or the system gave no thread.
pub fn run(
    settings: &AgentSettings,
    stop: &StopSignal,
    started: impl FnOnce(AgentAddresses),
) -> eyre::Result<Outcome> {
    run_with(settings, stop, &LinkFaults::default(), started)
}

/// [`run`] with a switch that faults this agent off from others, for tests.
///
/// # Errors
/// As for [`run`].
pub fn run_with(
    settings: &AgentSettings,
    stop: &StopSignal,
    faults: &LinkFaults,
    started: impl FnOnce(AgentAddresses),
) -> eyre::Result<Outcome> {
    task::block_on(run_duties(settings, stop, faults, started))
}

async fn run_duties(
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
    let duty = StoreSync {
        client: StoreClient::new(&settings.store.to_string()),
        events: events.clone(),
        store_control,
        resync_period: settings.resync_period,
        stop: stop.clone(),
        seed,
    };
    let store =
        thread::Builder::new().name("store".into()).spawn(move || task::block_on(duty.work()))?;
    let timer = TimerService::start()?;
    timer.subscribe(TICK_PERIOD, events.clone(), AgentEvent::TimerFired);
    let serving = [
        task::spawn(accept_peers(peers, context.clone())),
        task::spawn(accept_proxy(proxy, context)),
        task::spawn(serve_admin(admin, events.clone())),
    ];
    started(addresses);
    log::info!(peers:% = addresses.peers, admin:% = addresses.admin; "agent-started");
    stop.wait().await;
    for task in serving {
        task.cancel().await;
    }
    events.close();
    let panicked = [exchange.join().is_err(), store.join().is_err()];
    eyre::ensure!(!panicked.contains(&true), "a duty ended by a broken invariant");
    log::info!("agent-stopped");
    Ok(Outcome::Done)
}
