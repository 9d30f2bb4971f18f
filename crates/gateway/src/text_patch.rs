//! Binary patches between two texts, for configurations of which only a small part has changed.
//!
//! A configuration that grew by a third, or in which one weight changed, is sent to a data centre
//! as a patch. Both texts are split after closing braces and line ends, so that the boundaries
//! fall at the same places whatever was inserted in between. Pieces that occur in the old text are
//! encoded as their position there; the remaining bytes are included and compressed.

use std::collections::HashMap;
use std::fmt;

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, uncompressed_size};
use prost::Message;
use wingbridge_wire::gossip::TextPatch;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes that end a piece.
const PIECE_END_BYTES: &[u8] = b"}\n";
/// Shortest piece in bytes, except for the last one: a reference to a piece takes about ten bytes.
const MIN_PIECE_BYTES: usize = 32;
/// Longest piece in bytes, for texts without any of the bytes that end a piece.
const MAX_PIECE_BYTES: usize = 4096;
/// Largest patch that is decompressed, and largest text that is produced, in bytes: several times
/// the limit of a value in the store, one megabyte.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Reason why a patch can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatchError {
    /// The patch can't be decompressed or decoded.
    Malformed,
    /// The decompressed patch or the resulting text exceeds the limit.
    TooLong,
    /// The patch refers to bytes beyond the end of the old text or of its own data.
    OutOfRange,
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PatchError::Malformed => "the patch can't be decompressed or decoded",
            PatchError::TooLong => "the patch or its result exceeds the size limit",
            PatchError::OutOfRange => "the patch refers to bytes that its base does not have",
        })
    }
}

impl std::error::Error for PatchError {}

/// Creates a patch that turns `old` into `new`.
pub fn make_patch(old: &[u8], new: &[u8]) -> Vec<u8> {
    let mut known: HashMap<u64, usize> = HashMap::new();
    let mut start = 0;
    for piece in pieces(old) {
        known.entry(xxh3_64(piece)).or_insert(start);
        start += piece.len();
    }
    let mut writer = PatchWriter::default();
    for piece in pieces(new) {
        let at = known.get(&xxh3_64(piece)).copied();
        match at.filter(|at| old.get(*at..at + piece.len()) == Some(piece)) {
            Some(at) => writer.copy(at, piece.len()),
            None => writer.add(piece),
        }
    }
    compress_prepend_size(&writer.finish().encode_to_vec())
}

/// Returns the text that results from applying `patch` to `old`.
///
/// # Errors
/// Fails if the patch is malformed, is too long, or does not fit `old`.
pub fn apply_patch(old: &[u8], patch: &[u8]) -> Result<Vec<u8>, PatchError> {
    let (length, _) = uncompressed_size(patch).map_err(|_| PatchError::Malformed)?;
    if length > MAX_TEXT_BYTES {
        return Err(PatchError::TooLong);
    }
    let bytes = decompress_size_prepended(patch).map_err(|_| PatchError::Malformed)?;
    let patch = TextPatch::decode(&bytes[..]).map_err(|_| PatchError::Malformed)?;
    let mut text = Vec::new();
    let mut added = 0;
    for piece in patch.pieces.chunks(3) {
        let [add, at, copy] = piece else {
            return Err(PatchError::Malformed);
        };
        let [add, at, copy] = [add, at, copy].map(|number| *number as usize);
        if text.len() + add + copy > MAX_TEXT_BYTES {
            return Err(PatchError::TooLong);
        }
        let new = patch.new.get(added..added + add).ok_or(PatchError::OutOfRange)?;
        let kept = old.get(at..at + copy).ok_or(PatchError::OutOfRange)?;
        text.extend_from_slice(new);
        text.extend_from_slice(kept);
        added += add;
    }
    Ok(text)
}

#[derive(Default)]
struct PatchWriter {
    patch: TextPatch,
    /// The entry being written: the number of new bytes, and the position and number of bytes
    /// copied from the old text.
    add: usize,
    at: usize,
    copy: usize,
}

impl PatchWriter {
    fn add(&mut self, piece: &[u8]) {
        if self.copy > 0 {
            self.end_entry();
        }
        self.add += piece.len();
        self.patch.new.extend_from_slice(piece);
    }

    fn copy(&mut self, at: usize, length: usize) {
        if self.copy > 0 && self.at + self.copy != at {
            self.end_entry();
        }
        if self.copy == 0 {
            self.at = at;
        }
        self.copy += length;
    }

    fn end_entry(&mut self) {
        let saturated = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        self.patch.pieces.extend([self.add, self.at, self.copy].map(saturated));
        (self.add, self.at, self.copy) = (0, 0, 0);
    }

    fn finish(mut self) -> TextPatch {
        self.end_entry();
        self.patch
    }
}

/// Splits a text into pieces such that equal parts of two texts are mostly split alike.
fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let limit = rest.len().min(MAX_PIECE_BYTES);
        let from = (MIN_PIECE_BYTES - 1).min(limit);
        let end = rest[from..limit].iter().position(|byte| PIECE_END_BYTES.contains(byte));
        let length = end.map_or(limit, |end| from + end + 1);
        let (piece, remaining) = rest.split_at(length);
        rest = remaining;
        Some(piece)
    })
}
