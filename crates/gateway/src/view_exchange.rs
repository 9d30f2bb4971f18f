//! Views of the store between boxes: served to peers, and fetched from one.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use prost::Message;
use wingbridge_wire::gossip::{TargetRecord, ViewMark, ViewReply, ViewRequest};
use wingbridge_wire::{receive_message, send_message};

use crate::context::{BoxContext, millis};
use crate::store_duty::LARGE_CONFIG_BYTES;
use crate::view::{ConfigText, KnownView, StoreView, TargetEntry};

/// Time for a whole fetch. A peer that takes longer is cut off or overloaded; the store
/// or another peer is asked then.
const FETCH_TIME: Duration = Duration::from_millis(500);
/// The same for a configuration of any size: a megabyte takes 0.8 s at 10 Mbit/s.
const LARGE_FETCH_TIME: Duration = Duration::from_secs(3);
/// Readings of the store by boxes that heard of a large configuration are spread over this.
const READING_SPREAD: Duration = Duration::from_millis(150);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the view to peers, until the task is dropped.
pub(crate) async fn serve_views(listener: TcpListener, context: Arc<BoxContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let context = Arc::clone(&context);
                task::spawn(async move {
                    let served =
                        async_std::future::timeout(FETCH_TIME, serve_one(&stream, &context));
                    if !matches!(served.await, Ok(Ok(()))) {
                        log::debug!(peer:% = peer.ip(); "view-not-served");
                    }
                });
            }
            Err(error) => {
                log::warn!(reason:% = error; "exchange-accept-failed");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Fetches the view of the peer at `host` and takes it. A configuration that is too large
/// for the peer to send to everybody is read from the store, or sent if that fails.
pub(crate) async fn fetch_view(context: &BoxContext, host: IpAddr) {
    let Some(config_revision) = fetch_and_take(context, host, false).await else {
        return;
    };
    if context.view().config_revision() >= config_revision {
        return;
    }
    // Boxes that all heard of it at once don't ask the store at once.
    task::sleep(READING_SPREAD.mul_f64(rand::random::<f64>())).await;
    let began = Instant::now();
    match context.port.read_config().await {
        Ok(Some(config)) => {
            log::info!(
                revision = config.revision, bytes = config.text.len(),
                taken_ms = millis(began.elapsed());
                "configuration-read"
            );
            context.take_config(config, "store");
        }
        Ok(None) => log::warn!(config_revision; "configuration-gone"),
        Err(error) => {
            log::warn!(reason:% = error, config_revision; "configuration-asked-of-peer");
            fetch_and_take(context, host, true).await;
        }
    }
}

/// Returns the revision of the configuration that the peer holds.
async fn fetch_and_take(context: &BoxContext, host: IpAddr, needs_config: bool) -> Option<u64> {
    let address = SocketAddr::new(host, context.settings.exchange.port());
    let config_revision = context.view().config_revision();
    let request = ViewRequest { config_revision, needs_config };
    let time = if needs_config { LARGE_FETCH_TIME } else { FETCH_TIME };
    let began = Instant::now();
    let reply = match async_std::future::timeout(time, fetch_one(address, request)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::warn!(peer:% = host, reason:% = error; "view-not-fetched");
            return None;
        }
        Err(_) => {
            log::warn!(peer:% = host, reason = "timed out"; "view-not-fetched");
            return None;
        }
    };
    let mark = reply.mark?;
    let as_of = Instant::now().checked_sub(Duration::from_millis(mark.age_ms))?;
    let revision = reply.config_revision;
    log::info!(
        peer:% = host, revision = mark.revision, age_ms = mark.age_ms, bytes = reply.encoded_len(),
        taken_ms = millis(began.elapsed());
        "view-fetched"
    );
    context.take_view(decode_view(reply, &mark), as_of, "peer");
    Some(revision)
}

/// How new the view is, for messages.
pub(crate) fn view_mark(known: &KnownView) -> Option<ViewMark> {
    let as_of = known.as_of()?;
    Some(ViewMark {
        revision: known.revision(),
        age_ms: millis(as_of.elapsed()),
        digest: known.digest(),
    })
}

async fn serve_one(
    stream: &TcpStream,
    context: &BoxContext,
) -> Result<(), wingbridge_wire::WireError> {
    let request: ViewRequest = receive_message(stream).await?;
    let reply = encode_view(&context.view(), &request);
    send_message(stream, &reply).await
}

async fn fetch_one(
    address: SocketAddr,
    request: ViewRequest,
) -> Result<ViewReply, wingbridge_wire::WireError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    send_message(&stream, &request).await?;
    receive_message(&stream).await
}

fn encode_view(known: &KnownView, request: &ViewRequest) -> ViewReply {
    let view = known.view();
    let config = view.config.as_ref().filter(|config| {
        // Sending 400 KB to 30 peers takes a box with 10 Mbit/s some ten seconds.
        let small = config.text.len() <= LARGE_CONFIG_BYTES;
        config.revision > request.config_revision && (small || request.needs_config)
    });
    let age = known.as_of().map(|as_of| as_of.elapsed()).unwrap_or_default();
    let target = |target: &TargetEntry| TargetRecord {
        id: target.id.to_string(),
        address: target.address.to_string(),
        service: target.service.to_string(),
        data_centre: target.data_centre.to_string(),
        slots: target.slots,
        draining: target.draining,
        cold_ms: millis(target.cold_time.saturating_sub(age)),
    };
    ViewReply {
        mark: view_mark(known),
        config: config.map(|config| config.text.to_vec()).unwrap_or_default(),
        config_revision: view.config_revision,
        targets: view.targets.iter().map(target).collect(),
    }
}

fn decode_view(reply: ViewReply, mark: &ViewMark) -> StoreView {
    let target = |target: TargetRecord| TargetEntry {
        id: target.id.into(),
        address: target.address.into(),
        service: target.service.into(),
        data_centre: target.data_centre.into(),
        slots: target.slots,
        draining: target.draining,
        cold_time: Duration::from_millis(target.cold_ms),
    };
    let config_revision = reply.config_revision;
    let config = (!reply.config.is_empty())
        .then(|| ConfigText { revision: config_revision, text: reply.config.into() });
    StoreView {
        revision: mark.revision,
        config_revision,
        config,
        targets: reply.targets.into_iter().map(target).collect(),
    }
}
