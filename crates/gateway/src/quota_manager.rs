//! Admission of requests by customers' quotas.
//!
//! A request that is admitted takes a token of its customer. Boxes request tokens from the coordinator of the
//! customer's quota, and callers' requests wait for them for a short time. This module also answers other boxes for
//! the quotas that this box coordinates. The decisions are in `wingbridge_decide::quota`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use wingbridge_decide::Name;
use wingbridge_decide::names::stable_hash;
use wingbridge_decide::quota::{
    Admission, CoordinatorRole, CoordinatorStatus, DueRequest, QuotaCoordinator, QuotaLimit,
    QuotaSlack, TokenAccounts, TokenGrant, TokenRequest, TokenRequester,
};
use wingbridge_decide::time::TimePoint;
use wingbridge_wire::gossip::{TokenGrantMessage, TokenMessage, TokenRequestMessage};

use crate::context::{BoxContext, lock, millis};
use crate::customers::Customer;
use crate::gossip::Gossip;
use crate::peers::CoordinatorLocation;

/// Maximum time for which a request waits for a token. It is long enough to request tokens from the coordinator and
/// then from its standby.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of requests of one customer that wait for tokens. Further requests would not get a token in time.
const MAX_WAITING: usize = 64;
/// Minimum retry time in the answer to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time to wait while no token request is due. A wakeup ends it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(30);
/// Number of millionths in a share of 1. Messages between boxes contain shares in millionths.
const PPM: f64 = 1e6;

/// The refusal of a request beyond its customer's quota. No part of the request is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BeyondQuota {
    /// Time after which a token may be available.
    pub(crate) retry_after: Duration,
    /// Whether this box reaches neither the coordinator nor its standby, so that it decided by its own share of the
    /// quota.
    pub(crate) is_cut_off: bool,
}

/// Admits requests by their customers' quotas, and coordinates the quotas assigned to this box.
#[derive(Debug)]
pub(crate) struct QuotaManager {
    state: Mutex<ManagerState>,
    wake: Sender<()>,
}

/// The result of an attempt to admit a request.
enum AdmitResult {
    Admitted,
    Refused(Duration),
    /// The request has to wait. The channel yields when tokens of its customer arrive.
    Waits(Receiver<()>),
}

#[derive(Debug)]
struct ManagerState {
    accounts: TokenAccounts,
    coordinator: QuotaCoordinator,
    /// Channels that wake the requests that wait for tokens, by customer.
    waiting: HashMap<Name, Vec<Sender<()>>>,
}

impl QuotaManager {
    /// Creates a manager, and the channel on which it requests that due token requests are sent.
    pub(crate) fn new(slack: QuotaSlack) -> (QuotaManager, Receiver<()>) {
        let (wake, wakeups) = async_channel::bounded(1);
        let state = ManagerState {
            accounts: TokenAccounts::default(),
            coordinator: QuotaCoordinator::new(TimePoint::default(), slack),
            waiting: HashMap::new(),
        };
        (QuotaManager { state: Mutex::new(state), wake }, wakeups)
    }

