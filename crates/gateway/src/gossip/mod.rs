//! Datagrams between boxes: heartbeats, passive health samples of targets, and messages about tokens and permits.
//!
//! A datagram may be lost. What it reports is repeated in a later one or fetched over a connection.

mod heartbeats;
mod reports;
mod service_loads;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::net::UdpSocket;
use async_std::task;
use prost::Message;
use wingbridge_decide::steer::relay::DuplicateFilter;
use wingbridge_wire::gossip::{Datagram, DatagramBody, TokenMessage};
use wingbridge_wire::limits::PermitMessage;
use wingbridge_wire::paths::PathQuestion;
use wingbridge_wire::retries::RetryCreditMessage;

use crate::context::BoxContext;
use crate::peers::PeerInfo;
use crate::placement::messages::RowSender;
use crate::quota_manager::token_requester;
use crate::steering::credits::handle_credits;
use crate::view_exchange::fetch_targets;

/// Size of the receive buffer; a longer datagram is cut off.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// Time to wait after a failed read of the socket.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// The gossip of a box: sends datagrams to its peers and handles those that it receives.
pub(crate) struct Gossip {
    context: Arc<BoxContext>,
    socket: UdpSocket,
    incarnation: u64,
    /// Channel for the peers from which a newer listing of targets is to be fetched.
    fetching: async_channel::Sender<IpAddr>,
    /// Number of updates that were sent to relays of other data centres.
    update_count: AtomicU64,
    received_updates: Mutex<DuplicateFilter>,
    row_rounds: service_loads::RowRounds,
}

impl Gossip {
    /// Creates the gossip over `socket`. Peers that have a newer listing of targets are sent to `fetching`.
    pub(crate) fn new(
        context: Arc<BoxContext>,
        socket: UdpSocket,
        incarnation: u64,
        fetching: async_channel::Sender<IpAddr>,
    ) -> Arc<Gossip> {
        let (update_count, received_updates) = (AtomicU64::new(0), Mutex::default());
        let row_rounds = service_loads::RowRounds::default();
        Arc::new(Gossip {
            context,
            socket,
            incarnation,
            fetching,
            update_count,
            received_updates,
            row_rounds,
        })
    }

    /// Returns the identifier of this process, which peers use to detect a restart of the box.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends requests for customers' tokens, or grants, to the box at `host`.
    pub(crate) async fn send_tokens(&self, host: IpAddr, message: TokenMessage) {
        self.send(&[host], DatagramBody::Tokens(message)).await;
    }

    /// Sends requests for permits, or replies to them, to the box at `host`.
    pub(crate) async fn send_permits(&self, host: IpAddr, message: PermitMessage) {
        self.send(&[host], DatagramBody::Permits(message)).await;
    }

    /// Sends requests for retry credit, or replies to them, to the box at `host`.
    pub(crate) async fn send_credits(&self, host: IpAddr, message: RetryCreditMessage) {
        self.send(&[host], DatagramBody::RetryCredits(message)).await;
    }

    /// Asks the boxes at `hosts` for their contacts with targets.
    pub(crate) async fn ask_paths(&self, hosts: &[IpAddr], question: PathQuestion) {
        self.send(hosts, DatagramBody::PathQuestion(question)).await;
    }

    /// Receives and handles datagrams until the task is dropped.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(reason:% = error; "datagram-not-read");
                    task::sleep(READ_PAUSE).await;
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => self.handle(from.ip(), datagram).await,
                Err(error) => {
                    log::warn!(peer:% = from.ip(), reason:% = error; "datagram-malformed")
                }
            }
        }
    }

    async fn handle(&self, from: IpAddr, datagram: Datagram) {
        let now = Instant::now();
        let Datagram { box_id, data_centre, incarnation, body, link_mbps } = datagram;
        let peer = PeerInfo {
            host: from,
            box_id: &box_id,
            data_centre: &data_centre,
            incarnation,
            link_mbps,
            last_seen: now,
        };
        let is_new = self.context.peers().record_alive(peer);
        if is_new {
            log::info!(peer = box_id.as_str(), data_centre = data_centre.as_str(); "peer-found");
            self.update_box_counts();
        }
        match body {
            Some(DatagramBody::Heartbeat(mut heartbeat)) => {
                let rows = std::mem::take(&mut heartbeat.service_loads);
                let sender = RowSender { data_centre: &data_centre, incarnation };
                self.on_service_loads(sender, rows).await;
                if heartbeat.stopping {
                    self.context.quotas.record_box_stopped(token_requester(&box_id, incarnation));
                }
                self.on_heartbeat(from, &box_id, now, heartbeat).await;
            }
            Some(DatagramBody::PassiveSamples(samples)) => {
                self.on_passive_samples(incarnation, &box_id, samples).await;
            }
            Some(DatagramBody::Tokens(message)) => {
                let context = &self.context;
                let peer = token_requester(&box_id, incarnation);
                if let Some(reply) = context.quotas.handle_message(context, peer, &message) {
                    self.send_tokens(from, reply).await;
                }
            }
            Some(DatagramBody::Permits(message)) => {
                let context = &self.context;
                if let Some(reply) = context.permits.handle_message(context, &box_id, &message) {
                    self.send_permits(from, reply).await;
                }
            }
            Some(DatagramBody::RetryCredits(message)) => {
                if let Some(reply) = handle_credits(&self.context, &message) {
                    self.send_credits(from, reply).await;
                }
            }
            Some(DatagramBody::PathQuestion(question)) => {
                let (context, busy) = (&self.context, self.context.stopping.busy_requests());
                let statement = context.paths.statement(context.now(), &question, busy);
                self.send(&[from], DatagramBody::PathStatement(statement)).await;
            }
            Some(DatagramBody::PathStatement(statement)) => {
                let (context, is_local) = (&self.context, self.context.peers().is_local(from));
                context.paths.merge_statement(context.now(), from, is_local, &statement);
            }
            None => {}
        }
    }

    async fn send(&self, hosts: &[IpAddr], body: DatagramBody) {
        let settings = &self.context.settings;
        let datagram = Datagram {
            box_id: settings.box_id.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.incarnation,
            body: Some(body),
            link_mbps: settings.link_mbps,
        };
        let bytes = datagram.encode_to_vec();
        for host in hosts {
            let address = SocketAddr::new(*host, settings.gossip_port);
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                // Datagrams may be lost anyway, and the next one repeats the report.
                log::debug!(peer:% = host, reason:% = error; "datagram-not-sent");
            }
        }
    }
}

/// Fetches listings of targets from the peers that `named` yields, one at a time, until the channel is closed.
/// Configurations are fetched by another task, so that no listing waits for one.
pub(crate) async fn fetch_listings(context: Arc<BoxContext>, named: Receiver<IpAddr>) {
    while let Ok(host) = named.recv().await {
        fetch_targets(&context, host).await;
    }
}
