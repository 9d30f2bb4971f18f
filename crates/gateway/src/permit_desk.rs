//! Permits to send to targets that have named a limit: asks to the boxes that keep them, and those that
//! this box keeps for others. The decisions are in `wingbridge_decide::permits`.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use wingbridge_decide::TargetKey;
use wingbridge_decide::permits::{LoneShare, PermitAnswer, PermitKeeper};
use wingbridge_decide::steer::{RequestRate, SteerPick};
use wingbridge_wire::limits::{PermitAsk, PermitNews, PermitReply};

use crate::context::{BoxContext, lock, millis};
use crate::gossip::GossipDuty;
use crate::limit_news::{limit_of, take_limit};
use crate::peers::KeeperSeat;

/// An ask without an answer is given up after this long: a round trip takes some milliseconds, and
/// boxes with a tenth of a core answer some tens of milliseconds late when they are busy.
const ASK_TIME: Duration = Duration::from_millis(80);
/// A keeper that did not answer is not asked again for this long, so that one request in it waits.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// A box keeps no permits, and asks for none, for this long after its start: until it has heard of the
/// others it would be the keeper of all targets.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Datagrams that wait to be sent at most.
const OUTGOING: usize = 64;
/// Targets whose shares a box remembers while it is alone at most.
const ALONE_AT: usize = 1024;

/// By whose word a request was sent to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitSource {
    /// The box that keeps the target's permits.
    Keeper,
    /// This box alone, while no keeper answers it.
    OwnShare,
}

/// What came of an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The request may be sent, under this limit.
    Granted(RequestRate, PermitSource),
    /// It may not: the target is no choice for a while.
    Denied,
}

/// Gets permits for this box, and keeps those of others.
#[derive(Debug)]
pub(crate) struct PermitDesk {
    state: Mutex<DeskState>,
    outgoing: Sender<(IpAddr, PermitNews)>,
}

#[derive(Debug, Default)]
struct DeskState {
    keeper: PermitKeeper,
    asks: u64,
    /// Requests that wait for the answer to an ask.
    waiting: HashMap<u64, Sender<PermitAnswer>>,
    alone: HashMap<TargetKey, AloneState>,
}

/// How a box stands with a target whose keeper does not answer it.
#[derive(Debug)]
struct AloneState {
    share: LoneShare,
    silent_until: Instant,
}

impl PermitDesk {
    /// A desk, and what it wants sent.
    pub(crate) fn new() -> (PermitDesk, Receiver<(IpAddr, PermitNews)>) {
        let (outgoing, wishes) = async_channel::bounded(OUTGOING);
        (PermitDesk { state: Mutex::default(), outgoing }, wishes)
    }

    /// Asks for a permit to send a request to `pick`, which has the limit `rate`. Waits for the answer of its
    /// keeper, and never for room there.
    pub(crate) async fn ask(
        &self,
        context: &BoxContext,
        pick: &SteerPick,
        rate: RequestRate,
    ) -> Permit {
        let kept = match self.seat(context, pick) {
            Some(KeeperSeat::Own) => self.answer(context, pick.key, rate),
            Some(KeeperSeat::Peer(host)) => self.ask_peer(context, host, pick.key).await,
            None => None,
        };
        let (answer, source) = match kept {
            Some(answer) => {
                lock(&self.state).alone.remove(&pick.key);
                (answer, PermitSource::Keeper)
            }
            None => (self.take_alone(context, pick.key, rate), PermitSource::OwnShare),
        };
        match answer {
            PermitAnswer::Granted => Permit::Granted(rate, source),
            PermitAnswer::Denied(wait) => {
                let by = source.as_str();
                log::info!(target:% = pick.id, per_second:% = rate, by, wait_ms = millis(wait); "permit-denied");
                metrics::counter!("wingbridge_permits_denied", "by" => by).increment(1);
                context.core().note_used_up(pick.key, context.now() + wait);
                Permit::Denied
            }
        }
    }

    /// Sends what it wants sent, until the ring closes.
    pub(crate) async fn run(gossip: Arc<GossipDuty>, wishes: Receiver<(IpAddr, PermitNews)>) {
        while let Ok((host, news)) = wishes.recv().await {
            gossip.send_permits(host, news).await;
        }
    }

