//! Serves the configuration that this box holds to its peers, as deltas where possible.
//!
//! Each box that holds a configuration passes it on to a few peers at a time, so the number of
//! boxes that have it doubles with each round and no box has to send it to all of them. One box
//! with a link of 10 Mbit/s needs ten seconds to send 400 KB to 30 peers; deltas passed from box
//! to box reach all of them within some tenths of a second.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Mutex;

use wingbridge_wire::gossip::{ConfigDelta, ConfigReply, ConfigRequest};
use xxhash_rust::xxh3::xxh3_64;

use crate::config_exchange::delta_base;
use crate::context::lock;
use crate::store_revision::{ConfigId, StoreRevision};
use crate::text_patch::make_patch;
use crate::transfer_slots::{TransferSlot, TransferSlots};
use crate::view::ConfigText;

/// Largest reply in bytes that is sent without a transfer slot: 30 replies of this size occupy a
/// link of 10 Mbit/s for a fifth of a second.
const MAX_UNSLOTTED_REPLY_BYTES: usize = 8 * 1024;
/// Number of deltas that are kept. A peer that lacks more revisions gets the complete text.
const MAX_DELTAS: usize = 4;
/// Number of seeders that are named to a peer when all transfer slots are in use.
const MAX_SEEDERS: usize = 8;

/// The configuration that this box holds, with the deltas that lead to it.
#[derive(Debug)]
pub struct ConfigSource {
    state: Mutex<SourceState>,
    slots: TransferSlots,
}

#[derive(Debug, Default)]
struct SourceState {
    text: Option<ConfigText>,
    /// The operators' version of the text.
    version: u64,
    /// Deltas that lead from earlier revisions to the current one, oldest first.
    deltas: VecDeque<ConfigDelta>,
    /// Delta from the empty text to the current one, computed on first use.
    complete: Option<ConfigDelta>,
    /// Boxes that have received the current configuration from here, oldest first.
    seeders: VecDeque<IpAddr>,
}

/// A reply that occupies its transfer slot, if it has one, until it is dropped.
#[derive(Debug)]
pub struct SourceReply<'a> {
    reply: ConfigReply,
    _slot: Option<TransferSlot<'a>>,
}

impl SourceReply<'_> {
    /// Returns the revision of the configuration that the reply leads to.
    pub fn revision(&self) -> StoreRevision {
        StoreRevision { era: self.reply.era, number: self.reply.revision }
    }

    /// Returns the message to send.
    pub fn message(&self) -> &ConfigReply {
        &self.reply
    }
}

impl ConfigSource {
    /// Creates a source without a configuration, for a box with a link of `link_mbps`.
    pub fn new(link_mbps: u32) -> ConfigSource {
        ConfigSource { state: Mutex::default(), slots: TransferSlots::new(link_mbps) }
    }

    /// Replaces the held configuration by `text`, which is of the operators' `version`, if that is newer.
    /// `deltas` are the deltas in which a peer sent it; if they are empty, the delta from the previous text
    /// is computed.
    pub fn put(&self, version: u64, text: ConfigText, deltas: Vec<ConfigDelta>) {
        let id = ConfigId { version, revision: text.revision };
        let previous = {
            let state = lock(&self.state);
            if !id.is_newer_than(state.id()) {
                return;
            }
            state.text.clone()
        };
        let deltas = match previous {
            Some(_) if !deltas.is_empty() => deltas,
            Some(previous) => vec![make_delta(previous.revision, &previous.text, &text)],
            None => Vec::new(),
        };
        let mut state = lock(&self.state);
        if !id.is_newer_than(state.id()) {
            return;
        }
        let current = state.text.as_ref().map(|held| held.revision);
        if deltas.first().map(delta_base) != current {
            state.deltas.clear();
        }
        if deltas.first().is_some_and(|delta| delta_base(delta) > StoreRevision::NONE) {
            state.deltas.extend(deltas);
        }
        while state.deltas.len() > MAX_DELTAS {
            state.deltas.pop_front();
        }
        state.text = Some(text);
        state.version = version;
        state.complete = None;
        state.seeders.clear();
    }

    /// Returns the reply to a peer that holds `request.revision`.
    pub fn reply(&self, request: ConfigRequest, age_ms: u64) -> SourceReply<'_> {
        let mut state = lock(&self.state);
        let Some(text) = state.text.clone() else {
            return SourceReply { reply: ConfigReply::default(), _slot: None };
        };
        let StoreRevision { era, number } = text.revision;
        let reply = ConfigReply { revision: number, era, age_ms, ..ConfigReply::default() };
        let held = StoreRevision { era: request.era, number: request.revision };
        let held = ConfigId { version: request.version, revision: held };
        if !state.id().is_newer_than(held) {
            return SourceReply { reply, _slot: None };
        }
        let deltas = state.deltas_from(held.revision, &text);
        let bytes: usize = deltas.iter().map(|delta| delta.patch.len()).sum();
        if bytes <= MAX_UNSLOTTED_REPLY_BYTES {
            return SourceReply { reply: ConfigReply { deltas, ..reply }, _slot: None };
        }
        let Some(slot) = self.slots.try_acquire() else {
            let seeders = state.seeders.iter().rev().map(IpAddr::to_string).collect();
            let reply = ConfigReply { busy: true, seeders, ..reply };
            return SourceReply { reply, _slot: None };
        };
        SourceReply { reply: ConfigReply { deltas, ..reply }, _slot: Some(slot) }
    }

    /// Records that the box at `host` has received the configuration of `revision` from here.
    pub fn record_seeder(&self, host: IpAddr, revision: StoreRevision) {
        let mut state = lock(&self.state);
        if state.text.as_ref().is_none_or(|text| text.revision != revision) {
            return;
        }
        state.seeders.push_back(host);
        if state.seeders.len() > MAX_SEEDERS {
            state.seeders.pop_front();
        }
    }
}

impl SourceState {
    /// Returns the identity of the current configuration.
    fn id(&self) -> ConfigId {
        let version = self.version;
        let revision = self.text.as_ref().map_or(StoreRevision::NONE, |text| text.revision);
        ConfigId { version, revision }
    }

    fn deltas_from(&mut self, revision: StoreRevision, text: &ConfigText) -> Vec<ConfigDelta> {
        let first = self.deltas.iter().position(|delta| delta_base(delta) == revision);
        if let Some(first) = first.filter(|_| revision > StoreRevision::NONE) {
            return self.deltas.iter().skip(first).cloned().collect();
        }
        let complete =
            self.complete.get_or_insert_with(|| make_delta(StoreRevision::NONE, &[], text));
        vec![complete.clone()]
    }
}

fn make_delta(from: StoreRevision, previous: &[u8], text: &ConfigText) -> ConfigDelta {
    ConfigDelta {
        from: from.number,
        from_era: from.era,
        to: text.revision.number,
        to_era: text.revision.era,
        hash: xxh3_64(&text.text),
        patch: make_patch(previous, &text.text),
    }
}
