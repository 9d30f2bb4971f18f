//! Permits to send requests to targets that announced a limit.
//!
//! Each such target has one coordinator among the boxes, from which all boxes request permits. This module sends the
//! requests of this box, and answers the requests of other boxes for the targets that this box coordinates. The
//! decisions are in `wingbridge_decide::permits`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use wingbridge_decide::TargetKey;
use wingbridge_decide::permits::{FallbackShare, PermitAnswer, PermitCoordinator};
use wingbridge_decide::steer::{RequestRate, SteerPick};
use wingbridge_wire::limits::{PermitMessage, PermitReply, PermitRequest};

use crate::context::{BoxContext, lock, millis};
use crate::gossip::Gossip;
use crate::limit_reports::{limit_of, merge_limit};
use crate::peers::CoordinatorLocation;

/// Time after which a request for a permit without a reply is given up. A round trip takes some milliseconds, and
/// busy boxes with a tenth of a core reply some tens of milliseconds late.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a box that did not reply is not asked again, so that only one request within this time waits in
/// vain.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(1);
/// Time after the start during which a box neither coordinates permits nor requests any. Until it has learned of the
/// other boxes, it would act as the coordinator of all targets.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of boxes that are queried for one permit: the coordinator in this box's view, and the one to which
/// it redirects.
const MAX_QUERIED_BOXES: usize = 2;
/// Maximum number of datagrams that wait to be sent.
const MAX_OUTGOING: usize = 64;
/// Number of entries at which obsolete ones are removed, for each of the tables of fallback shares, unresponsive
/// boxes and open requests.
const CLEANUP_THRESHOLD: usize = 1024;

/// The box that permitted a request to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitSource {
    /// The coordinator of the target's permits.
    Coordinator,
    /// This box alone, within its fallback share, while no coordinator replies.
    OwnShare,
}

/// A permit for one request to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendPermit {
    /// Limit under which the permit was granted. The permit is void under a lower limit.
    pub(crate) limit: RequestRate,
    pub(crate) source: PermitSource,
}

/// The error if no permit is available. The target is then ineligible until its retry time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoPermit;

/// Whether a request may wait for the reply of a coordinator.
///
/// A request waits in vain at most once. If several boxes have stopped, it would otherwise go from one unresponsive
/// coordinator to the next, and be refused long after it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum CoordinatorWait {
    /// No coordinator has been unresponsive so far.
    #[default]
    Allowed,
    /// The request has waited for an unresponsive coordinator.
    Spent,
}

/// Requests permits for this box, and grants permits for the targets that it coordinates.
#[derive(Debug)]
pub(crate) struct PermitManager {
    state: Mutex<ManagerState>,
    outgoing: Sender<(IpAddr, PermitMessage)>,
}

#[derive(Debug, Default)]
struct ManagerState {
    coordinator: PermitCoordinator,
    /// Number of the last permit request of this box.
    last_number: u64,
    /// Callers' requests that wait for a reply, by the number of the permit request.
    waiting: HashMap<u64, Sender<PeerReply>>,
    /// The fallback shares: the requests that this box may send while no coordinator replies.
    shares: HashMap<TargetKey, FallbackShare>,
    /// Boxes that did not reply, with the time until which they are not asked.
    unresponsive: HashMap<IpAddr, Instant>,
}

/// The reply of a box that was asked for a permit.
#[derive(Debug, Clone, Copy)]
enum PeerReply {
    Answer(PermitAnswer),
    /// The box is not the coordinator. The address is that of the coordinator in its view, if it has determined one.
    Redirected(Option<IpAddr>),
}

impl PermitManager {
    /// Creates a manager, and the channel of the messages that it sends.
    pub(crate) fn new() -> (PermitManager, Receiver<(IpAddr, PermitMessage)>) {
        let (outgoing, messages) = async_channel::bounded(MAX_OUTGOING);
        (PermitManager { state: Mutex::default(), outgoing }, messages)
    }

