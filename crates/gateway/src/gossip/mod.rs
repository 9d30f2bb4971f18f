//! Datagrams between boxes: signs of life, the age of views, and what was seen of targets.

mod heartbeats;
mod reports;

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

use crate::context::BoxContext;
use crate::peers::PeerInfo;
use crate::quota_manager::quota_requester;
use crate::view_exchange::fetch_targets;

/// Longest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 4096;
/// Wait after a failed read of the socket.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Sends and takes datagrams.
pub(crate) struct Gossip {
    context: Arc<BoxContext>,
    socket: UdpSocket,
    incarnation: u64,
    fetching: async_channel::Sender<IpAddr>,
    /// News for other data centres so far.
    update_count: AtomicU64,
    received_updates: Mutex<DuplicateFilter>,
}

impl Gossip {
    /// A duty over `socket`; peers with newer targets are named to `fetching`.
    pub(crate) fn new(
        context: Arc<BoxContext>,
        socket: UdpSocket,
        incarnation: u64,
        fetching: async_channel::Sender<IpAddr>,
    ) -> Arc<Gossip> {
        let (update_count, received_updates) = (AtomicU64::new(0), Mutex::default());
        Arc::new(Gossip { context, socket, incarnation, fetching, update_count, received_updates })
    }

    /// This box's number for this life, by which its peers know it.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends what concerns customers' credit to the box at `host`.
    pub(crate) async fn send_tokens(&self, host: IpAddr, news: TokenMessage) {
        self.send(&[host], DatagramBody::Tokens(news)).await;
    }

    /// Sends what concerns permits for targets with a limit to the box at `host`.
    pub(crate) async fn send_permits(&self, host: IpAddr, news: PermitMessage) {
        self.send(&[host], DatagramBody::Permits(news)).await;
    }

    /// Takes datagrams, until the task is dropped.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
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
                Ok(datagram) => self.take(from.ip(), datagram).await,
                Err(error) => {
                    log::warn!(peer:% = from.ip(), reason:% = error; "datagram-malformed")
                }
            }
        }
    }

    async fn take(&self, from: IpAddr, datagram: Datagram) {
        let now = Instant::now();
        let Datagram { box_id, data_centre, incarnation, body, link_mbps } = datagram;
        let note = PeerInfo {
            host: from,
            box_id: &box_id,
            data_centre: &data_centre,
            incarnation,
            link_mbps,
            last_seen: now,
        };
        let new = self.context.peers().record_alive(note);
        if new {
            log::info!(peer = box_id.as_str(), data_centre = data_centre.as_str(); "peer-found");
            self.update_box_counts();
        }
        match body {
            Some(DatagramBody::Heartbeat(beacon)) => {
                if beacon.stopping {
                    self.context.quotas.record_box_stopped(quota_requester(&box_id, incarnation));
                }
                self.on_heartbeat(from, &box_id, now, beacon).await;
            }
            Some(DatagramBody::PassiveSamples(sightings)) => {
                self.on_passive_samples(incarnation, &box_id, sightings).await;
            }
            Some(DatagramBody::Tokens(news)) => {
                let context = &self.context;
                let peer = quota_requester(&box_id, incarnation);
                if let Some(answer) = context.quotas.handle_message(context, peer, &news) {
                    self.send_tokens(from, answer).await;
                }
            }
            Some(DatagramBody::Permits(news)) => {
                let context = &self.context;
                if let Some(answer) = context.permits.handle_message(context, &box_id, &news) {
                    self.send_permits(from, answer).await;
                }
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
                // A datagram may be lost anyway; the next one tells the same.
                log::debug!(peer:% = host, reason:% = error; "datagram-not-sent");
            }
        }
    }
}

/// Fetches listings of targets from the peers that are named, one at a time, until the ring
/// closes. Configurations have a task of their own, so that no listing waits for one.
pub(crate) async fn fetch_listings(context: Arc<BoxContext>, named: Receiver<IpAddr>) {
    while let Ok(host) = named.recv().await {
        fetch_targets(&context, host).await;
    }
}
