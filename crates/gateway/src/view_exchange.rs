//! Views of the store between boxes: served to peers, and fetched from one.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use wingbridge_wire::gossip::{TargetRecord, ViewMark, ViewReply, ViewRequest};
use wingbridge_wire::{receive_message, send_message};

use crate::context::{BoxContext, millis};
use crate::view::{ConfigText, KnownView, StoreView, TargetEntry};

/// Time for a whole fetch. A peer that takes longer is cut off or overloaded; the store
/// or another peer is asked then.
const FETCH_TIME: Duration = Duration::from_millis(500);
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

/// Fetches the view of the peer at `host` and takes it. Returns whether that worked.
pub(crate) async fn fetch_view(context: &BoxContext, host: IpAddr) -> bool {
    let address = SocketAddr::new(host, context.settings.exchange.port());
    let fetched = async_std::future::timeout(FETCH_TIME, fetch_one(context, address)).await;
    let reply = match fetched {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::warn!(peer:% = host, reason:% = error; "view-not-fetched");
            return false;
        }
        Err(_) => {
            log::warn!(peer:% = host, reason = "timed out"; "view-not-fetched");
            return false;
        }
    };
    let Some(mark) = reply.mark else {
        return false;
    };
    let age = Duration::from_millis(mark.age_ms);
    let Some(as_of) = Instant::now().checked_sub(age) else {
        return false;
    };
    context.take_view(decode_view(reply, &mark), as_of, "peer");
    true
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
    let _: ViewRequest = receive_message(stream).await?;
    let reply = encode_view(&context.view());
    send_message(stream, &reply).await
}

async fn fetch_one(
    context: &BoxContext,
    address: SocketAddr,
) -> Result<ViewReply, wingbridge_wire::WireError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let digest = context.view().digest();
    send_message(&stream, &ViewRequest { digest }).await?;
    receive_message(&stream).await
}

fn encode_view(known: &KnownView) -> ViewReply {
    let view = known.view();
    let age = known.as_of().map(|as_of| as_of.elapsed()).unwrap_or_default();
    let target = |target: &TargetEntry| TargetRecord {
        id: target.id.to_string(),
        address: target.address.to_string(),
        service: target.service.to_string(),
        data_centre: target.data_centre.to_string(),
        slots: target.slots,
        draining: target.draining,
        cold_ms: millis(target.cold_left.saturating_sub(age)),
    };
    ViewReply {
        mark: view_mark(known),
        config: view.config.as_ref().map(|config| config.text.to_vec()).unwrap_or_default(),
        config_revision: view.config.as_ref().map_or(0, |config| config.revision),
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
        cold_left: Duration::from_millis(target.cold_ms),
    };
    let config = (reply.config_revision > 0)
        .then(|| ConfigText { revision: reply.config_revision, text: reply.config.into() });
    StoreView {
        revision: mark.revision,
        config,
        targets: reply.targets.into_iter().map(target).collect(),
    }
}
