//! Connections to other agents and to this box's proxy.
//!
//! Each connection has a bounded queue to its writer. If the queue is full, the message is lost, so
//! that one slow peer does not hold up the exchange. Everything that matters is sent again, by
//! digests or with the next report.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use wingbridge_trace::EventTrace;
use wingbridge_wire::handshake::prove;
use wingbridge_wire::{
    FleetKey, Frame, FrameBody, FrameReader, FrameWriter, HandshakeSide, Hello, WireError,
    split_stream,
};

use crate::events::AgentEvent;

/// Maximum number of messages that are queued for one connection.
const LINK_QUEUE_LENGTH: usize = 256;
/// Time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between a failed connection to a peer and the next attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Time without sent messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Prefix of the name of a seed peer that is not on the member list yet.
pub(crate) const SEED_PREFIX: &str = "seed@";

/// Denominator of the share of messages that [`LinkFaults`] drops.
const LOSS_SCALE: u32 = 10_000;

/// Faults for tests: messages from some boxes, or a share of all messages, are dropped on receipt.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    blocked: Arc<Mutex<HashSet<String>>>,
    /// Number of messages that are dropped at random, out of `LOSS_SCALE`.
    dropped: Arc<AtomicU32>,
}

impl LinkFaults {
    /// Drops all messages from `box_id` from now on.
    pub fn block(&self, box_id: &str) {
        self.blocked_boxes().insert(box_id.to_string());
    }

    /// Accepts messages from all boxes again.
    pub fn unblock_all(&self) {
        self.blocked_boxes().clear();
    }

    /// Drops this share of all messages at random, from 0 to 1.
    pub fn set_loss(&self, share: f64) {
        let dropped = (share.clamp(0.0, 1.0) * f64::from(LOSS_SCALE)) as u32;
        self.dropped.store(dropped, Ordering::Release);
    }

    fn drops(&self, box_id: &str) -> bool {
        let dropped = self.dropped.load(Ordering::Acquire);
        let is_lost = dropped > 0 && rand::random_range(0..LOSS_SCALE) < dropped;
        is_lost || self.blocked_boxes().contains(box_id)
    }

    fn blocked_boxes(&self) -> std::sync::MutexGuard<'_, HashSet<String>> {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State that all connections share.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) hello: Hello,
    pub(crate) key: FleetKey,
    pub(crate) trace: EventTrace,
    pub(crate) events: Sender<AgentEvent>,
    pub(crate) faults: LinkFaults,
}

/// The connections to peers, as the exchange uses them.
pub(crate) struct PeerLinks {
    context: LinkContext,
    links: HashMap<Arc<str>, PeerLink>,
    failed: HashMap<Arc<str>, Instant>,
}

struct PeerLink {
    queue: Sender<FrameBody>,
    used: Instant,
}

impl PeerLinks {
    pub(crate) fn new(context: LinkContext) -> PeerLinks {
        PeerLinks { context, links: HashMap::new(), failed: HashMap::new() }
    }

    /// Sends a message to a peer, over a new connection to `address` if none is open.
    pub(crate) fn send(&mut self, to: &Arc<str>, address: Option<SocketAddr>, body: FrameBody) {
        let unsent = match self.links.get_mut(to) {
            Some(link) => {
                link.used = Instant::now();
                match link.queue.try_send(body) {
                    Ok(()) => return,
                    Err(async_channel::TrySendError::Full(_)) => None,
                    Err(async_channel::TrySendError::Closed(body)) => Some(body),
                }
            }
            None => Some(body),
        };
        let (Some(body), Some(address)) = (unsent, address) else {
            metrics::counter!("wingbridge_messages_dropped").increment(1);
            return;
        };
        let is_recent = |failed: &Instant| failed.elapsed() < RECONNECT_DELAY;
        if self.failed.get(to).is_some_and(is_recent) {
            metrics::counter!("wingbridge_messages_dropped").increment(1);
            return;
        }
        let (queue, messages) = async_channel::bounded(LINK_QUEUE_LENGTH);
        let _ = queue.try_send(body);
        self.links.insert(to.clone(), PeerLink { queue, used: Instant::now() });
        task::spawn(connect_peer(self.context.clone(), to.clone(), address, messages));
    }

    /// Adds a connection that was accepted from a peer.
    pub(crate) fn accept(&mut self, peer: Arc<str>, queue: Sender<FrameBody>) {
        self.failed.remove(&peer);
        self.links.insert(peer, PeerLink { queue, used: Instant::now() });
    }

    /// Removes a connection that has ended. A newer connection to the same peer stays.
    pub(crate) fn close(&mut self, peer: &Arc<str>) {
        if self.links.get(peer).is_some_and(|link| link.queue.is_closed()) {
            self.links.remove(peer);
        }
        self.failed.insert(peer.clone(), Instant::now());
    }

    /// Returns whether the last connection to `peer` failed and no other is open.
    pub(crate) fn is_down(&self, peer: &str) -> bool {
        self.failed.contains_key(peer) && !self.links.contains_key(peer)
    }