    /// Takes what a peer asks and answers; returns the answers to it.
    pub(crate) fn take_news(
        &self,
        context: &BoxContext,
        peer: &str,
        news: &PermitNews,
    ) -> Option<PermitNews> {
        for reply in &news.replies {
            if let Some(limit) = &reply.limit {
                take_limit(context, limit, peer);
            }
            let answer = match reply.granted {
                true => PermitAnswer::Granted,
                false => PermitAnswer::Denied(Duration::from_millis(reply.wait_ms.into())),
            };
            // The request may be gone; then its permit is lost.
            if let Some(waiting) = lock(&self.state).waiting.remove(&reply.number) {
                let _ = waiting.try_send(answer);
            }
        }
        let replies = news.asks.iter().filter_map(|ask| self.reply(context, peer, ask));
        let replies: Vec<PermitReply> = replies.collect();
        (!replies.is_empty()).then(|| PermitNews { asks: Vec::new(), replies })
    }

    /// Who keeps the permits of a target; `None` while this box is not to know.
    fn seat(&self, context: &BoxContext, pick: &SteerPick) -> Option<KeeperSeat> {
        let is_silent = |alone: &AloneState| Instant::now() < alone.silent_until;
        if lock(&self.state).alone.get(&pick.key).is_some_and(is_silent) || !is_settled(context) {
            return None;
        }
        Some(context.peers().permit_keeper(&pick.data_centre, pick.key))
    }

    /// What the keeper at `host` says; `None` if it says nothing in time.
    async fn ask_peer(
        &self,
        context: &BoxContext,
        host: IpAddr,
        key: TargetKey,
    ) -> Option<PermitAnswer> {
        let limit = limit_of(context, key);
        let (answered, answer) = async_channel::bounded(1);
        let number = {
            let mut state = lock(&self.state);
            state.asks += 1;
            let number = state.asks;
            state.waiting.insert(number, answered);
            number
        };
        let news = PermitNews { asks: vec![PermitAsk { number, limit }], replies: Vec::new() };
        // Full: so much is on its way that the answer would be late.
        let sent = self.outgoing.try_send((host, news));
        let kept = match sent {
            Ok(()) => timeout(ASK_TIME, answer.recv()).await.ok()?.ok(),
            Err(_) => None,
        };
        lock(&self.state).waiting.remove(&number);
        kept
    }

    /// The answer to a peer's ask; none from a box that is not the keeper by its own view.
    fn reply(&self, context: &BoxContext, peer: &str, ask: &PermitAsk) -> Option<PermitReply> {
        let told = ask.limit.as_ref()?;
        take_limit(context, told, peer);
        let key = TargetKey(told.target);
        let data_centre = context.core().data_centre_of(key)?;
        if !is_settled(context) {
            return None;
        }
        let seat = context.peers().permit_keeper(&data_centre, key);
        if seat != KeeperSeat::Own {
            // With two keepers for a moment, twice the limit would be given out.
            return None;
        }
        let limit = limit_of(context, key);
        let answer = match context.core().limit(key) {
            Some(rate) => self.answer(context, key, rate)?,
            // It has ended, which the asker learns by this.
            None => PermitAnswer::Granted,
        };
        let (granted, wait) = match answer {
            PermitAnswer::Granted => (true, Duration::ZERO),
            PermitAnswer::Denied(wait) => (false, wait),
        };
        let wait_ms = u32::try_from(millis(wait)).unwrap_or(u32::MAX);
        Some(PermitReply { number: ask.number, granted, wait_ms, limit })
    }

    fn answer(
        &self,
        context: &BoxContext,
        key: TargetKey,
        rate: RequestRate,
    ) -> Option<PermitAnswer> {
        let part = context.peers().heard_part();
        Some(lock(&self.state).keeper.answer(context.now(), key, rate, part))
    }

    /// What this box may do by itself, from now until it asks its keeper again.
    fn take_alone(&self, context: &BoxContext, key: TargetKey, rate: RequestRate) -> PermitAnswer {
        let boxes = context.peers().boxes();
        let now = Instant::now();
        let mut state = lock(&self.state);
        if state.alone.len() >= ALONE_AT {
            state.alone.retain(|_, alone| now < alone.silent_until);
        }
        let alone = state
            .alone
            .entry(key)
            .or_insert_with(|| AloneState { share: LoneShare::default(), silent_until: now });
        if now >= alone.silent_until {
            alone.silent_until = now + SILENT_PAUSE;
        }
        match alone.share.take(context.now(), rate, boxes, rand::random()) {
            PermitAnswer::Denied(wait) => PermitAnswer::Denied(wait.min(SILENT_PAUSE)),
            PermitAnswer::Granted => PermitAnswer::Granted,
        }
    }
}

impl PermitSource {
    /// Its name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PermitSource::Keeper => "keeper",
            PermitSource::OwnShare => "own share",
        }
    }
}

/// Whether this box has run for long enough to have heard of the others.
fn is_settled(context: &BoxContext) -> bool {
    context.now().since(Default::default()) >= SETTLE_TIME
}
