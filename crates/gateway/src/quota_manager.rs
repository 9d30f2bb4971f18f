//! Customers' quotas at this box: requests that wait for credit, asks to keepers, and what this box
//! keeps for others. The decisions are in `wingbridge_decide::quota`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use wingbridge_decide::Name;
use wingbridge_decide::names::stable_hash;
use wingbridge_decide::quota::{
    Admission, CoordinatorRole, CoordinatorStatus, DueRequest, QuotaCoordinator, QuotaGrant,
    QuotaLimit, QuotaRequest, QuotaRequester, QuotaSlack, TokenAccounts,
};
use wingbridge_decide::time::TimePoint;
use wingbridge_wire::gossip::{TokenGrant, TokenMessage, TokenRequest};

use crate::context::{BoxContext, lock, millis};
use crate::customers::Customer;
use crate::gossip::Gossip;
use crate::peers::CoordinatorSeat;

/// A request waits for credit this long at most: both keepers can be asked within it.
const CREDIT_WAIT: Duration = Duration::from_millis(250);
/// Requests of one customer that wait for credit at most. What is above has no prospect of any.
const WAITING_MOST: usize = 64;
/// A refused caller is told to stay away this long at least.
const RETRY_LEAST: Duration = Duration::from_millis(300);
/// Wait while no ask is open: a notice ends it.
const IDLE_WAIT: Duration = Duration::from_secs(30);
/// Shares go between boxes in millionths.
const PPM: f64 = 1e6;

/// A request beyond its customer's quota: nothing of it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BeyondQuota {
    /// When there may be credit.
    pub(crate) retry_after: Duration,
    /// Whether this box decided it without a keeper.
    pub(crate) alone: bool,
}

/// Admits requests by their customers' quotas.
#[derive(Debug)]
pub(crate) struct QuotaManager {
    state: Mutex<DeskState>,
    wake: Sender<()>,
}

/// What became of a look for credit.
enum Asked {
    Admitted,
    Refused(Duration),
    /// News of its customer's credit come here.
    Waits(Receiver<()>),
}

#[derive(Debug)]
struct DeskState {
    book: TokenAccounts,
    keeper: QuotaCoordinator,
    waiting: HashMap<Name, Vec<Sender<()>>>,
}

impl QuotaManager {
    /// A desk, and where it asks to have its asks sent.
    pub(crate) fn new(slack: QuotaSlack) -> (QuotaManager, Receiver<()>) {
        let (wake, notices) = async_channel::bounded(1);
        let state = DeskState {
            book: TokenAccounts::default(),
            keeper: QuotaCoordinator::new(TimePoint::default(), slack),
            waiting: HashMap::new(),
        };
        (QuotaManager { state: Mutex::new(state), wake }, notices)
    }