    /// Returns the peers with an open connection.
    pub(crate) fn connected(&self) -> impl Iterator<Item = &Arc<str>> {
        self.links.iter().filter(|(_, link)| !link.queue.is_closed()).map(|(peer, _)| peer)
    }

    /// Closes connections that have not been used for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&mut self) {
        self.links.retain(|_, link| link.used.elapsed() < IDLE_TIMEOUT);
        self.failed.retain(|_, failed| failed.elapsed() < IDLE_TIMEOUT);
    }
}

/// Accepts connections of other agents until the task is dropped.
pub(crate) async fn accept_peers(listener: TcpListener, context: LinkContext) {
    accept_all(listener, context, |context, hello, queue| {
        AgentEvent::PeerConnected { peer: Arc::from(hello.box_id.as_str()), queue }.send(context)
    })
    .await;
}

/// Accepts connections of this box's proxy until the task is dropped.
pub(crate) async fn accept_proxy(listener: TcpListener, context: LinkContext) {
    accept_all(listener, context, |context, _, queue| {
        AgentEvent::ProxyConnected { queue }.send(context)
    })
    .await;
}

async fn accept_all(
    listener: TcpListener,
    context: LinkContext,
    on_connected: fn(&LinkContext, &Hello, Sender<FrameBody>),
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        task::spawn(async move {
            if let Err(error) = serve_link(stream, &context, on_connected).await {
                log::debug!(reason:% = error; "peer-connection-ended");
            }
        });
    }
}

async fn serve_link(
    mut stream: TcpStream,
    context: &LinkContext,
    on_connected: fn(&LinkContext, &Hello, Sender<FrameBody>),
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    prove(&mut stream, &context.key, HandshakeSide::Server).await?;
    let (mut reader, mut writer) = split_stream(stream);
    writer.send(&context.frame(FrameBody::Hello(context.hello.clone()))).await?;
    let Some(Frame { body: Some(FrameBody::Hello(hello)), .. }) = reader.next().await? else {
        return Ok(());
    };
    let (queue, messages) = async_channel::bounded(LINK_QUEUE_LENGTH);
    on_connected(context, &hello, queue.clone());
    let peer = Arc::from(hello.box_id.as_str());
    run_link(context, &peer, reader, writer, messages).await
}

async fn connect_peer(
    context: LinkContext,
    peer: Arc<str>,
    address: SocketAddr,
    messages: Receiver<FrameBody>,
) {
    let result = open_link(&context, address).await;
    let result = match result {
        Ok((reader, writer)) => run_link(&context, &peer, reader, writer, messages.clone()).await,
        Err(error) => Err(error),
    };
    messages.close();
    if let Err(error) = result {
        log::debug!(peer:% = peer, reason:% = error; "peer-connection-ended");
    }
    let _ = context.events.send(AgentEvent::PeerClosed { peer }).await;
}

async fn open_link(
    context: &LinkContext,
    address: SocketAddr,
) -> Result<(FrameReader, FrameWriter), WireError> {
    let connect = async_std::future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let mut stream =
        connect.await.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    prove(&mut stream, &context.key, HandshakeSide::Client).await?;
    let (mut reader, mut writer) = split_stream(stream);
    writer.send(&context.frame(FrameBody::Hello(context.hello.clone()))).await?;
    reader.next().await?;
    Ok((reader, writer))
}

/// Sends and receives messages until either side closes the connection.
async fn run_link(
    context: &LinkContext,
    peer: &Arc<str>,
    mut reader: FrameReader,
    mut writer: FrameWriter,
    messages: Receiver<FrameBody>,
) -> Result<(), WireError> {
    let sent = metrics::counter!("wingbridge_bytes_sent");
    let messages_sent = metrics::counter!("wingbridge_messages_sent");
    let outgoing = async {
        while let Ok(body) = messages.recv().await {
            let bytes = writer.send(&context.frame(body)).await?;
            sent.increment(bytes as u64);
            messages_sent.increment(1);
        }
        Ok(())
    };
    let incoming = async {
        while let Some(frame) = reader.next().await? {
            context.trace.clock().observe(frame.clock);
            let Some(body) = frame.body else { continue };
            // Faults apply to peers only, not to the box's own proxy.
            if **peer == *context.hello.box_id || !context.faults.drops(peer) {
                AgentEvent::Received { from: peer.clone(), body }.deliver(context).await;
            }
        }
        Ok(())
    };
    let result = {
        let outgoing = std::pin::pin!(outgoing);
        let incoming = std::pin::pin!(incoming);
        futures::future::select(outgoing, incoming).await.factor_first().0
    };
    messages.close();
    result
}

impl LinkContext {
    fn frame(&self, body: FrameBody) -> Frame {
        Frame { clock: self.trace.clock().tick(), body: Some(body) }
    }
}

impl AgentEvent {
    fn send(self, context: &LinkContext) {
        // If the queue of events is full, the exchange is overloaded. A task of its own then waits
        // for it, not the caller.
        let events = context.events.clone();
        task::spawn(async move { events.send(self).await });
    }

    async fn deliver(self, context: &LinkContext) {
        // The queue is closed if the agent is stopping, and the connection then ends as well.
        let _ = context.events.send(self).await;
    }
}