    /// Acquires a permit to send a request to `pick`, which has the limit `rate`. Waits for the coordinator's reply,
    /// but never until a permit becomes available.
    ///
    /// # Errors
    ///
    /// No permit is available now.
    pub(crate) async fn acquire(
        &self,
        context: &BoxContext,
        pick: &SteerPick,
        rate: RequestRate,
        wait: &mut CoordinatorWait,
    ) -> Result<SendPermit, NoPermit> {
        let coordinated = match self.coordinator_of(context, pick) {
            Some(CoordinatorLocation::Own) => {
                Some(self.answer_as_coordinator(context, pick.key, rate))
            }
            Some(CoordinatorLocation::Peer(host)) if *wait == CoordinatorWait::Allowed => {
                self.query_coordinator(context, host, pick.key, wait).await
            }
            _ => None,
        };
        let (answer, source) = match coordinated {
            Some(answer) => {
                lock(&self.state).shares.remove(&pick.key);
                (answer, PermitSource::Coordinator)
            }
            None => (self.acquire_fallback(context, pick.key, rate), PermitSource::OwnShare),
        };
        match answer {
            PermitAnswer::Granted => Ok(SendPermit { limit: rate, source }),
            PermitAnswer::Denied(wait) => {
                let by = source.as_str();
                log::info!(
                    target:% = pick.id, per_second:% = rate, cold = pick.is_cold, by,
                    wait_ms = millis(wait);
                    "permit-denied"
                );
                metrics::counter!("wingbridge_permits_denied", "by" => by).increment(1);
                context.core().record_no_permit_until(pick.key, context.now() + wait);
                Err(NoPermit)
            }
        }
    }

    /// Sends the messages of a manager until their channel is closed.
    pub(crate) async fn run(gossip: Arc<Gossip>, messages: Receiver<(IpAddr, PermitMessage)>) {
        while let Ok((host, message)) = messages.recv().await {
            gossip.send_permits(host, message).await;
        }
    }

    /// Handles the replies and requests of a peer. Returns the replies to its requests.
    pub(crate) fn handle_message(
        &self,
        context: &BoxContext,
        peer: &str,
        message: &PermitMessage,
    ) -> Option<PermitMessage> {
        for reply in &message.replies {
            if let Some(limit) = &reply.limit {
                merge_limit(context, limit, peer);
            }
            // The caller's request may have ended, in which case its permit is lost.
            if let Some(waiting) = lock(&self.state).waiting.remove(&reply.number) {
                let _ = waiting.try_send(decode_reply(reply));
            }
        }
        let replies = message.requests.iter().map(|request| self.reply(context, peer, request));
        let replies: Vec<PermitReply> = replies.collect();
        (!replies.is_empty()).then(|| PermitMessage { requests: Vec::new(), replies })
    }

    /// Returns the coordinator of a target's permits, `None` until this box has learned of the other boxes.
    fn coordinator_of(
        &self,
        context: &BoxContext,
        pick: &SteerPick,
    ) -> Option<CoordinatorLocation> {
        is_settled(context).then(|| context.peers().permit_coordinator(&pick.data_centre, pick.key))
    }

    /// Returns the coordinator's answer, `None` if it does not arrive in time or no queried box is the coordinator
    /// in its own view.
    async fn query_coordinator(
        &self,
        context: &BoxContext,
        first: IpAddr,
        key: TargetKey,
        wait: &mut CoordinatorWait,
    ) -> Option<PermitAnswer> {
        let mut host = first;
        for _ in 0..MAX_QUERIED_BOXES {
            match self.query_peer(context, host, key, wait).await? {
                PeerReply::Answer(answer) => return Some(answer),
                PeerReply::Redirected(next) => host = next?,
            }
        }
        None
    }

    /// Returns the reply of the box at `host`, `None` if it does not arrive in time or the box was unresponsive a
    /// moment ago.
    async fn query_peer(
        &self,
        context: &BoxContext,
        host: IpAddr,
        key: TargetKey,
        wait: &mut CoordinatorWait,
    ) -> Option<PeerReply> {
        let limit = limit_of(context, key);
        let cold = context.core().cold_rate(context.now(), key);
        let (replies, reply) = async_channel::bounded(1);
        let number = {
            let mut state = lock(&self.state);
            if state.unresponsive.get(&host).is_some_and(|until| Instant::now() < *until) {
                return None;
            }
            state.add_waiting(replies)
        };
        let cold_plus_one = cold.map_or(0, |rate| rate.millionths() + 1);
        let request = PermitRequest { number, limit, target: key.0, cold_plus_one };
        let message = PermitMessage { requests: vec![request], replies: Vec::new() };
        let reply = match self.outgoing.try_send((host, message)) {
            Ok(()) => timeout(REPLY_TIMEOUT, reply.recv()).await.ok().and_then(Result::ok),
            // The channel is full. With that many datagrams to send, the reply would arrive too late.
            Err(_) => None,
        };
        let mut state = lock(&self.state);
        state.waiting.remove(&number);
        match reply {
            Some(_) => drop(state.unresponsive.remove(&host)),
            None => {
                state.record_unresponsive(host);
                *wait = CoordinatorWait::Spent;
            }
        }
        reply
    }