    /// Admits a request of `customer`. It waits for a token until `until` at most.
    ///
    /// # Errors
    ///
    /// The request is beyond the quota of its customer.
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
        let until = until.min(Instant::now() + MAX_TOKEN_WAIT);
        let mut result = self.try_admit(context, name, limit, true);
        loop {
            // If the channel is full, a wakeup is already pending.
            let _ = self.wake.try_send(());
            let tokens = match result {
                AdmitResult::Admitted => return Ok(()),
                AdmitResult::Refused(retry_after) => {
                    return Err(self.beyond_quota(name, retry_after));
                }
                AdmitResult::Waits(tokens) => tokens,
            };
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(self.beyond_quota(name, MIN_RETRY_AFTER));
            }
            // After a time-out there is one more attempt before the request is refused.
            let _ = timeout(remaining, tokens.recv()).await;
            result = self.try_admit(context, name, limit, false);
        }
    }

    /// Tries to admit a request. A request that has to wait is registered under the same lock, so that it misses no
    /// tokens.
    fn try_admit(
        &self,
        context: &BoxContext,
        name: &Name,
        limit: QuotaLimit,
        is_new: bool,
    ) -> AdmitResult {
        let mut state = lock(&self.state);
        let ManagerState { accounts, waiting, .. } = &mut *state;
        let now = context.now();
        let admission = if is_new {
            accounts.admit(now, name, limit)
        } else {
            accounts.admit_waiting(now, name, limit)
        };
        match admission {
            Admission::Admitted => return AdmitResult::Admitted,
            Admission::Refused(retry_after) => return AdmitResult::Refused(retry_after),
            Admission::Wait => {}
        }
        let waiting = waiting.entry(name.clone()).or_default();
        waiting.retain(|waiting| !waiting.is_closed());
        if waiting.len() >= MAX_WAITING {
            return AdmitResult::Refused(MIN_RETRY_AFTER);
        }
        let (wake, tokens) = async_channel::bounded(1);
        waiting.push(wake);
        AdmitResult::Waits(tokens)
    }

    /// Refunds the token of an admitted request that no target executed.
    pub(crate) fn refund(&self, context: &BoxContext, customer: &Customer) {
        if customer.quota.is_some() {
            lock(&self.state).accounts.refund(context.now(), &customer.name);
        }
    }

    /// Charges another token for an admitted request that is sent again.
    pub(crate) fn charge(&self, customer: &Customer) {
        if customer.quota.is_some() {
            lock(&self.state).accounts.charge(&customer.name);
            // If the channel is full, a wakeup is already pending.
            let _ = self.wake.try_send(());
        }
    }

    /// Sends token requests as they are due, until the channel `wakeups` is closed.
    pub(crate) async fn run(context: Arc<BoxContext>, gossip: Arc<Gossip>, wakeups: Receiver<()>) {
        loop {
            let manager = &context.quotas;
            let due = manager.due_requests(&context);
            let own = token_requester(&context.settings.box_id, gossip.incarnation());
            for (host, message) in manager.group_by_coordinator(&context, own, due) {
                gossip.send_tokens(host, message).await;
            }
            let next = lock(&manager.state).accounts.next_due(context.now());
            let wait = next.map_or(IDLE_WAIT, |next| next.since(context.now()));
            if let Ok(Err(_)) = timeout(wait, wakeups.recv()).await {
                return;
            }
        }
    }

    /// Handles the grants and token requests of a peer. Returns the grants that answer its requests.
    pub(crate) fn handle_message(
        &self,
        context: &BoxContext,
        peer: TokenRequester,
        message: &TokenMessage,
    ) -> Option<TokenMessage> {
        for grant in &message.grants {
            let customer: Name = grant.customer.as_str().into();
            self.apply_grant(context, &customer, &decode_grant(grant));
        }
        let grants = message.requests.iter().filter_map(|request| {
            let customer: Name = request.customer.as_str().into();
            let grant = self.answer(context, peer, &customer, &decode_request(request))?;
            Some(encode_grant(&customer, &grant))
        });
        let grants: Vec<TokenGrantMessage> = grants.collect();
        (!grants.is_empty()).then(|| TokenMessage { requests: Vec::new(), grants })
    }

    /// Records that a peer announced that it is stopping.
    pub(crate) fn record_box_stopped(&self, peer: TokenRequester) {
        lock(&self.state).coordinator.record_box_stopped(peer);
    }

    fn due_requests(&self, context: &BoxContext) -> Vec<DueRequest> {
        let now = context.now();
        let boxes = context.core().fleet_size(now);
        let mut state = lock(&self.state);
        state.accounts.set_boxes(boxes);
        state.accounts.remove_idle(now);
        state.coordinator.remove_idle(now);
        state.accounts.due_requests(now)
    }

    /// Groups token requests by the host of their coordinator. Requests to this box itself are answered at once.
    fn group_by_coordinator(
        &self,
        context: &BoxContext,
        own: TokenRequester,
        due: Vec<DueRequest>,
    ) -> HashMap<IpAddr, TokenMessage> {
        let mut sorted: HashMap<IpAddr, TokenMessage> = HashMap::new();
        for DueRequest { customer, rank, request } in due {
            let coordinators = context.peers().coordinators(&customer);
            let location =
                if rank == 0 { Some(coordinators.primary) } else { coordinators.standby };
            match location {
                Some(CoordinatorLocation::Peer(host)) => {
                    sorted
                        .entry(host)
                        .or_default()
                        .requests
                        .push(encode_request(&customer, &request));
                }
                Some(CoordinatorLocation::Own) => {
                    if let Some(grant) = self.answer(context, own, &customer, &request) {
                        self.apply_grant(context, &customer, &grant);
                    }
                }
                // Without a standby the request is not sent, and counts as unanswered after its timeout.
                None => {}
            }
        }
        sorted
    }

    /// Returns the grant of this box as a coordinator, `None` if its configuration has no quota for the customer.
    fn answer(
        &self,
        context: &BoxContext,
        requester: TokenRequester,
        customer: &Name,
        request: &TokenRequest,
    ) -> Option<TokenGrant> {
        let limit = context.config()?.quota_of(customer)?;
        let (primary, reaches_all) = {
            let peers = context.peers();
            (peers.coordinators(customer).primary, peers.reaches_all(Instant::now()))
        };
        let role = match primary {
            CoordinatorLocation::Own => CoordinatorRole::Primary,
            CoordinatorLocation::Peer(_) => CoordinatorRole::Standby,
        };
        let status = CoordinatorStatus { role, reaches_all };
        let now = context.now();
        Some(lock(&self.state).coordinator.answer(now, requester, customer, limit, request, status))
    }

    fn apply_grant(&self, context: &BoxContext, customer: &Name, grant: &TokenGrant) {
        let mut state = lock(&self.state);
        state.accounts.apply_grant(context.now(), customer, grant);
        // Each waiting request checks whether there is a token for it. Its channel holds one wakeup.
        for waiting in state.waiting.remove(customer).unwrap_or_default() {
            let _ = waiting.try_send(());
        }
    }

    fn beyond_quota(&self, customer: &Name, retry_after: Duration) -> BeyondQuota {
        let is_cut_off = lock(&self.state).accounts.is_cut_off(customer);
        BeyondQuota { retry_after: retry_after.max(MIN_RETRY_AFTER), is_cut_off }
    }
}

