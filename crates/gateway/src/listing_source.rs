//! Encoding and sending of the listing of targets to peers.
//!
//! All boxes of a data centre need the same change of some thousand targets at the same moment, from
//! whichever box has it first. When a separate reply was packed for each of them and all replies were
//! sent at once, two hundred replies took a link of 200 Mbit/s longer than any box waits, and all boxes
//! then read the store. A reply is therefore packed once for all peers that lack the same changes, and
//! a box sends a long reply to a few peers at a time. Those that have received it serve the others.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended};
use prost::Message;
use wingbridge_wire::gossip::{TargetRecord, TargetRecords};

use crate::context::lock;
use crate::transfer_slots::{TransferSlot, TransferSlots};

/// Number of targets in a part. Packing one needs some hundred kilobytes of memory for a moment.
const TARGETS_PER_PART: usize = 500;
/// Maximum size, in bytes, of a reply that is sent without a transfer slot: 40 such replies take a
/// link with 10 Mbit/s half a second.
const MAX_SMALL_REPLY_BYTES: usize = 16 * 1024;
/// Maximum number of packed replies that are kept: peers hold the previous listing, one of a few before
/// it, or none.
const MAX_PACKED_REPLIES: usize = 4;
/// Maximum unpacked size of a part in bytes. A part that declares more is refused.
const MAX_UNPACKED_BYTES: usize = 4 << 20;

/// The two listings, by their hashes, that a reply leads from and to; `from` is 0 for a reply with all
/// targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListingDeltaKey {
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// The content of a reply: parts with packed targets, and names of removed targets.
#[derive(Debug)]
pub(crate) struct PackedTargets {
    pub(crate) parts: Vec<Vec<u8>>,
    pub(crate) removed: Vec<String>,
}

/// Packed replies with the listing, and the transfer slots for sending them.
#[derive(Debug)]
pub(crate) struct ListingSource {
    packed: Mutex<VecDeque<(ListingDeltaKey, Arc<PackedTargets>)>>,
    slots: TransferSlots,
}

/// A reply that occupies its transfer slot, if it needs one, until this value is dropped.
#[derive(Debug)]
pub(crate) struct ListingReply<'a> {
    pub(crate) targets: Arc<PackedTargets>,
    _slot: Option<TransferSlot<'a>>,
}

impl PackedTargets {
    /// Packs `records` into parts of [`TARGETS_PER_PART`].
    pub(crate) fn pack(
        records: impl Iterator<Item = TargetRecord>,
        removed: Vec<String>,
    ) -> PackedTargets {
        let mut parts = Vec::new();
        let mut records = records.peekable();
        while records.peek().is_some() {
            let targets = records.by_ref().take(TARGETS_PER_PART).collect();
            parts.push(compress_prepend_size(&TargetRecords { targets }.encode_to_vec()));
        }
        PackedTargets { parts, removed }
    }

    fn bytes(&self) -> usize {
        self.parts.iter().map(Vec::len).chain(self.removed.iter().map(String::len)).sum()
    }
}

impl ListingSource {
    /// Creates a source without replies for a box whose link has `link_mbps`.
    pub(crate) fn new(link_mbps: u32) -> ListingSource {
        ListingSource { packed: Mutex::default(), slots: TransferSlots::new(link_mbps) }
    }

    /// Returns the reply for `key`, packed by `pack` unless it is kept from before. Returns `None` if
    /// the reply is long and all transfer slots are in use.
    pub(crate) fn send(
        &self,
        key: ListingDeltaKey,
        pack: impl FnOnce() -> PackedTargets,
    ) -> Option<ListingReply<'_>> {
        let targets = self.packed(key, pack);
        if targets.bytes() <= MAX_SMALL_REPLY_BYTES {
            return Some(ListingReply { targets, _slot: None });
        }
        let slot = self.slots.try_acquire()?;
        Some(ListingReply { targets, _slot: Some(slot) })
    }

    fn packed(
        &self,
        key: ListingDeltaKey,
        pack: impl FnOnce() -> PackedTargets,
    ) -> Arc<PackedTargets> {
        let mut packed = lock(&self.packed);
        if let Some((_, targets)) = packed.iter().find(|(held, _)| *held == key) {
            return Arc::clone(targets);
        }
        // Replies that lead to an outdated listing are never requested again.
        packed.retain(|(held, _)| held.to == key.to);
        while packed.len() >= MAX_PACKED_REPLIES {
            packed.pop_front();
        }
        let targets = Arc::new(pack());
        packed.push_back((key, Arc::clone(&targets)));
        targets
    }
}

/// Unpacks the records of a part.
///
/// # Errors
/// Returns a description of the fault if the part is truncated, too long or malformed.
pub(crate) fn unpack(part: &[u8]) -> Result<Vec<TargetRecord>, &'static str> {
    let size = part.first_chunk::<4>().map(|size| u32::from_le_bytes(*size) as usize);
    if size.is_none_or(|size| size > MAX_UNPACKED_BYTES) {
        return Err("a part of the listing is truncated or exceeds the maximum unpacked size");
    }
    let bytes = decompress_size_prepended(part)
        .map_err(|_| "a part of the listing could not be decompressed")?;
    let records = TargetRecords::decode(&bytes[..])
        .map_err(|_| "a part of the listing does not contain target records")?;
    Ok(records.targets)
}