    /// Returns the reply to a peer's request for a permit.
    fn reply(&self, context: &BoxContext, peer: &str, request: &PermitRequest) -> PermitReply {
        let key = TargetKey(request.target);
        if let Some(limit) = &request.limit {
            merge_limit(context, limit, peer);
        }
        if let Some(millionths) = request.cold_plus_one.checked_sub(1) {
            // The listing from which the requester has this rate may not have arrived here yet.
            let rate = RequestRate::from_millionths(millionths);
            context.core().record_cold(context.now(), key, rate);
        }
        let (limit, number) = (limit_of(context, key), request.number);
        let redirect = |coordinator: String| PermitReply {
            number,
            redirected: true,
            coordinator,
            limit,
            ..PermitReply::default()
        };
        // This box can't determine the coordinator if it does not know the target or has just started.
        let data_centre = context.core().data_centre_of(key).filter(|_| is_settled(context));
        let Some(data_centre) = data_centre else {
            return redirect(String::new());
        };
        let location = context.peers().permit_coordinator(&data_centre, key);
        if let CoordinatorLocation::Peer(host) = location {
            // If two boxes coordinated the target for a moment, they would grant twice the limit.
            return redirect(host.to_string());
        }
        let rate = context.core().limit(context.now(), key);
        let answer = match rate {
            Some(rate) => self.answer_as_coordinator(context, key, rate),
            // The target has lifted its limit, which the reply reports to the requester.
            None => PermitAnswer::Granted,
        };
        let (granted, wait) = match answer {
            PermitAnswer::Granted => (true, Duration::ZERO),
            PermitAnswer::Denied(wait) => (false, wait),
        };
        let wait_ms = u32::try_from(millis(wait)).unwrap_or(u32::MAX);
        PermitReply { number, granted, wait_ms, limit, ..PermitReply::default() }
    }

    /// Returns the answer to a request for a permit of a target that this box coordinates.
    fn answer_as_coordinator(
        &self,
        context: &BoxContext,
        key: TargetKey,
        rate: RequestRate,
    ) -> PermitAnswer {
        let share = context.peers().reachable_share();
        lock(&self.state).coordinator.answer(context.now(), key, rate, share)
    }

    /// Acquires a permit from the fallback share of this box. A denial holds only for a moment, after which the
    /// coordinator is asked again.
    fn acquire_fallback(
        &self,
        context: &BoxContext,
        key: TargetKey,
        rate: RequestRate,
    ) -> PermitAnswer {
        let boxes = context.core().fleet_size(context.now());
        let mut state = lock(&self.state);
        if state.shares.len() >= CLEANUP_THRESHOLD {
            // A new share starts with a random phase.
            state.shares.clear();
        }
        let share = state.shares.entry(key).or_default();
        match share.acquire(context.now(), rate, boxes, rand::random()) {
            PermitAnswer::Denied(wait) => PermitAnswer::Denied(wait.min(UNRESPONSIVE_PAUSE)),
            PermitAnswer::Granted => PermitAnswer::Granted,
        }
    }
}

impl ManagerState {
    /// Adds a request that waits for a reply. Returns the number of its permit request.
    fn add_waiting(&mut self, replies: Sender<PeerReply>) -> u64 {
        if self.waiting.len() >= CLEANUP_THRESHOLD {
            // The closed ones belong to callers that have disconnected.
            self.waiting.retain(|_, waiting| !waiting.is_closed());
        }
        self.last_number += 1;
        self.waiting.insert(self.last_number, replies);
        self.last_number
    }

    fn record_unresponsive(&mut self, host: IpAddr) {
        let now = Instant::now();
        if self.unresponsive.len() >= CLEANUP_THRESHOLD {
            self.unresponsive.retain(|_, until| now < *until);
        }
        self.unresponsive.insert(host, now + UNRESPONSIVE_PAUSE);
    }
}

impl PermitSource {
    /// Returns the name of the source in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PermitSource::Coordinator => "keeper",
            PermitSource::OwnShare => "own share",
        }
    }
}

fn decode_reply(reply: &PermitReply) -> PeerReply {
    if reply.redirected {
        // An empty or malformed address names no coordinator.
        return PeerReply::Redirected(reply.coordinator.parse().ok());
    }
    let wait = Duration::from_millis(reply.wait_ms.into());
    PeerReply::Answer(match reply.granted {
        true => PermitAnswer::Granted,
        false => PermitAnswer::Denied(wait),
    })
}

/// Returns whether this box has run for long enough to have learned of the other boxes.
fn is_settled(context: &BoxContext) -> bool {
    context.now().since(Default::default()) >= SETTLE_TIME
}
