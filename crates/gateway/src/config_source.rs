//! What this box can send of the configuration that it holds.
//!
//! Whoever holds a configuration hands it on, each box to a few at a time, so that it doubles
//! from turn to turn and no box has to send it to all: 400 KB from one box with 10 Mbit/s to
//! 30 peers take ten seconds, what is new in it from box to box some tenths.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Mutex;

use wingbridge_wire::gossip::{ConfigDelta, ConfigReply, ConfigRequest};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::lock;
use crate::text_patch::make_patch;
use crate::transfer_slots::{TransferSlot, TransferSlots};
use crate::view::ConfigText;

/// Replies up to this are sent to everybody at once, in bytes: 30 of them take a link with
/// 10 Mbit/s a fifth of a second.
const SMALL_REPLY: usize = 8 * 1024;
/// Steps that are kept: a peer that lacks more versions has the whole text sent.
const STEPS: usize = 4;
/// Holders that are named to a peer that has to ask elsewhere.
const HOLDERS: usize = 8;

/// The configuration as it is handed on.
#[derive(Debug)]
pub struct ConfigSource {
    state: Mutex<SourceState>,
    slots: TransferSlots,
}

#[derive(Debug, Default)]
struct SourceState {
    text: Option<ConfigText>,
    /// What led from earlier ones to this one, oldest first.
    steps: VecDeque<ConfigDelta>,
    /// All of it, made when it is first needed.
    whole: Option<ConfigDelta>,
    /// Boxes to which it was sent, oldest first.
    holders: VecDeque<IpAddr>,
}

/// A reply that counts as being sent until it is dropped.
#[derive(Debug)]
pub struct SourceReply<'a> {
    reply: ConfigReply,
    _place: Option<TransferSlot<'a>>,
}

impl SourceReply<'_> {
    /// The reply as it is sent.
    pub fn message(&self) -> &ConfigReply {
        &self.reply
    }
}

impl ConfigSource {
    /// What a box with a link of `link_mbps` hands on: nothing yet.
    pub fn new(link_mbps: u32) -> ConfigSource {
        ConfigSource { state: Mutex::default(), slots: TransferSlots::new(link_mbps) }
    }

    /// Holds `text` from now on. `steps` are those by which it came here from the one before;
    /// without them they are made.
    pub fn put(&self, text: ConfigText, steps: Vec<ConfigDelta>) {
        let before = {
            let state = lock(&self.state);
            if state.text.as_ref().is_some_and(|held| held.revision >= text.revision) {
                return;
            }
            state.text.clone()
        };
        let steps = match before {
            Some(_) if !steps.is_empty() => steps,
            Some(before) => vec![step(before.revision, &before.text, &text)],
            None => Vec::new(),
        };
        let mut state = lock(&self.state);
        let joined = state.text.as_ref().map(|held| held.revision);
        if joined >= Some(text.revision) {
            return;
        }
        if steps.first().map(|step| step.from) != joined {
            state.steps.clear();
        }
        if steps.first().is_some_and(|step| step.from > 0) {
            state.steps.extend(steps);
        }
        while state.steps.len() > STEPS {
            state.steps.pop_front();
        }
        state.text = Some(text);
        state.whole = None;
        state.holders.clear();
    }

    /// What to send to a peer that holds `request.revision`.
    pub fn reply(&self, request: ConfigRequest, age_ms: u64) -> SourceReply<'_> {
        let mut state = lock(&self.state);
        let Some(text) = state.text.clone() else {
            return SourceReply { reply: ConfigReply::default(), _place: None };
        };
        let reply = ConfigReply { revision: text.revision, age_ms, ..ConfigReply::default() };
        if text.revision <= request.revision {
            return SourceReply { reply, _place: None };
        }
        let steps = state.steps_from(request.revision, &text);
        let bytes: usize = steps.iter().map(|step| step.patch.len()).sum();
        if bytes <= SMALL_REPLY {
            return SourceReply { reply: ConfigReply { deltas: steps, ..reply }, _place: None };
        }
        let Some(place) = self.slots.try_acquire() else {
            let holders = state.holders.iter().rev().map(IpAddr::to_string).collect();
            let reply = ConfigReply { busy: true, seeders: holders, ..reply };
            return SourceReply { reply, _place: None };
        };
        SourceReply { reply: ConfigReply { deltas: steps, ..reply }, _place: Some(place) }
    }

    /// Notes that the box at `host` has the configuration of `revision` from here.
    pub fn record_seeder(&self, host: IpAddr, revision: u64) {
        let mut state = lock(&self.state);
        if state.text.as_ref().is_none_or(|text| text.revision != revision) {
            return;
        }
        state.holders.push_back(host);
        if state.holders.len() > HOLDERS {
            state.holders.pop_front();
        }
    }
}

impl SourceState {
    fn steps_from(&mut self, revision: u64, text: &ConfigText) -> Vec<ConfigDelta> {
        let first = self.steps.iter().position(|step| step.from == revision);
        if let Some(first) = first.filter(|_| revision > 0) {
            return self.steps.iter().skip(first).cloned().collect();
        }
        let whole = self.whole.get_or_insert_with(|| step(0, &[], text));
        vec![whole.clone()]
    }
}

fn step(from: u64, before: &[u8], text: &ConfigText) -> ConfigDelta {
    ConfigDelta {
        from,
        to: text.revision,
        hash: xxh3_64(&text.text),
        patch: make_patch(before, &text.text),
    }
}
