//! Permits to send to targets that have named a limit: asks to the boxes that keep them, and those that
//! this box keeps for others. The decisions are in `wingbridge_decide::permits`.

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
use crate::peers::CoordinatorSeat;

/// An ask without an answer is given up after this long: a round trip takes some milliseconds, and
/// boxes with a tenth of a core answer some tens of milliseconds late when they are busy.
const ASK_TIME: Duration = Duration::from_millis(80);
/// A box that did not answer is not asked again for this long, so that one request in it waits.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// A box keeps no permits, and asks for none, for this long after its start: until it has heard of the
/// others it would be the keeper of all targets.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Boxes that are asked for one permit: the keeper by this box's view, and the one that that names.
const ASKED_BOXES: usize = 2;
/// Datagrams that wait to be sent at most.
const OUTGOING: usize = 64;
/// Targets whose shares a box remembers, silent boxes and open asks, from which on it looks what can go.
const REMEMBERED: usize = 1024;

/// By whose word a request is sent to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitSource {
    /// The box that keeps the target's permits.
    Coordinator,
    /// This box alone, while no keeper answers it.
    OwnShare,
}

/// What lets one request go to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendPermit {
    /// The limit for which it was given: it is none for a lower one.
    pub(crate) under: RequestRate,
    pub(crate) source: PermitSource,
}

/// There is none now: the target is no choice for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoPermit;

/// Whether a request may wait for the answer of a keeper.
///
/// It waits once in vain at most: where several boxes have ended it would go from one silent keeper to the next,
/// and be refused long after it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum CoordinatorWait {
    /// It has not met a silent one.
    #[default]
    Allowed,
    /// It has.
    Spent,
}

/// Gets permits for this box, and keeps those of others.
#[derive(Debug)]
pub(crate) struct PermitManager {
    state: Mutex<DeskState>,
    outgoing: Sender<(IpAddr, PermitMessage)>,
}

#[derive(Debug, Default)]
struct DeskState {
    keeper: PermitCoordinator,
    asks: u64,
    /// Requests that wait for the answer to an ask.
    waiting: HashMap<u64, Sender<PeerReply>>,
    /// What this box sends by itself, where no keeper answers it.
    shares: HashMap<TargetKey, FallbackShare>,
    /// Boxes that did not answer, and until when they are not asked.
    silent: HashMap<IpAddr, Instant>,
}

/// What a box that was asked says.
#[derive(Debug, Clone, Copy)]
enum PeerReply {
    Answer(PermitAnswer),
    /// It is not the keeper; this one is, if it knows one.
    Passed(Option<IpAddr>),
}

impl PermitManager {
    /// A desk, and what it wants sent.
    pub(crate) fn new() -> (PermitManager, Receiver<(IpAddr, PermitMessage)>) {
        let (outgoing, wishes) = async_channel::bounded(OUTGOING);
        (PermitManager { state: Mutex::default(), outgoing }, wishes)
    }

