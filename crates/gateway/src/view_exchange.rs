//! Exchange of views of the store between boxes: serves the requests of peers, and fetches the listing
//! of targets from a peer.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use prost::Message;
use wingbridge_decide::Name;
use wingbridge_wire::gossip::{
    ExchangeQuestion, ExchangeRequest, TargetRecord, TargetsReply, TargetsRequest, ViewVersion,
};
use wingbridge_wire::{ErrorKind, WireError, receive_exact, receive_message, send_message};

use crate::config_exchange::serve_config;
use crate::context::{BoxContext, millis};
use crate::listing_source::{ListingDeltaKey, ListingReply, PackedTargets, unpack};
use crate::ports::TargetListing;
use crate::relay::server::serve_relay;
use crate::store_revision::StoreRevision;
use crate::transfer_slots::BUSY_RETRY_DELAY;
use crate::view::{CachedView, ListingDelta, PeerListingDelta, TargetEntry};

/// Timeout for connecting to a peer. Within a data centre, connecting takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum length of an encoded request of a peer, in bytes.
const MAX_REQUEST_BYTES: usize = 1024;
/// Delay before connections are accepted again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the requests of peers until the task is dropped.
pub(crate) async fn serve_peers(listener: Arc<TcpListener>, context: Arc<BoxContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let context = Arc::clone(&context);
                task::spawn(async move { serve_one(&stream, peer.ip(), &context).await });
            }
            Err(error) => {
                log::warn!(reason:% = error; "exchange-accept-failed");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches the listing of targets from the peer at `host` and applies it. A peer that is busy sending to
/// others is asked again until the timeout of one request has passed. By then, other peers have
/// received the listing and advertise it.
pub(crate) async fn fetch_targets(context: &BoxContext, host: IpAddr) {
    let until = Instant::now() + context.budget.fetch_timeout();
    let mut digest = context.view().digest();
    loop {
        match request_targets(context, host, digest).await {
            Ok(FetchedTargets::Applied) => return,
            Ok(FetchedTargets::Busy) if Instant::now() >= until => return,
            Ok(FetchedTargets::Busy) => {
                task::sleep(BUSY_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            }
            // This box's listing has changed since the request: the full listing is requested instead.
            Ok(FetchedTargets::BaseMismatch) if digest != 0 => digest = 0,
            Ok(FetchedTargets::BaseMismatch) => return,
            Err(error) => {
                log::warn!(peer:% = host, reason:% = error; "targets-not-fetched");
                return;
            }
        }
    }
}

/// Returns the version of the view for messages; `None` before the first listing of targets.
pub(crate) fn view_version_of(view: &CachedView) -> Option<ViewVersion> {
    let as_of = view.as_of()?;
    let config_age = view.config_as_of().map(|as_of| as_of.elapsed());
    let StoreRevision { era, number } = view.revision();
    let config = view.config_id();
    let config_through = view.config_through();
    Some(ViewVersion {
        revision: number,
        era,
        age_ms: millis(as_of.elapsed()),
        digest: view.digest(),
        config_revision: config.revision.number,
        config_era: config.revision.era,
        config_version: config.version,
        config_age_ms: config_age.map_or(0, millis),
        config_through: config_through.number,
        config_through_era: config_through.era,
    })
}

/// Sends one request to the peer at `host` and returns its reply.
///
/// # Errors
/// Fails if there is no connection within [`CONNECT_TIMEOUT`] or no reply within `max_time`, and on faults
/// of the connection or the reply.
pub(crate) async fn query_peer<M: Message + Default>(
    context: &BoxContext,
    host: IpAddr,
    question: ExchangeQuestion,
    max_time: Duration,
) -> Result<M, WireError> {
    let address = SocketAddr::new(host, context.settings.exchange.port());
    let exchange = async {
        let late = |_| WireError::new(ErrorKind::Io, "no connection was established in time");
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(late)??;
        stream.set_nodelay(true)?;
        send_message(&stream, &ExchangeRequest { question: Some(question) }).await?;
        receive_message(&stream).await
    };
    let late = |_| WireError::new(ErrorKind::Io, format!("no reply within {max_time:?}"));
    timeout(max_time, exchange).await.map_err(late)?
}

enum FetchedTargets {
    /// The reply was applied, or the peer has no listing yet.
    Applied,
    /// All transfer slots of the peer are in use.
    Busy,
    /// The delta of the reply does not fit the listing that this box holds.
    BaseMismatch,
}

async fn request_targets(
    context: &BoxContext,
    host: IpAddr,
    digest: u64,
) -> Result<FetchedTargets, WireError> {
    let started_at = Instant::now();
    let sample = context.clock_sample();
    let question = ExchangeQuestion::Targets(TargetsRequest { digest });
    let max_time = context.budget.fetch_timeout();
    let reply: TargetsReply = query_peer(context, host, question, max_time).await?;
    let bytes = reply.encoded_len();
    let Some(version) = reply.version else {
        return Ok(FetchedTargets::Applied);
    };
    let age = Duration::from_millis(version.age_ms);
    let Some(as_of) = Instant::now().checked_sub(age) else {
        return Ok(FetchedTargets::Applied);
    };
    let as_of = context.correct(&sample, as_of);
    if reply.busy {
        return Ok(FetchedTargets::Busy);
    }
    let fits = match decode_targets(reply, &version)? {
        ReceivedTargets::All(listing) => {
            context.apply_listing(listing, as_of, "peer");
            true
        }
        ReceivedTargets::Delta(received) => context.merge_delta(received, as_of),
    };
    if !fits {
        return Ok(FetchedTargets::BaseMismatch);
    }
    log::info!(
        peer:% = host, revision = version.revision, era = version.era, age_ms = version.age_ms, bytes,
        taken_ms = millis(started_at.elapsed());
        "targets-fetched"
    );
    Ok(FetchedTargets::Applied)
}

async fn serve_one(stream: &TcpStream, peer: IpAddr, context: &Arc<BoxContext>) {
    let served = async {
        let mut reading = stream.clone();
        // A handshake may follow, so that no byte beyond the message may be read.
        let received = receive_exact(&mut reading, MAX_REQUEST_BYTES);
        let received = timeout(context.budget.fetch_timeout(), received);
        let late = |_| WireError::new(ErrorKind::Io, "the peer sent no request in time");
        let request: ExchangeRequest = received.await.map_err(late)??;
        match request.question {
            Some(ExchangeQuestion::Targets(request)) => {
                let (reply, _sent) = encode_targets(context, request);
                let sending = send_message(stream, &reply);
                let late =
                    |_| WireError::new(ErrorKind::Io, "the peer did not read the reply in time");
                timeout(context.budget.fetch_timeout(), sending).await.map_err(late)?
            }
            Some(ExchangeQuestion::Config(request)) => {
                serve_config(stream, peer, context, request).await
            }
            Some(ExchangeQuestion::Relay(_)) => serve_relay(stream, peer, context).await,
            None => Err(WireError::new(ErrorKind::Malformed, "the request has no known kind")),
        }
    };
    if let Err(error) = served.await {
        log::info!(peer:% = peer, reason:% = error; "peer-not-served");
    }
}

/// Returns the reply to a request for targets. The second value keeps the transfer slot of the reply
/// while it is sent.
fn encode_targets(
    context: &BoxContext,
    request: TargetsRequest,
) -> (TargetsReply, Option<ListingReply<'_>>) {
    let view = context.view();
    let evacuated = view.evacuated().iter().map(Name::to_string).collect();
    let reply =
        TargetsReply { version: view_version_of(&view), evacuated, ..TargetsReply::default() };
    let base = if view.has_delta_from(request.digest) { request.digest } else { 0 };
    let key = ListingDeltaKey { from: base, to: view.digest() };
    let Some(sent) = context.listing_source.send(key, || pack_targets(&view, base)) else {
        return (TargetsReply { busy: true, ..reply }, None);
    };
    let PackedTargets { parts, removed } = &*sent.targets;
    (TargetsReply { base, parts: parts.clone(), removed: removed.clone(), ..reply }, Some(sent))
}

/// Packs the change from the listing with the hash `base` to the held one, or all targets if there is no
/// such change in the history.
fn pack_targets(view: &CachedView, base: u64) -> PackedTargets {
    match view.delta_from(base) {
        Some(ListingDelta { changed, removed }) => {
            let removed = removed.iter().map(Name::to_string).collect();
            PackedTargets::pack(changed.iter().map(|target| target_record(view, target)), removed)
        }
        None => {
            PackedTargets::pack(view.listed().map(|target| target_record(view, target)), Vec::new())
        }
    }
}

fn target_record(view: &CachedView, target: &TargetEntry) -> TargetRecord {
    TargetRecord {
        id: target.id.to_string(),
        address: target.address.to_string(),
        service: target.service.to_string(),
        data_centre: target.data_centre.to_string(),
        slots: target.slots,
        draining: target.draining,
        cold_ms: millis(view.cold_time(&target.id, Instant::now())),
        started_ms: target.started_ms,
        is_cold: target.is_cold,
    }
}

/// The content of a reply.
enum ReceivedTargets {
    All(TargetListing),
    Delta(PeerListingDelta),
}

fn decode_targets(
    reply: TargetsReply,
    version: &ViewVersion,
) -> Result<ReceivedTargets, WireError> {
    let evacuated = reply.evacuated.into_iter().map(Name::from).collect();
    let revision = StoreRevision { era: version.era, number: version.revision };
    let digest = version.digest;
    let mut targets = Vec::new();
    for part in &reply.parts {
        let records =
            unpack(part).map_err(|reason| WireError::new(ErrorKind::Malformed, reason))?;
        targets.extend(records.into_iter().map(target_entry));
    }
    if reply.base == 0 {
        return Ok(ReceivedTargets::All(TargetListing { revision, targets, evacuated }));
    }
    let removed = reply.removed.into_iter().map(Name::from).collect();
    let delta = ListingDelta { changed: targets, removed };
    Ok(ReceivedTargets::Delta(PeerListingDelta { revision, digest, delta, evacuated }))
}

fn target_entry(record: TargetRecord) -> TargetEntry {
    TargetEntry {
        id: record.id.into(),
        address: record.address.into(),
        service: record.service.into(),
        data_centre: record.data_centre.into(),
        slots: record.slots,
        draining: record.draining,
        cold_time: Duration::from_millis(record.cold_ms),
        started_ms: record.started_ms,
        is_cold: record.is_cold,
    }
}
