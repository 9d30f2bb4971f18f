//! Handles requests for peers that have no paths to the targets.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use wingbridge_decide::Name;
use wingbridge_policy::PolicyPlan;
use wingbridge_wire::handshake::prove;
use wingbridge_wire::relay::{RelayDecision, RelayRequest, RelayResult};
use wingbridge_wire::{ErrorKind, HandshakeSide, WireError, receive_exact, send_message};

use super::{AttemptTotals, MAX_MESSAGE_BYTES, encode_outcome};
use crate::answers::CallerOutcome;
use crate::caller_connections::serve_relayed;
use crate::context::BoxContext;
use crate::customers::{KeyDigest, PresentedKey};
use crate::instants::later;
use crate::latch::ReadyLatch;
use crate::routes::{AccessDecision, common_homes};
use crate::routing::RequestPlan;

/// Time within which a peer must send its request after the handshake.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// A request of a peer that this box handles.
#[derive(Debug)]
pub(crate) struct AcceptedRelay {
    /// Name of the box that accepted the request from its caller.
    pub(crate) box_id: String,
    pub(crate) plan: RequestPlan,
    /// The attempts before.
    pub(crate) totals: AttemptTotals,
    /// Whether the caller comes when a box told it to.
    pub(crate) due_return: bool,
    /// Time at which the first byte of the request was read from its caller.
    pub(crate) received_at: Instant,
    /// Opens when the peer wants the request ended, or is gone.
    pub(crate) asked_to_end: ReadyLatch,
}

/// Handles one request of the peer that offered it on `stream`.
///
/// # Errors
/// The peer does not have the fleet key, or the connection failed.
pub(crate) async fn serve_relay(
    stream: &TcpStream,
    peer: IpAddr,
    context: &Arc<BoxContext>,
) -> Result<(), WireError> {
    let mut stream = stream.clone();
    let key = context.fleet_key.get(&*context.port).await?;
    if let Err(error) = prove(&mut stream, &key, HandshakeSide::Server).await {
        if error.kind() == ErrorKind::Unauthenticated {
            context.fleet_key.record_failed_proof();
        }
        return Err(error);
    }
    let late = |_| WireError::new(ErrorKind::Io, "the peer sent no request in time");
    let received = timeout(REQUEST_TIMEOUT, receive_exact(&mut stream, MAX_MESSAGE_BYTES));
    let request: RelayRequest = received.await.map_err(late)??;
    let accepted = match accept(context, &request) {
        Ok(accepted) => accepted,
        Err(declined) => {
            log::info!(peer:% = peer, from = request.box_id.as_str(), reason = declined; "relay-declined");
            metrics::counter!("wingbridge_relays_served", "result" => "declined").increment(1);
            return send_message(&stream, &RelayDecision { declined: declined.to_string() }).await;
        }
    };
    // Counted before the peer learns of it: the box could end between its agreement and the request.
    let _connection_guard = context.stopping.count_connection();
    let _request_guard = context.stopping.count_request();
    send_message(&stream, &RelayDecision::default()).await?;
    metrics::counter!("wingbridge_relays_served", "result" => "accepted").increment(1);
    serve_relayed(stream, accepted, context).await;
    Ok(())
}

/// Returns the message about the end of a relayed request, which precedes its answer.
pub(crate) fn relay_result(outcome: CallerOutcome, totals: AttemptTotals) -> RelayResult {
    let AttemptTotals { possible_runs, deliveries } = totals;
    RelayResult { outcome: encode_outcome(outcome).into(), possible_runs, deliveries }
}

/// Plans the request of a peer by the configuration of this box.
///
/// # Errors
/// Returns the reason why this box does not handle it.
fn accept(context: &BoxContext, request: &RelayRequest) -> Result<AcceptedRelay, &'static str> {
    let now = Instant::now();
    let deadline = later(now, Duration::from_millis(request.remaining_ms));
    let service = Name::from(request.service.as_str());
    // A box that stops handles what it would accept from a caller of its own; it may be the last one with paths.
    if context.stopping.is_closing() || context.stop_refuses(deadline) {
        return Err("it ends before it could answer");
    }
    if context.stopping.open_connections() >= context.settings.max_connections {
        return Err("it has too many connections");
    }
    if context.paths.is_lost(&service) {
        return Err("it has no paths either");
    }
    let config = context.config().ok_or("it has no configuration")?;
    let found = config.find(&request.host, &request.path).cloned();
    let route = found.ok_or("its configuration has no such route")?;
    if !route.services.iter().any(|known| **known == *service) {
        return Err("in its configuration the route leads elsewhere");
    }
    let key = presented_key(request)?;
    let AccessDecision::Allowed(customer) = config.authorize(&route, key) else {
        return Err("its configuration does not allow the request");
    };
    let homes_of_peer = homes_of_peer(request);
    let own_homes = route.home_regions_for(customer.as_deref());
    let homes = common_homes(homes_of_peer.as_ref(), own_homes.as_ref());
    let own_region = context.settings.region_of(&context.settings.data_centre);
    if homes.as_ref().is_some_and(|homes| !homes.contains(&own_region)) {
        return Err("it is in none of the regions of the request");
    }
    let policy = PolicyPlan {
        repeatable: request.repeatable,
        max_attempts: request.max_attempts,
        ..PolicyPlan::for_service(&request.service)
    };
    let rank = route.priority_for(customer.as_deref());
    let received_at =
        now.checked_sub(Duration::from_millis(request.age_ms)).ok_or("its age is impossible")?;
    Ok(AcceptedRelay {
        box_id: request.box_id.clone(),
        plan: RequestPlan {
            config,
            key,
            customer,
            route,
            service,
            policy,
            homes,
            homes_of_peer,
            rank,
            deadline,
        },
        totals: AttemptTotals {
            possible_runs: request.possible_runs,
            deliveries: request.deliveries,
        },
        due_return: request.due_return,
        received_at,
        asked_to_end: ReadyLatch::default(),
    })
}

/// Returns the regions in which a request may be served by the configuration of the box that accepted it; `None` for all.
fn homes_of_peer(request: &RelayRequest) -> Option<Arc<[Name]>> {
    let homes = request.homes.iter().map(|home| Name::from(home.as_str()));
    request.has_homes.then(|| homes.collect())
}

fn presented_key(request: &RelayRequest) -> Result<PresentedKey, &'static str> {
    if request.key_digest.is_empty() {
        return Ok(PresentedKey::Absent);
    }
    let digest = <[u8; 32]>::try_from(&request.key_digest[..]);
    let digest = digest.map_err(|_| "the digest of its key is malformed")?;
    Ok(PresentedKey::Digest(KeyDigest::from_bytes(digest)))
}