/// Returns the identity under which coordinators of quotas keep the state of a box.
pub(crate) fn token_requester(box_id: &str, incarnation: u64) -> TokenRequester {
    TokenRequester { box_key: stable_hash(box_id), incarnation }
}

fn encode_request(customer: &Name, request: &TokenRequest) -> TokenRequestMessage {
    TokenRequestMessage {
        customer: customer.to_string(),
        number: request.number,
        debt: request.debt,
        unused: request.unused,
        wanted: request.wanted,
        share_ppm: to_ppm(request.share),
        is_share_assigned: request.is_share_assigned,
    }
}

fn decode_request(request: &TokenRequestMessage) -> TokenRequest {
    let TokenRequestMessage { number, debt, unused, wanted, share_ppm, is_share_assigned, .. } =
        *request;
    TokenRequest { number, debt, unused, wanted, share: from_ppm(share_ppm), is_share_assigned }
}

fn encode_grant(customer: &Name, grant: &TokenGrant) -> TokenGrantMessage {
    TokenGrantMessage {
        customer: customer.to_string(),
        number: grant.number,
        granted: grant.granted,
        scarce: grant.scarce,
        wait_ms: u32::try_from(millis(grant.wait)).unwrap_or(u32::MAX),
        share_ppm: to_ppm(grant.share),
    }
}

fn decode_grant(grant: &TokenGrantMessage) -> TokenGrant {
    let TokenGrantMessage { number, granted, scarce, wait_ms, share_ppm, .. } = *grant;
    let wait = Duration::from_millis(wait_ms.into());
    TokenGrant { number, granted, scarce, wait, share: from_ppm(share_ppm) }
}

fn to_ppm(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * PPM) as u32
}

fn from_ppm(share: u32) -> f64 {
    (f64::from(share) / PPM).min(1.0)
}