    /// Asks for a permit to send a request to `pick`, which has the limit `rate`. Waits for the answer of its
    /// keeper, and never for room there.
    pub(crate) async fn acquire(
        &self,
        context: &BoxContext,
        pick: &SteerPick,
        rate: RequestRate,
        wait: &mut CoordinatorWait,
    ) -> Result<SendPermit, NoPermit> {
        let kept = match self.seat(context, pick) {
            Some(CoordinatorSeat::Own) => Some(self.keep(context, pick.key, rate)),
            Some(CoordinatorSeat::Peer(host)) if *wait == CoordinatorWait::Allowed => {
                self.ask_peers(context, host, pick.key, wait).await
            }
            _ => None,
        };
        let (answer, source) = match kept {
            Some(answer) => {
                lock(&self.state).shares.remove(&pick.key);
                (answer, PermitSource::Coordinator)
            }
            None => (self.take_alone(context, pick.key, rate), PermitSource::OwnShare),
        };
        match answer {
            PermitAnswer::Granted => Ok(SendPermit { under: rate, source }),
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

    /// Sends what it wants sent, until the ring closes.
    pub(crate) async fn run(gossip: Arc<Gossip>, wishes: Receiver<(IpAddr, PermitMessage)>) {
        while let Ok((host, news)) = wishes.recv().await {
            gossip.send_permits(host, news).await;
        }
    }

    /// Takes what a peer asks and answers; returns the answers to it.
    pub(crate) fn handle_message(
        &self,
        context: &BoxContext,
        peer: &str,
        news: &PermitMessage,
    ) -> Option<PermitMessage> {
        for reply in &news.replies {
            if let Some(limit) = &reply.limit {
                merge_limit(context, limit, peer);
            }
            // The request may be gone; then its permit is lost.
            if let Some(waiting) = lock(&self.state).waiting.remove(&reply.number) {
                let _ = waiting.try_send(decode_reply(reply));
            }
        }
        let replies = news.requests.iter().map(|ask| self.reply(context, peer, ask));
        let replies: Vec<PermitReply> = replies.collect();
        (!replies.is_empty()).then(|| PermitMessage { requests: Vec::new(), replies })
    }

    /// Who keeps the permits of a target; `None` while this box is not to know.
    fn seat(&self, context: &BoxContext, pick: &SteerPick) -> Option<CoordinatorSeat> {
        is_settled(context).then(|| context.peers().permit_coordinator(&pick.data_centre, pick.key))
    }

    /// The keeper's answer; `None` if there is none in time, or nobody is the keeper by its own view.
    async fn ask_peers(
        &self,
        context: &BoxContext,
        first: IpAddr,
        key: TargetKey,
        wait: &mut CoordinatorWait,
    ) -> Option<PermitAnswer> {
        let mut host = first;
        for _ in 0..ASKED_BOXES {
            match self.query_peer(context, host, key, wait).await? {
                PeerReply::Answer(answer) => return Some(answer),
                PeerReply::Passed(next) => host = next?,
            }
        }
        None
    }

    /// What the box at `host` says; `None` if it says nothing in time, or did not a moment ago.
    async fn query_peer(
        &self,
        context: &BoxContext,
        host: IpAddr,
        key: TargetKey,
        wait: &mut CoordinatorWait,
    ) -> Option<PeerReply> {
        let limit = limit_of(context, key);
        let cold = context.core().cold_rate(context.now(), key);
        let (answered, answer) = async_channel::bounded(1);
        let number = {
            let mut state = lock(&self.state);
            if state.silent.get(&host).is_some_and(|until| Instant::now() < *until) {
                return None;
            }
            state.note_waiting(answered)
        };
        let cold_plus_one = cold.map_or(0, |rate| rate.millionths() + 1);
        let ask = PermitRequest { number, limit, target: key.0, cold_plus_one };
        let news = PermitMessage { requests: vec![ask], replies: Vec::new() };
        let word = match self.outgoing.try_send((host, news)) {
            Ok(()) => timeout(ASK_TIME, answer.recv()).await.ok().and_then(Result::ok),
            // Full: so much is on its way that the answer would be late.
            Err(_) => None,
        };
        let mut state = lock(&self.state);
        state.waiting.remove(&number);
        match word {
            Some(_) => drop(state.silent.remove(&host)),
            None => {
                state.note_silent(host);
                *wait = CoordinatorWait::Spent;
            }
        }
        word
    }

    /// The answer to a peer's ask.
    fn reply(&self, context: &BoxContext, peer: &str, ask: &PermitRequest) -> PermitReply {
        let key = TargetKey(ask.target);
        if let Some(told) = &ask.limit {
            merge_limit(context, told, peer);
        }
        if let Some(millionths) = ask.cold_plus_one.checked_sub(1) {
            // The listing by which the asker knows it may be on its way here.
            let rate = RequestRate::from_millionths(millionths);
            context.core().record_cold(context.now(), key, rate);
        }
        let (limit, number) = (limit_of(context, key), ask.number);
        let passed = |keeper: String| PermitReply {
            number,
            redirected: true,
            coordinator: keeper,
            limit,
            ..PermitReply::default()
        };
        // One that does not know the target, or has just started, does not know who keeps its permits.
        let data_centre = context.core().data_centre_of(key).filter(|_| is_settled(context));
        let Some(data_centre) = data_centre else {
            return passed(String::new());
        };
        let seat = context.peers().permit_coordinator(&data_centre, key);
        if let CoordinatorSeat::Peer(host) = seat {
            // With two keepers for a moment, twice the limit would be given out.
            return passed(host.to_string());
        }
        let rate = context.core().limit(context.now(), key);
        let answer = match rate {
            Some(rate) => self.keep(context, key, rate),
            // It has ended, which the asker learns by this.
            None => PermitAnswer::Granted,
        };
        let (granted, wait) = match answer {
            PermitAnswer::Granted => (true, Duration::ZERO),
            PermitAnswer::Denied(wait) => (false, wait),
        };
        let wait_ms = u32::try_from(millis(wait)).unwrap_or(u32::MAX);
        PermitReply { number, granted, wait_ms, limit, ..PermitReply::default() }
    }

    /// The answer to an ask for a target whose permits this box keeps.
    fn keep(&self, context: &BoxContext, key: TargetKey, rate: RequestRate) -> PermitAnswer {
        let part = context.peers().reachable_share();
        lock(&self.state).keeper.answer(context.now(), key, rate, part)
    }

    /// What this box may do by itself; it asks a keeper again after a moment.
    fn take_alone(&self, context: &BoxContext, key: TargetKey, rate: RequestRate) -> PermitAnswer {
        let boxes = context.peers().boxes();
        let mut state = lock(&self.state);
        if state.shares.len() >= REMEMBERED {
            // Each begins again at a moment that is drawn.
            state.shares.clear();
        }
        let share = state.shares.entry(key).or_default();
        match share.acquire(context.now(), rate, boxes, rand::random()) {
            PermitAnswer::Denied(wait) => PermitAnswer::Denied(wait.min(SILENT_PAUSE)),
            PermitAnswer::Granted => PermitAnswer::Granted,
        }
    }
}

impl DeskState {
    /// Notes a request that waits; returns the number of its ask.
    fn note_waiting(&mut self, answered: Sender<PeerReply>) -> u64 {
        if self.waiting.len() >= REMEMBERED {
            // Their callers have left.
            self.waiting.retain(|_, waiting| !waiting.is_closed());
        }
        self.asks += 1;
        self.waiting.insert(self.asks, answered);
        self.asks
    }

    fn note_silent(&mut self, host: IpAddr) {
        let now = Instant::now();
        if self.silent.len() >= REMEMBERED {
            self.silent.retain(|_, until| now < *until);
        }
        self.silent.insert(host, now + SILENT_PAUSE);
    }
}

impl PermitSource {
    /// Its name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PermitSource::Coordinator => "keeper",
            PermitSource::OwnShare => "own share",
        }
    }
}

fn decode_reply(reply: &PermitReply) -> PeerReply {
    if reply.redirected {
        // A text that is no address names nobody.
        return PeerReply::Passed(reply.coordinator.parse().ok());
    }
    let wait = Duration::from_millis(reply.wait_ms.into());
    PeerReply::Answer(match reply.granted {
        true => PermitAnswer::Granted,
        false => PermitAnswer::Denied(wait),
    })
}

/// Whether this box has run for long enough to have heard of the others.
fn is_settled(context: &BoxContext) -> bool {
    context.now().since(Default::default()) >= SETTLE_TIME
}
