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
    ExchangeQuestion, ExchangeRequest, TargetRecord, TargetsReply, TargetsRequest, ViewMark,
};
use wingbridge_wire::{ErrorKind, WireError, receive_message, send_message};

use crate::config_exchange::serve_config;
use crate::context::{BoxContext, millis};
use crate::ports::TargetListing;
use crate::view::{KnownView, ListingDifference, TargetEntry, listing_digest};

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

/// Fetches the targets that the peer at `host` knows, and takes them.
pub(crate) async fn fetch_targets(context: &BoxContext, host: IpAddr) {
    let digest = context.view().digest();
    match ask_targets(context, host, digest).await {
        Ok(FetchedTargets::Taken) => {}
        // What is known has changed on the way: all of it is asked for then.
        Ok(FetchedTargets::OtherBase) => {
            if let Err(error) = ask_targets(context, host, 0).await {
                log::warn!(peer:% = host, reason:% = error; "targets-not-fetched");
            }
        }
        Err(error) => log::warn!(peer:% = host, reason:% = error; "targets-not-fetched"),
    }
}

/// How new what is known is, for messages.
pub(crate) fn view_mark(known: &KnownView) -> Option<ViewMark> {
    let as_of = known.as_of()?;
    let config_age = known.config_as_of().map(|as_of| as_of.elapsed());
    Some(ViewMark {
        revision: known.revision(),
        age_ms: millis(as_of.elapsed()),
        digest: known.digest(),
        config_revision: known.config_revision(),
        config_age_ms: config_age.map_or(0, millis),
    })
}

/// Asks the peer at `host` one question, within `time`.
pub(crate) async fn ask_peer<M: Message + Default>(
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
    /// The reply is the difference to a listing that this box does not hold any more.
    OtherBase,
}

async fn ask_targets(
    context: &BoxContext,
    host: IpAddr,
    digest: u64,
) -> Result<FetchedTargets, WireError> {
    let began = Instant::now();
    let start = context.start_mark();
    let question = ExchangeQuestion::Targets(TargetsRequest { digest });
    let time = context.budget.fetch_time();
    let reply: TargetsReply = ask_peer(context, host, question, time).await?;
    let bytes = reply.encoded_len();
    let Some(mark) = reply.mark else {
        return Ok(FetchedTargets::Taken);
    };
    let age = Duration::from_millis(mark.age_ms);
    let Some(as_of) = Instant::now().checked_sub(age) else {
        return Ok(FetchedTargets::Taken);
    };
    let as_of = context.correct(&start, as_of);
    let Some(listing) = decode_targets(context, reply, &mark, as_of) else {
        return Ok(FetchedTargets::OtherBase);
    };
    log::info!(
        peer:% = host, revision = mark.revision, age_ms = mark.age_ms, bytes,
        taken_ms = millis(began.elapsed());
        "targets-fetched"
    );
    context.take_listing(listing, as_of, "peer");
    Ok(FetchedTargets::Taken)
}

async fn serve_one(stream: &TcpStream, peer: IpAddr, context: &BoxContext) {
    let served = async {
        let asked = timeout(context.budget.fetch_time(), receive_message(stream));
        let late = |_| WireError::new(ErrorKind::Io, "no question came");
        let request: ExchangeRequest = asked.await.map_err(late)??;
        match request.question {
            Some(ExchangeQuestion::Targets(request)) => {
                let reply = encode_targets(&context.view(), request);
                let sending = send_message(stream, &reply);
                let late = |_| WireError::new(ErrorKind::Io, "the reply was not read");
                timeout(context.budget.fetch_time(), sending).await.map_err(late)?
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

fn encode_targets(known: &KnownView, request: TargetsRequest) -> TargetsReply {
    let age = known.as_of().map(|as_of| as_of.elapsed()).unwrap_or_default();
    let record = |target: &TargetEntry| TargetRecord {
        id: target.id.to_string(),
        address: target.address.to_string(),
        service: target.service.to_string(),
        data_centre: target.data_centre.to_string(),
        slots: target.slots,
        draining: target.draining,
        cold_ms: millis(target.cold_time.saturating_sub(age)),
        born_ms: target.born_ms,
        is_cold: target.is_cold,
    };
    let mark = view_mark(known);
    let evacuated = known.view().evacuated.iter().map(Name::to_string).collect();
    match known.difference_to(request.digest) {
        Some(ListingDifference { changed, gone }) => TargetsReply {
            mark,
            base: request.digest,
            targets: changed.iter().map(record).collect(),
            gone: gone.iter().map(Name::to_string).collect(),
            evacuated,
        },
        None => TargetsReply {
            mark,
            base: 0,
            targets: known.view().targets.iter().map(record).collect(),
            gone: Vec::new(),
            evacuated,
        },
    }
}

/// The listing that a reply makes of what is known; `None` if it is not the one that the peer
/// has, by its hash.
fn decode_targets(
    context: &BoxContext,
    reply: TargetsReply,
    mark: &ViewMark,
    as_of: Instant,
) -> Option<TargetListing> {
    let target = |target: TargetRecord| TargetEntry {
        id: target.id.into(),
        address: target.address.into(),
        service: target.service.into(),
        data_centre: target.data_centre.into(),
        slots: target.slots,
        draining: target.draining,
        cold_time: Duration::from_millis(target.cold_ms),
        born_ms: target.born_ms,
        is_cold: target.is_cold,
    };
    let revision = mark.revision;
    let evacuated: Vec<Name> = reply.evacuated.into_iter().map(Name::from).collect();
    let changed: Vec<TargetEntry> = reply.targets.into_iter().map(target).collect();
    if reply.base == 0 {
        return Some(TargetListing { revision, targets: changed, evacuated });
    }
    let known = context.view();
    let older = known.as_of().map(|held| as_of.saturating_duration_since(held));
    let gone = reply.gone.into_iter().map(Name::from).collect();
    let difference = ListingDifference { changed, gone };
    let targets = difference.apply(&known.view().targets, older.unwrap_or_default());
    let is_told = listing_digest(&targets, &evacuated) == mark.digest;
    is_told.then_some(TargetListing { revision, targets, evacuated })
}
