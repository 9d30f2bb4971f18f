//! What this box can send of the listing that it holds.
//!
//! Load pattern: all boxes of a data centre want the same change of some thousand targets at the same
//! moment, from whoever has it first. Each reply made for itself and all of them sent at once, two
//! hundred of them took a link of 200 Mbit/s longer than anyone waits, and then all read the store. So a
//! reply is packed once for all that lack the same, and a box sends a long one to a few at a time:
//! those that have it then hand it on.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended};
use prost::Message;
use wingbridge_wire::gossip::{TargetRecord, TargetRecords};

use crate::context::lock;
use crate::transfer_slots::{TransferSlot, TransferSlots};

/// Targets in a part: packing one takes some hundred kilobytes of memory for a moment.
const PART_TARGETS: usize = 500;
/// Replies up to this are sent to everybody at once, in bytes: 40 of them take a link with
/// 10 Mbit/s half a second.
const SMALL_REPLY: usize = 16 * 1024;
/// Replies that are kept packed: boxes lack the last listing, one of those before, or all.
const KEPT: usize = 4;
/// A part that says that it unpacks to more than this is none, in bytes.
const MOST_UNPACKED: usize = 4 << 20;

/// From which listing to which a reply leads, by their hashes; from 0 for all targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListingDeltaKey {
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// Targets of a reply, packed, and names of those that are removed.
#[derive(Debug)]
pub(crate) struct PackedTargets {
    pub(crate) parts: Vec<Vec<u8>>,
    pub(crate) removed: Vec<String>,
}

/// The listing as it is handed on.
#[derive(Debug)]
pub(crate) struct ListingSource {
    packed: Mutex<VecDeque<(ListingDeltaKey, Arc<PackedTargets>)>>,
    slots: TransferSlots,
}

/// A reply that counts as being sent until this is dropped.
#[derive(Debug)]
pub(crate) struct SentTargets<'a> {
    pub(crate) targets: Arc<PackedTargets>,
    _place: Option<TransferSlot<'a>>,
}

impl PackedTargets {
    /// Packs `records`.
    pub(crate) fn pack(
        records: impl Iterator<Item = TargetRecord>,
        removed: Vec<String>,
    ) -> PackedTargets {
        let mut parts = Vec::new();
        let mut records = records.peekable();
        while records.peek().is_some() {
            let targets = records.by_ref().take(PART_TARGETS).collect();
            parts.push(compress_prepend_size(&TargetRecords { targets }.encode_to_vec()));
        }
        PackedTargets { parts, removed }
    }

    fn bytes(&self) -> usize {
        self.parts.iter().map(Vec::len).chain(self.removed.iter().map(String::len)).sum()
    }
}

impl ListingSource {
    /// Nothing to hand on yet, by a link of `link_mbps`.
    pub(crate) fn new(link_mbps: u32) -> ListingSource {
        ListingSource { packed: Mutex::default(), slots: TransferSlots::new(link_mbps) }
    }

    /// What makes the step, packed by `pack` unless it is known; `None` while as many long replies are sent
    /// as can be.
    pub(crate) fn send(
        &self,
        step: ListingDeltaKey,
        pack: impl FnOnce() -> PackedTargets,
    ) -> Option<SentTargets<'_>> {
        let targets = self.packed(step, pack);
        if targets.bytes() <= SMALL_REPLY {
            return Some(SentTargets { targets, _place: None });
        }
        let place = self.slots.try_acquire()?;
        Some(SentTargets { targets, _place: Some(place) })
    }

    fn packed(
        &self,
        step: ListingDeltaKey,
        pack: impl FnOnce() -> PackedTargets,
    ) -> Arc<PackedTargets> {
        let mut packed = lock(&self.packed);
        if let Some((_, known)) = packed.iter().find(|(known, _)| *known == step) {
            return Arc::clone(known);
        }
        // Nobody asks for what led to another listing than the one that is held.
        packed.retain(|(known, _)| known.to == step.to);
        while packed.len() >= KEPT {
            packed.pop_front();
        }
        let targets = Arc::new(pack());
        packed.push_back((step, Arc::clone(&targets)));
        targets
    }
}

/// The records of a part.
///
/// # Errors
/// It is none, and why.
pub(crate) fn unpack(part: &[u8]) -> Result<Vec<TargetRecord>, &'static str> {
    let size = part.first_chunk::<4>().map(|size| u32::from_le_bytes(*size) as usize);
    if size.is_none_or(|size| size > MOST_UNPACKED) {
        return Err("a part of the listing is cut short or too long");
    }
    let bytes = decompress_size_prepended(part).map_err(|_| "a part can't be unpacked")?;
    let records = TargetRecords::decode(&bytes[..]).map_err(|_| "a part holds no targets")?;
    Ok(records.targets)
}
