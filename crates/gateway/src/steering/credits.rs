//! Requests for retry credit to peers of the data centre, and the replies to theirs.
//!
//! A retry that lacks credit waits for moments: a round trip within a data centre takes less than a millisecond, and
//! without the retry the request is lost. A message that is lost costs the sender what it gave up, and nothing else.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use wingbridge_decide::steer::RetryUse;
use wingbridge_decide::steer::ledger::RetryVerdict;
use wingbridge_decide::steer::retry_share::{CreditGrant, CreditRequest};
use wingbridge_wire::retries::{RetryCreditAmount, RetryCreditMessage};

use crate::context::{BoxContext, lock};
use crate::gossip::Gossip;

/// Thousandths of a retry in a retry.
const THOUSANDTHS: f64 = 1000.0;
/// Time for which a retry waits for credit at most. Some peers may have none, and a busy one replies some tens of
/// milliseconds late.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(80);
/// Time after which a waiting retry has the next peer asked if the last one does not reply.
const CREDIT_POLL: Duration = Duration::from_millis(20);

/// Connects the retries that lack credit with the task that asks peers for it.
#[derive(Debug)]
pub(crate) struct CreditExchange {
    wanted: Sender<()>,
    /// Retries that wait for credit.
    waiting: Mutex<Vec<Sender<()>>>,
}

impl CreditExchange {
    /// Creates the exchange, and the channel that wakes the task which asks peers.
    pub(crate) fn new() -> (CreditExchange, Receiver<()>) {
        let (wanted, wakeups) = async_channel::bounded(1);
        (CreditExchange { wanted, waiting: Mutex::default() }, wakeups)
    }

    /// Has peers asked for the credit that retries lack.
    fn want_credit(&self) {
        // If the channel is full, a notification is already pending.
        let _ = self.wanted.try_send(());
    }

    /// Returns a channel that yields once a peer has replied, or none is left to be asked.
    fn next_change(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiting = lock(&self.waiting);
        waiting.retain(|other| !other.is_closed());
        waiting.push(sender);
        receiver
    }

    fn notify(&self) {
        for waiting in lock(&self.waiting).drain(..) {
            // The request may have ended meanwhile.
            let _ = waiting.try_send(());
        }
    }
}

/// Takes a retry from the budget that all boxes share, before `deadline`. Returns false if there is none. If this box
/// lacks credit for it, this waits for the peers that may have some.
pub(crate) async fn spend_retry(context: &BoxContext, service: &str, deadline: Instant) -> bool {
    let until = deadline.min(Instant::now() + MAX_CREDIT_WAIT);
    loop {
        match context.core().decide_retry(context.now(), service, RetryUse::Repeat) {
            RetryVerdict::Allowed => return true,
            RetryVerdict::Refused => return false,
            RetryVerdict::Lacking => {}
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let change = context.credits.next_change();
        context.credits.want_credit();
        // Whether a peer has replied or not: what this box holds is looked at again.
        let _ = timeout(remaining.min(CREDIT_POLL), change.recv()).await;
    }
}

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
        for (peer, CreditRequest { service, number, amount }) in due.requests {
            let request = encode_amount(&service, number, amount);
            let message = RetryCreditMessage { requests: vec![request], grants: Vec::new() };
            metrics::counter!("wingbridge_retry_credit_requests").increment(1);
            gossip.send_credits(hosts[&peer], message).await;
        }
        if due.is_exhausted {
            context.credits.notify();
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
        context.credits.notify();
    }
    (!grants.is_empty()).then(|| RetryCreditMessage { requests: Vec::new(), grants })
}

/// Encodes an amount, rounded down, so that what is borrowed is never more than what was lent.
fn encode_amount(service: &str, number: u64, amount: f64) -> RetryCreditAmount {
    let thousandths = (amount.max(0.0) * THOUSANDTHS).floor() as u32;
    RetryCreditAmount { service: service.to_string(), number, thousandths }
}
