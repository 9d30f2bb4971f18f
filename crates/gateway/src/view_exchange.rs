//! What is known of the store, between boxes: served to peers, and targets fetched from one.

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
use wingbridge_wire::{ErrorKind, WireError, receive_message, send_message};

use crate::config_exchange::serve_config;
use crate::context::{BoxContext, millis};
use crate::listing_source::{ListingDeltaKey, PackedTargets, SentTargets, unpack};
use crate::ports::TargetListing;
use crate::transfer_slots::BUSY_RETRY_DELAY;
use crate::view::{KnownView, ListingDelta, PeerListingDelta, TargetEntry};

/// Time for a connection to a peer: within a data centre it takes a millisecond or two.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the questions of peers, until the task is dropped.
pub(crate) async fn serve_peers(listener: TcpListener, context: Arc<BoxContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let context = Arc::clone(&context);
                task::spawn(async move { serve_one(&stream, peer.ip(), &context).await });
            }
            Err(error) => {
                log::warn!(reason:% = error; "exchange-accept-failed");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Fetches the targets that the peer at `host` knows, and takes them. A peer that sends to others is asked again
/// for as long as one question may take; by then others have what it sends, and say so.
pub(crate) async fn fetch_targets(context: &BoxContext, host: IpAddr) {
    let until = Instant::now() + context.budget.fetch_timeout();
    let mut digest = context.view().digest();
    loop {
        match ask_targets(context, host, digest).await {
            Ok(FetchedTargets::Taken) => return,
            Ok(FetchedTargets::Busy) if Instant::now() >= until => return,
            Ok(FetchedTargets::Busy) => {
                task::sleep(BUSY_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            }
            // What is known has changed on the way: all of it is asked for then.
            Ok(FetchedTargets::OtherBase) if digest != 0 => digest = 0,
            Ok(FetchedTargets::OtherBase) => return,
            Err(error) => {
                log::warn!(peer:% = host, reason:% = error; "targets-not-fetched");
                return;
            }
        }
    }
}

/// How new what is known is, for messages.
pub(crate) fn view_version_of(known: &KnownView) -> Option<ViewVersion> {
    let as_of = known.as_of()?;
    let config_age = known.config_as_of().map(|as_of| as_of.elapsed());
    Some(ViewVersion {
        revision: known.revision(),
        age_ms: millis(as_of.elapsed()),
        digest: known.digest(),
        config_revision: known.config_revision(),
        config_age_ms: config_age.map_or(0, millis),
    })
}

/// Asks the peer at `host` one question, within `time`.
pub(crate) async fn query_peer<M: Message + Default>(
    context: &BoxContext,
    host: IpAddr,
    question: ExchangeQuestion,
    time: Duration,
) -> Result<M, WireError> {
    let address = SocketAddr::new(host, context.settings.exchange.port());
    let asking = async {
        let late = |_| WireError::new(ErrorKind::Io, "no connection came up");
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await.map_err(late)??;
        stream.set_nodelay(true)?;
        send_message(&stream, &ExchangeRequest { question: Some(question) }).await?;
        receive_message(&stream).await
    };
    let late = |_| WireError::new(ErrorKind::Io, format!("no reply within {time:?}"));
    timeout(time, asking).await.map_err(late)?
}

enum FetchedTargets {
    Taken,
    /// The peer sends to as many others as it can.
    Busy,
    /// The reply is the delta to a listing that this box does not hold any more.
    OtherBase,
}

async fn ask_targets(
    context: &BoxContext,
    host: IpAddr,
    digest: u64,
) -> Result<FetchedTargets, WireError> {
    let began = Instant::now();
    let start = context.clock_sample();
    let question = ExchangeQuestion::Targets(TargetsRequest { digest });
    let time = context.budget.fetch_timeout();
    let reply: TargetsReply = query_peer(context, host, question, time).await?;
    let bytes = reply.encoded_len();
    let Some(mark) = reply.version else {
        return Ok(FetchedTargets::Taken);
    };
    let age = Duration::from_millis(mark.age_ms);
    let Some(as_of) = Instant::now().checked_sub(age) else {
        return Ok(FetchedTargets::Taken);
    };
    let as_of = context.correct(&start, as_of);
    if reply.busy {
        return Ok(FetchedTargets::Busy);
    }
    let fits = match decode_targets(reply, &mark)? {
        ReceivedTargets::All(listing) => {
            context.apply_listing(listing, as_of, "peer");
            true
        }
        ReceivedTargets::Difference(told) => context.merge_delta(told, as_of),
    };
    if !fits {
        return Ok(FetchedTargets::OtherBase);
    }
    log::info!(
        peer:% = host, revision = mark.revision, age_ms = mark.age_ms, bytes,
        taken_ms = millis(began.elapsed());
        "targets-fetched"
    );
    Ok(FetchedTargets::Taken)
}

async fn serve_one(stream: &TcpStream, peer: IpAddr, context: &BoxContext) {
    let served = async {
        let asked = timeout(context.budget.fetch_timeout(), receive_message(stream));
        let late = |_| WireError::new(ErrorKind::Io, "no question came");
        let request: ExchangeRequest = asked.await.map_err(late)??;
        match request.question {
            Some(ExchangeQuestion::Targets(request)) => {
                let (reply, _sent) = encode_targets(context, request);
                let sending = send_message(stream, &reply);
                let late = |_| WireError::new(ErrorKind::Io, "the reply was not read");
                timeout(context.budget.fetch_timeout(), sending).await.map_err(late)?
            }
            Some(ExchangeQuestion::Config(request)) => {
                serve_config(stream, peer, context, request).await
            }
            None => Err(WireError::new(ErrorKind::Malformed, "a question of no known kind")),
        }
    };
    if let Err(error) = served.await {
        log::info!(peer:% = peer, reason:% = error; "peer-not-served");
    }
}

/// The reply to a peer that asks for targets, and what counts it as being sent.
fn encode_targets(
    context: &BoxContext,
    request: TargetsRequest,
) -> (TargetsReply, Option<SentTargets<'_>>) {
    let known = context.view();
    let evacuated = known.evacuated().iter().map(Name::to_string).collect();
    let reply =
        TargetsReply { version: view_version_of(&known), evacuated, ..TargetsReply::default() };
    let base = if known.remembers(request.digest) { request.digest } else { 0 };
    let step = ListingDeltaKey { from: base, to: known.digest() };
    let Some(sent) = context.listing_source.send(step, || pack_targets(&known, base)) else {
        return (TargetsReply { busy: true, ..reply }, None);
    };
    let PackedTargets { parts, removed } = &*sent.targets;
    (TargetsReply { base, parts: parts.clone(), removed: removed.clone(), ..reply }, Some(sent))
}

/// What makes the listing that is held of the one with the hash `base`, or all of it.
fn pack_targets(known: &KnownView, base: u64) -> PackedTargets {
    match known.delta_from(base) {
        Some(ListingDelta { changed, removed }) => {
            let removed = removed.iter().map(Name::to_string).collect();
            PackedTargets::pack(changed.iter().map(|target| record(known, target)), removed)
        }
        None => PackedTargets::pack(known.listed().map(|target| record(known, target)), Vec::new()),
    }
}

fn record(known: &KnownView, target: &TargetEntry) -> TargetRecord {
    TargetRecord {
        id: target.id.to_string(),
        address: target.address.to_string(),
        service: target.service.to_string(),
        data_centre: target.data_centre.to_string(),
        slots: target.slots,
        draining: target.draining,
        cold_ms: millis(known.cold_time(&target.id, Instant::now())),
        born_ms: target.born_ms,
        is_cold: target.is_cold,
    }
}

/// What a reply tells.
enum ReceivedTargets {
    All(TargetListing),
    Difference(PeerListingDelta),
}

fn decode_targets(reply: TargetsReply, mark: &ViewVersion) -> Result<ReceivedTargets, WireError> {
    let evacuated = reply.evacuated.into_iter().map(Name::from).collect();
    let (revision, digest) = (mark.revision, mark.digest);
    let mut targets = Vec::new();
    for part in &reply.parts {
        let records =
            unpack(part).map_err(|reason| WireError::new(ErrorKind::Malformed, reason))?;
        targets.extend(records.into_iter().map(target));
    }
    if reply.base == 0 {
        return Ok(ReceivedTargets::All(TargetListing { revision, targets, evacuated }));
    }
    let removed = reply.removed.into_iter().map(Name::from).collect();
    let delta = ListingDelta { changed: targets, removed };
    Ok(ReceivedTargets::Difference(PeerListingDelta { revision, digest, delta, evacuated }))
}

fn target(record: TargetRecord) -> TargetEntry {
    TargetEntry {
        id: record.id.into(),
        address: record.address.into(),
        service: record.service.into(),
        data_centre: record.data_centre.into(),
        slots: record.slots,
        draining: record.draining,
        cold_time: Duration::from_millis(record.cold_ms),
        born_ms: record.born_ms,
        is_cold: record.is_cold,
    }
}
