//! Requests for retry credit to peers of the data centre, and the replies to theirs.
//!
//! No request of a caller waits for credit: a box asks as soon as it holds little, so that the credit is there before
//! the next retry. A message that is lost costs the sender what it gave up, and nothing else.

use std::sync::Arc;

use async_channel::Receiver;
use wingbridge_decide::steer::retry_share::{CreditGrant, CreditRequest};
use wingbridge_wire::retries::{RetryCreditAmount, RetryCreditMessage};

use crate::context::BoxContext;
use crate::gossip::Gossip;

/// Thousandths of a retry in a retry.
const THOUSANDTHS: f64 = 1000.0;

/// Sends the requests for credit that are due whenever `wakeups` yields, until that channel is closed.
pub(crate) async fn request_credits(
    context: Arc<BoxContext>,
    gossip: Arc<Gossip>,
    wakeups: Receiver<()>,
) {
    while wakeups.recv().await.is_ok() {
        let hosts = context.peers().local_incarnations();
        let peers: Vec<u64> = hosts.keys().copied().collect();
        let due = context.core().due_credit_requests(context.now(), &peers);
        for (peer, CreditRequest { service, number, amount }) in due {
            let request = encode_amount(&service, number, amount);
            let message = RetryCreditMessage { requests: vec![request], grants: Vec::new() };
            metrics::counter!("wingbridge_retry_credit_requests").increment(1);
            gossip.send_credits(hosts[&peer], message).await;
        }
    }
}

/// Records the credit that a peer gives up for this box. Returns the replies to the peer's requests.
pub(crate) fn handle_credits(
    context: &BoxContext,
    message: &RetryCreditMessage,
) -> Option<RetryCreditMessage> {
    let now = context.now();
    let mut core = context.core();
    for RetryCreditAmount { service, number, thousandths } in &message.grants {
        let amount = f64::from(*thousandths) / THOUSANDTHS;
        let service = service.as_str().into();
        core.record_credit(now, &CreditGrant { service, number: *number, amount });
    }
    let reply = |request: &RetryCreditAmount| {
        let RetryCreditAmount { service, number, thousandths } = request;
        let amount = f64::from(*thousandths) / THOUSANDTHS;
        let request = CreditRequest { service: service.as_str().into(), number: *number, amount };
        let CreditGrant { service, number, amount } = core.lend_credit(now, &request);
        encode_amount(&service, number, amount)
    };
    let grants: Vec<RetryCreditAmount> = message.requests.iter().map(reply).collect();
    drop(core);
    if !message.grants.is_empty() {
        // More may be wanted, also of other peers.
        context.want_credit();
    }
    (!grants.is_empty()).then(|| RetryCreditMessage { requests: Vec::new(), grants })
}

/// Encodes an amount, rounded down, so that what is borrowed is never more than what was lent.
fn encode_amount(service: &str, number: u64, amount: f64) -> RetryCreditAmount {
    let thousandths = (amount.max(0.0) * THOUSANDTHS).floor() as u32;
    RetryCreditAmount { service: service.to_string(), number, thousandths }
}