    /// Admits a request of `customer`, which waits for credit until `until` at most.
    pub(crate) async fn admit(
        &self,
        context: &BoxContext,
        customer: &Customer,
        until: Instant,
    ) -> Result<(), BeyondQuota> {
        let Some(limit) = customer.quota else {
            return Ok(());
        };
        let name = &customer.name;
        let until = until.min(Instant::now() + CREDIT_WAIT);
        let mut asked = self.ask(context, name, limit, true);
        loop {
            // Full: a notice already waits.
            let _ = self.wake.try_send(());
            let news = match asked {
                Asked::Admitted => return Ok(()),
                Asked::Refused(retry_after) => return Err(self.beyond(name, retry_after)),
                Asked::Waits(news) => news,
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.beyond(name, RETRY_LEAST));
            }
            // Late: it is looked up once more, and refused then.
            let _ = timeout(left, news.recv()).await;
            asked = self.ask(context, name, limit, false);
        }
    }

    /// Whether a request may go on; one that can't yet is noted for news in the same step, so that
    /// none are missed.
    fn ask(&self, context: &BoxContext, name: &Name, limit: QuotaLimit, is_new: bool) -> Asked {
        let mut state = lock(&self.state);
        let DeskState { book, waiting, .. } = &mut *state;
        let now = context.now();
        let admission = if is_new {
            book.admit(now, name, limit)
        } else {
            book.admit_waiting(now, name, limit)
        };
        match admission {
            Admission::Admitted => return Asked::Admitted,
            Admission::Refused(retry_after) => return Asked::Refused(retry_after),
            Admission::Wait => {}
        }
        let waiting = waiting.entry(name.clone()).or_default();
        waiting.retain(|waiting| !waiting.is_closed());
        if waiting.len() >= WAITING_MOST {
            return Asked::Refused(RETRY_LEAST);
        }
        let (news, waits) = async_channel::bounded(1);
        waiting.push(news);
        Asked::Waits(waits)
    }

    /// An admitted request ran nowhere.
    pub(crate) fn refund(&self, context: &BoxContext, customer: &Customer) {
        if customer.quota.is_some() {
            lock(&self.state).book.refund(context.now(), &customer.name);
        }
    }

    /// An admitted request may run once more.
    pub(crate) fn charge(&self, customer: &Customer) {
        if customer.quota.is_some() {
            lock(&self.state).book.charge(&customer.name);
            // Full: a notice already waits.
            let _ = self.wake.try_send(());
        }
    }

    /// Sends asks as they are due, until the ring of notices closes.
    pub(crate) async fn run(context: Arc<BoxContext>, gossip: Arc<Gossip>, notices: Receiver<()>) {
        loop {
            let desk = &context.quotas;
            let due = desk.due_asks(&context);
            let own = quota_requester(&context.settings.box_id, gossip.incarnation());
            for (host, news) in desk.sort_asks(&context, own, due) {
                gossip.send_tokens(host, news).await;
            }
            let next = lock(&desk.state).book.next_due(context.now());
            let wait = next.map_or(IDLE_WAIT, |next| next.since(context.now()));
            if let Ok(Err(_)) = timeout(wait, notices.recv()).await {
                return;
            }
        }
    }

    /// Takes what the box at `host` asks and grants; returns the answers to it.
    pub(crate) fn handle_message(
        &self,
        context: &BoxContext,
        peer: QuotaRequester,
        news: &TokenMessage,
    ) -> Option<TokenMessage> {
        for grant in &news.grants {
            let customer: Name = grant.customer.as_str().into();
            self.take_grant(context, &customer, &decode_grant(grant));
        }
        let grants = news.requests.iter().filter_map(|ask| {
            let customer: Name = ask.customer.as_str().into();
            let grant = self.answer(context, peer, &customer, &decode_ask(ask))?;
            Some(encode_grant(&customer, &grant))
        });
        let grants: Vec<TokenGrant> = grants.collect();
        (!grants.is_empty()).then(|| TokenMessage { requests: Vec::new(), grants })
    }

    /// A peer ends as planned.
    pub(crate) fn record_box_stopped(&self, peer: QuotaRequester) {
        lock(&self.state).keeper.record_box_stopped(peer);
    }

    fn due_asks(&self, context: &BoxContext) -> Vec<DueRequest> {
        let boxes = context.peers().boxes();
        let now = context.now();
        let mut state = lock(&self.state);
        state.book.set_boxes(boxes);
        state.book.remove_idle(now);
        state.keeper.remove_idle(now);
        state.book.due_requests(now)
    }

    /// Asks for other boxes, by their hosts. Those that this box keeps are answered at once.
    fn sort_asks(
        &self,
        context: &BoxContext,
        own: QuotaRequester,
        due: Vec<DueRequest>,
    ) -> HashMap<IpAddr, TokenMessage> {
        let mut sorted: HashMap<IpAddr, TokenMessage> = HashMap::new();
        for DueRequest { customer, rank, request } in due {
            let coordinators = context.peers().coordinators(&customer);
            let seat = if rank == 0 { Some(coordinators.primary) } else { coordinators.standby };
            match seat {
                Some(CoordinatorSeat::Peer(host)) => {
                    sorted.entry(host).or_default().requests.push(encode_ask(&customer, &request));
                }
                Some(CoordinatorSeat::Own) => {
                    if let Some(grant) = self.answer(context, own, &customer, &request) {
                        self.take_grant(context, &customer, &grant);
                    }
                }
                // It is late by its time then.
                None => {}
            }
        }
        sorted
    }

    /// What this box grants as a keeper; `None` if its configuration knows no such limit.
    fn answer(
        &self,
        context: &BoxContext,
        asker: QuotaRequester,
        customer: &Name,
        ask: &QuotaRequest,
    ) -> Option<QuotaGrant> {
        let limit = context.config()?.quota_of(customer)?;
        let (first, reaches_all) = {
            let peers = context.peers();
            (peers.coordinators(customer).primary, peers.reaches_all(Instant::now()))
        };
        let role = match first {
            CoordinatorSeat::Own => CoordinatorRole::Primary,
            CoordinatorSeat::Peer(_) => CoordinatorRole::Standby,
        };
        let status = CoordinatorStatus { role, reaches_all };
        let now = context.now();
        Some(lock(&self.state).keeper.answer(now, asker, customer, limit, ask, status))
    }

    fn take_grant(&self, context: &BoxContext, customer: &Name, grant: &QuotaGrant) {
        let mut state = lock(&self.state);
        state.book.apply_grant(context.now(), customer, grant);
        // Each looks for itself whether there is enough; the ring has room for one notice.
        for waiting in state.waiting.remove(customer).unwrap_or_default() {
            let _ = waiting.try_send(());
        }
    }

    fn beyond(&self, customer: &Name, retry_after: Duration) -> BeyondQuota {
        let alone = lock(&self.state).book.is_cut_off(customer);
        BeyondQuota { retry_after: retry_after.max(RETRY_LEAST), alone }
    }
}

/// A box as keepers of credit know it.
pub(crate) fn quota_requester(box_id: &str, incarnation: u64) -> QuotaRequester {
    QuotaRequester { box_key: stable_hash(box_id), incarnation }
}

fn encode_ask(customer: &Name, ask: &QuotaRequest) -> TokenRequest {
    TokenRequest {
        customer: customer.to_string(),
        number: ask.number,
        debt: ask.debt,
        unused: ask.unused,
        wanted: ask.wanted,
        share_ppm: as_ppm(ask.share),
        is_share_assigned: ask.is_share_assigned,
    }
}

fn decode_ask(ask: &TokenRequest) -> QuotaRequest {
    let TokenRequest { number, debt, unused, wanted, share_ppm, is_share_assigned, .. } = *ask;
    QuotaRequest { number, debt, unused, wanted, share: from_ppm(share_ppm), is_share_assigned }
}

fn encode_grant(customer: &Name, grant: &QuotaGrant) -> TokenGrant {
    TokenGrant {
        customer: customer.to_string(),
        number: grant.number,
        granted: grant.granted,
        scarce: grant.scarce,
        wait_ms: u32::try_from(millis(grant.wait)).unwrap_or(u32::MAX),
        share_ppm: as_ppm(grant.share),
    }
}

fn decode_grant(grant: &TokenGrant) -> QuotaGrant {
    let TokenGrant { number, granted, scarce, wait_ms, share_ppm, .. } = *grant;
    let wait = Duration::from_millis(wait_ms.into());
    QuotaGrant { number, granted, scarce, wait, share: from_ppm(share_ppm) }
}

fn as_ppm(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * PPM) as u32
}

fn from_ppm(share: u32) -> f64 {
    (f64::from(share) / PPM).min(1.0)
}
